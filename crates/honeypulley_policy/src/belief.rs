//! Chance that an upstream is sick, by a hidden Markov model.
//!
//! An upstream falls sick at random and stays so for some seconds. Its sickness has
//! two phases, one after the other, so that it seldom ends within the first second;
//! with one phase, a second trial would come too soon. Each observation moves the
//! chances by Bayes' rule, so that at a low base rate of failures a single one says
//! most of it. Source: Rabiner, 1989, for the filter.

use crate::balance::illness::{HUNG_RATIO, OVERDUE_RATIO};
use crate::time::Time;

/// Prior share of requests that fail on a sick upstream.
pub const FAILS_SICK: f64 = 0.75;
/// Prior rate at which an upstream falls sick, per second.
const ONSET: f64 = 1.0 / 19.0;
/// Rate at which a path from this box falls ill, per second: cuts and the like.
const PATH_ONSET: f64 = 1.0 / 600.0;
/// Prior rate at which a phase of sickness ends, per second.
const PHASE_END: f64 = 1.0 / 2.3;
/// Most that is believed of the sickness of an upstream that was said to be well.
const CALM_SICK: f64 = 0.1;
/// Least chance of any state, which keeps all of them movable.
const LEAST: f64 = 1e-4;

/// What was seen of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A whole answer in time.
    Success,
    /// A failure answer at once, a reset, a cut or a malformed answer.
    Failure,
    /// A failure answer after the usual time of work.
    ///
    /// It is mostly the request's own fault, where an immediate one is mostly the upstream's.
    FailedWork,
    /// The connection was refused.
    Refused,
    /// No connection came up in time.
    Unreachable,
    /// No answer after a time in which few answers are still to come.
    Overdue,
    /// No answer after a time in which nearly all have come.
    ///
    /// It follows [`Self::Overdue`] of the same attempt, unless that ended before.
    Hung,
    /// It turned the request away.
    Shed,
}

impl Observation {
    /// Returns whether a request may be lost by it.
    ///
    /// A request of which nothing was sent goes elsewhere at no cost, so it is no failure of
    /// its service.
    #[must_use]
    pub const fn may_lose(self) -> bool {
        matches!(self, Self::Failure | Self::FailedWork | Self::Hung | Self::Shed)
    }

    /// Returns how likely this is of a well and of a sick upstream.
    ///
    /// Nearly all base failures come after work.
    pub(crate) const fn likelihood(self) -> (f64, f64) {
        match self {
            Self::Success => (0.93, 0.25),
            Self::Failure => (0.000_3, FAILS_SICK),
            Self::FailedWork => (0.012, 0.03),
            Self::Refused => (0.002, 0.4),
            Self::Unreachable => (0.01, 0.4),
            // The ratios at which attempts in flight are announced, in two steps.
            Self::Overdue => (1.0, OVERDUE_RATIO),
            Self::Hung => (1.0, HUNG_RATIO / OVERDUE_RATIO),
            Self::Shed => (0.05, 0.3),
        }
    }
}

/// Belief about one upstream, or about the path to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Chance of the first phase of sickness.
    early: f64,
    /// Chance of the second.
    late: f64,
    /// Rate at which sickness begins, per second.
    onset: f64,
    at: Time,
}

impl Belief {
    /// Starts from the prior.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let usual = usual(ONSET);
        Self { early: usual, late: usual, onset: ONSET, at: now }
    }

    /// Starts for something that is seldom bad, such as a path.
    #[must_use]
    pub const fn sound(now: Time) -> Self {
        Self { early: LEAST, late: LEAST, onset: PATH_ONSET, at: now }
    }

    /// Adopts what a peer believes of an upstream.
    #[must_use]
    pub fn told([early, late]: [f64; 2], now: Time) -> Self {
        let early = early.clamp(LEAST, 1.0 - 2.0 * LEAST);
        let late = late.clamp(LEAST, 1.0 - LEAST - early);
        Self { early, late, onset: ONSET, at: now }
    }

    /// Returns the chances of the two phases of sickness at `now`.
    #[must_use]
    pub fn phases(&self, now: Time) -> [f64; 2] {
        let aged = self.aged(now);
        [aged.early, aged.late]
    }

    /// Returns the chance that the upstream is sick at `now`.
    #[must_use]
    pub fn chance(&self, now: Time) -> f64 {
        let aged = self.aged(now);
        aged.early + aged.late
    }

    /// Records one observation.
    pub fn observe(&mut self, o: Observation, now: Time) {
        let (well, sick) = o.likelihood();
        self.weigh(well, sick, now);
    }

    /// Updates by the likelihoods of a well and of a sick upstream.
    pub fn weigh(&mut self, well: f64, sick: f64, now: Time) {
        *self = self.aged(now);
        let joint = [(1.0 - self.early - self.late) * well, self.early * sick, self.late * sick];
        let total: f64 = joint.iter().sum();
        let bounded = |x: f64| (x / total).clamp(LEAST, 1.0 - 2.0 * LEAST);
        (self.early, self.late) = (bounded(joint[1]), bounded(joint[2]));
        let sick = self.early + self.late;
        if sick > 1.0 - LEAST {
            self.scale((1.0 - LEAST) / sick);
        }
    }

    /// Adopts a better informed peer's report that it is well.
    pub fn calm(&mut self, now: Time) {
        *self = self.aged(now);
        let sick = self.early + self.late;
        if sick > CALM_SICK {
            self.scale(CALM_SICK / sick);
        }
    }

    fn scale(&mut self, by: f64) {
        self.early *= by;
        self.late *= by;
    }

    /// Returns the belief as time alone has moved it.
    ///
    /// The distance from the usual chances follows a linear equation, whose solution
    /// is a damped turn; `damping` and `turn` are its eigenvalues' parts.
    fn aged(&self, now: Time) -> Self {
        let secs = now.since(self.at).as_secs_f64();
        let usual = usual(self.onset);
        let damping = PHASE_END + self.onset / 2.0;
        let turn = (self.onset * (PHASE_END - self.onset / 4.0)).sqrt();
        let (sin, cos) = (turn * secs).sin_cos();
        let (a, b) = (self.early - usual, self.late - usual);
        let half = self.onset / 2.0;
        let early = a * cos - (half * a + self.onset * b) * sin / turn;
        let late = b * cos + (PHASE_END * a + half * b) * sin / turn;
        let kept = (-damping * secs).exp();
        let bounded = |x: f64| (usual + x * kept).clamp(LEAST, 1.0 - 2.0 * LEAST);
        Self { early: bounded(early), late: bounded(late), onset: self.onset, at: now.max(self.at) }
    }
}

/// Returns the chance of either phase for one of which nothing was seen.
fn usual(onset: f64) -> f64 {
    onset / 2.0f64.mul_add(onset, PHASE_END)
}
