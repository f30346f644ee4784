//! The way of a new routing table through a data hall, by the order that all boxes draw.

use honeypulley_mesh::tree::{Neighbour, parent};
use honeypulley_policy::collector::NameId;
use rstest::rstest;
use std::collections::BTreeMap;

fn hall(n: u64) -> Vec<Neighbour> {
    (1..=n).map(|id| Neighbour { id: NameId(id), silent: false }).collect()
}

/// Returns what box `me` sees: the others.
fn others(hall: &[Neighbour], me: NameId) -> Vec<Neighbour> {
    hall.iter().copied().filter(|n| n.id != me).collect()
}

/// Returns the steps from the reader to a box.
fn depth(hall: &[Neighbour], me: NameId, number: u64) -> usize {
    let mut at = me;
    let mut steps = 1;
    while let Some(up) = parent(at, &others(hall, at), number) {
        at = up;
        steps += 1;
        assert!(steps <= hall.len(), "the way of {me:?} goes round in a circle");
    }
    steps
}

#[rstest]
#[case(1, 1)]
#[case(12, 3)]
#[case(59, 4)]
#[case(184, 5)]
fn each_box_is_reached_from_the_reader_in_few_steps(#[case] n: u64, #[case] most: usize) {
    for number in 1..20 {
        let hall = hall(n);
        let mut children: BTreeMap<NameId, usize> = BTreeMap::new();
        let mut firsts = 0;
        for me in hall.iter().map(|b| b.id) {
            assert!(depth(&hall, me, number) <= most);
            match parent(me, &others(&hall, me), number) {
                Some(up) => *children.entry(up).or_default() += 1,
                None => firsts += 1,
            }
        }
        assert_eq!(firsts, 1, "one box of a data hall asks the reader");
        assert!(children.values().all(|&c| c <= 4), "{children:?}");
    }
}

#[test]
fn other_tables_take_other_ways() {
    let hall = hall(59);
    let first = |number| hall.iter().find(|b| parent(b.id, &others(&hall, b.id), number).is_none());
    let firsts: std::collections::BTreeSet<_> =
        (0..20).filter_map(|number| first(number).map(|b| b.id)).collect();
    assert!(firsts.len() > 10, "{firsts:?}");
}

#[test]
fn boxes_of_which_nothing_is_heard_hand_nothing_on_while_others_can() {
    let mut hall = hall(40);
    hall.iter_mut().take(10).for_each(|b| b.silent = true);
    for number in 0..20 {
        for me in hall.iter().skip(10).map(|b| b.id) {
            let up = parent(me, &others(&hall, me), number);
            assert!(up.is_none_or(|id| id.0 > 10), "{me:?} waits for {up:?}");
        }
    }
}
