//! Restarts of upstreams: state of the previous incarnation is dropped.

use crate::{balancer, failure, info, listed, report_load, send};
use honeypulley_policy::balance::{Balancer, Update, UpstreamEntry};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick};
use honeypulley_policy::spec::MemberState;
use honeypulley_policy::time::Time;
use rstest::rstest;

/// Returns an upstream whose process started at `born` ms.
fn incarnation(name: &str, born: u64) -> UpstreamEntry {
    UpstreamEntry { started: Some(born), ..listed(name, "h", MemberState::Live) }
}

/// Returns a box with `u0` and `u1`, both in their first incarnation.
fn two_upstreams() -> Balancer {
    let mut b = balancer(0);
    b.set_upstream(incarnation("u0", 1_000), Time::ZERO);
    b.set_upstream(incarnation("u1", 1_000), Time::ZERO);
    b
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends requests until one goes to `u0`, and returns that one.
fn pick_u0(b: &mut Balancer, now: Time) -> Pick {
    let info = info(b, true);
    loop {
        let pick = b.pick(&info, &[], now).expect("two upstreams are available");
        if b.endpoint(pick.upstream).expect("upstream is known").name == "u0" {
            return pick;
        }
        b.finish(pick.attempt, Outcome::Completed, now);
    }
}

/// Returns the share of 60 requests that `u0` gets.
fn share_of_u0(b: &mut Balancer, from: u64) -> f64 {
    let picks = send(b, 60, from, true);
    *picks.get("u0").unwrap_or(&0) as f64 / 60.0
}

#[test]
fn a_new_incarnation_is_not_suspect_for_the_previous_one() {
    let mut b = two_upstreams();
    let seen = Update::Seen {
        upstream: incarnation("u0", 1_000).incarnation(),
        observation: Observation::Failure,
    };
    for i in 0..3 {
        b.apply_update(NameId::of("peer"), seen, at(i * 100));
    }
    assert!(share_of_u0(&mut b, 400) < 0.1, "the previous incarnation is suspect");
    b.set_upstream(incarnation("u0", 2_000), at(1_100));
    assert!(share_of_u0(&mut b, 1_200) > 0.3, "the new incarnation is not suspect");
}

#[rstest]
#[case::later(2_000)]
#[case::clock_set_back(500)]
#[case::far_ahead(4_102_444_800_000)]
fn attempts_of_peers_end_with_the_incarnation(#[case] born: u64) {
    let open = Update::Open { upstream: incarnation("u0", 1_000).incarnation(), count: 9 };
    let [mut same, mut restarted] = [two_upstreams(), two_upstreams()];
    same.apply_update(NameId::of("peer"), open, Time::ZERO);
    restarted.apply_update(NameId::of("peer"), open, Time::ZERO);
    restarted.set_upstream(incarnation("u0", born), at(1));
    assert!(share_of_u0(&mut same, 2) < 0.1, "nine attempts are in flight there");
    assert!(share_of_u0(&mut restarted, 2) > 0.3, "no attempt is in flight there");
}

#[test]
fn load_of_the_previous_incarnation_is_dropped() {
    let mut b = two_upstreams();
    let pick = pick_u0(&mut b, Time::ZERO);
    report_load(&mut b, &pick, 40.0, Time::ZERO);
    b.finish(pick.attempt, Outcome::Completed, Time::ZERO);
    b.set_upstream(incarnation("u0", 2_000), at(1));
    assert!(share_of_u0(&mut b, 2) > 0.3);
}

#[test]
fn late_announcements_of_the_previous_incarnation_are_ignored() {
    let mut b = two_upstreams();
    b.set_upstream(incarnation("u0", 2_000), at(100));
    let seen = Update::Seen {
        upstream: incarnation("u0", 1_000).incarnation(),
        observation: Observation::Failure,
    };
    for i in 0..3 {
        b.apply_update(NameId::of("peer"), seen, at(101 + i));
    }
    b.apply_update(NameId::of("peer"), failure("u0"), at(110));
    assert!(share_of_u0(&mut b, 111) > 0.3);
}

#[test]
fn an_attempt_of_the_previous_incarnation_is_no_evidence_on_the_new_one() {
    let mut b = two_upstreams();
    let pick = pick_u0(&mut b, Time::ZERO);
    assert!(!b.has_restarted(pick.upstream));
    b.set_upstream(incarnation("u0", 2_000), at(100));
    assert!(b.has_restarted(pick.upstream));
    b.finish(pick.attempt, Outcome::Failed, at(110));
    assert!(share_of_u0(&mut b, 111) > 0.3);
}

/// The earlier process may have ended without closing the connection.
#[test]
fn an_attempt_of_the_previous_incarnation_may_be_hedged() {
    let mut b = two_upstreams();
    let pick = pick_u0(&mut b, Time::ZERO);
    b.set_upstream(incarnation("u0", 2_000), at(100));
    let info = info(&b, true);
    assert_eq!(b.hedge_value(&info, pick.attempt, at(1)), None, "it may still be answered in time");
    let chance = b.hedge_value(&info, pick.attempt, at(5_000));
    assert!(chance.is_some_and(|c| c > 0.5), "{chance:?}");
}

#[test]
fn an_upstream_removed_from_the_list_has_not_restarted() {
    let mut b = two_upstreams();
    let pick = pick_u0(&mut b, Time::ZERO);
    b.remove_upstream("u0");
    assert!(!b.has_restarted(pick.upstream), "it completes its attempts in flight");
}

#[test]
fn a_new_incarnation_is_removed_by_name() {
    let mut b = two_upstreams();
    b.set_upstream(incarnation("u0", 2_000), at(100));
    b.remove_upstream("u0");
    assert!(share_of_u0(&mut b, 111) < 0.01);
}

#[test]
fn relisting_the_same_incarnation_keeps_its_state() {
    let mut b = two_upstreams();
    let seen = Update::Seen {
        upstream: incarnation("u0", 1_000).incarnation(),
        observation: Observation::Failure,
    };
    for i in 0..3 {
        b.apply_update(NameId::of("peer"), seen, at(i * 100));
    }
    b.set_upstream(incarnation("u0", 1_000), at(350));
    assert!(share_of_u0(&mut b, 400) < 0.1);
}
