//! What open attempts and load say, and which requests are refused for load.

use crate::{ask, balancer, report_load, send};
use honeypulley_policy::balance::{Balancer, News};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::{Ask, Chooser};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, RefusalKind};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

#[test]
fn a_peer_of_the_hall_that_fills_an_upstream_is_counted() {
    let mut b = balancer(2);
    let open = News::Open { upstream: NameId::of("u0"), count: 6 };
    b.heard(NameId::of("peer"), open, Time::ZERO);
    let picks = send(&mut b, 50, 1, true);
    assert_eq!(picks.get("u0"), None, "{picks:?}");
}

#[test]
fn a_full_load_report_is_believed_for_a_moment_only() {
    let mut b = balancer(2);
    let ask = ask(&b, true);
    let pick = b.pick(&ask, &[], Time::ZERO).expect("there are two");
    let name = b.place(pick.upstream).expect("known").name.to_owned();
    report_load(&mut b, &pick, 15.0, Time::ZERO);
    b.finish(pick.attempt, Outcome::Whole, Time::ZERO);
    assert_eq!(send(&mut b, 20, 1, true).get(&name), None);
    assert!(send(&mut b, 50, 15_000, true).contains_key(&name));
}

#[test]
fn every_attempt_is_told_to_the_hall_and_every_failure_to_all() {
    let mut b = balancer(1);
    let ask = ask(&b, true);
    let pick = b.pick(&ask, &[], Time::ZERO).expect("there is one");
    b.finish(pick.attempt, Outcome::Failed, Time::from_millis(1));
    let upstream = NameId::of("u0");
    let told = b.take_news();
    assert_eq!(
        told,
        [
            News::Open { upstream, count: 1 },
            News::Ended { upstream, count: 0, served: false, far: None, ago: Duration::ZERO },
            News::Seen { upstream, what: Observation::Failure },
        ]
    );
}

#[rstest]
#[case::well(None, true)]
#[case::failed(Some(Observation::Failure), false)]
#[case::overdue(Some(Observation::Overdue), false)]
fn attempts_of_the_hall_that_end_without_trouble_count_as_good(
    #[case] trouble: Option<Observation>,
    #[case] trusted_more: bool,
) {
    let mut b = balancer(2);
    let (peer, upstream) = (NameId::of("peer"), NameId::of("u0"));
    let sick = |b: &Balancer, ms: u64| {
        let rows = b.status(Time::from_millis(ms));
        rows.iter().find(|r| r.upstream == "u0").expect("listed").sick
    };
    let before = sick(&b, 100);
    b.heard(peer, News::Open { upstream, count: 2 }, Time::from_millis(10));
    if let Some(what) = trouble {
        b.heard(peer, News::Seen { upstream, what }, Time::from_millis(50));
    }
    let served = trouble.is_none();
    let ended = News::Ended { upstream, count: 0, served, far: None, ago: Duration::ZERO };
    b.heard(peer, ended, Time::from_millis(100));
    assert_eq!(sick(&b, 100) < before, trusted_more);
}

/// The serving thread of a box ended where an upstream left the list under an attempt.
#[test]
fn an_attempt_outlives_its_upstream() {
    let mut b = balancer(1);
    let ask = ask(&b, true);
    let pick = b.pick(&ask, &[], Time::ZERO).expect("there is one");
    b.remove_upstream("u0");
    let later = Time::from_millis(900);
    b.still_open(pick.attempt, later);
    assert_eq!(b.hedge(&ask, pick.attempt, later), None);
    b.finish(pick.attempt, Outcome::Abandoned, later);
}

/// Second sends went out at the whole aim, since the age for them had moved by a
/// millisecond between a look and the next one.
#[test]
fn a_look_that_is_a_moment_early_is_followed_at_once() {
    let mut b = balancer(2);
    send(&mut b, 200, 10, true);
    let ask = ask(&b, true);
    let first = b.look_after(&ask, Duration::ZERO);
    let early = first - Duration::from_millis(1);
    let next = b.look_after(&ask, early);
    assert!(next <= Duration::from_millis(10), "{next:?} after {early:?}");
}

/// Tells how many requests are queued at each upstream, by another box of the hall.
fn queue(b: &mut Balancer, upstreams: usize, count: u16, at: Time) {
    for i in 0..upstreams {
        let upstream = NameId::of(&format!("u{i}"));
        b.heard(NameId::of("peer"), News::Open { upstream, count }, at);
    }
}

#[test]
fn a_standing_queue_is_refused_at_once_and_a_passing_one_is_not() {
    let mut b = balancer(2);
    let ask = ask(&b, true);
    let mut refused = Vec::new();
    for ms in (10..2_500).step_by(100) {
        let now = Time::from_millis(ms);
        queue(&mut b, 2, 7, now);
        match b.pick(&ask, &[], now) {
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
    queue(&mut b, 2, 0, later);
    assert!(b.pick(&ask, &[], later).is_ok(), "the queue has drained");
}

#[test]
fn a_request_that_would_wait_beyond_its_time_is_refused_at_once() {
    let mut b = balancer(2);
    queue(&mut b, 2, 40, Time::from_millis(10));
    let ask = ask(&b, false);
    let refused = b.pick(&ask, &[], Time::from_millis(20)).expect_err("both are full");
    assert_eq!(refused.kind, RefusalKind::Overload);
}

/// A request of a route that holds it for less than work was assumed to last got 503.
#[test]
fn a_request_that_need_not_wait_is_sent_however_short_its_time() {
    let mut b = balancer(2);
    let ask = Ask { left: Some(Duration::from_millis(100)), ..ask(&b, true) };
    assert!(b.pick(&ask, &[], Time::ZERO).is_ok());
}

/// What an answer's load report counts beyond this hall's own is told to the hall.
#[test]
fn boxes_of_a_hall_tell_each_other_the_load_of_other_halls() {
    let mut b = balancer(1);
    let ask = ask(&b, true);
    let now = Time::from_millis(100);
    let pick = b.pick(&ask, &[], Time::ZERO).expect("there is one");
    report_load(&mut b, &pick, 4.0, now);
    b.answered(pick.attempt, true, now);
    b.finish(pick.attempt, Outcome::Whole, now);
    let upstream = NameId::of("u0");
    let ago = Duration::ZERO;
    let told = News::Ended { upstream, count: 0, served: true, far: Some(3), ago };
    assert!(b.take_news().contains(&told));
    let mut other = balancer(1);
    other.heard(NameId::of("peer"), told, now);
    let pick = other.pick(&ask, &[], now).expect("there is one");
    assert!(other.inputs(pick.upstream, now).busy > 3.5, "its own and three of other halls");
}

/// Hangs: the usual illness of a fleet decides what an open attempt says.
#[rstest]
#[case::hangs(Observation::Hung, true)]
#[case::fails_at_once(Observation::Failure, false)]
fn an_old_attempt_says_more_where_upstreams_hang(#[case] usual: Observation, #[case] more: bool) {
    let sick = |usual: Option<Observation>| {
        let mut b = balancer(2);
        for i in 0..30 {
            let what = usual.unwrap_or(Observation::Success);
            let seen = News::Seen { upstream: NameId::of("u1"), what };
            b.heard(NameId::of("other"), seen, Time::from_millis(i));
        }
        let upstream = NameId::of("u0");
        let open = News::Open { upstream, count: 1 };
        b.heard(NameId::of("peer"), open, Time::from_millis(100));
        let rows = b.status(Time::from_millis(101));
        let ask = ask(&b, true);
        let pick = b.pick(&ask, &[], Time::from_millis(101)).expect("there are two");
        let name = b.place(pick.upstream).expect("known").name.to_owned();
        assert_eq!(rows.len(), 2);
        let (tried, now) = ([pick.upstream], Time::from_millis(900));
        let other = b.pick(&ask, &tried, now).expect("there is another").upstream;
        let key = if name == "u0" { pick.upstream } else { other };
        b.inputs(key, now).sick
    };
    assert_eq!(sick(Some(usual)) > sick(None), more);
}
