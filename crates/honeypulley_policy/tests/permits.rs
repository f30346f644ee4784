//! Tests the floor with stale views, paused boxes and any order of changes.

use honeypulley_policy::permits::{
    CLOCK_MARGIN, FloorContext, LEASE, PermitError, PermitRecord, PermitState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::time::Duration;

const UPSTREAMS: usize = 6;
const FLOOR: usize = 4;
const BOXES: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Step {
    Eject(usize),
    Canary(usize),
    Release(usize),
    Retire(usize),
    /// The platform confirms the latest record to a box.
    Confirm(usize),
    /// Time passes, during which boxes without a confirmation are paused or disconnected.
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let up = 0..UPSTREAMS;
    let step = prop_oneof![
        3 => up.clone().prop_map(Step::Eject),
        1 => up.clone().prop_map(Step::Canary),
        2 => up.clone().prop_map(Step::Release),
        3 => up.prop_map(Step::Retire),
        3 => (0..BOXES).prop_map(Step::Confirm),
        3 => (500u64..6_000).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..120)
}

fn name(i: usize) -> String {
    format!("u{i}")
}

#[derive(Clone, Default)]
struct View {
    record: PermitRecord,
    confirmed: Option<u64>,
}

/// Runs the steps and returns the largest union of ejections over all boxes.
///
/// `wait` is the time for which a writer waits before it frees a slot, in milliseconds.
fn largest_union(steps: &[Step], wait: u64) -> usize {
    let mut record = PermitRecord::default();
    let mut views = vec![View::default(); BOXES];
    let mut seen: std::collections::BTreeMap<(String, u64), u64> = Default::default();
    let (mut now, mut largest) = (0u64, 0);
    let ctx = FloorContext { live: UPSTREAMS, floor: FLOOR };
    for s in steps {
        let next = match *s {
            Step::Eject(i) => record.eject(&name(i), ctx),
            Step::Canary(i) => record.start_canary(&name(i)),
            Step::Release(i) => record.release(&name(i)),
            Step::Retire(i) => retire(&record, &name(i), &seen, now, wait),
            Step::Confirm(b) => {
                views[b] = View { record: record.clone(), confirmed: Some(now) };
                continue;
            }
            Step::Advance(ms) => {
                now += ms;
                continue;
            }
        };
        if let Ok(next) = next {
            record = next;
        }
        for (u, e) in &record.entries {
            if e.hold == PermitState::Cooling {
                seen.entry((u.clone(), e.serial)).or_insert(now);
            }
        }
        let lease = LEASE.as_millis() as u64;
        let acting = views.iter().filter(|v| v.confirmed.is_some_and(|at| now - at < lease));
        let union: BTreeSet<&String> = acting
            .flat_map(|v| v.record.entries.iter())
            .chain(record.entries.iter())
            .filter(|(_, e)| e.hold != PermitState::Cooling)
            .map(|(u, _)| u)
            .collect();
        largest = largest.max(union.len());
    }
    largest
}

fn retire(
    record: &PermitRecord,
    up: &str,
    seen: &std::collections::BTreeMap<(String, u64), u64>,
    now: u64,
    wait: u64,
) -> Result<PermitRecord, PermitError> {
    let serial = record.entries.get(up).map_or(0, |e| e.serial);
    let Some(first) = seen.get(&(up.to_owned(), serial)) else { return Err(PermitError::State) };
    if now - first < wait {
        return Err(PermitError::State);
    }
    // Without a wait, the writer claims a waiting time that has not passed.
    let claimed_wait = Duration::from_millis(now - first).max(if wait == 0 {
        LEASE + CLOCK_MARGIN
    } else {
        Duration::ZERO
    });
    record.remove_released(up, serial, claimed_wait)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_union_of_all_boxes_leaves_the_floor(steps in steps()) {
        prop_assert!(largest_union(&steps, 1) <= UPSTREAMS - FLOOR);
    }
}

#[test]
fn a_writer_that_frees_slots_at_once_breaks_the_floor() {
    // Two boxes act on different views, the older of which still ejects the released upstreams.
    let steps = [
        Step::Eject(0),
        Step::Eject(1),
        Step::Confirm(0),
        Step::Release(0),
        Step::Release(1),
        Step::Retire(0),
        Step::Retire(1),
        Step::Eject(2),
        Step::Eject(3),
        Step::Confirm(1),
    ];
    assert!(
        largest_union(&steps, 0) > UPSTREAMS - FLOOR,
        "freeing slots at once must break the floor"
    );
    assert!(largest_union(&steps, 1) <= UPSTREAMS - FLOOR);
}

#[test]
fn a_later_release_is_not_taken_for_the_one_that_was_seen() {
    let ctx = FloorContext { live: 6, floor: 4 };
    let first = PermitRecord::default()
        .eject("u0", ctx)
        .and_then(|r| r.release("u0"))
        .expect("change is allowed");
    let serial = first.entries["u0"].serial;
    let again = first.eject("u0", ctx).and_then(|r| r.release("u0")).expect("change is allowed");
    let seen = LEASE + CLOCK_MARGIN;
    assert_eq!(again.remove_released("u0", serial, seen), Err(PermitError::State));
    assert!(again.remove_released("u0", again.entries["u0"].serial, seen).is_ok());
}

#[test]
fn a_slot_is_freed_only_after_all_older_views_have_expired() {
    let ctx = FloorContext { live: 6, floor: 4 };
    let r = PermitRecord::default()
        .eject("u0", ctx)
        .and_then(|r| r.release("u0"))
        .expect("change is allowed");
    let serial = r.entries["u0"].serial;
    let early = r.remove_released("u0", serial, LEASE);
    assert_eq!(early, Err(PermitError::Cooling(CLOCK_MARGIN)));
    assert!(
        r.remove_released("u0", serial, LEASE + CLOCK_MARGIN)
            .expect("older views have expired")
            .entries
            .is_empty()
    );
}

#[test]
fn leaving_upstreams_count_against_the_floor() {
    let r = PermitRecord::default()
        .eject("u0", FloorContext { live: 6, floor: 4 })
        .expect("change is allowed");
    // Another upstream has left: five are live, one of which is ejected.
    let refused = r.eject("u1", FloorContext { live: 5, floor: 4 });
    assert_eq!(refused, Err(PermitError::Floor { live: 5, held: 1, floor: 4 }));
}
