//! Detection of services with a high failure rate.
//!
//! The availability floor is only evaluated while the failure rate is high. At other times,
//! probing upstreams that failed recently costs too much.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Window in which failures are counted, equal to the window of the floor.
const WINDOW: Duration = Duration::from_secs(2);
/// Time for which a detection lasts, equal to the window of the floor.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time constant of the request rate that failures are compared with.
const RATE_TIME: Duration = Duration::from_secs(4);
/// Time after the first attempt from which their rate is known.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);
/// Share of failing requests above which a service counts as failing.
///
/// Just below the 10% above which the floor is evaluated.
const FAILURE_SHARE: f64 = 0.09;
/// Weight of the prior, in requests of which none was shed.
const PRIOR_REQUESTS: f64 = 10.0;
/// Minimum number of failures in the window for a detection.
const MIN_FAILURES: usize = 5;
/// Minimum number of rejected requests of this box, decayed, for a detection.
const MIN_REJECTED: f64 = 1.0;

/// Recent failures and requests of a service, as far as this box knows.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureWindow {
    /// Failures within the window, met by any box.
    failures: VecDeque<Time>,
    /// Attempts of this data hall, decaying with [`RATE_TIME`].
    attempts: f64,
    /// Shed requests per data hall, decaying likewise.
    shed: f64,
    /// Requests of this box, decaying likewise.
    requests: f64,
    /// Those of them that this box rejected, decaying likewise.
    rejected: f64,
    at: Time,
    /// Time of the first attempt.
    first: Option<Time>,
    /// Time of the last detection.
    detected: Option<Time>,
}

impl FailureWindow {
    /// Counts an attempt of this data hall.
    pub(super) fn record_attempt(&mut self, now: Time) {
        self.decay(now);
        self.attempts += 1.0;
        self.first.get_or_insert(now);
    }

    /// Counts a request of a caller of this box.
    pub(super) fn record_request(&mut self, now: Time) {
        self.decay(now);
        self.requests += 1.0;
    }

    /// Counts a request that this box rejected, for example over its organisation's limit.
    pub(super) fn record_rejection(&mut self, now: Time) {
        self.decay(now);
        self.rejected += 1.0;
    }

    /// Returns whether this box lately rejected so many requests that the floor is evaluated.
    pub(super) fn is_rejecting(&self, now: Time) -> bool {
        let decayed = (-now.since(self.at).as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        self.rejected * decayed >= MIN_REJECTED && self.rejected > FAILURE_SHARE * self.requests
    }

    /// Returns the attempts of this data hall per second, once they have been counted for a while.
    pub(super) fn attempt_rate(&self, now: Time) -> Option<f64> {
        let counted = now.since(self.first?);
        if counted < MIN_RATE_TIME {
            return None;
        }
        let rate_time = RATE_TIME.as_secs_f64();
        let fraction = 1.0 - (-counted.as_secs_f64() / rate_time).exp();
        let decayed = (-now.since(self.at).as_secs_f64() / rate_time).exp();
        Some(self.attempts * decayed / (rate_time * fraction))
    }

    /// Counts a request of any box that an upstream shed.
    pub(super) fn record_shed(&mut self, halls: f64, now: Time) {
        self.decay(now);
        self.shed += 1.0 / halls;
    }

    /// Returns the share of recent requests that upstreams shed.
    pub(super) fn shed_share(&self) -> f64 {
        (self.shed / (self.attempts + PRIOR_REQUESTS)).min(1.0)
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.at).as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        self.attempts *= factor;
        self.shed *= factor;
        self.requests *= factor;
        self.rejected *= factor;
        // A delayed announcement may be older than the last update.
        self.at = self.at.max(now);
    }

    /// Records a failure met by any box.
    ///
    /// The fleet sends `halls` times as many requests as this data hall.
    pub(super) fn record_failure(&mut self, halls: f64, now: Time) {
        self.failures.push_back(now);
        while self.failures.pop_front_if(|t| now.since(*t) > WINDOW).is_some() {}
        let count = self.failures.len();
        self.decay(now);
        let rate = self.attempts * halls / RATE_TIME.as_secs_f64();
        if count >= MIN_FAILURES && count as f64 > FAILURE_SHARE * rate * WINDOW.as_secs_f64() {
            self.detected = Some(now);
        }
    }

    /// Returns whether the failure rate was high recently.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        self.detected.is_some_and(|at| now.since(at) < HOLD_TIME)
    }
}
