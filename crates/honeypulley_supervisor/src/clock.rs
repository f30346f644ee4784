//! The process's clock as policy time.

use honeypulley_policy::time::Time;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// One start point that all duties of a process share.
///
/// It goes on while the process is stopped by a signal and while the machine is suspended, so
/// that whatever is judged by its age (leases, beliefs, lists, budgets, deadlines) is as old as
/// it is for everyone else. The usual monotonic clock stands still during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    read: fn() -> Duration,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self::start_by(since_boot)
    }

    /// Starts a clock by what `read` returns, which must not go back; for tests.
    #[must_use]
    pub fn start_by(read: fn() -> Duration) -> Self {
        Self { start: read(), read }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        let since = (self.read)().saturating_sub(self.start);
        Time::from_micros(since.as_micros() as u64)
    }
}

/// Returns the time since the machine was started, suspensions included.
///
/// # Panics
/// Panics if the system lacks this clock, which Linux has had since 2.6.39.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock").into()
}
