//! Clock of the process, in the policy crate's unit of time.

use honeypulley_policy::time::Time;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A clock with one starting point for all duties of a process.
///
/// It also advances while the process is stopped by a signal and while the machine is suspended.
/// Leases, beliefs, lists, budgets and deadlines therefore have the same age here as on all other
/// machines. The usual monotonic clock stops during a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
    source: fn() -> Duration,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self::with_source(since_boot)
    }

    /// Starts a clock that reads `source`, which must be monotonic; for tests.
    #[must_use]
    pub fn with_source(source: fn() -> Duration) -> Self {
        Self { start: source(), source }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Time {
        let elapsed = (self.source)().saturating_sub(self.start);
        Time::from_micros(elapsed.as_micros() as u64)
    }
}

/// Returns the processor time that this process has used.
///
/// # Panics
/// Panics if the system lacks `CLOCK_PROCESS_CPUTIME_ID`, which Linux has had since 2.6.12.
#[must_use]
pub fn process_cpu_time() -> Duration {
    let id = ClockId::CLOCK_PROCESS_CPUTIME_ID;
    clock_gettime(id).expect("Linux has CLOCK_PROCESS_CPUTIME_ID").into()
}

/// Returns the time since the machine booted, including suspensions.
///
/// # Panics
/// Panics if the system lacks `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME").into()
}
