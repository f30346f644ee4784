//! How a box gets to know the others, and takes over what they believe.

use super::Node;
use honeypulley_peer::codec::{Body, MAX_ITEMS};
use honeypulley_peer::listing::{BoxAddress, MAX_BOXES};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Boxes that one which has just started asks for their beliefs.
///
/// With a third of the boxes gone unnoticed, all three are gone in 4 of 100.
const ASKED_BOXES: usize = 3;
/// Time between two hellos to the seeds while no other box is known.
const HELLO_GAP: Duration = Duration::from_millis(500);

impl Node {
    /// Makes this box known to the seeds, and then to every box in the store.
    pub(super) async fn greet(&self) {
        let mut greeted = 0;
        let mut has_asked = false;
        loop {
            let known: Vec<SocketAddr> = self.mesh.book().all().collect();
            if known.is_empty() {
                for to in self.mesh.seeds() {
                    self.hello(to, true);
                }
            } else if known.len() > greeted {
                for to in &known {
                    self.hello(*to, false);
                }
                greeted = known.len();
            }
            // Beliefs about upstreams that this box does not know would be lost.
            let ready = self.mesh.listed.load(Ordering::Relaxed) && self.mesh.table_number() > 0;
            if !has_asked && ready && !known.is_empty() {
                has_asked = true;
                self.ask_beliefs();
            }
            let _ = tokio::time::timeout(HELLO_GAP, self.mesh.greeting.notified()).await;
        }
    }

    /// Asks some boxes, of this data hall if there are any, what they believe.
    fn ask_beliefs(&self) {
        let mut to: Vec<SocketAddr> = self.mesh.book().near().collect();
        if to.is_empty() {
            to = self.mesh.book().all().collect();
        }
        fastrand::shuffle(&mut to);
        to.truncate(ASKED_BOXES);
        log::info!(boxes = to.len(); "peer: {} boxes are asked what they believe", to.len());
        for addr in to {
            self.hello(addr, true);
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

    pub(super) fn hello(&self, to: SocketAddr, wants_reply: bool) {
        let hall = self.mesh.settings.hall.clone();
        self.send_each(&[to], Body::Hello { hall, wants_reply });
    }

    pub(super) fn send_book(&self, to: SocketAddr) {
        let boxes: Vec<BoxAddress> = self.mesh.book().entries().cloned().collect();
        for part in boxes.chunks(MAX_BOXES) {
            self.send_each(&[to], Body::Book(part.to_vec()));
        }
    }
}
