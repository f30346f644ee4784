//! Limits that upstreams name, kept by all boxes together, in simulated time.
//!
//! Grounds of the figures: limits of 0.2 to 200 a second before 36 to 4,600 boxes; an upstream is
//! asked for two and a half times its limit, 19 in 20 requests by the boxes of its own data hall;
//! 3 to 30 in 100 datagrams lost, a third of the boxes cut off or killed, all killed.

use crate::fleet::{Plan, UPSTREAM, Way, play};
use crate::played;
use honeypulley_policy::fleet_limits::RateLimit;
use rstest::rstest;

/// Times its limit that an upstream is asked for.
const DEMAND: f64 = 2.5;
/// Part of the requests that its own data hall gets.
const HOME: f64 = 0.95;
/// Requests at one time beside a second's limit.
const BURST: f64 = 2.5;

fn limit(rate: f64) -> RateLimit {
    RateLimit { rate, burst: rate + BURST }
}

fn plan(way: Way, rate: f64) -> Plan {
    Plan {
        way,
        bound: UPSTREAM,
        boxes: 36,
        halls: 3,
        limit: limit(rate),
        usual: rate * DEMAND,
        times: 1.0,
        hot: (0, 0),
        lost: 0.0,
        cut: (0.0, (0, 0)),
        killed: (0.0, 0),
        lowered: None,
        skew: 0.0,
        home: Some(HOME),
        seed: 0,
    }
}

fn patterns(way: Way, rate: f64) -> Vec<(&'static str, Plan)> {
    let plan = plan(way, rate);
    vec![
        ("calm", plan),
        ("12 in 100 lost", Plan { lost: 0.12, ..plan }),
        ("30 in 100 lost", Plan { lost: 0.3, ..plan }),
        ("a third killed", Plan { killed: (0.33, 8_000), ..plan }),
        ("all killed", Plan { killed: (1.0, 8_000), ..plan }),
        ("a third cut off", Plan { cut: (0.33, (7_000, 12_000)), ..plan }),
        ("lowered to a quarter", Plan { lowered: Some((6_000, limit(rate / 4.0))), ..plan }),
        ("asked for 20 times its limit", Plan { usual: rate * 20.0, ..plan }),
        ("asked by all halls alike", Plan { home: None, ..plan }),
        ("asked for 20 times by all halls", Plan { usual: rate * 20.0, home: None, ..plan }),
    ]
}

/// Prints the table of docs/design/8-named-limits.md.
#[test]
#[ignore = "prints figures, and plays for a minute"]
fn table_of_ways_of_upstreams() {
    let ways = [Way::Alone, Way::EqualShare, Way::Told, Way::Drawn, Way::OneHall, Way::HallShares];
    for rate in [0.2, 1.0, 2.2, 20.0, 200.0] {
        for way in ways {
            for (name, plan) in patterns(way, rate) {
                let o = played(plan);
                println!(
                    "{rate} {way:?} | {name} | {:.2} | {:.2} | {:.2}",
                    o.worst, o.used, o.datagrams
                );
            }
        }
    }
    for (boxes, halls) in [(36, 3), (113, 3), (293, 3), (4_600, 25)] {
        for way in ways {
            let o = play(Plan { boxes, halls, ..plan(way, 2.2) });
            println!("size {boxes} {way:?} | {:.2} | {:.2} | {:.2}", o.worst, o.used, o.datagrams);
        }
    }
}

/// The rule: from all boxes together no four seconds bring more than half of the limit again
/// and five requests, and the limit is used.
#[rstest]
#[case::tiny(0.2)]
#[case::one(1.0)]
#[case::some(2.2)]
#[case::many(20.0)]
#[case::most(200.0)]
fn the_boxes_of_one_hall_keep_to_a_limit_and_use_it(#[case] rate: f64) {
    for (name, plan) in patterns(Way::OneHall, rate) {
        let o = played(plan);
        assert!(o.worst <= 1.0, "{name}: {o:?}");
        let is_shared = plan.home.is_none();
        assert!(o.used >= if is_shared { 0.6 } else { 0.9 }, "{name}: {o:?}");
    }
}

/// Where all upstreams of a service name limits, all halls press.
#[rstest]
#[case::tiny(0.2)]
#[case::one(1.0)]
#[case::some(2.2)]
#[case::many(20.0)]
#[case::most(200.0)]
fn halls_that_have_a_part_each_keep_to_a_limit_together(#[case] rate: f64) {
    for (name, plan) in patterns(Way::HallShares, rate) {
        let o = played(plan);
        assert!(o.worst <= 1.0, "{name}: {o:?}");
        let presses = plan.home.is_none() && plan.usual > rate * DEMAND;
        assert!(!presses || o.used >= 0.9, "{name}: {o:?}");
    }
}

#[test]
fn no_size_of_the_fleet_sends_more() {
    for (boxes, halls) in [(36, 3), (113, 3), (293, 3), (4_600, 25)] {
        for rate in [0.2, 2.2, 20.0] {
            let o = play(Plan { boxes, halls, ..plan(Way::OneHall, rate) });
            assert!(o.worst <= 1.0 && o.used > 0.9, "{boxes} boxes, {rate}: {o:?}");
        }
    }
}

/// Of a limit so small that nothing is sent for seconds, silence does not say that this box is
/// cut off: boxes that took it so spent shares of their own beside the others.
#[test]
fn silence_on_a_small_limit_is_not_taken_for_being_cut_off() {
    let o = played(Plan { usual: 100.0, ..plan(Way::OneHall, 0.2) });
    assert!(o.worst <= 1.0 && o.used <= 1.5, "{o:?}");
}
