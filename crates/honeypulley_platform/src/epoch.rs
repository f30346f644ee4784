//! Epochs of the platform, which count its restores from backups.

use crate::api::PlatformError;
use honeypulley_policy::revision::Revision;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Tracks the newest epoch received in an answer.
#[derive(Debug, Default)]
pub struct KnownEpoch {
    newest: AtomicU64,
    /// Whether a malformed epoch has been logged; the warning is written once.
    warned: AtomicBool,
}

impl KnownEpoch {
    /// Returns the newest epoch received in an answer, or zero.
    pub fn get(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }

    /// Returns the epoch of an answer from its header value, and records it.
    ///
    /// An answer without an epoch, or with a malformed one, is assigned to the newest known
    /// epoch: a proxy may have generated it, and the next answer will contain the epoch.
    ///
    /// # Errors
    /// Returns [`PlatformError::Restored`] if the epoch is older than the newest known one.
    pub fn place(
        &self,
        peer: &str,
        step: &'static str,
        header: Option<&[u8]>,
    ) -> Result<u64, PlatformError> {
        let text = header.map(String::from_utf8_lossy);
        let Some(found) = text.as_deref().and_then(|t| t.trim().parse().ok()) else {
            let known = self.get();
            if let Some(t) = text
                && !self.warned.swap(true, Ordering::Relaxed)
            {
                let value: String = t.chars().take(20).collect();
                log::warn!(peer, step; "platform: malformed epoch {value:?} in an answer, assuming epoch {known}");
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

/// Checks that an answer is of the epoch that the call expected.
///
/// # Errors
/// Returns [`PlatformError::Restored`] if it is not.
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

/// Returns the error of a write whose precondition is a version of an earlier epoch.
///
/// Such a write is rejected without a call to the platform, as version numbers are reused
/// after a restore.
#[must_use]
pub fn outdated(key: &str) -> PlatformError {
    PlatformError::Conflict { key: key.to_owned(), current: Revision::ZERO }
}
