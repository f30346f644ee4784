//! Peer discovery, and the transfer of beliefs to a starting box.
//!
//! A box whose address may be unknown to its peers sends a hello to its seeds, or to a few
//! other boxes. The receivers announce the newcomer to the whole fleet, batched with other
//! recent newcomers. Hellos between all pairs of boxes would grow with the square of the
//! fleet's size.

use super::Node;
use super::broadcast::LIST_FORWARDERS;
use honeypulley_peer::codec::{Body, MAX_ITEMS};
use honeypulley_peer::listing::{BoxAddress, MAX_BOXES};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of peers that a starting box sends hellos or requests to.
///
/// More than one, since some may have failed without having been detected.
const CONTACTED_PEERS: usize = 3;
/// Interval between hellos to the seeds while no other box is known.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a restarting box waits for the platform's list of boxes.
///
/// After that, it uses its seeds.
const LISTING_WAIT: Duration = Duration::from_millis(250);
/// Bounds of the delay during which newcomers are batched, in milliseconds.
///
/// Boxes that start together reach each of three seeds within 0.3 s. Once one seed has announced
/// them, the other seeds omit them from their own announcements.
const GATHER_DELAY_MS: (u64, u64) = (100, 350);
/// Maximum number of queries to unknown boxes in each [`HELLO_INTERVAL`].
pub(super) const MAX_QUERIES: u32 = 8;

impl Node {
    /// Introduces this box to peers that may not know it, and requests their beliefs.
    pub(super) async fn introduce_self(&self) {
        if !self.mesh.settings.first_start {
            let _ = tokio::time::timeout(LISTING_WAIT, self.mesh.hello_wakeup.notified()).await;
        }
        let mut has_requested = self.mesh.settings.first_start;
        loop {
            self.queries_sent.set(0);
            if self.mesh.address_book().count() == 1 {
                self.announce_self(self.mesh.seeds());
            } else if self.mesh.unannounced.swap(false, Ordering::Relaxed) {
                let mut to = self.mesh.seeds();
                // In a first start, the seeds suffice: they hear from every box, and few
                // other boxes are known yet.
                if to.is_empty() || !self.mesh.settings.first_start {
                    to.extend(self.random_peers());
                }
                self.announce_self(to);
            }
            // Beliefs about upstreams that are not in the list yet would be dropped.
            let ready =
                self.mesh.list_known.load(Ordering::Relaxed) && self.mesh.table_version() > 0;
            if !has_requested && ready && self.mesh.address_book().count() > 1 {
                has_requested = true;
                self.request_beliefs();
            }
            let _ = tokio::time::timeout(HELLO_INTERVAL, self.mesh.hello_wakeup.notified()).await;
        }
    }

    /// Sends hellos, so that peers announce this box; requests one peer's address book.
    fn announce_self(&self, mut to: Vec<SocketAddr>) {
        log::info!(boxes = to.len(); "peer: introducing this box to {} boxes", to.len());
        fastrand::shuffle(&mut to);
        to.into_iter().enumerate().for_each(|(i, addr)| self.send_hello(addr, i == 0));
    }

    /// Requests the beliefs of some peers.
    fn request_beliefs(&self) {
        let to = self.random_peers();
        log::info!(boxes = to.len(); "peer: {} boxes are asked what they believe", to.len());
        self.send_to(&to, self.hello(false, true));
    }

    /// Returns a few random peers, from this data hall if it has any.
    fn random_peers(&self) -> Vec<SocketAddr> {
        let book = self.mesh.address_book();
        let mut peers: Vec<SocketAddr> = book.hall_addresses().collect();
        if peers.is_empty() {
            peers = book.addresses().collect();
        }
        drop(book);
        fastrand::shuffle(&mut peers);
        peers.truncate(CONTACTED_PEERS);
        peers
    }

    /// Handles a hello, and schedules the announcement of a new box.
    pub(super) fn handle_hello(&self, newcomer: BoxAddress, is_new: bool, wants_book: bool) {
        self.answer_hello(newcomer.addr, wants_book);
        if is_new {
            self.newcomers.borrow_mut().push(newcomer);
            self.newcomer_added.notify_one();
        }
    }

    /// Records addresses that a peer has announced.
    pub(super) fn handle_book(&self, boxes: Vec<BoxAddress>) {
        self.newcomers.borrow_mut().retain(|n| boxes.iter().all(|b| b.id != n.id));
        boxes.into_iter().for_each(|b| {
            self.mesh.add_address(b);
        });
    }

    /// Sends a hello to an unknown sender.
    ///
    /// The answer reveals the sender's address and data hall.
    pub(super) fn query_sender(&self, from: SocketAddr) {
        let sent = self.queries_sent.get();
        if sent < MAX_QUERIES {
            self.queries_sent.set(sent + 1);
            self.send_hello(from, false);
        }
    }

    /// Announces newcomers to all boxes, in batches.
    pub(super) async fn announce_newcomers(&self) {
        loop {
            self.newcomer_added.notified().await;
            let wait = fastrand::u64(GATHER_DELAY_MS.0..GATHER_DELAY_MS.1);
            tokio::time::sleep(Duration::from_millis(wait)).await;
            let new = std::mem::take(&mut *self.newcomers.borrow_mut());
            if !new.is_empty() {
                log::info!(boxes = new.len(); "peer: announcing {} new boxes", new.len());
            }
            for part in new.chunks(MAX_BOXES) {
                self.broadcast(Body::Book(part.to_vec()), LIST_FORWARDERS);
            }
        }
    }

    /// Sends this box's beliefs about upstreams to the boxes that requested them.
    pub(super) async fn send_beliefs(&self) {
        loop {
            let (to, beliefs) = self.mesh.belief_replies.recv().await;
            for part in beliefs.chunks(MAX_ITEMS) {
                let body = self.number_updates(part.to_vec());
                self.send_to(&[to], body);
            }
        }
    }

    fn send_hello(&self, to: SocketAddr, wants_book: bool) {
        self.send_to(&[to], self.hello(wants_book, false));
    }

    fn hello(&self, wants_book: bool, wants_beliefs: bool) -> Body {
        let BoxAddress { hall, relay_port, fast_link, .. } = self.mesh.own_address();
        Body::Hello { hall, relay_port, fast_link, wants_book, wants_beliefs }
    }

    /// Answers a hello with this box's address, and the whole address book if wanted.
    fn answer_hello(&self, to: SocketAddr, wants_book: bool) {
        let mut boxes = vec![self.mesh.own_address()];
        if wants_book {
            boxes.extend(self.mesh.address_book().entries().cloned());
        }
        for part in boxes.chunks(MAX_BOXES) {
            self.send_to(&[to], Body::Book(part.to_vec()));
        }
    }
}
