//! A departure reaches every box that can be reached, whatever one way of telling loses.
//!
//! Seen: a request reached an upstream 2.7 s after the platform had taken that it leaves,
//! and in plays of such days whole data halls went on sending work to upstreams that had
//! left, one for twenty seconds. A box thought its list complete, since the last part of a
//! change, or a peer's list, raised its version beyond what it had; or it knew that it
//! missed something and asked the box that had passed the news on, which missed it too;
//! and a reader that found a departure by reading the whole list told no one. Each case
//! here loses one way, and the departure has to come by another within the time that a
//! bound of two seconds leaves for telling and repair.

use crate::support::{Connections, Passes, Relay, TestBox, all, at, entry, nothing, said, table};
use honeypulley_mesh::list::ListChange;
use honeypulley_peer::codec::{Beacon, Body, Told};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_platform::api::Changes;
use honeypulley_policy::spec::MemberState;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Time within which a departure has to be known, from the platform's word on.
const KNOWN: Duration = Duration::from_millis(1_200);

fn names(n: u64) -> Vec<String> {
    (0..n).map(|i| format!("u{i}")).collect()
}

/// Passes all but the first so many told changes.
fn loses(mut count: u32) -> Passes {
    Box::new(move |_, body| {
        let is_lost = count > 0 && matches!(said(body), Body::Changes { .. });
        count -= u32::from(is_lost);
        !is_lost
    })
}

/// Tells a reader by its watch that these upstreams leave.
fn leave(b: &TestBox, names: &[String]) {
    let objects = (11..).zip(names).map(|(version, n)| entry(n, "leaving", version)).collect();
    b.mesh.take_changes(&Changes { version: at(30), objects, removed: Vec::new() }, "the test");
}

/// Shows a reader the whole list, in which the first upstream is leaving.
fn show_whole(b: &TestBox) {
    let all = (1..10).map(|i| entry(&format!("u{i}"), "live", i + 1));
    let objects = all.chain([entry("u0", "leaving", 11)]).collect();
    b.mesh.take_list(&Changes { version: at(30), objects, removed: Vec::new() }, "the test");
}

/// The beacon of a reader whom the platform has just answered.
fn calm_beacon(list: u64) -> Beacon {
    let age = Duration::ZERO;
    Beacon {
        table: 0,
        list: at(list),
        epoch: 1,
        restored: false,
        reader: true,
        read_age: age,
        unable: false,
        list_age: age,
    }
}

#[rstest]
#[case::nothing_lost(8, 0, Connections::Hung)]
#[case::first_part_lost(8, 1, Connections::Refused)]
#[case::one_part_and_it_lost(2, 1, Connections::Refused)]
#[case::first_part_lost_and_the_peer_hung(8, 1, Connections::Hung)]
#[case::both_parts_lost_and_the_peer_hung(8, 2, Connections::Hung)]
fn departures_whose_telling_is_lost_are_known_in_time(
    #[case] leaving: u64,
    #[case] lost: u32,
    #[case] connections: Connections,
) {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, connections, loses(lost), all());
    reader.read();
    leave(&reader, &names(leaving));
    assert_eq!(other.until_left(&names(leaving), KNOWN), Vec::<String>::new());
}

#[rstest]
fn a_departure_found_in_the_whole_list_is_told_like_any_other() {
    let (reader, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let _relay = Relay::start(&reader, &other, Connections::Refused, all(), nothing());
    reader.read();
    show_whole(&reader);
    assert_eq!(other.until_left(&names(1), KNOWN), Vec::<String>::new());
}

#[rstest]
fn what_is_missed_is_asked_of_a_box_that_has_it() {
    let reader = TestBox::start("a", "hall-a");
    let (near, other) = (TestBox::start("d", "hall-b"), TestBox::start("b", "hall-b"));
    // The reader's beacons come to the other box through the one near it, which itself
    // can get what they speak of from nobody else.
    let loses_changes: Passes = Box::new(|_, body| !matches!(said(body), Body::Changes { .. }));
    let _relay = Relay::start(&reader, &near, Connections::Refused, loses_changes, nothing());
    near.know(&other, other.addr);
    other.know(&near, near.addr);
    other.know(&reader, reader.addr);
    reader.read();
    show_whole(&reader);
    assert_eq!(other.until_left(&names(1), KNOWN), Vec::<String>::new());
}

/// Tables had the same fault as lists: they were pulled from who had sent the word on.
#[test]
fn a_table_that_is_missed_is_asked_of_a_box_that_has_it() {
    let reader = TestBox::start("a", "hall-a");
    let (near, other) = (TestBox::start("d", "hall-b"), TestBox::start("b", "hall-b"));
    let _relay = Relay::start(&reader, &near, Connections::Refused, all(), nothing());
    near.know(&other, other.addr);
    other.know(&near, near.addr);
    other.know(&reader, reader.addr);
    for b in [&reader, &near, &other] {
        b.mesh.take_table(&table("3", 5), "the test");
    }
    reader.read();
    reader.mesh.take_table(&table("4", 20), "the test");
    let began = Instant::now();
    while other.mesh.table_number() < 4 && began.elapsed() < KNOWN {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(other.mesh.table_number(), 4);
}

/// Half of the boxes had been cut off, readers among them. One that came back told the
/// others to wait 2.3 s for entries that went, as it would have after an outage of the
/// platform. All boxes waited, and sent work there for 2.0 to 2.3 s, two being allowed.
#[test]
fn a_box_that_was_never_away_waits_for_no_entry_that_another_waits_for() {
    let (teller, other) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    let now = other.mesh.now();
    other.mesh.readers().heard(teller.mesh.id, &calm_beacon(10), now);
    let state = EntryState::Gone { hold: Duration::from_millis(2_300) };
    let entries = vec![Entry { name: "u0".to_owned(), version: at(11), state }];
    let told =
        Told { since: at(10), upto: at(11), part: 0, parts: 1, age: Duration::ZERO, entries };
    other.mesh.hear_changes(teller.mesh.id, told, teller.addr);
    let left: Vec<_> = other.mesh.next_list();
    assert!(left.contains(&ListChange::Gone("u0".to_owned())), "{left:?}");
}

/// A reader that reads the whole list counts what is missing in it as of that reading; if
/// it is lost before it told that, nobody else ever gets to that version.
#[test]
fn a_version_that_a_lost_box_alone_held_is_settled_by_reading_the_platform() {
    let (lost, b) = (TestBox::start("a", "hall-a"), TestBox::start("b", "hall-a"));
    b.mesh.take_beacon(lost.mesh.id, lost.addr, calm_beacon(12));
    assert!(b.mesh.catch_up().misses(b.mesh.list_now().version));
    let objects = (0..10).map(|i| entry(&format!("u{i}"), "live", i + 1)).collect();
    b.mesh.take_list(&Changes { version: at(30), objects, removed: Vec::new() }, "the test");
    let held = b.mesh.list_now().version;
    assert!(!b.mesh.catch_up().misses(held), "it holds {held}, and all that there is");
    assert_eq!(held, at(12), "no more than others know of, or they would ask for it");
}

#[test]
fn what_two_duties_change_is_handed_on_in_their_order() {
    let b = TestBox::start("a", "hall-a");
    // From here on only the one upstream changes.
    assert_eq!(b.mesh.next_list().len(), 10);
    let state = |v: u64| if v.is_multiple_of(2) { "live" } else { "leaving" };
    let changes = |v| Changes {
        version: at(v),
        objects: vec![entry("u0", state(v), v)],
        removed: Vec::new(),
    };
    let handed = std::thread::scope(|s| {
        for first in [11, 12] {
            let mesh = &b.mesh;
            s.spawn(move || {
                (first..2_000).step_by(2).for_each(|v| mesh.take_changes(&changes(v), "a duty"));
            });
        }
        let mut handed = None;
        for _ in 0..1_000 {
            handed = b.mesh.next_list().pop().or(handed);
        }
        handed
    });
    let last = b.mesh.next_list().pop().or(handed);
    let is_leaving =
        |c: &ListChange| matches!(c, ListChange::Set(l) if l.member.state == MemberState::Leaving);
    assert_eq!(last.as_ref().is_some_and(is_leaving), b.knows_left("u0"), "{last:?}");
}
