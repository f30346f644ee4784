//! Sequence numbers of broadcast datagrams, by which receivers detect duplicates.

use honeypulley_policy::collector::NameId;
use std::collections::{HashMap, VecDeque};

/// Number of recent sequence numbers remembered per sender.
const DEDUP_WINDOW: usize = 64;

/// Generator of this box's sequence numbers.
#[derive(Clone, Debug)]
pub struct SequenceCounter {
    last: u32,
}

impl SequenceCounter {
    /// Starts at a random number, since peers still remember those used before a restart.
    #[must_use]
    pub fn random_start(rng: &mut fastrand::Rng) -> Self {
        Self { last: rng.u32(..) }
    }

    /// Returns the next sequence number.
    pub const fn next(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

/// Recent sequence numbers of each peer.
#[derive(Clone, Debug, Default)]
pub struct DuplicateFilter {
    by_sender: HashMap<NameId, VecDeque<u32>>,
}

impl DuplicateFilter {
    /// Records a sequence number; returns whether it has not been seen before.
    pub fn is_new(&mut self, sender: NameId, seq: u32) -> bool {
        let recent = self.by_sender.entry(sender).or_default();
        if recent.contains(&seq) {
            return false;
        }
        recent.push_back(seq);
        if recent.len() > DEDUP_WINDOW {
            recent.pop_front();
        }
        true
    }
}
