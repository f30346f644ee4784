//! Detection of restores of the platform from a backup.
//!
//! Every answer of the platform and every beacon carries the platform's epoch. A higher epoch
//! makes the box reread table, list and holds.

use crate::readers::RELIST_TIME;
use crate::state::Mesh;
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The highest known epoch of the platform and the number of restores noticed.
#[derive(Debug, Default)]
pub(crate) struct Epoch {
    newest: AtomicU64,
    restores: AtomicU64,
    /// Serializes changes of the epoch; lists of the new epoch are applied after them.
    update_lock: Mutex<()>,
}

impl Mesh {
    /// Returns the highest known epoch of the platform, or zero if none is known.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch.newest.load(Ordering::Acquire)
    }

    /// Waits for an epoch higher than `epoch` and returns it.
    pub async fn epoch_after(&self, epoch: u64) -> u64 {
        loop {
            let restored = self.restore_wakeup.notified();
            let now = self.epoch();
            if now > epoch {
                return now;
            }
            restored.await;
        }
    }

    /// Returns the number of restores of the platform that this box has noticed.
    #[must_use]
    pub fn restores(&self) -> u64 {
        self.epoch.restores.load(Ordering::Relaxed)
    }

    /// Records an epoch received from the platform or a peer.
    pub fn observe_epoch(&self, epoch: u64, from: &str) {
        if epoch <= self.epoch() {
            return;
        }
        let guard = self.epoch.update_lock.lock();
        let before = self.epoch();
        if epoch <= before {
            return;
        }
        let list = self.list_status().version;
        // Nothing was read yet, so nothing is out of date.
        if list.is_zero() && self.table_version() == 0 {
            log::info!(epoch, from; "store: the platform's epoch is {epoch}");
            self.epoch.newest.store(epoch, Ordering::Release);
            return;
        }
        let now = self.now();
        self.epoch.restores.fetch_add(1, Ordering::Relaxed);
        self.readers().record_restore(now);
        self.lists.lock().list.begin_epoch(epoch, now + RELIST_TIME);
        self.epoch.newest.store(epoch, Ordering::Release);
        drop(guard);
        log::warn!(
            before, epoch, list:display, table = self.table_version(), from;
            "store: restored from a backup, epoch {before} became {epoch}; rereading table, list and holds"
        );
        self.restore_wakeup.notify_waiters();
        self.query_wakeup.notify_one();
        self.broadcast_wakeup.notify_one();
    }
}

/// Wraps a platform client and reports the epoch of each answer to the box.
#[derive(Debug)]
pub struct EpochTracker {
    inner: Arc<dyn Platform>,
    mesh: Arc<Mesh>,
}

impl EpochTracker {
    /// Wraps a platform client.
    #[must_use]
    pub const fn new(inner: Arc<dyn Platform>, mesh: Arc<Mesh>) -> Self {
        Self { inner, mesh }
    }

    /// Records the platform's epoch after a call, whether or not it succeeded.
    fn record_epoch<T>(&self, answer: T) -> T {
        self.mesh.observe_epoch(self.inner.epoch(), "platform");
        answer
    }

    /// Rejects an answer of a lower epoch than the highest known one.
    ///
    /// That epoch may have been learned from a peer.
    fn check_epoch(&self, step: &'static str, found: Option<u64>) -> Result<(), PlatformError> {
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
impl Platform for EpochTracker {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let found = self.record_epoch(self.inner.get(key).await)?;
        self.check_epoch("read", found.as_ref().map(|o| o.version.epoch))?;
        Ok(found)
    }

    async fn get_stale(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let found = self.record_epoch(self.inner.get_stale(key).await)?;
        self.check_epoch("read", found.as_ref().map(|o| o.version.epoch))?;
        Ok(found)
    }

    async fn put(&self, key: &str, value: Bytes, e: Expect) -> Result<Revision, PlatformError> {
        self.record_epoch(self.inner.put(key, value, e).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let changes = self.record_epoch(self.inner.watch(prefix, after, wait).await)?;
        self.check_epoch("watch", Some(changes.version.epoch))?;
        Ok(changes)
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        let all = self.record_epoch(self.inner.list(prefix, f).await)?;
        self.check_epoch("list", Some(all.version.epoch))?;
        Ok(all)
    }

    fn epoch(&self) -> u64 {
        self.inner.epoch()
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.record_epoch(self.inner.members().await)
    }
}
