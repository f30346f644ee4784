//! Failure statistics of the upstreams of one service.
//!
//! Runs one CUSUM test (Page, 1954) per upstream over successes and failures. The failure rate of
//! the *other* upstreams is the null hypothesis, so that a fault shared by all of them, such as
//! overload or a network fault, carries little weight against any single one. The choice of the
//! null hypothesis is specific to this project; the `trial` tool measures its effect.

use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Evidence that one request gives about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A complete response within the usual time.
    Good,
    /// A complete response that took longer than usual for the service.
    Slow,
    /// No response yet, after longer than usual for the service.
    Stalled,
    /// A refused, reset or failed request.
    Failure,
    /// A malformed, truncated or mislabelled response.
    Malformed,
}

impl Evidence {
    /// Returns whether the evidence concerns latency only.
    #[must_use]
    pub const fn is_latency(self) -> bool {
        matches!(self, Self::Slow | Self::Stalled)
    }

    /// Returns the weight of this evidence, in tenths of a failure.
    #[must_use]
    pub const fn weight_tenths(self) -> u16 {
        match self {
            Self::Good => 0,
            Self::Slow => 6,
            Self::Stalled | Self::Failure => 10,
            Self::Malformed => 20,
        }
    }
}

/// Half-life of the long-term counts.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Smallest fraction of a half-life for which counts are decayed.
const DECAY_STEP: f64 = 0.05;
/// Ratio to the siblings' median failures that makes an upstream an outlier.
const OUTLIER_RATIO: f64 = 3.0;
/// Failure rate of an unhealthy upstream under the alternative hypothesis.
const UNHEALTHY_RATE: f64 = 0.5;
/// Weight of the prior failure rate, in outcomes.
const PRIOR_WEIGHT: f64 = 20.0;
/// Failure rate assumed before any outcome is recorded.
const PRIOR_RATE: f64 = 0.01;
/// Lower bound of the score, reached after a series of successes.
const MIN_SCORE: f64 = 0.0;

/// Counts and CUSUM score of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Entry {
    long: Counts,
    short: Counts,
    score: f64,
}

/// Exponentially decayed counts of successes and failures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    good: f64,
    bad: f64,
}

impl Counts {
    fn add(&mut self, good: f64, bad: f64) {
        self.good += good;
        self.bad += bad;
    }

    fn scale(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }

    /// Returns the failure rate without the counts in `own`, smoothed by a prior.
    fn rate_excluding(self, own: Self, prior: f64) -> f64 {
        let bad = (self.bad - own.bad).max(0.0);
        let all = bad + (self.good - own.good).max(0.0);
        (bad + prior * PRIOR_RATE) / (all + prior)
    }
}

/// CUSUM scores of all upstreams of one service, keyed by `K`.
#[derive(Clone, Debug)]
pub struct CusumScores<K> {
    entries: BTreeMap<K, Entry>,
    long_decayed: Time,
    short_decayed: Time,
    short_half_life: Duration,
    long: Counts,
    short: Counts,
    cap: f64,
}

impl<K: Ord + Copy> CusumScores<K> {
    /// Creates an empty set of scores, each limited to `cap`.
    ///
    /// `short_half_life` is the half-life of the short-term counts, which show a fault shared by
    /// all upstreams earlier than the long-term counts do.
    #[must_use]
    pub const fn new(cap: f64, short_half_life: Duration) -> Self {
        let zero = Counts { good: 0.0, bad: 0.0 };
        Self {
            entries: BTreeMap::new(),
            long_decayed: Time::ZERO,
            short_decayed: Time::ZERO,
            short_half_life,
            long: zero,
            short: zero,
            cap,
        }
    }

    /// Adds `good` successes and `bad` weighted failures of `key`.
    ///
    /// Returns the new score of the upstream.
    pub fn add(&mut self, key: K, good: f64, bad: f64, now: Time) -> f64 {
        self.decay(now);
        let null_rate = self.sibling_rate(key);
        let e = self.entries.entry(key).or_default();
        let unhealthy_rate = UNHEALTHY_RATE.max(null_rate + (1.0 - null_rate) * UNHEALTHY_RATE);
        let failure_weight = (unhealthy_rate / null_rate).ln();
        let success_weight = ((1.0 - unhealthy_rate) / (1.0 - null_rate)).ln();
        e.long.add(good, bad);
        e.short.add(good, bad);
        e.score =
            (e.score + bad * failure_weight + good * success_weight).clamp(MIN_SCORE, self.cap);
        self.long.add(good, bad);
        self.short.add(good, bad);
        e.score
    }

    /// Returns the failure rate of the other upstreams: the higher of short-term and long-term.
    #[must_use]
    pub fn sibling_rate(&self, key: K) -> f64 {
        let own = self.entries.get(&key).copied().unwrap_or_default();
        let long = self.long.rate_excluding(own.long, PRIOR_WEIGHT);
        let short = self.short.rate_excluding(own.short, PRIOR_WEIGHT / 2.0);
        long.max(short).clamp(PRIOR_RATE / 2.0, 0.9)
    }

    /// Returns whether `key` recently had far more failures than its siblings.
    ///
    /// At least `min_failures` failures are required. Successes are ignored because they are
    /// reported late, whereas failures are reported at once.
    #[must_use]
    pub fn is_outlier(&self, key: K, min_failures: f64) -> bool {
        let own = self.entries.get(&key).map_or(0.0, |e| e.short.bad);
        // The median, so that several unhealthy upstreams do not mask each other.
        let siblings = self.entries.iter().filter(|(k, _)| **k != key);
        let mut bad: Vec<f64> = siblings.map(|(_, e)| e.short.bad).collect();
        bad.sort_unstable_by(f64::total_cmp);
        let median = bad.get(bad.len() / 2).copied().unwrap_or(0.0);
        own >= min_failures + OUTLIER_RATIO * median
    }

    /// Returns the mean decayed number of outcomes per upstream.
    #[must_use]
    pub fn mean_count(&self) -> f64 {
        (self.long.good + self.long.bad) / self.entries.len().max(1) as f64
    }

    /// Returns the score of `key`, or zero if it is unknown.
    #[must_use]
    pub fn score(&self, key: K) -> f64 {
        self.entries.get(&key).map_or(0.0, |e| e.score)
    }

    /// Returns the decayed counts of successes and failures of `key`.
    #[must_use]
    pub fn counts(&self, key: K) -> (f64, f64) {
        self.entries.get(&key).map_or((0.0, 0.0), |e| (e.long.good, e.long.bad))
    }

    /// Returns the upstreams whose score is at least `h`.
    pub fn at_least(&self, h: f64) -> impl Iterator<Item = K> + '_ {
        self.entries.iter().filter(move |(_, e)| e.score >= h).map(|(&k, _)| k)
    }

    /// Clears the counts and the score of `key`.
    pub fn reset(&mut self, key: K) {
        if let Some(e) = self.entries.get_mut(&key) {
            self.long.add(-e.long.good, -e.long.bad);
            self.short.add(-e.short.good, -e.short.bad);
            *e = Entry::default();
        }
    }

    /// Removes all upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(K) -> bool) {
        let removed: Vec<K> = self.entries.keys().copied().filter(|&k| !keep(k)).collect();
        for k in removed {
            self.reset(k);
            self.entries.remove(&k);
        }
    }

    fn decay(&mut self, now: Time) {
        if let Some(factor) = decay_factor(&mut self.long_decayed, HALF_LIFE, now) {
            self.long = Counts::default();
            for e in self.entries.values_mut() {
                e.long.scale(factor);
                self.long.add(e.long.good, e.long.bad);
            }
        }
        if let Some(factor) = decay_factor(&mut self.short_decayed, self.short_half_life, now) {
            self.short = Counts::default();
            for e in self.entries.values_mut() {
                e.short.scale(factor);
                self.short.add(e.short.good, e.short.bad);
            }
        }
    }
}

/// Returns the decay factor of the counts, if a decay step is due.
fn decay_factor(last: &mut Time, half_life: Duration, now: Time) -> Option<f64> {
    let half_lives = now.since(*last).as_secs_f64() / half_life.as_secs_f64();
    if half_lives < DECAY_STEP {
        return None;
    }
    *last = now;
    Some(0.5f64.powf(half_lives))
}
