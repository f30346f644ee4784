//! Repair of a list that differs from the readers' list of the same revision.
//!
//! Updates omit a change that no reader has observed, such as the departure of an upstream that
//! joined and left between two full reads. The digest in a reader's beacon reveals the difference,
//! and the box pulls the full list of that reader.

use crate::catch_up::Source;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Initial interval between pulls; it doubles while the lists keep differing.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between pulls.
///
/// A difference that a pull does not remove must not load the readers.
const MAX_INTERVAL: Duration = Duration::from_secs(64);

/// Repair state of one box.
#[derive(Clone, Copy, Debug)]
pub struct ListRepair {
    /// Reader whose list is to be pulled.
    pending: Option<Source>,
    due: Time,
    interval: Duration,
}

impl Default for ListRepair {
    fn default() -> Self {
        Self { pending: None, due: Time::ZERO, interval: MIN_INTERVAL }
    }
}

impl ListRepair {
    /// Records that the local list equals a reader's list.
    pub const fn record_match(&mut self) {
        self.pending = None;
        self.interval = MIN_INTERVAL;
    }

    /// Records that the local list differs from a reader's list; returns whether to pull it.
    pub fn record_difference(&mut self, reader: Source, now: Time) -> bool {
        if now < self.due {
            return false;
        }
        self.pending = Some(reader);
        self.due = now + self.interval;
        self.interval = MAX_INTERVAL.min(self.interval * 2);
        true
    }

    /// Returns the reader whose list is to be pulled, and clears it.
    pub const fn take_pending(&mut self) -> Option<Source> {
        self.pending.take()
    }
}
