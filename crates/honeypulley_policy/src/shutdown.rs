//! Decides what a box still accepts during a planned stop.

use crate::time::Time;
use std::time::Duration;

/// Time before the end of the process in which answers are written.
///
/// Twenty round trips of 10 ms, the longest within a region.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Fraction of the grace period that a planned stop may use.
///
/// The remainder is for the end of the process after the last answer.
const GRACE_FRACTION: f64 = 0.93;

/// Returns the maximum duration of a planned stop, where the process is killed after `grace`.
#[must_use]
pub fn usable_grace(grace: Duration) -> Duration {
    grace.mul_f64(GRACE_FRACTION)
}

/// A planned stop that has begun.
///
/// The service manager counts the grace period from its own signal, which a process may notice
/// late: it was suspended, or had no processor time. A stop therefore has two times. New requests
/// are accepted by the earliest time of the signal. Requests that were accepted before the signal
/// was noticed have the whole grace period from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    noticed: Time,
    /// Earliest time at which the signal may have been sent, not after `noticed`.
    earliest: Time,
    /// Time from the signal to the end of the process, if it is bounded.
    grace: Option<Duration>,
}

/// A request that may still run when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the box stops before the request's time limit ends")]
pub struct Unfinishable {
    /// Time until the process may end.
    pub left: Duration,
    /// Time until the request's limit ends, if it has one.
    pub limit: Option<Duration>,
}

impl PlannedStop {
    /// Creates the state of a stop whose signal is noticed as it is sent.
    ///
    /// The stop lasts for `grace` at most.
    #[must_use]
    pub const fn new(noticed: Time, grace: Option<Duration>) -> Self {
        Self { noticed, earliest: noticed, grace }
    }

    /// Sets the earliest time at which the signal may have been sent.
    ///
    /// A time after that of the notice has no effect.
    #[must_use]
    pub fn with_earliest(self, earliest: Time) -> Self {
        Self { earliest: earliest.min(self.noticed), ..self }
    }

    /// Returns the earliest time at which the signal may have been sent.
    #[must_use]
    pub const fn earliest(&self) -> Time {
        self.earliest
    }

    /// Returns whether a request may be sent to an upstream that has seen nothing of it.
    ///
    /// `deadline` is the end of the request's time limit. Until [`Self::strict_from`] every request
    /// is accepted, since those with a limit of up to half of the grace period surely end.
    ///
    /// # Errors
    /// Returns an error if the request may still run when the process ends.
    pub fn check(&self, deadline: Option<Time>, now: Time) -> Result<(), Unfinishable> {
        let (Some(end), Some(strict)) = (self.earliest_end(), self.strict_from()) else {
            return Ok(());
        };
        let can_finish = deadline.is_some_and(|d| d + ANSWER_MARGIN <= end);
        if now < strict || can_finish {
            return Ok(());
        }
        Err(Unfinishable { left: end.since(now), limit: deadline.map(|d| d.since(now)) })
    }

    /// Returns from when only requests that surely end are accepted, if the stop is bounded.
    ///
    /// Half of the grace period and the time in which answers are written are left then.
    #[must_use]
    pub fn strict_from(&self) -> Option<Time> {
        let last = |g: Duration| g.mul_f64(0.5 / GRACE_FRACTION) + ANSWER_MARGIN;
        self.grace.map(|g| self.earliest + g.saturating_sub(last(g)))
    }

    /// Returns when a request that is open must be answered, if the stop is bounded.
    ///
    /// `accepted` is when the request was accepted. Before the notice, nobody could reject it, and
    /// giving it up at the earliest end would be a certain loss in place of a possible one. Since
    /// the notice, requests are accepted only to be answered by the earliest end.
    #[must_use]
    pub fn answer_by(&self, accepted: Time) -> Option<Time> {
        let began = if accepted < self.noticed { self.noticed } else { self.earliest };
        self.grace.map(|g| began + g.saturating_sub(ANSWER_MARGIN))
    }

    /// Returns when the signal was noticed.
    #[must_use]
    pub const fn noticed(&self) -> Time {
        self.noticed
    }

    /// Returns the time until the process may end, if the stop is bounded.
    #[must_use]
    pub fn left(&self, now: Time) -> Option<Duration> {
        self.earliest_end().map(|end| end.since(now))
    }

    /// Returns when the process ends by itself, if the stop is bounded.
    #[must_use]
    pub fn end(&self) -> Option<Time> {
        self.grace.map(|g| self.noticed + g)
    }

    fn earliest_end(&self) -> Option<Time> {
        self.grace.map(|g| self.earliest + g)
    }
}
