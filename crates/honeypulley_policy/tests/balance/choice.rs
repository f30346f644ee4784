//! Selection by expected loss, beliefs and updates of one box.

use crate::{RULE, balancer, failure, info, listed, send};
use honeypulley_policy::balance::{Balancer, Update};
use honeypulley_policy::belief::{Belief, Observation};
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, RefusalKind};
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::BTreeMap;

#[test]
fn a_failure_announced_by_a_peer_diverts_the_next_request() {
    let mut b = balancer(4);
    b.apply_update(NameId::of("other"), failure("u1"), Time::from_millis(5));
    let picks = send(&mut b, 100, 10, false);
    assert_eq!(picks.get("u1"), None, "{picks:?}");
}

#[test]
fn a_failed_upstream_gets_requests_again() {
    let mut b = balancer(4);
    b.apply_update(NameId::of("other"), failure("u1"), Time::from_millis(5));
    let picks = send(&mut b, 400, 60_000, true);
    assert!(picks.contains_key("u1"), "{picks:?}");
}

#[test]
fn failures_raise_the_probability_and_successes_lower_it() {
    let at = Time::from_millis(1_000);
    let mut belief = Belief::new(Time::ZERO);
    let prior = belief.probability(at);
    belief.observe(Observation::Failure, at);
    let failed = belief.probability(at);
    assert!(failed > 0.5, "one failure at a base rate of 1.2%: {failed}");
    let later = Time::from_millis(3_000);
    belief.observe(Observation::Success, later);
    belief.observe(Observation::Success, later);
    let better = belief.probability(later);
    assert!(better < failed / 1.5, "{better}");
    assert!(belief.probability(Time::from_millis(30_000)) < 0.3);
    assert!(prior < 0.2, "{prior}");
}

#[test]
fn one_success_during_a_fault_does_not_clear_an_upstream() {
    let mut belief = Belief::new(Time::ZERO);
    belief.observe(Observation::Failure, Time::ZERO);
    belief.observe(Observation::Success, Time::from_millis(1_000));
    let soon = belief.probability(Time::from_millis(1_000));
    assert!(soon > 0.5, "a quarter of the answers during a fault are successful: {soon}");
    for i in 0..20 {
        belief.observe(Observation::Success, Time::from_millis(6_000 + i * 1_000));
    }
    let proven = belief.probability(Time::from_millis(25_200));
    assert!(proven < 0.05, "{proven}");
}

/// Share of upstreams still unhealthy some time after a failure, from production logs.
#[rstest]
#[case(1_000, 0.73, 0.95)]
#[case(2_000, 0.60, 0.80)]
#[case(4_000, 0.35, 0.50)]
#[case(6_000, 0.19, 0.33)]
#[case(30_000, 0.10, 0.20)]
fn recovery_follows_the_measured_distribution(
    #[case] ms: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let mut belief = Belief::new(Time::ZERO);
    belief.observe(Observation::Failure, Time::ZERO);
    let sick = belief.probability(Time::from_millis(ms));
    assert!(
        (least..=most).contains(&sick),
        "probability of being unhealthy is {sick} after {ms} ms"
    );
}

#[test]
fn a_belief_evolves_alike_in_small_and_large_steps() {
    let mut steps = Belief::new(Time::ZERO);
    steps.observe(Observation::Failure, Time::ZERO);
    let whole = steps;
    for ms in (100..=8_000).step_by(100) {
        steps = Belief::from_peer(
            steps.phase_probabilities(Time::from_millis(ms)),
            Time::from_millis(ms),
        );
    }
    let at = Time::from_millis(8_000);
    assert!((steps.probability(at) - whole.probability(at)).abs() < 1e-6);
}

/// Sends a request to the only upstream and fails it after `took` ms.
///
/// Returns the probability that the upstream is unhealthy.
fn fail_after(b: &mut Balancer, from: u64, took: u64) -> f64 {
    let pick =
        b.pick(&info(b, false), &[], Time::from_millis(from)).expect("an upstream is available");
    let end = Time::from_millis(from + took);
    b.response_started(pick.attempt, false, end);
    b.finish(pick.attempt, Outcome::Completed, end);
    b.status(end)[0].sick
}

#[rstest]
#[case::at_once(2, true)]
#[case::after_work(250, false)]
fn a_failure_after_the_usual_service_time_is_weak_evidence(
    #[case] took: u64,
    #[case] is_suspect: bool,
) {
    let mut b = balancer(1);
    let info = info(&b, true);
    for i in 0..30 {
        let pick =
            b.pick(&info, &[], Time::from_millis(i * 300)).expect("an upstream is available");
        let end = Time::from_millis(i * 300 + 240);
        b.response_started(pick.attempt, true, end);
        b.finish(pick.attempt, Outcome::Completed, end);
    }
    let sick = fail_after(&mut b, 9_000, took);
    assert_eq!(sick > 0.5, is_suspect, "{sick}");
}

#[test]
fn a_started_box_adopts_beliefs_only_where_it_has_none() {
    let mut old = balancer(3);
    send(&mut old, 300, 10, false);
    old.apply_update(NameId::of("other"), failure("u1"), Time::from_millis(3_000));
    let announced = old.belief_snapshot(Time::from_millis(3_010));
    assert_eq!(announced.len(), 3, "{announced:?}");
    let mut new = balancer(3);
    new.apply_update(NameId::of("other"), failure("u2"), Time::from_millis(5));
    announced.into_iter().for_each(|n| {
        new.apply_update(NameId::of("old"), n, Time::from_millis(10));
    });
    let rows = new.status(Time::from_millis(10));
    let sick =
        |name: &str| rows.iter().find(|r| r.upstream == name).expect("upstream is listed").sick;
    assert!(sick("u0") < 0.1, "{}", sick("u0"));
    assert!(sick("u1") > 0.5, "{}", sick("u1"));
    assert!(
        sick("u2") > 0.8,
        "a box keeps the belief from updates it has received: {}",
        sick("u2")
    );
}

#[test]
fn an_unreachable_upstream_becomes_suspect_only_by_a_second_box() {
    let mut b = balancer(3);
    let unreachable =
        Update::Seen { upstream: NameId::of("u1"), observation: Observation::Unreachable };
    for i in 0..5 {
        b.apply_update(NameId::of("cut-off"), unreachable, Time::from_millis(i * 100));
    }
    let sick = |b: &Balancer, name: &str| {
        let rows = b.status(Time::from_millis(600));
        rows.iter().find(|r| r.upstream == name).map(|r| r.sick)
    };
    assert_eq!(sick(&b, "u1"), sick(&b, "u2"), "a single box is not corroborated");
    b.apply_update(NameId::of("cut-off"), unreachable, Time::from_millis(4_000));
    b.apply_update(NameId::of("another"), unreachable, Time::from_millis(4_100));
    let picks = send(&mut b, 30, 4_200, false);
    assert_eq!(picks.get("u1"), None, "two boxes corroborate each other: {picks:?}");
}

#[rstest]
#[case::leaving(MemberState::Leaving)]
#[case::live(MemberState::Live)]
fn a_leaving_upstream_gets_no_new_work(#[case] state: MemberState) {
    let mut b = balancer(2);
    b.set_upstream(listed("u0", "h", state), Time::from_millis(1));
    let picks = send(&mut b, 1_500, 10, true);
    assert_eq!(picks.contains_key("u0"), state == MemberState::Live, "{picks:?}");
}

#[test]
fn an_upstream_removed_from_the_list_gets_no_new_requests() {
    let mut b = balancer(1);
    b.remove_upstream("u0");
    let refused = b.pick(&info(&b, true), &[], Time::ZERO).expect_err("no upstream is listed");
    assert_eq!(refused.kind, RefusalKind::NoUpstream);
}

#[test]
fn a_misdirected_address_is_not_used_again() {
    let mut b = balancer(2);
    let info = info(&b, true);
    let pick = b.pick(&info, &[], Time::ZERO).expect("two upstreams are available");
    let name = b.endpoint(pick.upstream).expect("upstream is known").name.to_owned();
    b.finish(pick.attempt, Outcome::Misdirected, Time::from_millis(1));
    let picks = send(&mut b, 50, 10, true);
    assert!(!picks.contains_key(&name), "{picks:?}");
}

#[test]
fn entries_listed_before_their_service_are_kept() {
    let mut b = Balancer::new("h", RULE, 7);
    b.set_upstream(listed("u0", "h", MemberState::Live), Time::ZERO);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    assert_eq!(send(&mut b, 1, 0, true).len(), 1);
}

#[test]
fn the_own_data_hall_is_preferred_until_it_is_full() {
    let mut b = balancer(1);
    b.set_upstream(listed("far", "elsewhere", MemberState::Live), Time::ZERO);
    let info = info(&b, true);
    let mut near = 0;
    for _ in 0..8 {
        let pick = b.pick(&info, &[], Time::ZERO).expect("two upstreams are available");
        near += usize::from(b.endpoint(pick.upstream).expect("upstream is known").name == "u0");
    }
    assert!(
        (3..=5).contains(&near),
        "{near} of 8 requests went to the local upstream with three slots"
    );
}

#[test]
fn a_recovery_announced_by_another_hall_is_believed() {
    let mut b = balancer(1);
    b.set_upstream(listed("far", "elsewhere", MemberState::Live), Time::ZERO);
    for name in ["far", "u0"] {
        b.apply_update(NameId::of("other"), failure(name), Time::from_millis(10));
        b.apply_update(
            NameId::of("other"),
            Update::Recovered { upstream: NameId::of(name) },
            Time::from_millis(20),
        );
    }
    let rows = b.status(Time::from_millis(30));
    let sick =
        |name: &str| rows.iter().find(|r| r.upstream == name).expect("upstream is listed").sick;
    assert!(sick("far") < 0.2, "{}", sick("far"));
    assert!(sick("u0") > 0.5, "the upstream's own hall relies on its own attempts: {}", sick("u0"));
}

#[test]
fn a_recovery_is_announced_once() {
    let mut b = balancer(1);
    b.apply_update(NameId::of("other"), failure("u0"), Time::from_millis(10));
    send(&mut b, 50, 3_000, true);
    let upstream = NameId::of("u0");
    let announced =
        b.take_updates().into_iter().filter(|n| *n == Update::Recovered { upstream }).count();
    assert_eq!(announced, 1);
}

/// Has ten upstreams shed the requests selected by `sheds` for four seconds.
///
/// Returns the probability of being unhealthy for each.
fn chances_after_sheds(sheds: impl Fn(&str, u64) -> bool) -> BTreeMap<String, f64> {
    let mut b = balancer(10);
    let info = info(&b, false);
    for i in 0..400 {
        let now = Time::from_millis(10 + i * 10);
        b.record_request(info.service, now);
        let pick = b.pick(&info, &[], now).expect("upstreams are available");
        let name = b.endpoint(pick.upstream).expect("upstream is known").name.to_owned();
        if sheds(&name, i) {
            b.finish(pick.attempt, Outcome::NotRun, now);
        } else {
            b.response_started(pick.attempt, true, now);
            b.finish(pick.attempt, Outcome::Completed, now);
        }
    }
    let status = b.status(Time::from_millis(4_010));
    status.into_iter().map(|s| (s.upstream, s.sick)).collect()
}

/// Guards against suspecting upstreams for shedding that is common to all of them.
///
/// Each of 227 upstreams shed 45% of its requests although it had capacity. All became suspect
/// in turn, and 9% of the answers were late, from the few upstreams that were not.
#[test]
fn shedding_by_all_upstreams_makes_none_of_them_suspect() {
    let sick = chances_after_sheds(|_, i| i % 9 < 4);
    assert!(sick.values().all(|&c| c < 0.35), "{sick:?}");
}

#[test]
fn shedding_by_one_upstream_makes_it_suspect() {
    let sick = chances_after_sheds(|name, _| name == "u3");
    let others = sick.iter().filter(|(n, _)| *n != "u3").map(|(_, &c)| c).fold(0.0, f64::max);
    assert!(sick["u3"] > 5.0 * others, "{sick:?}");
}
