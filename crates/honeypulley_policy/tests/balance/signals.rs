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

const LEAVING: Signals = Signals { load: None, limit: None, leaving: true };

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
