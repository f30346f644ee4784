//! An object store in memory with switches for failure.
//!
//! It is the fake behind tests and the store behind the stand-in platform.

use crate::api::{Changes, Expect, Freshness, Object, Platform, PlatformError, Removed};
use crate::epoch::{outdated, same_epoch};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::Notify;

/// Failures that can be switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call is refused.
    pub outage: bool,
    /// The next so many writes take effect and lose their answer.
    pub lost: u32,
    /// The next so many writes are dropped and lose their answer.
    pub dropped: u32,
    /// Lists that may be stale show the objects as of this version, if not zero.
    pub stale_at: u64,
}

/// A copy of the objects, to which the store can be restored.
#[derive(Clone, Debug)]
pub struct Backup {
    objects: BTreeMap<String, Stored>,
    removed: Vec<(String, u64)>,
    version: u64,
}

/// An object without its epoch, which is the store's.
#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Stored>,
    removed: Vec<(String, u64)>,
    /// Version up to which the history of removals is gone.
    forgotten: u64,
    version: u64,
    /// How often the store was restored from a backup.
    epoch: u64,
    members: Bytes,
    faults: Faults,
    reads: u64,
    writes: u64,
}

/// Object store in memory.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryPlatform {
    /// Switches failures on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the failures in force.
    pub fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Replaces the list of boxes and upstreams.
    pub fn set_members(&self, json: Bytes) {
        self.state.lock().members = json;
    }

    /// Removes an object, as its owner or the platform would.
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

    /// Drops the history up to now; watches from before it are refused.
    pub fn compact(&self) {
        let mut s = self.state.lock();
        s.forgotten = s.version;
        s.removed.clear();
        drop(s);
        self.changed.notify_waiters();
    }

    /// Copies the objects as they are.
    #[must_use]
    pub fn backup(&self) -> Backup {
        let s = self.state.lock();
        Backup { objects: s.objects.clone(), removed: s.removed.clone(), version: s.version }
    }

    /// Restores the objects from a backup and begins the next epoch.
    ///
    /// Versions that were given out since are given out again.
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

    /// Returns how many reads and writes were asked for.
    pub fn calls(&self) -> (u64, u64) {
        let s = self.state.lock();
        (s.reads, s.writes)
    }

    fn changes(&self, prefix: &str, after: Revision) -> Result<Changes, PlatformError> {
        let s = self.state.lock();
        s.check("watch")?;
        let number = after.number;
        if number > 0 {
            same_epoch("memory", "watch", after.epoch, s.epoch)?;
        }
        if number > s.version || (number > 0 && number < s.forgotten) {
            return Err(PlatformError::Compacted { peer: "memory".to_owned(), after });
        }
        let gone = |(key, version): &&(String, u64)| key.starts_with(prefix) && *version > number;
        let removed = s.removed.iter().filter(gone);
        let removed = removed.map(|(key, v)| Removed { key: key.clone(), version: s.at(*v) });
        let objects = s
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .filter(|(_, o)| o.version > number)
            .map(|(k, o)| s.object(k, o))
            .collect();
        Ok(Changes { version: s.at(s.version), objects, removed: removed.collect() })
    }
}

impl State {
    /// Returns a position in the present epoch.
    const fn at(&self, number: u64) -> Revision {
        Revision::new(self.epoch, number)
    }

    fn object(&self, key: &str, o: &Stored) -> Object {
        Object { key: key.to_owned(), value: o.value.clone(), version: self.at(o.version) }
    }

    fn check(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.faults.outage {
            return Ok(());
        }
        let (peer, cause) = ("memory".to_owned(), "outage".to_owned());
        Err(PlatformError::Unavailable { peer, step, cause })
    }
}

fn lost() -> PlatformError {
    let (peer, cause) = ("memory".to_owned(), "answer lost".to_owned());
    PlatformError::Unknown { peer, step: "write", cause }
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let mut s = self.state.lock();
        s.reads += 1;
        s.check("read")?;
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
        s.check("write")?;
        if s.faults.dropped > 0 {
            s.faults.dropped -= 1;
            return Err(lost());
        }
        let current = s.objects.get(key).map_or(0, |o| o.version);
        let holds = match expect {
            Expect::Absent => current == 0,
            Expect::Version(v) if v.epoch != s.epoch => return Err(outdated(key)),
            Expect::Version(v) => current == v.number,
        };
        if !holds {
            let current = if current > 0 { s.at(current) } else { Revision::ZERO };
            return Err(PlatformError::Conflict { key: key.to_owned(), current });
        }
        s.version += 1;
        let version = s.version;
        s.objects.insert(key.to_owned(), Stored { value, version });
        self.changed.notify_waiters();
        if s.faults.lost > 0 {
            s.faults.lost -= 1;
            return Err(lost());
        }
        Ok(s.at(version))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.state.lock().reads += 1;
        let until = tokio::time::Instant::now() + wait;
        loop {
            let woken = self.changed.notified();
            let changes = self.changes(prefix, after)?;
            if !changes.objects.is_empty() || !changes.removed.is_empty() {
                return Ok(changes);
            }
            if tokio::time::timeout_at(until, woken).await.is_err() {
                return self.changes(prefix, after);
            }
        }
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        self.state.lock().reads += 1;
        let mut all = self.changes(prefix, Revision::ZERO)?;
        all.removed.clear();
        let stale_at = self.state.lock().faults.stale_at;
        if f == Freshness::Stale && stale_at > 0 {
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
        s.check("list")?;
        Ok(s.members.clone())
    }
}
