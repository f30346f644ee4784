//! Which epoch an answer of the platform belongs to.

use crate::api::PlatformError;
use honeypulley_policy::revision::Revision;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The newest epoch that any answer named.
#[derive(Debug, Default)]
pub struct KnownEpoch {
    newest: AtomicU64,
    /// Whether an unreadable epoch was logged.
    odd: AtomicBool,
}

impl KnownEpoch {
    /// Returns the newest epoch that any answer named, zero if none did.
    pub fn get(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }

    /// Returns the epoch that an answer belongs to, from what its head names.
    ///
    /// An answer that names none, or something unreadable, counts as of the newest epoch known:
    /// a proxy in between may have given it, and the next answer tells.
    ///
    /// # Errors
    /// [`PlatformError::Restored`] if a later answer has named a newer epoch before.
    pub fn place(
        &self,
        peer: &str,
        step: &'static str,
        named: Option<&[u8]>,
    ) -> Result<u64, PlatformError> {
        let text = named.map(String::from_utf8_lossy);
        let Some(found) = text.as_deref().and_then(|t| t.trim().parse().ok()) else {
            let known = self.get();
            if let Some(t) = text
                && !self.odd.swap(true, Ordering::Relaxed)
            {
                let head: String = t.chars().take(20).collect();
                log::warn!(peer, step; "platform: epoch {head:?} can't be read, {known} is assumed");
            }
            return Ok(known);
        };
        let known = self.newest.fetch_max(found, Ordering::AcqRel);
        if found < known {
            let peer = peer.to_owned();
            return Err(PlatformError::Restored { peer, step, wanted: known, found });
        }
        Ok(found)
    }
}

/// Checks that an answer belongs to the epoch that the call was about.
///
/// # Errors
/// [`PlatformError::Restored`] if it does not.
pub fn same_epoch(
    peer: &str,
    step: &'static str,
    wanted: u64,
    found: u64,
) -> Result<(), PlatformError> {
    if wanted == found {
        return Ok(());
    }
    Err(PlatformError::Restored { peer: peer.to_owned(), step, wanted, found })
}

/// Refuses a write whose condition names a version of an earlier epoch; nothing is written.
#[must_use]
pub fn outdated(key: &str) -> PlatformError {
    PlatformError::Conflict { key: key.to_owned(), current: Revision::ZERO }
}
