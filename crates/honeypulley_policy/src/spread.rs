//! The usual spread of a service's answer times.

use std::time::Duration;

/// Weight of one new sample in the running mean and variance.
const GAIN: f64 = 0.02;
/// Deviations above the middle at which a sample is clipped.
const CLIP: f64 = 2.0;
/// Weight of one new sample in the mean of the last moments.
const FAST_GAIN: f64 = 0.1;
/// Weight of one new sample in the long-run mean.
const BASE_GAIN: f64 = 0.001;
/// Times the long-run middle at which the whole service counts as slowed.
///
/// One upstream in nine at ten times its usual time raises the middle by 1.3.
const RAISED: f64 = 2.0;
/// Samples before the spread is trusted.
const WARM: u32 = 20;
/// Limit assumed while cold.
const COLD_LIMIT: Duration = Duration::from_millis(1_000);
/// Shortest limit ever returned; shorter ones trip on scheduling noise.
const MIN_LIMIT: Duration = Duration::from_millis(20);

/// A running mean and variance of the logarithm of answer times.
///
/// Answer times are close to log-normal, so limits are set in that space.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    mean: f64,
    var: f64,
    fast: f64,
    base: f64,
    seen: u32,
}

impl Default for Spread {
    fn default() -> Self {
        Self { mean: (0.05f64).ln(), var: 0.25, fast: 0.0, base: 0.0, seen: 0 }
    }
}

impl Spread {
    /// Adds one answer time.
    ///
    /// A sample over two deviations counts as two, so that one sick upstream
    /// cannot teach the service that slow is usual. At four, one sick in nine
    /// fed the variance by 16/9 of itself and it grew without bound.
    pub fn add(&mut self, d: Duration) {
        let x = d.as_secs_f64().max(1e-6).ln();
        self.seen = self.seen.saturating_add(1);
        if self.seen <= WARM {
            let k = f64::from(self.seen);
            let delta = x - self.mean;
            self.mean = if self.seen == 1 { x } else { self.mean + delta / k };
            (self.fast, self.base) = (self.mean, self.mean);
            return;
        }
        let sd = self.var.sqrt();
        let x = x.min(self.mean + CLIP * sd);
        self.fast += FAST_GAIN * (x - self.fast);
        self.base += BASE_GAIN * (x - self.base);
        let delta = x - self.mean;
        self.mean += GAIN * delta;
        self.var = (self.var + GAIN * (delta * delta - self.var)).max(0.01);
    }

    /// Returns the answer time `k` deviations above the middle.
    #[must_use]
    pub fn limit(&self, k: f64) -> Duration {
        if self.seen < WARM {
            return COLD_LIMIT;
        }
        let secs = (self.mean + k * self.var.sqrt()).exp();
        Duration::from_secs_f64(secs.min(3_600.0)).max(MIN_LIMIT)
    }

    /// Returns the middle answer time.
    #[must_use]
    pub fn middle(&self) -> Duration {
        Duration::from_secs_f64(self.mean.exp().min(3_600.0))
    }

    /// Returns whether the whole service answers far later than it used to.
    ///
    /// That is overload or the network, and says nothing of one upstream.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.is_warm() && self.fast - self.base > RAISED.ln()
    }

    /// Returns the middle answer time of the last moments.
    #[must_use]
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64(self.fast.exp().min(3_600.0))
    }

    /// Returns whether enough samples were seen to trust the limits.
    #[must_use]
    pub const fn is_warm(&self) -> bool {
        self.seen >= WARM
    }
}
