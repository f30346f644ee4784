//! Talks to the other boxes: beacons, news, changes, and pulls of what is missed.

use crate::numbers::{Numbers, SeenNumbers};
use crate::readers::BEACON_GAP;
use crate::state::Mesh;
use crate::store::fetch_table;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_peer::codec::{Body, Datagram, MAX_ITEMS};
use honeypulley_peer::listing::{BoxAddress, Entry, MAX_BOXES, MAX_ENTRIES};
use honeypulley_peer::server::{self, Held, PeerView};
use honeypulley_peer::socket::receive;
use honeypulley_platform::api::{Object, Platform};
use honeypulley_policy::balance::News;
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that a reader leaves to one of a lower id to tell changes first.
const TELL_STEP: Duration = Duration::from_millis(60);
/// Wait before a pull is tried again.
const PULL_GAP: Duration = Duration::from_millis(150);
/// Most of the random wait before a table is fetched, so that boxes spread.
const FETCH_SPREAD_MS: u64 = 60;
/// Boxes of each other data hall that send on what concerns tables and lists.
///
/// With a third of the boxes gone unnoticed, all three are gone in 4 of 100.
const NEWS_OF_LISTS: usize = 3;
/// Boxes of each other data hall that send on what was seen of upstreams.
const NEWS_OF_UPSTREAMS: usize = 2;
/// Age of the platform's last answer above which a box says that it can't read.
///
/// Far above a fresh one, and below what is told when there was none.
const ABLE_AGE: Duration = Duration::from_secs(60);
/// Longest wait for room to send one datagram.
const SEND_TIME: Duration = Duration::from_millis(5);
/// Boxes that one which has just started asks for their beliefs.
///
/// With a third of the boxes gone unnoticed, all three are gone in 4 of 100.
const ASKED_BOXES: usize = 3;
/// Time between two hellos to the seeds while no other box is known.
const HELLO_GAP: Duration = Duration::from_millis(500);

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
    /// Highest version up to which another reader told changes.
    told: Cell<u64>,
    numbers: RefCell<Numbers>,
    seen: RefCell<SeenNumbers>,
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
                told: Cell::new(0),
                numbers: RefCell::new(Numbers::begin(&mut fastrand::Rng::new())),
                seen: RefCell::default(),
            });
            tokio::select! {
                r = node.receive() => r,
                r = node.accept(&listener) => r,
                () = node.beacon_on() => Ok(()),
                () = node.send_news() => Ok(()),
                () = node.pull_on() => Ok(()),
                () = node.greet() => Ok(()),
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
                Some(d) => self.take(d, from).await,
                None => log::warn!(peer:display = from; "peer: a datagram of {from} is not ours"),
            }
        }
    }

    async fn take(&self, d: Datagram, from: SocketAddr) {
        if d.sender == self.mesh.id {
            return;
        }
        // Only a hello comes from its sender's own address for sure; the others may
        // have been sent on by a box of this data hall.
        if let Body::Hello { hall, .. } = &d.body {
            let hall = hall.clone();
            self.mesh.learn(BoxAddress { id: d.sender, addr: from, hall });
        }
        let known = {
            let mut book = self.mesh.book();
            book.heard(d.sender, self.mesh.now());
            book.knows(d.sender)
        };
        if !known {
            self.hello(from, true).await;
        }
        match d.body {
            Body::Hello { wants_reply, .. } => {
                if wants_reply {
                    self.hello(from, false).await;
                    self.send_book(from).await;
                    self.mesh.asked.push(from);
                }
            }
            Body::Book(boxes) => {
                for b in boxes {
                    let addr = b.addr;
                    if self.mesh.learn(b) {
                        self.hello(addr, false).await;
                    }
                }
            }
            Body::Beacon(b) => self.mesh.take_beacon(d.sender, from, b),
            Body::News { seq, items } => {
                if self.seen.borrow_mut().is_new(d.sender, seq) {
                    items.into_iter().for_each(|n| self.mesh.news_in.push((d.sender, n)));
                }
            }
            Body::Forward(sealed) => self.forward(&sealed, from).await,
            Body::Changes { since, upto, entries } => {
                self.told.set(self.told.get().max(upto));
                self.mesh.apply(since, upto, entries, &from.to_string());
            }
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
    async fn forward(&self, sealed: &Bytes, from: SocketAddr) {
        let inner = Datagram::open(sealed, &self.mesh.settings.key);
        let Some(inner) = inner.filter(|d| !matches!(d.body, Body::Forward(_))) else {
            log::warn!(peer:display = from; "peer: {from} sends on what is not ours");
            return;
        };
        let to: Vec<SocketAddr> = self.mesh.book().near().collect();
        self.send_bytes(&to, sealed).await;
        Box::pin(self.take(inner, from)).await;
    }

    async fn accept(&self, listener: &tokio::net::TcpListener) -> Result<()> {
        let view: Rc<dyn PeerView> = Rc::new(View(Arc::clone(&self.mesh)));
        let accepted = server::accept_on(listener, &self.mesh.settings.key, &view).await;
        accepted.wrap_err("peer: accept")
    }

    /// Makes this box known to the seeds, and then to every box in the store.
    async fn greet(&self) {
        let mut greeted = 0;
        let mut has_asked = false;
        loop {
            let known: Vec<SocketAddr> = self.mesh.book().all().collect();
            if known.is_empty() {
                for to in self.mesh.seeds() {
                    self.hello(to, true).await;
                }
            } else if known.len() > greeted {
                for to in &known {
                    self.hello(*to, false).await;
                }
                greeted = known.len();
            }
            // Beliefs about upstreams that this box does not know would be lost.
            let ready = self.mesh.listed.load(Ordering::Relaxed) && self.mesh.table_number() > 0;
            if !has_asked && ready && !known.is_empty() {
                has_asked = true;
                self.ask_beliefs().await;
            }
            let _ = tokio::time::timeout(HELLO_GAP, self.mesh.greeting.notified()).await;
        }
    }

    /// Asks some boxes, of this data hall if there are any, what they believe.
    async fn ask_beliefs(&self) {
        let mut to: Vec<SocketAddr> = self.mesh.book().near().collect();
        if to.is_empty() {
            to = self.mesh.book().all().collect();
        }
        fastrand::shuffle(&mut to);
        to.truncate(ASKED_BOXES);
        log::info!(boxes = to.len(); "peer: {} boxes are asked what they believe", to.len());
        for addr in to {
            self.hello(addr, true).await;
        }
    }

    /// Tells boxes that have just started what this one believes of upstreams.
    async fn send_beliefs(&self) {
        loop {
            let (to, beliefs) = self.mesh.beliefs.next().await;
            for part in beliefs.chunks(MAX_ITEMS) {
                let body = self.number(part.to_vec());
                self.send_each(&[to], body).await;
            }
        }
    }

    /// Tells the others what this box has, while it is a reader.
    async fn beacon_on(&self) {
        let (mut was_reader, mut was_able) = (false, false);
        let mut number = 0;
        loop {
            self.tell_changes().await;
            let b = self.mesh.beacon();
            if b.reader || was_reader {
                was_reader = b.reader;
                was_able = b.read_age < ABLE_AGE;
                number = b.table;
                self.spread(Body::Beacon(b), NEWS_OF_LISTS).await;
            }
            let until = tokio::time::Instant::now() + BEACON_GAP;
            // A new table or a change is told at once, other wakes wait.
            loop {
                let woken = tokio::time::timeout_at(until, self.mesh.telling.notified()).await;
                let b = self.mesh.beacon();
                let able = b.read_age < ABLE_AGE;
                let news =
                    b.reader != was_reader || (b.reader && (b.table > number || able != was_able));
                if woken.is_err() || news {
                    break;
                }
                self.tell_changes().await;
            }
        }
    }

    /// Tells the others what this box learnt from the platform.
    ///
    /// The reader with the lowest id does so at once, the others only if they
    /// have not heard it from another by then.
    async fn tell_changes(&self) {
        let untold = self.mesh.take_untold();
        if untold.is_empty() {
            return;
        }
        let rank = self.mesh.readers().rank(self.mesh.now()) as u32;
        if rank > 0 {
            tokio::time::sleep(TELL_STEP * rank).await;
        }
        for (since, upto, entries) in untold {
            if rank > 0 && self.told.get() >= upto {
                continue;
            }
            let parts: Vec<&[Entry]> = entries.chunks(MAX_ENTRIES).collect();
            let last = parts.len() - 1;
            for (i, part) in parts.into_iter().enumerate() {
                // Only the last part completes the version.
                let upto = if i == last { upto } else { since };
                let entries = part.to_vec();
                self.spread(Body::Changes { since, upto, entries }, NEWS_OF_LISTS).await;
            }
        }
    }

    /// Tells the others what this box sees of upstreams, as it sees it.
    async fn send_news(&self) {
        let news = &self.mesh.news_out;
        loop {
            let mut batch = vec![news.next().await];
            while batch.len() < MAX_ITEMS
                && let Some(n) = news.pop()
            {
                batch.push(n);
            }
            let (near, all): (Vec<News>, Vec<News>) =
                batch.into_iter().partition(|n| matches!(n, News::Open { .. }));
            if !all.is_empty() {
                let body = self.number(all);
                self.spread(body, NEWS_OF_UPSTREAMS).await;
            }
            if !near.is_empty() {
                let to: Vec<SocketAddr> = self.mesh.book().near().collect();
                let body = self.number(near);
                self.send_each(&to, body).await;
            }
        }
    }

    fn number(&self, items: Vec<News>) -> Body {
        Body::News { seq: self.numbers.borrow_mut().next(), items }
    }

    /// Pulls tables and lists that others have and this box misses.
    async fn pull_on(&self) {
        loop {
            self.mesh.pulling.notified().await;
            loop {
                let missed = self.mesh.missed();
                if missed.table.is_none() && missed.list.is_none() {
                    break;
                }
                if let Some((number, from)) = missed.table {
                    self.pull_table(number, from).await;
                }
                if let Some((_, from)) = missed.list
                    && let Err(e) = self.pull_list(from).await
                {
                    log::info!("list: not pulled: {e}");
                }
                let left = self.mesh.missed();
                if left.table.is_none() && left.list.is_none() {
                    break;
                }
                tokio::time::sleep(PULL_GAP.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }

    /// Takes a newer table from the platform, or from the box that told of it.
    async fn pull_table(&self, number: u64, from: SocketAddr) {
        let wait = fastrand::u64(..=FETCH_SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        match fetch_table(&self.mesh, self.platform.as_ref()).await {
            Ok(Some(o)) => self.mesh.take_table(&o, "platform"),
            Ok(None) => log::warn!("table: the platform has none"),
            Err(e) => log::info!("table: not read from the platform: {e}"),
        }
        if self.mesh.table_number() >= number {
            return;
        }
        if let Err(e) = self.pull_table_from(from).await {
            log::info!("table: not pulled: {e}");
        }
    }

    async fn pull_table_from(&self, from: SocketAddr) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let Held { version, value } = peer.table().await?;
        if version > 0 {
            let key = self.mesh.decoder.keys().table.clone();
            self.mesh.take_table(&Object { key, value, version }, &from.to_string());
        }
        Ok(())
    }

    async fn pull_list(&self, from: SocketAddr) -> Result<(), PeerError> {
        let peer = PeerClient::connect(from, &self.mesh.settings.key).await?;
        let Held { version, value } = peer.upstreams().await?;
        if version > 0 {
            let hold = self.mesh.readers().hold(self.mesh.now());
            self.mesh.replace(version, value, hold, &from.to_string());
        }
        Ok(())
    }

    async fn hello(&self, to: SocketAddr, wants_reply: bool) {
        let hall = self.mesh.settings.hall.clone();
        self.send_each(&[to], Body::Hello { hall, wants_reply }).await;
    }

    async fn send_book(&self, to: SocketAddr) {
        let boxes: Vec<BoxAddress> = self.mesh.book().entries().cloned().collect();
        for part in boxes.chunks(MAX_BOXES) {
            self.send_each(&[to], Body::Book(part.to_vec())).await;
        }
    }

    /// Sends to every box: to this data hall itself, and to each other one through
    /// `delegates` of its boxes, which send it on.
    ///
    /// So a box sends to as many as its own data hall has, whatever the fleet's
    /// size, and each other data hall is reached by few datagrams.
    async fn spread(&self, body: Body, delegates: usize) {
        let sealed = self.seal(body);
        let (near, far) = {
            let book = self.mesh.book();
            let near: Vec<SocketAddr> = book.near().collect();
            let mut rng = fastrand::Rng::new();
            (near, book.delegates(delegates, self.mesh.now(), &mut rng))
        };
        self.send_bytes(&near, &sealed).await;
        let forward = self.seal(Body::Forward(sealed));
        self.send_bytes(&far, &forward).await;
    }

    async fn send_each(&self, to: &[SocketAddr], body: Body) {
        let sealed = self.seal(body);
        self.send_bytes(to, &sealed).await;
    }

    fn seal(&self, body: Body) -> Bytes {
        Datagram { sender: self.mesh.id, body }.seal(&self.mesh.settings.key).into()
    }

    async fn send_bytes(&self, to: &[SocketAddr], bytes: &[u8]) {
        for addr in to {
            // A datagram that is lost is made good by the next beacon; waiting for a
            // full link would keep this box from hearing the others.
            let sent = tokio::time::timeout(SEND_TIME, self.socket.send_to(bytes, addr)).await;
            match sent {
                Ok(Ok(_)) => {}
                Ok(Err(e)) => log::debug!(peer:display = addr; "peer: not sent to {addr}: {e}"),
                Err(_) => {
                    log::warn!(peer:display = addr; "peer: not sent to {addr}: the link is full");
                }
            }
        }
    }
}

/// What this box shows to peers.
#[derive(Debug)]
struct View(Arc<Mesh>);

impl PeerView for View {
    fn table(&self) -> Held<Bytes> {
        self.0.held_table()
    }

    fn upstreams(&self) -> Held<Vec<Entry>> {
        self.0.held_list()
    }
}
