//! An event counter over a sliding window.

use crate::time::Time;
use std::time::Duration;

/// Buckets into which the window is divided.
const BUCKETS: usize = 10;

/// Counts events within a sliding window, with a resolution of a tenth of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlidingCount {
    bucket: Duration,
    counts: [u32; BUCKETS],
    /// Index of the newest bucket since the start of the clock.
    newest: u64,
}

impl SlidingCount {
    /// Creates an empty counter over `window`.
    pub(super) fn new(window: Duration) -> Self {
        let bucket = (window / BUCKETS as u32).max(Duration::from_micros(1));
        Self { bucket, counts: [0; BUCKETS], newest: 0 }
    }

    /// Adds `n` events that happen at `now`.
    pub(super) fn add(&mut self, n: u32, now: Time) {
        let newest = self.advance(now);
        self.counts[newest] += n;
    }

    /// Returns the number of events within the window.
    pub(super) fn sum(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Returns the number of events in the two newest buckets.
    pub(super) fn latest(&mut self, now: Time) -> u32 {
        let newest = self.advance(now);
        self.counts[newest] + self.counts[(newest + BUCKETS - 1) % BUCKETS]
    }

    /// Clears the buckets that have left the window and returns the position of the newest.
    fn advance(&mut self, now: Time) -> usize {
        let index = now.as_micros() / self.bucket.as_micros() as u64;
        let elapsed = index.saturating_sub(self.newest).min(BUCKETS as u64);
        for i in 0..elapsed {
            let slot = (index - i) % BUCKETS as u64;
            self.counts[slot as usize] = 0;
        }
        self.newest = self.newest.max(index);
        (self.newest % BUCKETS as u64) as usize
    }
}
