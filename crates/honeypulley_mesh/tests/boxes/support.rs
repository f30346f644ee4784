//! Boxes that talk over loopback, with a relay between two of them that loses what a
//! test says.

use bytes::Bytes;
use honeypulley_mesh::decoder::{DecodeError, Decoder, StoreKeys};
use honeypulley_mesh::prelude::*;
use honeypulley_peer::codec::{Body, Datagram};
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::listing::{BoxAddress, EntryState};
use honeypulley_platform::api::{Changes, Object, Platform};
use honeypulley_platform::memory::MemoryPlatform;
use honeypulley_policy::balance::Listed;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::routes::{CallerLimits, RouteTable};
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Stop, Tree};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Prefix of upstreams in the store.
const UPSTREAMS: &str = "u/";

/// Reads an upstream's entry, whose value is `live` or `leaving` (no other is one), perhaps with
/// a colon and its start, and a routing table, whose value is its number.
#[derive(Debug)]
struct TestDecoder(StoreKeys);

impl Decoder for TestDecoder {
    fn keys(&self) -> &StoreKeys {
        &self.0
    }

    fn table(&self, o: &Object) -> Result<RouteTable, DecodeError> {
        let malformed = |cause| DecodeError { key: o.key.clone(), version: o.version, cause };
        let number: u64 = String::from_utf8_lossy(&o.value)
            .parse()
            .map_err(|e: std::num::ParseIntError| malformed(e.to_string()))?;
        RouteTable::new(number, Vec::new(), Vec::new(), CallerLimits::default())
            .map_err(|e| malformed(e.to_string()))
    }

    fn upstream(&self, o: &Object) -> Result<Listed, DecodeError> {
        let text = String::from_utf8_lossy(&o.value);
        let (state, born) = text.split_once(':').unwrap_or((&text, ""));
        let state = match state {
            "live" => MemberState::Live,
            "leaving" => MemberState::Leaving,
            _ => {
                let cause = "no entry of an upstream".to_owned();
                return Err(DecodeError { key: o.key.clone(), version: o.version, cause });
            }
        };
        let member = Member {
            name: o.key.trim_start_matches(UPSTREAMS).to_owned(),
            service: "s".to_owned(),
            addr: "10.0.0.1:80".to_owned(),
            hall: "hall-a".to_owned(),
            state,
        };
        Ok(Listed { member, slots: 3, cold: Duration::ZERO, born: born.parse().ok() })
    }
}

/// A position in the one epoch of these tests.
pub const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

/// An upstream's entry as the platform keeps it.
pub fn entry(name: &str, state: &'static str, version: u64) -> Object {
    Object {
        key: format!("{UPSTREAMS}{name}"),
        value: Bytes::from_static(state.as_bytes()),
        version: at(version),
    }
}

/// A routing table as the platform keeps it.
pub fn table(number: &'static str, version: u64) -> Object {
    Object {
        key: "t/main".to_owned(),
        value: Bytes::from_static(number.as_bytes()),
        version: at(version),
    }
}

/// Binds a port for connections and datagrams alike.
fn bind() -> (TcpListener, UdpSocket, SocketAddr) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        // Another test may have the same number for datagrams.
        if let Ok(socket) = UdpSocket::bind(addr) {
            return (listener, socket, addr);
        }
    }
}

pub fn key() -> FleetKey {
    FleetKey::derive("a-key-of-the-tests-alone")
}

/// Builds the shared state of a box.
pub fn mesh(settings: MeshSettings) -> Arc<Mesh> {
    mesh_by(settings, Clock::start())
}

/// Builds the shared state of a box that goes by a clock.
pub fn mesh_by(settings: MeshSettings, clock: Clock) -> Arc<Mesh> {
    let keys = StoreKeys {
        table: "t/main".to_owned(),
        tables: "t/".to_owned(),
        upstreams: UPSTREAMS.to_owned(),
        boxes: "b/".to_owned(),
        held: "h/requests".to_owned(),
    };
    let leaving = Arc::new(AtomicBool::new(false));
    Arc::new(Mesh::new(settings, clock, Arc::new(TestDecoder(keys)), leaving))
}

/// A box that talks to its peers; the test is its store.
pub struct TestBox {
    pub mesh: Arc<Mesh>,
    pub addr: SocketAddr,
    hall: String,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl TestBox {
    /// Starts a box that holds ten upstreams, `u0` to `u9`, all live, at version 10.
    pub fn start(name: &str, hall: &str) -> Self {
        Self::start_on(name, hall, Vec::new(), Arc::new(MemoryPlatform::default()))
    }

    /// Starts such a box with seeds before a platform.
    pub fn start_on(
        name: &str,
        hall: &str,
        seeds: Vec<SocketAddr>,
        platform: Arc<dyn Platform>,
    ) -> Self {
        let b = Self::start_bare(name, hall, seeds, platform);
        let objects = (0..10).map(|i| entry(&format!("u{i}"), "live", i + 1)).collect();
        b.mesh.take_list(&Changes { version: at(10), objects, removed: Vec::new() }, "the test");
        b
    }

    /// Starts a box that holds nothing.
    pub fn start_empty(name: &str, hall: &str) -> Self {
        Self::start_bare(name, hall, Vec::new(), Arc::new(MemoryPlatform::default()))
    }

    fn start_bare(
        name: &str,
        hall: &str,
        seeds: Vec<SocketAddr>,
        platform: Arc<dyn Platform>,
    ) -> Self {
        let (listener, socket, addr) = bind();
        listener.set_nonblocking(true).expect("it can be set");
        socket.set_nonblocking(true).expect("it can be set");
        let settings = MeshSettings::builder().name(name).hall(hall).peer(addr).key(key());
        let mesh = mesh(settings.seeds(seeds).build());
        let stop = Stop::default();
        let duty = PeerDuty { mesh: Arc::clone(&mesh), platform, socket, listener };
        let tree = Tree::new(stop.clone()).duty(duty);
        let thread = std::thread::spawn(move || tree.run().expect("it runs"));
        Self { mesh, addr, hall: hall.to_owned(), stop, thread: Some(thread) }
    }

    /// Makes this box a reader of the platform, which has just answered it.
    pub fn read(&self) {
        let now = self.mesh.now();
        self.mesh.readers().decide(1, 0.0, now);
        self.mesh.readers().answered(now);
        assert!(self.mesh.readers().is_reading());
    }

    /// Makes another box known to this one, at `addr`.
    pub fn know(&self, other: &Self, addr: SocketAddr) {
        self.mesh.learn(BoxAddress { id: other.mesh.id, addr, hall: other.hall.clone() });
    }

    /// Tells whether the list of this box shows an upstream as gone or leaving.
    pub fn knows_left(&self, name: &str) -> bool {
        let list = self.mesh.held_list().value;
        let found = list.iter().find(|e| e.name == name);
        !found.is_some_and(
            |e| matches!(&e.state, EntryState::Present(l) if l.member.state == MemberState::Live),
        )
    }

    /// Waits until this box knows that all of these have left; returns those that it
    /// does not know in time.
    pub fn until_left(&self, names: &[String], within: Duration) -> Vec<String> {
        let began = Instant::now();
        loop {
            let unknown: Vec<String> =
                names.iter().filter(|n| !self.knows_left(n)).cloned().collect();
            if unknown.is_empty() || began.elapsed() > within {
                return unknown;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for TestBox {
    fn drop(&mut self) {
        self.stop.halt.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

/// What a relay does with connections from the second box to the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// They are refused.
    Refused,
    /// They come up and say nothing.
    Hung,
}

/// What a relay does with a datagram.
pub type Passes = Box<dyn FnMut(NameId, &Body) -> bool + Send>;

/// A relay between two boxes, each of which sees the other at the relay's address.
///
/// Its threads end with the test's process.
pub struct Relay {
    /// Held open, so that connections come up and nobody answers them.
    _hung: Option<TcpListener>,
}

impl Relay {
    /// Starts a relay that passes datagrams to the second box by `forth`, and to the
    /// first by `back`; both boxes know each other by it from then on.
    pub fn start(
        first: &TestBox,
        second: &TestBox,
        connections: Connections,
        forth: Passes,
        back: Passes,
    ) -> Self {
        let (hung, at_first, as_first) = bind();
        let at_second = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        let as_second = at_second.local_addr().expect("it is bound");
        let hung = (connections == Connections::Hung).then_some(hung);
        let (from_second, from_first) = (clone(&at_first), clone(&at_second));
        pass(from_first, at_first, second.addr, forth);
        pass(from_second, at_second, first.addr, back);
        second.know(first, as_first);
        first.know(second, as_second);
        Self { _hung: hung }
    }
}

fn clone(s: &UdpSocket) -> UdpSocket {
    s.try_clone().expect("a socket can be cloned")
}

/// Passes what comes in at `from` on to a box, from the address of `by`.
fn pass(from: UdpSocket, by: UdpSocket, to: SocketAddr, mut passes: Passes) {
    std::thread::spawn(move || {
        let mut buffer = [0; 2_000];
        while let Ok((n, _)) = from.recv_from(&mut buffer) {
            let Some(d) = Datagram::open(&buffer[..n], &key()) else { continue };
            if passes(d.sender, &d.body) {
                let _ = by.send_to(&buffer[..n], to);
            }
        }
    });
}

/// Passes everything.
pub fn all() -> Passes {
    Box::new(|_, _| true)
}

/// Passes nothing.
pub fn nothing() -> Passes {
    Box::new(|_, _| false)
}

/// Returns what a datagram says, also if it is to be sent on.
pub fn said(body: &Body) -> Body {
    match body {
        Body::Forward(sealed) => Datagram::open(sealed, &key()).expect("it was sealed").body,
        other => other.clone(),
    }
}
