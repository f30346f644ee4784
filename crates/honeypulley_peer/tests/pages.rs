//! Encoding of the pages of lists and address books, and malformed ones.

use honeypulley_peer::list_page::{
    ListPage, compress_boxes, compress_entries, decompress_boxes, decompress_entries,
};
use honeypulley_peer::listing::{BoxAddress, Entry, EntryState};
use honeypulley_policy::balance::UpstreamEntry;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

fn entry(i: u32) -> Entry {
    let member = Member {
        name: format!("i-{:010x}", u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24),
        service: ["guestlist", "rsvp-commit", "media"][i as usize % 3].to_owned(),
        addr: format!("{}:8780", Ipv4Addr::from(0x0a01_0000 + i)),
        hall: format!("suva-{}", i % 5),
        state: MemberState::Live,
    };
    let started = Some(1_783_700_000_000 + u64::from(i) * 7);
    let listed = UpstreamEntry { member, slots: 3, warm_up: Duration::from_millis(120), started };
    let name = listed.member.name.clone();
    Entry { name, version: Revision::new(1, i.into()), state: EntryState::Present(listed) }
}

fn address(i: u32) -> BoxAddress {
    BoxAddress {
        id: NameId(u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        addr: SocketAddr::from((Ipv4Addr::from(0x0a01_0000 + i), 7100)),
        hall: format!("suva-{}", i % 5),
        relay_port: Some(7101),
        fast_link: i.is_multiple_of(28),
    }
}

/// Links are sized for 50 bytes an entry; see `mesh::uplink`.
#[test]
fn a_page_is_small() {
    let entries: Vec<Entry> = (0..1_000).map(entry).collect();
    let page = compress_entries(&entries);
    assert_eq!(decompress_entries(&page).expect("the page is valid"), entries);
    assert!(page.len() <= 50 * entries.len(), "{} bytes", page.len());
    let boxes: Vec<BoxAddress> = (0..1_000).map(address).collect();
    let page = compress_boxes(&boxes);
    assert_eq!(decompress_boxes(&page).expect("the page is valid"), boxes);
    assert!(page.len() <= 50 * boxes.len(), "{} bytes", page.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decompress_entries(&bytes);
        let _ = decompress_boxes(&bytes);
    }

    #[test]
    fn truncated_and_damaged_pages_are_decoded_or_rejected(
        end in 0_usize..2_000, at in 0_usize..2_000, value in any::<u8>(),
    ) {
        let mut page = compress_entries(&(0..30).map(entry).collect::<Vec<_>>());
        let at = at % page.len();
        page[at] = value;
        page.truncate(end.max(1));
        let _ = decompress_entries(&page);
    }

    /// A page names its decompressed size, which must not make the receiver allocate it.
    #[test]
    fn an_oversized_page_is_rejected(size in (4_u32 << 20) + 1..) {
        let mut page = compress_entries(&[entry(1)]);
        page[..4].copy_from_slice(&size.to_le_bytes());
        prop_assert!(decompress_entries(&page).is_err());
    }
}

/// Guards against a transfer that asks for the same page forever.
#[test]
fn a_page_that_promises_more_has_to_advance() {
    let page = |has_more, entries| ListPage { has_more, entries, ..ListPage::default() };
    let one = entry(1);
    let name = one.name.clone();
    assert!(page(true, vec![one.clone()]).advances(""));
    assert!(!page(true, vec![one.clone()]).advances(&name));
    assert!(!page(true, vec![one]).advances("j"));
    assert!(!page(true, Vec::new()).advances(""));
    assert!(page(false, Vec::new()).advances(&name), "the last page may be empty");
}
