//! Return of a whole fleet after a loss of power, when all boxes share the link of the store.

use crate::support::{bind, key, mesh};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::prelude::*;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::MemoryPlatform;
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Shutdown, Supervisor};
use parking_lot::Mutex;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time within which service has to be back in the strictest deployment.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time after which a box gives up a call, as the platform's client does.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Objects in one page of a list.
const PAGE: usize = 200;
/// Number of upstreams; a full list occupies the store's link for 0.2 s.
const UPSTREAMS: usize = 2_000;
/// Time for which one object occupies the store's link: 300 bytes at 24 Mbit/s.
const OBJECT_TIME: Duration = Duration::from_micros(100);

/// A platform whose answers share one link, in order of the calls.
///
/// A call that is given up has used the link all the same.
#[derive(Debug)]
struct LinkedPlatform {
    inner: MemoryPlatform,
    free_at: Mutex<Instant>,
    objects_sent: Mutex<usize>,
}

impl LinkedPlatform {
    /// Sends a page of `objects` over the link.
    async fn send_page(&self, objects: usize) -> Result<(), PlatformError> {
        let now = Instant::now();
        let sent = {
            let mut free_at = self.free_at.lock();
            *free_at = now.max(*free_at) + OBJECT_TIME * objects as u32;
            *free_at
        };
        *self.objects_sent.lock() += objects;
        tokio::time::sleep_until(sent.min(now + CALL_TIMEOUT).into()).await;
        if sent <= now + CALL_TIMEOUT {
            return Ok(());
        }
        let (peer, cause) = ("the store".to_owned(), "timed out".to_owned());
        Err(PlatformError::Unknown { peer, step: "list", cause })
    }
}

#[async_trait]
impl Platform for LinkedPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.send_page(1).await?;
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        self.send_page(1).await?;
        self.inner.put(key, value, expect).await
    }

    async fn watch(
        &self,
        p: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let changes = self.inner.watch(p, after, wait).await?;
        self.send_page(changes.objects.len()).await?;
        Ok(changes)
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        let all = self.inner.list(prefix, f).await?;
        for page in all.objects.chunks(PAGE) {
            self.send_page(page.len()).await?;
        }
        Ok(all)
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.inner.members().await
    }
}

/// A port of a box, which outlives a loss of power.
struct Port {
    name: String,
    hall: String,
    listener: TcpListener,
    socket: UdpSocket,
    addr: SocketAddr,
}

impl Port {
    fn new(i: usize, halls: usize) -> Self {
        let (listener, socket, addr) = bind();
        listener.set_nonblocking(true).expect("the listener can be non-blocking");
        socket.set_nonblocking(true).expect("the socket can be non-blocking");
        let (name, hall) = (format!("box{i}"), format!("hall-{}", i % halls));
        Self { name, hall, listener, socket, addr }
    }

    /// Writes the record that this box registered before the loss of power.
    fn register(&self, p: &MemoryPlatform) {
        let record = format!(r#"{{"peer":"{}","hall":"{}","relay":null}}"#, self.addr, self.hall);
        let key = format!("b/{}", self.name);
        let put = p.put(&key, Bytes::from(record), Expect::Absent);
        futures::executor::block_on(put).expect("the record does not exist yet");
    }

    /// Starts a box with all duties that talk to the platform and to peers.
    fn start(self, seeds: Vec<SocketAddr>, platform: Arc<dyn Platform>) -> ReturningBox {
        let is_seed = seeds.contains(&self.addr);
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|a| *a != self.addr).collect();
        let settings = MeshSettings::builder().name(self.name).hall(self.hall).peer(self.addr);
        let mesh = mesh(settings.key(key()).seeds(seeds).is_seed(is_seed).build());
        let shutdown = Shutdown::default();
        let (socket, listener) = (self.socket, self.listener);
        let peer =
            PeerDuty { mesh: Arc::clone(&mesh), platform: Arc::clone(&platform), socket, listener };
        let store = StoreDuty { mesh: Arc::clone(&mesh), platform };
        let supervisor = Supervisor::new(shutdown.clone()).duty(peer).duty(store);
        let thread = std::thread::spawn(move || supervisor.run().expect("the duties run"));
        ReturningBox { mesh, shutdown, thread: Some(thread) }
    }
}

struct ReturningBox {
    mesh: Arc<Mesh>,
    shutdown: Shutdown,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ReturningBox {
    fn drop(&mut self) {
        self.shutdown.stop.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

/// Starts all boxes of a fleet that lost power, and returns when the last has the whole list.
///
/// Also returns the number of objects that the store sent until then.
fn time_to_return(boxes: usize) -> (Option<Duration>, usize) {
    let inner = MemoryPlatform::default();
    let put = |key: &str, value: &'static str| {
        let put = inner.put(key, Bytes::from_static(value.as_bytes()), Expect::Absent);
        futures::executor::block_on(put).expect("the object does not exist yet");
    };
    put("t/main", "1");
    (0..UPSTREAMS).for_each(|i| put(&format!("u/upstream-{i}"), "live"));
    let ports: Vec<Port> = (0..boxes).map(|i| Port::new(i, 4)).collect();
    ports.iter().for_each(|p| p.register(&inner));
    let seeds: Vec<SocketAddr> = ports.iter().take(3).map(|p| p.addr).collect();
    let platform = Arc::new(LinkedPlatform {
        inner,
        free_at: Mutex::new(Instant::now()),
        objects_sent: Mutex::default(),
    });
    let began = Instant::now();
    let fleet: Vec<ReturningBox> = ports
        .into_iter()
        .map(|p| p.start(seeds.clone(), Arc::<LinkedPlatform>::clone(&platform)))
        .collect();
    let returned = |b: &ReturningBox| b.mesh.upstreams() == UPSTREAMS && b.mesh.table_version() > 0;
    while began.elapsed() < RECOVERY_LIMIT {
        if fleet.iter().all(returned) {
            return (Some(began.elapsed()), *platform.objects_sent.lock());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let back = fleet.iter().filter(|b| returned(b)).count();
    eprintln!("{back} of {boxes} boxes have the list after {RECOVERY_LIMIT:?}");
    (None, *platform.objects_sent.lock())
}

/// Guards against boxes that all read the whole list: each call outlasts its timeout on the shared
/// link and is repeated, so that the load never falls and no box gets a list.
#[rstest]
#[case::small(32)]
#[case::large(96)]
fn all_boxes_get_the_list_after_a_loss_of_power(#[case] boxes: usize) {
    let (took, objects) = time_to_return(boxes);
    println!("{boxes} boxes: {took:?}, {objects} objects sent");
    assert!(took.is_some(), "{objects} objects sent");
}
