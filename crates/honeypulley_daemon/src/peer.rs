//! Talks to the other boxes: evidence, verdicts, versions and pulls.

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

/// Time between two questions to a peer.
const ASK_GAP: Duration = Duration::from_millis(700);
/// Peers that a new version is announced to at once.
const RUMOUR_FANOUT: usize = 8;
/// Questions whose answer is still awaited.
const MAX_ASKED: usize = 64;
/// Datagrams sent to one peer list before a short pause.
const PACE: usize = 32;

/// Talks to the other boxes.
#[derive(Debug)]
pub struct PeerDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
    /// Bound UDP port; it outlives restarts of the duty.
    pub socket: UdpSocket,
    /// Bound TCP port; it outlives restarts of the duty.
    pub listener: TcpListener,
}

/// The duty's state on its own thread.
struct Node {
    ctx: Arc<Context>,
    socket: tokio::net::UdpSocket,
    asked: RefCell<HashMap<u64, Time>>,
    pulling: Cell<bool>,
    drawn: RefCell<Drawn>,
}

/// Collectors drawn so far, for one bundle and list.
#[derive(Default)]
struct Drawn {
    bundle: Version,
    roster: Option<Arc<Roster>>,
    names: HashMap<NameId, String>,
    collectors: HashMap<NameId, Vec<Option<SocketAddr>>>,
}

impl Drawn {
    fn is_of(&self, roster: &Arc<Roster>) -> bool {
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
                asked: RefCell::default(),
                pulling: Cell::new(false),
                drawn: RefCell::default(),
            });
            tokio::select! {
                r = node.receive() => r,
                r = node.accept(&listener) => r,
                () = node.ask_on() => Ok(()),
                () = node.send_news() => Ok(()),
                () = node.seed() => Ok(()),
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
                Some(d) => self.take(d, from).await,
                None => self.ctx.shared.gate.count("peer.refused"),
            }
        }
    }

    async fn take(self: &Rc<Self>, d: Datagram, from: SocketAddr) {
        match d.body {
            Body::Ask { nonce } => {
                let (permits, confirmed) = self.ctx.permits_mark();
                let bundle = self.ctx.keeper().version();
                let age = confirmed.map(|at| self.ctx.now().since(at));
                self.send(from, Body::Tell { nonce, bundle, permits, age }).await;
            }
            Body::Tell { nonce, bundle, permits, age } => {
                let asked = self.asked.borrow_mut().remove(&nonce);
                if let Some(asked) = asked {
                    self.told(d.sender, from, asked, bundle, permits, age);
                }
            }
            Body::Rumour { bundle } => {
                self.ctx.heard();
                if bundle > self.ctx.keeper().version() {
                    self.start_pull(from, true, None);
                }
            }
            Body::Report { service, items } => {
                let report = Report { service, reporter: d.sender, items };
                self.ctx.reports_in.push(report);
            }
            Body::Verdict(v) => self.ctx.shared.feed.verdicts.push(v),
            // Spoken by fleets on a platform's store, which have no collectors.
            Body::Hello { .. }
            | Body::Book(_)
            | Body::Beacon(_)
            | Body::News { .. }
            | Body::Requests { .. }
            | Body::Forward(_)
            | Body::Changes(_)
            | Body::Want { .. } => self.ctx.shared.gate.count("peer.refused"),
        }
    }

    fn told(
        self: &Rc<Self>,
        who: NameId,
        from: SocketAddr,
        asked: Time,
        bundle: Version,
        permits: Revision,
        age: Option<Duration>,
    ) {
        self.ctx.peer_told(who, bundle);
        // The peer's age counts from its answer, which came after the question.
        let confirmed = age.map(|a| asked.before(a));
        let (mine, at) = self.ctx.permits_mark();
        let newer = confirmed.filter(|c| at.is_none_or(|at| *c > at));
        let want_bundle = bundle > self.ctx.keeper().version();
        if let Some(c) = newer
            && permits == mine
        {
            self.ctx.merge_permits(&[], permits, c);
        }
        let want_permits = newer.is_some() && permits > mine;
        if want_bundle || want_permits {
            self.start_pull(from, want_bundle, want_permits.then_some(()));
        }
    }

    /// Pulls from a peer, one at a time; what is missed now is asked for again.
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
            let asked = self.ctx.now();
            let held = peer.permits().await?;
            let records = serde_json::from_slice(&held.json).wrap_err("peer: permits")?;
            if let Some(age) = held.age {
                let view = PermitView { records, confirmed: None };
                self.ctx.replace_permits(view, held.version, asked.before(age));
            }
        }
        Ok(())
    }

    async fn accept(self: &Rc<Self>, listener: &tokio::net::TcpListener) -> Result<()> {
        let view: Rc<dyn PeerView> = Rc::new(View(Arc::clone(&self.ctx)));
        let accepted = server::accept_on(listener, &self.ctx.settings.key, &view).await;
        accepted.wrap_err("peer: accept")
    }

    /// Asks relays of this hall and any box in turn for their versions.
    async fn ask_on(&self) {
        let mut turn = 0u32;
        loop {
            let target = if turn.is_multiple_of(2) { self.any_relay() } else { None };
            if let Some(to) = target.or_else(|| self.any_peers(1).pop()) {
                let nonce = fastrand::u64(..);
                {
                    let mut asked = self.asked.borrow_mut();
                    if asked.len() >= MAX_ASKED {
                        asked.clear();
                    }
                    asked.insert(nonce, self.ctx.now());
                }
                self.send(to, Body::Ask { nonce }).await;
            }
            turn = turn.wrapping_add(1);
            // A box that has not joined asks faster.
            let gap = if self.ctx.is_joined() { ASK_GAP } else { ASK_GAP / 7 };
            tokio::time::sleep(gap.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        }
    }

    async fn send_news(&self) {
        let ctx = &self.ctx;
        loop {
            tokio::select! {
                v = ctx.rumours.recv() => {
                    for to in self.any_peers(RUMOUR_FANOUT) {
                        self.send(to, Body::Rumour { bundle: v }).await;
                    }
                }
                v = ctx.verdicts_out.recv() => {
                    for (i, to) in self.any_peers(usize::MAX).into_iter().enumerate() {
                        self.send(to, Body::Verdict(v)).await;
                        if (i + 1).is_multiple_of(PACE) {
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

    /// Returns where a service's collectors are; `None` stands for this box.
    fn collectors_of(&self, service: NameId) -> Vec<Option<SocketAddr>> {
        let (Some(roster), Some(f)) = (self.ctx.roster(), self.ctx.held()) else {
            return Vec::new();
        };
        let mut drawn = self.drawn.borrow_mut();
        if drawn.bundle != f.head.version || !drawn.is_of(&roster) {
            *drawn = Drawn {
                bundle: f.head.version,
                roster: Some(Arc::clone(&roster)),
                ..Drawn::default()
            };
            drawn.names =
                f.bundle.services().map(|s| (NameId::of(&s.name), s.name.clone())).collect();
        }
        if let Some(found) = drawn.collectors.get(&service) {
            return found.clone();
        }
        let Some(name) = drawn.names.get(&service) else { return Vec::new() };
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
        drawn.collectors.insert(service, found.clone());
        found
    }

    /// Asks the seeds for the list while there is none.
    async fn seed(&self) {
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
                    Err(e) => log::info!(peer:display = addr; "join: {e}"),
                }
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        std::future::pending::<()>().await;
    }

    fn any_relay(&self) -> Option<SocketAddr> {
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

    /// Returns up to `k` other live boxes in random order.
    fn any_peers(&self, k: usize) -> Vec<SocketAddr> {
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
        self.ctx.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.ctx.shared.gate.count_by("peer.sent_bytes", bytes.len());
        // A datagram that is lost is made good by the next question.
        let _ = self.socket.send_to(&bytes, to).await;
    }
}

/// What this box shows to peers and operators.
#[derive(Debug)]
struct View(Arc<Context>);

impl PeerView for View {
    fn head(&self) -> Bytes {
        let f = self.0.held();
        f.and_then(|f| serde_json::to_vec(&f.head).ok()).map(Bytes::from).unwrap_or_default()
    }

    fn manifest(&self) -> Option<Manifest> {
        self.0.held().map(|f| f.manifest.clone())
    }

    fn remembered(&self, d: &Digest) -> Option<Manifest> {
        self.0.keeper().remembered(d).cloned()
    }

    fn part(&self, d: &Digest) -> Option<Bytes> {
        self.0.held().and_then(|f| f.parts.get(d).cloned())
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
