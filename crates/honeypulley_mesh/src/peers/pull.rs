//! How a box gets what it misses: changes by datagram, whole lists and tables.

use super::Node;
use crate::catch_up::{Own, Progress, Step};
use crate::state::MissedTable;
use crate::store::fetch_table;
use crate::tree;
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_peer::codec::Body;
use honeypulley_peer::server::Held;
use honeypulley_platform::api::Object;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Wait before a pull of a table is tried again.
const PULL_GAP: Duration = Duration::from_millis(150);
/// Time for a table to arrive by the tree, before the platform is asked for it.
///
/// Leaves time for the platform and another peer within the smallest bound, two seconds.
const TREE_TIME: Duration = Duration::from_millis(400);
/// Time by which the watch of a reader may show a table later than another's.
const WATCH_LAG: Duration = Duration::from_millis(60);
/// Most of the random wait before a table is fetched, so that boxes spread.
const FETCH_SPREAD_MS: u64 = 60;
/// Time after which a peer is asked for a table as well, though the platform may answer.
const FETCH_TIME: Duration = Duration::from_millis(450);
/// Time for one pull, connecting and logging in included; leaves time for another.
const PULL_TIME: Duration = Duration::from_millis(1_000);
/// Concurrent pulls of the list, so that one that hangs delays none.
const MAX_PULLS: u32 = 2;
/// Least wait between two looks at what is missed, so that a late timer costs no loop.
const LEAST_WAIT: Duration = Duration::from_millis(5);
/// Boxes expected to read the platform for themselves at one time, whatever the fleet's size.
const READS_AT_ONCE: f64 = 100.0;

impl Node {
    /// Asks for changes of the list, in one way after the other, while some are missed.
    pub(super) async fn catch_up(self: &Rc<Self>) {
        loop {
            let wait = self.catch_up_once();
            let _ = tokio::time::timeout(wait, self.mesh.asking.notified()).await;
        }
    }

    /// Does what is due; returns how long nothing is.
    fn catch_up_once(self: &Rc<Self>) -> Duration {
        let now = self.mesh.now();
        let list = self.mesh.list_now();
        let heard = self.mesh.readers().heard_of(now);
        let own = Own { version: list.version, age: list.age, heard };
        let progress = self.mesh.catch_up().next(own, now);
        match progress {
            Progress::Complete => {}
            Progress::CaughtUp { took } => {
                let took_ms = took.as_millis() as u64;
                log::info!(list:display = own.version, took_ms; "list: complete again");
            }
            Progress::Behind(step) => self.take_step(step, own),
        }
        let wait = self.mesh.catch_up().wait(own, now);
        wait.max(LEAST_WAIT)
    }

    fn take_step(self: &Rc<Self>, step: Step, own: Own) {
        if step.ask {
            self.ask(own);
        }
        if step.pull && self.pulls.get() < MAX_PULLS {
            self.pull_list();
        }
        let boxes = self.mesh.book().count() as f64;
        if step.read && fastrand::f64() < READS_AT_ONCE / boxes {
            self.mesh.rereading.notify_one();
        }
    }

    /// Asks two boxes for the changes after the list that this one holds.
    fn ask(&self, own: Own) {
        let to = self.sources();
        let age_ms = own.age.map(|a| a.as_millis() as u64);
        log::info!(
            list:display = own.version, wanted:display = self.mesh.catch_up().wanted(), age_ms,
            heard:debug = own.heard, asked:debug = to;
            "list: changes after {} are asked for", own.version
        );
        self.send_each(&to, Body::Want { after: own.version });
    }

    /// Returns the box that is known to hold what is missed, if there is one and its
    /// address is known, and another one.
    fn sources(&self) -> Vec<SocketAddr> {
        let source = self.mesh.catch_up().source();
        let book = self.mesh.book();
        // One that only sent the word on may miss the same; it is better than none.
        let first = source.map(|s| book.address(s.origin).unwrap_or(s.via));
        let mut others: Vec<SocketAddr> = book.near().collect();
        if others.is_empty() {
            others = book.all().collect();
        }
        let readers = self.mesh.readers().live(self.mesh.now());
        others.extend(readers.into_iter().filter_map(|id| book.address(id)));
        drop(book);
        others.retain(|a| Some(*a) != first);
        let more = if first.is_some() { 1 } else { 2 };
        fastrand::shuffle(&mut others);
        first.into_iter().chain(others.into_iter().take(more)).collect()
    }

    /// Answers a box that asks for the changes after a version.
    ///
    /// One that holds less than the asker says nothing; one that holds the same tells
    /// when its list was last known to be complete.
    pub(super) fn answer(&self, after: Revision, to: SocketAddr) {
        match self.mesh.changes_after(after) {
            Some(parts) => parts.into_iter().for_each(|t| self.send_each(&[to], Body::Changes(t))),
            None => {
                log::debug!(peer:display = to, after:display; "list: the changes can't be told");
            }
        }
    }

    /// Pulls the whole list from one box, concurrently with other pulls.
    fn pull_list(self: &Rc<Self>) {
        let mut from = self.sources();
        fastrand::shuffle(&mut from);
        let Some(from) = from.pop() else { return };
        let node = Rc::clone(self);
        node.pulls.set(node.pulls.get() + 1);
        tokio::task::spawn_local(async move {
            let is_pulled = within("list", from, PULL_TIME, node.pull_list_from(from)).await;
            node.pulls.set(node.pulls.get() - 1);
            if is_pulled {
                node.mesh.asking.notify_one();
            }
        });
    }

    async fn pull_list_from(&self, from: SocketAddr) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let Held { version, value } = peer.upstreams().await?;
        if !version.is_zero() {
            self.mesh.replace(version, value, &from.to_string());
        }
        Ok(())
    }

    /// Pulls tables that others have and this box misses.
    pub(super) async fn pull_tables(&self) {
        loop {
            self.mesh.pulling.notified().await;
            while let Some(missed) = self.mesh.missed_table() {
                self.pull_table(missed).await;
                if self.mesh.missed_table().is_some() {
                    tokio::time::sleep(PULL_GAP.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    /// Pulls a newer table from the box before this one in its tree; if that fails, from
    /// the platform or the box that announced it.
    async fn pull_table(&self, missed: MissedTable) {
        if self.mesh.readers().is_reading() {
            // Its own watch shows the same.
            let _ = tokio::time::timeout(WATCH_LAG, self.mesh.table_reached(missed.number)).await;
        }
        if self.mesh.table_number() >= missed.number {
            return;
        }
        let now = self.mesh.now();
        let neighbours = self.mesh.book().neighbours(now);
        let parent = tree::parent(self.mesh.id, &neighbours, missed.number);
        let from = self.address(parent.unwrap_or(missed.origin)).unwrap_or(missed.via);
        self.try_pull_table(from, missed.number, TREE_TIME).await;
        if self.mesh.table_number() < missed.number {
            self.fetch_table(missed).await;
        }
    }

    /// Pulls a newer table from the platform, or from the peer that announced it.
    async fn fetch_table(&self, missed: MissedTable) {
        let wait = fastrand::u64(..=FETCH_SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let fetched =
            tokio::time::timeout(FETCH_TIME, fetch_table(&self.mesh, self.platform.as_ref()));
        match fetched.await {
            Ok(Ok(Some(o))) => self.mesh.take_table(&o, "platform"),
            Ok(Ok(None)) => log::warn!("table: the platform has none"),
            Ok(Err(e)) => log::info!("table: not read from the platform: {e}"),
            Err(_) => log::info!("table: not read from the platform: no answer yet"),
        }
        // The reader has it; who sent its word on may miss it as this box does.
        for from in [self.address(missed.origin), Some(missed.via)].into_iter().flatten() {
            if self.mesh.table_number() >= missed.number {
                return;
            }
            self.try_pull_table(from, missed.number, PULL_TIME).await;
        }
    }

    /// Pulls a table of at least this number from one box, for which it waits so long.
    async fn try_pull_table(&self, from: SocketAddr, number: u64, most: Duration) {
        within("table", from, most, self.pull_table_from(from, number, most)).await;
    }

    async fn pull_table_from(
        &self,
        from: SocketAddr,
        number: u64,
        wait: Duration,
    ) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let Held { version, value } = peer.table(number, wait).await?;
        if !version.is_zero() {
            let key = self.mesh.decoder.keys().table.clone();
            self.mesh.take_table(&Object { key, value, version }, &from.to_string());
        }
        Ok(())
    }

    fn address(&self, id: NameId) -> Option<SocketAddr> {
        self.mesh.book().address(id)
    }
}

/// Waits so long for a pull, and logs why it failed; tells whether it did not.
async fn within(
    what: &str,
    from: SocketAddr,
    most: Duration,
    pull: impl Future<Output = Result<(), PeerError>>,
) -> bool {
    match tokio::time::timeout(most, pull).await {
        Ok(Ok(())) => return true,
        Ok(Err(e)) => log::info!("{what}: not pulled: {e}"),
        Err(_) => log::info!(peer:display = from; "{what}: not pulled: {from} hangs"),
    }
    false
}
