//! Tests the verdicts that a collector derives from the reports of many boxes.

use honeypulley_policy::collector::{Collector, Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::spec::{Floor, Lean};
use honeypulley_policy::time::Time;
use rstest::rstest;

const UPSTREAMS: usize = 9;
const BOXES: usize = 10;

fn upstream_id(i: usize) -> NameId {
    NameId::of(&format!("u{i}"))
}

fn reporter(i: usize) -> NameId {
    NameId::of(&format!("b{i}"))
}

fn collector(lean: Lean) -> Collector {
    let mut c = Collector::new("tilldogs", lean, Floor::Share(0.6));
    c.set_members((0..UPSTREAMS).map(upstream_id), BOXES);
    c
}

fn report(b: usize, items: &[(usize, u16, u16)]) -> Report {
    let item = |&(u, good, bad): &(usize, u16, u16)| ReportItem {
        upstream: upstream_id(u),
        successes: good,
        failures: bad,
    };
    Report {
        service: NameId::of("tilldogs"),
        reporter: reporter(b),
        items: items.iter().map(item).collect(),
    }
}

/// Sends one report per box and returns all verdicts.
fn report_all(
    c: &mut Collector,
    at: u64,
    items: impl Fn(usize) -> Vec<(usize, u16, u16)>,
) -> Vec<Verdict> {
    (0..BOXES).flat_map(|b| c.apply_report(&report(b, &items(b)), Time::from_millis(at))).collect()
}

fn warm_up(c: &mut Collector) {
    for t in 0..20 {
        let v = report_all(c, t * 1_000, |_| (0..UPSTREAMS).map(|u| (u, 5, 0)).collect());
        assert_eq!(v, [], "healthy upstreams cause no verdicts");
    }
}

#[rstest]
#[case(Lean::DETECTION)]
#[case(Lean::EXACTNESS)]
fn several_boxes_make_an_unhealthy_upstream_suspect(#[case] lean: Lean) {
    let mut c = collector(lean);
    warm_up(&mut c);
    let v = report_all(&mut c, 20_100, |_| vec![(3, 0, 10)]);
    assert_eq!(v.len(), 1);
    assert_eq!((v[0].upstream, v[0].judgement), (upstream_id(3), Judgement::Suspect));
    assert!(v[0].witnesses >= 3);
}

#[test]
fn a_service_with_little_traffic_is_judged() {
    let mut c = collector(Lean::DETECTION);
    // Over all boxes, each upstream receives one request in two seconds.
    for t in 0..60 {
        let b = t as usize % BOXES;
        let one = report(b, &(0..UPSTREAMS).map(|u| (u, 1, 0)).collect::<Vec<_>>());
        assert_eq!(c.apply_report(&one, Time::from_millis(t * 2_000)), []);
    }
    let mut verdicts = Vec::new();
    for t in 60..80 {
        let b = t as usize % BOXES;
        let unhealthy = |u: usize| if u == 3 { (3, 0, 10) } else { (u, 1, 0) };
        let one = report(b, &(0..UPSTREAMS).map(unhealthy).collect::<Vec<_>>());
        verdicts.extend(c.apply_report(&one, Time::from_millis(t * 2_000)));
    }
    assert_eq!(
        verdicts.first().map(|v| (v.upstream, v.judgement)),
        Some((upstream_id(3), Judgement::Suspect))
    );
}

#[test]
fn two_boxes_are_no_quorum() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    for t in 0..50 {
        let at = Time::from_millis(20_000 + t * 100);
        assert_eq!(c.apply_report(&report(0, &[(3, 0, 30)]), at), []);
        assert_eq!(c.apply_report(&report(1, &[(3, 0, 30)]), at), []);
    }
}

#[test]
fn boxes_that_suspect_many_upstreams_are_discounted() {
    // This floor would allow five ejections, so it is not the reason that there are none.
    let mut c = Collector::new("tilldogs", Lean::DETECTION, Floor::Count(4));
    c.set_members((0..UPSTREAMS).map(upstream_id), BOXES);
    warm_up(&mut c);
    // Four boxes behind one faulty switch see four of nine upstreams stall.
    for t in 0..20 {
        for b in 0..4 {
            let many = [(0, 0, 10), (1, 0, 10), (2, 0, 10), (3, 0, 10)];
            assert_eq!(c.apply_report(&report(b, &many), Time::from_millis(20_000 + t * 200)), []);
        }
    }
}

#[test]
fn three_simultaneous_failures_are_all_suspected() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    let v = report_all(&mut c, 20_100, |_| vec![(2, 0, 10), (3, 0, 10), (4, 0, 10)]);
    assert_eq!(v.len(), 3, "one verdict per failed upstream: {v:?}");
}

#[test]
fn failures_of_all_upstreams_cause_no_verdict() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    for t in 0..30 {
        let v =
            report_all(&mut c, 20_000 + t * 100, |_| (0..UPSTREAMS).map(|u| (u, 1, 10)).collect());
        assert_eq!(v, [], "overload causes no verdicts");
    }
}

#[test]
fn an_upstream_with_as_many_failures_as_its_siblings_is_no_outlier() {
    let mut c = collector(Lean::DETECTION);
    c.set_members((0..UPSTREAMS).map(upstream_id), 45);
    warm_up(&mut c);
    // Each box accuses two upstreams, so ten boxes accuse each upstream.
    let reported = |u: usize| if u == 3 { (3, 0, 10) } else { (u, 20, 10) };
    for t in 0..5 {
        for b in 0..45 {
            let two = [reported(b % UPSTREAMS), reported((b + 1) % UPSTREAMS)];
            assert_eq!(c.apply_report(&report(b, &two), Time::from_millis(20_000 + t * 500)), []);
        }
    }
}

#[test]
fn the_floor_limits_simultaneous_suspects() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    let mut suspects = 0;
    for t in 0..100 {
        // Five of nine become unhealthy one after the other; the floor allows three ejections.
        let unhealthy = (t / 20) as usize;
        let v = report_all(&mut c, 20_000 + t * 30, |_| vec![(unhealthy, 0, 10)]);
        suspects += v.iter().filter(|v| v.judgement == Judgement::Suspect).count();
        assert!(c.unhealthy().count() <= 3);
    }
    assert_eq!(suspects, 3);
}

#[test]
fn a_relapse_during_probation_extends_the_hold() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    let first = report_all(&mut c, 20_100, |_| vec![(3, 0, 10)])[0];
    let hold = first.hold.as_millis() as u64;
    assert_eq!(c.tick(Time::from_millis(20_100 + hold - 1)), []);
    let probation = c.tick(Time::from_millis(20_100 + hold));
    assert_eq!(probation[0].judgement, Judgement::Probation);
    let relapse =
        report_all(&mut c, 20_200 + hold, |b| if b < 4 { vec![(3, 0, 10)] } else { Vec::new() });
    assert_eq!(relapse[0].judgement, Judgement::Suspect);
    assert!(relapse[0].hold > first.hold);
}

#[test]
fn successful_canary_requests_end_a_probation() {
    let mut c = collector(Lean::DETECTION);
    warm_up(&mut c);
    let first = report_all(&mut c, 20_100, |_| vec![(3, 0, 10)])[0];
    let at = 20_100 + first.hold.as_millis() as u64;
    c.tick(Time::from_millis(at));
    let v = report_all(&mut c, at + 500, |_| vec![(3, 1, 0)]);
    assert_eq!(v[0].judgement, Judgement::Clear);
    assert_eq!(c.unhealthy().count(), 0);
}

#[test]
fn an_ejection_by_another_collector_is_adopted() {
    let mut c = collector(Lean::DETECTION);
    c.adopt(upstream_id(2), Time::ZERO);
    assert_eq!(c.unhealthy().collect::<Vec<_>>(), [(upstream_id(2), Judgement::Suspect)]);
    let v = c.tick(Time::from_millis(60_000));
    assert_eq!((v[0].upstream, v[0].judgement), (upstream_id(2), Judgement::Probation));
}

#[test]
fn reports_on_unknown_upstreams_are_ignored() {
    let mut c = collector(Lean::DETECTION);
    assert_eq!(report_all(&mut c, 100, |_| vec![(99, 0, 100)]), []);
}
