//! Evidence for and against the upstreams of one service.
//!
//! A CUSUM per upstream on good and bad outcomes. The bad rate of the *other*
//! upstreams is the null hypothesis, so a trouble that all share (overload, the
//! network) carries little weight against any one. Source: Page, 1954, for
//! CUSUM; the null from siblings is this project's own, measured by `trial`.

use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// What one outcome says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A whole answer in the usual time.
    Good,
    /// A whole answer, later than the service's usual spread.
    Slow,
    /// No answer yet, older than the service's usual spread.
    Stall,
    /// A refused, reset or failed request.
    Failure,
    /// A malformed, cut or mislabelled answer.
    Wrong,
}

impl Evidence {
    /// Returns whether it is about time alone.
    #[must_use]
    pub const fn is_lateness(self) -> bool {
        matches!(self, Self::Slow | Self::Stall)
    }

    /// Returns the weight of this evidence in tenths of a failure.
    #[must_use]
    pub const fn tenths(self) -> u16 {
        match self {
            Self::Good => 0,
            Self::Slow => 6,
            Self::Stall | Self::Failure => 10,
            Self::Wrong => 20,
        }
    }
}

/// Half-life of the long counts.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Aging is done in steps of this share of a half-life.
const AGING_STEP: f64 = 0.05;
/// Times the median of its siblings' bad outcomes that an outlier has.
const OUTLIER_RATIO: f64 = 3.0;
/// Bad rate that a sick upstream is tested for.
const SICK_RATE: f64 = 0.5;
/// Outcomes assumed before any were seen.
const PRIOR: f64 = 20.0;
/// Bad rate assumed before any outcome was seen.
const PRIOR_BAD: f64 = 0.01;
/// Score a run of good answers may not go under.
const MIN_SCORE: f64 = 0.0;

/// Running counts and score of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Entry {
    long: Counts,
    short: Counts,
    score: f64,
}

/// Good and bad outcomes, aged.
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

    fn keep(&mut self, share: f64) {
        self.good *= share;
        self.bad *= share;
    }

    /// Returns the bad rate of these without `own`, with a prior.
    fn rate_without(self, own: Self, prior: f64) -> f64 {
        let bad = (self.bad - own.bad).max(0.0);
        let all = bad + (self.good - own.good).max(0.0);
        (bad + prior * PRIOR_BAD) / (all + prior)
    }
}

/// Evidence on every upstream of one service, keyed by `K`.
#[derive(Clone, Debug)]
pub struct Ledger<K> {
    entries: BTreeMap<K, Entry>,
    aged: Time,
    aged_short: Time,
    short_life: Duration,
    long: Counts,
    short: Counts,
    cap: f64,
}

impl<K: Ord + Copy> Ledger<K> {
    /// Builds an empty ledger whose scores stop at `cap`.
    ///
    /// `short_life` is the half-life of the counts that show a trouble which all
    /// share before the long ones do.
    #[must_use]
    pub const fn new(cap: f64, short_life: Duration) -> Self {
        let none = Counts { good: 0.0, bad: 0.0 };
        Self {
            entries: BTreeMap::new(),
            aged: Time::ZERO,
            aged_short: Time::ZERO,
            short_life,
            long: none,
            short: none,
            cap,
        }
    }

    /// Adds `good` good outcomes and `bad` weighted bad ones of `key`.
    ///
    /// Returns the upstream's new score.
    pub fn add(&mut self, key: K, good: f64, bad: f64, now: Time) -> f64 {
        self.age(now);
        let null = self.sibling_rate(key);
        let e = self.entries.entry(key).or_default();
        let sick = SICK_RATE.max(null + (1.0 - null) * SICK_RATE);
        let up = (sick / null).ln();
        let down = ((1.0 - sick) / (1.0 - null)).ln();
        e.long.add(good, bad);
        e.short.add(good, bad);
        e.score = (e.score + bad * up + good * down).clamp(MIN_SCORE, self.cap);
        self.long.add(good, bad);
        self.short.add(good, bad);
        e.score
    }

    /// Returns the bad rate of the other upstreams, the worse of long and short.
    #[must_use]
    pub fn sibling_rate(&self, key: K) -> f64 {
        let own = self.entries.get(&key).copied().unwrap_or_default();
        let long = self.long.rate_without(own.long, PRIOR);
        let short = self.short.rate_without(own.short, PRIOR / 2.0);
        long.max(short).clamp(PRIOR_BAD / 2.0, 0.9)
    }

    /// Returns whether `key` had far more bad outcomes lately than its siblings.
    ///
    /// It needs `least` of them at any rate. Good outcomes are left out: they are
    /// reported late, bad ones at once.
    #[must_use]
    pub fn is_outlier(&self, key: K, least: f64) -> bool {
        let own = self.entries.get(&key).map_or(0.0, |e| e.short.bad);
        // The median, so that a few that are sick at once don't hide each other.
        let siblings = self.entries.iter().filter(|(k, _)| **k != key);
        let mut bad: Vec<f64> = siblings.map(|(_, e)| e.short.bad).collect();
        bad.sort_unstable_by(f64::total_cmp);
        let median = bad.get(bad.len() / 2).copied().unwrap_or(0.0);
        own >= least + OUTLIER_RATIO * median
    }

    /// Returns the outcomes that an upstream has on average, aged.
    #[must_use]
    pub fn usual_count(&self) -> f64 {
        (self.long.good + self.long.bad) / self.entries.len().max(1) as f64
    }

    /// Returns the score of `key`, zero if it was never seen.
    #[must_use]
    pub fn score(&self, key: K) -> f64 {
        self.entries.get(&key).map_or(0.0, |e| e.score)
    }

    /// Returns the aged counts of good and bad outcomes of `key`.
    #[must_use]
    pub fn counts(&self, key: K) -> (f64, f64) {
        self.entries.get(&key).map_or((0.0, 0.0), |e| (e.long.good, e.long.bad))
    }

    /// Returns the upstreams whose score is at least `h`.
    pub fn over(&self, h: f64) -> impl Iterator<Item = K> + '_ {
        self.entries.iter().filter(move |(_, e)| e.score >= h).map(|(&k, _)| k)
    }

    /// Forgets everything of `key`, as after a hold.
    pub fn reset(&mut self, key: K) {
        if let Some(e) = self.entries.get_mut(&key) {
            self.long.add(-e.long.good, -e.long.bad);
            self.short.add(-e.short.good, -e.short.bad);
            *e = Entry::default();
        }
    }

    /// Drops every upstream that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(K) -> bool) {
        let gone: Vec<K> = self.entries.keys().copied().filter(|&k| !keep(k)).collect();
        for k in gone {
            self.reset(k);
            self.entries.remove(&k);
        }
    }

    fn age(&mut self, now: Time) {
        if let Some(share) = kept(&mut self.aged, HALF_LIFE, now) {
            self.long = Counts::default();
            for e in self.entries.values_mut() {
                e.long.keep(share);
                self.long.add(e.long.good, e.long.bad);
            }
        }
        if let Some(share) = kept(&mut self.aged_short, self.short_life, now) {
            self.short = Counts::default();
            for e in self.entries.values_mut() {
                e.short.keep(share);
                self.short.add(e.short.good, e.short.bad);
            }
        }
    }
}

/// Returns the share that counts keep, if a step of aging is due.
fn kept(aged: &mut Time, half_life: Duration, now: Time) -> Option<f64> {
    let lives = now.since(*aged).as_secs_f64() / half_life.as_secs_f64();
    if lives < AGING_STEP {
        return None;
    }
    *aged = now;
    Some(0.5f64.powf(lives))
}
