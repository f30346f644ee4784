//! What a box does when its platform was restored from a backup.

use crate::support::{Connections, Relay, TestBox, all, at, entry, key, mesh, table};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::prelude::*;
use honeypulley_peer::codec::{Beacon, Told};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::MemoryPlatform;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Fingerprint, RequestNews, Scope};
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Stop, Tree};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which a box has stored again what the platform lost.
const STORED: Duration = Duration::from_secs(4);

/// A box that reads a platform, until it is dropped.
struct Reader {
    mesh: Arc<Mesh>,
    /// The platform, unless it is a test's own.
    memory: Arc<MemoryPlatform>,
    stop: Stop,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Reader {
    fn start() -> Self {
        let memory = Arc::new(filled());
        let inner = Arc::<MemoryPlatform>::clone(&memory);
        let mut reader = Self::start_on(inner);
        reader.memory = memory;
        reader
    }

    fn start_on(inner: Arc<dyn Platform>) -> Self {
        let addr: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
        let settings = MeshSettings::builder().name("box1").hall("hall-a").peer(addr).key(key());
        let mesh = mesh(settings.build());
        let platform: Arc<dyn Platform> = Arc::new(EpochWatch::new(inner, Arc::clone(&mesh)));
        let stop = Stop::default();
        let tree = Tree::new(stop.clone()).duty(StoreDuty { mesh: Arc::clone(&mesh), platform });
        let thread = std::thread::spawn(move || tree.run().expect("it runs"));
        until("it reads", || mesh.readers().is_reading() && mesh.knows_list());
        Self { mesh, memory: Arc::default(), stop, thread: Some(thread) }
    }

    fn has(&self, key: &str) -> bool {
        futures::executor::block_on(self.memory.get(key)).is_ok_and(|o| o.is_some())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stop.halt.cancel();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

/// A platform before any box has started.
fn filled() -> MemoryPlatform {
    let memory = MemoryPlatform::default();
    write(&memory, "t/main", "1");
    write(&memory, "u/u0", "live");
    memory
}

fn write(p: &MemoryPlatform, key: &str, value: &'static str) {
    let put = p.put(key, Bytes::from_static(value.as_bytes()), Expect::Absent);
    futures::executor::block_on(put).expect("it is not there yet");
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < STORED, "not within {STORED:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn hold() -> RequestNews {
    RequestNews::Held {
        request: Fingerprint(7),
        scope: Scope::Content,
        left: Duration::from_secs(60),
        trials: 0,
    }
}

/// A box's record was written once, at its start, and its loss left the box unknown to new ones.
#[test]
fn a_record_that_the_platform_lost_is_written_again() {
    let r = Reader::start();
    until("its record is there", || r.has("b/box1"));
    r.memory.restore(filled().backup());
    until("its record is there again", || r.has("b/box1"));
}

/// Holds were compared with what the box believed to be stored.
#[test]
fn holds_that_the_platform_lost_are_written_again() {
    let r = Reader::start();
    let backup = r.memory.backup();
    r.mesh.hear_requests(vec![hold()]);
    until("the hold is stored", || r.has("h/requests"));
    r.memory.restore(backup);
    assert!(!r.has("h/requests"));
    until("the hold is stored again", || r.has("h/requests"));
}

#[test]
fn a_table_written_after_a_restore_is_taken_whatever_its_revision() {
    let r = Reader::start();
    let backup = r.memory.backup();
    let version = |n: &'static str| {
        let held = futures::executor::block_on(r.memory.get("t/main")).expect("it answers");
        let expect = held.map_or(Expect::Absent, |o| Expect::Version(o.version));
        let put = r.memory.put("t/main", Bytes::from_static(n.as_bytes()), expect);
        futures::executor::block_on(put).expect("nobody else writes");
    };
    ["2", "3", "4"].into_iter().for_each(version);
    until("table 4 is held", || r.mesh.table_number() == 4);
    r.memory.restore(backup);
    until("the restore is known", || r.mesh.restores() == 1);
    assert_eq!(r.mesh.table_number(), 4, "the copy's table is older");
    ["3", "5"].into_iter().for_each(version);
    until("table 5 is held", || r.mesh.table_number() == 5);
}

/// A platform whose stale answers are from before a restore.
#[derive(Debug)]
struct StaleBefore(MemoryPlatform);

#[async_trait]
impl Platform for StaleBefore {
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
fn a_box_that_starts_after_a_restore_asks_for_fresh_answers() {
    let r = Reader::start_on(Arc::new(StaleBefore(filled())));
    assert_eq!(r.mesh.table_number(), 1);
}

/// A box whose list is of an old answer: from before a restore, though it is named as of after.
fn started_on_an_old_answer() -> TestBox {
    let b = TestBox::start_empty("a", "hall-a");
    let objects: Vec<Object> = (0..10)
        .map(|i| {
            let mut o = entry(&format!("u{i}"), "live", 80 + i);
            o.version.epoch = 2;
            o
        })
        .collect();
    b.mesh.learn_epoch(2, "the test");
    let version = Revision::new(2, 89);
    b.mesh.take_old_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    b
}

/// A departure whose revision was lower than those of the old answer was dropped.
#[rstest]
#[case::lower_than_its_own(40)]
#[case::higher(95)]
fn a_list_of_an_old_answer_is_no_ground_after_a_recent_restore(#[case] number: u64) {
    let b = started_on_an_old_answer();
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
    let list = Revision::new(2, number);
    b.mesh.take_beacon(NameId(7), via, Beacon { list, restored: true, ..beacon(2) });
    let gone = |i: u64| Entry {
        name: format!("u{i}"),
        version: Revision::new(2, 40 - i),
        state: EntryState::Gone { hold: Duration::ZERO },
    };
    let entries: Vec<Entry> = (0..3).map(gone).collect();
    let told = Told::cut(Revision::new(2, 0), list, Duration::ZERO, &entries);
    for part in told.expect("they are few") {
        b.mesh.hear_changes(NameId(7), part, via);
    }
    assert_eq!(b.mesh.list_now().version, list);
    assert!((0..3).all(|i| b.knows_left(&format!("u{i}"))));
}

/// Each beacon of the seconds after a restore would have the box fetch the list again.
#[test]
fn a_list_of_an_old_answer_is_given_up_once() {
    let b = started_on_an_old_answer();
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
    let list = Revision::new(2, 95);
    let beacon = Beacon { list, restored: true, ..beacon(2) };
    b.mesh.take_beacon(NameId(7), via, beacon);
    assert_eq!(b.mesh.list_now().version, Revision::new(2, 0));
    b.mesh.replace(list, Vec::new(), "a peer");
    b.mesh.take_beacon(NameId(7), via, beacon);
    assert_eq!(b.mesh.list_now().version, list);
}

#[test]
fn a_fresh_answer_replaces_a_list_of_an_old_one() {
    let b = started_on_an_old_answer();
    let version = Revision::new(2, 40);
    let mut objects = vec![entry("u0", "leaving", 40)];
    objects[0].version.epoch = 2;
    b.mesh.take_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    assert_eq!(b.mesh.list_now().version, version);
    assert!((0..10).all(|i| b.knows_left(&format!("u{i}"))));
}

/// A beacon of a reader that knows more or less of the platform's epoch than this box.
fn beacon(epoch: u64) -> Beacon {
    let age = Duration::ZERO;
    let list = Revision::new(epoch, 10);
    Beacon {
        table: 0,
        list,
        epoch,
        restored: false,
        reader: true,
        read_age: age,
        unable: false,
        list_age: age,
    }
}

#[test]
fn a_reader_that_does_not_know_of_the_restore_is_not_fresh() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
    b.mesh.take_beacon(NameId(7), via, beacon(2));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
    b.mesh.take_beacon(NameId(8), via, beacon(3));
    assert_eq!((b.mesh.epoch(), b.mesh.restores()), (3, 2));
    b.mesh.take_beacon(NameId(7), via, beacon(2));
    assert_eq!(b.mesh.readers().live(b.mesh.now()), [NameId(8)]);
}

#[test]
fn a_box_that_hears_of_a_restore_is_in_touch_once_a_reader_has_read_since() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
    b.mesh.take_beacon(NameId(7), via, beacon(1));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
    let unread = Beacon { read_age: Duration::from_secs(3_600), ..beacon(2) };
    b.mesh.take_beacon(NameId(7), via, unread);
    assert!(!b.mesh.readers().in_touch(b.mesh.now()), "nothing is known of the copy");
    b.mesh.take_beacon(NameId(7), via, beacon(2));
    assert!(b.mesh.readers().in_touch(b.mesh.now()));
}

/// A box waited for a version of an earlier epoch that no box will ever hold.
#[test]
fn a_version_that_was_lost_is_missed_no_more() {
    let b = TestBox::start("a", "hall-a");
    let via: SocketAddr = "10.0.0.7:7000".parse().expect("an address");
    b.mesh.take_beacon(NameId(7), via, Beacon { list: at(90), ..beacon(1) });
    assert!(b.mesh.catch_up().misses(b.mesh.list_now().version));
    let objects = (0..10).map(|i| entry(&format!("u{i}"), "live", i + 1));
    let objects = objects.map(|mut o| {
        o.version.epoch = 2;
        o
    });
    let version = Revision::new(2, 40);
    b.mesh.learn_epoch(2, "the test");
    b.mesh.take_list(
        &Changes { version, objects: objects.collect(), removed: Vec::new() },
        "the test",
    );
    assert!(!b.mesh.catch_up().misses(b.mesh.list_now().version));
}

/// A reader that finds out of a restore tells the whole list, whatever its peers hold.
#[test]
fn a_restored_list_reaches_the_peers_with_what_it_lacks() {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, Connections::Refused, all(), all());
    reader.read();
    reader.mesh.learn_epoch(2, "the test");
    // The copy shows one upstream as leaving, and another one not at all.
    let mut objects = vec![entry("u0", "leaving", 3)];
    objects.extend((1..9).map(|i| entry(&format!("u{i}"), "live", i + 1)));
    objects.iter_mut().for_each(|o| o.version.epoch = 2);
    let version = Revision::new(2, 9);
    reader.mesh.take_list(&Changes { version, objects, removed: Vec::new() }, "the test");
    until("the other box knows the list", || other.mesh.list_now().version.epoch == 2);
    assert!(other.knows_left("u0"));
    assert!(other.knows_left("u9"), "it is waited for");
    assert_eq!(other.mesh.upstreams(), 10, "it gets work until it is taken for gone");
}

#[test]
fn a_table_that_is_written_again_is_held_at_its_new_position() {
    let b = TestBox::start("a", "hall-a");
    b.mesh.take_table(&table("3", 5), "the test");
    let mut again = table("3", 2);
    again.version.epoch = 2;
    b.mesh.take_table(&again, "the test");
    assert_eq!((b.mesh.table_number(), b.mesh.held_table().version), (3, again.version));
}

/// A number means one table, whatever the platform shows later.
#[test]
fn a_table_of_the_number_held_replaces_none_of_other_content() {
    let b = TestBox::start("a", "hall-a");
    b.mesh.take_table(&table("3", 5), "the test");
    let held = b.mesh.held_table();
    let mut other = table("+3", 9);
    other.version.epoch = 2;
    b.mesh.take_table(&other, "the test");
    assert_eq!(b.mesh.held_table(), held);
}
