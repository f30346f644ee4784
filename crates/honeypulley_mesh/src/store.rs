//! Reads the platform's store, if this box is one of its readers.

use crate::readers::{LOOK_GAP, WATCH_WAIT};
use crate::state::Mesh;
use eyre::Result;
use honeypulley_platform::api::{Changes, Freshness, Object, Platform, PlatformError};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use std::sync::Arc;
use std::time::Duration;

/// First wait after a call that failed; doubles with each failure.
pub(crate) const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Longest such wait.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Time in which the reader that broadcasts changes gathers them after one has arrived.
///
/// Each change wakes the watch of every reader. A single change is not delayed.
const FIRST_GATHER: Duration = Duration::from_millis(80);
/// The same for the other readers, which broadcast only what that one did not.
const OTHER_GATHER: Duration = Duration::from_millis(250);
/// Time after a start in which no box begins to read, so that beacons reach all.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// The same where the whole fleet starts for the first time, and boxes know few others yet.
const FIRST_SETTLE_TIME: Duration = Duration::from_millis(1_300);

/// Reads the platform's store.
#[derive(Debug)]
pub struct StoreDuty {
    /// State of the box.
    pub mesh: Arc<Mesh>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
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
                () = self.keep_held() => {}
                () = stop.halt.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl StoreDuty {
    /// Reads the routing table; returns the version from which to watch.
    pub(crate) async fn read_table(&self, f: Freshness) -> Result<Revision, PlatformError> {
        let keys = self.mesh.decoder.keys();
        // A list, since it carries the platform's version beside the table's own.
        let all = self.platform.list(&keys.tables, f).await;
        let all = self.noted("table", f, all)?;
        if let Some(o) = all.objects.iter().find(|o| o.key == keys.table) {
            self.mesh.take_table(o, "platform");
        }
        Ok(all.version)
    }

    /// Reads the whole list of upstreams; returns the version from which to watch.
    pub(crate) async fn read_list(&self, f: Freshness) -> Result<Revision, PlatformError> {
        let prefix = &self.mesh.decoder.keys().upstreams;
        let all = self.platform.list(prefix, f).await;
        let all = self.noted("list", f, all)?;
        if f == Freshness::Stale {
            self.mesh.take_old_list(&all, "platform");
            return Ok(Revision::ZERO);
        }
        self.mesh.take_list(&all, "platform");
        self.mesh.confirm_list();
        Ok(all.version)
    }

    /// Decides again and again whether this box reads.
    async fn look_on(&self) {
        let settle = if self.mesh.settings.first_start { FIRST_SETTLE_TIME } else { SETTLE_TIME };
        tokio::time::sleep(settle).await;
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

    pub(crate) async fn until_reading(&self) {
        loop {
            let woken = self.mesh.reading.notified();
            if self.mesh.readers().is_reading() {
                return;
            }
            woken.await;
        }
    }

    async fn watch_tables(&self) {
        let mut place = Place::default();
        loop {
            self.until_reading().await;
            let restored = self.mesh.restored.notified();
            let Some(since) = place.seen(self.mesh.epoch()) else {
                match self.read_table(Freshness::Latest).await {
                    Ok(version) => place.set(version),
                    Err(_) => pause(&mut place.wait).await,
                }
                continue;
            };
            let keys = self.mesh.decoder.keys();
            let watch = self.platform.watch(&keys.tables, since, WATCH_WAIT);
            let Some(got) = unless(restored, watch).await else { continue };
            match self.noted("watch of tables", Freshness::Latest, got) {
                Ok(c) => {
                    place.follow(c.version);
                    let newest = c.objects.iter().filter(|o| o.key == keys.table);
                    if let Some(o) = newest.max_by_key(|o| o.version) {
                        self.mesh.take_table(o, "platform");
                    }
                }
                Err(e) => place.fail(&e).await,
            }
        }
    }

    async fn watch_upstreams(&self) {
        let mut place = Place::default();
        loop {
            if !self.mesh.readers().is_reading() {
                place.lose();
            }
            self.until_reading().await;
            let restored = self.mesh.restored.notified();
            let Some(since) = place.seen(self.mesh.epoch()) else {
                match self.read_list(Freshness::Latest).await {
                    Ok(version) => place.set(version),
                    Err(_) => pause(&mut place.wait).await,
                }
                continue;
            };
            let prefix = &self.mesh.decoder.keys().upstreams;
            let watch = self.platform.watch(prefix, since, WATCH_WAIT);
            let Some(got) = unless(restored, watch).await else { continue };
            match self.noted("watch of upstreams", Freshness::Latest, got) {
                Ok(c) => {
                    place.follow(c.version);
                    self.mesh.take_changes(&c, "platform");
                    self.mesh.confirm_list();
                    if !(c.objects.is_empty() && c.removed.is_empty()) {
                        self.gather().await;
                    }
                }
                Err(e) => place.fail(&e).await,
            }
        }
    }

    /// Waits for further changes, so that one answer brings several.
    async fn gather(&self) {
        let is_first = self.mesh.readers().rank(self.mesh.now()) == 0;
        tokio::time::sleep(if is_first { FIRST_GATHER } else { OTHER_GATHER }).await;
    }

    /// Reads the list when no peer could tell this box what it misses.
    async fn reread_on(&self) {
        loop {
            self.mesh.rereading.notified().await;
            log::warn!("list: read from the platform, no peer has told what this box misses");
            // A failure is noted and logged; the next one is asked for by then.
            let _ = self.read_list(Freshness::Latest).await;
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
    ///
    /// An answer that may be seconds old is no sign that the platform is known as it is.
    fn noted<T>(
        &self,
        what: &str,
        f: Freshness,
        r: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        match &r {
            Ok(_) if f == Freshness::Stale => {
                self.mesh.readers().answered_old(self.mesh.now());
            }
            // The platform is reachable, but its objects must be reread.
            Err(e @ PlatformError::Restored { .. }) => {
                log::info!("store: {what} lost its place: {e}");
            }
            Ok(_) | Err(PlatformError::Compacted { .. }) => {
                if let Err(e) = &r {
                    log::info!("store: {what} lost its place: {e}");
                }
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

/// Position of a watch of the platform, and its retry state.
#[derive(Debug)]
struct Place {
    /// Position of the last answer; none while the changes since are unknown.
    seen: Option<Revision>,
    /// Whether the place was lost since the last answer of a watch.
    lost: bool,
    wait: Duration,
}

impl Default for Place {
    fn default() -> Self {
        Self { seen: None, lost: false, wait: FIRST_WAIT }
    }
}

impl Place {
    /// Returns the position to watch from, unless it is of another epoch.
    fn seen(&self, epoch: u64) -> Option<Revision> {
        self.seen.filter(|r| r.epoch == epoch)
    }

    /// Records what a read was complete up to.
    const fn set(&mut self, version: Revision) {
        self.seen = Some(version);
    }

    /// Records what a watch was complete up to.
    const fn follow(&mut self, version: Revision) {
        *self = Self { seen: Some(version), lost: false, wait: FIRST_WAIT };
    }

    const fn lose(&mut self) {
        self.seen = None;
    }

    /// Reads anew at once the first time that the place is lost; waits otherwise.
    async fn fail(&mut self, e: &PlatformError) {
        let is_first = e.has_lost_place() && !std::mem::replace(&mut self.lost, true);
        if e.has_lost_place() {
            self.lose();
        }
        if !is_first {
            pause(&mut self.wait).await;
        }
    }
}

/// Waits for the answer of a watch, unless the platform is restored before it.
async fn unless(
    restored: impl Future<Output = ()>,
    watch: impl Future<Output = Result<Changes, PlatformError>>,
) -> Option<Result<Changes, PlatformError>> {
    tokio::select! {
        got = watch => Some(got),
        () = restored => None,
    }
}

/// Reads the routing table for a box to which a newer one was announced.
///
/// # Errors
/// Any error of the platform.
pub async fn fetch_table(mesh: &Mesh, p: &dyn Platform) -> Result<Option<Object>, PlatformError> {
    p.get(&mesh.decoder.keys().table).await
}

pub(crate) async fn pause(wait: &mut Duration) {
    tokio::time::sleep(wait.mul_f64(0.5 + fastrand::f64())).await;
    *wait = (*wait * 2).min(MAX_WAIT);
}
