//! Evidence about one suspected request.

use super::{Crash, Fingerprint, Hold, Restriction, Scope};
use crate::time::Time;
use std::time::Duration;

/// Consecutive crashes after which a request of one caller is held.
///
/// A crash yields about twenty suspects, which were in flight on the same upstream. With nine
/// upstreams, the retry of a harmless suspect meets the harmful request again in one of eight
/// cases. A threshold of two would therefore hold one or two harmless requests for each harmful
/// one.
const CALLER_CRASHES: usize = 3;
/// Consecutive crashes after which a request is held for all callers.
///
/// The threshold is higher than [`CALLER_CRASHES`], because a caller might use another caller's
/// rare path and crash upstreams with headers that the fingerprint does not cover. The other
/// caller's request is then held as well, until its first success after the hold.
const CONTENT_CRASHES: usize = 4;
/// Time within which all boxes have announced their requests in flight at a crash.
///
/// Earlier than that, a request may wrongly appear to be the only one with that many crashes.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Tolerance for the order of events seen by different boxes.
///
/// Announcements are delayed on the network, and the durations in them are rounded.
const ORDER_SLACK: Duration = Duration::from_millis(20);
/// Time within which two reported crashes of an upstream count as the same one.
///
/// An upstream takes longer than that to restart.
const SAME_CRASH_TIME: Duration = Duration::from_millis(500);
/// Maximum number of crashes stored for one request.
const MAX_CRASHES: usize = 8;
/// Duration of the first hold, which doubles with each failed trial.
///
/// Long compared with the seconds between a caller's repeats, and short compared with the time
/// that it takes to fix a service.
const HOLD_TIME: Duration = Duration::from_secs(600);
/// Failed trials after which [`LAST_HOLD`] applies.
///
/// Each failed trial crashes one more upstream and fails all requests that run there.
const MAX_TRIALS: u8 = 3;
/// Duration of the hold after the last trial.
const LAST_HOLD: Duration = Duration::from_secs(24 * 3_600);
/// Time after which the record of a request that was never held expires.
const RETENTION: Duration = Duration::from_secs(600);
/// Time after the end of a hold at which the record expires.
///
/// It is longer than [`RETENTION`], so that a request that is seldom repeated does not start
/// over with a clean record.
const HELD_RETENTION: Duration = LAST_HOLD;

/// Crashes, successes and the hold of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    scope: Scope,
    crashes: Vec<Crash>,
    /// Time of the last success.
    last_success: Option<Time>,
    hold: Option<HoldState>,
    /// Time of the last announcement of the hold by any box.
    pub(super) announced_at: Time,
    /// Time of the last change of the evidence.
    updated_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct HoldState {
    until: Time,
    trials: u8,
}

impl Crash {
    /// Returns whether two boxes reported the same crash.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && distance(self.ended, other.ended) < SAME_CRASH_TIME
    }
}

impl Record {
    pub(super) const fn new(scope: Scope, now: Time) -> Self {
        Self {
            scope,
            crashes: Vec::new(),
            last_success: None,
            hold: None,
            announced_at: now,
            updated_at: now,
        }
    }

    /// Records a crash; returns whether it is a failed trial, which renews the hold.
    pub(super) fn add(&mut self, crash: Crash, now: Time) -> bool {
        let is_cleared = self.last_success.is_some_and(|at| crash.ended <= at);
        if is_cleared || self.crashes.iter().any(|e| e.is_same(&crash)) {
            return false;
        }
        self.updated_at = now;
        self.crashes.push(crash);
        self.crashes.sort_by_key(|e| e.ended);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        // A request sent before the hold was known on all boxes is not a trial.
        let Some(h) = self.hold.filter(|h| crash.began >= h.until) else { return false };
        let trials = h.trials.saturating_add(1);
        self.hold = Some(HoldState { until: now + hold_duration(trials), trials });
        true
    }

    /// Records a success; returns whether the request was suspected until then.
    pub(super) fn record_success(&mut self, at: Time) -> bool {
        self.last_success = self.last_success.max(Some(at));
        let before = self.crashes.len();
        self.crashes.retain(|e| e.ended > at);
        let was_held = self.hold.take().is_some();
        was_held || self.crashes.len() < before
    }

    /// Applies a hold; returns whether it supersedes the known one.
    pub(super) fn apply_hold(&mut self, remaining: Duration, trials: u8, now: Time) -> bool {
        let supersedes = self.hold.is_none_or(|h| trials > h.trials);
        if supersedes {
            self.updated_at = now;
            self.hold = Some(HoldState { until: now + remaining, trials });
        }
        supersedes
    }

    pub(super) fn start_hold(&mut self, now: Time) {
        self.apply_hold(hold_duration(0), 0, now);
    }

    /// Returns the restriction that follows from a number of consecutive crashes.
    pub(super) fn restriction(&self, crashes: usize, now: Time) -> Restriction {
        if let Some(h) = self.hold {
            let remaining = h.until.since(now);
            return if remaining.is_zero() {
                Restriction::NoRetry
            } else {
                Restriction::Held { remaining }
            };
        }
        match crashes {
            0 => Restriction::Clear,
            n if n + 1 >= self.threshold() => Restriction::NoRetry,
            _ => Restriction::NoHedge,
        }
    }

    /// Returns the hold in force.
    pub(super) fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        self.latest_hold(request, now).filter(|h| !h.remaining.is_zero())
    }

    /// Returns the hold in force, or the last one if it has expired.
    pub(super) fn latest_hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        let h = self.hold?;
        let remaining = h.until.since(now);
        Some(Hold {
            request,
            scope: self.scope,
            crashes: self.crashes.len(),
            remaining,
            trials: h.trials,
        })
    }

    pub(super) const fn is_cause(&self) -> bool {
        self.hold.is_some()
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn has_same_scope(&self, other: &Self) -> bool {
        self.scope == other.scope
    }

    /// Returns whether the record can be dropped.
    pub(super) fn is_expired(&self, now: Time) -> bool {
        match self.hold {
            Some(h) => now.since(h.until) > HELD_RETENTION,
            None => now.since(self.updated_at) > RETENTION,
        }
    }

    /// Returns the sort key for eviction, where the smallest one is evicted first.
    pub(super) fn retention_rank(&self, now: Time) -> (bool, usize, Time) {
        (self.hold(Fingerprint(0), now).is_some(), self.crash_sequence(&[]).len(), self.updated_at)
    }

    /// Returns the number of consecutive crashes after which the request is held.
    pub(super) const fn threshold(&self) -> usize {
        match self.scope {
            Scope::Caller => CALLER_CRASHES,
            Scope::Content => CONTENT_CRASHES,
        }
    }

    /// Returns whether the crashes justify a hold and all boxes have announced them.
    pub(super) fn is_due(&self, crashes: &[Crash], now: Time) -> bool {
        let is_settled = crashes.last().is_some_and(|e| now.since(e.ended) >= SETTLE_TIME);
        self.hold.is_none() && crashes.len() >= self.threshold() && is_settled
    }

    /// Returns the unexplained crashes that followed one after the other.
    ///
    /// If many upstreams are lost at once, this is no stronger evidence against a request than a
    /// single crash. A crash therefore counts only if the request was sent to that upstream after
    /// the crash before it.
    pub(super) fn crash_sequence(&self, explained: &[Crash]) -> Vec<Crash> {
        let mut crashes: Vec<Crash> = Vec::new();
        for e in self.crashes.iter().filter(|e| !explained.iter().any(|x| x.is_same(e))) {
            if crashes.last().is_none_or(|l| e.began + ORDER_SLACK >= l.ended) {
                crashes.push(*e);
            }
        }
        crashes
    }
}

fn distance(a: Time, b: Time) -> Duration {
    a.max(b) - a.min(b)
}

fn hold_duration(trials: u8) -> Duration {
    if trials >= MAX_TRIALS { LAST_HOLD } else { HOLD_TIME * (1 << trials) }
}
