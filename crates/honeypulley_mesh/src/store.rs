//! Reads the platform's store, if this box is one of its readers.

use crate::readers::{LOOK_GAP, WATCH_WAIT};
use crate::state::Mesh;
use bytes::Bytes;
use eyre::Result;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_platform::api::{Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_policy::collector::NameId;
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// First wait after a call that failed; doubles with each failure.
const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Longest such wait.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time after a start in which no box begins to read, so that beacons get round.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Reads the platform's store.
#[derive(Debug)]
pub struct StoreDuty {
    /// State of the box.
    pub mesh: Arc<Mesh>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
}

/// This box as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BoxRecord {
    peer: SocketAddr,
    hall: String,
}

impl Duty for StoreDuty {
    fn name(&self) -> &'static str {
        "store"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        block_on(async {
            tokio::select! {
                () = self.join() => {}
                () = self.look_on() => {}
                () = self.watch_tables() => {}
                () = self.watch_upstreams() => {}
                () = self.expire_on() => {}
                () = self.reread_on() => {}
                () = stop.halt.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl StoreDuty {
    /// Takes table and list, and makes this box known, each until it is done.
    async fn join(&self) {
        tokio::join!(self.first_table(), self.first_list(), self.register());
        std::future::pending::<()>().await;
    }

    async fn first_table(&self) {
        let mut wait = FIRST_WAIT;
        while self.mesh.table_number() == 0 {
            let read = self.read_table().await;
            // The operator may not have written one yet.
            if read.is_err() || self.mesh.table_number() == 0 {
                pause(&mut wait).await;
            }
        }
    }

    async fn first_list(&self) {
        let mut wait = FIRST_WAIT;
        while !self.mesh.knows_list() {
            if self.read_list().await.is_err() {
                pause(&mut wait).await;
            }
        }
    }

    /// Reads the routing table; returns the version from which to watch.
    async fn read_table(&self) -> Result<u64, PlatformError> {
        let keys = self.mesh.decoder.keys();
        // A list, since it tells the platform's version beside the table's own.
        let all = self.platform.list(&keys.tables, Freshness::Latest).await;
        let all = self.noted("table", all)?;
        if let Some(o) = all.objects.iter().find(|o| o.key == keys.table) {
            self.mesh.take_table(o, "platform");
        }
        Ok(all.version)
    }

    /// Reads the whole list of upstreams; returns the version from which to watch.
    async fn read_list(&self) -> Result<u64, PlatformError> {
        let prefix = &self.mesh.decoder.keys().upstreams;
        let all = self.platform.list(prefix, Freshness::Latest).await;
        let all = self.noted("list", all)?;
        self.mesh.take_list(&all, "platform");
        self.mesh.confirm_list();
        Ok(all.version)
    }

    /// Writes this box's address if it is not there, and reads the others'.
    async fn register(&self) {
        let mut wait = FIRST_WAIT;
        while let Err(e) = self.try_register().await {
            log::info!("join: {e}");
            pause(&mut wait).await;
        }
        self.mesh.greeting.notify_one();
    }

    async fn try_register(&self) -> Result<(), PlatformError> {
        let settings = &self.mesh.settings;
        let prefix = &self.mesh.decoder.keys().boxes;
        let key = format!("{prefix}{}", settings.name);
        let record = BoxRecord { peer: settings.peer, hall: settings.hall.clone() };
        let value = Bytes::from(serde_json::to_vec(&record).expect("a record is plain data"));
        match self.platform.put(&key, value.clone(), Expect::Absent).await {
            // It stands from an earlier life, or the write may have been done; the
            // list below tells.
            Ok(_) | Err(PlatformError::Conflict { .. } | PlatformError::Unknown { .. }) => {}
            Err(e) => return Err(e),
        }
        let all = self.platform.list(prefix, Freshness::Latest).await?;
        match all.objects.iter().find(|o| o.key == key) {
            None => {
                let (peer, step) = ("store".to_owned(), "register");
                let cause = "the write was lost".to_owned();
                return Err(PlatformError::Unavailable { peer, step, cause });
            }
            Some(o) if !is_same(&o.value, &record) => {
                self.platform.put(&key, value, Expect::Version(o.version)).await?;
            }
            Some(_) => {}
        }
        for o in &all.objects {
            let name = o.key.strip_prefix(prefix.as_str()).unwrap_or(&o.key);
            match serde_json::from_slice::<BoxRecord>(&o.value) {
                Ok(r) => {
                    let b = BoxAddress { id: NameId::of(name), addr: r.peer, hall: r.hall };
                    self.mesh.learn(b);
                }
                Err(e) => log::warn!(key = o.key.as_str(); "join: {name} left out, {e}"),
            }
        }
        log::info!(boxes = self.mesh.book().count(); "join: this box is known to the platform");
        Ok(())
    }

    /// Decides again and again whether this box reads.
    async fn look_on(&self) {
        tokio::time::sleep(SETTLE_TIME).await;
        let mut was_in_touch = true;
        loop {
            let in_touch = self.mesh.readers().in_touch(self.mesh.now());
            if in_touch != was_in_touch {
                was_in_touch = in_touch;
                let word = if in_touch { "is known again" } else { "is not known any more" };
                log::warn!(in_touch; "readers: what the platform holds {word} to this box");
            }
            let (changed, reading) = {
                let boxes = self.mesh.book().count();
                let mut readers = self.mesh.readers();
                let changed = readers.decide(boxes, fastrand::f64(), self.mesh.now());
                (changed, readers.is_reading())
            };
            if changed {
                let word = if reading { "begins" } else { "stops" };
                log::info!(reading; "readers: this box {word} reading the platform");
                self.mesh.reading.notify_waiters();
                self.mesh.telling.notify_one();
            }
            let gap = self.mesh.readers().look_gap(self.mesh.now());
            let gap = fastrand::u64(gap.0..gap.1);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    }

    async fn until_reading(&self) {
        loop {
            let woken = self.mesh.reading.notified();
            if self.mesh.readers().is_reading() {
                return;
            }
            woken.await;
        }
    }

    async fn watch_tables(&self) {
        let mut wait = FIRST_WAIT;
        // The version of the last answer, which may be far beyond the table's own.
        let mut seen = 0;
        loop {
            self.until_reading().await;
            let since = self.mesh.table_object().max(seen);
            let keys = self.mesh.decoder.keys();
            if since == 0 {
                pause(&mut wait).await;
                continue;
            }
            let got = self.platform.watch(&keys.tables, since, WATCH_WAIT).await;
            match self.noted("watch of tables", got) {
                Ok(c) => {
                    wait = FIRST_WAIT;
                    seen = seen.max(c.version);
                    let newest = c.objects.iter().filter(|o| o.key == keys.table);
                    if let Some(o) = newest.max_by_key(|o| o.version) {
                        self.mesh.take_table(o, "platform");
                    }
                }
                Err(PlatformError::Compacted { .. }) => match self.read_table().await {
                    Ok(version) => seen = seen.max(version),
                    Err(_) => pause(&mut wait).await,
                },
                Err(_) => pause(&mut wait).await,
            }
        }
    }

    async fn watch_upstreams(&self) {
        let mut wait = FIRST_WAIT;
        // The version of the last answer; none while the changes since are unknown.
        let mut seen: Option<u64> = None;
        loop {
            if !self.mesh.readers().is_reading() {
                seen = None;
            }
            self.until_reading().await;
            let Some(since) = seen else {
                match self.read_list().await {
                    Ok(version) => seen = Some(version),
                    Err(_) => pause(&mut wait).await,
                }
                continue;
            };
            let prefix = &self.mesh.decoder.keys().upstreams;
            let got = self.platform.watch(prefix, since, WATCH_WAIT).await;
            match self.noted("watch of upstreams", got) {
                Ok(c) => {
                    wait = FIRST_WAIT;
                    seen = Some(c.version);
                    self.mesh.take_changes(&c, "platform");
                    self.mesh.confirm_list();
                }
                Err(PlatformError::Compacted { .. }) => seen = None,
                Err(_) => pause(&mut wait).await,
            }
        }
    }

    /// Reads the list when no peer could tell this box what it misses.
    async fn reread_on(&self) {
        loop {
            self.mesh.rereading.notified().await;
            log::warn!("list: read from the platform, no peer has told what this box misses");
            // A failure is noted and logged; the next one is asked for by then.
            let _ = self.read_list().await;
            self.mesh.asking.notify_one();
        }
    }

    async fn expire_on(&self) {
        loop {
            self.mesh.expire_list();
            tokio::time::sleep(Duration::from_millis(LOOK_GAP.1)).await;
        }
    }

    /// Notes for the choice of readers whether the platform answered.
    fn noted<T>(&self, what: &str, r: Result<T, PlatformError>) -> Result<T, PlatformError> {
        match &r {
            Ok(_) | Err(PlatformError::Compacted { .. }) => {
                if self.mesh.readers().answered(self.mesh.now()) {
                    log::info!("readers: the platform answers this box again");
                }
            }
            Err(e) => {
                log::info!("store: {what} failed: {e}");
                let lost = matches!(e, PlatformError::Unknown { .. });
                if self.mesh.readers().failed(lost) {
                    log::warn!("readers: the platform does not answer this box any more");
                    self.mesh.telling.notify_one();
                }
            }
        }
        r
    }
}

/// Tells whether the store's record of this box is as it should be.
fn is_same(stands: &[u8], record: &BoxRecord) -> bool {
    serde_json::from_slice::<BoxRecord>(stands).is_ok_and(|r| r == *record)
}

/// Reads the routing table for a box that has heard of a newer one.
///
/// # Errors
/// Any error of the platform.
pub async fn fetch_table(mesh: &Mesh, p: &dyn Platform) -> Result<Option<Object>, PlatformError> {
    p.get(&mesh.decoder.keys().table).await
}

async fn pause(wait: &mut Duration) {
    tokio::time::sleep(wait.mul_f64(0.5 + fastrand::f64())).await;
    *wait = (*wait * 2).min(MAX_WAIT);
}
