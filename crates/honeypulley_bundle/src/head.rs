//! The head: which bundle is accepted, in the platform's order.

use crate::parts::Digest;
use crate::sign::Signature;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of an accepted bundle; each acceptance adds one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Earlier roll-outs that a head remembers.
pub const REMEMBERED: usize = 32;

/// One acceptance that a later one followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its version.
    pub version: Version,
    /// Its roll-out's own id.
    pub rollout: String,
}

/// The one object that acceptance updates, by conditional update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version accepted.
    pub version: Version,
    /// The roll-out's own id, by which a lost answer is resolved.
    pub rollout: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Who signed it off.
    pub signature: Signature,
    /// Acceptances before this one, newest first.
    #[serde(default)]
    pub past: Vec<Past>,
}

impl Head {
    /// Builds the head that follows `before`.
    #[must_use]
    pub fn after(
        before: Option<&Self>,
        rollout: String,
        manifest: Digest,
        signature: Signature,
    ) -> Self {
        let past = before.map_or_else(Vec::new, |h| {
            let last = Past { version: h.version, rollout: h.rollout.clone() };
            std::iter::once(last).chain(h.past.iter().cloned()).take(REMEMBERED).collect()
        });
        let version = Version(before.map_or(1, |h| h.version.0 + 1));
        Self { version, rollout, manifest, signature, past }
    }

    /// Raises the version above one that boxes have in force.
    ///
    /// A platform restored from a backup may have lost the heads up to that one.
    #[must_use]
    pub fn above(mut self, in_force: Version) -> Self {
        self.version = self.version.max(Version(in_force.0 + 1));
        self
    }

    /// Returns the version that the roll-out `id` was accepted as, if it was.
    ///
    /// Only the last [`REMEMBERED`] acceptances are known.
    #[must_use]
    pub fn version_of(&self, id: &str) -> Option<Version> {
        if self.rollout == id {
            return Some(self.version);
        }
        self.past.iter().find(|p| p.rollout == id).map(|p| p.version)
    }
}
