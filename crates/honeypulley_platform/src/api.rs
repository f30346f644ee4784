//! The trait every platform client implements.

use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_policy::revision::Revision;
use std::fmt::Debug;
use std::time::Duration;

/// Largest value the platform holds, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its bytes.
    pub value: Bytes,
    /// Position at which it was last written.
    pub version: Revision,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// There is no such object yet.
    Absent,
    /// The object is at this version.
    Version(Revision),
}

/// An object that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removed {
    /// Its key.
    pub key: String,
    /// Position at which it went.
    pub version: Revision,
}

/// Changes under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Position up to which this is complete.
    pub version: Revision,
    /// Objects written since the version asked for.
    pub objects: Vec<Object>,
    /// Objects gone since the version asked for, where the platform tells.
    pub removed: Vec<Removed>,
}

/// How fresh a list must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As of the call.
    Latest,
    /// May be seconds old, and costs less.
    Stale,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The condition of the write did not hold; nothing was written.
    #[error("platform: {key} was changed by another, now at version {current}")]
    Conflict {
        /// Key of the object.
        key: String,
        /// Version it is at, zero if it is absent or not known.
        current: Revision,
    },
    /// The platform refused before doing anything: over its rate, or away.
    #[error("platform at {peer}: {step}: not available: {cause}")]
    Unavailable {
        /// Address asked.
        peer: String,
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
    /// The platform forgot the changes since the version asked for.
    #[error("platform at {peer}: the history since version {after} is gone")]
    Compacted {
        /// Address asked.
        peer: String,
        /// Version asked for.
        after: Revision,
    },
    /// The platform was restored from a backup: its answer is of another epoch than asked for.
    ///
    /// Nothing that was known of its positions holds. A write may have taken effect.
    #[error(
        "platform at {peer}: {step}: restored from a backup, epoch {found} in place of {wanted}"
    )]
    Restored {
        /// Address asked.
        peer: String,
        /// What was being done.
        step: &'static str,
        /// Epoch that the call was about.
        wanted: u64,
        /// Epoch of the answer.
        found: u64,
    },
    /// No answer came: a write may or may not have taken effect.
    #[error("platform at {peer}: {step}: no answer, outcome unknown: {cause}")]
    Unknown {
        /// Address asked.
        peer: String,
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
}

impl PlatformError {
    /// Returns whether the position asked from is of no use any more.
    #[must_use]
    pub const fn has_lost_place(&self) -> bool {
        matches!(self, Self::Compacted { .. } | Self::Restored { .. })
    }
}

/// The platform's object API.
///
/// Reads are taken to be linearizable with writes within one epoch of the platform. Restored from
/// a backup, it loses its latest writes, also acknowledged ones, and gives their versions out again
/// in its next epoch.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads one object.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError>;

    /// Writes one object if `expect` holds; returns its new version.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    async fn put(&self, key: &str, value: Bytes, expect: Expect)
    -> Result<Revision, PlatformError>;

    /// Returns what changed under `prefix` after `after`, waiting up to `wait`.
    ///
    /// An empty answer after the wait confirms that nothing changed.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError>;

    /// Returns every object under `prefix`.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn list(&self, prefix: &str, _: Freshness) -> Result<Changes, PlatformError> {
        self.watch(prefix, Revision::ZERO, Duration::ZERO).await
    }

    /// Returns the newest epoch that any answer named, zero if none did.
    fn epoch(&self) -> u64 {
        0
    }

    /// Returns the lagging list of boxes and upstreams, as JSON.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn members(&self) -> Result<Bytes, PlatformError>;
}
