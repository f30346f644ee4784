//! When a new box may start to serve, and on which version.
//!
//! It must not start on a version older than one that any box it can ask has in
//! force. The platform's word is enough, since it orders versions. While the
//! platform is away, the word of a few peers is, or of all there are.

use crate::collector::NameId;
use std::collections::BTreeMap;

/// Peers whose version must be known before a box starts on their word.
pub const JOIN_PEERS: usize = 3;

/// By whose word a box starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinedBy {
    /// The platform's.
    Platform,
    /// Its peers'.
    Peers,
}

/// How far a box is in joining.
#[derive(Clone, Debug, Default)]
pub struct Join {
    done: bool,
    told: BTreeMap<NameId, u64>,
    platform: Option<u64>,
}

impl Join {
    /// Records the version that a peer has in force, zero if it has none.
    pub fn peer_told(&mut self, peer: NameId, version: u64) {
        if !self.done {
            self.told.insert(peer, version);
        }
    }

    /// Records the version that the platform has accepted.
    pub const fn platform_told(&mut self, version: u64) {
        self.platform = Some(version);
    }

    /// Returns whether the box has joined.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Joins on `version`, zero if the box holds none, if that is allowed now.
    ///
    /// `others` is the number of other live boxes. Returns by whose word the box
    /// joined, at the one call that joins.
    pub fn decide(&mut self, version: u64, others: usize) -> Option<JoinedBy> {
        if self.done || version == 0 {
            return None;
        }
        let newest = self.told.values().max().copied().unwrap_or(0);
        let by_platform = self.platform.is_some_and(|v| version >= v);
        let by_peers = others > 0 && self.told.len() >= JOIN_PEERS.min(others);
        if version < newest || !(by_platform || by_peers) {
            return None;
        }
        self.done = true;
        Some(if by_platform { JoinedBy::Platform } else { JoinedBy::Peers })
    }
}
