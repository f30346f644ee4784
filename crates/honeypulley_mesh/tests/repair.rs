//! Pulls of a list that differs from a reader's list become rarer while they change nothing.

use honeypulley_mesh::catch_up::Source;
use honeypulley_mesh::repair::ListRepair;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Time between the beacons of readers.
const BEACON: Duration = Duration::from_millis(500);

fn reader() -> Source {
    Source { origin: NameId(7), via: ([10, 0, 0, 7], 7_000).into() }
}

/// Returns how many pulls differing beacons bring about within `period`.
fn pulls(repair: &mut ListRepair, start: Time, period: Duration) -> usize {
    let beacons = (period.as_millis() / BEACON.as_millis()) as u32;
    let mut due = 0;
    for i in 0..beacons {
        due += usize::from(repair.record_difference(reader(), start + BEACON * i));
    }
    due
}

#[test]
fn the_first_difference_is_repaired_at_once() {
    let mut repair = ListRepair::default();
    assert!(repair.record_difference(reader(), Time::from_millis(3)));
    assert_eq!(repair.take_pending(), Some(reader()));
    assert_eq!(repair.take_pending(), None);
}

#[test]
fn a_difference_that_stays_costs_a_pull_a_minute() {
    let mut repair = ListRepair::default();
    let minute = Duration::from_secs(60);
    assert!(pulls(&mut repair, Time::ZERO, minute) <= 6);
    assert!(pulls(&mut repair, Time::ZERO + minute * 2, minute * 10) <= 10);
}

#[test]
fn a_match_ends_the_repair() {
    let mut repair = ListRepair::default();
    pulls(&mut repair, Time::ZERO, Duration::from_secs(60));
    repair.record_match();
    assert_eq!(repair.take_pending(), None);
    assert!(repair.record_difference(reader(), Time::from_millis(1_000_000)));
    assert!(repair.record_difference(reader(), Time::from_millis(1_001_000)));
}
