//! Monotonic time, as passed to the policy.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of one process, in microseconds.
///
/// Values from different processes are not comparable; only durations are sent between boxes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The epoch of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a point in time from microseconds.
    #[must_use]
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a point in time from milliseconds.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the microseconds since the epoch of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the epoch of the clock.
    #[must_use]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `d` earlier, saturating at the epoch of the clock.
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
