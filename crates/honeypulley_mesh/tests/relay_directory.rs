//! Tests the choice of a box through which requests are relayed.

use honeypulley_mesh::book::AddressBook;
use honeypulley_mesh::relay_directory::RelayDirectory;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::regions::{RegionMap, RegionSet};
use honeypulley_policy::time::Time;
use honeypulley_proxy::relay::RelayRequest;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: NameId = NameId(77);
const OTHER_SERVICE: NameId = NameId(78);
/// Data halls with their regions; the box under test is in the first.
const HALLS: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn relay(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 7_001).into()
}

fn regions() -> RegionMap {
    let halls: BTreeMap<String, String> =
        HALLS.iter().map(|(h, r)| ((*h).to_owned(), (*r).to_owned())).collect();
    RegionMap::new(&halls).expect("there are few regions")
}

fn region(name: &str) -> RegionSet {
    regions().set(&[name.to_owned()]).expect("the region exists")
}

/// Returns the address book of a box that has received a datagram of a box in each of these data halls.
fn book(halls: &[&str]) -> AddressBook {
    let mut book = AddressBook::new(NameId(0), HALLS[0].0);
    for (n, hall) in (1..).zip(halls) {
        let (id, addr) = (NameId(n.into()), ([10, 0, 0, n], 7_000).into());
        book.upsert(BoxAddress {
            id,
            addr,
            hall: (*hall).to_owned(),
            relay_port: Some(7_001),
            fast_link: false,
        });
        book.record_contact(id, at(0));
    }
    book
}

fn choose(
    d: &RelayDirectory,
    book: &AddressBook,
    w: &RelayRequest<'_>,
    ms: u64,
) -> Option<SocketAddr> {
    d.choose(book, &regions(), w, at(ms))
}

const WANTED: RelayRequest<'_> = RelayRequest { service: SERVICE, regions: None, tried: &[] };

#[rstest]
#[case::another_hall(&["b1", "a1", "a2"], Some(3))]
#[case::own_hall(&["b1", "a1"], Some(2))]
#[case::own_region(&["b1", "a2"], Some(2))]
#[case::another_region(&["b1"], Some(1))]
#[case::nobody(&[], None)]
fn the_nearest_box_is_chosen(#[case] halls: &[&str], #[case] expected: Option<u8>) {
    let chosen = choose(&RelayDirectory::default(), &book(halls), &WANTED, 1);
    assert_eq!(chosen, expected.map(relay));
}

#[test]
fn a_partitioned_box_is_not_chosen_for_that_service() {
    let (mut d, book) = (RelayDirectory::default(), book(&["a1"]));
    d.record_announcement(NameId(1), SERVICE, true, at(0));
    assert_eq!(choose(&d, &book, &WANTED, 1), None);
    let other = RelayRequest { service: OTHER_SERVICE, ..WANTED };
    assert_eq!(choose(&d, &book, &other, 1), Some(relay(1)));
    d.record_announcement(NameId(1), SERVICE, false, at(2));
    assert_eq!(choose(&d, &book, &WANTED, 3), Some(relay(1)));
}

/// The announcement that a partition has ended may be lost.
#[test]
fn an_announced_partition_expires() {
    let (mut d, book) = (RelayDirectory::default(), book(&["a1"]));
    d.record_announcement(NameId(1), SERVICE, true, at(0));
    assert_eq!(choose(&d, &book, &WANTED, 9_999), None);
    assert_eq!(choose(&d, &book, &WANTED, 10_000), Some(relay(1)));
}

#[test]
fn a_box_that_could_not_serve_is_excluded_for_a_second() {
    let (mut d, book) = (RelayDirectory::default(), book(&["a2", "a1"]));
    d.record_unusable(NameId(1), SERVICE, at(0));
    assert_eq!(choose(&d, &book, &WANTED, 999), Some(relay(2)));
    assert_eq!(choose(&d, &book, &WANTED, 1_000), Some(relay(1)));
}

#[test]
fn a_box_is_tried_once_for_a_request() {
    let book = book(&["a1", "a2"]);
    let tried = [relay(1)];
    let wanted = RelayRequest { tried: &tried, ..WANTED };
    assert_eq!(choose(&RelayDirectory::default(), &book, &wanted, 1), Some(relay(2)));
}

/// The body of a restricted request stays in the own region and the allowed ones.
#[rstest]
#[case::allowed("b", Some(1))]
#[case::not_allowed("a", None)]
fn a_restricted_request_goes_to_no_other_region(#[case] home: &str, #[case] expected: Option<u8>) {
    let wanted = RelayRequest { regions: Some(region(home)), ..WANTED };
    let chosen = choose(&RelayDirectory::default(), &book(&["b1"]), &wanted, 1);
    assert_eq!(chosen, expected.map(relay));
}

#[test]
fn a_box_that_accepts_no_relayed_requests_is_not_chosen() {
    let mut book = AddressBook::new(NameId(0), "a1");
    let (id, addr, hall) = (NameId(1), ([10, 0, 0, 1], 7_000).into(), "a1".to_owned());
    book.upsert(BoxAddress { id, addr, hall, relay_port: None, fast_link: false });
    assert_eq!(choose(&RelayDirectory::default(), &book, &WANTED, 1), None);
}

/// A box from which nothing was received for five seconds comes last, whichever its data hall.
#[test]
fn a_reachable_box_goes_first() {
    let mut book = book(&["a1", "a2"]);
    book.record_contact(NameId(2), at(9_000));
    assert_eq!(choose(&RelayDirectory::default(), &book, &WANTED, 9_001), Some(relay(2)));
}

#[test]
fn a_box_of_this_hall_that_was_just_answered_goes_first() {
    let (mut d, book) = (RelayDirectory::default(), book(&["a2", "a1"]));
    d.record_success(NameId(2), at(0));
    assert_eq!(choose(&d, &book, &WANTED, 999), Some(relay(2)));
    assert_eq!(choose(&d, &book, &WANTED, 1_000), Some(relay(1)));
}

/// Guards against a request that is offered to the boxes of a partitioned data hall only.
#[test]
fn a_hall_with_mostly_partitioned_boxes_comes_last() {
    let (mut d, book) = (RelayDirectory::default(), book(&["a1", "a1", "a1", "b1"]));
    assert!(choose(&d, &book, &WANTED, 1).is_some_and(|a| a != relay(4)));
    d.record_announcement(NameId(1), SERVICE, true, at(1));
    d.record_announcement(NameId(2), SERVICE, true, at(1));
    assert_eq!(choose(&d, &book, &WANTED, 2), Some(relay(4)));
}

#[test]
fn a_partition_is_announced_at_its_start_and_end_and_every_four_seconds() {
    let mut d = RelayDirectory::default();
    assert!(d.set_partitioned(SERVICE, true, at(0)));
    assert!(!d.set_partitioned(SERVICE, true, at(3_999)));
    assert!(d.set_partitioned(SERVICE, true, at(4_000)));
    assert!(d.set_partitioned(SERVICE, false, at(4_001)));
    assert!(!d.set_partitioned(SERVICE, false, at(4_002)));
}
