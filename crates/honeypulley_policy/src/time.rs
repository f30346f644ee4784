//! Monotonic time as the policy sees it.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on one process's monotonic clock, in microseconds from its start.
///
/// Points of two processes can't be compared: only durations cross the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Builds a point from microseconds.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Builds a point from milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns microseconds from the start of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns seconds from the start of the clock.
    #[must_use]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time since `earlier`, zero if that lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `d` before this one, or the start of the clock.
    #[must_use]
    pub const fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d.as_micros() as u64))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_micros() as u64))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
