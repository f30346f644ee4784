//! Entries of another writer among those of the upstreams.

use crate::support::{TestBox, at, entry};
use honeypulley_mesh::list::ListChange;
use honeypulley_platform::api::{Changes, Object};
use honeypulley_policy::spec::MemberState;
use std::collections::BTreeMap;

/// Gives a box what the platform's watch brought.
fn watch(b: &TestBox, objects: Vec<Object>) {
    let version = objects.iter().map(|o| o.version).max().unwrap_or(at(0));
    b.mesh.take_changes(&Changes { version, objects, removed: Vec::new() }, "the test");
}

/// What the serving thread is told of each upstream: its state, or nothing if it is gone.
fn told(b: &TestBox) -> BTreeMap<String, Option<MemberState>> {
    let state = |c: ListChange| match c {
        ListChange::Set(l) => (l.member.name, Some(l.member.state)),
        ListChange::Gone(name) => (name, None),
    };
    b.mesh.next_list().into_iter().map(state).collect()
}

#[test]
fn an_entry_that_is_overwritten_names_no_upstream_and_ends_no_other() {
    let b = TestBox::start("box1", "hall-a");
    told(&b);
    watch(&b, vec![entry("u3", "{]", 11), entry("u4", "leaving", 12)]);
    let expected = [("u3".to_owned(), None), ("u4".to_owned(), Some(MemberState::Leaving))];
    assert_eq!(told(&b), BTreeMap::from(expected));
    assert_eq!(b.mesh.list_now().version, at(12), "the list is complete with it");
}

#[test]
fn an_entry_that_becomes_good_names_its_upstream_again() {
    let b = TestBox::start("box1", "hall-a");
    watch(&b, vec![entry("u3", "null", 11)]);
    told(&b);
    watch(&b, vec![entry("u3", "live", 12)]);
    assert_eq!(told(&b), BTreeMap::from([("u3".to_owned(), Some(MemberState::Live))]));
}

#[test]
fn a_change_of_such_entries_alone_holds_up_no_version() {
    let b = TestBox::start("box1", "hall-a");
    watch(&b, vec![entry("stranger", "", 11)]);
    assert_eq!(b.mesh.list_now().version, at(11));
    assert_eq!(told(&b).get("stranger"), Some(&None));
}

#[test]
fn a_whole_list_with_such_an_entry_is_taken_without_it() {
    let b = TestBox::start("box1", "hall-a");
    told(&b);
    let mut objects: Vec<Object> =
        (0..10).map(|i| entry(&format!("u{i}"), "live", i + 1)).collect();
    objects[5] = entry("u5", "what is this", 20);
    objects.push(entry("stranger", "1", 21));
    b.mesh.take_list(&Changes { version: at(21), objects, removed: Vec::new() }, "the test");
    let told = told(&b);
    assert_eq!(told.get("u5"), Some(&None));
    assert!(!told.contains_key("u4"), "the others stay as they are");
    assert_eq!(b.mesh.upstreams(), 9);
}

#[test]
fn such_entries_are_counted() {
    let b = TestBox::start("box1", "hall-a");
    watch(&b, vec![entry("u3", "{]", 11), entry("stranger", "", 12)]);
    assert_eq!(b.mesh.foreign_entries(), 2);
}
