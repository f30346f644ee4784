//! Bounds the time at which a signal was sent.

use honeypulley_policy::time::Time;
use std::time::Duration;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// Time after which a tick is late, as it is after a suspension.
const LATE_TICK: Duration = Duration::from_millis(200);
/// Least time between two ticks that are recorded.
const MIN_TICK: Duration = Duration::from_millis(50);

/// The last two ticks of a thread at which it had no signal pending.
///
/// A signal that is taken now was sent after the tick before the last one. It may have been sent
/// before the last one if its handler ran late, since another thread may run it.
///
/// # Examples
/// ```
/// use honeypulley_daemon::ticks::Ticks;
/// use honeypulley_policy::time::Time;
///
/// let mut ticks = Ticks::new(Time::from_millis(100));
/// ticks.record(Time::from_millis(200));
/// ticks.record(Time::from_millis(300));
/// assert_eq!(ticks.earliest(), Time::from_millis(200));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticks {
    last: Time,
    previous: Time,
}

impl Ticks {
    /// Creates the state of a thread that takes signals from `now` on.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self { last: now, previous: now }
    }

    /// Returns whether a tick at `now` follows a time in which the thread did not run.
    ///
    /// Such a tick may precede a signal that was sent in that time.
    #[must_use]
    pub fn is_late(&self, now: Time) -> bool {
        now.since(self.last) > LATE_TICK
    }

    /// Records a tick at which no signal was pending.
    ///
    /// A tick shortly after the last one is left out, since the handler of a signal may need that
    /// time.
    pub fn record(&mut self, now: Time) {
        if now.since(self.last) >= MIN_TICK {
            self.previous = self.last;
            self.last = now;
        }
    }

    /// Returns the earliest time at which a signal that is taken now may have been sent.
    #[must_use]
    pub const fn earliest(&self) -> Time {
        self.previous
    }
}
