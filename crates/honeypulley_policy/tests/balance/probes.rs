//! Probes: requests to idle upstreams that would not be selected by their loss.

use crate::{balancer, failure, listed, send};
use honeypulley_policy::balance::{Balancer, Update};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

#[rstest]
#[case::calm(0, false)]
#[case::failing(60, true)]
fn failed_upstreams_are_tried_soon_only_while_much_fails(
    #[case] failures: usize,
    #[case] is_probed: bool,
) {
    let mut b = balancer(10);
    send(&mut b, 400, 10, false);
    for name in ["u1", "u2", "u3"] {
        b.apply_update(NameId::of("other"), failure(name), Time::from_millis(4_010));
    }
    let service = b.service("s").expect("service is configured");
    let mut picks = BTreeMap::new();
    for from in (4_020..8_520).step_by(500) {
        // Failures of an upstream that never answers.
        for _ in 0..failures {
            b.apply_update(NameId::of("other"), failure("u4"), Time::from_millis(from));
        }
        (0..50).for_each(|i| b.record_request(service, Time::from_millis(from + i * 10)));
        for (name, n) in send(&mut b, 50, from, false) {
            *picks.entry(name).or_insert(0) += n;
        }
    }
    let was_probed = ["u1", "u2", "u3"].iter().any(|n| picks.contains_key(*n));
    assert_eq!(was_probed, is_probed, "{picks:?}");
}

/// Guards against idle upstreams while the failure rate is high.
///
/// In a grown deployment 6 of 10 healthy upstreams got no request for two seconds, as they were
/// not probed or had failed a second time.
#[rstest]
#[case::repeatable(true)]
#[case::unsafe_requests(false)]
fn while_much_fails_every_failed_upstream_is_tried_within_four_seconds(#[case] repeatable: bool) {
    let mut b = balancer(30);
    send(&mut b, 600, 10, repeatable);
    let failed: Vec<String> = (0..12).map(|i| format!("u{i}")).collect();
    for at in [6_000, 8_600] {
        for name in &failed {
            b.apply_update(NameId::of("other"), failure(name), Time::from_millis(at));
        }
    }
    let mut probed = BTreeSet::new();
    for from in (8_610..12_600).step_by(100) {
        // Failures of an upstream that never answers.
        for _ in 0..6 {
            b.apply_update(NameId::of("other"), failure("u29"), Time::from_millis(from));
        }
        probed.extend(send(&mut b, 10, from, repeatable).into_keys());
    }
    let missing: Vec<&String> = failed.iter().filter(|n| !probed.contains(*n)).collect();
    assert!(missing.is_empty(), "{missing:?} got no requests");
}

/// Guards against a longer probe backoff after two failures by the same fault.
///
/// After a restart of all boxes, nine upstreams that had failed twice got no request for 7.5 s.
#[test]
fn a_second_failure_in_a_spell_prolongs_no_rest() {
    let mut b = balancer(10);
    send(&mut b, 600, 10, false);
    for name in ["u1", "u2", "u3"] {
        b.apply_update(NameId::of("other"), failure(name), Time::from_millis(6_000));
        b.apply_update(NameId::of("other"), failure(name), Time::from_millis(8_500));
    }
    send(&mut b, 380, 8_510, false);
    let picks = send(&mut b, 350, 12_310, false);
    let probed = ["u1", "u2", "u3"].iter().filter(|n| picks.contains_key(**n)).count();
    assert!(probed >= 2, "{probed} of 3 upstreams were probed within 7.3 s: {picks:?}");
}

/// Guards against new upstreams staying idle beside proven ones.
///
/// In a grown deployment 10 of 18 new upstreams got no request beside 80 others.
#[test]
fn new_upstreams_get_work_whatever_failed_among_the_others() {
    let mut b = balancer(40);
    send(&mut b, 1_500, 10, false);
    for i in 0..12 {
        b.apply_update(NameId::of("other"), failure(&format!("u{i}")), Time::from_millis(15_000));
    }
    for i in 0..10 {
        let new = listed(&format!("new{i}"), "h", MemberState::Live);
        b.set_upstream(new, Time::from_millis(15_000));
    }
    send(&mut b, 200, 15_010, false);
    let picks = send(&mut b, 200, 17_010, false);
    let new = picks.keys().filter(|k| k.starts_with("new")).count();
    assert!(new >= 7, "{new} of 10 new upstreams got requests: {picks:?}");
}

#[rstest]
#[case::repeatable(true)]
#[case::unsafe_requests(false)]
fn most_upstreams_get_work_in_any_two_seconds(#[case] repeatable: bool) {
    let mut b = balancer(10);
    for i in 0..8 {
        b.apply_update(NameId::of("other"), failure(&format!("u{i}")), Time::from_millis(5));
        b.apply_update(NameId::of("other"), failure(&format!("u{i}")), Time::from_millis(6));
    }
    // Failed upstreams are probed again after two seconds.
    for from in [6_000, 9_000, 20_000] {
        let picks = send(&mut b, 200, from, repeatable);
        assert!(
            picks.len() >= 7,
            "{} of 10 upstreams got requests from {from} ms on: {picks:?}",
            picks.len()
        );
    }
}

#[test]
fn an_upstream_that_just_failed_is_not_probed() {
    let mut b = balancer(10);
    send(&mut b, 200, 10, true);
    b.apply_update(NameId::of("other"), failure("u3"), Time::from_millis(2_010));
    let picks = send(&mut b, 190, 2_020, true);
    assert_eq!(picks.get("u3"), None, "{picks:?}");
}

#[test]
fn a_box_that_has_just_started_spreads_its_work() {
    let mut b = balancer(10);
    let picks = send(&mut b, 120, 10, false);
    assert!(picks.len() >= 7, "{} of 10 upstreams got requests in 1.2 s: {picks:?}", picks.len());
}

#[test]
fn a_new_upstream_gets_requests_beside_proven_ones() {
    let mut b = balancer(3);
    send(&mut b, 1_000, 10, false);
    b.set_upstream(listed("new", "h", MemberState::Live), Time::from_millis(10_010));
    let picks = send(&mut b, 300, 10_020, false);
    assert!(picks.contains_key("new"), "{picks:?}");
}

/// Lets requests of a peer start at `u1` at 4 s, and reports them as hung at `noticed` ms.
fn hang(count: u16, noticed: u64) -> Balancer {
    let mut b = balancer(10);
    send(&mut b, 400, 10, true);
    let (peer, upstream) = (NameId::of("peer"), NameId::of("u1"));
    b.apply_update(peer, Update::Open { upstream, count }, Time::from_millis(4_010));
    send(&mut b, (noticed - 4_020) / 10, 4_020, true);
    for observation in [Observation::Overdue, Observation::Hung] {
        b.apply_update(peer, Update::Seen { upstream, observation }, Time::from_millis(noticed));
    }
    b
}

/// Sends requests for `secs` while many fail; returns the upstreams that got some.
fn send_while_failing(
    b: &mut Balancer,
    from: u64,
    secs: u64,
    repeatable: bool,
) -> BTreeSet<String> {
    let windows = (from..from + secs * 1_000).step_by(100);
    windows
        .flat_map(|at| {
            // Failures of an upstream that never answers.
            for _ in 0..6 {
                b.apply_update(NameId::of("other"), failure("u9"), Time::from_millis(at));
            }
            send(b, 10, at, repeatable).into_keys()
        })
        .collect()
}

/// Guards against a probe backoff that starts when a hang is noticed.
///
/// Downloads that hang are noticed seconds after their upstream may have recovered.
#[test]
fn a_hang_counts_from_when_it_began() {
    let mut b = hang(1, 7_500);
    let probed = send_while_failing(&mut b, 7_510, 1, true);
    assert!(probed.contains("u1"), "it has hung since 4 s: {probed:?}");
}

/// Guards against an upstream that gets no request as long as all of its slots hang.
#[rstest]
#[case::repeatable(true)]
#[case::unsafe_requests(false)]
fn only_repeatable_requests_queue_behind_hung_ones(#[case] repeatable: bool) {
    let mut b = hang(3, 6_000);
    let probed = send_while_failing(&mut b, 6_010, 3, repeatable);
    assert_eq!(probed.contains("u1"), repeatable, "{probed:?}");
}

/// Guards against idle upstreams while boxes reject many requests themselves.
///
/// With an organisation at many times its limit, 5 of 16 healthy upstreams that had hung in
/// several episodes got no request for two seconds.
#[rstest]
#[case::rejected_much(4, true)]
#[case::rejected_little(0, false)]
fn while_much_is_rejected_failed_upstreams_are_tried_within_four_seconds(
    #[case] rejected: usize,
    #[case] is_probed: bool,
) {
    let mut b = balancer(30);
    let mut mix = RouteMix::default();
    mix.add(0, false);
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], Time::ZERO);
    let service = b.service("s").expect("service is configured");
    send(&mut b, 600, 10, false);
    let failed: Vec<String> = (0..6).map(|i| format!("u{i}")).collect();
    for at in [6_000, 7_000, 8_600] {
        for name in &failed {
            b.apply_update(NameId::of("other"), failure(name), Time::from_millis(at));
        }
    }
    let mut probed = BTreeSet::new();
    for from in (8_610..12_600).step_by(100) {
        (0..10).for_each(|_| b.record_request(service, Time::from_millis(from)));
        (0..rejected).for_each(|_| b.record_rejection(service, Time::from_millis(from)));
        probed.extend(send(&mut b, 10, from, false).into_keys());
    }
    let tried = failed.iter().filter(|n| probed.contains(*n)).count();
    assert_eq!(tried == failed.len(), is_probed, "{tried} of {} were tried", failed.len());
}

/// Guards against upstreams that idle while boxes which see few requests reject some of them.
///
/// A rejection did not count for services without hazards, and never for a box that saw one in
/// some seconds. Upstreams that had failed were then avoided for four seconds and longer.
#[rstest]
#[case::many_requests(10, 4)]
#[case::few_requests(1, 1)]
fn failed_upstreams_get_repeatable_requests_after_two_seconds(
    #[case] requests: usize,
    #[case] rejected: usize,
) {
    let mut b = balancer(30);
    let service = b.service("s").expect("service is configured");
    send(&mut b, 600, 10, true);
    let failed: Vec<String> = (0..3).map(|i| format!("u{i}")).collect();
    for name in &failed {
        b.apply_update(NameId::of("other"), failure(name), Time::from_millis(6_500));
    }
    let sent = send(&mut b, 180, 6_510, true);
    assert!(failed.iter().all(|n| !sent.contains_key(n)), "they failed just before: {sent:?}");
    let at = Time::from_millis(8_400);
    (0..requests).for_each(|_| b.record_request(service, at));
    (0..rejected).for_each(|_| b.record_rejection(service, at));
    let sent = send(&mut b, 40, 8_510, true);
    let tried = failed.iter().filter(|n| sent.contains_key(*n)).count();
    assert_eq!(tried, failed.len(), "they failed two seconds before: {sent:?}");
}
