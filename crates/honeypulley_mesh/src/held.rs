//! Persistence of held requests in the platform's store.
//!
//! The boxes keep holds in memory only, so a power loss of the whole fleet would lose them while
//! callers keep repeating the requests. The reader of rank zero therefore writes all holds
//! as one object whenever they change, which is a few times for each request that crashes
//! upstreams. Each box that becomes a reader reads the object once and broadcasts its holds.

use crate::store::{MIN_BACKOFF, StoreDuty, back_off};
use bytes::Bytes;
use honeypulley_platform::api::{Expect, PlatformError};
use honeypulley_policy::quarantine::{Fingerprint, Hold, RequestUpdate, Scope};
use honeypulley_policy::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between comparisons of the stored holds with those in memory.
///
/// A power loss within this time after a hold loses the hold; the request may then crash up to
/// three more upstreams.
const SYNC_INTERVAL: Duration = Duration::from_millis(300);

/// Stored form of all holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HeldRecord {
    held: Vec<HeldRequest>,
}

/// Stored form of one hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldRequest {
    request: u64,
    /// Whether the fingerprint covers only the content, not the caller.
    content: bool,
    /// Expiry as Unix time in milliseconds.
    ///
    /// The system clock is the only one that survives a restart and is shared between boxes. Its
    /// error of up to seconds is small against a hold of minutes.
    until_ms: u64,
    trials: u8,
}

/// The stored object as this box last read or wrote it.
#[derive(Debug)]
struct StoredHolds {
    /// Epoch of the platform in which the object was read.
    epoch: u64,
    /// Revision of the object; `None` if it does not exist.
    version: Option<Revision>,
    /// Fingerprint and number of trials of each stored hold.
    held: BTreeSet<(u64, u8)>,
}

impl StoreDuty {
    /// Reads the stored holds when this box becomes a reader, then writes changes.
    pub(crate) async fn sync_held(&self) {
        let mut stored: Option<StoredHolds> = None;
        let mut wait = MIN_BACKOFF;
        loop {
            if !self.mesh.readers().is_reading() {
                stored = None;
            }
            self.wait_until_reader().await;
            let result = match stored.take().filter(|s| s.epoch == self.mesh.epoch()) {
                None => self.read_held().await,
                Some(s) => self.write_held(s).await,
            };
            match result {
                Ok(s) => {
                    stored = Some(s);
                    wait = MIN_BACKOFF;
                    tokio::time::sleep(SYNC_INTERVAL).await;
                }
                // Read again: the write may have succeeded, or another box may have written.
                Err(e) => {
                    log::info!("quarantine: failed to read or write the stored holds: {e}");
                    back_off(&mut wait).await;
                }
            }
        }
    }

    /// Reads the stored holds and applies them.
    async fn read_held(&self) -> Result<StoredHolds, PlatformError> {
        let key = &self.mesh.decoder.keys().held_key;
        let Some(object) = self.platform.get(key).await? else {
            let epoch = self.mesh.epoch();
            return Ok(StoredHolds { epoch, version: None, held: BTreeSet::new() });
        };
        let record: HeldRecord = serde_json::from_slice(&object.value).unwrap_or_else(|e| {
            log::warn!(version:display = object.version; "quarantine: ignored the stored holds, which are malformed: {e}");
            HeldRecord::default()
        });
        let unix_now = unix_time();
        self.mesh.apply_request_updates(
            record.held.iter().map(|h| h.request_update(unix_now)).collect(),
        );
        let held = record.held.iter().map(|h| (h.request, h.trials)).collect();
        let epoch = object.version.epoch;
        Ok(StoredHolds { epoch, version: Some(object.version), held })
    }

    /// Writes the holds if they have changed and this reader's rank is zero.
    async fn write_held(&self, stored: StoredHolds) -> Result<StoredHolds, PlatformError> {
        let now = self.mesh.now();
        let holds = self.mesh.quarantined_requests();
        let held: BTreeSet<(u64, u8)> = holds.iter().map(|h| (h.request.0, h.trials)).collect();
        if held == stored.held || self.mesh.readers().rank(now) > 0 {
            return Ok(stored);
        }
        let unix_now = unix_time();
        let record =
            HeldRecord { held: holds.iter().map(|h| HeldRequest::of(h, unix_now)).collect() };
        let value = Bytes::from(
            serde_json::to_vec(&record).expect("a record of plain data is serializable"),
        );
        let expect = stored.version.map_or(Expect::Absent, Expect::Version);
        let key = &self.mesh.decoder.keys().held_key;
        let version = self.platform.put(key, value, expect).await?;
        log::info!(version:display = version, held = held.len(); "quarantine: stored {} holds", held.len());
        Ok(StoredHolds { version: Some(version), held, ..stored })
    }
}

impl HeldRequest {
    /// Converts a hold to its stored form.
    fn of(h: &Hold, unix_now: Duration) -> Self {
        Self {
            request: h.request.0,
            content: h.scope == Scope::Content,
            until_ms: (unix_now + h.remaining).as_millis() as u64,
            trials: h.trials,
        }
    }

    /// Converts a stored hold to an update for the quarantine.
    fn request_update(&self, unix_now: Duration) -> RequestUpdate {
        RequestUpdate::Held {
            request: Fingerprint(self.request),
            scope: if self.content { Scope::Content } else { Scope::Caller },
            remaining: Duration::from_millis(self.until_ms).saturating_sub(unix_now),
            trials: self.trials,
        }
    }
}

/// Returns the Unix time, or zero if the system clock is set before 1970.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
