//! Data halls that the operator has evacuated: their upstreams get no new requests.
//!
//! The operator writes an object for each such data hall. The readers watch these objects and
//! broadcast the whole set with each beacon, at a revision of the platform. A box applies the set
//! of the highest revision, so lost or reordered datagrams only delay a change.

use crate::evacuations::hall_name;
use crate::join::next_freshness;
use crate::state::Mesh;
use crate::store::{MIN_BACKOFF, StoreDuty, WatchCursor, back_off};
use honeypulley_peer::codec::Body;
use honeypulley_platform::api::{Freshness, PlatformError};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeSet;
use std::time::Duration;

/// Timeout of a watch of the evacuations.
///
/// Longer than that of the list, since other watches detect an unresponsive platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Mesh {
    /// Applies the set of evacuated data halls as of a revision of the platform.
    pub fn apply_evacuations(&self, upto: Revision, halls: BTreeSet<String>, from: &str) {
        self.observe_epoch(upto.epoch, from);
        let mut known = self.evacuations.lock();
        let before = known.halls.clone();
        let is_changed = known.apply(upto, halls);
        let (now, pending) = (known.halls.clone(), known.pending);
        drop(known);
        for hall in now.difference(&before) {
            log::warn!(hall, upto:display, from; "evacuation: upstreams in {hall} get no new requests");
        }
        for hall in before.difference(&now) {
            log::warn!(hall, upto:display, from; "evacuation: upstreams in {hall} get requests again");
        }
        if pending {
            self.serve_wakeup.notify_one();
        }
        if is_changed {
            self.broadcast_wakeup.notify_one();
        }
    }

    /// Returns whether this box knows which data halls are evacuated, if that is supported.
    #[must_use]
    pub fn knows_evacuations(&self) -> bool {
        let is_supported = self.decoder.keys().evacuation_prefix.is_some();
        !is_supported || self.evacuations.lock().upto.is_some()
    }

    /// Returns the names of the evacuated data halls.
    #[must_use]
    pub fn evacuated_halls(&self) -> Vec<String> {
        self.evacuations.lock().halls.iter().cloned().collect()
    }

    /// Returns the evacuated data halls if the serving thread has yet to apply them.
    #[must_use]
    pub fn take_evacuations(&self) -> Option<BTreeSet<NameId>> {
        let mut known = self.evacuations.lock();
        let is_pending = std::mem::take(&mut known.pending);
        is_pending.then(|| known.halls.iter().map(|h| NameId::of(h)).collect())
    }

    /// Returns the datagram body with the evacuated data halls, if they are known.
    pub(crate) fn evacuation_body(&self) -> Option<Body> {
        let known = self.evacuations.lock();
        Some(Body::evacuations(known.upto?, &known.halls))
    }
}

impl StoreDuty {
    /// Reads the evacuated data halls at startup, until they are known.
    pub(crate) async fn load_evacuations(&self) {
        let (mut wait, mut fresh) = (MIN_BACKOFF, Freshness::Stale);
        while !self.mesh.knows_evacuations() {
            if let Err(e) = self.read_evacuations(fresh).await {
                fresh = next_freshness(fresh, &e);
                self.mesh.startup.mark_unavailable();
                back_off(&mut wait).await;
            }
        }
    }

    /// Reads all evacuated data halls and returns the revision from which to watch.
    async fn read_evacuations(&self, f: Freshness) -> Result<Revision, PlatformError> {
        let Some(prefix) = &self.mesh.decoder.keys().evacuation_prefix else {
            return Ok(Revision::ZERO);
        };
        let all = self.platform.list(prefix, f).await.inspect_err(|e| {
            log::info!("evacuation: not read from the platform: {e}");
        });
        if let Err(PlatformError::Incomplete { read, .. }) = &all {
            let halls = self.mesh.evacuations.lock().with_changes(prefix, read);
            self.mesh.apply_evacuations(read.version, halls, "platform");
        }
        let all = all?;
        let halls = all.objects.iter().map(|o| hall_name(prefix, &o.key).to_owned()).collect();
        self.mesh.apply_evacuations(all.version, halls, "platform");
        Ok(all.version)
    }

    /// Watches the evacuated data halls while this box is a reader.
    pub(crate) async fn watch_evacuations(&self) {
        let Some(prefix) = &self.mesh.decoder.keys().evacuation_prefix else {
            return std::future::pending().await;
        };
        let mut cursor = WatchCursor::default();
        loop {
            if !self.mesh.readers().is_reading() {
                cursor.invalidate();
            }
            let read = self.read_evacuations(Freshness::Latest);
            let next = self.next_changes(&mut cursor, prefix, WATCH_TIMEOUT, read);
            let Some(got) = next.await else { continue };
            match got {
                Ok(c) => {
                    cursor.advance(c.version);
                    let halls = self.mesh.evacuations.lock().with_changes(prefix, &c);
                    self.mesh.apply_evacuations(c.version, halls, "platform");
                }
                Err(e) => {
                    log::info!("evacuation: watch failed: {e}");
                    cursor.handle_error(&e).await;
                }
            }
        }
    }
}
