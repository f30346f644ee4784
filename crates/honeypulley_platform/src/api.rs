//! The trait every platform client implements.

use async_trait::async_trait;
use bytes::Bytes;
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
    /// Version of the platform at which it was last written.
    pub version: u64,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// There is no such object yet.
    Absent,
    /// The object is at this version.
    Version(u64),
}

/// An object that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removed {
    /// Its key.
    pub key: String,
    /// Version of the platform at which it went.
    pub version: u64,
}

/// Changes under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Version of the platform up to which this is complete.
    pub version: u64,
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
        /// Version it is at, zero if it is absent.
        current: u64,
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
        after: u64,
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

/// The platform's object API.
///
/// Reads are taken to be linearizable with writes; a read that shows an older
/// version than one seen before is dropped by its user.
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
    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64, PlatformError>;

    /// Returns what changed under `prefix` after `after`, waiting up to `wait`.
    ///
    /// An empty answer after the wait confirms that nothing changed.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError>;

    /// Returns every object under `prefix`.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn list(&self, prefix: &str, _: Freshness) -> Result<Changes, PlatformError> {
        self.watch(prefix, 0, Duration::ZERO).await
    }

    /// Returns the lagging list of boxes and upstreams, as JSON.
    ///
    /// # Errors
    /// Any [`PlatformError`] but a conflict.
    async fn members(&self) -> Result<Bytes, PlatformError>;
}
