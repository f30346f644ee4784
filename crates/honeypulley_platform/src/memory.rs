//! In-memory object store with fault injection.
//!
//! Used as a fake in tests and as the store of the stand-in platform.

use crate::api::{Changes, Expect, Freshness, Object, Platform, PlatformError, Removed};
use crate::epoch::{outdated, same_epoch};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::Notify;

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether all calls fail as unavailable.
    pub outage: bool,
    /// Number of upcoming writes that take effect but whose answers are lost.
    pub lost: u32,
    /// Number of upcoming writes that are dropped without an answer.
    pub dropped: u32,
    /// Version that stale lists reflect; zero returns current lists.
    pub stale_at: u64,
}

/// Snapshot of the objects, from which the store can be restored.
#[derive(Clone, Debug)]
pub struct Backup {
    objects: BTreeMap<String, Stored>,
    removed: Vec<(String, u64)>,
    version: u64,
}

/// An object without an epoch, which is kept for the whole store.
#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Stored>,
    removed: Vec<(String, u64)>,
    /// Version up to which the history has been compacted.
    compacted: u64,
    version: u64,
    /// Number of restores from a backup.
    epoch: u64,
    members: Bytes,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// In-memory object store.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryPlatform {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Replaces the list of boxes and upstreams.
    pub fn set_members(&self, json: Bytes) {
        self.state.lock().members = json;
    }

    /// Deletes an object, as its owner or the platform would.
    pub fn remove(&self, key: &str) {
        let mut s = self.state.lock();
        if s.objects.remove(key).is_some() {
            s.version += 1;
            let version = s.version;
            s.removed.push((key.to_owned(), version));
        }
        drop(s);
        self.changed.notify_waiters();
    }

    /// Compacts the history; watches from earlier versions fail.
    pub fn compact(&self) {
        let mut s = self.state.lock();
        s.compacted = s.version;
        s.removed.clear();
        drop(s);
        self.changed.notify_waiters();
    }

    /// Returns a snapshot of the objects.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let s = self.state.lock();
        Backup { objects: s.objects.clone(), removed: s.removed.clone(), version: s.version }
    }

    /// Restores the objects from a backup and begins the next epoch.
    ///
    /// Version numbers assigned since the backup are reused.
    pub fn restore(&self, b: Backup) {
        let mut s = self.state.lock();
        s.objects = b.objects;
        s.removed = b.removed;
        s.version = b.version;
        s.epoch += 1;
        drop(s);
        self.changed.notify_waiters();
    }

    /// Returns the version of the last change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Returns the number of reads and writes received.
    pub fn calls(&self) -> (u64, u64) {
        let s = self.state.lock();
        (s.reads, s.writes)
    }

    /// Returns the changes under `prefix` since `after`.
    fn changes(&self, prefix: &str, after: Revision) -> Result<Changes, PlatformError> {
        let s = self.state.lock();
        s.check_available("watch")?;
        let number = after.number;
        if number > 0 {
            same_epoch("memory", "watch", after.epoch, s.epoch)?;
        }
        if number > s.version || (number > 0 && number < s.compacted) {
            return Err(PlatformError::Compacted { peer: "memory".to_owned(), after });
        }
        let deleted =
            |(key, version): &&(String, u64)| key.starts_with(prefix) && *version > number;
        let removed = s.removed.iter().filter(deleted);
        let removed = removed.map(|(key, v)| Removed { key: key.clone(), version: s.revision(*v) });
        let objects = s
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(_, o)| o.version > number)
            .map(|(k, o)| s.object(k, o))
            .collect();
        Ok(Changes { version: s.revision(s.version), objects, removed: removed.collect() })
    }
}

impl State {
    /// Returns the revision of a version in the current epoch.
    const fn revision(&self, number: u64) -> Revision {
        Revision::new(self.epoch, number)
    }

    fn object(&self, key: &str, o: &Stored) -> Object {
        Object { key: key.to_owned(), value: o.value.clone(), version: self.revision(o.version) }
    }

    /// Fails if an outage is injected.
    fn check_available(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.faults.outage {
            return Ok(());
        }
        let (peer, cause) = ("memory".to_owned(), "outage".to_owned());
        Err(PlatformError::Unavailable { peer, step, cause })
    }
}

fn answer_lost() -> PlatformError {
    let (peer, cause) = ("memory".to_owned(), "answer lost".to_owned());
    PlatformError::Unknown { peer, step: "write", cause }
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let mut s = self.state.lock();
        s.reads += 1;
        s.check_available("read")?;
        Ok(s.objects.get(key).map(|o| s.object(key, o)))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        let mut s = self.state.lock();
        s.writes += 1;
        s.check_available("write")?;
        if s.faults.dropped > 0 {
            s.faults.dropped -= 1;
            return Err(answer_lost());
        }
        let current = s.objects.get(key).map_or(0, |o| o.version);
        let holds = match expect {
            Expect::Absent => current == 0,
            Expect::Version(v) if v.epoch != s.epoch => return Err(outdated(key)),
            Expect::Version(v) => current == v.number,
        };
        if !holds {
            let current = if current > 0 { s.revision(current) } else { Revision::ZERO };
            return Err(PlatformError::Conflict { key: key.to_owned(), current });
        }
        s.version += 1;
        let version = s.version;
        s.objects.insert(key.to_owned(), Stored { value, version });
        self.changed.notify_waiters();
        if s.faults.lost > 0 {
            s.faults.lost -= 1;
            return Err(answer_lost());
        }
        Ok(s.revision(version))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.state.lock().reads += 1;
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            let changes = self.changes(prefix, after)?;
            if !changes.objects.is_empty() || !changes.removed.is_empty() {
                return Ok(changes);
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                return self.changes(prefix, after);
            }
        }
    }

    async fn list(&self, prefix: &str, freshness: Freshness) -> Result<Changes, PlatformError> {
        self.state.lock().reads += 1;
        let mut all = self.changes(prefix, Revision::ZERO)?;
        all.removed.clear();
        let stale_at = self.state.lock().faults.stale_at;
        if freshness == Freshness::Stale && stale_at > 0 {
            all.objects.retain(|o| o.version.number <= stale_at);
            all.version.number = stale_at;
        }
        Ok(all)
    }

    fn epoch(&self) -> u64 {
        self.state.lock().epoch
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        let mut s = self.state.lock();
        s.reads += 1;
        s.check_available("list")?;
        Ok(s.members.clone())
    }
}
