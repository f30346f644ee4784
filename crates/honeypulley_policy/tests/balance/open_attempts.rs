//! Evidence from attempts in flight and load reports, and admission control.

use crate::{balancer, info, report_load, send};
use honeypulley_policy::balance::{Balancer, Update};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, RefusalKind};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

#[test]
fn attempts_of_a_peer_in_the_hall_count_as_load() {
    let mut b = balancer(2);
    let open = Update::Open { upstream: NameId::of("u0"), count: 6 };
    b.apply_update(NameId::of("peer"), open, Time::ZERO);
    let picks = send(&mut b, 50, 1, true);
    assert_eq!(picks.get("u0"), None, "{picks:?}");
}

#[test]
fn a_load_report_decays() {
    let mut b = balancer(2);
    let info = info(&b, true);
    let pick = b.pick(&info, &[], Time::ZERO).expect("two upstreams are available");
    let name = b.endpoint(pick.upstream).expect("upstream is known").name.to_owned();
    report_load(&mut b, &pick, 15.0, Time::ZERO);
    b.finish(pick.attempt, Outcome::Completed, Time::ZERO);
    assert_eq!(send(&mut b, 20, 1, true).get(&name), None);
    assert!(send(&mut b, 50, 15_000, true).contains_key(&name));
}

#[test]
fn attempts_are_announced_in_the_hall_and_failures_to_all() {
    let mut b = balancer(1);
    let info = info(&b, true);
    let pick = b.pick(&info, &[], Time::ZERO).expect("an upstream is available");
    b.finish(pick.attempt, Outcome::Failed, Time::from_millis(1));
    let upstream = NameId::of("u0");
    let announced = b.take_updates();
    assert_eq!(
        announced,
        [
            Update::Open { upstream, count: 1 },
            Update::Ended { upstream, count: 0, served: false, remote: None, age: Duration::ZERO },
            Update::Seen { upstream, observation: Observation::Failure },
        ]
    );
}

#[rstest]
#[case::well(None, true)]
#[case::failed(Some(Observation::Failure), false)]
#[case::overdue(Some(Observation::Overdue), false)]
fn successful_attempts_of_the_hall_raise_confidence(
    #[case] observation: Option<Observation>,
    #[case] is_raised: bool,
) {
    let mut b = balancer(2);
    let (peer, upstream) = (NameId::of("peer"), NameId::of("u0"));
    let sick = |b: &Balancer, ms: u64| {
        let rows = b.status(Time::from_millis(ms));
        rows.iter().find(|r| r.upstream == "u0").expect("upstream is listed").sick
    };
    let before = sick(&b, 100);
    b.apply_update(peer, Update::Open { upstream, count: 2 }, Time::from_millis(10));
    if let Some(observation) = observation {
        b.apply_update(peer, Update::Seen { upstream, observation }, Time::from_millis(50));
    }
    let served = observation.is_none();
    let ended = Update::Ended { upstream, count: 0, served, remote: None, age: Duration::ZERO };
    b.apply_update(peer, ended, Time::from_millis(100));
    assert_eq!(sick(&b, 100) < before, is_raised);
}

/// Guards against the serving thread ending when an upstream is removed during an attempt.
#[test]
fn an_attempt_outlives_its_upstream() {
    let mut b = balancer(1);
    let info = info(&b, true);
    let pick = b.pick(&info, &[], Time::ZERO).expect("an upstream is available");
    b.remove_upstream("u0");
    let later = Time::from_millis(900);
    b.record_in_flight(pick.attempt, later);
    assert_eq!(b.hedge_value(&info, pick.attempt, later), None);
    b.finish(pick.attempt, Outcome::Cancelled, later);
}

/// Guards against hedges that are sent as late as the whole latency target.
///
/// The hedging delay moved by a millisecond between two checks, so the check came just too
/// early and the hedge waited for the next one.
#[test]
fn a_look_that_is_a_moment_early_is_followed_at_once() {
    let mut b = balancer(2);
    send(&mut b, 200, 10, true);
    let info = info(&b, true);
    let first = b.recheck_delay(&info, Duration::ZERO);
    let early = first - Duration::from_millis(1);
    let next = b.recheck_delay(&info, early);
    assert!(next <= Duration::from_millis(10), "{next:?} after {early:?}");
}

/// Applies a peer's update about `count` requests at each upstream.
fn announce_queue(b: &mut Balancer, upstreams: usize, count: u16, at: Time) {
    for i in 0..upstreams {
        let upstream = NameId::of(&format!("u{i}"));
        b.apply_update(NameId::of("peer"), Update::Open { upstream, count }, at);
    }
}

#[test]
fn a_standing_queue_is_refused_and_a_transient_one_is_not() {
    let mut b = balancer(2);
    let info = info(&b, true);
    let mut refused = Vec::new();
    for ms in (10..2_500).step_by(100) {
        let now = Time::from_millis(ms);
        announce_queue(&mut b, 2, 7, now);
        match b.pick(&info, &[], now) {
            Ok(p) => b.finish(p.attempt, Outcome::NotRun, now),
            Err(r) => {
                assert_eq!(r.kind, RefusalKind::Overload);
                assert!(r.retry_after >= Duration::from_millis(100), "{:?}", r.retry_after);
                refused.push(ms);
            }
        }
    }
    assert!(refused.first().is_some_and(|&ms| (400..1_500).contains(&ms)), "{refused:?}");
    let later = Time::from_millis(2_600);
    announce_queue(&mut b, 2, 0, later);
    assert!(b.pick(&info, &[], later).is_ok(), "the queue is empty again");
}

#[test]
fn a_request_that_would_queue_beyond_its_time_limit_is_refused() {
    let mut b = balancer(2);
    announce_queue(&mut b, 2, 40, Time::from_millis(10));
    let info = info(&b, false);
    let refused = b.pick(&info, &[], Time::from_millis(20)).expect_err("both upstreams are full");
    assert_eq!(refused.kind, RefusalKind::Overload);
}

/// Guards against a 503 for time limits below the assumed service time.
#[test]
fn a_request_without_queueing_is_sent_however_short_its_time_limit() {
    let mut b = balancer(2);
    let info = RequestInfo { remaining: Some(Duration::from_millis(100)), ..info(&b, true) };
    assert!(b.pick(&info, &[], Time::ZERO).is_ok());
}

/// A load report's share of other data halls is announced within the data hall.
#[test]
fn load_of_other_halls_is_announced_in_the_hall() {
    let mut b = balancer(1);
    let info = info(&b, true);
    let now = Time::from_millis(100);
    let pick = b.pick(&info, &[], Time::ZERO).expect("an upstream is available");
    report_load(&mut b, &pick, 4.0, now);
    b.response_started(pick.attempt, true, now);
    b.finish(pick.attempt, Outcome::Completed, now);
    let upstream = NameId::of("u0");
    let announced =
        Update::Ended { upstream, count: 0, served: true, remote: Some(3), age: Duration::ZERO };
    assert!(b.take_updates().contains(&announced));
    let mut other = balancer(1);
    other.apply_update(NameId::of("peer"), announced, now);
    let pick = other.pick(&info, &[], now).expect("an upstream is available");
    assert!(
        other.inputs(pick.upstream, now).busy > 3.5,
        "its own request and three of other data halls"
    );
}

/// The age of an attempt is stronger evidence in fleets whose unhealthy upstreams hang.
#[rstest]
#[case::hangs(Observation::Hung, true)]
#[case::fails_at_once(Observation::Failure, false)]
fn an_old_attempt_is_stronger_evidence_where_upstreams_hang(
    #[case] usual: Observation,
    #[case] is_stronger: bool,
) {
    let sick = |usual: Option<Observation>| {
        let mut b = balancer(2);
        for i in 0..30 {
            let observation = usual.unwrap_or(Observation::Success);
            let seen = Update::Seen { upstream: NameId::of("u1"), observation };
            b.apply_update(NameId::of("other"), seen, Time::from_millis(i));
        }
        let upstream = NameId::of("u0");
        let open = Update::Open { upstream, count: 1 };
        b.apply_update(NameId::of("peer"), open, Time::from_millis(100));
        let rows = b.status(Time::from_millis(101));
        let info = info(&b, true);
        let pick = b.pick(&info, &[], Time::from_millis(101)).expect("two upstreams are available");
        let name = b.endpoint(pick.upstream).expect("upstream is known").name.to_owned();
        assert_eq!(rows.len(), 2);
        let (tried, now) = ([pick.upstream], Time::from_millis(900));
        let other = b.pick(&info, &tried, now).expect("another upstream is available").upstream;
        let key = if name == "u0" { pick.upstream } else { other };
        b.inputs(key, now).unhealthy
    };
    assert_eq!(sick(Some(usual)) > sick(None), is_stronger);
}
