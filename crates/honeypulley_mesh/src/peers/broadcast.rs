//! Broadcasts of a box: list changes, beacons, observations and suspect requests.

use super::Node;
use super::outbox::{OutgoingDatagram, Priority};
use crate::pending_broadcast::PendingBroadcast;
use crate::readers::BEACON_INTERVAL;
use crate::update_batch::UpdateBatcher;
use bytes::Bytes;
use honeypulley_peer::codec::{Body, Datagram, ListUpdate, MAX_ITEMS};
use honeypulley_peer::requests::MAX_REQUESTS;
use honeypulley_policy::balance::Update;
use honeypulley_policy::quarantine::{Hold, RequestUpdate};
use std::net::SocketAddr;
use std::time::Duration;

/// Delay per rank before a reader broadcasts a change, lowest id first.
const BROADCAST_STAGGER: Duration = Duration::from_millis(60);
/// Delay from a broadcast change to a follow-up beacon, which reveals its loss.
///
/// The next regular beacon may be half a second away, a quarter of the two seconds in which a
/// departure must reach every box in the strictest deployment. A release brings thirty changes
/// per second, which one beacon covers.
const FOLLOW_UP_DELAY: Duration = Duration::from_millis(150);
/// Number of boxes per remote data hall that forward updates about tables and lists.
///
/// More than one, since some may have failed without having been detected.
pub(super) const LIST_FORWARDERS: usize = 3;
/// Number of boxes per remote data hall that forward observations of upstreams.
const UPSTREAM_FORWARDERS: usize = 2;
/// Age of the platform's last answer above which reads count as failing.
///
/// The limit is far above the age of a fresh answer, and far below the 3,600 s that are reported
/// while the platform does not answer.
const MAX_READ_AGE: Duration = Duration::from_secs(60);

impl Node {
    /// Broadcasts list changes, and beacons while this box is a reader.
    pub(super) async fn run_beacons(&self) {
        let (mut was_reader, mut was_able) = (false, false);
        let (mut table, mut epoch) = (0, 0);
        let mut evacuated = Vec::new();
        loop {
            self.broadcast_changes().await;
            let b = self.mesh.beacon();
            if b.reader || was_reader {
                was_reader = b.reader;
                was_able = b.read_age < MAX_READ_AGE;
                (table, epoch) = (b.table, b.epoch);
                self.broadcast(Body::Beacon(b), LIST_FORWARDERS);
                self.broadcast_held();
                evacuated = self.mesh.evacuated_halls();
                self.broadcast_evacuations();
            }
            let mut deadline = tokio::time::Instant::now() + BEACON_INTERVAL;
            // A new table or epoch, or a change of this box's role or ability to read, triggers
            // a beacon at once; other wake-ups do not.
            loop {
                let woken =
                    tokio::time::timeout_at(deadline, self.mesh.broadcast_wakeup.notified()).await;
                let b = self.mesh.beacon();
                let is_able = b.read_age < MAX_READ_AGE;
                let is_changed = b.table > table
                    || b.epoch > epoch
                    || is_able != was_able
                    || evacuated != self.mesh.evacuated_halls();
                let is_due = b.reader != was_reader || (b.reader && is_changed);
                if woken.is_err() || is_due {
                    break;
                }
                if self.broadcast_changes().await {
                    deadline = deadline.min(tokio::time::Instant::now() + FOLLOW_UP_DELAY);
                }
            }
        }
    }

    /// Broadcasts changes from this box's watch of the platform; returns whether any were sent.
    ///
    /// The reader with the lowest id broadcasts at once. Each other reader waits in order of ids,
    /// and skips changes that it has received completely from a peer by then.
    async fn broadcast_changes(&self) -> bool {
        let pending = self.mesh.take_pending_broadcasts();
        if pending.is_empty() {
            return false;
        }
        let rank = self.mesh.readers().rank(self.mesh.now()) as u32;
        if rank > 0 {
            tokio::time::sleep(BROADCAST_STAGGER * rank).await;
        }
        let mut has_sent = false;
        for change in pending {
            if rank > 0 && self.mesh.peer_broadcast_version() >= change.upto {
                continue;
            }
            has_sent = true;
            let (since, upto, entries) = (change.since, change.upto, change.entries.len());
            match change.into_updates() {
                Some(updates) => updates.iter().for_each(|u| self.broadcast_update(u)),
                None => log::info!(
                    since:display, upto:display, entries;
                    "list: too many changes to broadcast, peers will pull the list"
                ),
            }
        }
        has_sent
    }

    /// Broadcasts changes that fit into one update.
    fn broadcast_update(&self, u: &PendingBroadcast) {
        let age = self.mesh.list_status().age.unwrap_or(Duration::MAX);
        let fragments = ListUpdate::split(u.since, u.upto, age, &u.entries).unwrap_or_default();
        fragments.into_iter().for_each(|t| self.broadcast(Body::Changes(t), LIST_FORWARDERS));
    }

    /// Broadcasts this box's observations of upstreams.
    pub(super) async fn broadcast_updates(&self) {
        let updates = &self.mesh.updates_out;
        let mut batcher = UpdateBatcher::default();
        loop {
            let mut batch: Vec<Update> = self.next_update(&batcher).await.into_iter().collect();
            while batch.len() < MAX_ITEMS
                && let Some(n) = updates.pop()
            {
                batch.push(n);
            }
            let now = self.mesh.now();
            let (local, global): (Vec<Update>, Vec<Update>) =
                batch.into_iter().partition(Update::is_for_hall);
            if !global.is_empty() {
                let body = self.number_updates(global);
                self.broadcast(body, UPSTREAM_FORWARDERS);
            }
            local.into_iter().for_each(|n| batcher.add(n, now));
            let to: Vec<SocketAddr> = self.mesh.address_book().hall_addresses().collect();
            if batcher.deadline(to.len()).is_some_and(|at| at <= now) {
                let body = self.number_updates(batcher.drain(now));
                self.send_to(&to, body);
            }
        }
    }

    /// Broadcasts updates about requests that crash upstreams without delay.
    pub(super) async fn broadcast_new_requests(&self) {
        let updates = &self.mesh.requests_out;
        loop {
            let mut items = vec![updates.recv().await];
            items.extend(std::iter::from_fn(|| updates.pop()).take(MAX_REQUESTS - 1));
            self.broadcast_requests(items);
        }
    }

    /// Broadcasts the requests on hold, if this reader has the lowest id.
    ///
    /// This informs boxes that have just started, were isolated or paused, or lost an update.
    fn broadcast_held(&self) {
        let now = self.mesh.now();
        if self.mesh.readers().rank(now) > 0 {
            return;
        }
        let held = self.mesh.quarantined_requests();
        if held.is_empty() {
            return;
        }
        let start = self.held_cursor.get() % held.len();
        let selected = held.iter().cycle().skip(start).take(held.len().min(MAX_REQUESTS));
        self.held_cursor.set(start + MAX_REQUESTS);
        self.broadcast_requests(selected.map(Hold::to_update).collect());
    }

    /// Broadcasts the evacuated data halls.
    fn broadcast_evacuations(&self) {
        if let Some(body) = self.mesh.evacuation_body() {
            self.broadcast(body, LIST_FORWARDERS);
        }
    }

    fn broadcast_requests(&self, items: Vec<RequestUpdate>) {
        let seq = self.sequence.borrow_mut().next();
        self.broadcast(Body::Requests { seq, items }, LIST_FORWARDERS);
    }

    /// Awaits an observation; returns `None` once delayed observations are due.
    async fn next_update(&self, batcher: &UpdateBatcher) -> Option<Update> {
        let next = self.mesh.updates_out.recv();
        let Some(due) = batcher.deadline(self.mesh.address_book().hall_addresses().count()) else {
            return Some(next.await);
        };
        let left = due.since(self.mesh.now());
        tokio::time::timeout(left, next).await.ok()
    }

    /// Wraps observations into a body with the next sequence number.
    pub(super) fn number_updates(&self, items: Vec<Update>) -> Body {
        Body::News { seq: self.sequence.borrow_mut().next(), items }
    }

    /// Broadcasts to every box of the fleet.
    ///
    /// Boxes of this data hall receive the datagram directly. In each other data hall, it goes
    /// to `forwarders` boxes, which forward it. The cost to the sender thus depends on the size of
    /// its own data hall and the number of data halls, but not on the size of the fleet.
    pub(super) fn broadcast(&self, body: Body, forwarders: usize) {
        let priority = Priority::of(&body);
        let bytes = self.seal(body);
        let (near, far) = {
            let book = self.mesh.address_book();
            let near: Vec<SocketAddr> = book.hall_addresses().collect();
            let mut rng = fastrand::Rng::new();
            (near, book.forwarders(forwarders, self.mesh.now(), &mut rng))
        };
        let forward = self.seal(Body::Forward(bytes.clone()));
        // Remote data halls first, since one datagram there serves a whole hall.
        self.outbox.enqueue(OutgoingDatagram::new(far, forward, priority));
        self.outbox.enqueue(OutgoingDatagram::new(near, bytes, priority));
    }

    /// Sends a datagram to the given boxes.
    pub(super) fn send_to(&self, to: &[SocketAddr], body: Body) {
        let priority = Priority::of(&body);
        self.outbox.enqueue(OutgoingDatagram::new(to.to_vec(), self.seal(body), priority));
    }

    fn seal(&self, body: Body) -> Bytes {
        let d = Datagram { sender: self.mesh.id, body };
        d.seal(&self.mesh.settings.key).into()
    }
}
