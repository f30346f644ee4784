//! Handles a restore of the platform from a backup.
//!
//! Every answer of the platform and every beacon carries the epoch. A higher one makes the box
//! reread table, list and holds.

use crate::readers::RETURN_TIME;
use crate::state::Mesh;
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The newest epoch that a box knows of, and how often it has changed.
#[derive(Debug, Default)]
pub(crate) struct Epoch {
    newest: AtomicU64,
    restores: AtomicU64,
    /// Serializes changes of the epoch; lists of the new epoch are applied after them.
    changing: Mutex<()>,
}

impl Mesh {
    /// Returns the newest epoch of the platform that this box knows of, zero if none.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch.newest.load(Ordering::Acquire)
    }

    /// Waits for an epoch after this one, and returns it.
    pub async fn epoch_after(&self, epoch: u64) -> u64 {
        loop {
            let restored = self.restored.notified();
            let now = self.epoch();
            if now > epoch {
                return now;
            }
            restored.await;
        }
    }

    /// Returns how many restores of the platform this box has noticed.
    #[must_use]
    pub fn restores(&self) -> u64 {
        self.epoch.restores.load(Ordering::Relaxed)
    }

    /// Records an epoch that an answer of the platform or a peer named.
    pub fn learn_epoch(&self, epoch: u64, from: &str) {
        if epoch <= self.epoch() {
            return;
        }
        let changing = self.epoch.changing.lock();
        let before = self.epoch();
        if epoch <= before {
            return;
        }
        let list = self.list_now().version;
        // Nothing was read yet, so that nothing is outdated.
        if list.is_zero() && self.table_number() == 0 {
            log::info!(epoch, from; "store: its epoch is {epoch}");
            self.epoch.newest.store(epoch, Ordering::Release);
            return;
        }
        let now = self.now();
        self.epoch.restores.fetch_add(1, Ordering::Relaxed);
        self.readers().restored(now);
        self.lists.lock().list.begin_epoch(epoch, now + RETURN_TIME);
        self.epoch.newest.store(epoch, Ordering::Release);
        drop(changing);
        log::warn!(
            before, epoch, list:display, table = self.table_number(), from;
            "store: restored from a backup, epoch {before} became {epoch}; table, list and holds are reread"
        );
        self.restored.notify_waiters();
        self.asking.notify_one();
        self.telling.notify_one();
    }
}

/// Wraps a platform and reports the epoch of each answer to a box.
#[derive(Debug)]
pub struct EpochWatch {
    inner: Arc<dyn Platform>,
    mesh: Arc<Mesh>,
}

impl EpochWatch {
    /// Wraps a platform on behalf of a box.
    #[must_use]
    pub const fn new(inner: Arc<dyn Platform>, mesh: Arc<Mesh>) -> Self {
        Self { inner, mesh }
    }

    /// Records the epoch after a call, also a failed one.
    fn noted<T>(&self, answer: T) -> T {
        self.mesh.learn_epoch(self.inner.epoch(), "platform");
        answer
    }

    /// Rejects an answer of an earlier epoch than one learned from a peer.
    fn checked(&self, step: &'static str, found: Option<u64>) -> Result<(), PlatformError> {
        let wanted = self.mesh.epoch();
        match found {
            Some(found) if found < wanted => {
                let peer = "platform".to_owned();
                Err(PlatformError::Restored { peer, step, wanted, found })
            }
            _ => Ok(()),
        }
    }
}

#[async_trait]
impl Platform for EpochWatch {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let found = self.noted(self.inner.get(key).await)?;
        self.checked("read", found.as_ref().map(|o| o.version.epoch))?;
        Ok(found)
    }

    async fn put(&self, key: &str, value: Bytes, e: Expect) -> Result<Revision, PlatformError> {
        self.noted(self.inner.put(key, value, e).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let changes = self.noted(self.inner.watch(prefix, after, wait).await)?;
        self.checked("watch", Some(changes.version.epoch))?;
        Ok(changes)
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        let all = self.noted(self.inner.list(prefix, f).await)?;
        self.checked("list", Some(all.version.epoch))?;
        Ok(all)
    }

    fn epoch(&self) -> u64 {
        self.inner.epoch()
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.noted(self.inner.members().await)
    }
}
