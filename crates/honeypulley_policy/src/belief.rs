//! Chance that an upstream is sick, by a hidden Markov model of two states.
//!
//! An upstream is healthy or sick. Sickness begins at a rate that is learnt for
//! each upstream and ends at a fixed one. Each observation moves the chance by
//! Bayes' rule, so that at a low base rate of failures a single one says most of
//! it. Source: Rabiner, 1989, for the filter.

use crate::time::Time;

/// Share of requests that fail on a sick upstream.
///
/// Assumption: between the 0.45 and the 0.75 of the deployments' sheets.
pub const FAILS_SICK: f64 = 0.65;
/// Rate at which sickness ends, per second: spells last some three seconds.
const RECOVERY: f64 = 1.0 / 3.0;
/// Onsets assumed before anything was seen.
const PRIOR_ONSETS: f64 = 0.25;
/// Seconds in which those came.
const PRIOR_SECS: f64 = 12.0;
/// Seconds after which an onset counts half.
const ONSET_LIFE: f64 = 60.0;
/// Bounds that keep the chance movable.
const BOUNDS: (f64, f64) = (1e-4, 0.9999);

/// What was seen of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A whole answer in time.
    Success,
    /// A failure answer, a reset, a cut or a malformed answer.
    Failure,
    /// The connection was refused.
    Refused,
    /// No connection came up in time.
    Unreachable,
    /// No answer within the service's usual spread.
    Overdue,
    /// It turned the request away.
    Shed,
}

impl Observation {
    /// Returns how likely this is of a healthy and of a sick upstream.
    ///
    /// The base rate of failures, 1.2 in 100, is that of the deployments' sheets;
    /// the others are estimates.
    const fn likelihood(self) -> (f64, f64) {
        match self {
            Self::Success => (0.93, 0.25),
            Self::Failure => (0.012, FAILS_SICK),
            Self::Refused => (0.002, 0.4),
            Self::Unreachable => (0.01, 0.4),
            Self::Overdue => (0.05, 0.6),
            Self::Shed => (0.05, 0.3),
        }
    }
}

/// Belief about one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    sick: f64,
    at: Time,
    onsets: f64,
    watched: f64,
}

impl Belief {
    /// Starts from the prior.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let mut b = Self { sick: 0.0, at: now, onsets: 0.0, watched: 0.0 };
        b.sick = b.onset_rate(now) / (b.onset_rate(now) + RECOVERY);
        b
    }

    /// Returns the chance that the upstream is sick at `now`.
    #[must_use]
    pub fn chance(&self, now: Time) -> f64 {
        let (rate, secs) = (self.onset_rate(now), now.since(self.at).as_secs_f64());
        let rest = rate / (rate + RECOVERY);
        rest + (self.sick - rest) * (-(rate + RECOVERY) * secs).exp()
    }

    /// Takes one observation.
    pub fn observe(&mut self, o: Observation, now: Time) {
        let before = self.chance(now);
        let (healthy, sick) = o.likelihood();
        let joint = before * sick;
        let after = joint / (joint + (1.0 - before) * healthy);
        self.age(now);
        // The part of an onset that this observation revealed.
        self.onsets += (after - before).max(0.0);
        self.sick = after.clamp(BOUNDS.0, BOUNDS.1);
    }

    fn age(&mut self, now: Time) {
        let secs = now.since(self.at).as_secs_f64();
        let kept = 0.5f64.powf(secs / ONSET_LIFE);
        self.onsets *= kept;
        self.watched = self.watched * kept + secs;
        self.at = self.at.max(now);
    }

    /// Returns onsets per second, as learnt so far.
    fn onset_rate(&self, now: Time) -> f64 {
        let watched = self.watched + now.since(self.at).as_secs_f64();
        (PRIOR_ONSETS + self.onsets) / (PRIOR_SECS + watched)
    }
}
