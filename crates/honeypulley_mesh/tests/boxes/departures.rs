//! A departure reaches every reachable box, even if one propagation path fails.
//!
//! These tests guard against work being sent to upstreams that have left: 2.7 s after the
//! departure in one case, and for up to 20 s by whole data halls in simulations. There were
//! three causes:
//!
//! - A box considered its list complete, because the last fragment of an update, or a peer's
//!   list, had raised its version beyond the changes that it had received.
//! - A box requested missed changes from the forwarder of an announcement, which lacked them
//!   too.
//! - A reader that found a departure by reading the full list did not broadcast it.
//!
//! Each case here disables one path. The departure must arrive by another path within
//! `PROPAGATION_LIMIT`, the part of the two-second bound that is left for propagation and repair.

use crate::support::{
    Connections, DatagramFilter, Relay, TestBox, at, drop_all, key, mesh, pass_all, reader_beacon,
    table_object, unwrap_body, upstream_object,
};
use honeypulley_mesh::list::ListChange;
use honeypulley_mesh::prelude::*;
use honeypulley_peer::codec::{Body, ListUpdate};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_platform::api::Changes;
use honeypulley_policy::spec::MemberState;
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time for a departure to propagate from a reader to a peer.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(1_200);

fn names(n: u64) -> Vec<String> {
    (0..n).map(|i| format!("u{i}")).collect()
}

/// Passes all datagrams but the first `count` list updates.
fn drop_changes(mut count: u32) -> DatagramFilter {
    Box::new(move |_, body| {
        let is_dropped = count > 0 && matches!(unwrap_body(body), Body::Changes { .. });
        count -= u32::from(is_dropped);
        !is_dropped
    })
}

/// Makes a reader receive the shutdown of these upstreams from its watch.
fn announce_leaving(b: &TestBox, names: &[String]) {
    let objects =
        (11..).zip(names).map(|(version, n)| upstream_object(n, "leaving", version)).collect();
    b.mesh.apply_watched_changes(
        &Changes { version: at(30), objects, removed: Vec::new() },
        "the test",
    );
}

/// Makes a reader apply a full list in which the first upstream is leaving.
fn apply_full_list(b: &TestBox) {
    let all = (1..10).map(|i| upstream_object(&format!("u{i}"), "live", i + 1));
    let objects = all.chain([upstream_object("u0", "leaving", 11)]).collect();
    b.mesh.apply_full_list(&Changes { version: at(30), objects, removed: Vec::new() }, "the test");
}

#[rstest]
#[case::no_loss(8, 0, Connections::Hung)]
#[case::first_fragment_lost(8, 1, Connections::Refused)]
#[case::only_fragment_lost(2, 1, Connections::Refused)]
#[case::first_fragment_lost_and_peer_hung(8, 1, Connections::Hung)]
#[case::both_fragments_lost_and_peer_hung(8, 2, Connections::Hung)]
fn departures_reach_a_peer_in_time_despite_lost_broadcasts(
    #[case] leaving: u64,
    #[case] lost: u32,
    #[case] connections: Connections,
) {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, connections, drop_changes(lost), pass_all());
    reader.become_reader();
    announce_leaving(&reader, &names(leaving));
    assert_eq!(other.wait_for_departures(&names(leaving), PROPAGATION_LIMIT), Vec::<String>::new());
}

/// Guards against a saturated reader's link, since the whole fleet pulls its list after a large change.
#[rstest]
#[case::one_more_than_an_update_takes(97)]
#[case::several_updates(300)]
fn a_change_of_many_entries_needs_no_pull(#[case] joining: u64) {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, Connections::Refused, pass_all(), pass_all());
    reader.become_reader();
    let objects = (11..11 + joining).map(|v| upstream_object(&format!("u{v}"), "live", v));
    // A watch may return changes in any order.
    let objects: Vec<_> = objects.rev().collect();
    let version = at(10 + joining);
    reader.mesh.apply_watched_changes(&Changes { version, objects, removed: Vec::new() }, "a test");
    let began = Instant::now();
    while other.mesh.list_status().version < version && began.elapsed() < PROPAGATION_LIMIT {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(other.mesh.list_status().version, version);
    assert_eq!(other.mesh.upstreams() as u64, 10 + joining);
}

#[rstest]
fn a_departure_found_in_a_full_list_is_broadcast() {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, Connections::Refused, pass_all(), drop_all());
    reader.become_reader();
    apply_full_list(&reader);
    assert_eq!(other.wait_for_departures(&names(1), PROPAGATION_LIMIT), Vec::<String>::new());
}

#[rstest]
fn what_is_missed_is_asked_of_a_box_that_has_it() {
    let reader = TestBox::start("a", "hall-a");
    let (forwarder, other) = (TestBox::start("d", "hall-b"), TestBox::start("b", "hall-b"));
    // The other box receives the reader's beacons through a forwarder in its data hall,
    // which can't obtain the announced changes from anyone else.
    let drops_changes: DatagramFilter =
        Box::new(|_, body| !matches!(unwrap_body(body), Body::Changes { .. }));
    let _relay = Relay::start(&reader, &forwarder, Connections::Refused, drops_changes, drop_all());
    forwarder.add_peer(&other, other.addr);
    other.add_peer(&forwarder, forwarder.addr);
    other.add_peer(&reader, reader.addr);
    reader.become_reader();
    apply_full_list(&reader);
    assert_eq!(other.wait_for_departures(&names(1), PROPAGATION_LIMIT), Vec::<String>::new());
}

/// Guards against pulling a table from the forwarder of its announcement, which may lack the table.
#[test]
fn a_missed_table_is_pulled_from_a_box_that_has_it() {
    let reader = TestBox::start("a", "hall-a");
    let (forwarder, other) = (TestBox::start("d", "hall-b"), TestBox::start("b", "hall-b"));
    let _relay = Relay::start(&reader, &forwarder, Connections::Refused, pass_all(), drop_all());
    forwarder.add_peer(&other, other.addr);
    other.add_peer(&forwarder, forwarder.addr);
    other.add_peer(&reader, reader.addr);
    for b in [&reader, &forwarder, &other] {
        b.mesh.apply_table(&table_object("3", 5), "the test");
    }
    reader.become_reader();
    reader.mesh.apply_table(&table_object("4", 20), "the test");
    let start = Instant::now();
    while other.mesh.table_version() < 4 && start.elapsed() < PROPAGATION_LIMIT {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(other.mesh.table_version(), 4);
}

/// Half of the boxes, including readers, had been isolated. A box that reconnected broadcast
/// departures with the hold of 2.3 s that follows an outage of the platform. All boxes applied
/// the hold and sent work to departed upstreams for 2.0 to 2.3 s, which exceeds the bound of 2 s.
#[test]
fn a_peer_cannot_impose_its_hold_on_a_connected_box() {
    let (sender, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let now = other.mesh.now();
    other.mesh.readers().record_beacon(sender.mesh.id, &reader_beacon(at(10)), now);
    let state = EntryState::Gone { hold: Duration::from_millis(2_300) };
    let entries = vec![Entry { name: "u0".to_owned(), version: at(11), state }];
    let update =
        ListUpdate { since: at(10), upto: at(11), part: 0, parts: 1, age: Duration::ZERO, entries };
    other.mesh.apply_peer_changes(sender.mesh.id, update, sender.addr);
    let changes: Vec<_> = other.mesh.take_list_changes();
    assert!(changes.contains(&ListChange::Gone("u0".to_owned())), "{changes:?}");
}

/// Departures found in a full list get the version of that list. If the reader fails before it
/// broadcasts them, no other box receives that version from a peer.
#[test]
fn a_version_known_only_to_a_lost_box_is_reached_by_reading_the_platform() {
    let (lost, b) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    b.mesh.apply_beacon(lost.mesh.id, lost.addr, reader_beacon(at(12)));
    assert!(b.mesh.catch_up().is_behind(b.mesh.list_status().version));
    let objects = (0..10).map(|i| upstream_object(&format!("u{i}"), "live", i + 1)).collect();
    b.mesh.apply_full_list(&Changes { version: at(30), objects, removed: Vec::new() }, "the test");
    let held = b.mesh.list_status().version;
    assert!(!b.mesh.catch_up().is_behind(held), "the list at {held} includes all changes");
    assert_eq!(held, at(12), "a higher version would make peers request it");
}

/// Guards against a departed upstream that stays listed, since no reader has ever listed it.
#[test]
fn an_entry_that_the_reader_never_knew_departs() {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    reader.add_peer(&other, other.addr);
    other.add_peer(&reader, reader.addr);
    let joined = Changes {
        version: at(11),
        objects: vec![upstream_object("u10", "live", 11)],
        removed: Vec::new(),
    };
    other.mesh.apply_watched_changes(&joined, "a former reader");
    let objects = (0..10).map(|i| upstream_object(&format!("u{i}"), "live", i + 1)).collect();
    let all = Changes { version: at(13), objects, removed: Vec::new() };
    reader.mesh.apply_full_list(&all, "the test");
    assert!(!other.has_departed("u10"));
    reader.become_reader();
    let departed = ["u10".to_owned()];
    assert_eq!(other.wait_for_departures(&departed, PROPAGATION_LIMIT), Vec::<String>::new());
    assert_eq!(other.mesh.upstreams(), 10);
}

/// Guards against a deadlock of a box that builds its beacon while it reads the full list.
#[test]
fn a_beacon_and_a_full_list_do_not_block_each_other() {
    let peer = ([10, 0, 0, 1], 7_000).into();
    // No duty runs, so that a deadlock fails the test and does not block its end.
    let mesh = mesh(MeshSettings::builder().name("a").hall("h").peer(peer).key(key()).build());
    let (done, finished) = std::sync::mpsc::channel();
    let spawn = |work: fn(&Mesh, u64)| {
        let (mesh, done) = (Arc::clone(&mesh), done.clone());
        std::thread::spawn(move || {
            (11..20_000).for_each(|v| work(&mesh, v));
            let _ = done.send(());
        });
    };
    spawn(|mesh, _| {
        let _ = mesh.beacon();
    });
    spawn(|mesh, v| {
        let objects = vec![upstream_object("u0", "live", v)];
        mesh.apply_full_list(&Changes { version: at(v), objects, removed: Vec::new() }, "a test");
    });
    for _ in 0..2 {
        finished.recv_timeout(Duration::from_secs(30)).expect("neither thread is blocked");
    }
}

#[test]
fn changes_of_two_threads_are_queued_in_order() {
    let b = TestBox::start("a", "hall-a");
    // Discard the initial list; from here on, only one upstream changes.
    assert_eq!(b.mesh.take_list_changes().len(), 10);
    let state = |v: u64| if v.is_multiple_of(2) { "live" } else { "leaving" };
    let changes = |v| Changes {
        version: at(v),
        objects: vec![upstream_object("u0", state(v), v)],
        removed: Vec::new(),
    };
    let last_change = std::thread::scope(|s| {
        for first in [11, 12] {
            let mesh = &b.mesh;
            s.spawn(move || {
                (first..2_000)
                    .step_by(2)
                    .for_each(|v| mesh.apply_watched_changes(&changes(v), "a duty"));
            });
        }
        let mut last_change = None;
        for _ in 0..1_000 {
            last_change = b.mesh.take_list_changes().pop().or(last_change);
        }
        last_change
    });
    let last = b.mesh.take_list_changes().pop().or(last_change);
    let is_leaving =
        |c: &ListChange| matches!(c, ListChange::Set(l) if l.member.state == MemberState::Leaving);
    assert_eq!(last.as_ref().is_some_and(is_leaving), b.has_departed("u0"), "{last:?}");
}
