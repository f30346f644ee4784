//! Counts of admissions that data halls exchange.

use super::rule::{LimitScope, RateLimit};
use crate::collector::NameId;
use crate::time::Time;
use std::time::Duration;

/// Share of the window that [`HallCount::recent`] covers at most.
pub(super) const LATEST_SHARE: f64 = 0.2;

/// Admissions of one subject in one data hall, as announced to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallCount {
    /// The data hall.
    pub hall: NameId,
    /// Cumulative admissions in the hall as counted by the announcing box, modulo 2^16.
    pub sum: u16,
    /// Admissions within the last fifth of the window.
    pub recent: u16,
    /// Remaining tokens of the subject, as estimated by the announcing box.
    pub tokens: i16,
}

impl HallCount {
    /// Returns the admissions beyond an even share of a hall that was silent before.
    ///
    /// Refills have already compensated for the admissions within that share. The share is
    /// computed over half of the counted time, since the count may cover no more than that.
    pub(super) fn excess(self, limit: RateLimit, scope: LimitScope, window: Duration) -> f64 {
        let secs = 0.5 * LATEST_SHARE * window.as_secs_f64();
        let share = limit.rate * secs / scope.halls.max(1) as f64;
        (f64::from(self.recent) - share).max(0.0)
    }

    /// Estimates how many of the latest admissions fall within the last `span`.
    ///
    /// Used when the announcing box changes, since the cumulative counts of two boxes can't be
    /// compared.
    pub(super) fn recent_estimate(self, span: Duration, window: Duration) -> f64 {
        let covered = span.as_secs_f64() / (LATEST_SHARE * window.as_secs_f64());
        f64::from(self.recent) * covered.min(1.0)
    }
}

/// Last update of another data hall.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteHall {
    /// The announcing box; sums of different boxes can't be compared.
    pub(super) announcer: NameId,
    pub(super) sum: u16,
    pub(super) recent: u16,
    pub(super) received_at: Time,
}
