//! A count over a sliding window.

use crate::time::Time;
use std::time::Duration;

/// Parts that the window is counted in.
const PARTS: usize = 10;

/// Events within a sliding window, to a tenth of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recent {
    part: Duration,
    counts: [u32; PARTS],
    /// Number of the newest part since the start of the clock.
    newest: u64,
}

impl Recent {
    /// Builds an empty count over `window`.
    pub(super) fn new(window: Duration) -> Self {
        let part = (window / PARTS as u32).max(Duration::from_micros(1));
        Self { part, counts: [0; PARTS], newest: 0 }
    }

    /// Adds `n` events that happen at `now`.
    pub(super) fn add(&mut self, n: u32, now: Time) {
        let newest = self.roll(now);
        self.counts[newest] += n;
    }

    /// Returns the events within the window.
    pub(super) fn sum(&mut self, now: Time) -> u32 {
        self.roll(now);
        self.counts.iter().sum()
    }

    /// Returns the events of the newest part and the one before it.
    pub(super) fn latest(&mut self, now: Time) -> u32 {
        let newest = self.roll(now);
        self.counts[newest] + self.counts[(newest + PARTS - 1) % PARTS]
    }

    /// Forgets the parts that have left the window; returns the place of the newest one.
    fn roll(&mut self, now: Time) -> usize {
        let number = now.as_micros() / self.part.as_micros() as u64;
        let passed = number.saturating_sub(self.newest).min(PARTS as u64);
        for i in 0..passed {
            let place = (number - i) % PARTS as u64;
            self.counts[place as usize] = 0;
        }
        self.newest = self.newest.max(number);
        (self.newest % PARTS as u64) as usize
    }
}
