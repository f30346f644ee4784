//! Reassembly of fragmented list updates.
//!
//! An update sent in several datagrams is complete once all of them have arrived, in any
//! order. A lost datagram leaves the update incomplete, so that the box knows that it
//! lacks some changes.

use honeypulley_peer::codec::{ListUpdate, MAX_FRAGMENTS};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::collections::VecDeque;

/// Maximum number of incomplete updates; the oldest is dropped first.
///
/// At most three readers broadcast a change, and all its fragments arrive within milliseconds.
const MAX_INCOMPLETE: usize = 16;

/// Identity of one update from one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UpdateId {
    sender: NameId,
    since: Revision,
    upto: Revision,
    parts: u16,
}

/// Tracks which fragments of incomplete updates have arrived.
#[derive(Clone, Debug, Default)]
pub struct Reassembler {
    /// Incomplete updates, each with a bit mask of the received fragments.
    incomplete: VecDeque<(UpdateId, u64)>,
}

impl Reassembler {
    /// Records a fragment; returns whether its update is now complete.
    pub fn add(&mut self, sender: NameId, update: &ListUpdate) -> bool {
        if update.parts == 0
            || update.part >= update.parts
            || usize::from(update.parts) > MAX_FRAGMENTS
        {
            return false;
        }
        let all = (1_u64 << update.parts) - 1;
        let id = UpdateId { sender, since: update.since, upto: update.upto, parts: update.parts };
        let mut received = 1_u64 << update.part;
        if let Some(i) = self.incomplete.iter().position(|(other, _)| *other == id) {
            received |= self.incomplete.remove(i).map_or(0, |(_, bits)| bits);
        }
        if received == all {
            return true;
        }
        self.incomplete.push_back((id, received));
        if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_front();
        }
        false
    }
}
