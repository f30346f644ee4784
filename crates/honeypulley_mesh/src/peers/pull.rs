//! Retrieval of missed data: list changes, full lists and tables.

use super::Node;
use crate::catch_up::{
    Actions, LocalList, ORIGIN_PULLS, ORIGIN_REQUESTS, Progress, origin_probability,
    read_probability,
};
use crate::list_assembly::{AssembledList, ListAssembly};
use crate::state::PendingTable;
use crate::store::fetch_table;
use crate::tree;
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_peer::codec::Body;
use honeypulley_peer::server::{PulledList, Versioned};
use honeypulley_platform::api::Object;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a failed pull of a table is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum lag of one reader's watch behind that of another.
const WATCH_LAG: Duration = Duration::from_millis(60);
/// Maximum random delay before a table is fetched, which spreads the boxes' calls.
const FETCH_JITTER_MS: u64 = 60;
/// Timeout for fetching a table from the platform, before a peer is tried.
const FETCH_TIMEOUT: Duration = Duration::from_millis(450);
/// Timeout for one pull, including connection setup and login; leaves time for another.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent list pulls.
///
/// More than one, so that a hanging pull does not delay the next.
const MAX_LIST_PULLS: u32 = 2;
/// Timeout for one page of a list.
pub(super) const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between checks for a list while this box has none.
const COLD_WAIT: Duration = Duration::from_millis(400);
/// Maximum random delay before a list that differs is pulled.
///
/// All boxes may differ from the same reader.
const REPAIR_JITTER_MS: u64 = 200;
/// Minimum wait between catch-up steps, so that an overdue timer causes no busy loop.
const MIN_WAIT: Duration = Duration::from_millis(5);

impl Node {
    /// Keeps the list up to date by requests, pulls and reads of the platform.
    pub(super) async fn catch_up(self: &Rc<Self>) {
        loop {
            let wait = self.catch_up_once();
            let _ = tokio::time::timeout(wait, self.mesh.query_wakeup.notified()).await;
        }
    }

    /// Runs the actions that are due; returns the time until the next ones.
    fn catch_up_once(self: &Rc<Self>) -> Duration {
        if !self.mesh.has_list() {
            // `load_from_peers` wakes this task once there is a list to keep up to date.
            return COLD_WAIT;
        }
        let now = self.mesh.now();
        let list = self.mesh.list_status();
        let readers = self.mesh.readers().reader_contact(now);
        let local = LocalList { version: list.version, age: list.age, readers };
        let progress = self.mesh.catch_up().poll(local, now);
        match progress {
            Progress::Complete => {}
            Progress::CaughtUp { elapsed } => {
                let took_ms = elapsed.as_millis() as u64;
                log::info!(list:display = local.version, took_ms; "list: complete again");
            }
            Progress::Behind(actions) => self.run_actions(actions, local),
        }
        let wait = self.mesh.catch_up().wait(local, now);
        wait.max(MIN_WAIT)
    }

    /// Pulls a list from one box; returns `None` if the box has no list or no capacity.
    async fn pull_full_list(
        &self,
        from: SocketAddr,
        assembly: &Mutex<ListAssembly>,
    ) -> Result<Option<AssembledList>, PeerError> {
        let peer = self.connect(from, PULL_TIMEOUT).await?;
        self.pull_list_pages(&peer, from, assembly).await
    }

    /// Connects to a peer for a transfer.
    pub(super) async fn connect(
        &self,
        to: SocketAddr,
        limit: Duration,
    ) -> Result<PeerClient, PeerError> {
        let connect = PeerClient::connect(to, &self.mesh.settings.key);
        with_step_timeout(to, "connect", limit, connect).await
    }

    /// Pulls the pages that an assembly lacks; returns `None` if the box sends none.
    pub(super) async fn pull_list_pages(
        &self,
        peer: &PeerClient,
        from: SocketAddr,
        assembly: &Mutex<ListAssembly>,
    ) -> Result<Option<AssembledList>, PeerError> {
        loop {
            let after = assembly.lock().cursor().to_owned();
            let page = peer.list_page(&after);
            let page = with_step_timeout(from, "list page", PAGE_TIMEOUT, page).await?;
            let Some(page) = page else { return Ok(None) };
            if !page.advances(&after) {
                let cause = format!("the page after {after:?} brings nothing new");
                return Err(PeerError { peer: from, step: "list page", cause });
            }
            let list = assembly.lock().add(&after, page, self.mesh.now());
            if list.is_some() {
                return Ok(list);
            }
        }
    }

    fn run_actions(self: &Rc<Self>, actions: Actions, local: LocalList) {
        if actions.ask {
            self.request_changes(local);
        }
        if actions.pull && self.pulls.get() < MAX_LIST_PULLS {
            self.pull_list();
        }
        let boxes = self.mesh.address_book().count();
        if actions.read && fastrand::f64() < read_probability(boxes, self.mesh.entry_count()) {
            self.mesh.reread_wakeup.notify_one();
        }
    }

    /// Requests the changes after the local version from two boxes.
    fn request_changes(&self, local: LocalList) {
        let to = self.request_targets();
        let age_ms = local.age.map(|a| a.as_millis() as u64);
        log::info!(
            list:display = local.version,
            wanted:display = self.mesh.catch_up().newest_announced(),
            age_ms, heard:debug = local.readers, asked:debug = to;
            "list: changes after {} are asked for", local.version
        );
        self.send_to(&to, Body::Want { after: local.version });
    }

    /// Returns up to two boxes to request missed changes from.
    ///
    /// The first may be the box that announced the newest version.
    fn request_targets(&self) -> Vec<SocketAddr> {
        let source = self.mesh.catch_up().source();
        let book = self.mesh.address_book();
        let asks_origin = fastrand::f64() < origin_probability(book.count(), ORIGIN_REQUESTS);
        let first = source.filter(|_| asks_origin).map(|s| book.source_address(s));
        let mut others: Vec<SocketAddr> = book.hall_addresses().collect();
        if others.is_empty() {
            others = book.addresses().collect();
        }
        let readers = self.mesh.readers().live(self.mesh.now());
        others.extend(readers.into_iter().filter_map(|id| book.address(id)));
        drop(book);
        others.retain(|a| Some(*a) != first);
        let extra = if first.is_some() { 1 } else { 2 };
        fastrand::shuffle(&mut others);
        first.into_iter().chain(others.into_iter().take(extra)).collect()
    }

    /// Answers a peer's request for the changes after a version.
    ///
    /// A box with an older list does not answer. A box with the same version answers without
    /// entries, which tells the peer when the list was last known to be complete.
    pub(super) fn answer_request(&self, after: Revision, to: SocketAddr) {
        match self.mesh.changes_after(after) {
            Some(parts) => {
                if self.mesh.admit_answer(parts.iter().map(|t| t.entries.len()).sum()) {
                    parts.into_iter().for_each(|t| self.send_to(&[to], Body::Changes(t)));
                }
            }
            None => {
                log::debug!(
                    peer:display = to, after:display;
                    "list: can't provide the requested changes"
                );
            }
        }
    }

    /// Returns the box to pull the full list from.
    ///
    /// That is mostly one of this data hall. The origin of the newest version serves a few boxes,
    /// from which it spreads.
    fn pull_source(&self) -> Option<SocketAddr> {
        let source = self.mesh.catch_up().source();
        let book = self.mesh.address_book();
        let origin = source.map(|s| book.source_address(s));
        let is_origin = fastrand::f64() < origin_probability(book.count(), ORIGIN_PULLS);
        let hall: Vec<SocketAddr> = book.hall_addresses().collect();
        drop(book);
        let peer = fastrand::choice(hall);
        let (first, second) = if is_origin { (origin, peer) } else { (peer, origin) };
        first.or(second).or_else(|| self.request_targets().pop())
    }

    /// Pulls the full list from one box, concurrently with other pulls.
    fn pull_list(self: &Rc<Self>) {
        let Some(from) = self.pull_source() else { return };
        let node = Rc::clone(self);
        node.pulls.set(node.pulls.get() + 1);
        tokio::task::spawn_local(async move {
            let after = node.mesh.list_status().version;
            let pull = node.pull_list_from(from, after);
            let is_pulled = pull_with_timeout("list", from, PULL_TIMEOUT, pull).await;
            node.pulls.set(node.pulls.get() - 1);
            if is_pulled {
                node.mesh.query_wakeup.notify_one();
            }
        });
    }

    /// Pulls the changes after a revision, or the whole list if it is zero.
    async fn pull_list_from(&self, from: SocketAddr, after: Revision) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let PulledList { version, since, entries } = peer.upstreams(after).await?;
        match since {
            _ if version.is_zero() => {}
            Some(since) => {
                self.mesh.apply_pulled_changes(since, version, entries, &from.to_string());
            }
            None => self.mesh.replace(version, entries, &from.to_string()),
        }
        Ok(())
    }

    /// Pulls the list of a reader if the local list differs from it.
    pub(super) async fn repair_list(&self) {
        loop {
            self.mesh.repair_wakeup.notified().await;
            let wait = fastrand::u64(..=REPAIR_JITTER_MS);
            tokio::time::sleep(Duration::from_millis(wait)).await;
            let Some(reader) = self.mesh.take_repair_source() else { continue };
            let from = self.mesh.address_book().source_address(reader);
            // The lists differ at the same revision, so that changes after it would not suffice.
            match self.pull_full_list(from, &Mutex::default()).await {
                Ok(Some(list)) => self.mesh.apply_assembled_list(list, &from.to_string()),
                Ok(None) => {
                    log::info!(peer:display = from; "list: {from} has no capacity to send it");
                }
                Err(e) => log::info!("list: not pulled: {e}"),
            }
        }
    }

    /// Pulls announced tables that this box lacks.
    pub(super) async fn pull_tables(&self) {
        loop {
            self.mesh.pull_wakeup.notified().await;
            while let Some(pending) = self.mesh.pending_table() {
                self.pull_table(pending).await;
                if self.mesh.pending_table().is_some() {
                    tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    /// Pulls a newer table from this box's parent in the distribution tree.
    ///
    /// If that fails, fetches it from the platform or from the box that announced it.
    async fn pull_table(&self, pending: PendingTable) {
        if self.mesh.readers().is_reading() {
            // This box's own watch will deliver the table.
            let _ = tokio::time::timeout(WATCH_LAG, self.mesh.wait_for_table(pending.number)).await;
        }
        if self.mesh.table_version() >= pending.number {
            return;
        }
        let now = self.mesh.now();
        let hall_peers = self.mesh.address_book().hall_peers(now);
        let position = tree::position(self.mesh.id, &hall_peers, pending.number);
        let source = position.parent.unwrap_or(pending.origin);
        let from = self.address(source).unwrap_or(pending.announcer);
        self.try_pull_table(from, pending.number, position.timeout()).await;
        if self.mesh.table_version() < pending.number {
            self.mesh.address_book().record_failed_pull(source, self.mesh.now());
            self.fetch_table(pending).await;
        }
    }

    /// Fetches a newer table from the platform, or from the peer that announced it.
    async fn fetch_table(&self, pending: PendingTable) {
        let wait = fastrand::u64(..=FETCH_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let fetched =
            tokio::time::timeout(FETCH_TIMEOUT, fetch_table(&self.mesh, self.platform.as_ref()));
        match fetched.await {
            Ok(Ok(Some(o))) => self.mesh.apply_table(&o, "platform"),
            Ok(Ok(None)) => log::warn!("table: the platform has no routing table"),
            Ok(Err(e)) => log::info!("table: not read from the platform: {e}"),
            Err(_) => log::info!("table: not read from the platform: the read timed out"),
        }
        // The reader has the table; the forwarder of its announcement may lack it too.
        for from in [self.address(pending.origin), Some(pending.announcer)].into_iter().flatten() {
            if self.mesh.table_version() >= pending.number {
                return;
            }
            self.try_pull_table(from, pending.number, PULL_TIMEOUT).await;
        }
    }

    /// Pulls a table of at least this number from one box.
    async fn try_pull_table(&self, from: SocketAddr, number: u64, limit: Duration) {
        pull_with_timeout("table", from, limit, self.pull_table_from(from, number, limit)).await;
    }

    async fn pull_table_from(
        &self,
        from: SocketAddr,
        number: u64,
        wait: Duration,
    ) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let Versioned { version, value } = peer.table(number, wait).await?;
        if !version.is_zero() {
            let key = self.mesh.decoder.keys().table_key.clone();
            self.mesh.apply_table(&Object { key, value, version }, &from.to_string());
        }
        Ok(())
    }

    fn address(&self, id: NameId) -> Option<SocketAddr> {
        self.mesh.address_book().address(id)
    }
}

/// Runs one step of a transfer with a time limit.
pub(super) async fn with_step_timeout<T>(
    peer: SocketAddr,
    step: &'static str,
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let timed_out = |_| PeerError { peer, step, cause: "timed out".to_owned() };
    tokio::time::timeout(limit, call).await.map_err(timed_out)?
}

/// Awaits a pull for up to `limit`, logging a failure; returns whether it succeeded.
async fn pull_with_timeout(
    what: &str,
    from: SocketAddr,
    limit: Duration,
    pull: impl Future<Output = Result<(), PeerError>>,
) -> bool {
    match tokio::time::timeout(limit, pull).await {
        Ok(Ok(())) => return true,
        Ok(Err(e)) => log::info!("{what}: not pulled: {e}"),
        Err(_) => log::info!(peer:display = from; "{what}: not pulled: {from} timed out"),
    }
    false
}
