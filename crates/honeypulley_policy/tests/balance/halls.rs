//! Which requests leave their data hall, by what their answers weigh.
//!
//! Pattern: downloads of 90 kB on a service of five or six upstreams a hall, a third of whose
//! slots are busy; at 31 requests a MB that crosses, each that leaves costs 2.8 of the one
//! that it is worth. Of 72 a second 15 left while some near ones were in doubt.

use crate::{RULE, ask, listed, report_load};
use honeypulley_policy::balance::{Balancer, News, Past};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::{Ask, Chooser};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::Outcome;
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Requests a MB that leaves the hall, as `deploy/box.ini` states it.
const PRICE: f64 = 15.0;
/// Lengths of a download, of a page and of a receipt, in bytes.
const DOWNLOAD: u64 = 90_000;
const PAGE: u64 = 1_500;

/// Time that a download takes.
const WORK: Duration = Duration::from_millis(300);

/// A box before five upstreams of its hall, `near0` and so on, and five of another.
fn two_halls(price: f64) -> Balancer {
    let mut b = Balancer::new("h", RULE, 7).with_past(Past::Empty).with_hall_price(price);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    for i in 0..5 {
        b.set_upstream(listed(&format!("near{i}"), "h", MemberState::Live), Time::ZERO);
        b.set_upstream(listed(&format!("far{i}"), "other", MemberState::Live), Time::ZERO);
    }
    b
}

/// Sends requests whose answers are `bytes` long from `from` ms on, 20 ms apart; returns how
/// many of them left the hall.
fn leave(b: &mut Balancer, ask: &Ask, bytes: u64, from: u64) -> usize {
    let mut left = 0;
    for i in 0..60 {
        let now = Time::from_millis(from + i * 20);
        let pick = b.pick(ask, &[], now).expect("there are upstreams");
        left += usize::from(b.place(pick.upstream).expect("known").name.starts_with("far"));
        b.answered(pick.attempt, true, now);
        b.sized(pick.attempt, bytes);
        b.finish(pick.attempt, Outcome::Whole, now);
    }
    left
}

/// Puts all near upstreams in doubt, as when each has just failed a request.
fn doubt(b: &mut Balancer, at: u64) {
    for i in 0..5 {
        let upstream = NameId::of(&format!("near{i}"));
        let news = News::Seen { upstream, what: Observation::Failure };
        b.heard(NameId::of("peer"), news, Time::from_millis(at));
    }
}

/// An upstream that is ill is worth leaving for a page, not for a download.
#[rstest]
#[case::download(DOWNLOAD, 0, 0)]
#[case::page(PAGE, 20, 60)]
fn what_is_long_stays(#[case] bytes: u64, #[case] least: usize, #[case] most: usize) {
    let mut b = two_halls(PRICE);
    let ask = Ask { bulky: bytes == DOWNLOAD, ..ask(&b, true) };
    leave(&mut b, &ask, bytes, 6_000);
    doubt(&mut b, 8_000);
    let left = leave(&mut b, &ask, bytes, 8_010);
    assert!((least..=most).contains(&left), "{left} of 60 left");
}

/// What a route's answers weigh is learnt from them, whatever its kind says.
#[test]
fn the_length_of_answers_is_learnt() {
    let mut b = two_halls(PRICE);
    let ask = Ask { bulky: true, ..ask(&b, true) };
    for n in 0..4 {
        leave(&mut b, &ask, PAGE, 6_000 + n * 1_500);
    }
    doubt(&mut b, 13_000);
    let left = leave(&mut b, &ask, PAGE, 13_010);
    assert!(left >= 20, "{left} of 60 left: answers of 1.5 kB cost little");
}

/// Where bytes cost nothing, a download goes where it is served best.
#[test]
fn a_download_leaves_where_bytes_cost_little() {
    let mut b = two_halls(1.0);
    let ask = Ask { bulky: true, ..ask(&b, true) };
    leave(&mut b, &ask, DOWNLOAD, 6_000);
    doubt(&mut b, 8_000);
    assert!(leave(&mut b, &ask, DOWNLOAD, 8_010) >= 20);
}

/// A hall without room still hands its downloads on: a queue of several aims costs more.
#[test]
fn a_download_leaves_a_hall_without_room() {
    let mut b = two_halls(PRICE);
    let ask = Ask { bulky: true, ..ask(&b, true) };
    for n in 0..20 {
        let now = Time::from_millis(6_000 + n * 400);
        let pick = b.pick(&ask, &[], now).expect("there are upstreams");
        let later = now + WORK;
        b.answered(pick.attempt, true, later);
        b.finish(pick.attempt, Outcome::Whole, later);
    }
    let now = Time::from_millis(14_000);
    let near: Vec<_> = (0..40).filter_map(|_| b.pick(&ask, &[], now).ok()).collect();
    for p in &near {
        if b.place(p.upstream).expect("known").name.starts_with("near") {
            report_load(&mut b, p, 30.0, now);
        }
    }
    let pick = b.pick(&ask, &[], now).expect("there are upstreams");
    assert!(b.place(pick.upstream).expect("known").name.starts_with("far"));
}
