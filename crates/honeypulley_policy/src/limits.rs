//! Per-box rate limits and the retry budget.

use crate::time::Time;
use std::time::Duration;

/// Generic cell rate algorithm (ITU-T I.371): a rate limit with a burst, in 16 bytes.
///
/// Implemented here because the time must be passed in and one small cell is stored for each
/// caller and service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gcra {
    interval: f64,
    next_at: f64,
}

impl Gcra {
    /// Creates a limit of `rate` requests per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self { interval: 1.0 / rate.max(1e-9), next_at: 0.0 }
    }

    /// Admits one request, allowing bursts of up to `burst` requests.
    ///
    /// # Errors
    /// Returns the time until the next request is allowed; the state is left unchanged.
    pub fn try_acquire(&mut self, burst: f64, now: Time) -> Result<(), Duration> {
        let t = now.as_secs();
        let next_at = self.next_at.max(t);
        let tolerance = self.interval * (burst - 1.0).max(0.0);
        // 1 ns of tolerance, because summed intervals are subject to rounding errors.
        if next_at - t > tolerance + 1e-9 {
            return Err(Duration::from_secs_f64(next_at - t - tolerance));
        }
        self.next_at = next_at + self.interval;
        Ok(())
    }
}

/// Budget for retries and hedges, replenished in proportion to successes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

/// Capacity of the retry budget, which is also its initial level.
const BUDGET_CAP: f64 = 10.0;

impl RetryBudget {
    /// Creates a budget that gains `share` retries for each success.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, tokens: BUDGET_CAP }
    }

    /// Replenishes the budget after one success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(BUDGET_CAP);
    }

    /// Spends one retry and returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.share > 0.0 && self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
