//! The retry budget that all boxes share.

use crate::RULE;
use crate::balancer;
use honeypulley_policy::balance::{Balancer, News, Past, Reach, Resend, RetryRule};
use honeypulley_policy::chooser::Chooser;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::spec::ServiceSpec;
use honeypulley_policy::time::Time;

#[test]
fn the_retry_budget_counts_what_other_boxes_spent() {
    let mut b = balancer(3);
    b.set_reach(Reach { boxes: 5, in_touch: true });
    let service = b.service("s").expect("set up");
    let now = Time::from_millis(100);
    assert!(b.spend_retry(service, Resend::Failed, now));
    for _ in 0..10 {
        b.heard(
            NameId::of("other"),
            News::Retry { service: NameId::of("s"), seen: 0, spent: 1 },
            now,
        );
    }
    assert!(!b.spend_retry(service, Resend::Failed, now), "the fleet has spent its slack");
    let later = Time::from_millis(11_000);
    assert!(b.spend_retry(service, Resend::Failed, later), "the window has moved on");
}

#[test]
fn boxes_that_hear_nobody_keep_the_budget_together() {
    let boxes = 40;
    let rule = RetryRule { slack: 58.0, ..RULE };
    let mut spent = 0;
    for seed in 0..boxes {
        let mut b = Balancer::new("h", rule, seed);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_reach(Reach { boxes: boxes as usize, in_touch: false });
        let service = b.service("s").expect("set up");
        for i in 0..10 {
            let now = Time::from_millis(i * 100);
            b.arrived(service, now);
            spent += usize::from(b.spend_retry(service, Resend::Failed, now));
        }
    }
    // A fifth of 400 requests and the slack.
    assert!(spent <= 80 + 58, "{spent}");
}

#[test]
fn hedges_leave_budget_to_failures() {
    let mut b = balancer(3);
    b.set_reach(Reach { boxes: 3, in_touch: true });
    let service = b.service("s").expect("set up");
    let now = Time::from_millis(100);
    while b.spend_retry(service, Resend::Overdue { stuck: 0.1 }, now) {}
    assert!(b.spend_retry(service, Resend::Failed, now));
}

/// A box that reckoned the fleet's traffic from its own broke the bound of the retries.
#[test]
fn the_retry_budget_goes_by_the_traffic_that_boxes_told() {
    let spent_of = |told: u16| {
        let mut b = balancer(3);
        b.set_reach(Reach { boxes: 40, in_touch: true });
        let service = b.service("s").expect("set up");
        let now = Time::from_millis(100);
        (0..100).for_each(|_| b.arrived(service, now));
        let retry = News::Retry { service: NameId::of("s"), seen: told, spent: 1 };
        b.heard(NameId::of("other"), retry, now);
        (0..1_000).take_while(|_| b.spend_retry(service, Resend::Failed, now)).count()
    };
    assert!(spent_of(0) <= 30, "a fifth of a hundred requests, and the slack of ten");
    assert!(spent_of(400) > 30, "what others see counts as well");
}

/// Boxes that had been cut off from each other spent the whole budget on either side, and
/// again when they were back: what the others had told meanwhile was lost, and taken for
/// nothing.
#[test]
fn what_a_box_spent_unheard_counts_when_it_is_heard_again() {
    let mut b = balancer(3);
    b.set_reach(Reach { boxes: 5, in_touch: true });
    let service = b.service("s").expect("set up");
    let other = NameId::of("other");
    let denied = |spent| News::Denied { service: NameId::of("s"), seen: 0, spent };
    let now = Time::from_millis(100);
    b.heard(other, denied(10), now);
    assert!(!b.spend_retry(service, Resend::Failed, now), "the fleet has spent its slack");
    b.heard(other, denied(10), now);
    let retry = News::Retry { service: NameId::of("s"), seen: 0, spent: 11 };
    b.heard(other, retry, now);
    assert_eq!(b.budget_use(service, now).others, 11, "each send counts once");
}

/// Spends what a fleet of boxes that have just started may, each hearing the others.
fn spent_by_new_boxes(rule: RetryRule, now: Time) -> usize {
    let service = NameId::of("s");
    let mut boxes: Vec<Balancer> = (0..6).map(|seed| Balancer::new("h", rule, seed)).collect();
    for b in &mut boxes {
        b.set_services(&[ServiceSpec::builder().name("s").build()], now);
        b.set_reach(Reach { boxes: 6, in_touch: true });
    }
    let mut spent = 0;
    // Nobody may spend a hundred times what the rule allows.
    for turn in 0..6_000 {
        let i = turn % 6;
        let key = boxes[i].service("s").expect("set up");
        if !boxes[i].spend_retry(key, Resend::Failed, now) {
            continue;
        }
        spent += 1;
        let news = News::Retry { service, seen: 0, spent: 1 };
        for b in boxes.iter_mut().enumerate().filter(|(j, _)| *j != i).map(|(_, b)| b) {
            b.heard(NameId(i as u64), news, now);
        }
    }
    spent
}

/// All boxes lost power some seconds after their fleet had spent much of its budget; none
/// knew of that when they were back, and they spent it once more: 90 extra sends in ten
/// seconds where 87 were allowed.
#[test]
fn a_fleet_that_lost_all_its_boxes_leaves_room_for_what_it_spent_before() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let before = spent_by_new_boxes(rule, Time::from_millis(1_000));
    let after = spent_by_new_boxes(rule, Time::from_millis(4_000));
    assert!(before + after <= 58, "{before} and {after} within ten seconds");
}

/// The boxes of a fleet that starts for the first time have their slack at once; those that
/// come back from a loss of all leave room for what may have been spent before.
#[test]
fn a_first_start_has_its_whole_slack_and_a_return_what_is_left_of_it() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let spent = |past| {
        let mut b = Balancer::new("h", rule, 7).with_past(past);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_reach(Reach { boxes: 1, in_touch: false });
        let service = b.service("s").expect("set up");
        let now = Time::from_millis(100);
        (0..100).take_while(|_| b.spend_retry(service, Resend::Failed, now)).count()
    };
    let (before, after) = (spent(Past::Empty), spent(Past::Unknown));
    assert!(before >= 40, "{before} sends in the first moment");
    assert!(after >= 1, "a request can be sent again in the first second");
    assert!(before + after <= 58, "{before} and {after} within ten seconds");
}

/// A box that restarts alone asks those that lived through it what was spent.
#[test]
fn a_box_that_restarts_is_told_what_the_others_spent() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let fleet = || {
        let mut b = Balancer::new("h", rule, 7).with_past(Past::Empty);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_reach(Reach { boxes: 5, in_touch: true });
        b
    };
    let mut old = fleet();
    let now = Time::from_millis(9_000);
    let service = NameId::of("s");
    let other = NameId::of("other");
    old.heard(other, News::Retry { service, seen: 0, spent: 30 }, now);
    let mut young = fleet().with_past(Past::Unknown);
    young.set_services(&[], now);
    young.set_services(&[ServiceSpec::builder().name("s").build()], now);
    let told = old.spendings(now);
    assert!(told.contains(&News::Spent { service, sum: 30 }), "{told:?}");
    for n in told {
        young.heard(NameId::of("old"), n, now);
    }
    let key = young.service("s").expect("set up");
    let known = young.budget_use(key, now);
    assert!(known.past_known && known.others == 30, "{known:?}");
    // The same sends, told again by the box that made them, count once.
    young.heard(other, News::Retry { service, seen: 0, spent: 31 }, now);
    assert_eq!(young.budget_use(key, now).others, 31);
    let mut more = 0;
    while young.spend_retry(key, Resend::Failed, now) {
        more += 1;
    }
    assert!((1..=27).contains(&more), "{more} sends beside 31 of 58");
}

/// What a box tells that knows no more than the asker is no knowledge of the past.
#[test]
fn boxes_that_all_returned_tell_each_other_nothing_of_the_past() {
    let mut b = Balancer::new("h", RULE, 7);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    let told = b.spendings(Time::from_millis(100));
    assert!(told.is_empty(), "{told:?}");
}
