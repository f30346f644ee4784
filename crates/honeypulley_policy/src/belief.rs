//! Probability that an upstream is unhealthy, estimated by a hidden Markov model.
//!
//! An upstream becomes unhealthy at random and stays so for some seconds. The unhealthy state
//! consists of two consecutive phases, so that it seldom ends within the first second; with a
//! single phase, the next probe would be sent too early. Each observation updates the probabilities
//! by Bayes' rule. Since the base rate of failures is low, a single failure already decides most of
//! the estimate. Source for the filter: Rabiner, 1989.

use crate::balance::illness::{HUNG_RATIO, OVERDUE_RATIO};
use crate::time::Time;

/// Prior failure rate of requests on an unhealthy upstream.
pub const FAILS_SICK: f64 = 0.75;
/// Prior rate at which an upstream becomes unhealthy, per second.
const ONSET: f64 = 1.0 / 19.0;
/// Rate at which the path from this box to an upstream fails, per second.
const PATH_ONSET: f64 = 1.0 / 600.0;
/// Prior rate at which a phase of the unhealthy state ends, per second.
const PHASE_END: f64 = 1.0 / 2.3;
/// Upper bound of the unhealthy probability after a peer reports the upstream healthy.
const MAX_REPORTED_HEALTHY: f64 = 0.1;
/// Lower bound of the probability of any state, so that no state becomes absorbing.
const MIN_PROBABILITY: f64 = 1e-4;

/// Observed result of an attempt, or of an attempt that is still pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A complete response in time.
    Success,
    /// An immediate failure response, a reset, or a truncated or malformed response.
    Failure,
    /// A failure response after the usual processing time.
    ///
    /// Most of these are caused by the request, whereas immediate failures are mostly caused by the
    /// upstream.
    FailedWork,
    /// The connection was refused.
    Refused,
    /// The connection timed out.
    Unreachable,
    /// No response after a time by which most responses have arrived.
    Overdue,
    /// No response after a time by which nearly all responses have arrived.
    ///
    /// Follows [`Self::Overdue`] for the same attempt, unless the attempt ended earlier.
    Hung,
    /// The upstream rejected the request.
    Shed,
}

impl Observation {
    /// Returns whether the observation can mean a lost request.
    ///
    /// A request of which nothing was sent goes to another upstream at no cost, so it is not a
    /// failure of its service.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Failure | Self::FailedWork | Self::Hung | Self::Shed)
    }

    /// Returns the likelihood of this observation for a healthy and an unhealthy upstream.
    ///
    /// Nearly all failures at the base rate occur after processing.
    pub(crate) const fn likelihood(self) -> (f64, f64) {
        match self {
            Self::Success => (0.93, 0.25),
            Self::Failure => (0.000_3, FAILS_SICK),
            Self::FailedWork => (0.012, 0.03),
            Self::Refused => (0.002, 0.4),
            Self::Unreachable => (0.01, 0.4),
            // The likelihood ratios at which pending attempts are announced, in two steps.
            Self::Overdue => (1.0, OVERDUE_RATIO),
            Self::Hung => (1.0, HUNG_RATIO / OVERDUE_RATIO),
            Self::Shed => (0.05, 0.3),
        }
    }
}

/// Estimated health of one upstream, or of the path to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Probability of the first unhealthy phase.
    early: f64,
    /// Probability of the second unhealthy phase.
    late: f64,
    /// Rate at which the unhealthy state begins, per second.
    onset: f64,
    updated: Time,
}

impl Belief {
    /// Creates an estimate at the prior.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let stationary = stationary(ONSET);
        Self { early: stationary, late: stationary, onset: ONSET, updated: now }
    }

    /// Creates an estimate for something that seldom fails, such as a network path.
    #[must_use]
    pub const fn for_path(now: Time) -> Self {
        Self { early: MIN_PROBABILITY, late: MIN_PROBABILITY, onset: PATH_ONSET, updated: now }
    }

    /// Creates an estimate from the phase probabilities reported by a peer.
    #[must_use]
    pub fn from_peer([early, late]: [f64; 2], now: Time) -> Self {
        let early = early.clamp(MIN_PROBABILITY, 1.0 - 2.0 * MIN_PROBABILITY);
        let late = late.clamp(MIN_PROBABILITY, 1.0 - MIN_PROBABILITY - early);
        Self { early, late, onset: ONSET, updated: now }
    }

    /// Returns the probabilities of the two unhealthy phases at `now`.
    #[must_use]
    pub fn phase_probabilities(&self, now: Time) -> [f64; 2] {
        let predicted = self.predicted(now);
        [predicted.early, predicted.late]
    }

    /// Returns the probability that the upstream is unhealthy at `now`.
    #[must_use]
    pub fn probability(&self, now: Time) -> f64 {
        let predicted = self.predicted(now);
        predicted.early + predicted.late
    }

    /// Updates the estimate with one observation.
    pub fn observe(&mut self, o: Observation, now: Time) {
        let (healthy, unhealthy) = o.likelihood();
        self.update(healthy, unhealthy, now);
    }

    /// Updates the estimate by the likelihoods for a healthy and an unhealthy upstream.
    pub fn update(&mut self, healthy: f64, unhealthy: f64, now: Time) {
        *self = self.predicted(now);
        let joint = [
            (1.0 - self.early - self.late) * healthy,
            self.early * unhealthy,
            self.late * unhealthy,
        ];
        let total: f64 = joint.iter().sum();
        let bounded = |x: f64| (x / total).clamp(MIN_PROBABILITY, 1.0 - 2.0 * MIN_PROBABILITY);
        (self.early, self.late) = (bounded(joint[1]), bounded(joint[2]));
        let unhealthy = self.early + self.late;
        if unhealthy > 1.0 - MIN_PROBABILITY {
            self.scale((1.0 - MIN_PROBABILITY) / unhealthy);
        }
    }

    /// Lowers the estimate after a better informed peer reported the upstream healthy.
    pub fn cap_unhealthy(&mut self, now: Time) {
        *self = self.predicted(now);
        let unhealthy = self.early + self.late;
        if unhealthy > MAX_REPORTED_HEALTHY {
            self.scale(MAX_REPORTED_HEALTHY / unhealthy);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.early *= factor;
        self.late *= factor;
    }

    /// Returns the estimate advanced to `now` without any observation.
    ///
    /// The deviation from the stationary probabilities follows a linear differential equation whose
    /// solution is a damped oscillation. `damping` and `frequency` are the real and imaginary parts
    /// of its eigenvalues.
    fn predicted(&self, now: Time) -> Self {
        let secs = now.since(self.updated).as_secs_f64();
        let stationary = stationary(self.onset);
        let damping = PHASE_END + self.onset / 2.0;
        let frequency = (self.onset * (PHASE_END - self.onset / 4.0)).sqrt();
        let (sin, cos) = (frequency * secs).sin_cos();
        let (a, b) = (self.early - stationary, self.late - stationary);
        let half = self.onset / 2.0;
        let early = a * cos - (half * a + self.onset * b) * sin / frequency;
        let late = b * cos + (PHASE_END * a + half * b) * sin / frequency;
        let decay = (-damping * secs).exp();
        let bounded =
            |x: f64| (stationary + x * decay).clamp(MIN_PROBABILITY, 1.0 - 2.0 * MIN_PROBABILITY);
        Self {
            early: bounded(early),
            late: bounded(late),
            onset: self.onset,
            updated: now.max(self.updated),
        }
    }
}

/// Returns the stationary probability of each unhealthy phase.
fn stationary(onset: f64) -> f64 {
    onset / 2.0f64.mul_add(onset, PHASE_END)
}
