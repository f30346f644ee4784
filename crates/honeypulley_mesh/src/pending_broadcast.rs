//! Changes of the list that a reader is about to broadcast.

use honeypulley_peer::codec::MAX_FRAGMENTS;
use honeypulley_peer::listing::{Entry, MAX_ENTRIES};
use honeypulley_policy::revision::Revision;

/// Changes that a reader received from its watch and has not broadcast yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingBroadcast {
    /// Revision after which the changes begin.
    pub since: Revision,
    /// Revision up to which the changes are complete.
    pub upto: Revision,
    /// Changed entries.
    pub entries: Vec<Entry>,
}

/// Maximum number of entries in one update.
const MAX_UPDATE_ENTRIES: usize = MAX_FRAGMENTS * MAX_ENTRIES;
/// Maximum number of entries that are broadcast at once.
///
/// Each datagram goes to a whole data hall by way of a box that may have a slow link.
const MAX_BROADCAST_ENTRIES: usize = 4 * MAX_UPDATE_ENTRIES;

impl PendingBroadcast {
    /// Splits the changes into updates, in order of revisions.
    ///
    /// Returns `None` if there are too many changes to broadcast. Changes to a later epoch are the
    /// full list, which is never split.
    #[must_use]
    pub fn into_updates(mut self) -> Option<Vec<Self>> {
        let is_one_epoch = self.since.epoch == self.upto.epoch;
        let limit = if is_one_epoch { MAX_BROADCAST_ENTRIES } else { MAX_UPDATE_ENTRIES };
        if self.entries.len() > limit {
            return None;
        }
        self.entries.sort_by_key(|e| e.version);
        let (mut updates, mut since) = (Vec::new(), self.since);
        while self.entries.len() > MAX_UPDATE_ENTRIES {
            // Entries of one revision belong to the same update, which is complete up to it.
            let next = self.entries[MAX_UPDATE_ENTRIES].version;
            let end = self.entries.partition_point(|e| e.version < next);
            if end == 0 {
                return None;
            }
            let rest = self.entries.split_off(end);
            let entries = std::mem::replace(&mut self.entries, rest);
            let upto = entries.last().map_or(since, |e| e.version);
            updates.push(Self { since, upto, entries });
            since = upto;
        }
        updates.push(Self { since, ..self });
        Some(updates)
    }
}
