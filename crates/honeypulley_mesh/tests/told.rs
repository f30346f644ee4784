//! A change that is told in parts is complete with the last of them, whichever that is.

use honeypulley_mesh::told::Parts;
use honeypulley_peer::codec::{MAX_TOLD_PARTS, Told};
use honeypulley_peer::listing::{Entry, EntryState, MAX_ENTRIES};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use rstest::rstest;
use std::time::Duration;

const A: NameId = NameId(1);
const B: NameId = NameId(2);

/// A position in the one epoch of these tests.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn entries(n: usize) -> Vec<Entry> {
    let state = || EntryState::Gone { hold: Duration::ZERO };
    (0..n).map(|i| Entry { name: format!("u{i}"), version: at(11), state: state() }).collect()
}

fn cut(n: usize) -> Vec<Told> {
    Told::cut(at(10), at(11), Duration::ZERO, &entries(n)).expect("they are few")
}

#[rstest]
#[case::in_order([0, 1, 2])]
#[case::last_first([2, 1, 0])]
#[case::mixed([1, 2, 0])]
fn parts_may_come_in_any_order(#[case] order: [usize; 3]) {
    let told = cut(2 * MAX_ENTRIES + 1);
    let mut p = Parts::default();
    let complete = order.map(|i| p.is_complete(A, &told[i]));
    assert_eq!(complete, [false, false, true]);
}

#[test]
fn a_part_that_comes_twice_stands_for_no_other() {
    let told = cut(2 * MAX_ENTRIES);
    let mut p = Parts::default();
    assert!(!p.is_complete(A, &told[1]));
    assert!(!p.is_complete(A, &told[1]));
    assert!(p.is_complete(A, &told[0]));
}

#[test]
fn parts_of_two_boxes_make_no_whole() {
    let told = cut(2 * MAX_ENTRIES);
    let mut p = Parts::default();
    assert!(!p.is_complete(A, &told[0]));
    assert!(!p.is_complete(B, &told[1]), "each may have cut its changes its own way");
}

#[test]
fn no_change_at_all_is_one_part() {
    let told = cut(0);
    assert_eq!(told.len(), 1);
    assert!(Parts::default().is_complete(A, &told[0]));
}

#[test]
fn more_than_fits_is_not_told() {
    let too_many = entries(MAX_TOLD_PARTS * MAX_ENTRIES + 1);
    assert_eq!(Told::cut(at(10), at(11), Duration::ZERO, &too_many), None);
}

#[rstest]
#[case::no_parts(0, 0)]
#[case::a_part_beyond_the_last(2, 2)]
#[case::more_parts_than_are_told(0, 100)]
fn a_part_that_cannot_be_is_left_out(#[case] part: u16, #[case] parts: u16) {
    let told = Told { part, parts, ..cut(1)[0].clone() };
    assert!(!Parts::default().is_complete(A, &told));
}
