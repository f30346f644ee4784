//! Exchanges evidence, verdicts, versions and bundles with the other boxes.

use crate::context::Context;
use crate::{pull, status};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use honeypulley_bundle::head::Version;
use honeypulley_bundle::parts::{Digest, Manifest};
use honeypulley_peer::client::PeerClient;
use honeypulley_peer::codec::{Body, Datagram, report_bodies};
use honeypulley_peer::server::{self, HeldPermits, PeerView};
use honeypulley_peer::socket::receive;
use honeypulley_platform::roster::Roster;
use honeypulley_policy::collector::{NameId, Report};
use honeypulley_policy::permits::PermitView;
use honeypulley_policy::placement;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::spawn_local;

/// Mean time between two version queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);
/// Number of peers to which a new version is announced.
const ANNOUNCE_FANOUT: usize = 8;
/// Maximum number of queries awaiting an answer.
const MAX_QUERIES: usize = 64;
/// Datagrams sent in a burst before a pause of 1 ms.
const SEND_BURST: usize = 32;

/// Exchanges messages with the other boxes.
#[derive(Debug)]
pub struct PeerDuty {
    /// State shared between the duties.
    pub ctx: Arc<Context>,
    /// Bound UDP socket; it stays open while the duty restarts.
    pub socket: UdpSocket,
    /// Bound TCP listener; it stays open while the duty restarts.
    pub listener: TcpListener,
}

/// State of the duty, local to its thread.
struct Node {
    ctx: Arc<Context>,
    socket: tokio::net::UdpSocket,
    queries: RefCell<HashMap<u64, Time>>,
    pulling: Cell<bool>,
    collectors: RefCell<CollectorCache>,
}

/// Caches the placement of collectors for one bundle and roster.
#[derive(Default)]
struct CollectorCache {
    bundle: Version,
    roster: Option<Arc<Roster>>,
    names: HashMap<NameId, String>,
    collectors: HashMap<NameId, Vec<Option<SocketAddr>>>,
}

impl CollectorCache {
    fn is_for(&self, roster: &Arc<Roster>) -> bool {
        self.roster.as_ref().is_some_and(|r| Arc::ptr_eq(r, roster))
    }
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
                ctx: Arc::clone(&self.ctx),
                socket,
                queries: RefCell::default(),
                pulling: Cell::new(false),
                collectors: RefCell::default(),
            });
            tokio::select! {
                r = node.receive() => r,
                r = node.accept(&listener) => r,
                () = node.query_peers() => Ok(()),
                () = node.send_updates() => Ok(()),
                () = node.fetch_roster() => Ok(()),
                () = shutdown.stop.cancelled() => Ok(()),
            }
        })
    }
}

impl Node {
    async fn receive(self: &Rc<Self>) -> Result<()> {
        loop {
            let received = receive(&self.socket, &self.ctx.settings.key).await;
            let (datagram, from) = received.wrap_err("peer: receive")?;
            match datagram {
                Some(d) => self.handle(d, from).await,
                None => self.ctx.shared.gate.count("peer.refused"),
            }
        }
    }

    async fn handle(self: &Rc<Self>, d: Datagram, from: SocketAddr) {
        match d.body {
            Body::Ask { nonce } => {
                let (permits, confirmed) = self.ctx.permits_revision();
                let bundle = self.ctx.keeper().version();
                let age = confirmed.map(|at| self.ctx.now().since(at));
                self.send(from, Body::Tell { nonce, bundle, permits, age }).await;
            }
            Body::Tell { nonce, bundle, permits, age } => {
                let queried_at = self.queries.borrow_mut().remove(&nonce);
                if let Some(queried_at) = queried_at {
                    self.handle_versions(d.sender, from, queried_at, bundle, permits, age);
                }
            }
            Body::Rumour { bundle } => {
                self.ctx.record_contact();
                if bundle > self.ctx.keeper().version() {
                    self.start_pull(from, true, None);
                }
            }
            Body::Report { service, items } => {
                let report = Report { service, reporter: d.sender, items };
                self.ctx.reports_in.push(report);
            }
            Body::Verdict(v) => self.ctx.shared.feed.verdicts.push(v),
            // Used only by fleets that run on a platform's store, which have no collectors.
            Body::Hello { .. }
            | Body::Book(_)
            | Body::Beacon(_)
            | Body::News { .. }
            | Body::Requests { .. }
            | Body::Forward(_)
            | Body::Changes(_)
            | Body::Want { .. }
            | Body::Evacuations { .. } => self.ctx.shared.gate.count("peer.refused"),
        }
    }

    fn handle_versions(
        self: &Rc<Self>,
        peer: NameId,
        from: SocketAddr,
        queried_at: Time,
        bundle: Version,
        permits: Revision,
        age: Option<Duration>,
    ) {
        self.ctx.record_peer_version(peer, bundle);
        // The age refers to the time of the answer. Subtracting it from the earlier time
        // of the query never makes the permits look fresher than they are.
        let confirmed = age.map(|a| queried_at.before(a));
        let (own, at) = self.ctx.permits_revision();
        let newer = confirmed.filter(|c| at.is_none_or(|at| *c > at));
        let want_bundle = bundle > self.ctx.keeper().version();
        if let Some(c) = newer
            && permits == own
        {
            self.ctx.merge_permits(&[], permits, c);
        }
        let want_permits = newer.is_some() && permits > own;
        if want_bundle || want_permits {
            self.start_pull(from, want_bundle, want_permits.then_some(()));
        }
    }

    /// Starts a pull from a peer unless one is in flight.
    ///
    /// The answer to a later query triggers a skipped pull again.
    fn start_pull(self: &Rc<Self>, from: SocketAddr, bundle: bool, permits: Option<()>) {
        if self.pulling.replace(true) {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            if let Err(e) = node.pull(from, bundle, permits.is_some()).await {
                log::info!(peer:display = from; "peer: pull from {from} failed: {e:#}");
            }
            node.pulling.set(false);
        });
    }

    async fn pull(&self, from: SocketAddr, bundle: bool, permits: bool) -> Result<()> {
        let peer = PeerClient::connect(from, &self.ctx.settings.key).await?;
        if bundle {
            pull::from_peer(&self.ctx, &peer, &self.name_of(from)).await?;
        }
        if permits {
            let queried_at = self.ctx.now();
            let held = peer.permits().await?;
            let records = serde_json::from_slice(&held.json).wrap_err("peer: permits")?;
            if let Some(age) = held.age {
                let view = PermitView { records, confirmed: None };
                self.ctx.replace_permits(view, held.version, queried_at.before(age));
            }
        }
        Ok(())
    }

    async fn accept(self: &Rc<Self>, listener: &tokio::net::TcpListener) -> Result<()> {
        let view: Rc<dyn PeerView> = Rc::new(View(Arc::clone(&self.ctx)));
        let accepted = server::accept_on(listener, &self.ctx.settings.key, &view).await;
        accepted.wrap_err("peer: accept")
    }

    /// Queries the versions of relays of this hall and of other boxes, alternately.
    async fn query_peers(&self) {
        let mut round = 0u32;
        loop {
            let target = if round.is_multiple_of(2) { self.random_relay() } else { None };
            if let Some(to) = target.or_else(|| self.random_peers(1).pop()) {
                let nonce = fastrand::u64(..);
                {
                    let mut queries = self.queries.borrow_mut();
                    if queries.len() >= MAX_QUERIES {
                        queries.clear();
                    }
                    queries.insert(nonce, self.ctx.now());
                }
                self.send(to, Body::Ask { nonce }).await;
            }
            round = round.wrapping_add(1);
            // A box that has not joined queries more often, to join sooner.
            let interval = if self.ctx.is_joined() { QUERY_INTERVAL } else { QUERY_INTERVAL / 7 };
            tokio::time::sleep(interval.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        }
    }

    async fn send_updates(&self) {
        let ctx = &self.ctx;
        loop {
            tokio::select! {
                v = ctx.rumours.recv() => {
                    for to in self.random_peers(ANNOUNCE_FANOUT) {
                        self.send(to, Body::Rumour { bundle: v }).await;
                    }
                }
                v = ctx.verdicts_out.recv() => {
                    for (i, to) in self.random_peers(usize::MAX).into_iter().enumerate() {
                        self.send(to, Body::Verdict(v)).await;
                        if (i + 1).is_multiple_of(SEND_BURST) {
                            tokio::time::sleep(Duration::from_millis(1)).await;
                        }
                    }
                }
                r = ctx.shared.feed.reports.recv() => self.send_report(&r).await,
            }
        }
    }

    async fn send_report(&self, r: &Report) {
        for to in self.collectors_of(r.service) {
            let Some(to) = to else {
                self.ctx.reports_in.push(r.clone());
                continue;
            };
            for body in report_bodies(r) {
                self.send(to, body).await;
            }
        }
    }

    /// Returns the addresses of a service's collectors; `None` stands for this box.
    fn collectors_of(&self, service: NameId) -> Vec<Option<SocketAddr>> {
        let (Some(roster), Some(f)) = (self.ctx.roster(), self.ctx.bundle()) else {
            return Vec::new();
        };
        let mut cache = self.collectors.borrow_mut();
        if cache.bundle != f.head.version || !cache.is_for(&roster) {
            *cache = CollectorCache {
                bundle: f.head.version,
                roster: Some(Arc::clone(&roster)),
                ..CollectorCache::default()
            };
            cache.names =
                f.bundle.services().map(|s| (NameId::of(&s.name), s.name.clone())).collect();
        }
        if let Some(found) = cache.collectors.get(&service) {
            return found.clone();
        }
        let Some(name) = cache.names.get(&service) else { return Vec::new() };
        let boxes = roster.live_boxes().map(|b| b.name.as_str());
        let chosen = placement::collectors(name, boxes);
        let address =
            |n: &str| roster.boxes.iter().find(|b| b.name == n).and_then(|b| b.peer.parse().ok());
        let found: Vec<Option<SocketAddr>> = chosen
            .into_iter()
            .filter_map(
                |n| if n == self.ctx.settings.name { Some(None) } else { address(n).map(Some) },
            )
            .collect();
        cache.collectors.insert(service, found.clone());
        found
    }

    /// Fetches the roster from the seeds until one is received.
    async fn fetch_roster(&self) {
        while self.ctx.roster().is_none() {
            for &addr in &self.ctx.settings.seeds {
                let got = async {
                    PeerClient::connect(addr, &self.ctx.settings.key).await?.roster().await
                };
                match got.await {
                    Ok(json) if !json.is_empty() && self.ctx.roster().is_none() => {
                        self.ctx.set_roster(json);
                    }
                    Ok(_) => {}
                    Err(e) => log::info!(peer:display = addr; "join: no roster from {addr}: {e}"),
                }
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        std::future::pending::<()>().await;
    }

    fn random_relay(&self) -> Option<SocketAddr> {
        let roster = self.ctx.roster()?;
        let relays = self.ctx.relays();
        let mut addrs: Vec<SocketAddr> = roster
            .live_boxes()
            .filter(|b| b.name != self.ctx.settings.name && relays.contains(&b.name))
            .filter_map(|b| b.peer.parse().ok())
            .collect();
        fastrand::shuffle(&mut addrs);
        addrs.pop()
    }

    /// Returns the addresses of up to `k` other live boxes in random order.
    fn random_peers(&self, k: usize) -> Vec<SocketAddr> {
        let Some(roster) = self.ctx.roster() else { return Vec::new() };
        let others = roster.live_boxes().filter(|b| b.name != self.ctx.settings.name);
        let mut addrs: Vec<SocketAddr> = others.filter_map(|b| b.peer.parse().ok()).collect();
        fastrand::shuffle(&mut addrs);
        addrs.truncate(k);
        addrs
    }

    fn name_of(&self, addr: SocketAddr) -> String {
        let text = addr.to_string();
        let named = self
            .ctx
            .roster()
            .and_then(|r| r.boxes.iter().find(|b| b.peer == text).map(|b| b.name.clone()));
        named.unwrap_or(text)
    }

    async fn send(&self, to: SocketAddr, body: Body) {
        let bytes = Datagram { sender: self.ctx.id, body }.seal(&self.ctx.settings.key);
        self.ctx.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.ctx.shared.gate.count_by("peer.sent_bytes", bytes.len());
        // Errors are ignored: the next query makes up for a lost datagram.
        let _ = self.socket.send_to(&bytes, to).await;
    }
}

/// Serves the state of this box to peers and operators.
#[derive(Debug)]
struct View(Arc<Context>);

impl PeerView for View {
    fn head(&self) -> Bytes {
        let f = self.0.bundle();
        f.and_then(|f| serde_json::to_vec(&f.head).ok()).map(Bytes::from).unwrap_or_default()
    }

    fn manifest(&self) -> Option<Manifest> {
        self.0.bundle().map(|f| f.manifest.clone())
    }

    fn remembered(&self, d: &Digest) -> Option<Manifest> {
        self.0.keeper().remembered(d).cloned()
    }

    fn part(&self, d: &Digest) -> Option<Bytes> {
        self.0.bundle().and_then(|f| f.parts.get(d).cloned())
    }

    fn permits(&self) -> HeldPermits {
        let held = self.0.permits();
        let age = held.view.confirmed.map(|at| self.0.now().since(at));
        let json = serde_json::to_vec(&held.view.records).unwrap_or_default().into();
        HeldPermits { version: held.version, age, json }
    }

    fn status(&self) -> Bytes {
        serde_json::to_vec(&status::collect(&self.0)).unwrap_or_default().into()
    }

    fn roster(&self) -> Bytes {
        self.0.roster_json()
    }
}
