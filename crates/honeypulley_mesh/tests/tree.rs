//! Shape of the distribution tree of routing tables within a data hall.

use honeypulley_mesh::book::AddressBook;
use honeypulley_mesh::tree::{HallPeer, parent, position};
use honeypulley_peer::listing::BoxAddress;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn hall(n: u64) -> Vec<HallPeer> {
    (1..=n).map(|id| HallPeer { id: NameId(id), unreachable: false }).collect()
}

/// Returns the peers of box `me`.
fn others(hall: &[HallPeer], me: NameId) -> Vec<HallPeer> {
    hall.iter().copied().filter(|n| n.id != me).collect()
}

/// Returns the number of transfers from the reader to a box.
fn depth(hall: &[HallPeer], me: NameId, number: u64) -> usize {
    let mut current = me;
    let mut steps = 1;
    while let Some(parent_id) = parent(current, &others(hall, current), number) {
        current = parent_id;
        steps += 1;
        assert!(steps <= hall.len(), "the tree has a cycle above {me:?}");
    }
    steps
}

#[rstest]
#[case(1, 1)]
#[case(12, 3)]
#[case(59, 4)]
#[case(184, 5)]
fn each_box_is_within_few_steps_of_the_reader(#[case] n: u64, #[case] max_depth: usize) {
    for number in 1..20 {
        let hall = hall(n);
        let mut children: BTreeMap<NameId, usize> = BTreeMap::new();
        let mut roots = 0;
        for me in hall.iter().map(|b| b.id) {
            assert!(depth(&hall, me, number) <= max_depth);
            match parent(me, &others(&hall, me), number) {
                Some(parent_id) => *children.entry(parent_id).or_default() += 1,
                None => roots += 1,
            }
        }
        assert_eq!(roots, 1, "exactly one box of a data hall pulls from the reader");
        assert!(children.values().all(|&c| c <= 4), "{children:?}");
    }
}

#[test]
fn different_tables_use_different_trees() {
    let hall = hall(59);
    let root = |number| hall.iter().find(|b| parent(b.id, &others(&hall, b.id), number).is_none());
    let roots: std::collections::BTreeSet<_> =
        (0..20).filter_map(|number| root(number).map(|b| b.id)).collect();
    assert!(roots.len() > 10, "{roots:?}");
}

#[test]
fn unreachable_boxes_are_no_parents_of_reachable_ones() {
    let mut hall = hall(40);
    hall.iter_mut().take(10).for_each(|b| b.unreachable = true);
    for number in 0..20 {
        for me in hall.iter().skip(10).map(|b| b.id) {
            let parent_id = parent(me, &others(&hall, me), number);
            assert!(
                parent_id.is_none_or(|id| id.0 > 10),
                "the parent of {me:?} is the unreachable {parent_id:?}"
            );
        }
    }
}

/// Returns the address book of a box in a data hall of `n` boxes, which has heard from nobody.
fn silent_book(me: u64, n: u64) -> AddressBook {
    let mut book = AddressBook::new(NameId(me), "h");
    for id in 1..=n {
        let addr = ([10, 0, (id / 256) as u8, (id % 256) as u8], 7_000).into();
        book.upsert(BoxAddress {
            id: NameId(id),
            addr,
            hall: "h".to_owned(),
            relay_port: None,
            fast_link: false,
        });
    }
    book
}

/// Guards against a hall whose boxes all pull a table from the reader.
///
/// Boxes without callers send no datagrams, and each took the others for unreachable then.
#[test]
fn boxes_that_have_not_heard_from_each_other_form_one_tree() {
    const BOXES: u64 = 197;
    let roots = |now: Time| {
        let is_root = |me: &u64| {
            let peers = silent_book(*me, BOXES).hall_peers(now);
            parent(NameId(*me), &peers, 7).is_none()
        };
        (1..=BOXES).filter(is_root).count()
    };
    assert_eq!(roots(Time::ZERO), 1);
    assert_eq!(roots(Time::from_millis(24_000)), 1);
}

#[test]
fn a_box_that_has_become_silent_or_failed_is_no_parent() {
    let mut book = silent_book(1, 3);
    let unreachable = |book: &AddressBook, secs: u64| -> Vec<NameId> {
        let peers = book.hall_peers(Time::from_millis(secs * 1_000));
        peers.into_iter().filter(|p| p.unreachable).map(|p| p.id).collect()
    };
    book.record_contact(NameId(2), Time::ZERO);
    assert_eq!(unreachable(&book, 30), []);
    assert_eq!(unreachable(&book, 61), [NameId(2)]);
    book.record_failed_pull(NameId(3), Time::from_millis(61_000));
    assert_eq!(unreachable(&book, 62), [NameId(2), NameId(3)]);
    assert_eq!(unreachable(&book, 75), [NameId(2)]);
}

/// Guards against a large hall that turns to the platform at once.
///
/// Each level takes a fifth of a second where a box has a tenth of a core.
#[rstest]
#[case(12)]
#[case(59)]
#[case(197)]
#[case(395)]
fn no_box_gives_up_on_a_parent_that_is_still_waiting(#[case] n: u64) {
    const LEVEL: Duration = Duration::from_millis(200);
    let hall = hall(n);
    for me in hall.iter().map(|b| b.id) {
        let position = position(me, &others(&hall, me), 7);
        assert_eq!(position.depth as usize + 1, depth(&hall, me, 7));
        let arrival = LEVEL * (position.depth + 1);
        assert!(arrival <= position.timeout(), "{position:?} after {arrival:?}");
        assert!(position.timeout() <= Duration::from_millis(1_200), "{position:?}");
    }
}
