//! Upstreams that start again under their names: nothing of the former life holds.

use crate::{ask, balancer, failure, listed, report_load, send};
use honeypulley_policy::balance::{Balancer, Listed, News};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::Chooser;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick};
use honeypulley_policy::spec::MemberState;
use honeypulley_policy::time::Time;
use rstest::rstest;

/// An upstream that started at this millisecond.
fn life(name: &str, born: u64) -> Listed {
    Listed { born: Some(born), ..listed(name, "h", MemberState::Live) }
}

/// A box before `u0` and `u1`, both in a first life.
fn two() -> Balancer {
    let mut b = balancer(0);
    b.set_upstream(life("u0", 1_000), Time::ZERO);
    b.set_upstream(life("u1", 1_000), Time::ZERO);
    b
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Sends one request to `u0`.
fn pick_first(b: &mut Balancer, now: Time) -> Pick {
    let ask = ask(b, true);
    loop {
        let pick = b.pick(&ask, &[], now).expect("there are two");
        if b.place(pick.upstream).expect("known").name == "u0" {
            return pick;
        }
        b.finish(pick.attempt, Outcome::Whole, now);
    }
}

/// Share of work that `u0` gets from a moment on.
fn share(b: &mut Balancer, from: u64) -> f64 {
    let picks = send(b, 60, from, true);
    *picks.get("u0").unwrap_or(&0) as f64 / 60.0
}

#[test]
fn a_new_life_is_not_doubted_for_the_former_one() {
    let mut b = two();
    let told = News::Seen { upstream: life("u0", 1_000).life(), what: Observation::Failure };
    for i in 0..3 {
        b.heard(NameId::of("peer"), told, at(i * 100));
    }
    assert!(share(&mut b, 400) < 0.1, "the former life is doubted");
    b.set_upstream(life("u0", 2_000), at(1_100));
    assert!(share(&mut b, 1_200) > 0.3, "the new one is not");
}

#[rstest]
#[case::later(2_000)]
#[case::by_a_clock_that_was_set_back(500)]
#[case::far_ahead(4_102_444_800_000)]
fn attempts_that_others_had_open_in_the_former_life_are_over(#[case] born: u64) {
    let open = News::Open { upstream: life("u0", 1_000).life(), count: 9 };
    let [mut same, mut again] = [two(), two()];
    same.heard(NameId::of("peer"), open, Time::ZERO);
    again.heard(NameId::of("peer"), open, Time::ZERO);
    again.set_upstream(life("u0", born), at(1));
    assert!(share(&mut same, 2) < 0.1, "nine are open there");
    assert!(share(&mut again, 2) > 0.3, "none is");
}

#[test]
fn the_load_of_the_former_life_is_forgotten() {
    let mut b = two();
    let pick = pick_first(&mut b, Time::ZERO);
    report_load(&mut b, &pick, 40.0, Time::ZERO);
    b.finish(pick.attempt, Outcome::Whole, Time::ZERO);
    b.set_upstream(life("u0", 2_000), at(1));
    assert!(share(&mut b, 2) > 0.3);
}

#[test]
fn news_of_the_former_life_that_come_late_change_nothing() {
    let mut b = two();
    b.set_upstream(life("u0", 2_000), at(100));
    let late = News::Seen { upstream: life("u0", 1_000).life(), what: Observation::Failure };
    for i in 0..3 {
        b.heard(NameId::of("peer"), late, at(101 + i));
    }
    b.heard(NameId::of("peer"), failure("u0"), at(110));
    assert!(share(&mut b, 111) > 0.3);
}

#[test]
fn an_attempt_of_the_former_life_is_over_and_says_nothing_of_the_new_one() {
    let mut b = two();
    let pick = pick_first(&mut b, Time::ZERO);
    assert!(!b.has_restarted(pick.upstream));
    b.set_upstream(life("u0", 2_000), at(100));
    assert!(b.has_restarted(pick.upstream));
    b.finish(pick.attempt, Outcome::Failed, at(110));
    assert!(share(&mut b, 111) > 0.3);
}

#[test]
fn one_that_leaves_the_list_has_not_ended() {
    let mut b = two();
    let pick = pick_first(&mut b, Time::ZERO);
    b.remove_upstream("u0");
    assert!(!b.has_restarted(pick.upstream), "it serves what it has to the end");
}

#[test]
fn a_new_life_leaves_the_list_by_its_name() {
    let mut b = two();
    b.set_upstream(life("u0", 2_000), at(100));
    b.remove_upstream("u0");
    assert!(share(&mut b, 111) < 0.01);
}

#[test]
fn the_same_life_told_again_keeps_what_is_known() {
    let mut b = two();
    let told = News::Seen { upstream: life("u0", 1_000).life(), what: Observation::Failure };
    for i in 0..3 {
        b.heard(NameId::of("peer"), told, at(i * 100));
    }
    b.set_upstream(life("u0", 1_000), at(350));
    assert!(share(&mut b, 400) < 0.1);
}
