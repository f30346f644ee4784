//! Placement of requests by the learned hazard of hanging.

use super::{RULE, info, listed};
use honeypulley_policy::balance::{Balancer, RetryHistory, Update, UpstreamEntry};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::{AttemptKey, Outcome};
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::{BTreeMap, VecDeque};

/// Processing time, in ms.
const WORK_MS: u64 = 200;
/// Time between two requests, in ms.
const GAP_MS: u64 = 50;
/// Number of upstreams.
const UPSTREAMS: usize = 6;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn incarnation(name: &str, born: u64) -> UpstreamEntry {
    UpstreamEntry { started: Some(born), ..listed(name, "h", MemberState::Live) }
}

fn alike() -> RouteMix {
    let mut mix = RouteMix::default();
    mix.add(1, false);
    mix
}

fn mixed() -> RouteMix {
    let mut mix = alike();
    mix.add(1, true);
    mix
}

fn highest() -> RouteMix {
    let mut mix = RouteMix::default();
    mix.add(0, false);
    mix
}

fn new_box(mix: RouteMix, seed: u64) -> Balancer {
    let mut b = Balancer::new("h", RULE, seed).with_retry_history(RetryHistory::Empty);
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], Time::ZERO);
    for i in 0..UPSTREAMS {
        b.set_upstream(incarnation(&format!("u{i}"), 1), Time::ZERO);
    }
    b
}

/// Sends a request each [`GAP_MS`], all of which are served; returns the count for each upstream.
fn serve(b: &mut Balancer, from: u64, until: u64, repeatable: bool) -> BTreeMap<String, usize> {
    let info = info(b, repeatable);
    let mut open: VecDeque<(u64, AttemptKey)> = VecDeque::new();
    let mut picks = BTreeMap::new();
    for now in (from..until).step_by(GAP_MS as usize) {
        while let Some((_, k)) = open.pop_front_if(|(ends, _)| *ends <= now) {
            b.response_started(k, true, at(now));
            b.finish(k, Outcome::Completed, at(now));
        }
        let pick = b.pick(&info, &[], at(now)).expect("upstreams are available");
        let name = b.endpoint(pick.upstream).expect("upstream is known").name.to_owned();
        *picks.entry(name).or_default() += 1;
        open.push_back((now + WORK_MS, pick.attempt));
    }
    open.into_iter().for_each(|(ends, k)| {
        b.response_started(k, true, at(ends));
        b.finish(k, Outcome::Completed, at(ends));
    });
    picks
}

/// Returns the share of the requests that `u0` got.
fn share_of_u0(picks: &BTreeMap<String, usize>) -> f64 {
    *picks.get("u0").unwrap_or(&0) as f64 / picks.values().sum::<usize>().max(1) as f64
}

fn seen(observation: Observation) -> Update {
    Update::Seen { upstream: incarnation("u0", 1).incarnation(), observation }
}

/// Lets a peer report that a request hangs at `u0`.
fn report_hang(b: &mut Balancer, now: u64) {
    for observation in [Observation::Overdue, Observation::Hung] {
        b.apply_update(NameId::of("peer"), seen(observation), at(now));
    }
}

/// Serves requests, with an episode each 8 s in which `u0` hangs; returns the end, in ms.
fn learn(b: &mut Balancer) -> u64 {
    let mut now = 0;
    for _ in 0..4 {
        serve(b, now, now + 8_000, true);
        now += 8_000;
        report_hang(b, now);
    }
    serve(b, now, now + 12_000, true);
    now + 12_000
}

/// Guards against sending orders to an upstream that has hung before and is well now.
#[rstest]
#[case::mixed(mixed())]
#[case::highest(highest())]
fn orders_avoid_an_upstream_that_has_hung(#[case] mix: RouteMix) {
    let mut b = new_box(mix, 7);
    let now = learn(&mut b);
    let orders = share_of_u0(&serve(&mut b, now, now + 10_000, false));
    let reads = share_of_u0(&serve(&mut b, now + 10_000, now + 20_000, true));
    assert!(orders < 0.06, "{orders} of the orders went there");
    assert!(reads > 0.08, "only {reads} of the reads went there");
}

/// Guards against effects on services whose routes are alike.
#[test]
fn a_service_of_one_kind_ignores_hazards() {
    let hazard =
        Update::Hazard { upstream: incarnation("u0", 1).incarnation(), episodes: 9, busy_s: 9 };
    let [mut with, mut without] = [new_box(alike(), 7), new_box(alike(), 7)];
    with.apply_update(NameId::of("peer"), hazard, Time::ZERO);
    let nows = [learn(&mut with), learn(&mut without)];
    let picks = serve(&mut with, nows[0], nows[0] + 10_000, false);
    assert_eq!(picks, serve(&mut without, nows[1], nows[1] + 10_000, false));
    assert!(share_of_u0(&picks) > 0.08, "it is as well as the others");
    let is_hazard = |u: &Update| matches!(u, Update::Hazard { .. });
    assert!(!with.belief_snapshot(at(nows[0])).iter().any(is_hazard), "no hazard is announced");
}

/// Guards against a restarted box that has to meet each hang again.
#[test]
fn a_restarted_box_knows_the_hazards() {
    let mut peer = new_box(mixed(), 7);
    let now = learn(&mut peer);
    let mut b = new_box(mixed(), 8);
    // Lost, repeated and reordered updates of several peers give the same counts.
    let snapshot = peer.belief_snapshot(at(now));
    for from in ["peer", "other"] {
        for &update in snapshot.iter().rev() {
            b.apply_update(NameId::of(from), update, Time::ZERO);
        }
    }
    let counts = |b: &Balancer, now| -> Vec<Update> {
        let is_hazard = |u: &Update| matches!(u, Update::Hazard { .. });
        b.belief_snapshot(at(now)).into_iter().filter(is_hazard).collect()
    };
    assert_eq!(counts(&b, 0), counts(&peer, now));
    serve(&mut b, 0, 6_000, true);
    let orders = share_of_u0(&serve(&mut b, 6_000, 16_000, false));
    assert!(orders < 0.06, "{orders} of the orders went there");
}

/// Guards against holding the hangs of a process against its successor.
#[test]
fn a_new_incarnation_starts_at_the_prior() {
    let mut b = new_box(mixed(), 7);
    let now = learn(&mut b);
    b.set_upstream(incarnation("u0", 2), at(now));
    // Late updates name the previous incarnation.
    report_hang(&mut b, now + 1);
    let late =
        Update::Hazard { upstream: incarnation("u0", 1).incarnation(), episodes: 9, busy_s: 9 };
    b.apply_update(NameId::of("peer"), late, at(now + 1));
    let reads = share_of_u0(&serve(&mut b, now + 1, now + 10_001, true));
    assert!(reads > 0.08, "only {reads} of the reads went there");
    let orders = share_of_u0(&serve(&mut b, now + 10_001, now + 20_001, false));
    assert!(orders > 0.08, "only {orders} of the orders went there");
}

/// Guards against counting slow answers as hangs.
#[test]
fn an_attempt_that_was_answered_is_no_hang() {
    let mut b = new_box(mixed(), 7);
    serve(&mut b, 0, 8_000, true);
    for start in [8_000, 14_000] {
        report_hang(&mut b, start);
        b.apply_update(NameId::of("peer"), seen(Observation::Success), at(start + 500));
        serve(&mut b, start, start + 6_000, true);
    }
    serve(&mut b, 20_000, 40_000, true);
    let orders = share_of_u0(&serve(&mut b, 40_000, 50_000, false));
    assert!(orders > 0.08, "only {orders} of the orders went there");
}

/// Guards against a ban: waits at the other upstreams cost more than the hazard.
#[test]
fn a_hazardous_upstream_serves_when_the_others_are_full() {
    let mut b = new_box(mixed(), 7);
    let now = learn(&mut b);
    let info = info(&b, false);
    let picks: Vec<_> = (0..4 * UPSTREAMS)
        .map(|_| b.pick(&info, &[], at(now)).expect("waits are short").upstream)
        .collect();
    let of_u0 = |k: &&_| b.endpoint(**k).expect("upstream is known").name == "u0";
    let orders = picks.iter().filter(of_u0).count();
    assert!(orders >= 3, "only {orders} of its slots are used while others queue");
}
