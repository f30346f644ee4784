//! What a box does, and when, about changes that it misses.

use honeypulley_mesh::catch_up::{CatchUp, HeardOf, Own, Progress, Step};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const READER: NameId = NameId(7);

/// A position in the one epoch of these tests.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn via() -> SocketAddr {
    "10.0.0.7:7000".parse().expect("an address")
}

fn own(version: u64, age_ms: u64, heard: HeardOf) -> Own {
    Own { version: at(version), age: Some(Duration::from_millis(age_ms)), heard }
}

/// Steps that are due in each millisecond of a span, with the time of each.
fn steps(c: &mut CatchUp, own: Own, span: std::ops::Range<u64>) -> Vec<(u64, Step)> {
    let due = |ms| {
        let Progress::Behind(step) = c.next(own, Time::from_millis(ms)) else { return None };
        (step.ask || step.pull || step.read).then_some((ms, step))
    };
    span.filter_map(due).collect()
}

fn first(all: &[(u64, Step)], which: fn(&Step) -> bool) -> Option<u64> {
    all.iter().find(|(_, s)| which(s)).map(|(ms, _)| *ms)
}

#[test]
fn a_version_that_is_missed_is_asked_for_then_pulled_then_read() {
    let mut c = CatchUp::default();
    assert!(c.heard(at(12), at(10), READER, via(), Time::from_millis(1_000)));
    assert!(!c.heard(at(13), at(10), READER, via(), Time::from_millis(1_010)), "it knew already");
    assert_eq!(c.wanted(), at(13));
    let all = steps(&mut c, own(10, 5_000, HeardOf::Able), 1_000..3_000);
    assert_eq!(first(&all, |s| s.ask), Some(1_050), "the rest of a telling may come first");
    assert_eq!(first(&all, |s| s.pull), Some(1_350));
    assert_eq!(first(&all, |s| s.read), Some(1_650));
    assert_eq!(all.iter().filter(|(_, s)| s.ask).count(), 20, "each 100 ms");
}

#[test]
fn what_has_come_meanwhile_is_not_asked_for() {
    let mut c = CatchUp::default();
    c.heard(at(12), at(10), READER, via(), Time::from_millis(1_000));
    let progress = c.next(own(12, 0, HeardOf::Able), Time::from_millis(1_030));
    assert_eq!(progress, Progress::CaughtUp { took: Duration::from_millis(30) });
    assert_eq!(steps(&mut c, own(12, 0, HeardOf::Able), 1_031..2_000), []);
    assert!(!c.misses(at(12)));
}

#[rstest]
#[case::calm(HeardOf::Able, 1_600, false, false)]
#[case::no_reader_is_heard(HeardOf::Nobody, 1_600, true, true)]
#[case::no_reader_is_heard_but_the_list_is_new(HeardOf::Nobody, 900, false, false)]
#[case::the_platform_answers_no_reader(HeardOf::Unable, 1_600, true, false)]
fn a_list_that_may_be_old_is_asked_for(
    #[case] heard: HeardOf,
    #[case] age_ms: u64,
    #[case] asks: bool,
    #[case] reads: bool,
) {
    let mut c = CatchUp::default();
    let all = steps(&mut c, own(10, age_ms, heard), 5_000..6_000);
    assert_eq!(first(&all, |s| s.ask), asks.then_some(5_000));
    assert_eq!(first(&all, |s| s.read).is_some(), reads);
    assert_eq!(first(&all, |s| s.pull).is_some(), reads);
}

#[test]
fn a_box_that_is_cut_off_for_long_asks_little() {
    let mut c = CatchUp::default();
    let all = steps(&mut c, own(10, 60_000, HeardOf::Nobody), 0..63_000);
    let late = all.iter().filter(|(ms, s)| *ms > 4_000 && s.ask).count();
    assert!((70..=75).contains(&late), "{late} questions in a minute");
}

/// All upstreams enter the list in the first seconds of a first start; 293 boxes that pulled
/// it whole each 0.3 s were behind again at once, and read the platform 161 times.
#[rstest]
#[case::first_start(true, 3, 0)]
#[case::later(false, 10, 4)]
fn lists_are_pulled_seldom_while_all_upstreams_enter(
    #[case] first_start: bool,
    #[case] most_pulls: usize,
    #[case] least_reads: usize,
) {
    let mut c = CatchUp::new(first_start);
    let (mut pulls, mut reads) = (0, 0);
    for ms in (1_000..4_000).step_by(10) {
        let now = Time::from_millis(ms);
        // A new version each 10 ms, of which this box never has the last ones.
        c.heard(at(ms), at(ms - 900), READER, via(), now);
        let own = Own { version: at(ms - 900), age: None, heard: HeardOf::Able };
        if let Progress::Behind(step) = c.next(own, now) {
            pulls += usize::from(step.pull);
            reads += usize::from(step.read);
        }
    }
    assert!(pulls <= most_pulls, "{pulls} pulls");
    assert!(reads >= least_reads && (!first_start || reads == 0), "{reads} reads");
}
