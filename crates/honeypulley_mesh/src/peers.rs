//! Talks to the other boxes: beacons, news, changes, and pulls of what is missed.

mod greet;
mod outbox;
mod pull;
mod tell;

use crate::numbers::{Numbers, SeenNumbers};
use crate::state::Mesh;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::future::LocalBoxFuture;
use honeypulley_peer::codec::{Body, Datagram};
use honeypulley_peer::listing::{BoxAddress, Entry};
use honeypulley_peer::server::{self, Held, PeerView};
use honeypulley_peer::socket::receive;
use honeypulley_platform::api::Platform;
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use outbox::{Outbox, Parcel, Urgency};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Talks to the other boxes.
#[derive(Debug)]
pub struct PeerDuty {
    /// State of the box.
    pub mesh: Arc<Mesh>,
    /// The platform, from which a missed table is fetched.
    pub platform: Arc<dyn Platform>,
    /// Bound UDP port; it outlives restarts of the duty.
    pub socket: UdpSocket,
    /// Bound TCP port; it outlives restarts of the duty.
    pub listener: TcpListener,
}

/// The duty's state on its own thread.
struct Node {
    mesh: Arc<Mesh>,
    platform: Arc<dyn Platform>,
    socket: tokio::net::UdpSocket,
    outbox: Outbox,
    /// Pulls of the list under way.
    pulls: Cell<u32>,
    numbers: RefCell<Numbers>,
    seen: RefCell<SeenNumbers>,
    /// Boxes that sent a hello and are still to be announced.
    newcomers: RefCell<Vec<BoxAddress>>,
    gathering: Notify,
    /// Where the telling of held requests goes on.
    next_held: Cell<usize>,
    /// Boxes not known that were asked who they are, since the last look.
    strangers: Cell<u32>,
}

impl Duty for PeerDuty {
    fn name(&self) -> &'static str {
        "peer"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        block_on(async {
            let socket = tokio::net::UdpSocket::from_std(self.socket.try_clone()?)?;
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            let node = Rc::new(Node {
                mesh: Arc::clone(&self.mesh),
                platform: Arc::clone(&self.platform),
                socket,
                outbox: Outbox::new(),
                pulls: Cell::new(0),
                numbers: RefCell::new(Numbers::begin(&mut fastrand::Rng::new())),
                seen: RefCell::default(),
                newcomers: RefCell::default(),
                gathering: Notify::new(),
                next_held: Cell::new(0),
                // None is asked while the platform may still name them.
                strangers: Cell::new(greet::MOST_ASKED),
            });
            tokio::select! {
                r = node.receive() => r,
                r = node.accept(&listener) => r,
                () = node.beacon_on() => Ok(()),
                () = node.send_news() => Ok(()),
                () = node.send_requests() => Ok(()),
                () = node.outbox.send_on(&node.socket) => Ok(()),
                () = node.catch_up() => Ok(()),
                () = node.pull_tables() => Ok(()),
                () = node.greet() => Ok(()),
                () = node.tell_newcomers() => Ok(()),
                () = node.send_beliefs() => Ok(()),
                () = stop.halt.cancelled() => Ok(()),
            }
        })
    }
}

impl Node {
    async fn receive(self: &Rc<Self>) -> Result<()> {
        loop {
            let received = receive(&self.socket, &self.mesh.settings.key).await;
            let (datagram, from) = received.wrap_err("peer: receive")?;
            match datagram {
                Some(d) => self.take(d, from),
                None => log::warn!(peer:display = from; "peer: a datagram of {from} is not ours"),
            }
        }
    }

    fn take(&self, d: Datagram, from: SocketAddr) {
        if d.sender == self.mesh.id {
            return;
        }
        let known = {
            let mut book = self.mesh.book();
            book.heard(d.sender, self.mesh.now());
            book.knows(d.sender)
        };
        if !known && !matches!(d.body, Body::Hello { .. }) {
            self.ask_stranger(from);
        }
        match d.body {
            // Only a hello comes from its sender's own address for sure; the others may
            // have been sent on by a box of this data hall.
            Body::Hello { hall, wants_book, wants_beliefs } => {
                let sender = BoxAddress { id: d.sender, addr: from, hall };
                let is_new = self.mesh.learn(sender.clone());
                self.take_hello(sender, is_new, wants_book);
                if wants_beliefs {
                    self.mesh.asked.push(from);
                }
            }
            Body::Book(boxes) => self.take_book(boxes),
            Body::Beacon(b) => self.mesh.take_beacon(d.sender, from, b),
            Body::News { seq, items } => {
                if self.seen.borrow_mut().is_new(d.sender, seq) {
                    items.into_iter().for_each(|n| self.mesh.news_in.push((d.sender, n)));
                }
            }
            Body::Requests { seq, items } => {
                if self.seen.borrow_mut().is_new(d.sender, seq) {
                    self.mesh.hear_requests(items);
                }
            }
            Body::Forward(sealed) => self.forward(sealed, from),
            Body::Changes(t) => self.mesh.hear_changes(d.sender, t, from),
            Body::Want { after } => self.answer(after, from),
            // Spoken by fleets with collectors and bundles.
            Body::Ask { .. }
            | Body::Tell { .. }
            | Body::Rumour { .. }
            | Body::Report { .. }
            | Body::Verdict(_) => {
                log::debug!(peer:display = from; "peer: {from} speaks of bundles");
            }
        }
    }

    /// Sends a datagram on to this data hall, and takes it.
    fn forward(&self, sealed: Bytes, from: SocketAddr) {
        let inner = Datagram::open(&sealed, &self.mesh.settings.key);
        let Some(inner) = inner.filter(|d| !matches!(d.body, Body::Forward(_))) else {
            log::warn!(peer:display = from; "peer: {from} sends on what is not ours");
            return;
        };
        let to: Vec<SocketAddr> = self.mesh.book().near().collect();
        self.outbox.post(Parcel::new(to, sealed, Urgency::of(&inner.body)));
        self.take(inner, from);
    }

    async fn accept(&self, listener: &tokio::net::TcpListener) -> Result<()> {
        let view: Rc<dyn PeerView> = Rc::new(View(Arc::clone(&self.mesh)));
        let accepted = server::accept_on(listener, &self.mesh.settings.key, &view).await;
        accepted.wrap_err("peer: accept")
    }
}

/// What this box shows to peers.
#[derive(Debug)]
struct View(Arc<Mesh>);

impl PeerView for View {
    fn table_reached(&self, number: u64) -> LocalBoxFuture<'_, ()> {
        Box::pin(self.0.table_reached(number))
    }

    fn table(&self) -> Held<Bytes> {
        self.0.held_table()
    }

    fn upstreams(&self) -> Held<Vec<Entry>> {
        self.0.held_list()
    }
}
