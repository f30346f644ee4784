//! Rollout of a bundle: writes parts and manifest, then the head by a conditional write.

use crate::api::{Expect, Platform, PlatformError};
use bytes::Bytes;
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::parts::{Digest, Manifest, Split};
use honeypulley_bundle::sign::Signature;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeSet;
use std::time::Duration;

/// Key of the head object.
pub const HEAD: &str = "bundle/head";
/// Maximum number of attempts of one call before its error is returned.
const MAX_ATTEMPTS: u32 = 6;
/// Base delay before the first retry; doubles with each retry, with jitter.
const BASE_DELAY: Duration = Duration::from_millis(50);

/// Returns the key of the manifest with the digest `d`.
#[must_use]
pub fn manifest_key(d: &Digest) -> String {
    format!("bundle/manifest/{d}")
}

/// Returns the key of the part with the digest `d`.
#[must_use]
pub fn part_key(d: &Digest) -> String {
    format!("bundle/part/{d}")
}

/// A head with its object version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Decoded head.
    pub head: Head,
    /// Object version, used as the condition of the next write.
    pub object: Revision,
}

/// Result of a successful rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Version that the rollout was accepted as.
    pub version: Version,
    /// Whether an answer to the write was lost and its outcome determined afterwards.
    pub resolved: bool,
}

/// Errors of a rollout, including an unknown outcome.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AcceptError {
    /// Another rollout was accepted first.
    #[error(
        "roll-out: {won} by '{by}' was accepted first; your rollout changed nothing, review that version and roll out again"
    )]
    Lost {
        /// Version that was accepted instead.
        won: Version,
        /// Signer of that version.
        by: String,
    },
    /// The platform call failed; the rollout had no effect.
    #[error("roll-out: nothing took effect: {0}")]
    Nothing(PlatformError),
    /// The outcome is unknown; the write may have taken effect.
    #[error(
        "roll-out {rollout}: outcome unknown, run `honeypulley status` once the platform answers: {cause}"
    )]
    Unknown {
        /// Unique id of the rollout, which the head contains if it was accepted.
        rollout: String,
        /// Error of the last attempt.
        cause: PlatformError,
    },
    /// An object is missing or cannot be decoded.
    #[error("roll-out: {key}: the platform's object is missing or was not written by this tool")]
    Foreign {
        /// Key of the object.
        key: String,
    },
}

/// Reads the head.
///
/// # Errors
/// Returns [`AcceptError::Nothing`] or [`AcceptError::Foreign`].
pub async fn read_head(p: &dyn Platform) -> Result<Option<StoredHead>, AcceptError> {
    let found = retry(|| p.get(HEAD)).await.map_err(AcceptError::Nothing)?;
    let Some(o) = found else { return Ok(None) };
    match serde_json::from_slice(&o.value) {
        Ok(head) => Ok(Some(StoredHead { head, object: o.version })),
        Err(_) => Err(AcceptError::Foreign { key: HEAD.to_owned() }),
    }
}

/// Reads the manifest with the digest `d`.
///
/// # Errors
/// Returns [`AcceptError::Nothing`] or [`AcceptError::Foreign`].
pub async fn read_manifest(p: &dyn Platform, d: &Digest) -> Result<Manifest, AcceptError> {
    let key = manifest_key(d);
    let found = retry(|| p.get(&key)).await.map_err(AcceptError::Nothing)?;
    let manifest = found.and_then(|o| Manifest::from_bytes(&o.value));
    match manifest {
        Some(m) if m.digest() == *d => Ok(m),
        _ => Err(AcceptError::Foreign { key }),
    }
}

/// Stores a partitioned bundle and replaces the head `base`.
///
/// The new version is higher than `in_force`, the one that is active on the boxes.
/// `rollout` is the unique id of the rollout: if the answer to the write of the head is
/// lost, the head is read and searched for this id. All writes are conditional, so a
/// retry cannot apply a write twice.
///
/// # Errors
/// Returns an [`AcceptError`]; only with [`AcceptError::Unknown`] may the rollout have
/// taken effect.
pub async fn accept(
    p: &dyn Platform,
    base: Option<&StoredHead>,
    in_force: Version,
    split: &Split,
    signature: Signature,
    rollout: &str,
) -> Result<Accepted, AcceptError> {
    let old = match base {
        Some(b) => read_manifest(p, &b.head.manifest).await?.parts.into_iter().collect(),
        None => BTreeSet::new(),
    };
    for (d, bytes) in split.manifest.parts.iter().zip(&split.parts) {
        if !old.contains(d) {
            store(p, &part_key(d), bytes.clone()).await?;
        }
    }
    let digest = split.manifest.digest();
    store(p, &manifest_key(&digest), split.manifest.to_bytes()).await?;
    let head = Head::after(base.map(|b| &b.head), rollout.to_owned(), digest, signature);
    let head = head.above(in_force);
    let expect = base.map_or(Expect::Absent, |b| Expect::Version(b.object));
    swap_head(p, &head, expect).await
}

/// Writes an object whose key is its digest; an existing one has the same content.
async fn store(p: &dyn Platform, key: &str, value: Bytes) -> Result<(), AcceptError> {
    match retry(|| p.put(key, value.clone(), Expect::Absent)).await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(e) => Err(AcceptError::Nothing(e)),
    }
}

/// Writes the head if `expect` holds, with retries.
async fn swap_head(p: &dyn Platform, head: &Head, expect: Expect) -> Result<Accepted, AcceptError> {
    let value = Bytes::from(serde_json::to_vec(head).expect("a head serializes to JSON"));
    let (mut uncertain, mut last) = (false, None);
    for attempt in 0..MAX_ATTEMPTS {
        backoff(attempt).await;
        let Err(error) = p.put(HEAD, value.clone(), expect).await else {
            return Ok(Accepted { version: head.version, resolved: uncertain });
        };
        match error {
            PlatformError::Unavailable { .. } | PlatformError::Compacted { .. } => {}
            // The condition makes a retry safe, but only reading the head shows
            // whether the first write took effect.
            PlatformError::Unknown { .. }
            | PlatformError::Restored { .. }
            | PlatformError::Incomplete { .. } => uncertain = true,
            PlatformError::Conflict { .. } => return resolve(p, head, uncertain).await,
        }
        last = Some(error);
    }
    let cause = last.expect("MAX_ATTEMPTS is at least one");
    if uncertain {
        return Err(AcceptError::Unknown { rollout: head.rollout.clone(), cause });
    }
    Err(AcceptError::Nothing(cause))
}

/// Reads the head after a conflict, which may have been caused by this same rollout.
async fn resolve(p: &dyn Platform, head: &Head, uncertain: bool) -> Result<Accepted, AcceptError> {
    let current = match read_head(p).await {
        Ok(Some(s)) => s.head,
        Ok(None) => return Err(AcceptError::Foreign { key: HEAD.to_owned() }),
        Err(AcceptError::Nothing(cause)) if uncertain => {
            return Err(AcceptError::Unknown { rollout: head.rollout.clone(), cause });
        }
        Err(e) => return Err(e),
    };
    match current.version_of(&head.rollout) {
        Some(version) => Ok(Accepted { version, resolved: true }),
        None => Err(AcceptError::Lost { won: current.version, by: current.signature.signer }),
    }
}

/// Retries an idempotent call with exponential backoff and jitter.
async fn retry<T, F>(mut call: impl FnMut() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let mut attempts = 0;
    loop {
        backoff(attempts).await;
        attempts += 1;
        match call().await {
            Err(e) if attempts < MAX_ATTEMPTS && !matches!(e, PlatformError::Conflict { .. }) => {}
            other => return other,
        }
    }
}

/// Waits before the retry with the number `attempt`; returns at once for attempt zero.
async fn backoff(attempt: u32) {
    if attempt > 0 {
        let delay = BASE_DELAY * 2u32.pow(attempt - 1);
        tokio::time::sleep(delay.mul_f64(0.5 + fastrand::f64())).await;
    }
}
