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

/// Half-life of the sibling counts.
const HALF_LIFE: Duration = Duration::from_secs(10);
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
    good: f64,
    bad: f64,
    score: f64,
}

/// Evidence on every upstream of one service, keyed by `K`.
#[derive(Clone, Debug)]
pub struct Ledger<K> {
    entries: BTreeMap<K, Entry>,
    aged: Time,
    good: f64,
    bad: f64,
    cap: f64,
}

impl<K: Ord + Copy> Ledger<K> {
    /// Builds an empty ledger whose scores stop at `cap`.
    #[must_use]
    pub const fn new(cap: f64) -> Self {
        Self { entries: BTreeMap::new(), aged: Time::ZERO, good: 0.0, bad: 0.0, cap }
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
        e.good += good;
        e.bad += bad;
        e.score = (e.score + bad * up + good * down).clamp(MIN_SCORE, self.cap);
        self.good += good;
        self.bad += bad;
        e.score
    }

    /// Returns the bad rate of the other upstreams.
    #[must_use]
    pub fn sibling_rate(&self, key: K) -> f64 {
        let own = self.entries.get(&key).copied().unwrap_or_default();
        let bad = (self.bad - own.bad).max(0.0) + PRIOR * PRIOR_BAD;
        let all = (self.good - own.good).max(0.0) + (self.bad - own.bad).max(0.0) + PRIOR;
        (bad / all).clamp(PRIOR_BAD / 2.0, 0.9)
    }

    /// Returns the score of `key`, zero if it was never seen.
    #[must_use]
    pub fn score(&self, key: K) -> f64 {
        self.entries.get(&key).map_or(0.0, |e| e.score)
    }

    /// Returns the aged counts of good and bad outcomes of `key`.
    #[must_use]
    pub fn counts(&self, key: K) -> (f64, f64) {
        self.entries.get(&key).map_or((0.0, 0.0), |e| (e.good, e.bad))
    }

    /// Counts upstreams whose score is at least `h`.
    #[must_use]
    pub fn over(&self, h: f64) -> usize {
        self.entries.values().filter(|e| e.score >= h).count()
    }

    /// Forgets the score of `key`, as after a hold.
    pub fn reset(&mut self, key: K) {
        if let Some(e) = self.entries.get_mut(&key) {
            self.good -= e.good;
            self.bad -= e.bad;
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

    /// Halves the counts once in each half-life.
    fn age(&mut self, now: Time) {
        let dt = now.since(self.aged).as_secs_f64();
        // Aging in steps of a tenth keeps this off the path of most outcomes.
        if dt < HALF_LIFE.as_secs_f64() / 10.0 {
            return;
        }
        self.aged = now;
        let keep = 0.5f64.powf(dt / HALF_LIFE.as_secs_f64());
        self.good = 0.0;
        self.bad = 0.0;
        for e in self.entries.values_mut() {
            e.good *= keep;
            e.bad *= keep;
            self.good += e.good;
            self.bad += e.bad;
        }
    }
}
