//! Bounds the time at which a signal was sent.

use honeypulley_policy::time::Time;

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

    /// Records a tick at which no signal was pending.
    pub const fn record(&mut self, now: Time) {
        self.previous = self.last;
        self.last = now;
    }

    /// Returns the earliest time at which a signal that is taken now may have been sent.
    #[must_use]
    pub const fn earliest(&self) -> Time {
        self.previous
    }
}
