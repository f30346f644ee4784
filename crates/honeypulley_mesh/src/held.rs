//! Held requests in the platform's store, for a fleet that loses power as a whole.
//!
//! No box knows anything then, and the caller still comes. The reader that tells changes first
//! writes all holds as one object when they change, a few times for each request that ends
//! upstreams; each box that becomes a reader reads it once and broadcasts it.

use crate::store::{FIRST_WAIT, StoreDuty, pause};
use bytes::Bytes;
use honeypulley_platform::api::{Expect, PlatformError};
use honeypulley_policy::quarantine::{Fingerprint, Hold, RequestNews, Scope};
use honeypulley_policy::revision::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two looks at whether the stored holds are those that are known.
///
/// A loss of power within it after a hold forgets that hold: the request then ends up to three
/// more upstreams.
const STORE_GAP: Duration = Duration::from_millis(300);

/// All holds as they stand in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct HeldRecord {
    held: Vec<HeldRequest>,
}

/// One hold in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeldRequest {
    request: u64,
    /// Whether the fingerprint covers the content alone.
    content: bool,
    /// When it lapses, in milliseconds of the time of day: the only clock that boxes share
    /// with their next lives. It may be seconds off, of a hold of minutes.
    until_ms: u64,
    trials: u8,
}

/// What this box knows of the object in the store.
#[derive(Debug)]
struct Stored {
    /// Epoch of the platform in which it was read.
    epoch: u64,
    /// Its version, if it is there.
    version: Option<Revision>,
    held: BTreeSet<(u64, u8)>,
}

impl StoreDuty {
    /// Reads the holds when this box begins to read, and writes those that are new.
    pub(crate) async fn keep_held(&self) {
        let mut stored: Option<Stored> = None;
        let mut wait = FIRST_WAIT;
        loop {
            if !self.mesh.readers().is_reading() {
                stored = None;
            }
            self.until_reading().await;
            let done = match stored.take().filter(|s| s.epoch == self.mesh.epoch()) {
                None => self.read_held().await,
                Some(s) => self.write_held(s).await,
            };
            match done {
                Ok(s) => {
                    stored = Some(s);
                    wait = FIRST_WAIT;
                    tokio::time::sleep(STORE_GAP).await;
                }
                // It is read again: the write may have been done, or another box has written.
                Err(e) => {
                    log::info!("quarantine: the stored holds are not known: {e}");
                    pause(&mut wait).await;
                }
            }
        }
    }

    async fn read_held(&self) -> Result<Stored, PlatformError> {
        let key = &self.mesh.decoder.keys().held;
        let Some(object) = self.platform.get(key).await? else {
            let epoch = self.mesh.epoch();
            return Ok(Stored { epoch, version: None, held: BTreeSet::new() });
        };
        let record: HeldRecord = serde_json::from_slice(&object.value).unwrap_or_else(|e| {
            log::warn!(version:display = object.version; "quarantine: the stored holds are left out: {e}");
            HeldRecord::default()
        });
        let day = time_of_day();
        self.mesh.hear_requests(record.held.iter().map(|h| h.news(day)).collect());
        let held = record.held.iter().map(|h| (h.request, h.trials)).collect();
        let epoch = object.version.epoch;
        Ok(Stored { epoch, version: Some(object.version), held })
    }

    /// Writes the holds if they are not those that stand there, and this box is to do it.
    async fn write_held(&self, stored: Stored) -> Result<Stored, PlatformError> {
        let now = self.mesh.now();
        let holds = self.mesh.held_requests();
        let held: BTreeSet<(u64, u8)> = holds.iter().map(|h| (h.request.0, h.trials)).collect();
        if held == stored.held || self.mesh.readers().rank(now) > 0 {
            return Ok(stored);
        }
        let day = time_of_day();
        let record = HeldRecord { held: holds.iter().map(|h| HeldRequest::of(h, day)).collect() };
        let value = Bytes::from(serde_json::to_vec(&record).expect("a record is plain data"));
        let expect = stored.version.map_or(Expect::Absent, Expect::Version);
        let key = &self.mesh.decoder.keys().held;
        let version = self.platform.put(key, value, expect).await?;
        log::info!(version:display = version, held = held.len(); "quarantine: {} holds are stored", held.len());
        Ok(Stored { version: Some(version), held, ..stored })
    }
}

impl HeldRequest {
    fn of(h: &Hold, day: Duration) -> Self {
        Self {
            request: h.request.0,
            content: h.scope == Scope::Content,
            until_ms: (day + h.left).as_millis() as u64,
            trials: h.trials,
        }
    }

    fn news(&self, day: Duration) -> RequestNews {
        RequestNews::Held {
            request: Fingerprint(self.request),
            scope: if self.content { Scope::Content } else { Scope::Caller },
            left: Duration::from_millis(self.until_ms).saturating_sub(day),
            trials: self.trials,
        }
    }
}

/// Returns the time of day since 1970, zero if the clock stands before that.
fn time_of_day() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
