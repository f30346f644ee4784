//! Distribution of the response times of a service.

use std::time::Duration;

/// Smoothing factor of the mean and the variance.
const GAIN: f64 = 0.02;
/// Standard deviations above the mean at which a sample is clipped.
const CLIP_DEVIATIONS: f64 = 2.0;
/// Smoothing factor of the short-term mean.
const SHORT_GAIN: f64 = 0.1;
/// Smoothing factor of the long-term mean.
const LONG_GAIN: f64 = 0.001;
/// Factor over the long-term median from which the whole service counts as slow.
///
/// One upstream in nine at ten times its usual response time raises the median by a factor of 1.3.
const ELEVATED_FACTOR: f64 = 2.0;
/// Number of samples before the statistics are used.
const MIN_SAMPLES: u32 = 20;
/// Limit used until then.
const DEFAULT_LIMIT: Duration = Duration::from_millis(1_000);
/// Lower bound of all limits; shorter limits are exceeded by scheduling jitter.
const MIN_LIMIT: Duration = Duration::from_millis(20);

/// Exponentially weighted mean and variance of the logarithm of response times.
///
/// Response times are approximately log-normal, so limits are computed on the logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyStats {
    mean: f64,
    var: f64,
    short_mean: f64,
    long_mean: f64,
    samples: u32,
}

impl Default for LatencyStats {
    fn default() -> Self {
        Self { mean: (0.05f64).ln(), var: 0.25, short_mean: 0.0, long_mean: 0.0, samples: 0 }
    }
}

impl LatencyStats {
    /// Adds one response time.
    ///
    /// Clips samples at two standard deviations, so that one unhealthy upstream cannot shift what
    /// counts as the usual response time. With clipping at four, one unhealthy upstream in nine
    /// added 16/9 of the variance to itself, so that it grew without bound.
    pub fn add(&mut self, d: Duration) {
        let x = d.as_secs_f64().max(1e-6).ln();
        self.samples = self.samples.saturating_add(1);
        if self.samples <= MIN_SAMPLES {
            let k = f64::from(self.samples);
            let delta = x - self.mean;
            self.mean = if self.samples == 1 { x } else { self.mean + delta / k };
            (self.short_mean, self.long_mean) = (self.mean, self.mean);
            return;
        }
        let sd = self.var.sqrt();
        let x = x.min(self.mean + CLIP_DEVIATIONS * sd);
        self.short_mean += SHORT_GAIN * (x - self.short_mean);
        self.long_mean += LONG_GAIN * (x - self.long_mean);
        let delta = x - self.mean;
        self.mean += GAIN * delta;
        self.var = (self.var + GAIN * (delta * delta - self.var)).max(0.01);
    }

    /// Returns the response time `k` standard deviations above the median.
    #[must_use]
    pub fn limit(&self, k: f64) -> Duration {
        if self.samples < MIN_SAMPLES {
            return DEFAULT_LIMIT;
        }
        let secs = (self.mean + k * self.var.sqrt()).exp();
        Duration::from_secs_f64(secs.min(3_600.0)).max(MIN_LIMIT)
    }

    /// Returns the median response time.
    #[must_use]
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.mean.exp().min(3_600.0))
    }

    /// Returns whether the whole service responds far slower than in the long term.
    ///
    /// That indicates overload or a network fault rather than a fault of one upstream.
    #[must_use]
    pub fn is_elevated(&self) -> bool {
        self.is_warm() && self.short_mean - self.long_mean > ELEVATED_FACTOR.ln()
    }

    /// Returns the short-term median response time.
    #[must_use]
    pub fn recent_median(&self) -> Duration {
        Duration::from_secs_f64(self.short_mean.exp().min(3_600.0))
    }

    /// Returns whether there are enough samples for the limits to be used.
    #[must_use]
    pub const fn is_warm(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
