//! Startup of a box: it reads table and list from the platform with few calls, and becomes known
//! to all other boxes without a datagram to each.

use crate::support::{TestBox, key, mesh, table_object};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::prelude::*;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::{Faults, MemoryPlatform};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Shutdown, Supervisor};
use parking_lot::Mutex;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A platform that records its calls.
#[derive(Debug, Default)]
struct RecordingPlatform {
    inner: MemoryPlatform,
    calls: Mutex<Vec<&'static str>>,
}

impl RecordingPlatform {
    fn count(&self, call: &str) -> usize {
        self.calls.lock().iter().filter(|c| **c == call).count()
    }
}

#[async_trait]
impl Platform for RecordingPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.calls.lock().push("get");
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        self.calls.lock().push("put");
        self.inner.put(key, value, expect).await
    }

    async fn watch(
        &self,
        p: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.calls.lock().push("watch");
        self.inner.watch(p, after, wait).await
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        self.calls.lock().push(if f == Freshness::Stale { "stale" } else { "list" });
        self.inner.list(prefix, f).await
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.inner.members().await
    }
}

/// Runs the store duty of one box until it is dropped.
struct JoiningBox {
    mesh: Arc<Mesh>,
    shutdown: Shutdown,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl JoiningBox {
    fn start(name: &str, platform: &Arc<RecordingPlatform>, first_start: bool) -> Self {
        Self::start_with_seeds(name, platform, first_start, Vec::new())
    }

    /// Starts a box that is none of the seeds unless there are none.
    fn start_with_seeds(
        name: &str,
        platform: &Arc<RecordingPlatform>,
        first_start: bool,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let addr: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
        let settings = MeshSettings::builder().name(name).hall("hall-a").peer(addr).key(key());
        let settings = settings.is_seed(seeds.is_empty()).seeds(seeds);
        let mesh = mesh(settings.first_start(first_start).build());
        let platform: Arc<dyn Platform> = Arc::<RecordingPlatform>::clone(platform);
        let shutdown = Shutdown::default();
        let supervisor =
            Supervisor::new(shutdown.clone()).duty(StoreDuty { mesh: Arc::clone(&mesh), platform });
        let thread = std::thread::spawn(move || supervisor.run().expect("the duty runs"));
        Self { mesh, shutdown, thread: Some(thread) }
    }

    fn wait_joined(&self) {
        wait_until("the box has joined", || self.mesh.table_version() > 0 && self.mesh.has_list());
        // The box's record is written last.
        std::thread::sleep(Duration::from_millis(100));
    }
}

impl Drop for JoiningBox {
    fn drop(&mut self) {
        self.shutdown.stop.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < Duration::from_secs(5), "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A platform with a table and one upstream.
fn platform() -> Arc<RecordingPlatform> {
    let p = Arc::new(RecordingPlatform::default());
    write(&p, "t/main", "1");
    write(&p, "u/u0", "live");
    p
}

/// Writes a new object as the operator does and returns its revision.
fn write(p: &RecordingPlatform, key: &str, value: &'static str) -> Revision {
    let put = p.inner.put(key, Bytes::from_static(value.as_bytes()), Expect::Absent);
    futures::executor::block_on(put).expect("the object does not exist yet")
}

/// Guards against fresh reads at startup.
///
/// Four fresh calls per box and start made up three quarters of all calls in a quiet half minute of
/// 293 boxes.
#[rstest]
#[case::first_start(true)]
#[case::later(false)]
fn a_box_joins_with_stale_reads_and_registers_once(#[case] first_start: bool) {
    let p = platform();
    let b = JoiningBox::start("box1", &p, first_start);
    b.wait_joined();
    drop(b);
    assert_eq!((p.count("stale"), p.count("put")), (3, 1), "{:?}", p.calls.lock());
    assert_eq!(p.count("list") + p.count("get") + p.count("watch"), 0, "{:?}", p.calls.lock());
    let again = JoiningBox::start("box1", &p, false);
    again.wait_joined();
    drop(again);
    assert_eq!((p.count("stale"), p.count("put")), (6, 1), "{:?}", p.calls.lock());
}

/// A stale read does not show how many changes it lacks, so the list must not count as current.
#[test]
fn a_stale_list_does_not_count_as_current() {
    let p = platform();
    let before = write(&p, "u/u1", "live");
    write(&p, "u/u2", "live");
    p.inner.set_faults(Faults { stale_at: before.number, ..Faults::default() });
    let b = JoiningBox::start("box1", &p, false);
    b.wait_joined();
    assert!(b.mesh.list_status().version <= before, "{:?}", b.mesh.list_status());
    assert_eq!(b.mesh.list_status().age, None, "the age of a stale list is unknown");
    assert!(
        !b.mesh.readers().in_touch(b.mesh.now()),
        "a stale read does not show the platform's current state"
    );
}

/// A box does not poll the platform for a table that does not exist yet while there is a reader.
#[test]
fn a_missing_table_is_awaited_without_polling() {
    let p = Arc::new(RecordingPlatform::default());
    let b = JoiningBox::start("box1", &p, true);
    wait_until("the list is known", || b.mesh.has_list());
    std::thread::sleep(Duration::from_millis(900));
    assert!(p.count("stale") <= 3, "{:?}", p.calls.lock());
    write(&p, "t/main", "1");
    wait_until("the table has arrived", || b.mesh.table_version() == 1);
}

/// Guards against a hello from each box to every other, 85,000 datagrams at a start of 293 boxes.
#[test]
fn a_new_box_with_one_seed_becomes_known_to_all() {
    let p: Arc<dyn Platform> = Arc::new(MemoryPlatform::default());
    let old: Vec<TestBox> = (0..6)
        .map(|i| TestBox::start(&format!("old{i}"), if i < 3 { "hall-a" } else { "hall-b" }))
        .collect();
    for b in &old {
        old.iter().filter(|o| o.addr != b.addr).for_each(|o| b.add_peer(o, o.addr));
    }
    let new = TestBox::start_on("new", "hall-b", vec![old[0].addr], p);
    wait_until("all know the new box", || {
        old.iter().all(|b| b.mesh.address_book().knows(new.mesh.id))
    });
    wait_until("the new box knows all others", || new.mesh.address_book().count() == 7);
}

/// A reader's new table spreads through each data hall without a call to the platform.
#[test]
fn a_new_table_spreads_from_box_to_box() {
    let p = Arc::new(RecordingPlatform::default());
    let boxes: Vec<TestBox> = (0..12)
        .map(|i| {
            let hall = if i % 2 == 0 { "hall-a" } else { "hall-b" };
            let platform: Arc<dyn Platform> = Arc::<RecordingPlatform>::clone(&p);
            TestBox::start_on(&format!("box{i}"), hall, Vec::new(), platform)
        })
        .collect();
    for b in &boxes {
        boxes.iter().filter(|o| o.addr != b.addr).for_each(|o| b.add_peer(o, o.addr));
    }
    boxes[0].become_reader();
    boxes[0].mesh.apply_table(&table_object("5", 31), "the test");
    wait_until("all boxes have the table", || boxes.iter().all(|b| b.mesh.table_version() == 5));
    assert_eq!(p.count("get"), 0, "{:?}", p.calls.lock());
}

/// A third of the boxes fails unnoticed. The boxes that would pull the table from them fetch it
/// from the platform instead, within the two seconds that the strictest deployment allows.
#[test]
fn a_table_arrives_although_forwarders_have_failed() {
    let p = Arc::new(RecordingPlatform::default());
    write(&p, "t/main", "5");
    let mut boxes: Vec<TestBox> = (0..12)
        .map(|i| {
            let platform: Arc<dyn Platform> = Arc::<RecordingPlatform>::clone(&p);
            TestBox::start_on(&format!("box{i}"), "hall-a", Vec::new(), platform)
        })
        .collect();
    for b in &boxes {
        boxes.iter().filter(|o| o.addr != b.addr).for_each(|o| b.add_peer(o, o.addr));
    }
    boxes.truncate(8);
    let began = Instant::now();
    boxes[0].become_reader();
    boxes[0].mesh.apply_table(&table_object("5", 31), "the test");
    wait_until("all boxes have the table", || boxes.iter().all(|b| b.mesh.table_version() == 5));
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
}

/// Seeds may be out of date, so that a box whose seeds don't answer reads everything itself.
#[test]
fn a_box_without_live_seeds_joins_through_the_platform() {
    let p = platform();
    let dead: SocketAddr = "127.0.0.1:9".parse().expect("the address is valid");
    let b = JoiningBox::start_with_seeds("box1", &p, false, vec![dead]);
    wait_until("the box has joined", || b.mesh.is_fleet_known() && b.mesh.has_list());
    assert_eq!(p.count("put"), 1, "{:?}", p.calls.lock());
}
