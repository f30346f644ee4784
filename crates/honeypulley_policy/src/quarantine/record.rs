//! What is known of one suspected request.

use super::{End, Fingerprint, Hold, Scope, Standing};
use crate::time::Time;
use std::time::Duration;

/// Ends one after the other under a caller's own request from which on it is held.
///
/// One end leaves some twenty suspects, which were open on the same upstream. Each innocent
/// one is sent again, and is beside the guilty one again in one of eight cases where nine
/// upstreams serve: two in a row would hold one or two innocent ones for each guilty one.
const CALLER_ENDS: usize = 3;
/// The same under a request of any caller.
///
/// One more: a caller may know a rare path of another's and end upstreams by a head that the
/// fingerprint does not cover. The other's request, which is held as well then, is cleared
/// by its first good answer after the hold.
const CONTENT_ENDS: usize = 4;
/// Time within which all boxes have announced what was in flight at a crash.
///
/// Before, a request may look like the only one that was at so many ends.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time by which boxes may disagree on what came first: news on its way, rounded spans.
const ORDER_SLACK: Duration = Duration::from_millis(20);
/// Time within which two ends of one upstream are the same one, seen by two boxes.
///
/// An upstream that is back takes longer than that to start.
const SAME_END: Duration = Duration::from_millis(500);
/// Ends of one request that are remembered.
const MOST_ENDS: usize = 8;
/// Time for which a request is held first; it doubles with each trial that fails.
///
/// Long beside the seconds in which a caller repeats, short beside the mending of a service.
const HOLD_TIME: Duration = Duration::from_secs(600);
/// Trials after which no more are made.
///
/// Each that fails ends one more upstream, with all that runs there.
const MOST_TRIALS: u8 = 3;
/// Time for which it is held after the last trial.
const LAST_HOLD: Duration = Duration::from_secs(24 * 3_600);
/// Time after which a request that was never held is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(600);
/// The same after a hold has lapsed, so that one that seldom comes is not held anew from none.
const FORGET_HELD_TIME: Duration = LAST_HOLD;

/// What is known of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    scope: Scope,
    ends: Vec<End>,
    /// When it was last answered well.
    served: Option<Time>,
    held: Option<Held>,
    /// When a box last broadcast that it is held.
    pub(super) told: Time,
    /// When something was last learnt of it.
    touched: Time,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    until: Time,
    trials: u8,
}

impl End {
    /// Returns whether both are one end of one upstream, seen by two boxes.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && apart(self.ended, other.ended) < SAME_END
    }
}

impl Record {
    pub(super) const fn new(scope: Scope, now: Time) -> Self {
        Self { scope, ends: Vec::new(), served: None, held: None, told: now, touched: now }
    }

    /// Records a crash; returns whether it fails a trial, which renews the hold.
    pub(super) fn add(&mut self, end: End, now: Time) -> bool {
        let is_cleared = self.served.is_some_and(|at| end.ended <= at);
        if is_cleared || self.ends.iter().any(|e| e.is_same(&end)) {
            return false;
        }
        self.touched = now;
        self.ends.push(end);
        self.ends.sort_by_key(|e| e.ended);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        // One that was sent before the hold was known everywhere is no trial.
        let Some(h) = self.held.filter(|h| end.began >= h.until) else { return false };
        let trials = h.trials.saturating_add(1);
        self.held = Some(Held { until: now + hold_time(trials), trials });
        true
    }

    /// Records that it was answered well; returns whether it was suspected until then.
    pub(super) fn serve(&mut self, at: Time) -> bool {
        self.served = self.served.max(Some(at));
        let before = self.ends.len();
        self.ends.retain(|e| e.ended > at);
        let was_held = self.held.take().is_some();
        was_held || self.ends.len() < before
    }

    /// Records a hold; returns whether it lasts longer than the one known.
    pub(super) fn hold_for(&mut self, left: Duration, trials: u8, now: Time) -> bool {
        let is_new = self.held.is_none_or(|h| trials > h.trials);
        if is_new {
            self.touched = now;
            self.held = Some(Held { until: now + left, trials });
        }
        is_new
    }

    pub(super) fn put_on_hold(&mut self, now: Time) {
        self.hold_for(hold_time(0), 0, now);
    }

    /// Returns how it may be treated, with so many ends counted against it.
    pub(super) fn standing(&self, counted: usize, now: Time) -> Standing {
        if let Some(h) = self.held {
            let left = h.until.since(now);
            return if left.is_zero() { Standing::Single } else { Standing::Held { left } };
        }
        match counted {
            0 => Standing::Clear,
            n if n + 1 >= self.ends_needed() => Standing::Single,
            _ => Standing::Watched,
        }
    }

    /// Returns the hold that is in force.
    pub(super) fn hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        self.last_hold(request, now).filter(|h| !h.left.is_zero())
    }

    /// Returns the hold in force, or the last one if it has lapsed.
    pub(super) fn last_hold(&self, request: Fingerprint, now: Time) -> Option<Hold> {
        let h = self.held?;
        let left = h.until.since(now);
        Some(Hold { request, scope: self.scope, ends: self.ends.len(), left, trials: h.trials })
    }

    pub(super) const fn is_found_guilty(&self) -> bool {
        self.held.is_some()
    }

    pub(super) fn ends(&self) -> &[End] {
        &self.ends
    }

    pub(super) fn is_of_one_scope(&self, other: &Self) -> bool {
        self.scope == other.scope
    }

    /// Returns whether it says nothing any more.
    pub(super) fn is_old(&self, now: Time) -> bool {
        match self.held {
            Some(h) => now.since(h.until) > FORGET_HELD_TIME,
            None => now.since(self.touched) > FORGET_TIME,
        }
    }

    /// Returns what is kept first when there is no room for all.
    pub(super) fn weight(&self, now: Time) -> (bool, usize, Time) {
        (self.hold(Fingerprint(0), now).is_some(), self.counted(&[]).len(), self.touched)
    }

    /// Returns how many ends in a row hold it.
    pub(super) const fn ends_needed(&self) -> usize {
        match self.scope {
            Scope::Caller => CALLER_ENDS,
            Scope::Content => CONTENT_ENDS,
        }
    }

    /// Returns whether these crashes are enough, and old enough that all boxes announced them.
    pub(super) fn is_due(&self, counted: &[End], now: Time) -> bool {
        let is_settled = counted.last().is_some_and(|e| now.since(e.ended) >= SETTLE_TIME);
        self.held.is_none() && counted.len() >= self.ends_needed() && is_settled
    }

    /// Returns the ends that count against it: those that nothing else explains, and that
    /// came one after the other.
    ///
    /// A loss of many upstreams at once ends all that have the request, and says of it no more
    /// than one end does: the next one counts only if the request was sent there afterwards.
    pub(super) fn counted(&self, explained: &[End]) -> Vec<End> {
        let mut counted: Vec<End> = Vec::new();
        for e in self.ends.iter().filter(|e| !explained.iter().any(|x| x.is_same(e))) {
            if counted.last().is_none_or(|l| e.began + ORDER_SLACK >= l.ended) {
                counted.push(*e);
            }
        }
        counted
    }
}

fn apart(a: Time, b: Time) -> Duration {
    a.max(b) - a.min(b)
}

fn hold_time(trials: u8) -> Duration {
    if trials >= MOST_TRIALS { LAST_HOLD } else { HOLD_TIME * (1 << trials) }
}
