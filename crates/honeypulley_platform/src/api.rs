//! Trait and types of the platform's object API.

use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_policy::revision::Revision;
use std::fmt::Debug;
use std::time::Duration;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Content of the object.
    pub value: Bytes,
    /// Revision of the last write.
    pub version: Revision,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Revision),
}

/// A deleted object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removed {
    /// Key of the object.
    pub key: String,
    /// Revision of the deletion.
    pub version: Revision,
}

/// Changes under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    pub version: Revision,
    /// Objects written after the requested revision.
    pub objects: Vec<Object>,
    /// Objects deleted after the requested revision, if the platform reports deletions.
    pub removed: Vec<Removed>,
}

/// Consistency of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Freshness {
    /// Reflects all writes before the call.
    Latest,
    /// May be some seconds old; cheaper for the platform.
    Stale,
}

/// Errors of calls to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The precondition of the write did not hold; nothing was written.
    #[error("platform: {key} was changed concurrently, it is at version {current}")]
    Conflict {
        /// Key of the object.
        key: String,
        /// Current version, zero if the object is absent or its version is unknown.
        current: Revision,
    },
    /// The platform is unreachable or over its rate limit; the call had no effect.
    #[error("platform at {peer}: {step}: unavailable: {cause}")]
    Unavailable {
        /// Address of the platform.
        peer: String,
        /// Name of the operation.
        step: &'static str,
        /// Underlying error.
        cause: String,
    },
    /// The history after the requested revision has been compacted.
    #[error("platform at {peer}: the history after version {after} has been compacted")]
    Compacted {
        /// Address of the platform.
        peer: String,
        /// Requested revision.
        after: Revision,
    },
    /// The platform was restored from a backup: its answer is of an unexpected epoch.
    ///
    /// Revisions of the earlier epoch are invalid. A write may have taken effect.
    #[error(
        "platform at {peer}: {step}: restored from a backup, epoch {found} in place of {wanted}"
    )]
    Restored {
        /// Address of the platform.
        peer: String,
        /// Name of the operation.
        step: &'static str,
        /// Epoch that the call expected.
        wanted: u64,
        /// Epoch of the answer.
        found: u64,
    },
    /// A list ended before it was complete.
    #[error("platform at {peer}: {step}: ended after {} objects: {cause}", read.objects.len())]
    Incomplete {
        /// Address of the platform.
        peer: String,
        /// Name of the operation.
        step: &'static str,
        /// What prevents the list from advancing.
        cause: String,
        /// Objects that were read, which are valid; nothing is known of the others.
        read: Box<Changes>,
    },
    /// No answer was received; a write may have taken effect.
    #[error("platform at {peer}: {step}: no answer, outcome unknown: {cause}")]
    Unknown {
        /// Address of the platform.
        peer: String,
        /// Name of the operation.
        step: &'static str,
        /// Underlying error.
        cause: String,
    },
}

impl PlatformError {
    /// Returns whether the requested revision is invalid, so that a new list is needed.
    #[must_use]
    pub const fn has_lost_place(&self) -> bool {
        matches!(self, Self::Compacted { .. } | Self::Restored { .. })
    }

    /// Returns the objects that were read before the error, which only a list may have.
    #[must_use]
    pub fn into_read(self) -> Changes {
        match self {
            Self::Incomplete { read, .. } => *read,
            _ => Changes::default(),
        }
    }
}

/// The platform's object API.
///
/// Reads are assumed to be linearizable with writes within one epoch of the platform. A restore
/// from a backup begins a new epoch: the latest writes are lost, including acknowledged ones, and
/// their version numbers are reused.
#[async_trait]
pub trait Platform: Debug + Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    /// Returns any [`PlatformError`] except a conflict.
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError>;

    /// Reads an object as of some seconds ago, at a lower cost if the platform offers that.
    ///
    /// # Errors
    /// Returns any [`PlatformError`] except a conflict.
    async fn get_stale(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.get(key).await
    }

    /// Writes an object if `expect` holds and returns its new version.
    ///
    /// # Errors
    /// Returns any [`PlatformError`].
    async fn put(&self, key: &str, value: Bytes, expect: Expect)
    -> Result<Revision, PlatformError>;

    /// Returns the changes under `prefix` since `after`, waiting up to `wait` for one.
    ///
    /// An empty result confirms that there were no changes.
    ///
    /// # Errors
    /// Returns any [`PlatformError`] except a conflict.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError>;

    /// Returns all objects under `prefix`.
    ///
    /// # Errors
    /// Returns any [`PlatformError`] except a conflict.
    async fn list(&self, prefix: &str, _: Freshness) -> Result<Changes, PlatformError> {
        self.watch(prefix, Revision::ZERO, Duration::ZERO).await
    }

    /// Returns the newest epoch received in an answer, or zero.
    fn epoch(&self) -> u64 {
        0
    }

    /// Returns the delayed list of boxes and upstreams as JSON.
    ///
    /// # Errors
    /// Returns any [`PlatformError`] except a conflict.
    async fn members(&self) -> Result<Bytes, PlatformError>;
}
