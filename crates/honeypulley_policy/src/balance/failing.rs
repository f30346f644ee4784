//! Whether much of a service fails just now.
//!
//! The floor is counted only while it does, and trials of upstreams that failed lately cost
//! too much while it does not.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which failures of a service are counted: as long as the floor is.
const SPAN: Duration = Duration::from_secs(2);
/// Time for which a service counts as failing after it was seen to: as long as the
/// floor is counted.
const LASTS: Duration = Duration::from_secs(2);
/// Time over which requests are counted; failures weigh against a steady rate.
const RATE_TIME: Duration = Duration::from_secs(4);
/// Share of a service's requests that fail from which on it counts as failing.
///
/// Just below the tenth from which on the floor is counted.
const SHARE: f64 = 0.09;
/// Prior number of requests of which none was rejected.
const PRIOR: f64 = 10.0;
/// Failures of the span below which a service does not count as failing.
const LEAST: usize = 5;

/// Failures of a service against its requests, as one box knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct Failing {
    /// Failures of the last moments, whichever box met them.
    failures: VecDeque<Time>,
    /// Attempts of this data hall, each fading over [`RATE_TIME`].
    begun: f64,
    /// Requests that upstreams rejected, for one data hall, decaying likewise.
    shed: f64,
    at: Time,
    /// When much was last seen to fail.
    seen: Option<Time>,
}

impl Failing {
    /// Counts an attempt of this data hall.
    pub(super) fn began(&mut self, now: Time) {
        self.fade(now);
        self.begun += 1.0;
    }

    /// Counts a request of any box that an upstream rejected.
    pub(super) fn shed(&mut self, halls: f64, now: Time) {
        self.fade(now);
        self.shed += 1.0 / halls;
    }

    /// Returns the share of recent requests that upstreams rejected.
    pub(super) fn shed_share(&self) -> f64 {
        (self.shed / (self.begun + PRIOR)).min(1.0)
    }

    fn fade(&mut self, now: Time) {
        let kept = (-now.since(self.at).as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        self.begun *= kept;
        self.shed *= kept;
        // A late announcement may be older than what was counted last.
        self.at = self.at.max(now);
    }

    /// Records a failure that a box of the fleet met, which sends `halls` times as much as
    /// this data hall.
    pub(super) fn failed(&mut self, halls: f64, now: Time) {
        self.failures.push_back(now);
        while self.failures.pop_front_if(|t| now.since(*t) > SPAN).is_some() {}
        let fails = self.failures.len();
        self.fade(now);
        let rate = self.begun * halls / RATE_TIME.as_secs_f64();
        if fails >= LEAST && fails as f64 > SHARE * rate * SPAN.as_secs_f64() {
            self.seen = Some(now);
        }
    }

    /// Returns whether much of the service failed some moments ago.
    pub(super) fn is_now(&self, now: Time) -> bool {
        self.seen.is_some_and(|at| now.since(at) < LASTS)
    }
}
