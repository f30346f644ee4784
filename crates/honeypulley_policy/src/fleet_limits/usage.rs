//! What one box knows of what was admitted of one subject.

use super::hall_count::{FarHall, LATEST_SHARE};
use super::recent::Recent;
use super::rule::{LimitRule, RateLimit, Scope};
use crate::collector::NameId;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of its even share of the limit up to which a data hall says nothing to the others.
///
/// If all stay under it, none has to know of the others. At the usual use of five eighths of
/// a limit a hall stays under it with a swing of a quarter.
const QUIET_SHARE: f64 = 0.8;
/// Part of the burst that a data hall may admit at one time beyond that share unsaid.
const SURGE_SHARE: f64 = 0.15;
/// Wait between two counts that a data hall tells of one subject.
///
/// What is admitted too much meanwhile is a small part of what may be beside the limit.
pub(super) const TELL_GAP: Duration = Duration::from_millis(50);
/// Time for which a count of another data hall keeps this one telling.
const ECHO_TIME: Duration = Duration::from_secs(2);
/// Part of the burst under which a subject counts as near its limit.
const TIGHT_SHARE: f64 = 0.25;
/// Part of its own share that an isolated box admits, of a subject that was
/// near its limit.
///
/// The others admit the whole limit, so that a third of the boxes cut off would admit a third
/// more than it; with this a ninth, which the tenth and the slack bear.
const CUT_SHARE: f64 = 0.33;
/// Requests' worth of silence on a subject near its limit by which a box knows that it
/// is isolated; in a data hall of three a third of them would be announced.
const SILENT_REQUESTS: f64 = 12.0;
/// Longest such silence; of a limit so small that it takes longer, none says anything.
const MOST_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a box that is cut off knows it, so that the subject has just
/// stopped asking where it does not.
const KNOWN_SILENCE: Duration = Duration::from_millis(2_000);
/// Least time of such a silence.
const LEAST_SILENCE: Duration = Duration::from_millis(200);
/// Requests that a box may be ahead of its own share, so that it is not long refused for what
/// others left unused.
pub(super) const MOST_DEBT: f64 = -1.0;

/// What was admitted of one subject.
#[derive(Debug)]
pub(super) struct Usage {
    pub(super) limit: RateLimit,
    pub(super) bucket: Bucket,
    /// This box's share of the limit, for when it is alone.
    pub(super) own: Bucket,
    /// Admissions of this box, as announced.
    pub(super) told: u16,
    /// Sums that peers of this data hall announced.
    pub(super) boxes: BTreeMap<NameId, u16>,
    /// Admissions of this data hall.
    pub(super) near: Recent,
    /// All of them that this box knows of, counted round.
    pub(super) hall_sum: u16,
    /// What the other data halls announced.
    pub(super) far: BTreeMap<NameId, FarHall>,
    /// When it was last checked whether an announcement is due.
    pub(super) looked: Option<Time>,
    /// When a box of this data hall last announced to the others.
    pub(super) told_at: Option<Time>,
    /// Whether something was admitted here that was not announced.
    pub(super) untold: bool,
    /// When a peer last announced it.
    pub(super) heard: Time,
    /// Whether it was near its limit when this box last heard of its peers.
    pub(super) tight: bool,
    /// Whether the remaining tokens are an estimate, since this box has just started.
    pub(super) guessed: bool,
}

/// Tokens that come at a rate, up to a burst.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl Bucket {
    pub(super) fn refill(&mut self, rate: f64, burst: f64, now: Time) {
        let came = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + came).min(burst.max(1.0));
        self.at = now;
    }

    /// Returns the time until there is a token.
    pub(super) fn wait(&self, rate: f64) -> Duration {
        let secs = ((1.0 - self.level) / rate.max(f64::MIN_POSITIVE)).max(0.0);
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}

impl Usage {
    pub(super) fn new(
        limit: RateLimit,
        level: f64,
        window: Duration,
        first: u16,
        now: Time,
    ) -> Self {
        Self {
            limit,
            bucket: Bucket { level: level.max(1.0), at: now },
            own: Bucket { level: 1.0, at: now },
            told: first,
            boxes: BTreeMap::new(),
            near: Recent::new(window),
            hall_sum: first,
            far: BTreeMap::new(),
            looked: None,
            told_at: None,
            untold: false,
            heard: now,
            tight: false,
            guessed: false,
        }
    }

    /// Applies a peer's remaining burst, where this box has only an estimate.
    pub(super) fn correct(&mut self, level: i16) {
        if self.guessed {
            self.guessed = false;
            self.bucket.level = self.bucket.level.min(level.into());
        }
    }

    /// Returns the remaining tokens, as announced.
    pub(super) fn told_level(&self) -> i16 {
        // Whole requests, the sign included, within what the number holds.
        self.bucket.level.floor() as i16
    }

    pub(super) fn refill(&mut self, scope: Scope, now: Time) {
        let RateLimit { rate, burst } = self.limit;
        self.bucket.refill(rate, burst, now);
        self.own.refill(self.own_rate(scope), burst / scope.boxes.max(1) as f64, now);
        if !self.is_alone(scope, now) {
            self.tight = self.bucket.level < TIGHT_SHARE * burst;
        }
    }

    /// Returns what this box may admit a second while it is isolated.
    pub(super) fn own_rate(&self, scope: Scope) -> f64 {
        let share = if self.tight { CUT_SHARE } else { 1.0 };
        self.limit.rate * share / scope.boxes.max(1) as f64
    }

    /// Returns whether this box is isolated from its peers' admissions.
    ///
    /// Of a subject near its limit, peers would announce all the time, unless the limit is so small
    /// that they have nothing to tell for a while: a box that took that for being cut off would
    /// spend a share of its own beside them.
    pub(super) fn is_alone(&self, scope: Scope, now: Time) -> bool {
        if scope.alone || scope.boxes < 2 || !self.tight {
            return scope.alone;
        }
        let least = SILENT_REQUESTS / self.limit.rate;
        if least > MOST_SILENCE.as_secs_f64() {
            return false;
        }
        let silence = now.since(self.heard);
        silence > Duration::from_secs_f64(least).max(LEAST_SILENCE) && silence < KNOWN_SILENCE
    }

    pub(super) fn took(&mut self, n: u32, now: Time) {
        self.bucket.level -= f64::from(n);
        self.near.add(n, now);
        self.hall_sum = self.hall_sum.wrapping_add(n as u16);
        self.untold = true;
    }

    /// Returns whether an announcement to the other data halls is due, once in each gap.
    pub(super) fn is_due(&mut self, rule: LimitRule, scope: Scope, now: Time) -> bool {
        let waits = self.looked.is_some_and(|at| now.since(at) < TELL_GAP);
        if scope.halls < 2 || !self.untold || waits {
            return false;
        }
        let is_near = self.is_near_limit(rule, scope, now);
        if is_near {
            self.looked = Some(now);
        }
        is_near
    }

    /// Returns whether what this data hall admits may matter to the others.
    fn is_near_limit(&mut self, rule: LimitRule, scope: Scope, now: Time) -> bool {
        if self.far.values().any(|f| now.since(f.heard) < ECHO_TIME) {
            return true;
        }
        let RateLimit { rate, burst } = self.limit;
        let (halls, secs) = (scope.halls as f64, rule.window.as_secs_f64());
        let share = |window: f64, more: f64| (QUIET_SHARE * rate).mul_add(window, more) / halls;
        let is_busy = f64::from(self.near.sum(now)) > share(secs, rule.slack);
        let surge = share(LATEST_SHARE * secs, SURGE_SHARE.mul_add(burst, rule.slack));
        is_busy || f64::from(self.near.latest(now)) > surge
    }
}
