//! Reads and watches the platform's store while this box is a reader.

use crate::readers::{DECIDE_INTERVAL_MS, WATCH_TIMEOUT};
use crate::state::Mesh;
use eyre::Result;
use honeypulley_platform::api::{Changes, Freshness, Object, Platform, PlatformError};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::sync::Arc;
use std::time::Duration;

/// Initial backoff after a failed call; it doubles with each further failure.
pub(crate) const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Delay between watches on the broadcasting reader, so that changes are batched.
///
/// Each change wakes the watch of every reader. The delay follows the delivery of a change, so a
/// single change is not held back.
const BROADCASTER_BATCH_DELAY: Duration = Duration::from_millis(80);
/// Delay between watches on the other readers.
///
/// They broadcast only changes that the reader with the lowest id has not broadcast in time.
const STANDBY_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Time after startup before any box becomes a reader, so that beacons spread.
const STARTUP_DELAY: Duration = Duration::from_millis(700);
/// As [`STARTUP_DELAY`], at the first start of a whole fleet, when boxes know few peers yet.
const FIRST_STARTUP_DELAY: Duration = Duration::from_millis(1_300);

/// Joins the fleet through the platform's store and reads the store.
#[derive(Debug)]
pub struct StoreDuty {
    /// Shared state of this box.
    pub mesh: Arc<Mesh>,
    /// Client of the platform's store.
    pub platform: Arc<dyn Platform>,
}

impl Duty for StoreDuty {
    fn name(&self) -> &'static str {
        "store"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            tokio::select! {
                () = self.join() => {}
                () = self.update_reader_role() => {}
                () = self.watch_tables() => {}
                () = self.watch_upstreams() => {}
                () = self.expire_entries() => {}
                () = self.reread_list() => {}
                () = self.sync_held() => {}
                () = self.watch_evacuations() => {}
                () = shutdown.stop.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl StoreDuty {
    /// Reads the routing table and returns the revision from which to watch.
    pub(crate) async fn read_table(&self, f: Freshness) -> Result<Revision, PlatformError> {
        let keys = self.mesh.decoder.keys();
        // A list, not a get: it returns the store's revision as well as the table's own.
        let all = self.platform.list(&keys.table_prefix, f).await;
        let all = self.record_result("table", f, all);
        if let Some(o) = objects(&all).iter().find(|o| o.key == keys.table_key) {
            self.mesh.apply_table(o, "platform");
        }
        Ok(all?.version)
    }

    /// Reads the full list of upstreams and returns the revision from which to watch.
    ///
    /// A stale read returns [`Revision::ZERO`], so that no watch starts from it.
    pub(crate) async fn read_list(&self, f: Freshness) -> Result<Revision, PlatformError> {
        let prefix = &self.mesh.decoder.keys().upstream_prefix;
        let all = self.platform.list(prefix, f).await;
        let all = self.record_result("list", f, all).inspect_err(|e| {
            if let PlatformError::Incomplete { read, .. } = e {
                self.mesh.apply_partial_list(read, "platform");
            }
        })?;
        if f == Freshness::Stale {
            self.mesh.apply_stale_list(&all, "platform");
            return Ok(Revision::ZERO);
        }
        self.mesh.apply_full_list(&all, "platform");
        self.mesh.confirm_list();
        Ok(all.version)
    }

    /// Periodically decides whether this box is a reader.
    async fn update_reader_role(&self) {
        let delay =
            if self.mesh.settings.first_start { FIRST_STARTUP_DELAY } else { STARTUP_DELAY };
        tokio::time::sleep(delay).await;
        let mut was_in_touch = true;
        loop {
            let now = self.mesh.now();
            // A box that does not know the other boxes yet would take itself for one of few.
            if !self.mesh.settings.is_seed
                && self.mesh.fleet_size().is_none()
                && self.mesh.readers().is_waiting_for_seeds(now)
            {
                tokio::time::sleep(Duration::from_millis(DECIDE_INTERVAL_MS.0)).await;
                continue;
            }
            let in_touch = self.mesh.readers().in_touch(now);
            if in_touch != was_in_touch {
                was_in_touch = in_touch;
                let word = if in_touch { "is known again" } else { "is not known any more" };
                log::warn!(in_touch; "readers: what the platform holds {word} to this box");
            }
            let (changed, reading) = {
                let fleet = self.mesh.reader_fleet();
                let mut readers = self.mesh.readers();
                let changed = readers.decide_among(&fleet, fastrand::f64(), self.mesh.now());
                (changed, readers.is_reading())
            };
            if changed {
                let word = if reading { "starts" } else { "stops" };
                log::info!(reading; "readers: this box {word} reading the platform");
                self.mesh.reader_changed.notify_waiters();
                self.mesh.broadcast_wakeup.notify_one();
            }
            let gap = self.mesh.readers().decide_interval(self.mesh.now());
            let gap = fastrand::u64(gap.0..gap.1);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    }

    /// Waits until this box is a reader.
    pub(crate) async fn wait_until_reader(&self) {
        loop {
            let woken = self.mesh.reader_changed.notified();
            if self.mesh.readers().is_reading() {
                return;
            }
            woken.await;
        }
    }

    /// Waits for changes of the objects under a prefix, while this box is a reader.
    ///
    /// Awaits `read`, a full read, instead if the watch has no position. Returns `None` after that,
    /// and if the platform is restored.
    pub(crate) async fn next_changes(
        &self,
        cursor: &mut WatchCursor,
        prefix: &str,
        timeout: Duration,
        read: impl Future<Output = Result<Revision, PlatformError>>,
    ) -> Option<Result<Changes, PlatformError>> {
        self.wait_until_reader().await;
        let restored = self.mesh.restore_wakeup.notified();
        let Some(since) = cursor.position(self.mesh.epoch()) else {
            match read.await {
                Ok(version) => cursor.reset(version),
                Err(_) => back_off(&mut cursor.backoff).await,
            }
            return None;
        };
        until_restored(restored, self.platform.watch(prefix, since, timeout)).await
    }

    /// Watches the routing table while this box is a reader.
    async fn watch_tables(&self) {
        let keys = self.mesh.decoder.keys();
        let mut cursor = WatchCursor::default();
        loop {
            let read = self.read_table(Freshness::Latest);
            let next = self.next_changes(&mut cursor, &keys.table_prefix, WATCH_TIMEOUT, read);
            let Some(got) = next.await else { continue };
            match self.record_result("watch of tables", Freshness::Latest, got) {
                Ok(c) => {
                    cursor.advance(c.version);
                    let newest = c.objects.iter().filter(|o| o.key == keys.table_key);
                    if let Some(o) = newest.max_by_key(|o| o.version) {
                        self.mesh.apply_table(o, "platform");
                    }
                }
                Err(e) => cursor.handle_error(&e).await,
            }
        }
    }

    /// Watches the list of upstreams while this box is a reader.
    async fn watch_upstreams(&self) {
        let prefix = &self.mesh.decoder.keys().upstream_prefix;
        let mut cursor = WatchCursor::default();
        loop {
            if !self.mesh.readers().is_reading() {
                cursor.invalidate();
            }
            let read = self.read_list(Freshness::Latest);
            let next = self.next_changes(&mut cursor, prefix, WATCH_TIMEOUT, read);
            let Some(got) = next.await else { continue };
            match self.record_result("watch of upstreams", Freshness::Latest, got) {
                Ok(c) => {
                    cursor.advance(c.version);
                    self.mesh.apply_watched_changes(&c, "platform");
                    self.mesh.confirm_list();
                    // The full list was older than the changes of peers, so it was not applied.
                    if !self.mesh.has_read_list() {
                        cursor.invalidate();
                    }
                    if !(c.objects.is_empty() && c.removed.is_empty()) {
                        self.delay_next_watch().await;
                    }
                }
                Err(e) => cursor.handle_error(&e).await,
            }
        }
    }

    /// Delays the next watch, so that its answer returns several changes at once.
    async fn delay_next_watch(&self) {
        let is_first = self.mesh.readers().rank(self.mesh.now()) == 0;
        tokio::time::sleep(if is_first { BROADCASTER_BATCH_DELAY } else { STANDBY_BATCH_DELAY })
            .await;
    }

    /// Rereads the list from the platform when no peer could supply the missing changes.
    async fn reread_list(&self) {
        loop {
            self.mesh.reread_wakeup.notified().await;
            log::warn!(
                "list: rereading the platform, since no peer has supplied the missing changes"
            );
            // A failure is recorded and logged by `read_list`; the peers are asked again below.
            let _ = self.read_list(Freshness::Latest).await;
            self.mesh.query_wakeup.notify_one();
        }
    }

    /// Periodically removes list entries whose hold has expired.
    async fn expire_entries(&self) {
        loop {
            self.mesh.expire_list();
            tokio::time::sleep(Duration::from_millis(DECIDE_INTERVAL_MS.1)).await;
        }
    }

    /// Records the result of a call for the selection of readers.
    ///
    /// A stale read shows that the platform is reachable, not that its current state is known.
    fn record_result<T>(
        &self,
        what: &str,
        f: Freshness,
        r: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        match &r {
            Ok(_) if f == Freshness::Stale => {
                self.mesh.readers().record_stale_answer(self.mesh.now());
            }
            // The platform is reachable, but its objects have to be reread.
            Err(e @ PlatformError::Restored { .. }) => {
                log::info!("store: {what} needs a full read: {e}");
            }
            Ok(_) | Err(PlatformError::Compacted { .. }) => {
                if let Err(e) = &r {
                    log::info!("store: {what} needs a full read: {e}");
                }
                if self.mesh.readers().record_answer(self.mesh.now()) {
                    log::info!("readers: the platform responds to this box again");
                }
            }
            Err(e) => {
                log::info!("store: {what} failed: {e}");
                let timed_out = matches!(e, PlatformError::Unknown { .. });
                if self.mesh.readers().record_failure(timed_out) {
                    log::warn!("readers: the platform no longer responds to this box");
                    self.mesh.broadcast_wakeup.notify_one();
                }
            }
        }
        r
    }
}

/// Position of a watch in the store's history, with its retry state.
#[derive(Debug)]
pub(crate) struct WatchCursor {
    /// Revision of the last answer; `None` if a full read is required.
    position: Option<Revision>,
    /// Whether the position was invalidated since the last answer of a watch.
    invalidated: bool,
    backoff: Duration,
}

impl Default for WatchCursor {
    fn default() -> Self {
        Self { position: None, invalidated: false, backoff: MIN_BACKOFF }
    }
}

impl WatchCursor {
    /// Returns the revision to watch from, unless it is of another epoch.
    fn position(&self, epoch: u64) -> Option<Revision> {
        self.position.filter(|r| r.epoch == epoch)
    }

    /// Sets the position after a full read.
    const fn reset(&mut self, version: Revision) {
        self.position = Some(version);
    }

    /// Advances the position after a watch has answered, and resets the retry state.
    pub(crate) const fn advance(&mut self, version: Revision) {
        *self = Self { position: Some(version), invalidated: false, backoff: MIN_BACKOFF };
    }

    /// Discards the position, so that a full read follows.
    pub(crate) const fn invalidate(&mut self) {
        self.position = None;
    }

    /// Handles a failed watch, and backs off unless an immediate full read is due.
    ///
    /// The first invalidation since the last answer is retried without a delay.
    pub(crate) async fn handle_error(&mut self, e: &PlatformError) {
        let is_first = e.has_lost_place() && !std::mem::replace(&mut self.invalidated, true);
        if e.has_lost_place() {
            self.invalidate();
        }
        if !is_first {
            back_off(&mut self.backoff).await;
        }
    }
}

/// Returns the answer of a watch, or `None` if the platform is restored first.
async fn until_restored(
    restored: impl Future<Output = ()>,
    watch: impl Future<Output = Result<Changes, PlatformError>>,
) -> Option<Result<Changes, PlatformError>> {
    tokio::select! {
        got = watch => Some(got),
        () = restored => None,
    }
}

/// Returns the objects of a list, also if it ended early.
fn objects(list: &Result<Changes, PlatformError>) -> &[Object] {
    match list {
        Ok(all) => &all.objects,
        Err(PlatformError::Incomplete { read, .. }) => &read.objects,
        Err(_) => &[],
    }
}

/// Fetches the routing table's object from the platform.
///
/// # Errors
/// Returns any error of the platform.
pub async fn fetch_table(mesh: &Mesh, p: &dyn Platform) -> Result<Option<Object>, PlatformError> {
    p.get(&mesh.decoder.keys().table_key).await
}

/// Sleeps for `wait` with 50 % jitter, then doubles it up to [`MAX_BACKOFF`].
pub(crate) async fn back_off(wait: &mut Duration) {
    tokio::time::sleep(wait.mul_f64(0.5 + fastrand::f64())).await;
    *wait = (*wait * 2).min(MAX_BACKOFF);
}
