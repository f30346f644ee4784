//! What upstreams say of themselves in their answers: how long it binds a box.

use super::{ask, balancer, listed, send};
use honeypulley_policy::balance::{Balancer, Listed, News};
use honeypulley_policy::chooser::Chooser;
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
    let ask = ask(b, true);
    for _ in 0..1_000 {
        let p = b.pick(&ask, &[], at(ms)).expect("there are upstreams");
        if b.place(p.upstream).expect("known").name == name {
            return p;
        }
        b.finish(p.attempt, Outcome::Abandoned, at(ms));
    }
    panic!("{name} is never chosen");
}

/// Has `u0` announce its shutdown in an answer.
fn announce(b: &mut Balancer, ms: u64) {
    let p = pick(b, "u0", ms);
    assert!(b.signalled(p.attempt, &LEAVING, at(ms)).leaving, "that is new");
    b.answered(p.attempt, true, at(ms));
    b.finish(p.attempt, Outcome::Whole, at(ms));
}

/// Requests that `u0` gets of 200 in two seconds.
fn sent(b: &mut Balancer, from: u64) -> usize {
    send(b, 200, from, true).remove("u0").unwrap_or(0)
}

#[test]
fn an_announced_shutdown_ends_new_work_at_once_and_is_broadcast_once() {
    let mut b = balancer(3);
    b.take_news();
    announce(&mut b, 0);
    let leaving = News::Leaving { upstream: NameId::of("u0") };
    let news = b.take_news();
    assert!(news.contains(&leaving) && !leaving.is_for_hall(), "{news:?}");
    assert_eq!(sent(&mut b, 10), 0);
    assert!(!b.take_news().contains(&leaving));
}

#[test]
fn a_peer_that_receives_the_announcement_sends_nothing_either() {
    let mut b = balancer(3);
    b.heard(NameId(9), News::Leaving { upstream: NameId::of("u0") }, at(0));
    assert_eq!(sent(&mut b, 10), 0);
}

/// Guards against list entries that are older than the announcement.
#[rstest]
#[case::same_entry(false, false)]
#[case::entry_gone_and_back(true, false)]
#[case::service_gone_and_back(false, true)]
fn a_list_that_shows_it_as_ready_takes_no_announcement_back(
    #[case] entry_goes: bool,
    #[case] service_goes: bool,
) {
    let mut b = balancer(3);
    announce(&mut b, 0);
    if entry_goes {
        b.remove_upstream("u0");
    }
    if service_goes {
        b.set_services(&[], at(100));
        b.set_services(&[ServiceSpec::builder().name("s").build()], at(200));
    }
    b.set_upstream(listed("u0", "h", MemberState::Live), at(300));
    assert_eq!(sent(&mut b, 400), 0);
}

#[test]
fn an_announcement_that_outruns_the_list_entry_holds() {
    let mut b = balancer(2);
    b.heard(NameId(9), News::Leaving { upstream: NameId::of("u7") }, at(0));
    b.set_upstream(listed("u7", "h", MemberState::Live), at(100));
    assert_eq!(send(&mut b, 200, 200, true).get("u7"), None);
}

#[test]
fn a_restarted_upstream_has_announced_nothing() {
    let mut b = balancer(3);
    announce(&mut b, 0);
    let reborn = Listed { born: Some(77), ..listed("u0", "h", MemberState::Live) };
    b.set_upstream(reborn, at(100));
    assert!(sent(&mut b, 200) > 30, "a third of the work");
}

#[test]
fn a_service_whose_upstreams_all_leave_is_refused_at_once() {
    let mut b = balancer(1);
    announce(&mut b, 0);
    let ask = ask(&b, true);
    let refused = b.pick(&ask, &[], at(10)).expect_err("nobody takes new work");
    assert_eq!(refused.kind, RefusalKind::NoUpstream);
    assert!(!refused.retry_after.is_zero());
}

#[test]
fn a_box_that_starts_receives_the_announcements() {
    let mut b = balancer(3);
    announce(&mut b, 0);
    let leaving = News::Leaving { upstream: NameId::of("u0") };
    assert!(b.beliefs(at(10)).contains(&leaving));
    // The list tells it from here on.
    b.set_upstream(listed("u0", "h", MemberState::Leaving), at(20));
    assert!(!b.beliefs(at(30)).contains(&leaving));
}

#[test]
fn requests_in_flight_at_an_upstream_that_leaves_go_on() {
    let mut b = balancer(2);
    let p = pick(&mut b, "u0", 0);
    announce(&mut b, 10);
    assert!(!b.has_restarted(p.upstream));
    assert!(b.place(p.upstream).is_some());
}

fn backoff(ms: u64) -> Signals {
    Signals { backoff: Some(Duration::from_millis(ms)), ..Signals::default() }
}

/// Has `u0` reject a request and ask for a backoff; tells whether that ends later than before.
fn reject(b: &mut Balancer, from_ms: u64, backoff_ms: u64) -> bool {
    let p = pick(b, "u0", from_ms);
    let is_later = b.signalled(p.attempt, &backoff(backoff_ms), at(from_ms)).backoff;
    b.finish(p.attempt, Outcome::NotRun, at(from_ms));
    is_later
}

/// Sends requests each 10 ms in a time, rejected ones included, and counts those to `u0`.
fn count_u0(b: &mut Balancer, repeatable: bool, (from, to): (u64, u64)) -> usize {
    let ask = ask(b, repeatable);
    let mut count = 0;
    for ms in (from..to).step_by(10) {
        let Ok(p) = b.pick(&ask, &[], at(ms)) else { continue };
        count += usize::from(b.place(p.upstream).expect("known").name == "u0");
        b.answered(p.attempt, true, at(ms));
        b.finish(p.attempt, Outcome::Whole, at(ms));
    }
    count
}

/// Guards against trials, retries and least-loss picks inside a requested backoff.
#[rstest]
#[case::repeatable_of_three(3, true)]
#[case::single_use_of_three(3, false)]
#[case::the_only_one(1, true)]
fn nothing_is_sent_during_a_backoff_and_work_returns_after_it(
    #[case] upstreams: usize,
    #[case] repeatable: bool,
) {
    let mut b = balancer(upstreams);
    assert!(reject(&mut b, 0, 3_000));
    assert_eq!(count_u0(&mut b, repeatable, (10, 3_000)), 0);
    // A tenth of the time is added at random.
    assert!(count_u0(&mut b, repeatable, (3_300, 9_000)) > 0);
}

/// Guards against retries and hedges, which leave out the upstreams already tried.
#[test]
fn a_second_send_goes_to_no_upstream_that_backs_off() {
    let mut b = balancer(2);
    reject(&mut b, 0, 3_000);
    let ask = ask(&b, true);
    let first = b.pick(&ask, &[], at(10)).expect("u1 is left");
    let refused = b.pick(&ask, &[first.upstream], at(20)).expect_err("u0 backs off");
    assert_eq!(refused.kind, RefusalKind::Backoff);
}

#[test]
fn a_service_whose_upstreams_all_back_off_is_refused_until_the_first_may_be_sent_something() {
    let mut b = balancer(2);
    let ask = ask(&b, true);
    for (wait, ms) in [(1_000, 0), (700, 1)] {
        let p = b.pick(&ask, &[], at(ms)).expect("one is left");
        b.signalled(p.attempt, &backoff(wait), at(ms));
        b.finish(p.attempt, Outcome::NotRun, at(ms));
    }
    let refused = b.pick(&ask, &[], at(2)).expect_err("both back off");
    assert_eq!(refused.kind, RefusalKind::Backoff);
    let ms = refused.retry_after.as_millis();
    assert!((699..1_160).contains(&ms), "{ms} ms");
    assert!(b.pick(&ask, &[], at(800)).is_ok());
}

#[rstest]
#[case::longer(500, 3_000, true)]
#[case::shorter(3_000, 500, false)]
fn of_two_backoffs_the_later_end_holds(
    #[case] first: u64,
    #[case] second: u64,
    #[case] is_later: bool,
) {
    let mut b = balancer(1);
    let [p, q] = [pick(&mut b, "u0", 0), pick(&mut b, "u0", 0)];
    assert!(b.signalled(p.attempt, &backoff(first), at(0)).backoff);
    assert_eq!(b.signalled(q.attempt, &backoff(second), at(10)).backoff, is_later);
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
    b.set_upstream(Listed { born: Some(7), ..listed("u0", "h", MemberState::Live) }, at(4_100));
    assert!(count_u0(&mut b, true, (4_200, 5_000)) > 0);
}

/// Guards against a whole fleet that stays away for what one box was asked.
#[test]
fn a_backoff_is_not_broadcast() {
    let mut b = balancer(1);
    b.take_news();
    let p = pick(&mut b, "u0", 0);
    b.take_news();
    b.signalled(p.attempt, &backoff(3_000), at(0));
    assert!(b.take_news().is_empty());
}

#[test]
fn operators_see_how_long_a_backoff_lasts() {
    let mut b = balancer(1);
    reject(&mut b, 0, 3_600_000);
    let left = b.status(at(60_000))[0].backoff.expect("it lasts");
    assert!(left >= Duration::from_secs(3_540), "{left:?}");
    assert_eq!(b.status(at(4_000_000))[0].backoff, None);
}

/// Guards against signals of answers that arrive while their upstream's list entry is away.
#[test]
fn signals_count_while_the_list_entry_is_away() {
    let mut b = balancer(2);
    let [p, q] = [pick(&mut b, "u0", 0), pick(&mut b, "u1", 0)];
    b.remove_upstream("u0");
    b.remove_upstream("u1");
    b.take_news();
    assert!(b.signalled(p.attempt, &LEAVING, at(10)).leaving);
    assert!(b.take_news().contains(&News::Leaving { upstream: NameId::of("u0") }));
    assert!(b.signalled(q.attempt, &backoff(3_000), at(10)).backoff);
    for name in ["u0", "u1"] {
        b.set_upstream(listed(name, "h", MemberState::Live), at(100));
    }
    let ask = ask(&b, true);
    let refused = b.pick(&ask, &[], at(110)).expect_err("one leaves, the other backs off");
    assert_eq!(refused.kind, RefusalKind::Backoff);
}
