//! The list of upstreams takes news in any order, and old news change nothing.

use honeypulley_mesh::list::{ListChange, UpstreamList};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::Listed;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);

/// A position in the one epoch of these tests.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn listed(name: &str, state: MemberState) -> Listed {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: "10.0.0.1:80".to_owned(),
        hall: "h".to_owned(),
        state,
    };
    Listed { member, slots: 3, cold: Duration::ZERO, born: None }
}

fn live(name: &str, version: u64) -> Entry {
    let state = EntryState::Present(listed(name, MemberState::Live));
    Entry { name: name.to_owned(), version: at(version), state }
}

fn gone(name: &str, version: u64, hold_ms: u64) -> Entry {
    let state = EntryState::Gone { hold: Duration::from_millis(hold_ms) };
    Entry { name: name.to_owned(), version: at(version), state }
}

/// A list with `a` at version 3 and `b` at 5.
fn two() -> UpstreamList {
    let mut l = UpstreamList::default();
    let changes = l.replace(at(7), vec![live("a", 3), live("b", 5)], Duration::ZERO, NOW);
    assert_eq!(changes.len(), 2);
    l
}

#[test]
fn a_list_is_as_new_as_its_newest_change() {
    let l = two();
    assert!(l.is_known());
    assert_eq!(l.version(), at(5), "not 7, which other objects raised");
}

#[test]
fn an_entry_that_goes_in_calm_is_gone_at_once() {
    let mut l = two();
    let changes = l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    assert_eq!(changes, [ListChange::Gone("a".to_owned())]);
    assert_eq!(l.version(), at(8));
}

#[test]
fn an_entry_that_goes_while_the_platform_is_away_may_come_back() {
    let mut l = two();
    assert_eq!(l.apply(at(5), at(8), vec![gone("a", 8, 2_000), gone("b", 7, 2_000)], NOW), []);
    assert!(l.has_missing());
    assert_eq!(l.apply(at(8), at(9), vec![live("a", 9)], Time::from_millis(2_000)).len(), 1);
    assert_eq!(l.expire(Time::from_millis(2_900)), []);
    assert_eq!(l.expire(Time::from_millis(3_100)), [ListChange::Gone("b".to_owned())]);
    assert_eq!(l.present().count(), 1);
}

#[test]
fn an_older_entry_never_replaces_a_newer_one() {
    let mut l = two();
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    assert_eq!(l.apply(at(2), at(3), vec![live("a", 3)], NOW), []);
    assert_eq!(l.apply(at(2), at(4), vec![gone("b", 4, 0)], NOW), []);
    assert_eq!(l.version(), at(8));
}

#[test]
fn the_same_news_twice_changes_nothing() {
    let mut l = two();
    assert_eq!(l.apply(at(5), at(5), vec![live("b", 5)], NOW), []);
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    assert_eq!(l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW), []);
}

#[test]
fn changes_behind_a_gap_are_taken_and_the_gap_remembered() {
    let mut l = two();
    assert_eq!(l.apply(at(9), at(11), vec![gone("a", 11, 0)], NOW).len(), 1);
    assert_eq!(l.version(), at(5), "what came between is still missing");
}

#[test]
fn what_a_whole_list_lacks_has_gone() {
    let mut l = two();
    let changes = l.replace(at(12), vec![live("b", 5)], Duration::ZERO, NOW);
    assert_eq!(changes, [ListChange::Gone("a".to_owned())]);
    assert_eq!(l.version(), at(12));
}

#[test]
fn a_whole_list_older_than_a_change_undoes_nothing() {
    let mut l = two();
    l.apply(at(5), at(9), vec![live("new", 9)], NOW);
    assert_eq!(l.replace(at(8), vec![live("a", 3), live("b", 5)], Duration::ZERO, NOW), []);
    assert_eq!(l.present().count(), 3);
}

#[test]
fn another_box_takes_the_list_with_what_went() {
    let mut l = two();
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    let mut other = two();
    let changes = other.replace(l.version(), l.entries(NOW), Duration::ZERO, NOW);
    assert_eq!(changes, [ListChange::Gone("a".to_owned())]);
    assert_eq!(other.version(), at(8));
}

#[test]
fn a_leaving_entry_is_a_change() {
    let mut l = two();
    let state = EntryState::Present(listed("a", MemberState::Leaving));
    let entry = Entry { name: "a".to_owned(), version: at(9), state };
    let changes = l.apply(at(5), at(9), vec![entry], NOW);
    assert!(matches!(&changes[..], [ListChange::Set(l)] if l.member.state == MemberState::Leaving));
}

#[rstest]
#[case::from_a_box_that_misses_some(8)]
#[case::in_pages_of_which_the_last_is_newer(7)]
fn a_list_is_complete_up_to_its_own_version_alone(#[case] version: u64) {
    let mut l = two();
    // The change at 9 is shown, the one between is not.
    l.replace(at(version), vec![live("a", 3), live("b", 5), live("c", 9)], Duration::ZERO, NOW);
    assert!(l.version() <= at(version), "{} claims more than was shown", l.version());
    let told = l.apply(at(5), at(10), vec![gone("a", 8, 0), live("d", 10)], NOW);
    assert_eq!(told.len(), 2);
    assert_eq!(l.version(), at(10));
}

#[test]
fn a_gap_that_closes_completes_what_came_from_beyond_it() {
    let mut l = two();
    l.apply(at(9), at(11), vec![gone("a", 11, 0)], NOW);
    l.apply(at(11), at(14), vec![live("c", 14)], NOW);
    l.apply(at(7), at(9), vec![live("d", 9)], NOW);
    assert_eq!(l.version(), at(5));
    l.apply(at(5), at(7), vec![live("e", 7)], NOW);
    assert_eq!(l.version(), at(14));
}

/// An upstream that had come and gone again was there for good on a box that heard of the
/// last change before the one in the middle.
#[test]
fn a_change_that_comes_late_undoes_no_newer_one_that_changed_nothing() {
    let mut l = two();
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    l.apply(at(8), at(12), vec![gone("a", 12, 0)], NOW);
    assert_eq!(l.apply(at(9), at(10), vec![live("a", 10)], NOW), []);
    assert_eq!(l.present().count(), 1);
}

#[test]
fn a_box_that_asks_is_told_what_it_lacks_and_no_more() {
    let mut l = two();
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    l.apply(at(8), at(9), vec![live("c", 9)], NOW);
    let names = |since| {
        let found = l.changes_after(at(since), NOW)?;
        Some(found.into_iter().map(|e| e.name).collect::<Vec<_>>())
    };
    assert_eq!(names(8), Some(vec!["c".to_owned()]));
    assert_eq!(names(5), Some(vec!["a".to_owned(), "c".to_owned()]));
    assert_eq!(names(9), Some(Vec::new()));
    assert_eq!(names(10), None, "this box holds less itself");
}

#[test]
fn what_may_be_forgotten_is_not_told_as_all() {
    let mut l = two();
    l.apply(at(5), at(8), vec![gone("a", 8, 0)], NOW);
    l.expire(NOW + Duration::from_secs(600));
    assert_eq!(l.changes_after(at(7), NOW), None, "that a went is forgotten");
    assert_eq!(l.changes_after(at(8), NOW), Some(Vec::new()));
}

#[test]
fn a_list_is_as_old_as_its_last_confirmation() {
    let mut l = two();
    assert_eq!(l.as_of(), None);
    l.confirm(at(9), Time::from_millis(900));
    assert_eq!(l.as_of(), None, "it lacks what that one has");
    l.confirm(at(5), Time::from_millis(900));
    l.confirm(at(4), Time::from_millis(400));
    assert_eq!(l.as_of(), Some(Time::from_millis(900)));
}
