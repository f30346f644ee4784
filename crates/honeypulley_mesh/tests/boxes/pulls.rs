//! Pulls of the list from a peer, of which only the missing changes are transferred.

use crate::support::{TestBox, at, key, reader_beacon, upstream_object};
use honeypulley_peer::client::PeerClient;
use honeypulley_peer::list_page::{BoxAnswer, ListPage, PAGE_ENTRIES};
use honeypulley_peer::listing::BoxAddress;
use honeypulley_peer::server::PulledList;
use honeypulley_platform::api::Changes;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Pulls the list of a box after a revision.
fn pull(from: SocketAddr, after: Revision) -> PulledList {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime can be built"), async {
        let peer = PeerClient::connect(from, &key()).await.expect("the box accepts");
        peer.upstreams(after).await.expect("the box answers")
    })
}

fn names(list: &PulledList) -> Vec<&str> {
    list.entries.iter().map(|e| e.name.as_str()).collect()
}

/// Guards against transferring a whole list for a few changes, or for none.
#[test]
fn a_pull_transfers_what_the_box_misses() {
    let b = TestBox::start("a", "hall-a");
    let objects = vec![upstream_object("u10", "live", 11), upstream_object("u0", "leaving", 12)];
    b.mesh.apply_watched_changes(
        &Changes { version: at(12), objects, removed: Vec::new() },
        "the test",
    );
    let missing = pull(b.addr, at(10));
    assert_eq!((names(&missing), missing.version), (vec!["u10", "u0"], at(12)));
    assert_eq!(missing.since, Some(at(10)));
    assert_eq!(pull(b.addr, at(12)), PulledList::default(), "there is nothing newer");
    assert_eq!(pull(b.addr, at(15)), PulledList::default(), "the box itself is behind");
    let whole = pull(b.addr, Revision::ZERO);
    assert_eq!((whole.entries.len(), whole.since), (11, None));
}

/// A box of an earlier epoch of the platform gets the full list.
#[test]
fn a_pull_across_a_restore_transfers_the_whole_list() {
    let b = TestBox::start("a", "hall-a");
    let objects = (0..3).map(|i| upstream_object(&format!("u{i}"), "live", i + 1)).collect();
    b.mesh.apply_full_list(
        &Changes { version: Revision::new(2, 5), objects, removed: Vec::new() },
        "the test",
    );
    let pulled = pull(b.addr, at(10));
    assert_eq!(pulled.since.unwrap_or(Revision::ZERO), Revision::ZERO, "{pulled:?}");
}

/// Returns the first page of the list of a box.
fn first_page(from: SocketAddr) -> Option<ListPage> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime can be built"), async {
        let peer = PeerClient::connect(from, &key()).await.expect("the box accepts");
        peer.list_page("").await.expect("the box answers")
    })
}

#[test]
fn a_box_without_a_list_sends_no_page() {
    let b = TestBox::start_empty("a", "hall-a");
    assert_eq!(first_page(b.addr), None);
}

/// Guards against boxes that hold nothing and take the lists of each other for complete.
#[test]
fn boxes_without_a_list_get_one_from_the_only_box_that_has_it() {
    let empty: Vec<TestBox> =
        (0..3).map(|i| TestBox::start_empty(&format!("empty{i}"), "hall-a")).collect();
    for b in &empty {
        empty.iter().filter(|o| o.addr != b.addr).for_each(|o| b.add_peer(o, o.addr));
        // A reader without a list announces that its empty list is current.
        b.mesh.apply_beacon(empty[0].mesh.id, empty[0].addr, reader_beacon(Revision::ZERO));
    }
    std::thread::sleep(Duration::from_millis(300));
    let full = TestBox::start("full", "hall-a");
    empty.iter().for_each(|b| b.add_peer(&full, full.addr));
    let began = Instant::now();
    while !empty.iter().all(|b| b.mesh.upstreams() == 10) {
        assert!(began.elapsed() < Duration::from_secs(5), "some boxes have no list");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(empty.iter().all(|b| b.mesh.list_status().version == at(10)));
}

/// A list of several pages arrives whole, with its departed entries.
#[test]
fn a_long_list_is_pulled_in_pages() {
    let full = TestBox::start_empty("full", "hall-a");
    let count = 2 * PAGE_ENTRIES as u64 + 7;
    let objects = (0..count).map(|i| upstream_object(&format!("u{i:05}"), "live", i + 1)).collect();
    let all = Changes { version: at(count), objects, removed: Vec::new() };
    full.mesh.apply_full_list(&all, "the test");
    let first = first_page(full.addr).expect("the box has a list");
    assert_eq!((first.entries.len(), first.has_more), (PAGE_ENTRIES, true));
    let empty = TestBox::start_empty("empty", "hall-a");
    empty.add_peer(&full, full.addr);
    let began = Instant::now();
    while empty.mesh.upstreams() < count as usize {
        assert!(began.elapsed() < Duration::from_secs(5), "{} upstreams", empty.mesh.upstreams());
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(empty.mesh.startup.list_load().pages, 3);
}

/// Requests the address book of a box.
fn address_book(from: SocketAddr) -> BoxAnswer {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime can be built"), async {
        let peer = PeerClient::connect(from, &key()).await.expect("the box accepts");
        peer.box_page(NameId(0)).await.expect("the box answers")
    })
}

#[test]
fn a_box_sends_its_address_book_with_its_own_address() {
    let (a, b) = (TestBox::start_empty("a", "hall-a"), TestBox::start_empty("b", "hall-b"));
    a.add_peer(&b, b.addr);
    let BoxAnswer::Page(page) = address_book(a.addr) else { panic!("the box knows the fleet") };
    let ids: Vec<NameId> = page.boxes.iter().map(|b| b.id).collect();
    assert_eq!((ids, page.has_more), (vec![a.mesh.id, b.mesh.id], false));
}

/// Guards against boxes that know nobody and take the address books of each other for complete.
#[test]
fn a_box_that_does_not_know_the_fleet_names_a_few_others() {
    let a = TestBox::start_unaware("a", "hall-a");
    for i in 0..100 {
        let addr = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i), 7000));
        let (id, hall) = (NameId(i.into()), "hall-a".to_owned());
        a.mesh.add_address(BoxAddress { id, addr, hall, relay_port: None, fast_link: false });
    }
    let BoxAnswer::Sample { is_known, boxes } = address_book(a.addr) else {
        panic!("the address book may lack boxes")
    };
    assert_eq!((is_known, boxes.first().map(|b| b.id)), (false, Some(a.mesh.id)));
    assert!((2..20).contains(&boxes.len()), "{} boxes", boxes.len());
}
