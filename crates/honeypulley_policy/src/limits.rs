//! Admission limits and the retry budget.

use crate::time::Time;
use std::time::Duration;

/// Generic cell rate algorithm: a rate with a burst, in sixteen bytes.
///
/// Source: ITU-T I.371. Kept here since the time is passed in and one cell is
/// held for each caller and service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gcra {
    interval: f64,
    ready: f64,
}

impl Gcra {
    /// Builds a limit of `rate` requests a second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self { interval: 1.0 / rate.max(1e-9), ready: 0.0 }
    }

    /// Admits one request, allowing `burst` at once.
    ///
    /// # Errors
    /// Returns the time until the next request fits; nothing is taken then.
    pub fn take(&mut self, burst: f64, now: Time) -> Result<(), Duration> {
        let t = now.as_secs();
        let ready = self.ready.max(t);
        let tolerance = self.interval * (burst - 1.0).max(0.0);
        // A nanosecond of slack: the sum of intervals is not exact.
        if ready - t > tolerance + 1e-9 {
            return Err(Duration::from_secs_f64(ready - t - tolerance));
        }
        self.ready = ready + self.interval;
        Ok(())
    }
}

/// Retries and hedges allowed, earned as a share of successes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

/// Retries that may be saved up, and that a new box starts with.
const BUDGET_CAP: f64 = 10.0;

impl RetryBudget {
    /// Builds a budget that earns `share` of a retry with each success.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, tokens: BUDGET_CAP }
    }

    /// Earns from one success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BUDGET_CAP);
    }

    /// Spends one retry; tells whether there was one.
    pub fn spend(&mut self) -> bool {
        let has = self.share > 0.0 && self.tokens >= 1.0;
        if has {
            self.tokens -= 1.0;
        }
        has
    }
}
