//! The head object, which names the accepted bundle version.

use crate::parts::Digest;
use crate::sign::Signature;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Version number of an accepted bundle, incremented by each rollout.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Maximum number of earlier rollouts that a head records.
pub const REMEMBERED: usize = 32;

/// An accepted rollout that a later one has replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Version that the rollout was accepted as.
    pub version: Version,
    /// Unique id of the rollout.
    pub rollout: String,
}

/// Describes the accepted bundle; replaced by a conditional write on each rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted version.
    pub version: Version,
    /// Unique id of the rollout, used to determine the outcome if the answer to the write is lost.
    pub rollout: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Operator's signature of the manifest.
    pub signature: Signature,
    /// Earlier rollouts, newest first.
    #[serde(default)]
    pub past: Vec<Past>,
}

impl Head {
    /// Builds the successor of the head `before`.
    #[must_use]
    pub fn after(
        before: Option<&Self>,
        rollout: String,
        manifest: Digest,
        signature: Signature,
    ) -> Self {
        let past = before.map_or_else(Vec::new, |h| {
            let latest = Past { version: h.version, rollout: h.rollout.clone() };
            std::iter::once(latest).chain(h.past.iter().cloned()).take(REMEMBERED).collect()
        });
        let version = Version(before.map_or(1, |h| h.version.0 + 1));
        Self { version, rollout, manifest, signature, past }
    }

    /// Raises the version above the one that is active on the boxes.
    ///
    /// A platform restored from a backup may have lost heads up to that version, and
    /// boxes ignore a head that is not newer than their own.
    #[must_use]
    pub fn above(mut self, in_force: Version) -> Self {
        self.version = self.version.max(Version(in_force.0 + 1));
        self
    }

    /// Returns the version that the rollout `id` was accepted as.
    ///
    /// Only the current rollout and the last [`REMEMBERED`] before it are known.
    #[must_use]
    pub fn version_of(&self, id: &str) -> Option<Version> {
        if self.rollout == id {
            return Some(self.version);
        }
        self.past.iter().find(|p| p.rollout == id).map(|p| p.version)
    }
}
