//! The process's monotonic clock as policy time.

use honeypulley_policy::time::Time;
use std::time::Instant;

/// One start point that all duties of a process share.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the time since the start.
    ///
    /// It goes on while the process is stopped by a signal, so a lease lapses
    /// on a paused holder too.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_micros(self.0.elapsed().as_micros() as u64)
    }
}
