//! Tests the routing decisions of one box.

use honeypulley_policy::collector::{Judgement, NameId, Verdict};
use honeypulley_policy::permits::{FloorContext, LEASE, PermitRecord, PermitView};
use honeypulley_policy::router::{
    AttemptKey, Outcome, Pick, Reason, RefusalKind, Router, ServiceKey, UpstreamKey,
};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Floor, Lean, Member, MemberState, RepeatPolicy, ServiceSpec};
use honeypulley_policy::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

const UPSTREAMS: usize = 5;

fn member(i: usize) -> Member {
    let name = format!("u{i}");
    Member {
        name,
        service: "s".into(),
        addr: format!("10.0.0.{i}:80"),
        hall: "h".into(),
        state: MemberState::Live,
    }
}

fn spec(repeat: RepeatPolicy) -> ServiceSpec {
    let lean = Lean::DETECTION;
    ServiceSpec::builder()
        .name("s")
        .floor(Floor::Count(3))
        .repeat(repeat)
        .lean(lean)
        .connections(20)
        .build()
}

fn router(repeat: RepeatPolicy) -> (Router, ServiceKey) {
    let mut r = Router::new("b", "h", 7);
    r.set_services([spec(repeat)]);
    let all: Vec<Member> = (0..UPSTREAMS).map(member).collect();
    r.set_members(&all, 2, Time::ZERO);
    let k = r.service("s").expect("service is configured");
    (r, k)
}

fn view(ups: &[&str], confirmed: Time) -> PermitView {
    let ctx = FloorContext { live: UPSTREAMS, floor: 3 };
    let record = ups
        .iter()
        .fold(PermitRecord::default(), |r, u| r.eject(u, ctx).expect("ejection is allowed"));
    PermitView { records: [("s".to_owned(), record)].into(), confirmed: Some(confirmed) }
}

fn suspect(u: &str, hold: u64) -> Verdict {
    let (service, upstream) = (NameId::of("s"), NameId::of(u));
    Verdict {
        service,
        upstream,
        judgement: Judgement::Suspect,
        hold: Duration::from_millis(hold),
        witnesses: 3,
    }
}

/// Opens and closes `n` attempts and returns the number of picks per upstream.
fn pick_counts(
    r: &mut Router,
    k: ServiceKey,
    n: usize,
    repeatable: bool,
    at: Time,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..n {
        let p = r.pick(k, repeatable, &[], at).expect("upstream is available");
        *counts
            .entry(r.endpoint(p.upstream).expect("upstream is known").0.to_owned())
            .or_default() += 1;
        r.finish(p.attempt, Outcome::Cancelled, at);
    }
    counts
}

#[test]
fn a_valid_permit_takes_all_work_and_a_lapsed_one_binds_nobody() {
    let (mut r, k) = router(RepeatPolicy::Always);
    r.set_permits(&view(&["u0"], Time::from_millis(1_000)));
    let within = Time::from_millis(1_000) + (LEASE - Duration::from_millis(1));
    assert!(!pick_counts(&mut r, k, 500, true, within).contains_key("u0"));
    // After the lease has expired, as after a pause, the upstream is only a last resort.
    let expired = Time::from_millis(1_000) + LEASE;
    let picks: Vec<Pick> = std::iter::from_fn(|| r.pick(k, true, &[], expired).ok()).collect();
    let last = picks.iter().filter(|p| p.reason == Reason::LastResort).count();
    assert!(last > 0, "an upstream with an expired permit remains a last resort");
    assert!(picks.iter().all(|p| (p.reason == Reason::LastResort)
        == (r.endpoint(p.upstream).expect("upstream is known").0 == "u0")));
}

#[test]
fn no_more_are_set_aside_than_the_floor_spares_even_if_all_look_sick() {
    let (mut r, k) = router(RepeatPolicy::Always);
    for i in 0..UPSTREAMS {
        r.apply_verdict(&suspect(&format!("u{i}"), 4_000), Time::ZERO);
    }
    let used = pick_counts(&mut r, k, 500, true, Time::from_millis(1));
    assert_eq!(used.len(), 3, "the floor keeps three of five in use: {used:?}");
}

#[test]
fn leaving_upstreams_cost_the_ejected_ones_their_hold() {
    let (mut r, k) = router(RepeatPolicy::Always);
    r.set_permits(&view(&["u0", "u1"], Time::ZERO));
    let now = Time::from_millis(10);
    assert_eq!(pick_counts(&mut r, k, 300, true, now).len(), 3);
    let mut list: Vec<Member> = (0..UPSTREAMS).map(member).collect();
    list[4].state = MemberState::Leaving;
    r.set_members(&list, 2, now);
    // With four live upstreams and a floor of three, one of the two must receive requests again.
    let used = pick_counts(&mut r, k, 300, true, now);
    assert_eq!(used.len(), 3, "{used:?}");
    assert!(!used.contains_key("u4"));
}

#[test]
fn a_drain_mark_ends_new_work_at_once() {
    let (mut r, k) = router(RepeatPolicy::Always);
    let p = r.pick(k, true, &[], Time::ZERO).expect("upstream is available");
    let name = r.endpoint(p.upstream).expect("upstream is known").0.to_owned();
    r.mark_draining(p.upstream, Time::ZERO);
    assert!(!pick_counts(&mut r, k, 300, true, Time::ZERO).contains_key(&name));
}

#[test]
fn a_stall_is_reported_before_any_timeout() {
    let (mut r, k) = router(RepeatPolicy::Always);
    let mut now = Time::ZERO;
    for _ in 0..200 {
        let p = r.pick(k, true, &[], now).expect("upstream is available");
        now = now + Duration::from_millis(10);
        r.response_started(p.attempt, true, now);
        r.finish(p.attempt, Outcome::Completed, now);
    }
    let p = r.pick(k, true, &[], now).expect("upstream is available");
    assert!(r.stall_limit(k) < Duration::from_millis(200), "{:?}", r.stall_limit(k));
    now = now + Duration::from_millis(250);
    let stalled = NameId::of(r.endpoint(p.upstream).expect("upstream is known").0);
    let reports = r.tick(now);
    let item = reports[0].items.iter().find(|i| i.upstream == stalled).expect("stall is reported");
    assert_eq!(item.failures, 10);
    // The later end of the same attempt adds no further evidence.
    r.finish(p.attempt, Outcome::TimedOut, now + Duration::from_secs(2));
    let again = r.tick(now + Duration::from_secs(3));
    assert!(again.iter().flat_map(|r| &r.items).all(|i| i.failures == 0), "{again:?}");
}

#[test]
fn a_box_that_ejects_reports_additional_weight() {
    let (mut r, k) = router(RepeatPolicy::Always);
    let mut now = Time::ZERO;
    let (mut bad, mut failed) = (0, 0);
    for _ in 0..400 {
        now = now + Duration::from_millis(10);
        let p = r.pick(k, true, &[], now).expect("upstream is available");
        let fails = r.endpoint(p.upstream).expect("upstream is known").0 == "u0";
        failed += u32::from(fails);
        r.response_started(p.attempt, !fails, now);
        r.finish(p.attempt, Outcome::Completed, now);
        let reports = r.tick(now);
        bad += reports.iter().flat_map(|r| &r.items).map(|i| u32::from(i.failures)).sum::<u32>();
    }
    assert!((3..12).contains(&failed), "failing upstream must be avoided: {failed} failures");
    assert!(bad >= failed * 10 + 20, "{bad} tenths for {failed} failures");
}

#[test]
fn canary_requests_are_repeatable() {
    let (mut r, k) = router(RepeatPolicy::Reads);
    let probation = Verdict { judgement: Judgement::Probation, ..suspect("u0", 60_000) };
    r.apply_verdict(&probation, Time::ZERO);
    let now = Time::from_millis(1);
    assert!(!pick_counts(&mut r, k, 1_000, false, now).contains_key("u0"));
    let tried = pick_counts(&mut r, k, 1_000, true, now)["u0"];
    assert!(
        (20..100).contains(&tried),
        "expected about one in twenty, but {tried} of 1000 were canary requests"
    );
}

#[test]
fn a_full_service_refuses_with_a_retry_time() {
    let (mut r, k) = router(RepeatPolicy::Always);
    // Two boxes share twenty connections to each upstream, so each box may open ten.
    let open: Vec<AttemptKey> =
        std::iter::from_fn(|| r.pick(k, true, &[], Time::ZERO).ok()).map(|p| p.attempt).collect();
    assert_eq!(open.len(), UPSTREAMS * 10);
    let refusal = r.pick(k, true, &[], Time::ZERO).expect_err("all connections are in use");
    assert_eq!(refusal.kind, RefusalKind::ConnectionsExhausted);
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn a_rate_limit_is_divided_among_the_boxes() {
    let mut r = Router::new("b", "h", 7);
    r.set_members(&[], 4, Time::ZERO);
    r.set_services([ServiceSpec { rate: Some(40.0), ..spec(RepeatPolicy::Always) }]);
    let k = r.service("s").expect("service is configured");
    let admitted = (0..1_000).filter(|i| r.admit(k, Time::from_millis(i * 10)).is_ok()).count();
    // Ten requests per second for ten seconds, plus the burst.
    assert!((100..=111).contains(&admitted), "{admitted}");
    let refusal = r.admit(k, Time::from_millis(9_990)).expect_err("rate limit is exhausted");
    assert!(refusal.retry_after <= Duration::from_millis(150));
}

#[rstest::rstest]
#[case::always_idle(0.0, 250..480)]
#[case::always_full(9.0, 20..200)]
fn a_false_load_report_has_a_bounded_effect(
    #[case] false_load: f64,
    #[case] share: std::ops::Range<usize>,
) {
    let (mut r, k) = router(RepeatPolicy::Always);
    let (mut now, mut picked) = (Time::ZERO, 0);
    for _ in 0..1_000 {
        now = now + Duration::from_millis(20);
        let p = r.pick(k, true, &[], now).expect("upstream is available");
        let is_false = r.endpoint(p.upstream).expect("upstream is known").0 == "u0";
        picked += usize::from(is_false);
        r.response_started(p.attempt, true, now + Duration::from_millis(15));
        r.finish(p.attempt, Outcome::Completed, now + Duration::from_millis(15));
        // All other upstreams correctly report two of three busy slots.
        r.record_load(p.upstream, if is_false { false_load } else { 0.667 }, now);
    }
    // A fair share is 200; a fresh false report wins or loses every comparison.
    assert!(share.contains(&picked), "{picked} of 1000");
}

/// Sends `n` requests that take `ms` each and returns the number of refused ones.
fn serve(r: &mut Router, k: ServiceKey, now: &mut Time, n: usize, ms: u64) -> usize {
    let mut refused = 0;
    for _ in 0..n {
        *now = *now + Duration::from_millis(20);
        if let Err(e) = r.admit(k, *now) {
            assert_eq!(e.kind, RefusalKind::Overload);
            assert!(e.retry_after >= Duration::from_secs(2), "retry time is at least the deadline");
            refused += 1;
            continue;
        }
        let p = r.pick(k, true, &[], *now).expect("upstream is available");
        let end = *now + Duration::from_millis(ms);
        r.response_started(p.attempt, true, end);
        r.finish(p.attempt, Outcome::Completed, end);
    }
    refused
}

#[test]
fn an_overloaded_service_sheds_requests_and_recovers() {
    let (mut r, k) = router(RepeatPolicy::Always);
    let mut now = Time::ZERO;
    assert_eq!(serve(&mut r, k, &mut now, 500, 50), 0, "healthy load is admitted");
    // Response times of half the two-second deadline exceed the target of a quarter, so about half
    // are shed.
    let refused = serve(&mut r, k, &mut now, 400, 1_000);
    assert!((130..250).contains(&refused), "{refused} of 400");
    serve(&mut r, k, &mut now, 100, 50);
    assert_eq!(serve(&mut r, k, &mut now, 200, 50), 0, "no requests are shed after recovery");
}

#[test]
fn a_restart_at_a_new_address_clears_the_state() {
    let (mut r, k) = router(RepeatPolicy::Always);
    r.apply_verdict(&suspect("u0", 60_000), Time::ZERO);
    let mut list: Vec<Member> = (0..UPSTREAMS).map(member).collect();
    list[0].addr = "10.0.0.99:80".into();
    r.set_members(&list, 2, Time::ZERO);
    assert!(pick_counts(&mut r, k, 500, true, Time::from_millis(1)).contains_key("u0"));
}

#[test]
fn a_restart_at_the_same_address_ends_draining() {
    let (mut r, k) = router(RepeatPolicy::Always);
    let p = r.pick(k, true, &[], Time::ZERO).expect("upstream is available");
    let name = r.endpoint(p.upstream).expect("upstream is known").0.to_owned();
    r.mark_draining(p.upstream, Time::ZERO);
    r.finish(p.attempt, Outcome::Completed, Time::ZERO);
    let mut list: Vec<Member> = (0..UPSTREAMS).map(member).collect();
    let i = list.iter().position(|m| m.name == name).expect("upstream is listed");
    for (at, state) in [(1_000, MemberState::Leaving), (2_000, MemberState::Live)] {
        list[i].state = state;
        r.set_members(&list, 2, Time::from_millis(at));
        let used = pick_counts(&mut r, k, 500, true, Time::from_millis(at + 12_000));
        assert_eq!(used.contains_key(&name), state == MemberState::Live);
    }
}

/// A generated event.
#[derive(Clone, Copy, Debug)]
enum Step {
    Pick(bool),
    Finish(usize, u8),
    Suspect(usize),
    Permit(usize, bool),
    Drain,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<bool>().prop_map(Step::Pick),
        5 => (0usize..50, 0u8..5).prop_map(|(i, o)| Step::Finish(i, o)),
        1 => (0..UPSTREAMS).prop_map(Step::Suspect),
        1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(i, valid)| Step::Permit(i, valid)),
        1 => Just(Step::Drain),
        3 => (1u64..3_000).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Compares with a reference model of open attempts, drained and ejected upstreams.
    #[test]
    fn picks_agree_with_a_naive_bookkeeper(steps in prop::collection::vec(step(), 1..200)) {
        let (mut r, k) = router(RepeatPolicy::Always);
        let (mut now, mut open) = (Time::ZERO, Vec::<(AttemptKey, UpstreamKey, String)>::new());
        let mut drained: Vec<String> = Vec::new();
        let mut ejected: Option<(String, Time)> = None;
        for s in steps {
            match s {
                Step::Pick(repeatable) => {
                    let before: BTreeMap<&String, usize> = open.iter().fold(BTreeMap::new(), |mut m, (_, _, u)| { *m.entry(u).or_default() += 1; m });
                    match r.pick(k, repeatable, &[], now) {
                        Ok(p) => {
                            let name = r.endpoint(p.upstream).expect("upstream is known").0.to_owned();
                            prop_assert!(!drained.contains(&name), "sent to a draining upstream");
                            prop_assert!(before.get(&name).copied().unwrap_or(0) < 10, "exceeds the connection limit");
                            if let Some((u, at)) = &ejected {
                                prop_assert!(*u != name || now.since(*at) >= LEASE, "sent to an ejected upstream");
                            }
                            open.push((p.attempt, p.upstream, name));
                        }
                        Err(e) => {
                            prop_assert_eq!(e.kind, RefusalKind::ConnectionsExhausted);
                            let has_room = |u: &String| before.get(u).copied().unwrap_or(0) < 10;
                            let free = (0..UPSTREAMS).map(|i| format!("u{i}")).filter(|u| has_room(u) && !drained.contains(u));
                            let held = |u: &String| ejected.as_ref().is_some_and(|(e, at)| e == u && now.since(*at) < LEASE);
                            prop_assert_eq!(free.filter(|u| !held(u)).count(), 0, "refused although connections are available");
                        }
                    }
                }
                Step::Finish(i, o) if !open.is_empty() => {
                    let (a, ..) = open.swap_remove(i % open.len());
                    let outcome = [Outcome::Completed, Outcome::Failed, Outcome::TimedOut, Outcome::Malformed, Outcome::Cancelled][o as usize];
                    r.response_started(a, o != 1, now);
                    r.finish(a, outcome, now);
                }
                Step::Finish(..) => {}
                Step::Suspect(i) => { r.apply_verdict(&suspect(&format!("u{i}"), 4_000), now); }
                Step::Permit(i, valid) => {
                    let u = format!("u{i}");
                    r.set_permits(&view(&[&u], now));
                    ejected = Some((u, now));
                    if !valid {
                        now = now + LEASE;
                    }
                }
                Step::Drain => {
                    if let (true, Some((_, u, name))) = (drained.is_empty(), open.last()) {
                        r.mark_draining(*u, now);
                        drained.push(name.clone());
                    }
                }
                Step::Advance(ms) => {
                    now = now + Duration::from_millis(ms);
                    let _ = r.tick(now);
                }
            }
        }
    }
}

/// Guards against requests within the backoff that an upstream requested with a rejection.
#[test]
fn no_request_is_sent_during_a_backoff() {
    let (mut r, s) = router(RepeatPolicy::Always);
    r.set_members(&[member(0), member(1)], 1, Time::ZERO);
    let backoff = Some(Duration::from_secs(3));
    let p = r.pick(s, true, &[], Time::ZERO).expect("two upstreams are available");
    let changes =
        r.record_signals(p.attempt, &Signals { backoff, ..Signals::default() }, Time::ZERO);
    r.finish(p.attempt, Outcome::NotRun, Time::ZERO);
    assert!(changes.backoff);
    for ms in (0..3_000).step_by(10) {
        let q = r.pick(s, true, &[], Time::from_millis(ms)).expect("one upstream is available");
        assert_ne!(q.upstream, p.upstream, "at {ms} ms");
        r.finish(q.attempt, Outcome::Completed, Time::from_millis(ms));
    }
    let q = r.pick(s, true, &[], Time::ZERO).expect("one upstream is available");
    let refused = r.pick(s, true, &[q.upstream], Time::from_millis(1_000));
    let refused = refused.expect_err("the other upstream requested a backoff");
    assert_eq!(refused.kind, RefusalKind::Backoff);
    assert!(refused.retry_after >= Duration::from_secs(2), "{:?}", refused.retry_after);
    let after = Time::from_millis(3_000);
    assert!(r.pick(s, true, &[q.upstream], after).is_ok());
}
