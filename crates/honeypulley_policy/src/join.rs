//! Decides when a new box may start to serve, and on which version.
//!
//! A box must not start on a version older than the one in force on any box that it can
//! reach. The version accepted by the platform suffices, since the platform orders versions.
//! While the platform is unavailable, the versions of [`JOIN_PEERS`] peers suffice, or of all
//! peers if there are fewer.

use crate::collector::NameId;
use std::collections::BTreeMap;

/// Number of peers whose versions must be known to join without the platform.
pub const JOIN_PEERS: usize = 3;

/// Source of the information on which a box joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinSource {
    /// The version accepted by the platform.
    Platform,
    /// The versions in force on its peers.
    Peers,
}

/// Progress of a box that joins the fleet.
#[derive(Clone, Debug, Default)]
pub struct Join {
    done: bool,
    peer_versions: BTreeMap<NameId, u64>,
    platform: Option<u64>,
}

impl Join {
    /// Records the version in force on a peer, or zero if it has none.
    pub fn record_peer_version(&mut self, peer: NameId, version: u64) {
        if !self.done {
            self.peer_versions.insert(peer, version);
        }
    }

    /// Records the version accepted by the platform.
    pub const fn record_platform_version(&mut self, version: u64) {
        self.platform = Some(version);
    }

    /// Returns whether the box has joined.
    #[must_use]
    pub const fn has_joined(&self) -> bool {
        self.done
    }

    /// Joins on `version` if this is allowed now.
    ///
    /// `version` is zero if the box has none, and `others` is the number of other live boxes.
    /// Returns the source for the call that joins, and `None` for all others.
    pub fn try_join(&mut self, version: u64, others: usize) -> Option<JoinSource> {
        if self.done || version == 0 {
            return None;
        }
        let newest = self.peer_versions.values().max().copied().unwrap_or(0);
        let by_platform = self.platform.is_some_and(|v| version >= v);
        let by_peers = others > 0 && self.peer_versions.len() >= JOIN_PEERS.min(others);
        if version < newest || !(by_platform || by_peers) {
            return None;
        }
        self.done = true;
        Some(if by_platform { JoinSource::Platform } else { JoinSource::Peers })
    }
}
