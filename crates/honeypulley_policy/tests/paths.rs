//! Tests the detection of partitions between a box and the upstreams of a service.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::paths::PathMonitor;
use honeypulley_policy::time::Time;
use std::time::Duration;

const ONE: NameId = NameId(1);
const OTHER: NameId = NameId(2);

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

#[test]
fn a_partition_begins_and_ends_once() {
    let mut paths = PathMonitor::default();
    assert!(paths.record_partition(ONE, at(0)));
    assert!(!paths.record_partition(ONE, at(1)));
    assert!(paths.is_partitioned(ONE));
    assert!(paths.record_contact(ONE, at(2)));
    assert!(!paths.record_contact(ONE, at(3)));
    assert!(!paths.is_partitioned(ONE));
}

#[test]
fn services_are_judged_separately() {
    let mut paths = PathMonitor::default();
    paths.record_partition(ONE, at(0));
    assert!(!paths.is_partitioned(OTHER));
    assert!(paths.is_partitioned(ONE));
}

#[test]
fn only_a_contact_after_the_start_of_an_attempt_shows_that_the_path_worked() {
    let mut paths = PathMonitor::default();
    paths.record_contact(ONE, at(10));
    assert!(paths.has_contact_since(ONE, at(10)));
    assert!(!paths.has_contact_since(ONE, at(11)));
    assert!(!paths.has_contact_since(OTHER, at(0)));
}

#[test]
fn checks_of_one_service_are_a_quarter_of_a_second_apart() {
    let mut paths = PathMonitor::default();
    assert!(paths.begin_check(ONE, at(0)));
    assert!(!paths.begin_check(ONE, at(249)));
    assert!(paths.begin_check(OTHER, at(249)));
    assert!(paths.begin_check(ONE, at(250)));
}
