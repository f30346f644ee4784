//! Shape of the distribution tree of routing tables within a data hall.

use honeypulley_mesh::tree::{HallPeer, parent};
use honeypulley_policy::collector::NameId;
use rstest::rstest;
use std::collections::BTreeMap;

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
