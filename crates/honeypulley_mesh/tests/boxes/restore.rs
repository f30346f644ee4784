//! Behaviour of a box after its platform was restored from a backup.

use crate::support::{
    Connections, Relay, TestBox, at, key, mesh, pass_all, reader_beacon, table_object,
    upstream_object,
};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::prelude::*;
use honeypulley_peer::codec::{Beacon, ListUpdate};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::MemoryPlatform;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Fingerprint, RequestUpdate, Scope};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Shutdown, Supervisor};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time until a box has rewritten what the platform lost.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// A box that reads a platform until it is dropped.
pub struct Reader {
    pub mesh: Arc<Mesh>,
    /// The platform, unless the test supplies its own.
    memory: Arc<MemoryPlatform>,
    shutdown: Shutdown,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Reader {
    fn start() -> Self {
        let memory = Arc::new(initial_platform());
        let inner = Arc::<MemoryPlatform>::clone(&memory);
        let mut reader = Self::start_on(inner);
        reader.memory = memory;
        reader
    }

    pub fn start_on(inner: Arc<dyn Platform>) -> Self {
        let addr: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
        let settings = MeshSettings::builder().name("box1").hall("hall-a").peer(addr).key(key());
        let mesh = mesh(settings.build());
        let platform: Arc<dyn Platform> = Arc::new(EpochTracker::new(inner, Arc::clone(&mesh)));
        let shutdown = Shutdown::default();
        let supervisor =
            Supervisor::new(shutdown.clone()).duty(StoreDuty { mesh: Arc::clone(&mesh), platform });
        let thread = std::thread::spawn(move || supervisor.run().expect("the duty runs"));
        wait_until("the box is a reader", || mesh.readers().is_reading() && mesh.has_list());
        Self { mesh, memory: Arc::default(), shutdown, thread: Some(thread) }
    }

    fn is_stored(&self, key: &str) -> bool {
        futures::executor::block_on(self.memory.get(key)).is_ok_and(|o| o.is_some())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shutdown.stop.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

/// Builds a platform with a table and one upstream, before any box has started.
pub fn initial_platform() -> MemoryPlatform {
    let memory = MemoryPlatform::default();
    write(&memory, "t/main", "1");
    write(&memory, "u/u0", "live");
    memory
}

fn write(p: &MemoryPlatform, key: &str, value: &'static str) {
    let put = p.put(key, Bytes::from_static(value.as_bytes()), Expect::Absent);
    futures::executor::block_on(put).expect("the object does not exist yet");
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < REWRITE_TIMEOUT,
            "timed out after {REWRITE_TIMEOUT:?} waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn hold() -> RequestUpdate {
    RequestUpdate::Held {
        request: Fingerprint(7),
        scope: Scope::Content,
        remaining: Duration::from_secs(60),
        trials: 0,
    }
}

/// Guards against a record that is written only at startup: new boxes can't find a box whose record
/// is lost.
#[test]
fn a_record_lost_in_a_restore_is_written_again() {
    let r = Reader::start();
    wait_until("the record is stored", || r.is_stored("b/box1"));
    r.memory.restore(initial_platform().backup());
    wait_until("the record is stored again", || r.is_stored("b/box1"));
}

/// Guards against comparing the holds with a copy of the stored holds from before the restore,
/// which would leave the lost holds unwritten.
#[test]
fn holds_lost_in_a_restore_are_written_again() {
    let r = Reader::start();
    let backup = r.memory.backup();
    r.mesh.apply_request_updates(vec![hold()]);
    wait_until("the hold is stored", || r.is_stored("h/requests"));
    r.memory.restore(backup);
    assert!(!r.is_stored("h/requests"));
    wait_until("the hold is stored again", || r.is_stored("h/requests"));
}

#[test]
fn a_table_written_after_a_restore_is_applied_whatever_its_revision() {
    let r = Reader::start();
    let backup = r.memory.backup();
    let write_table = |n: &'static str| {
        let held =
            futures::executor::block_on(r.memory.get("t/main")).expect("the platform answers");
        let expect = held.map_or(Expect::Absent, |o| Expect::Version(o.version));
        let put = r.memory.put("t/main", Bytes::from_static(n.as_bytes()), expect);
        futures::executor::block_on(put).expect("there is no other writer");
    };
    ["2", "3", "4"].into_iter().for_each(write_table);
    wait_until("table 4 is held", || r.mesh.table_version() == 4);
    r.memory.restore(backup);
    wait_until("the restore is noticed", || r.mesh.restores() == 1);
    assert_eq!(r.mesh.table_version(), 4, "the restored table is older");
    ["3", "5"].into_iter().for_each(write_table);
    wait_until("table 5 is held", || r.mesh.table_version() == 5);
}

/// A platform whose stale reads are from before a restore.
#[derive(Debug)]
struct StaleReadsPlatform(MemoryPlatform);

#[async_trait]
impl Platform for StaleReadsPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.0.get(key).await
    }

    async fn put(&self, key: &str, value: Bytes, e: Expect) -> Result<Revision, PlatformError> {
        self.0.put(key, value, e).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.0.watch(prefix, after, wait).await
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        if f == Freshness::Stale && prefix != "b/" {
            let peer = "memory".to_owned();
            return Err(PlatformError::Restored { peer, step: "list", wanted: 2, found: 1 });
        }
        self.0.list(prefix, f).await
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.0.members().await
    }
}

#[test]
fn a_box_that_starts_after_a_restore_uses_fresh_reads() {
    let r = Reader::start_on(Arc::new(StaleReadsPlatform(initial_platform())));
    assert_eq!(r.mesh.table_version(), 1);
}

/// Starts a box with a list from a stale read.
///
/// The list is from before a restore, but carries the epoch after it.
fn start_with_stale_list() -> TestBox {
    let b = TestBox::start_empty("a", "hall-a");
    let objects: Vec<Object> = (0..10)
        .map(|i| {
            let mut o = upstream_object(&format!("u{i}"), "live", 80 + i);
            o.version.epoch = 2;
            o
        })
        .collect();
    b.mesh.observe_epoch(2, "the test");
    let version = Revision::new(2, 89);
    b.mesh.apply_stale_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    b
}

/// Guards against dropping a departure whose revision is lower than those of the stale read.
#[rstest]
#[case::lower_than_its_own(40)]
#[case::higher(95)]
fn a_stale_list_is_discarded_after_a_recent_restore(#[case] number: u64) {
    let b = start_with_stale_list();
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
    let list = Revision::new(2, number);
    b.mesh.apply_beacon(NameId(7), via, Beacon { list, restored: true, ..beacon(2) });
    let gone = |i: u64| Entry {
        name: format!("u{i}"),
        version: Revision::new(2, 40 - i),
        state: EntryState::Gone { hold: Duration::ZERO },
    };
    let entries: Vec<Entry> = (0..3).map(gone).collect();
    let fragments = ListUpdate::split(Revision::new(2, 0), list, Duration::ZERO, &entries);
    for part in fragments.expect("few entries can be encoded") {
        b.mesh.apply_peer_changes(NameId(7), part, via);
    }
    assert_eq!(b.mesh.list_status().version, list);
    assert!((0..3).all(|i| b.has_departed(&format!("u{i}"))));
}

/// Guards against a full read of the list for every beacon in the seconds after a restore.
#[test]
fn a_stale_list_is_discarded_only_once() {
    let b = start_with_stale_list();
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
    let list = Revision::new(2, 95);
    let beacon = Beacon { list, restored: true, ..beacon(2) };
    b.mesh.apply_beacon(NameId(7), via, beacon);
    assert_eq!(b.mesh.list_status().version, Revision::new(2, 0));
    b.mesh.replace(list, Vec::new(), "a peer");
    b.mesh.apply_beacon(NameId(7), via, beacon);
    assert_eq!(b.mesh.list_status().version, list);
}

#[test]
fn a_fresh_read_replaces_a_stale_list() {
    let b = start_with_stale_list();
    let version = Revision::new(2, 40);
    let mut objects = vec![upstream_object("u0", "leaving", 40)];
    objects[0].version.epoch = 2;
    b.mesh.apply_full_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    assert_eq!(b.mesh.list_status().version, version);
    assert!((0..10).all(|i| b.has_departed(&format!("u{i}"))));
}

/// Builds the beacon of a reader that knows the platform's `epoch`.
fn beacon(epoch: u64) -> Beacon {
    reader_beacon(Revision::new(epoch, 10))
}

#[test]
fn a_reader_unaware_of_the_restore_is_not_fresh() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
    b.mesh.apply_beacon(NameId(7), via, beacon(2));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
    b.mesh.apply_beacon(NameId(8), via, beacon(3));
    assert_eq!((b.mesh.epoch(), b.mesh.restores()), (3, 2));
    b.mesh.apply_beacon(NameId(7), via, beacon(2));
    assert_eq!(b.mesh.readers().live(b.mesh.now()), [NameId(8)]);
}

#[test]
fn a_box_is_in_touch_again_once_a_reader_has_read_after_the_restore() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
    b.mesh.apply_beacon(NameId(7), via, beacon(1));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
    let unread = Beacon { read_age: Duration::from_secs(3_600), ..beacon(2) };
    b.mesh.apply_beacon(NameId(7), via, unread);
    assert!(!b.mesh.readers().in_touch(b.mesh.now()), "no reader has read the restored platform");
    b.mesh.apply_beacon(NameId(7), via, beacon(2));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
}

/// Guards against waiting for a version of an earlier epoch, which no box will ever hold.
#[test]
fn a_version_lost_in_a_restore_is_not_awaited() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("the address is valid");
    b.mesh.apply_beacon(NameId(7), via, Beacon { list: at(90), ..beacon(1) });
    assert!(b.mesh.catch_up().is_behind(b.mesh.list_status().version));
    let objects = (0..10).map(|i| upstream_object(&format!("u{i}"), "live", i + 1));
    let objects = objects.map(|mut o| {
        o.version.epoch = 2;
        o
    });
    let version = Revision::new(2, 40);
    b.mesh.observe_epoch(2, "the test");
    b.mesh.apply_full_list(
        &Changes { version, objects: objects.collect(), removed: Vec::new() },
        "the test",
    );
    assert!(!b.mesh.catch_up().is_behind(b.mesh.list_status().version));
}

/// A reader that notices a restore sends the full list, whatever its peers hold.
#[test]
fn a_restored_list_reaches_the_peers_in_full() {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, Connections::Refused, pass_all(), pass_all());
    reader.become_reader();
    reader.mesh.observe_epoch(2, "the test");
    // The restored platform lists one upstream as leaving and lacks another.
    let mut objects = vec![upstream_object("u0", "leaving", 3)];
    objects.extend((1..9).map(|i| upstream_object(&format!("u{i}"), "live", i + 1)));
    objects.iter_mut().for_each(|o| o.version.epoch = 2);
    let version = Revision::new(2, 9);
    reader.mesh.apply_full_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    wait_until("the other box has the list", || other.mesh.list_status().version.epoch == 2);
    assert!(other.has_departed("u0"));
    assert!(other.has_departed("u9"), "a lost entry does not count as live while it is on hold");
    assert_eq!(other.mesh.upstreams(), 10, "a lost upstream gets work until its hold expires");
}

#[test]
fn a_rewritten_table_is_held_at_its_new_revision() {
    let b = TestBox::start("a", "hall-a");
    b.mesh.apply_table(&table_object("3", 5), "the test");
    let mut again = table_object("3", 2);
    again.version.epoch = 2;
    b.mesh.apply_table(&again, "the test");
    assert_eq!((b.mesh.table_version(), b.mesh.table_snapshot().version), (3, again.version));
}

/// A table's number identifies its content, whatever the platform returns later.
#[test]
fn a_table_of_the_held_number_with_other_content_is_dropped() {
    let b = TestBox::start("a", "hall-a");
    b.mesh.apply_table(&table_object("3", 5), "the test");
    let held = b.mesh.table_snapshot();
    let mut other = table_object("+3", 9);
    other.version.epoch = 2;
    b.mesh.apply_table(&other, "the test");
    assert_eq!(b.mesh.table_snapshot(), held);
}
