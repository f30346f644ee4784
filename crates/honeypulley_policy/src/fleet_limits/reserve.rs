//! Preference for the more urgent requests of a subject whose demand exceeds its limit.
//!
//! Each box admits a fraction of the subject's demand, the most urgent requests first, and adjusts
//! it so that the bucket keeps a reserve. The most urgent requests use the reserve; it covers what
//! all boxes admit before they receive each other's counts. Since all boxes see about the same level, their
//! fractions agree without a message.
//!
//! Requests are held back only during a shortage, so that none is rejected that would fit while
//! the whole demand is within the limit.

use super::rule::RateLimit;
use crate::route_mix::RouteMix;
use crate::time::Time;
use std::time::Duration;

/// Number of priorities.
const PRIORITIES: usize = RouteMix::LOWEST_PRIORITY as usize + 1;
/// Requests after which the counts by priority are halved.
const MAX_COUNTED: f32 = 256.0;
/// Time until all boxes know of an admission: the announcing interval of the data halls and the transit.
const STALENESS: Duration = Duration::from_millis(70);
/// Largest reserve, as a fraction of the burst.
const MAX_RESERVE_SHARE: f64 = 0.25;
/// Level, as a multiple of the reserve, from which nothing is held back.
const FULL_LEVEL: f64 = 2.5;
/// Fraction of the burst at which a shortage ends.
const SHORTAGE_END_SHARE: f64 = 0.5;
/// Fraction of the rate that must be admitted for an empty bucket to mean a shortage.
///
/// After a restart the bucket may be empty although the demand is within the limit.
const BUSY_SHARE: f64 = 0.8;
/// Lowest fraction of the demand that is admitted.
const MIN_FRACTION: f64 = 0.01;
/// Increase of the fraction per second while the level is twice the reserve.
///
/// Increases are additive and decreases proportional, so that the fractions of boxes converge.
const INCREASE: f64 = 0.3;
/// Relative decrease of the fraction per second while the bucket is empty.
const DECREASE: f64 = 1.5;
/// Relative change of the admitted fraction for a deviation of the level by the reserve.
///
/// The fraction alone would oscillate. With this, the response to a step settles within a second
/// at the delay of [`STALENESS`].
const DAMPING: f64 = 0.8;
/// Longest time that one adjustment covers.
const MAX_STEP: Duration = Duration::from_millis(200);

/// Demand of one subject by priority, as seen by this box.
#[derive(Debug)]
pub(super) struct Demand {
    /// Latest requests by priority.
    counts: [f32; PRIORITIES],
    /// Fraction of the demand to admit, during a shortage.
    fraction: Option<f64>,
    adjusted_at: Time,
}

/// State of a subject's limit that decides on the fraction.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pressure {
    pub(super) limit: RateLimit,
    /// Remaining tokens.
    pub(super) level: f64,
    /// Requests per second that all boxes lately admitted.
    pub(super) admitted_rate: f64,
    /// Whether the limit was lately exhausted.
    pub(super) is_exhausted: bool,
}

impl Pressure {
    /// Returns the tokens kept for the most urgent requests during a shortage.
    pub(super) fn reserve(&self) -> f64 {
        let admitted = self.limit.rate * STALENESS.as_secs_f64();
        (admitted + admitted.sqrt()).min(MAX_RESERVE_SHARE * self.limit.burst).max(0.1)
    }

    /// Returns the level from which nothing is held back.
    fn full_level(&self) -> f64 {
        1.0 + FULL_LEVEL * self.reserve()
    }

    /// Returns the deviation of the level from the reserve, in reserves.
    fn deviation(&self) -> f64 {
        let reserve = self.reserve();
        ((self.level - 1.0 - reserve) / reserve).clamp(-2.0, FULL_LEVEL - 1.0)
    }
}

impl Demand {
    pub(super) const fn new(now: Time) -> Self {
        Self { counts: [0.0; PRIORITIES], fraction: None, adjusted_at: now }
    }

    /// Records a request, whether or not it is admitted.
    pub(super) fn record(&mut self, priority: u8) {
        self.counts[usize::from(priority.min(RouteMix::LOWEST_PRIORITY))] += 1.0;
        if self.counts.iter().sum::<f32>() > MAX_COUNTED {
            self.counts.iter_mut().for_each(|c| *c *= 0.5);
        }
    }

    /// Returns whether requests are held back.
    pub(super) const fn is_short(&self) -> bool {
        self.fraction.is_some()
    }

    /// Adjusts the fraction of the demand to admit.
    pub(super) fn adjust(&mut self, p: &Pressure, now: Time) {
        let secs = now.since(self.adjusted_at).min(MAX_STEP).as_secs_f64();
        self.adjusted_at = now;
        let Some(fraction) = self.fraction else {
            let is_busy = p.admitted_rate >= BUSY_SHARE * p.limit.rate;
            if p.is_exhausted && is_busy && p.level < p.full_level() {
                self.fraction = Some((p.limit.rate / p.admitted_rate).min(1.0));
            }
            return;
        };
        if p.level >= SHORTAGE_END_SHARE * p.limit.burst {
            self.fraction = None;
            return;
        }
        let deviation = p.deviation();
        let slope = if deviation > 0.0 { INCREASE } else { DECREASE * fraction };
        self.fraction = Some((slope * deviation).mul_add(secs, fraction).clamp(MIN_FRACTION, 1.0));
    }

    /// Returns the probability with which a request of this priority is admitted.
    pub(super) fn probability(&self, priority: u8, p: &Pressure) -> f64 {
        let Some(fraction) = self.fraction else { return 1.0 };
        if p.level >= p.full_level() {
            return 1.0;
        }
        let (urgent, own) = self.shares(priority);
        let admitted = fraction * DAMPING.mul_add(p.deviation(), 1.0).max(0.0);
        ((admitted - urgent) / own.max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Returns the time until the level may reach the point from which nothing is held back.
    ///
    /// It is reached then if nothing but more urgent requests is admitted. `None` if these take
    /// the whole limit.
    pub(super) fn full_wait(&self, priority: u8, p: &Pressure) -> Option<Duration> {
        let (urgent, _) = self.shares(priority);
        // The admitted fraction of the demand makes up the rate.
        let urgent_rate = p.limit.rate * urgent / self.fraction.unwrap_or(1.0);
        let refill = p.limit.rate - urgent_rate;
        let missing = (p.full_level() - p.level).max(0.0);
        let secs = (refill > 0.0).then(|| missing / refill)?;
        Duration::try_from_secs_f64(secs).ok()
    }

    /// Returns the shares of the demand that are more urgent and equally urgent.
    fn shares(&self, priority: u8) -> (f64, f64) {
        let index = usize::from(priority.min(RouteMix::LOWEST_PRIORITY));
        let total = f64::from(self.counts.iter().sum::<f32>()).max(1.0);
        let urgent = f64::from(self.counts[..index].iter().sum::<f32>());
        (urgent / total, f64::from(self.counts[index]) / total)
    }
}
