//! Signals that upstreams send in their answers, and how long they apply.

use super::{balancer, info, listed, report_load, send};
use honeypulley_policy::balance::{Balancer, Update, UpstreamEntry};
use honeypulley_policy::chooser::{MAX_LOAD, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick, RefusalKind};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

const LEAVING: Signals = Signals { load: None, limit: None, leaving: true, backoff: None };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends requests until one goes to `name`, and returns that one.
fn pick(b: &mut Balancer, name: &str, ms: u64) -> Pick {
    let info = info(b, true);
    for _ in 0..1_000 {
        let p = b.pick(&info, &[], at(ms)).expect("upstreams are available");
        if b.endpoint(p.upstream).expect("upstream is known").name == name {
            return p;
        }
        b.finish(p.attempt, Outcome::Cancelled, at(ms));
    }
    panic!("{name} is never selected");
}

/// Announces the shutdown of `u0` in an answer.
fn announce_shutdown(b: &mut Balancer, ms: u64) {
    let p = pick(b, "u0", ms);
    assert!(b.record_signals(p.attempt, &LEAVING, at(ms)).leaving, "the announcement is new");
    b.response_started(p.attempt, true, at(ms));
    b.finish(p.attempt, Outcome::Completed, at(ms));
}

/// Returns how many of 200 requests within two seconds `u0` gets.
fn sent_to_u0(b: &mut Balancer, from: u64) -> usize {
    send(b, 200, from, true).remove("u0").unwrap_or(0)
}

#[test]
fn an_announced_shutdown_ends_new_requests_at_once_and_is_broadcast_once() {
    let mut b = balancer(3);
    b.take_updates();
    announce_shutdown(&mut b, 0);
    let leaving = Update::Leaving { upstream: NameId::of("u0") };
    let updates = b.take_updates();
    assert!(updates.contains(&leaving) && !leaving.is_for_hall(), "{updates:?}");
    assert_eq!(sent_to_u0(&mut b, 10), 0);
    assert!(!b.take_updates().contains(&leaving));
}

#[test]
fn a_peer_that_receives_the_announcement_sends_nothing_either() {
    let mut b = balancer(3);
    b.apply_update(NameId(9), Update::Leaving { upstream: NameId::of("u0") }, at(0));
    assert_eq!(sent_to_u0(&mut b, 10), 0);
}

/// Guards against list entries that predate the announcement.
#[rstest]
#[case::same_entry(false, false)]
#[case::entry_gone_and_back(true, false)]
#[case::service_gone_and_back(false, true)]
fn a_live_list_entry_does_not_revoke_an_announced_shutdown(
    #[case] removes_entry: bool,
    #[case] removes_service: bool,
) {
    let mut b = balancer(3);
    announce_shutdown(&mut b, 0);
    if removes_entry {
        b.remove_upstream("u0");
    }
    if removes_service {
        b.set_services(&[], at(100));
        b.set_services(&[ServiceSpec::builder().name("s").build()], at(200));
    }
    b.set_upstream(listed("u0", "h", MemberState::Live), at(300));
    assert_eq!(sent_to_u0(&mut b, 400), 0);
}

#[test]
fn an_announcement_before_the_list_entry_applies() {
    let mut b = balancer(2);
    b.apply_update(NameId(9), Update::Leaving { upstream: NameId::of("u7") }, at(0));
    b.set_upstream(listed("u7", "h", MemberState::Live), at(100));
    assert_eq!(send(&mut b, 200, 200, true).get("u7"), None);
}

#[test]
fn a_restart_clears_an_announced_shutdown() {
    let mut b = balancer(3);
    announce_shutdown(&mut b, 0);
    let restarted = UpstreamEntry { started: Some(77), ..listed("u0", "h", MemberState::Live) };
    b.set_upstream(restarted, at(100));
    assert!(sent_to_u0(&mut b, 200) > 30, "a third of the requests");
}

#[test]
fn a_service_whose_upstreams_all_leave_is_refused_at_once() {
    let mut b = balancer(1);
    announce_shutdown(&mut b, 0);
    let info = info(&b, true);
    let refused = b.pick(&info, &[], at(10)).expect_err("no upstream takes new requests");
    assert_eq!(refused.kind, RefusalKind::NoUpstream);
    assert!(!refused.retry_after.is_zero());
}

#[test]
fn a_box_that_starts_receives_the_announcements() {
    let mut b = balancer(3);
    announce_shutdown(&mut b, 0);
    let leaving = Update::Leaving { upstream: NameId::of("u0") };
    assert!(b.belief_snapshot(at(10)).contains(&leaving));
    // From here on the list shows it.
    b.set_upstream(listed("u0", "h", MemberState::Leaving), at(20));
    assert!(!b.belief_snapshot(at(30)).contains(&leaving));
}

#[test]
fn attempts_in_flight_at_a_leaving_upstream_continue() {
    let mut b = balancer(2);
    let p = pick(&mut b, "u0", 0);
    announce_shutdown(&mut b, 10);
    assert!(!b.has_restarted(p.upstream));
    assert!(b.endpoint(p.upstream).is_some());
}

fn backoff(ms: u64) -> Signals {
    Signals { backoff: Some(Duration::from_millis(ms)), ..Signals::default() }
}

/// Has `u0` shed a request and ask for a backoff; returns whether this extends its backoff.
fn reject(b: &mut Balancer, from_ms: u64, backoff_ms: u64) -> bool {
    let p = pick(b, "u0", from_ms);
    let is_later = b.record_signals(p.attempt, &backoff(backoff_ms), at(from_ms)).backoff;
    b.finish(p.attempt, Outcome::NotRun, at(from_ms));
    is_later
}

/// Sends requests, 10 ms apart, and counts those that `u0` gets.
fn count_u0(b: &mut Balancer, repeatable: bool, (from, to): (u64, u64)) -> usize {
    let info = info(b, repeatable);
    let mut count = 0;
    for ms in (from..to).step_by(10) {
        let Ok(p) = b.pick(&info, &[], at(ms)) else { continue };
        count += usize::from(b.endpoint(p.upstream).expect("upstream is known").name == "u0");
        b.response_started(p.attempt, true, at(ms));
        b.finish(p.attempt, Outcome::Completed, at(ms));
    }
    count
}

/// Guards against probes, retries and selections by loss during a requested backoff.
#[rstest]
#[case::repeatable_of_three(3, true)]
#[case::unsafe_of_three(3, false)]
#[case::only_one(1, true)]
fn nothing_is_sent_during_a_backoff_and_requests_resume_after_it(
    #[case] upstreams: usize,
    #[case] repeatable: bool,
) {
    let mut b = balancer(upstreams);
    assert!(reject(&mut b, 0, 3_000));
    assert_eq!(count_u0(&mut b, repeatable, (10, 3_000)), 0);
    // A tenth of the backoff is added at random.
    assert!(count_u0(&mut b, repeatable, (3_300, 9_000)) > 0);
}

/// Guards against retries and hedges to an upstream in backoff.
///
/// They leave out the upstreams already tried.
#[test]
fn a_retry_skips_an_upstream_in_backoff() {
    let mut b = balancer(2);
    reject(&mut b, 0, 3_000);
    let info = info(&b, true);
    let first = b.pick(&info, &[], at(10)).expect("u1 is available");
    let refused = b.pick(&info, &[first.upstream], at(20)).expect_err("u0 is in backoff");
    assert_eq!(refused.kind, RefusalKind::Backoff);
}

#[test]
fn with_all_upstreams_in_backoff_requests_are_refused_until_the_first_backoff_ends() {
    let mut b = balancer(2);
    let info = info(&b, true);
    for (wait, ms) in [(1_000, 0), (700, 1)] {
        let p = b.pick(&info, &[], at(ms)).expect("one upstream is available");
        b.record_signals(p.attempt, &backoff(wait), at(ms));
        b.finish(p.attempt, Outcome::NotRun, at(ms));
    }
    let refused = b.pick(&info, &[], at(2)).expect_err("both upstreams are in backoff");
    assert_eq!(refused.kind, RefusalKind::Backoff);
    let ms = refused.retry_after.as_millis();
    assert!((699..1_160).contains(&ms), "{ms} ms");
    assert!(b.pick(&info, &[], at(800)).is_ok());
}

#[rstest]
#[case::longer(500, 3_000, true)]
#[case::shorter(3_000, 500, false)]
fn the_later_end_of_two_backoffs_applies(
    #[case] first: u64,
    #[case] second: u64,
    #[case] is_later: bool,
) {
    let mut b = balancer(1);
    let [p, q] = [pick(&mut b, "u0", 0), pick(&mut b, "u0", 0)];
    assert!(b.record_signals(p.attempt, &backoff(first), at(0)).backoff);
    assert_eq!(b.record_signals(q.attempt, &backoff(second), at(10)).backoff, is_later);
    assert_eq!(count_u0(&mut b, true, (20, 3_000)), 0);
}

#[test]
fn a_backoff_outlasts_its_list_entry_but_not_a_restart() {
    let mut b = balancer(1);
    reject(&mut b, 0, 3_000);
    b.remove_upstream("u0");
    b.set_upstream(listed("u0", "h", MemberState::Live), at(100));
    assert_eq!(count_u0(&mut b, true, (100, 3_000)), 0);
    reject(&mut b, 4_000, 3_000);
    b.set_upstream(
        UpstreamEntry { started: Some(7), ..listed("u0", "h", MemberState::Live) },
        at(4_100),
    );
    assert!(count_u0(&mut b, true, (4_200, 5_000)) > 0);
}

/// Guards against a whole fleet backing off because one box was asked to.
#[test]
fn a_backoff_is_not_broadcast() {
    let mut b = balancer(1);
    b.take_updates();
    let p = pick(&mut b, "u0", 0);
    b.take_updates();
    b.record_signals(p.attempt, &backoff(3_000), at(0));
    assert!(b.take_updates().is_empty());
}

#[test]
fn status_shows_the_remaining_backoff() {
    let mut b = balancer(1);
    reject(&mut b, 0, 3_600_000);
    let left = b.status(at(60_000))[0].backoff.expect("the backoff is active");
    assert!(left >= Duration::from_secs(3_540), "{left:?}");
    assert_eq!(b.status(at(4_000_000))[0].backoff, None);
}

/// Guards against losing signals of answers that arrive while the list entry is missing.
#[test]
fn signals_are_recorded_while_the_list_entry_is_missing() {
    let mut b = balancer(2);
    let [p, q] = [pick(&mut b, "u0", 0), pick(&mut b, "u1", 0)];
    b.remove_upstream("u0");
    b.remove_upstream("u1");
    b.take_updates();
    assert!(b.record_signals(p.attempt, &LEAVING, at(10)).leaving);
    assert!(b.take_updates().contains(&Update::Leaving { upstream: NameId::of("u0") }));
    assert!(b.record_signals(q.attempt, &backoff(3_000), at(10)).backoff);
    for name in ["u0", "u1"] {
        b.set_upstream(listed(name, "h", MemberState::Live), at(100));
    }
    let info = info(&b, true);
    let refused =
        b.pick(&info, &[], at(110)).expect_err("one upstream is leaving, the other in backoff");
    assert_eq!(refused.kind, RefusalKind::Backoff);
}

/// Guards against a panic of the routing policy by the load report of a single upstream.
#[test]
fn the_highest_load_report_leaves_all_decisions_possible() {
    let mut b = balancer(2);
    let [p, q] = [pick(&mut b, "u0", 0), pick(&mut b, "u1", 0)];
    for (k, pick) in [p, q].into_iter().enumerate() {
        report_load(&mut b, &pick, MAX_LOAD, at(10 + k as u64));
    }
    let info = info(&b, true);
    let _ = b.expected_latency(&info, at(20));
    for i in 0..200 {
        if let Ok(pick) = b.pick(&info, &[], at(20 + i)) {
            b.record_in_flight(pick.attempt, at(21 + i));
            let _ = b.hedge_value(&info, pick.attempt, at(600 + i));
            b.finish(pick.attempt, Outcome::TimedOut, at(30 + i));
        }
        let _ = b.admission(info.service, at(30 + i));
    }
}
