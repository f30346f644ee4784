//! Transfers of the address book and the list of upstreams to a box that has none.
//!
//! Any box that has them serves them, as far as its link allows, so that they spread through a
//! fleet that starts at once without the platform. A box that can't serve names a few others.

use super::Node;
use super::pull::{PAGE_TIMEOUT, with_step_timeout};
use crate::cold_load::PullCandidates;
use crate::list_assembly::ListAssembly;
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_peer::list_page::BoxAnswer;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of concurrent pulls.
const MAX_PULLS: u32 = 3;
/// Time without a page after which another peer is asked as well.
const TRANSFER_STALL: Duration = Duration::from_millis(400);
/// Number of known peers of the data hall below which other boxes and seeds are asked as well.
const FEW_PEERS: usize = 8;
/// Timeout for connecting to a peer and logging in.
///
/// After a loss of power of all boxes, packets to a box that has not started yet vanish.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a start during which peers that don't answer are probably starting as well.
const PEERS_START_TIME: Duration = Duration::from_secs(3);
/// Minimum wait between checks whether a pull is due.
const MIN_WAIT: Duration = Duration::from_millis(5);

impl Node {
    /// Pulls the address book and the list from peers until this box has both.
    pub(super) async fn load_from_peers(self: &Rc<Self>) {
        while self.lacks_book() || !self.mesh.has_list() {
            let wait = self.load_once().max(MIN_WAIT);
            let _ = tokio::time::timeout(wait, self.cold_wakeup.notified()).await;
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether this box still needs the addresses of the other boxes from a peer.
    ///
    /// At a first start, nobody knows them; newcomers are announced as they appear.
    fn lacks_book(&self) -> bool {
        !self.mesh.is_fleet_known() && !self.mesh.settings.first_start
    }

    /// Asks a peer if that is due; returns the time until the next attempt.
    fn load_once(self: &Rc<Self>) -> Duration {
        let now = self.mesh.now();
        let advanced = self.mesh.assembly.lock().advanced();
        let is_advancing = advanced.is_some_and(|at| now.since(at) < TRANSFER_STALL);
        let is_busy = self.pulls.get() >= MAX_PULLS || is_advancing && self.pulls.get() > 0;
        let mut schedule = self.cold_pulls.borrow_mut();
        if schedule.poll(fastrand::f64(), now)
            && !is_busy
            && let Some(from) = self.pull_candidates().choose(&mut fastrand::Rng::new())
        {
            self.spawn_load(from);
        }
        schedule.wait(now)
    }

    /// Returns the peers that may be asked.
    fn pull_candidates(&self) -> PullCandidates {
        let source = self.mesh.catch_up().source();
        let book = self.mesh.address_book();
        let mut peers: Vec<SocketAddr> = book.hall_addresses().collect();
        if peers.len() < FEW_PEERS {
            peers.extend(book.addresses());
            peers.extend(self.mesh.seeds());
        }
        PullCandidates {
            boxes: book.count(),
            origin: source.map(|s| book.source_address(s)),
            fast: book.fast_link_addresses(),
            peers,
        }
    }

    /// Pulls what this box lacks from one peer, concurrently with other pulls.
    fn spawn_load(self: &Rc<Self>, from: SocketAddr) {
        let node = Rc::clone(self);
        node.pulls.set(node.pulls.get() + 1);
        tokio::task::spawn_local(async move {
            if let Err(e) = node.load_from(from).await {
                node.mesh.startup.record_failed_pull();
                log::info!("startup: not pulled: {e}");
                if node.mesh.now().since(Time::ZERO) < PEERS_START_TIME {
                    node.retry_soon();
                }
            }
            node.pulls.set(node.pulls.get() - 1);
            if node.mesh.has_list() {
                *node.mesh.assembly.lock() = ListAssembly::default();
                node.mesh.query_wakeup.notify_one();
            }
        });
    }

    async fn load_from(&self, from: SocketAddr) -> Result<(), PeerError> {
        let peer = self.connect(from, CONNECT_TIMEOUT).await?;
        if self.lacks_book() {
            self.load_book(&peer, from).await?;
        }
        if self.mesh.has_list() {
            return Ok(());
        }
        if self.has_nearer_peer(from) {
            self.retry_soon();
            return Ok(());
        }
        match self.pull_list_pages(&peer, from, &self.mesh.assembly).await? {
            Some(list) if !self.mesh.has_list() => {
                self.mesh.startup.record_pulled_list(list.pages);
                self.mesh.apply_assembled_list(list, &from.to_string());
            }
            Some(_) => {}
            None => self.mesh.startup.record_fruitless_pull(),
        }
        Ok(())
    }

    /// Makes the next pulls follow at the shortest intervals.
    fn retry_soon(&self) {
        self.cold_pulls.take();
        self.cold_wakeup.notify_one();
    }

    /// Returns whether a list should be pulled from this data hall and not from a seed elsewhere.
    ///
    /// Before it has the address book, a box knows no others.
    fn has_nearer_peer(&self, from: SocketAddr) -> bool {
        let book = self.mesh.address_book();
        let is_seed = self.mesh.seeds().contains(&from);
        is_seed && book.hall_addresses().count() > 0 && book.hall_addresses().all(|a| a != from)
    }

    /// Pulls the address book of a peer, or learns of a few other boxes.
    async fn load_book(&self, peer: &PeerClient, from: SocketAddr) -> Result<(), PeerError> {
        let mut after = NameId(0);
        loop {
            let page = peer.box_page(after);
            match with_step_timeout(from, "box page", PAGE_TIMEOUT, page).await? {
                BoxAnswer::Page(page) => {
                    let last = page.boxes.last().map(|b| b.id);
                    page.boxes.into_iter().for_each(|b| {
                        self.mesh.add_address(b);
                    });
                    let Some(last) = last.filter(|id| page.has_more && id.0 > after.0) else {
                        break;
                    };
                    after = last;
                }
                BoxAnswer::Sample { is_known, boxes } => {
                    boxes.into_iter().for_each(|b| {
                        self.mesh.add_address(b);
                    });
                    if is_known {
                        self.mesh.record_book_holder();
                    }
                    return Ok(());
                }
            }
        }
        let boxes = self.mesh.address_book().count();
        log::info!(peer:display = from, boxes; "startup: address book of {from} pulled");
        self.mesh.record_fleet_known();
        self.mesh.hello_wakeup.notify_one();
        Ok(())
    }
}
