//! How long answers take, as learnt from those that came.

use std::time::Duration;

/// Buckets to each doubling of the time.
const PER_DOUBLING: f64 = 4.0;
/// Upper end of the first bucket, in seconds.
const FIRST: f64 = 0.004;
/// Buckets; the last one ends beyond a minute.
const BUCKETS: usize = 56;
/// Samples at which all are halved, so that old ones fade.
const MOST_SAMPLES: f32 = 400.0;
/// Samples that the prior stands for.
const PRIOR_WEIGHT: f64 = 6.0;
/// Shape of the prior's log-logistic tail: one answer in 28 takes three times the middle.
const PRIOR_SHAPE: f64 = 3.0;
/// Samples before the middle is trusted to place the prior.
const WARM: f32 = 12.0;
/// Least share that is thought to take longer than anything seen.
const LEAST_SHARE: f64 = 0.005;

/// Histogram of answer times on a logarithmic scale, with a weak prior.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkTimes {
    counts: [f32; BUCKETS],
    /// Samples in a bucket or above it.
    above: [f32; BUCKETS],
    total: f32,
    /// Middle of what was seen, in seconds.
    middle: f64,
}

impl Default for WorkTimes {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], above: [0.0; BUCKETS], total: 0.0, middle: 0.0 }
    }
}

/// What is assumed where nothing was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assumed {
    /// Middle of the answer times, in seconds.
    pub middle: f64,
}

impl WorkTimes {
    /// Adds the time that one answer took.
    pub fn add(&mut self, took: Duration) {
        self.counts[bucket(took.as_secs_f64()) as usize] += 1.0;
        self.total += 1.0;
        if self.total >= MOST_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c /= 2.0);
        }
        let mut sum = 0.0;
        for (count, above) in self.counts.iter().zip(&mut self.above).rev() {
            sum += count;
            *above = sum;
        }
        self.total = sum;
        self.middle = self.quantile(0.5);
    }

    /// Returns whether enough was seen to go by it.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.total >= WARM
    }

    /// Returns the share of answers that take longer than `age`.
    #[must_use]
    pub fn survival(&self, age: Duration, assumed: Assumed) -> f64 {
        let middle = if self.is_warm() { self.middle } else { assumed.middle };
        let secs = age.as_secs_f64();
        let prior = 1.0 / (1.0 + (secs / middle).powf(PRIOR_SHAPE));
        let above = f64::from(self.seen_above(secs));
        let share = (above + PRIOR_WEIGHT * prior) / (f64::from(self.total) + PRIOR_WEIGHT);
        share.clamp(LEAST_SHARE, 1.0)
    }

    /// Returns the time within which a share of the answers come.
    #[must_use]
    pub fn within(&self, share: f64, assumed: Assumed) -> Duration {
        let secs = if self.is_warm() {
            self.quantile(share)
        } else {
            assumed.middle * (share / (1.0 - share)).powf(1.0 / PRIOR_SHAPE)
        };
        Duration::from_secs_f64(secs)
    }

    /// Returns the samples above a time, parting the bucket that it lies in.
    fn seen_above(&self, secs: f64) -> f32 {
        let at = bucket(secs);
        let i = at as usize;
        let part = (at - i as f64) as f32;
        self.above[i] - self.counts[i] * part
    }

    fn quantile(&self, share: f64) -> f64 {
        let wanted = self.total * (1.0 - share) as f32;
        // The first bucket above whose lower end no more than the wanted ones lie.
        let i = self.above.iter().rposition(|&a| a > wanted).unwrap_or(0);
        let part =
            if self.counts[i] > 0.0 { (self.above[i] - wanted) / self.counts[i] } else { 0.5 };
        FIRST * ((i as f64 + f64::from(part) - 1.0) / PER_DOUBLING).exp2()
    }
}

/// Returns a time's place on the scale of buckets, its fraction included.
fn bucket(secs: f64) -> f64 {
    let at = 1.0 + (secs.max(1e-6) / FIRST).log2() * PER_DOUBLING;
    at.clamp(0.0, BUCKETS as f64 - 1e-6)
}
