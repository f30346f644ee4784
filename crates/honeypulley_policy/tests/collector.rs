//! Tests the verdicts that a collector derives from the reports of many boxes.

use honeypulley_policy::collector::{Collector, Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::spec::{Floor, Lean};
use honeypulley_policy::time::Time;
use rstest::rstest;

const N: usize = 9;
const BOXES: usize = 10;

fn up(i: usize) -> NameId {
    NameId::of(&format!("u{i}"))
}

fn reporter(i: usize) -> NameId {
    NameId::of(&format!("b{i}"))
}

fn collector(lean: Lean) -> Collector {
    let mut c = Collector::new("tilldogs", lean, Floor::Share(0.6));
    c.set_members((0..N).map(up), BOXES);
    c
}

fn report(b: usize, items: &[(usize, u16, u16)]) -> Report {
    let item = |&(u, good, bad): &(usize, u16, u16)| ReportItem { upstream: up(u), good, bad };
    Report {
        service: NameId::of("tilldogs"),
        reporter: reporter(b),
        items: items.iter().map(item).collect(),
    }
}

/// Sends one report per box and returns all verdicts.
fn round(
    c: &mut Collector,
    at: u64,
    items: impl Fn(usize) -> Vec<(usize, u16, u16)>,
) -> Vec<Verdict> {
    (0..BOXES).flat_map(|b| c.report(&report(b, &items(b)), Time::from_millis(at))).collect()
}

fn healthy(c: &mut Collector) {
    for t in 0..20 {
        let v = round(c, t * 1_000, |_| (0..N).map(|u| (u, 5, 0)).collect());
        assert_eq!(v, [], "healthy load is judged well");
    }
}

#[rstest]
#[case(Lean::DETECTION)]
#[case(Lean::EXACTNESS)]
fn one_sick_upstream_is_suspect_after_the_word_of_several_boxes(#[case] lean: Lean) {
    let mut c = collector(lean);
    healthy(&mut c);
    let v = round(&mut c, 20_100, |_| vec![(3, 0, 10)]);
    assert_eq!(v.len(), 1);
    assert_eq!((v[0].upstream, v[0].judgement), (up(3), Judgement::Suspect));
    assert!(v[0].witnesses >= 3);
}

#[test]
fn a_service_with_little_traffic_is_judged_too() {
    let mut c = collector(Lean::DETECTION);
    // Over all boxes, each upstream receives one request in two seconds.
    for t in 0..60 {
        let b = t as usize % BOXES;
        let one = report(b, &(0..N).map(|u| (u, 1, 0)).collect::<Vec<_>>());
        assert_eq!(c.report(&one, Time::from_millis(t * 2_000)), []);
    }
    let mut verdicts = Vec::new();
    for t in 60..80 {
        let b = t as usize % BOXES;
        let sick = |u: usize| if u == 3 { (3, 0, 10) } else { (u, 1, 0) };
        let one = report(b, &(0..N).map(sick).collect::<Vec<_>>());
        verdicts.extend(c.report(&one, Time::from_millis(t * 2_000)));
    }
    assert_eq!(
        verdicts.first().map(|v| (v.upstream, v.judgement)),
        Some((up(3), Judgement::Suspect))
    );
}

#[test]
fn two_boxes_alone_convince_nobody() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    for t in 0..50 {
        let at = Time::from_millis(20_000 + t * 100);
        assert_eq!(c.report(&report(0, &[(3, 0, 30)]), at), []);
        assert_eq!(c.report(&report(1, &[(3, 0, 30)]), at), []);
    }
}

#[test]
fn boxes_that_suspect_many_are_themselves_doubted() {
    // This floor would allow five ejections, so it is not the reason that there are none.
    let mut c = Collector::new("tilldogs", Lean::DETECTION, Floor::Count(4));
    c.set_members((0..N).map(up), BOXES);
    healthy(&mut c);
    // Four boxes behind one faulty switch see four of nine upstreams stall.
    for t in 0..20 {
        for b in 0..4 {
            let many = [(0, 0, 10), (1, 0, 10), (2, 0, 10), (3, 0, 10)];
            assert_eq!(c.report(&report(b, &many), Time::from_millis(20_000 + t * 200)), []);
        }
    }
}

#[test]
fn three_that_fail_together_are_all_judged() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    let v = round(&mut c, 20_100, |_| vec![(2, 0, 10), (3, 0, 10), (4, 0, 10)]);
    assert_eq!(v.len(), 3, "a rack with three of nine upstreams: {v:?}");
}

#[test]
fn a_trouble_of_most_upstreams_is_nobodys_fault() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    for t in 0..30 {
        let v = round(&mut c, 20_000 + t * 100, |_| (0..N).map(|u| (u, 1, 10)).collect());
        assert_eq!(v, [], "overload is not held against anyone");
    }
}

#[test]
fn one_with_no_more_bad_outcomes_than_its_siblings_is_no_outlier() {
    let mut c = collector(Lean::DETECTION);
    c.set_members((0..N).map(up), 45);
    healthy(&mut c);
    // Each box accuses two upstreams, so ten boxes accuse each upstream.
    let said = |u: usize| if u == 3 { (3, 0, 10) } else { (u, 20, 10) };
    for t in 0..5 {
        for b in 0..45 {
            let two = [said(b % N), said((b + 1) % N)];
            assert_eq!(c.report(&report(b, &two), Time::from_millis(20_000 + t * 500)), []);
        }
    }
}

#[test]
fn no_more_are_suspect_at_once_than_the_floor_spares() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    let mut suspects = 0;
    for t in 0..100 {
        // Five of nine become unhealthy one after the other; the floor allows three ejections.
        let sick = (t / 20) as usize;
        let v = round(&mut c, 20_000 + t * 30, |_| vec![(sick, 0, 10)]);
        suspects += v.iter().filter(|v| v.judgement == Judgement::Suspect).count();
        assert!(c.standing().count() <= 3);
    }
    assert_eq!(suspects, 3);
}

#[test]
fn a_suspect_returns_by_probation_and_a_relapse_holds_longer() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    let first = round(&mut c, 20_100, |_| vec![(3, 0, 10)])[0];
    let hold = first.hold.as_millis() as u64;
    assert_eq!(c.tick(Time::from_millis(20_100 + hold - 1)), []);
    let probation = c.tick(Time::from_millis(20_100 + hold));
    assert_eq!(probation[0].judgement, Judgement::Probation);
    let relapse =
        round(&mut c, 20_200 + hold, |b| if b < 4 { vec![(3, 0, 10)] } else { Vec::new() });
    assert_eq!(relapse[0].judgement, Judgement::Suspect);
    assert!(relapse[0].hold > first.hold);
}

#[test]
fn good_canaries_end_a_probation() {
    let mut c = collector(Lean::DETECTION);
    healthy(&mut c);
    let first = round(&mut c, 20_100, |_| vec![(3, 0, 10)])[0];
    let at = 20_100 + first.hold.as_millis() as u64;
    c.tick(Time::from_millis(at));
    let v = round(&mut c, at + 500, |_| vec![(3, 1, 0)]);
    assert_eq!(v[0].judgement, Judgement::Clear);
    assert_eq!(c.standing().count(), 0);
}

#[test]
fn an_ejection_left_by_another_collector_is_taken_over() {
    let mut c = collector(Lean::DETECTION);
    c.adopt(up(2), Time::ZERO);
    assert_eq!(c.standing().collect::<Vec<_>>(), [(up(2), Judgement::Suspect)]);
    let v = c.tick(Time::from_millis(60_000));
    assert_eq!((v[0].upstream, v[0].judgement), (up(2), Judgement::Probation));
}

#[test]
fn reports_on_strangers_are_ignored() {
    let mut c = collector(Lean::DETECTION);
    assert_eq!(round(&mut c, 100, |_| vec![(99, 0, 100)]), []);
}
