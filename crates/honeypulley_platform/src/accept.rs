//! Acceptance of a bundle: parts, manifest, then one conditional update.

use crate::api::{Expect, Platform, PlatformError};
use bytes::Bytes;
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::parts::{Digest, Manifest, Split};
use honeypulley_bundle::sign::Signature;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeSet;
use std::time::Duration;

/// Key of the head.
pub const HEAD: &str = "bundle/head";
/// Attempts of one call before it is reported to the operator.
const TRIES: u32 = 6;
/// First wait between two tries; doubles, with jitter.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// Returns the key of a manifest.
#[must_use]
pub fn manifest_key(d: &Digest) -> String {
    format!("bundle/manifest/{d}")
}

/// Returns the key of a part.
#[must_use]
pub fn part_key(d: &Digest) -> String {
    format!("bundle/part/{d}")
}

/// A head with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The head.
    pub head: Head,
    /// Version of the object, for the conditional update.
    pub object: Revision,
}

/// An acceptance that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Version it became.
    pub version: Version,
    /// Whether an answer was lost on the way and resolved by reading back.
    pub resolved: bool,
}

/// Why a roll-out did not take effect, or isn't known to have.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AcceptError {
    /// Another operator's roll-out came first.
    #[error(
        "roll-out: {won} by '{by}' was accepted first; nothing of yours was lost, look at it and roll out again"
    )]
    Lost {
        /// Version that won.
        won: Version,
        /// Its signer.
        by: String,
    },
    /// The platform could not be asked; nothing took effect.
    #[error("roll-out: nothing took effect: {0}")]
    Nothing(PlatformError),
    /// The write may have taken effect.
    #[error(
        "roll-out {rollout}: outcome unknown, run `honeypulley status` once the platform answers: {cause}"
    )]
    Unknown {
        /// The roll-out's own id, as the head shows it if it was accepted.
        rollout: String,
        /// The last error.
        cause: PlatformError,
    },
    /// An object does not parse.
    #[error("roll-out: {key}: the platform holds something that isn't ours")]
    Foreign {
        /// Key of the object.
        key: String,
    },
}

/// Reads the head.
///
/// # Errors
/// [`AcceptError::Nothing`] or [`AcceptError::Foreign`].
pub async fn read_head(p: &dyn Platform) -> Result<Option<StoredHead>, AcceptError> {
    let found = retry(|| p.get(HEAD)).await.map_err(AcceptError::Nothing)?;
    let Some(o) = found else { return Ok(None) };
    match serde_json::from_slice(&o.value) {
        Ok(head) => Ok(Some(StoredHead { head, object: o.version })),
        Err(_) => Err(AcceptError::Foreign { key: HEAD.to_owned() }),
    }
}

/// Reads the manifest that a head names.
///
/// # Errors
/// [`AcceptError::Nothing`] or [`AcceptError::Foreign`].
pub async fn read_manifest(p: &dyn Platform, d: &Digest) -> Result<Manifest, AcceptError> {
    let key = manifest_key(d);
    let found = retry(|| p.get(&key)).await.map_err(AcceptError::Nothing)?;
    let manifest = found.and_then(|o| Manifest::from_bytes(&o.value));
    match manifest {
        Some(m) if m.digest() == *d => Ok(m),
        _ => Err(AcceptError::Foreign { key }),
    }
}

/// Stores a split bundle and accepts it over `base`, above the version that boxes have in force.
///
/// `rollout` is the roll-out's own id: if the answer of the last write is lost,
/// the head is read back and searched for it. Nothing is written blindly twice.
///
/// # Errors
/// See [`AcceptError`]; only [`AcceptError::Unknown`] may have taken effect.
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

/// Writes an object named by its digest; one that stands already is the same.
async fn store(p: &dyn Platform, key: &str, value: Bytes) -> Result<(), AcceptError> {
    match retry(|| p.put(key, value.clone(), Expect::Absent)).await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(e) => Err(AcceptError::Nothing(e)),
    }
}

async fn swap_head(p: &dyn Platform, head: &Head, expect: Expect) -> Result<Accepted, AcceptError> {
    let value = Bytes::from(serde_json::to_vec(head).expect("a head is plain data"));
    let (mut unsure, mut last) = (false, None);
    for turn in 0..TRIES {
        pause(turn).await;
        let Err(error) = p.put(HEAD, value.clone(), expect).await else {
            return Ok(Accepted { version: head.version, resolved: unsure });
        };
        match error {
            PlatformError::Unavailable { .. } | PlatformError::Compacted { .. } => {}
            // The condition makes a second write safe, but only reading back
            // tells whether the first took effect.
            PlatformError::Unknown { .. } | PlatformError::Restored { .. } => unsure = true,
            PlatformError::Conflict { .. } => return resolve(p, head, unsure).await,
        }
        last = Some(error);
    }
    let cause = last.expect("at least one try was made");
    if unsure {
        return Err(AcceptError::Unknown { rollout: head.rollout.clone(), cause });
    }
    Err(AcceptError::Nothing(cause))
}

/// Reads the head after a conflict: the winner may be this very roll-out.
async fn resolve(p: &dyn Platform, head: &Head, unsure: bool) -> Result<Accepted, AcceptError> {
    let now = match read_head(p).await {
        Ok(Some(s)) => s.head,
        Ok(None) => return Err(AcceptError::Foreign { key: HEAD.to_owned() }),
        Err(AcceptError::Nothing(cause)) if unsure => {
            return Err(AcceptError::Unknown { rollout: head.rollout.clone(), cause });
        }
        Err(e) => return Err(e),
    };
    match now.version_of(&head.rollout) {
        Some(version) => Ok(Accepted { version, resolved: true }),
        None => Err(AcceptError::Lost { won: now.version, by: now.signature.signer }),
    }
}

/// Repeats a call that is safe to repeat, with backoff and jitter.
async fn retry<T, F>(mut call: impl FnMut() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let mut turn = 0;
    loop {
        pause(turn).await;
        turn += 1;
        match call().await {
            Err(e) if turn < TRIES && !matches!(e, PlatformError::Conflict { .. }) => {}
            other => return other,
        }
    }
}

async fn pause(turn: u32) {
    if turn > 0 {
        let wait = FIRST_WAIT * 2u32.pow(turn - 1);
        tokio::time::sleep(wait.mul_f64(0.5 + fastrand::f64())).await;
    }
}
