//! What one data hall announces to the others about a subject.

use super::rule::{RateLimit, Scope};
use crate::collector::NameId;
use crate::time::Time;
use std::time::Duration;

/// Part of the window that [`HallCount::latest`] counts at the most.
pub(super) const LATEST_SHARE: f64 = 0.2;

/// What one data hall announces to the others about a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallCount {
    /// The data hall.
    pub hall: NameId,
    /// Requests that its boxes admitted, as the one that tells has counted them, round.
    pub sum: u16,
    /// Those of them that they admitted within the last fifth of the window.
    pub latest: u16,
    /// Remaining tokens of the subject, as the sender counts.
    pub level: i16,
}

impl HallCount {
    /// Returns what a data hall that had said nothing admitted beyond its even share.
    ///
    /// What it admitted within that share, the limit's rate has made good. The count may be
    /// of half of its time alone.
    pub(super) fn excess(self, limit: RateLimit, scope: Scope, window: Duration) -> f64 {
        let secs = 0.5 * LATEST_SHARE * window.as_secs_f64();
        let share = limit.rate * secs / scope.halls.max(1) as f64;
        (f64::from(self.latest) - share).max(0.0)
    }

    /// Returns about how many of the latest were admitted within the last of the window.
    ///
    /// For the first count of another box than before, whose sum goes on from nothing known.
    pub(super) fn lately(self, span: Duration, window: Duration) -> f64 {
        let part = span.as_secs_f64() / (LATEST_SHARE * window.as_secs_f64());
        f64::from(self.latest) * part.min(1.0)
    }
}

/// What another data hall announced.
#[derive(Clone, Copy, Debug)]
pub(super) struct FarHall {
    /// The announcing box, whose sums are cumulative.
    pub(super) teller: NameId,
    pub(super) sum: u16,
    pub(super) latest: u16,
    pub(super) heard: Time,
}
