//! Communication with peers: beacons, observations, list changes, and pulls of missed data.

mod broadcast;
mod cold;
mod discovery;
mod outbox;
mod pull;

use crate::cold_load::PullSchedule;
use crate::numbers::{DuplicateFilter, SequenceCounter};
use crate::state::Mesh;
use crate::update_batch::ReceivedUpdate;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::future::LocalBoxFuture;
use honeypulley_peer::codec::{Body, Datagram};
use honeypulley_peer::list_page::{BoxAnswer, ListPage};
use honeypulley_peer::listing::BoxAddress;
use honeypulley_peer::server::{self, PeerView, PulledList, Versioned};
use honeypulley_peer::socket::receive;
use honeypulley_platform::api::Platform;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use outbox::{Outbox, OutgoingDatagram, Priority};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Runs the communication with the other boxes.
#[derive(Debug)]
pub struct PeerDuty {
    /// Shared state of this box.
    pub mesh: Arc<Mesh>,
    /// The platform, as a fallback source of missed tables.
    pub platform: Arc<dyn Platform>,
    /// Bound UDP socket, kept across restarts of the duty.
    pub socket: UdpSocket,
    /// Bound TCP listener, kept across restarts of the duty.
    pub listener: TcpListener,
}

/// State of the duty, confined to its thread.
struct Node {
    mesh: Arc<Mesh>,
    platform: Arc<dyn Platform>,
    socket: tokio::net::UdpSocket,
    outbox: Outbox,
    /// Number of list pulls in progress.
    pulls: Cell<u32>,
    /// When to ask a peer for the address book or the list while this box has none.
    cold_pulls: RefCell<PullSchedule>,
    /// Wakes the task that asks peers for them.
    cold_wakeup: Notify,
    sequence: RefCell<SequenceCounter>,
    seen: RefCell<DuplicateFilter>,
    /// Boxes that sent a hello and have not been announced yet.
    newcomers: RefCell<Vec<BoxAddress>>,
    /// Wakes the task that announces newcomers.
    newcomer_added: Notify,
    /// Index of the held request with which the next broadcast starts.
    held_cursor: Cell<usize>,
    /// Queries sent to unknown boxes in the current hello interval.
    queries_sent: Cell<u32>,
}

impl Duty for PeerDuty {
    fn name(&self) -> &'static str {
        "peer"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            let socket = tokio::net::UdpSocket::from_std(self.socket.try_clone()?)?;
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            let node = Rc::new(Node {
                mesh: Arc::clone(&self.mesh),
                platform: Arc::clone(&self.platform),
                socket,
                outbox: Outbox::new(),
                pulls: Cell::new(0),
                cold_pulls: RefCell::default(),
                cold_wakeup: Notify::new(),
                sequence: RefCell::new(SequenceCounter::random_start(&mut fastrand::Rng::new())),
                seen: RefCell::default(),
                newcomers: RefCell::default(),
                newcomer_added: Notify::new(),
                held_cursor: Cell::new(0),
                // Starts at the limit, so that unknown boxes are not queried until the first hello
                // interval: the platform's list of boxes may name them by then.
                queries_sent: Cell::new(discovery::MAX_QUERIES),
            });
            tokio::select! {
                r = node.receive() => r,
                r = node.accept(&listener) => r,
                () = node.run_beacons() => Ok(()),
                () = node.broadcast_updates() => Ok(()),
                () = node.broadcast_new_requests() => Ok(()),
                () = node.outbox.run(&node.socket) => Ok(()),
                () = node.catch_up() => Ok(()),
                () = node.load_from_peers() => Ok(()),
                () = node.repair_list() => Ok(()),
                () = node.pull_tables() => Ok(()),
                () = node.introduce_self() => Ok(()),
                () = node.announce_newcomers() => Ok(()),
                () = node.send_beliefs() => Ok(()),
                () = shutdown.stop.cancelled() => Ok(()),
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
                Some(d) => self.handle(d, from),
                None => log::warn!(peer:display = from; "peer: a datagram of {from} is not ours"),
            }
        }
    }

    fn handle(&self, d: Datagram, from: SocketAddr) {
        if d.sender == self.mesh.id {
            return;
        }
        let is_hall_known = {
            let mut book = self.mesh.address_book();
            book.record_contact(d.sender, self.mesh.now());
            book.knows(d.sender)
        };
        if !is_hall_known && !matches!(d.body, Body::Hello { .. }) {
            self.query_sender(from);
        }
        match d.body {
            // Only a hello is certain to come from its sender's own address; any other
            // datagram may have been forwarded by a box of this data hall.
            Body::Hello { hall, relay_port, fast_link, wants_book, wants_beliefs } => {
                let sender = BoxAddress { id: d.sender, addr: from, hall, relay_port, fast_link };
                let is_new = self.mesh.add_address(sender.clone());
                self.handle_hello(sender, is_new, wants_book);
                if wants_beliefs {
                    self.mesh.belief_requests.push(from);
                }
            }
            Body::Book(boxes) => self.handle_book(boxes),
            Body::Beacon(b) => self.mesh.apply_beacon(d.sender, from, b),
            Body::News { seq, items } => {
                if self.seen.borrow_mut().is_new(d.sender, seq) {
                    let (from, at) = (d.sender, self.mesh.now());
                    let updates = items.into_iter().map(|item| ReceivedUpdate { from, item, at });
                    updates.for_each(|u| self.mesh.updates_in.push(u));
                }
            }
            Body::Requests { seq, items } => {
                if self.seen.borrow_mut().is_new(d.sender, seq) {
                    self.mesh.apply_request_updates(items);
                }
            }
            Body::Forward(sealed) => self.handle_forward(sealed, from),
            Body::Changes(t) => self.mesh.apply_peer_changes(d.sender, t, from),
            Body::Evacuations { upto, halls } => {
                let halls = halls.into_iter().collect();
                self.mesh.apply_evacuations(upto, halls, &from.to_string());
            }
            Body::Want { after } => self.answer_request(after, from),
            // Used only by fleets with collectors and bundles.
            Body::Ask { .. }
            | Body::Tell { .. }
            | Body::Rumour { .. }
            | Body::Report { .. }
            | Body::Verdict(_) => {
                log::debug!(
                    peer:display = from;
                    "peer: ignored a datagram of {from}, which is for fleets with bundles"
                );
            }
        }
    }

    /// Forwards a datagram to this data hall, and handles it locally.
    fn handle_forward(&self, sealed: Bytes, from: SocketAddr) {
        let inner = Datagram::open(&sealed, &self.mesh.settings.key);
        let Some(inner) = inner.filter(|d| !matches!(d.body, Body::Forward(_))) else {
            log::warn!(peer:display = from; "peer: a datagram forwarded by {from} is not ours");
            return;
        };
        let to: Vec<SocketAddr> = self.mesh.address_book().hall_addresses().collect();
        self.outbox.enqueue(OutgoingDatagram::new(to, sealed, Priority::of(&inner.body)));
        self.handle(inner, from);
    }

    async fn accept(&self, listener: &tokio::net::TcpListener) -> Result<()> {
        let view: Rc<dyn PeerView> = Rc::new(View(Arc::clone(&self.mesh)));
        let accepted = server::accept_on(listener, &self.mesh.settings.key, &view).await;
        accepted.wrap_err("peer: accept")
    }
}

/// The state of this box that peers can pull.
#[derive(Debug)]
struct View(Arc<Mesh>);

impl PeerView for View {
    fn table_reached(&self, number: u64) -> LocalBoxFuture<'_, ()> {
        Box::pin(self.0.wait_for_table(number))
    }

    fn table(&self) -> Versioned<Bytes> {
        self.0.table_snapshot()
    }

    fn upstreams(&self, after: Revision) -> PulledList {
        // The peer ignores an empty list and asks another box.
        self.0.list_for_peer(after)
    }

    fn list_page(&self, after: &str, is_admitted: bool) -> Option<ListPage> {
        self.0.list_page(after, is_admitted)
    }

    fn box_page(&self, after: NameId, is_admitted: bool) -> BoxAnswer {
        self.0.box_page(after, is_admitted)
    }
}
