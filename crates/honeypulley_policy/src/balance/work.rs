//! Latency histograms.

use std::time::Duration;

/// Buckets per doubling of the latency.
const PER_DOUBLING: f64 = 4.0;
/// Upper bound of the first bucket, in seconds.
const FIRST_BOUND: f64 = 0.004;
/// Number of buckets; the last one ends beyond a minute.
const BUCKETS: usize = 56;
/// Total at which the samples are halved, so that old ones lose weight.
const MAX_SAMPLES: f32 = 400.0;
/// Weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 6.0;
/// Shape of the prior's log-logistic tail.
///
/// One answer in 28 takes three times the median.
const PRIOR_SHAPE: f64 = 3.0;
/// Samples from which the measured median is used for the prior.
const MIN_SAMPLES: f32 = 12.0;
/// Lower bound of the survival function, for latencies beyond all samples.
const MIN_SURVIVAL: f64 = 0.005;

/// Latency histogram on a logarithmic scale, with a weak prior.
#[derive(Clone, Debug, PartialEq)]
pub struct LatencyHistogram {
    counts: [f32; BUCKETS],
    /// Samples in this bucket or a higher one.
    above: [f32; BUCKETS],
    total: f32,
    /// Median of the samples, in seconds.
    median: f64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], above: [0.0; BUCKETS], total: 0.0, median: 0.0 }
    }
}

/// Prior of the latency before there are samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyPrior {
    /// Median latency, in seconds.
    pub median: f64,
}

impl LatencyHistogram {
    /// Adds a sample.
    pub fn add(&mut self, latency: Duration) {
        self.counts[bucket(latency.as_secs_f64()) as usize] += 1.0;
        self.total += 1.0;
        if self.total >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c /= 2.0);
        }
        let mut sum = 0.0;
        for (count, above) in self.counts.iter().zip(&mut self.above).rev() {
            sum += count;
            *above = sum;
        }
        self.total = sum;
        self.median = self.sample_quantile(0.5);
    }

    /// Returns whether there are enough samples to replace the assumed median.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    /// Returns the share of answers that take longer than `age`.
    #[must_use]
    pub fn survival(&self, age: Duration, prior: LatencyPrior) -> f64 {
        let median = if self.is_warm() { self.median } else { prior.median };
        let secs = age.as_secs_f64();
        let tail = 1.0 / (1.0 + (secs / median).powf(PRIOR_SHAPE));
        let above = f64::from(self.samples_above(secs));
        let share = (above + PRIOR_WEIGHT * tail) / (f64::from(self.total) + PRIOR_WEIGHT);
        share.clamp(MIN_SURVIVAL, 1.0)
    }

    /// Returns the latency that a share of the answers stay below.
    #[must_use]
    pub fn quantile(&self, share: f64, prior: LatencyPrior) -> Duration {
        let secs = if self.is_warm() {
            self.sample_quantile(share)
        } else {
            prior.median * (share / (1.0 - share)).powf(1.0 / PRIOR_SHAPE)
        };
        Duration::from_secs_f64(secs)
    }

    /// Returns the samples above a latency, interpolated within its bucket.
    fn samples_above(&self, secs: f64) -> f32 {
        let position = bucket(secs);
        let i = position as usize;
        let fraction = (position - i as f64) as f32;
        self.above[i] - self.counts[i] * fraction
    }

    fn sample_quantile(&self, share: f64) -> f64 {
        let wanted = self.total * (1.0 - share) as f32;
        // The highest bucket with more than the wanted samples at or above it.
        let i = self.above.iter().rposition(|&a| a > wanted).unwrap_or(0);
        let fraction =
            if self.counts[i] > 0.0 { (self.above[i] - wanted) / self.counts[i] } else { 0.5 };
        FIRST_BOUND * ((i as f64 + f64::from(fraction) - 1.0) / PER_DOUBLING).exp2()
    }
}

/// Returns the bucket of a latency, with the position inside it as fraction.
fn bucket(secs: f64) -> f64 {
    let position = 1.0 + (secs.max(1e-6) / FIRST_BOUND).log2() * PER_DOUBLING;
    position.clamp(0.0, BUCKETS as f64 - 1e-6)
}
