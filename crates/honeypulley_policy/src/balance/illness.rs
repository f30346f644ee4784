//! How upstreams of this fleet fail while they are sick, as learnt from all boxes.
//!
//! Where they answer with a failure at once, an attempt that is still open says that
//! its upstream is well; where they hang, it says the opposite, the more so the older
//! it is. Which of the two holds is counted, not assumed.

use crate::belief::{FAILS_SICK, Observation};

/// Failures of each way that are assumed before any was seen.
const ASSUMED: f64 = 2.0;
/// Failures at which all counts are halved, so that old ones fade.
const MOST: f64 = 100.0;
/// Most that one open attempt is worth: sick against well.
const MOST_RATIO: f64 = 60.0;

/// Likelihood ratio, sick against well, from which an attempt is announced as overdue.
pub const OVERDUE_RATIO: f64 = 4.0;
/// Ratio from which it is announced as hung, and counts as a failure.
///
/// At a usual chance of sickness of one in ten it is then three to one.
pub const HUNG_RATIO: f64 = 25.0;
/// Share of answers that take as long, below which an attempt that ended without one hung.
pub const HUNG_SURVIVAL: f64 = 0.03;

/// Counts of the ways in which sick upstreams failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Illness {
    hung: f64,
    at_once: f64,
}

impl Default for Illness {
    fn default() -> Self {
        Self { hung: ASSUMED, at_once: ASSUMED }
    }
}

impl Illness {
    /// Counts a failure that any box met.
    pub fn note(&mut self, what: Observation) {
        match what {
            Observation::Hung => self.hung += 1.0,
            Observation::Failure => self.at_once += 1.0,
            _ => return,
        }
        if self.hung + self.at_once > MOST {
            self.hung /= 2.0;
            self.at_once /= 2.0;
        }
    }

    /// Returns the share of failures that are an answer which never comes.
    #[must_use]
    pub fn hung_share(&self) -> f64 {
        self.hung / (self.hung + self.at_once)
    }

    /// Returns how much likelier an attempt is still open if its upstream is sick.
    ///
    /// `survival` is the share of a well upstream's answers that take as long.
    #[must_use]
    pub fn open_ratio(&self, survival: f64) -> f64 {
        let hangs = FAILS_SICK * self.hung_share();
        (1.0 - FAILS_SICK + hangs / survival).min(MOST_RATIO)
    }
}
