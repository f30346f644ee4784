//! How boxes without a list obtain one: draws, pulls, and pages of several peers.

use honeypulley_mesh::cold_load::{
    EXPECTED_READS, FleetView, PullCandidates, PullSchedule, ReadSchedule,
};
use honeypulley_mesh::list_assembly::ListAssembly;
use honeypulley_peer::list_page::ListPage;
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const fn view(boxes: Option<usize>) -> FleetView {
    FleetView { boxes, fast: 0, has_fast_link: false, is_list_announced: false }
}

/// Returns the number of boxes that have read the platform after each second.
fn reads(boxes: usize, fleet: FleetView, seconds: u64) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut schedules = vec![ReadSchedule::default(); boxes];
    let mut total = 0;
    (0..seconds)
        .map(|s| {
            for ms in (s * 1_000..(s + 1) * 1_000).step_by(50) {
                let now = Time::from_millis(ms);
                schedules.retain_mut(|p| !p.poll(fleet, rng.f64(), now));
                total = boxes - schedules.len();
            }
            total
        })
        .collect()
}

/// Guards against a load of the platform that grows with the fleet when all boxes start at once.
#[rstest]
#[case(100)]
#[case(300)]
#[case(987)]
#[case(1_974)]
#[case(4_600)]
fn a_bounded_number_of_boxes_reads_the_platform(#[case] boxes: usize) {
    let reads = reads(boxes, view(Some(boxes)), 6);
    assert!(reads[0] as f64 <= 2.5 * EXPECTED_READS, "{reads:?}");
    assert!(reads[5] as f64 <= 5.0 * EXPECTED_READS, "{reads:?}");
}

/// Boxes that reach no peer, or all boxes if those drawn fail, read the platform in the end.
#[rstest]
#[case(36, 15)]
#[case(987, 40)]
fn all_boxes_read_the_platform_if_no_peer_supplies_the_list(
    #[case] boxes: usize,
    #[case] seconds: u64,
) {
    let reads = reads(boxes, view(Some(boxes)), seconds);
    assert_eq!(reads.last(), Some(&boxes), "{reads:?}");
}

/// Guards against slow boxes that take long to read the list, and to pass it on.
#[test]
fn boxes_with_fast_links_read_first() {
    let slow = FleetView { fast: 35, ..view(Some(987)) };
    assert!(!ReadSchedule::default().poll(slow, 0.0, Time::from_millis(900)));
    assert!(ReadSchedule::default().poll(slow, 0.0, Time::from_millis(5_100)));
    let fast = FleetView { fast: 34, has_fast_link: true, ..view(Some(987)) };
    let draw = 0.9 * EXPECTED_READS / 35.0;
    assert!(ReadSchedule::default().poll(fast, draw, Time::from_millis(900)));
}

#[test]
fn a_single_box_reads_the_platform_at_once() {
    assert!(ReadSchedule::default().poll(view(Some(1)), 0.99, Time::ZERO));
}

#[test]
fn nothing_is_drawn_while_the_fleet_is_unknown_or_a_peer_has_the_list() {
    let mut schedule = ReadSchedule::default();
    assert!(!schedule.poll(view(None), 0.0, Time::from_millis(900)));
    let announced = FleetView { is_list_announced: true, ..view(Some(1)) };
    assert!(!schedule.poll(announced, 0.0, Time::from_millis(900)));
    assert!(schedule.poll(announced, 0.0, Time::from_millis(5_100)), "peers did not supply it");
}

/// Guards against reads of all boxes at once when an outage ends that all of them have met.
#[test]
fn after_failed_reads_few_boxes_retry() {
    let (boxes, mut rng) = (987, fastrand::Rng::with_seed(3));
    let mut schedules = vec![ReadSchedule::default(); boxes];
    let mut latest = 0;
    for ms in (0..60_000).step_by(50) {
        let now = Time::from_millis(ms);
        let mut attempts = 0;
        for s in &mut schedules {
            if s.poll(view(Some(boxes)), rng.f64(), now) {
                attempts += 1;
                s.record_failure(rng.f64(), now);
            }
        }
        latest = if ms % 1_000 == 0 { attempts } else { latest + attempts };
    }
    assert!(latest <= boxes / 4, "{latest} reads in the last second of an outage");
}

#[test]
fn pulls_start_at_once_and_become_rarer() {
    let mut schedule = PullSchedule::default();
    let due = |ms: &u64| schedule.poll(0.5, Time::from_millis(*ms));
    let at: Vec<u64> = (0..5_000).filter(due).collect();
    assert_eq!(at[0], 0);
    assert!(at.iter().filter(|ms| **ms < 1_000).count() >= 5, "{at:?}");
    assert!(at.windows(2).all(|w| w[1] - w[0] <= 400), "{at:?}");
}

fn page(version: Revision, names: &[&str], has_more: bool) -> ListPage {
    let entry = |name: &&str| Entry {
        name: (*name).to_owned(),
        version,
        state: EntryState::Gone { hold: Duration::ZERO },
    };
    ListPage { version, is_stale: false, has_more, entries: names.iter().map(entry).collect() }
}

const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

/// A list from several peers is complete up to the version of the one furthest behind.
#[test]
fn pages_of_several_peers_make_a_list() {
    let mut assembly = ListAssembly::default();
    let now = Time::from_millis(10);
    assert_eq!(assembly.add("", page(at(9), &["a", "b"], true), now), None);
    assert_eq!((assembly.cursor(), assembly.advanced()), ("b", Some(now)));
    assert_eq!(assembly.add("", page(at(9), &["a", "b"], true), now), None, "a duplicate");
    let last = ListPage { is_stale: true, ..page(at(7), &["c"], false) };
    let list = assembly.add("b", last, now).expect("the list is whole");
    let names: Vec<&str> = list.entries.iter().map(|e| e.name.as_str()).collect();
    assert_eq!((names, list.version, list.pages), (vec!["a", "b", "c"], at(7), 2));
    assert!(list.is_stale, "a part of it is unconfirmed");
    assert_eq!(assembly.cursor(), "", "the next list starts anew");
}

/// A restored platform may have lost what earlier pages show.
#[test]
fn a_page_of_another_epoch_starts_the_list_anew() {
    let mut assembly = ListAssembly::default();
    assembly.add("", page(at(9), &["a"], true), Time::ZERO);
    let restored = page(Revision::new(2, 5), &["b"], false);
    assert_eq!(assembly.add("a", restored, Time::ZERO), None);
    assert_eq!(assembly.cursor(), "");
}

/// A box passes on the pages that it has before its own list is whole.
#[test]
fn a_list_is_passed_on_while_it_arrives() {
    let mut assembly = ListAssembly::default();
    assert_eq!(assembly.page("", 10), None);
    assembly.add("", page(at(9), &["a", "b", "c"], true), Time::ZERO);
    let first = assembly.page("", 2).expect("there are entries");
    assert_eq!((first.entries.len(), first.has_more, first.version), (2, true, at(9)));
    let second = assembly.page("b", 2).expect("there are entries");
    assert_eq!((second.entries[0].name.as_str(), second.has_more), ("c", true));
    assert_eq!(assembly.page("c", 2), None, "nothing further has arrived");
}

/// Guards against a data hall without any box that has the list: it has to come from elsewhere.
#[rstest]
#[case(36)]
#[case(987)]
#[case(4_600)]
fn a_few_boxes_of_the_fleet_ask_the_origin_of_a_list(#[case] boxes: usize) {
    let address = |i: u32| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i), 7000));
    let (origin, fast) = (address(0), vec![address(1), address(2)]);
    let peers: Vec<SocketAddr> = (1..200).map(address).collect();
    let candidates = PullCandidates { boxes, origin: Some(origin), fast: fast.clone(), peers };
    let mut rng = fastrand::Rng::with_seed(5);
    let draws = 100_000;
    let chosen: Vec<SocketAddr> = (0..draws).filter_map(|_| candidates.choose(&mut rng)).collect();
    let share = |wanted: &[SocketAddr]| {
        chosen.iter().filter(|a| wanted.contains(a)).count() as f64 / f64::from(draws)
    };
    let asking = share(&[origin]) * boxes as f64;
    assert!((12.0..20.0).contains(&asking), "{asking} of {boxes} boxes ask the origin");
    let to_fast = share(&fast) / (1.0 - share(&[origin]));
    assert!((0.45..0.55).contains(&to_fast), "{to_fast} ask boxes with fast links");
}

#[test]
fn a_box_that_knows_nobody_asks_nobody() {
    assert_eq!(PullCandidates::default().choose(&mut fastrand::Rng::with_seed(1)), None);
}
