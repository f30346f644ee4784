//! A box that starts takes what it needs from the platform at little cost, and becomes
//! known to all others without a word to each.

use crate::support::{TestBox, key, mesh, table};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::prelude::*;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::{Faults, MemoryPlatform};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Stop, Tree};
use parking_lot::Mutex;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A platform that notes what it is asked.
#[derive(Debug, Default)]
struct Noting {
    inner: MemoryPlatform,
    calls: Mutex<Vec<&'static str>>,
}

impl Noting {
    fn count(&self, call: &str) -> usize {
        self.calls.lock().iter().filter(|c| **c == call).count()
    }
}

#[async_trait]
impl Platform for Noting {
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
        self.calls.lock().push(if f == Freshness::Stale { "old" } else { "list" });
        self.inner.list(prefix, f).await
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.inner.members().await
    }
}

/// Runs the store's duty of one box until it is dropped.
struct Joining {
    mesh: Arc<Mesh>,
    stop: Stop,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Joining {
    fn start(name: &str, platform: &Arc<Noting>, first_start: bool) -> Self {
        let addr: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
        let settings = MeshSettings::builder().name(name).hall("hall-a").peer(addr).key(key());
        let mesh = mesh(settings.first_start(first_start).build());
        let platform: Arc<dyn Platform> = Arc::<Noting>::clone(platform);
        let stop = Stop::default();
        let tree = Tree::new(stop.clone()).duty(StoreDuty { mesh: Arc::clone(&mesh), platform });
        let thread = std::thread::spawn(move || tree.run().expect("it runs"));
        Self { mesh, stop, thread: Some(thread) }
    }

    fn until_joined(&self) {
        until("it has joined", || self.mesh.table_number() > 0 && self.mesh.knows_list());
        // Its record comes last.
        std::thread::sleep(Duration::from_millis(100));
    }
}

impl Drop for Joining {
    fn drop(&mut self) {
        self.stop.halt.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

fn until(what: &str, is_so: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < Duration::from_secs(5), "{what}: not in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A platform with a table and one upstream.
fn platform() -> Arc<Noting> {
    let p = Arc::new(Noting::default());
    write(&p, "t/main", "1");
    write(&p, "u/u0", "live");
    p
}

/// Writes as the operator does; returns the version.
fn write(p: &Noting, key: &str, value: &'static str) -> Revision {
    let put = p.inner.put(key, Bytes::from_static(value.as_bytes()), Expect::Absent);
    futures::executor::block_on(put).expect("it is not there yet")
}

/// Four fresh calls a box and start were three quarters of all calls of a quiet half minute
/// of 293 boxes.
#[rstest]
#[case::first_start(true)]
#[case::later(false)]
fn a_box_joins_by_old_answers_and_writes_its_address_once(#[case] first_start: bool) {
    let p = platform();
    let b = Joining::start("box1", &p, first_start);
    b.until_joined();
    drop(b);
    assert_eq!((p.count("old"), p.count("put")), (3, 1), "{:?}", p.calls.lock());
    assert_eq!(p.count("list") + p.count("get") + p.count("watch"), 0, "{:?}", p.calls.lock());
    let again = Joining::start("box1", &p, false);
    again.until_joined();
    drop(again);
    assert_eq!((p.count("old"), p.count("put")), (6, 1), "{:?}", p.calls.lock());
}

/// An old answer vouches for what it shows alone.
#[test]
fn what_an_old_list_lacks_is_still_known_to_be_missed() {
    let p = platform();
    let before = write(&p, "u/u1", "live");
    write(&p, "u/u2", "live");
    p.inner.set_faults(Faults { stale_at: before.number, ..Faults::default() });
    let b = Joining::start("box1", &p, false);
    b.until_joined();
    assert!(b.mesh.list_now().version <= before, "{:?}", b.mesh.list_now());
    assert_eq!(b.mesh.list_now().age, None, "nobody knows how old it is");
    assert!(!b.mesh.readers().in_touch(b.mesh.now()), "the platform's state is not known");
}

/// A box whose table is not written yet does not ask again and again while one reads.
#[test]
fn a_table_that_is_not_there_is_waited_for() {
    let p = Arc::new(Noting::default());
    let b = Joining::start("box1", &p, true);
    until("the list is taken", || b.mesh.knows_list());
    std::thread::sleep(Duration::from_millis(900));
    assert!(p.count("old") <= 3, "{:?}", p.calls.lock());
    write(&p, "t/main", "1");
    until("the table is taken", || b.mesh.table_number() == 1);
}

/// The hello of each box to each other one was 85,000 datagrams at a start of 293 boxes.
#[test]
fn a_newcomer_that_knows_one_seed_is_known_to_all() {
    let p: Arc<dyn Platform> = Arc::new(MemoryPlatform::default());
    let old: Vec<TestBox> = (0..6)
        .map(|i| TestBox::start(&format!("old{i}"), if i < 3 { "hall-a" } else { "hall-b" }))
        .collect();
    for b in &old {
        old.iter().filter(|o| o.addr != b.addr).for_each(|o| b.know(o, o.addr));
    }
    let new = TestBox::start_on("new", "hall-b", vec![old[0].addr], p);
    until("all know it", || old.iter().all(|b| b.mesh.book().knows(new.mesh.id)));
    until("it knows all", || new.mesh.book().count() == 7);
}

/// A table goes from the reader through each data hall; the platform is asked by no one.
#[test]
fn a_new_table_comes_from_box_to_box() {
    let p = Arc::new(Noting::default());
    let boxes: Vec<TestBox> = (0..12)
        .map(|i| {
            let hall = if i % 2 == 0 { "hall-a" } else { "hall-b" };
            let platform: Arc<dyn Platform> = Arc::<Noting>::clone(&p);
            TestBox::start_on(&format!("box{i}"), hall, Vec::new(), platform)
        })
        .collect();
    for b in &boxes {
        boxes.iter().filter(|o| o.addr != b.addr).for_each(|o| b.know(o, o.addr));
    }
    boxes[0].read();
    boxes[0].mesh.take_table(&table("5", 31), "the test");
    until("all have it", || boxes.iter().all(|b| b.mesh.table_number() == 5));
    assert_eq!(p.count("get"), 0, "{:?}", p.calls.lock());
}

/// A third of the boxes is gone and nobody has noticed: those behind them take the table from
/// the platform, within the smallest bound on a table in force.
#[test]
fn a_table_comes_though_boxes_in_between_are_gone() {
    let p = Arc::new(Noting::default());
    write(&p, "t/main", "5");
    let mut boxes: Vec<TestBox> = (0..12)
        .map(|i| {
            let platform: Arc<dyn Platform> = Arc::<Noting>::clone(&p);
            TestBox::start_on(&format!("box{i}"), "hall-a", Vec::new(), platform)
        })
        .collect();
    for b in &boxes {
        boxes.iter().filter(|o| o.addr != b.addr).for_each(|o| b.know(o, o.addr));
    }
    boxes.truncate(8);
    let began = Instant::now();
    boxes[0].read();
    boxes[0].mesh.take_table(&table("5", 31), "the test");
    until("all have it", || boxes.iter().all(|b| b.mesh.table_number() == 5));
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
}
