//! Startup of a box: reads the table, the list and the other boxes from the platform.
//!
//! Stale reads are sufficient, also when the whole fleet starts at once: they cost a tenth of a
//! call and don't count against the platform's rate limit. The readers push all later changes.

use crate::cold_load::ReadSchedule;
use crate::state::Mesh;
use crate::store::{MIN_BACKOFF, StoreDuty, back_off};
use bytes::Bytes;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_platform::api::{Changes, Expect, Freshness, PlatformError};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Retry interval for a missing routing table while no reader is reachable.
const TABLE_RETRY: Duration = Duration::from_secs(2);
/// Bounds of the delay before the second read of the boxes at a first start, in milliseconds.
///
/// The first stale read does not show the boxes that registered in the last seconds.
const SECOND_READ_DELAY_MS: (u64, u64) = (3_000, 5_000);

/// Bounds of the delay before a box reads the addresses that no peer has supplied, in milliseconds.
const BOOK_DELAY_MS: (u64, u64) = (500, 4_500);
/// Time after a start from which requests are no longer held until the list arrives.
const MAX_PENDING: Duration = Duration::from_secs(1);
/// Minimum interval between checks whether this box is to read the list.
const MIN_DRAW_WAIT: Duration = Duration::from_millis(50);
/// Maximum interval between checks whether this box is to read the list.
const MAX_DRAW_WAIT: Duration = Duration::from_millis(400);

/// Age up to which a restore may have lost a record; backups are some seconds old.
const MAX_BACKUP_AGE: Duration = Duration::from_secs(60);
/// Rate at which all boxes together rewrite records after a restore, in records per second.
const RECORDS_PER_S: f64 = 100.0;

/// Stored form of a box's address and data hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BoxRecord {
    peer: SocketAddr,
    hall: String,
    /// Port for relayed requests; records of earlier versions have none.
    #[serde(default)]
    relay: Option<u16>,
    /// Whether the link is fast; records of earlier versions lack it.
    #[serde(default)]
    fast_link: bool,
}

impl StoreDuty {
    /// Reads table and list and registers this box, retrying each until it succeeds.
    pub(crate) async fn join(&self) {
        tokio::join!(
            self.load_table(),
            self.load_list(),
            self.load_evacuations(),
            self.register(),
            self.load_book(),
        );
        std::future::pending::<()>().await;
    }

    /// Reads the routing table until this box has one.
    async fn load_table(&self) {
        let (mut wait, mut fresh) = (MIN_BACKOFF, Freshness::Stale);
        while self.mesh.table_version() == 0 {
            match self.read_table(fresh).await {
                Ok(_) if self.mesh.table_version() > 0 => {}
                // The operator may not have written a table yet, or the stale read predates it.
                Ok(_) => {
                    self.mesh.startup.mark_unavailable();
                    self.wait_for_table().await;
                }
                Err(e) => {
                    fresh = next_freshness(fresh, &e);
                    self.mesh.startup.mark_unavailable();
                    back_off(&mut wait).await;
                }
            }
        }
    }

    /// Waits for a table from a peer, or until the platform has to be read again.
    async fn wait_for_table(&self) {
        loop {
            let _ = tokio::time::timeout(TABLE_RETRY, self.mesh.wait_for_table(1)).await;
            let has_readers = !self.mesh.readers().live(self.mesh.now()).is_empty();
            if self.mesh.table_version() > 0 || !has_readers {
                return;
            }
        }
    }

    /// Reads the list of upstreams if this box is drawn to, unless a peer supplies it first.
    async fn load_list(&self) {
        let (mut schedule, mut fresh) = (ReadSchedule::default(), Freshness::Stale);
        while !self.mesh.has_list() {
            let fleet = self.mesh.fleet_view();
            if schedule.poll(fleet, fastrand::f64(), self.mesh.now()) {
                self.mesh.startup.record_read();
                if let Err(e) = self.read_list(fresh).await {
                    fresh = next_freshness(fresh, &e);
                    schedule.record_failure(fastrand::f64(), self.mesh.now());
                    self.mesh.startup.record_failed_read();
                    self.mesh.startup.mark_unavailable();
                }
            }
            let now = self.mesh.now();
            if now.since(Time::ZERO) > MAX_PENDING {
                self.mesh.startup.mark_unavailable();
            }
            let wait = schedule.wait(now).clamp(MIN_DRAW_WAIT, MAX_DRAW_WAIT);
            let _ = tokio::time::timeout(wait, self.mesh.fleet_wakeup.notified()).await;
        }
    }

    /// Reads the addresses of the other boxes, unless peers supply them in time.
    ///
    /// The record of each box is some 250 bytes, so that the reads of all boxes at once would grow
    /// with the square of the fleet's size. The seeds read them at once.
    async fn load_book(&self) {
        let mut wait = MIN_BACKOFF;
        while !self.reads_book_first() && !self.mesh.is_fleet_known() {
            let delay = fastrand::u64(BOOK_DELAY_MS.0..BOOK_DELAY_MS.1);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            let has_holder =
                |at: Time| self.mesh.now().since(at) < Duration::from_millis(BOOK_DELAY_MS.1);
            if self.mesh.is_fleet_known() || self.mesh.book_holder().is_some_and(has_holder) {
                continue;
            }
            if let Err(e) = self.read_records().await {
                log::info!("join: {e}");
                back_off(&mut wait).await;
            }
        }
    }

    /// Returns whether this box reads the addresses of the other boxes when it registers.
    fn reads_book_first(&self) -> bool {
        self.mesh.settings.is_seed || self.mesh.settings.first_start
    }

    /// Reads the platform's records of all boxes, or those that a list which ends early contains.
    async fn read_records(&self) -> Result<Changes, PlatformError> {
        let prefix = &self.mesh.decoder.keys().box_prefix;
        let all = match self.platform.list(prefix, Freshness::Stale).await {
            Err(e @ PlatformError::Incomplete { .. }) => {
                log::warn!("join: {e}");
                e.into_read()
            }
            all => all?,
        };
        self.mesh.add_records(&all);
        self.mesh.record_fleet_known();
        Ok(all)
    }

    /// Registers this box's address.
    async fn register(&self) {
        let mut wait = MIN_BACKOFF;
        let epoch = loop {
            match self.try_register().await {
                Ok(epoch) => break epoch,
                Err(e) => log::info!("join: {e}"),
            }
            back_off(&mut wait).await;
        };
        let registered = self.mesh.now();
        self.mesh.hello_wakeup.notify_one();
        tokio::join!(self.read_boxes_again(), self.preserve_record(epoch, registered));
    }

    /// Reads the boxes a second time at a first start, when many have just registered.
    async fn read_boxes_again(&self) {
        if self.mesh.settings.first_start {
            let delay = fastrand::u64(SECOND_READ_DELAY_MS.0..SECOND_READ_DELAY_MS.1);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            if let Err(e) = self.read_records().await {
                log::info!("join: {e}");
            }
        }
    }

    /// Rewrites this box's record after each restore that may have lost it.
    async fn preserve_record(&self, mut epoch: u64, registered: Time) {
        loop {
            epoch = self.mesh.epoch_after(epoch).await;
            if self.mesh.now().since(registered) > MAX_BACKUP_AGE {
                return;
            }
            let max_delay = self.mesh.address_book().count() as f64 / RECORDS_PER_S;
            tokio::time::sleep(Duration::from_secs_f64(max_delay * fastrand::f64())).await;
            let (key, record) = self.own_record();
            let mut wait = MIN_BACKOFF;
            while let Err(e) = self.write_record(&key, &record).await {
                log::info!("join: {e}");
                back_off(&mut wait).await;
            }
            log::info!(epoch; "join: this box is known to the restored platform");
        }
    }

    /// Returns the key and value of this box's record.
    fn own_record(&self) -> (String, BoxRecord) {
        let settings = &self.mesh.settings;
        let key = format!("{}{}", self.mesh.decoder.keys().box_prefix, settings.name);
        let (peer, hall, relay) = (settings.peer, settings.hall.clone(), settings.relay_port);
        let fast_link = settings.has_fast_link();
        (key, BoxRecord { peer, hall, relay, fast_link })
    }

    /// Registers this box with the platform and returns the epoch of its record.
    async fn try_register(&self) -> Result<u64, PlatformError> {
        let (key, record) = self.own_record();
        let stored = if self.reads_book_first() {
            let all = self.read_records().await?;
            let stored = all.objects.iter().find(|o| o.key == key);
            stored.filter(|o| record.matches(&o.value)).map(|_| all.version.epoch)
        } else {
            let stored = self.platform.get_stale(&key).await?;
            stored.filter(|o| record.matches(&o.value)).map(|o| o.version.epoch)
        };
        let epoch = match stored {
            Some(epoch) => epoch,
            None => {
                self.mesh.unannounced.store(true, Ordering::Relaxed);
                self.write_record(&key, &record).await?
            }
        };
        let boxes = self.mesh.address_book().count();
        log::info!(boxes; "join: this box is known to the platform");
        Ok(epoch)
    }

    /// Writes this box's record unless it exists, and returns its epoch.
    async fn write_record(&self, key: &str, record: &BoxRecord) -> Result<u64, PlatformError> {
        let value = Bytes::from(
            serde_json::to_vec(record).expect("a record of plain data is serializable"),
        );
        let error = match self.platform.put(key, value.clone(), Expect::Absent).await {
            Ok(version) => return Ok(version.epoch),
            Err(e) => e,
        };
        // The record may exist from an earlier run, or the failed write may have succeeded.
        match self.platform.get(key).await? {
            Some(o) if record.matches(&o.value) => Ok(o.version.epoch),
            Some(o) => {
                let put = self.platform.put(key, value, Expect::Version(o.version)).await;
                put.map(|version| version.epoch)
            }
            None => Err(error),
        }
    }
}

/// Returns the freshness required of the next read, since stale reads may predate a restore.
pub(crate) const fn next_freshness(fresh: Freshness, e: &PlatformError) -> Freshness {
    if e.has_lost_place() { Freshness::Latest } else { fresh }
}

impl BoxRecord {
    /// Returns whether a stored value decodes to this record.
    fn matches(&self, stored: &[u8]) -> bool {
        serde_json::from_slice::<Self>(stored).is_ok_and(|r| r == *self)
    }
}

impl Mesh {
    /// Adds the stored addresses of boxes to the address book.
    fn add_records(&self, all: &Changes) {
        let prefix = &self.decoder.keys().box_prefix;
        for o in &all.objects {
            let name = o.key.strip_prefix(prefix.as_str()).unwrap_or(&o.key);
            match serde_json::from_slice::<BoxRecord>(&o.value) {
                Ok(r) => {
                    self.add_address(BoxAddress {
                        id: NameId::of(name),
                        addr: r.peer,
                        hall: r.hall,
                        relay_port: r.relay,
                        fast_link: r.fast_link,
                    });
                }
                Err(e) => log::warn!(key = o.key.as_str(); "join: skipped {name}: {e}"),
            }
        }
    }
}
