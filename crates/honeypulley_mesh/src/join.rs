//! How a box that starts gets table, list and the other boxes from the platform.
//!
//! Answers that may be seconds old will do: they cost a tenth of a call and are outside
//! the platform's rate, also when the whole fleet starts at once, and what has changed
//! since is pushed by the readers.

use crate::state::Mesh;
use crate::store::{FIRST_WAIT, StoreDuty, pause};
use bytes::Bytes;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_platform::api::{Changes, Expect, Freshness, PlatformError};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Retry interval for a missing routing table while no list reader is reachable.
const ABSENT_WAIT: Duration = Duration::from_secs(2);
/// Bounds of the wait after which a first start looks once more for the other boxes, in
/// milliseconds: an old answer does not show those that came in the last seconds.
const AGAIN_WAIT: (u64, u64) = (3_000, 5_000);

/// Age up to which a record may have been lost with a restore: backups are some seconds old.
const RECORD_AT_RISK: Duration = Duration::from_secs(60);
/// Records that all boxes together write again after a restore, a second.
const RECORDS_A_SECOND: f64 = 100.0;

/// A box as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BoxRecord {
    peer: SocketAddr,
    hall: String,
}

impl StoreDuty {
    /// Fetches table and list and registers this box, each until it succeeds.
    pub(crate) async fn join(&self) {
        tokio::join!(self.first_table(), self.first_list(), self.meet_others());
        std::future::pending::<()>().await;
    }

    async fn first_table(&self) {
        let (mut wait, mut fresh) = (FIRST_WAIT, Freshness::Stale);
        while self.mesh.table_number() == 0 {
            match self.read_table(fresh).await {
                Ok(_) if self.mesh.table_number() > 0 => {}
                // The operator may not have written one yet, or the answer is older.
                Ok(_) => {
                    self.mesh.setup.give_up();
                    self.until_table().await;
                }
                Err(e) => {
                    fresh = after_failure(fresh, &e);
                    self.mesh.setup.give_up();
                    pause(&mut wait).await;
                }
            }
        }
    }

    /// Ends once a peer has announced a table, or when the platform is to be asked again.
    async fn until_table(&self) {
        loop {
            let _ = tokio::time::timeout(ABSENT_WAIT, self.mesh.table_reached(1)).await;
            let is_read = !self.mesh.readers().live(self.mesh.now()).is_empty();
            if self.mesh.table_number() > 0 || !is_read {
                return;
            }
        }
    }

    async fn first_list(&self) {
        let (mut wait, mut fresh) = (FIRST_WAIT, Freshness::Stale);
        while !self.mesh.knows_list() {
            if let Err(e) = self.read_list(fresh).await {
                fresh = after_failure(fresh, &e);
                self.mesh.setup.give_up();
                pause(&mut wait).await;
            }
        }
    }

    /// Writes this box's address if it is not there, and reads the others'.
    async fn meet_others(&self) {
        let mut wait = FIRST_WAIT;
        let epoch = loop {
            match self.try_register().await {
                Ok(epoch) => break epoch,
                Err(e) => log::info!("join: {e}"),
            }
            pause(&mut wait).await;
        };
        let registered = self.mesh.now();
        self.mesh.greeting.notify_one();
        tokio::join!(self.look_again(), self.keep_record(epoch, registered));
    }

    /// Reads the others' addresses once more at a first start, when many are new.
    async fn look_again(&self) {
        if self.mesh.settings.first_start {
            let again = fastrand::u64(AGAIN_WAIT.0..AGAIN_WAIT.1);
            tokio::time::sleep(Duration::from_millis(again)).await;
            let boxes = self.platform.list(&self.mesh.decoder.keys().boxes, Freshness::Stale).await;
            match boxes {
                Ok(all) => self.mesh.learn_records(&all),
                Err(e) => log::info!("join: {e}"),
            }
        }
    }

    /// Writes this box's record again after each restore that may have lost it.
    async fn keep_record(&self, mut epoch: u64, registered: Time) {
        loop {
            epoch = self.mesh.epoch_after(epoch).await;
            if self.mesh.now().since(registered) > RECORD_AT_RISK {
                return;
            }
            let spread = self.mesh.book().count() as f64 / RECORDS_A_SECOND;
            tokio::time::sleep(Duration::from_secs_f64(spread * fastrand::f64())).await;
            let (key, record) = self.own_record();
            let mut wait = FIRST_WAIT;
            while let Err(e) = self.write_record(&key, &record).await {
                log::info!("join: {e}");
                pause(&mut wait).await;
            }
            log::info!(epoch; "join: this box is known to the restored platform");
        }
    }

    /// Returns key and value of this box's record.
    fn own_record(&self) -> (String, BoxRecord) {
        let settings = &self.mesh.settings;
        let key = format!("{}{}", self.mesh.decoder.keys().boxes, settings.name);
        (key, BoxRecord { peer: settings.peer, hall: settings.hall.clone() })
    }

    /// Makes this box known to the platform; returns the epoch in which it is.
    async fn try_register(&self) -> Result<u64, PlatformError> {
        let prefix = &self.mesh.decoder.keys().boxes;
        let (key, record) = self.own_record();
        let all = self.platform.list(prefix, Freshness::Stale).await?;
        self.mesh.learn_records(&all);
        let stands = all.objects.iter().find(|o| o.key == key);
        let epoch = if stands.is_some_and(|o| record.is_same(&o.value)) {
            all.version.epoch
        } else {
            self.mesh.unknown.store(true, Ordering::Relaxed);
            self.write_record(&key, &record).await?
        };
        let boxes = self.mesh.book().count();
        log::info!(boxes; "join: this box is known to the platform");
        Ok(epoch)
    }

    /// Writes this box's record if it is not there; returns the epoch in which it is.
    async fn write_record(&self, key: &str, record: &BoxRecord) -> Result<u64, PlatformError> {
        let value = Bytes::from(serde_json::to_vec(record).expect("a record is plain data"));
        let written = match self.platform.put(key, value.clone(), Expect::Absent).await {
            Ok(version) => return Ok(version.epoch),
            Err(e) => e,
        };
        // It stands from an earlier life, or the write may have been done.
        match self.platform.get(key).await? {
            Some(o) if record.is_same(&o.value) => Ok(o.version.epoch),
            Some(o) => {
                let put = self.platform.put(key, value, Expect::Version(o.version)).await;
                put.map(|version| version.epoch)
            }
            None => Err(written),
        }
    }
}

/// Returns how fresh the next answer must be; old ones may be from before a restore.
const fn after_failure(fresh: Freshness, e: &PlatformError) -> Freshness {
    if e.has_lost_place() { Freshness::Latest } else { fresh }
}

impl BoxRecord {
    /// Returns whether what stands in the store is this record.
    fn is_same(&self, stands: &[u8]) -> bool {
        serde_json::from_slice::<Self>(stands).is_ok_and(|r| r == *self)
    }
}

impl Mesh {
    /// Applies the addresses of boxes as stored.
    fn learn_records(&self, all: &Changes) {
        let prefix = &self.decoder.keys().boxes;
        for o in &all.objects {
            let name = o.key.strip_prefix(prefix.as_str()).unwrap_or(&o.key);
            match serde_json::from_slice::<BoxRecord>(&o.value) {
                Ok(r) => {
                    self.learn(BoxAddress { id: NameId::of(name), addr: r.peer, hall: r.hall });
                }
                Err(e) => log::warn!(key = o.key.as_str(); "join: {name} left out, {e}"),
            }
        }
    }
}
