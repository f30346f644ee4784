//! How a box gets to know the others, and takes over what they believe.
//!
//! A box whose address the others may not know says hello to its seeds, or to a few boxes.
//! Whoever receives a hello announces the newcomer to all, with those that came in the
//! same moment: hellos between all pairs of boxes would grow with the square of the fleet.

use super::Node;
use super::tell::NEWS_OF_LISTS;
use honeypulley_peer::codec::{Body, MAX_ITEMS};
use honeypulley_peer::listing::{BoxAddress, MAX_BOXES};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Peers that a starting box asks for their beliefs, or sends a hello.
///
/// More than one, since some may have left unnoticed.
const ASKED_BOXES: usize = 3;
/// Time between two hellos to the seeds while no other box is known.
const HELLO_GAP: Duration = Duration::from_millis(500);
/// Time for the platform to list the other boxes to one that returns, before the
/// seeds are asked.
const NAMED_TIME: Duration = Duration::from_millis(250);
/// Bounds of the time over which newcomers are gathered, in milliseconds.
///
/// Each of three seeds hears of all that start at once, within 0.3 s; the first to speak
/// spares the others most of it.
const GATHER_TIME: (u64, u64) = (100, 350);
/// Boxes not known that are asked who they are, in each [`HELLO_GAP`].
pub(super) const MOST_ASKED: u32 = 8;

impl Node {
    /// Makes this box known where it may not be, and asks what the others believe.
    pub(super) async fn greet(&self) {
        if !self.mesh.settings.first_start {
            let _ = tokio::time::timeout(NAMED_TIME, self.mesh.greeting.notified()).await;
        }
        let mut has_asked = self.mesh.settings.first_start;
        loop {
            self.strangers.set(0);
            if self.mesh.book().count() == 1 {
                self.introduce(self.mesh.seeds());
            } else if self.mesh.unknown.swap(false, Ordering::Relaxed) {
                let mut to = self.mesh.seeds();
                // At a first start the seeds hear of all, and few others are known yet.
                if to.is_empty() || !self.mesh.settings.first_start {
                    to.extend(self.some_boxes());
                }
                self.introduce(to);
            }
            // Beliefs about upstreams that this box does not know would be lost.
            let ready = self.mesh.listed.load(Ordering::Relaxed) && self.mesh.table_number() > 0;
            if !has_asked && ready && self.mesh.book().count() > 1 {
                has_asked = true;
                self.ask_beliefs();
            }
            let _ = tokio::time::timeout(HELLO_GAP, self.mesh.greeting.notified()).await;
        }
    }

    /// Sends a hello to some boxes, which announce it; one is asked for its address book.
    fn introduce(&self, mut to: Vec<SocketAddr>) {
        log::info!(boxes = to.len(); "peer: {} boxes are told of this one", to.len());
        fastrand::shuffle(&mut to);
        to.into_iter().enumerate().for_each(|(i, addr)| self.hello(addr, i == 0));
    }

    /// Asks some boxes what they believe.
    fn ask_beliefs(&self) {
        let to = self.some_boxes();
        log::info!(boxes = to.len(); "peer: {} boxes are asked what they believe", to.len());
        let hall = self.mesh.settings.hall.clone();
        self.send_each(&to, Body::Hello { hall, wants_book: false, wants_beliefs: true });
    }

    /// Returns a few boxes, of this data hall if there are any.
    fn some_boxes(&self) -> Vec<SocketAddr> {
        let book = self.mesh.book();
        let mut some: Vec<SocketAddr> = book.near().collect();
        if some.is_empty() {
            some = book.all().collect();
        }
        drop(book);
        fastrand::shuffle(&mut some);
        some.truncate(ASKED_BOXES);
        some
    }

    /// Records a hello, possibly from a box unknown to its peers.
    pub(super) fn take_hello(&self, newcomer: BoxAddress, is_new: bool, wants_book: bool) {
        self.answer_hello(newcomer.addr, wants_book);
        if is_new {
            self.newcomers.borrow_mut().push(newcomer);
            self.gathering.notify_one();
        }
    }

    /// Records addresses that a peer broadcast.
    pub(super) fn take_book(&self, boxes: Vec<BoxAddress>) {
        self.newcomers.borrow_mut().retain(|n| boxes.iter().all(|b| b.id != n.id));
        boxes.into_iter().for_each(|b| {
            self.mesh.learn(b);
        });
    }

    /// Asks who a box is that sent something and is not known.
    pub(super) fn ask_stranger(&self, from: SocketAddr) {
        let asked = self.strangers.get();
        if asked < MOST_ASKED {
            self.strangers.set(asked + 1);
            self.hello(from, false);
        }
    }

    /// Announces the newcomers to all boxes, some moments after the first of them.
    pub(super) async fn tell_newcomers(&self) {
        loop {
            self.gathering.notified().await;
            let wait = fastrand::u64(GATHER_TIME.0..GATHER_TIME.1);
            tokio::time::sleep(Duration::from_millis(wait)).await;
            let new = std::mem::take(&mut *self.newcomers.borrow_mut());
            if !new.is_empty() {
                log::info!(boxes = new.len(); "peer: {} new boxes are told of", new.len());
            }
            for part in new.chunks(MAX_BOXES) {
                self.spread(Body::Book(part.to_vec()), NEWS_OF_LISTS);
            }
        }
    }

    /// Tells boxes that have just started what this one believes of upstreams.
    pub(super) async fn send_beliefs(&self) {
        loop {
            let (to, beliefs) = self.mesh.beliefs.next().await;
            for part in beliefs.chunks(MAX_ITEMS) {
                let body = self.number(part.to_vec());
                self.send_each(&[to], body);
            }
        }
    }

    fn hello(&self, to: SocketAddr, wants_book: bool) {
        let hall = self.mesh.settings.hall.clone();
        self.send_each(&[to], Body::Hello { hall, wants_book, wants_beliefs: false });
    }

    /// Tells a box who this one is, and whom it knows if that is wanted.
    fn answer_hello(&self, to: SocketAddr, wants_book: bool) {
        let s = &self.mesh.settings;
        let mut boxes = vec![BoxAddress { id: self.mesh.id, addr: s.peer, hall: s.hall.clone() }];
        if wants_book {
            boxes.extend(self.mesh.book().entries().cloned());
        }
        for part in boxes.chunks(MAX_BOXES) {
            self.send_each(&[to], Body::Book(part.to_vec()));
        }
    }
}
