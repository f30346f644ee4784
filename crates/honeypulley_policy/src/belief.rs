//! Chance that an upstream is sick, by a hidden Markov model of three states.
//!
//! Most upstreams are solid. Some are prone: they fall sick for some seconds, again
//! and again, and are well in between. Each observation moves the chances by Bayes'
//! rule, so that at a low base rate of failures a single one says most of it; a
//! prone upstream is not trusted as soon as one answer is good. Source: Rabiner,
//! 1989, for the filter.

use crate::time::Time;

/// Share of requests that fail on a sick upstream, as on the deployments' sheets.
pub const FAILS_SICK: f64 = 0.75;
/// Rate at which a prone upstream falls sick, per second.
///
/// Spells were seen each 5 to 9 s on the deployments, and lasted up to 4 s.
const ONSET: f64 = 1.0 / 5.0;
/// Rate at which sickness ends, per second.
const RECOVERY: f64 = 1.0 / 4.0;
/// Rate at which a solid upstream falls sick, per second: crashes and the like.
const TROUBLE: f64 = 1.0 / 150.0;
/// Rate at which a prone upstream becomes solid, per second.
const HEALING: f64 = 1.0 / 60.0;
/// Share of prone upstreams before anything was seen, as on the sheets.
const PRIOR_PRONE: f64 = 0.3;
/// Share of the time for which a prone upstream is sick.
const SICK_SHARE: f64 = ONSET / (ONSET + RECOVERY);
/// Most that is believed of an upstream that was said to be well.
const CALM_SICK: f64 = 0.1;
/// Most that is believed of its being prone.
const CALM_PRONE: f64 = 0.4;
/// Least chance of any state, which keeps all of them movable.
const LEAST: f64 = 1e-4;

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
    /// Returns how likely this is of a well and of a sick upstream.
    ///
    /// The base rate of failures, 1.2 in 100, is that of the deployments' sheets;
    /// the others are estimates.
    const fn likelihood(self) -> (f64, f64) {
        match self {
            Self::Success => (0.93, 0.25),
            Self::Failure => (0.012, FAILS_SICK),
            Self::Refused => (0.002, 0.4),
            Self::Unreachable => (0.01, 0.4),
            // One in twelve of a well upstream's is: at four requests a second each
            // would else be doubted all the time.
            Self::Overdue => (0.08, 0.3),
            Self::Shed => (0.05, 0.3),
        }
    }
}

/// Belief about one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Chance that it is prone.
    prone: f64,
    /// Chance that it is sick, which only a prone one is.
    sick: f64,
    at: Time,
}

impl Belief {
    /// Starts from the prior.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self { prone: PRIOR_PRONE, sick: PRIOR_PRONE * SICK_SHARE, at: now }
    }

    /// Starts for something that is seldom bad, such as a path.
    #[must_use]
    pub const fn sound(now: Time) -> Self {
        Self { prone: LEAST, sick: LEAST * SICK_SHARE, at: now }
    }

    /// Returns the chance that the upstream is sick at `now`.
    #[must_use]
    pub fn chance(&self, now: Time) -> f64 {
        self.aged(now).sick
    }

    /// Takes one observation.
    pub fn observe(&mut self, o: Observation, now: Time) {
        *self = self.aged(now);
        let (well, sick) = o.likelihood();
        let (solid, between) = (1.0 - self.prone, self.prone - self.sick);
        let joint = [solid * well, between * well, self.sick * sick];
        let total: f64 = joint.iter().sum();
        let bounded = |x: f64| (x / total).clamp(LEAST, 1.0 - 2.0 * LEAST);
        let (between, sick) = (bounded(joint[1]), bounded(joint[2]));
        self.prone = (between + sick).min(1.0 - LEAST);
        self.sick = sick.min(self.prone);
    }

    /// Takes the word of a box that knows better that it is well now.
    pub fn calm(&mut self, now: Time) {
        *self = self.aged(now);
        self.sick = self.sick.min(CALM_SICK);
        self.prone = self.prone.min(CALM_PRONE).max(self.sick);
    }

    /// Returns the belief as time alone has moved it.
    fn aged(&self, now: Time) -> Self {
        let secs = now.since(self.at).as_secs_f64();
        let healed = (-HEALING * secs).exp();
        let fell = (1.0 - self.prone) * (1.0 - (-TROUBLE * secs).exp());
        let share = if self.prone > 0.0 { self.sick / self.prone } else { SICK_SHARE };
        let share = SICK_SHARE + (share - SICK_SHARE) * (-(ONSET + RECOVERY) * secs).exp();
        let kept = self.prone * healed;
        Self { prone: kept + fell, sick: kept * share + fell * SICK_SHARE, at: now.max(self.at) }
    }
}
