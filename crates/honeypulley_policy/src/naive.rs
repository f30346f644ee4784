//! Baseline outlier detection that the policy is compared with.
//!
//! Each box decides alone: five consecutive failures eject an upstream for thirty seconds, with at
//! most a tenth of the service ejected at a time. These are the published defaults of common
//! outlier detection.

use crate::time::Time;
use std::time::Duration;

/// Consecutive failures that eject an upstream.
pub const FAILURES: u32 = 5;
/// Time window in which these failures must occur.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Duration of an ejection.
pub const EJECTION_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    streak: u32,
    streak_start: Time,
    ejected_until: Option<Time>,
    in_flight: u32,
}

/// Outlier detection of one box for one service.
#[derive(Clone, Debug)]
pub struct Naive {
    entries: Vec<Entry>,
}

impl Naive {
    /// Creates the state for `n` upstreams.
    #[must_use]
    pub fn new(n: usize) -> Self {
        Self { entries: vec![Entry::default(); n] }
    }

    /// Returns whether upstream `i` is ejected at `now`.
    #[must_use]
    pub fn is_aside(&self, i: usize, now: Time) -> bool {
        self.entries[i].ejected_until.is_some_and(|t| now < t)
    }

    /// Picks the less loaded of two upstreams drawn at random.
    ///
    /// Returns `None` if all are ejected.
    pub fn pick(&mut self, now: Time, rng: &mut fastrand::Rng) -> Option<usize> {
        let free: Vec<usize> =
            (0..self.entries.len()).filter(|&i| !self.is_aside(i, now)).collect();
        let draw =
            |rng: &mut fastrand::Rng| (!free.is_empty()).then(|| free[rng.usize(..free.len())]);
        let (a, b) = (draw(rng)?, draw(rng)?);
        let best = if self.entries[a].in_flight <= self.entries[b].in_flight { a } else { b };
        self.entries[best].in_flight += 1;
        Some(best)
    }

    /// Records the end of a request and returns whether it ejected the upstream.
    pub fn finish(&mut self, i: usize, ok: bool, now: Time) -> bool {
        let ejected = (0..self.entries.len()).filter(|&j| self.is_aside(j, now)).count();
        let max_ejected = (self.entries.len() / 10).max(1);
        let e = &mut self.entries[i];
        e.in_flight = e.in_flight.saturating_sub(1);
        if ok {
            e.streak = 0;
            return false;
        }
        if e.streak == 0 || now.since(e.streak_start) > WINDOW {
            e.streak = 0;
            e.streak_start = now;
        }
        e.streak += 1;
        if e.streak < FAILURES || ejected >= max_ejected || e.ejected_until.is_some_and(|t| now < t)
        {
            return false;
        }
        e.streak = 0;
        e.ejected_until = Some(now + EJECTION_TIME);
        true
    }
}
