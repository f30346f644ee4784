//! Failure modes of unhealthy upstreams, as counted from all boxes.
//!
//! Where unhealthy upstreams fail at once, an attempt still in flight is evidence that its
//! upstream is healthy; where they hang, it is evidence of the opposite, growing with its age.
//! The balance of the two modes is counted, not assumed.

use crate::belief::{FAILS_SICK, Observation};

/// Prior count of each failure mode.
const PRIOR_COUNT: f64 = 2.0;
/// Total at which the counts are halved, so that old failures lose weight.
const MAX_COUNT: f64 = 100.0;
/// Upper bound of the likelihood ratio of one attempt in flight.
const MAX_RATIO: f64 = 60.0;

/// Likelihood ratio (unhealthy to healthy) from which an attempt is announced as overdue.
pub const OVERDUE_RATIO: f64 = 4.0;
/// Likelihood ratio from which an attempt is announced as hung.
///
/// It then counts as a failure. With a prior probability of one in ten, the odds of being
/// unhealthy are three to one.
pub const HUNG_RATIO: f64 = 25.0;
/// Share of slower answers below which an unanswered attempt counts as hung.
pub const HUNG_SURVIVAL: f64 = 0.03;

/// Counts of the failure modes of unhealthy upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureModes {
    hung: f64,
    immediate: f64,
}

impl Default for FailureModes {
    fn default() -> Self {
        Self { hung: PRIOR_COUNT, immediate: PRIOR_COUNT }
    }
}

impl FailureModes {
    /// Counts a failure met by any box.
    pub fn record(&mut self, observation: Observation) {
        match observation {
            Observation::Hung => self.hung += 1.0,
            Observation::Failure => self.immediate += 1.0,
            _ => return,
        }
        if self.hung + self.immediate > MAX_COUNT {
            self.hung /= 2.0;
            self.immediate /= 2.0;
        }
    }

    /// Returns the share of failures that are hangs.
    #[must_use]
    pub fn hung_share(&self) -> f64 {
        self.hung / (self.hung + self.immediate)
    }

    /// Returns the likelihood ratio (unhealthy to healthy) of an attempt being in flight.
    ///
    /// `survival` is the share of a healthy upstream's answers that take at least as long.
    #[must_use]
    pub fn age_ratio(&self, survival: f64) -> f64 {
        let hangs = FAILS_SICK * self.hung_share();
        (1.0 - FAILS_SICK + hangs / survival).min(MAX_RATIO)
    }
}
