//! Retry budget shared by all boxes.

use crate::RULE;
use crate::balancer;
use honeypulley_policy::balance::{
    Balancer, FleetScope, RetryHistory, RetryReason, RetryRule, Update,
};
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::spec::ServiceSpec;
use honeypulley_policy::time::Time;

#[test]
fn the_retry_budget_counts_retries_of_other_boxes() {
    let mut b = balancer(3);
    b.set_fleet_scope(FleetScope { boxes: 5, in_touch: true });
    let service = b.service("s").expect("service is configured");
    let now = Time::from_millis(100);
    assert!(b.spend_retry(service, RetryReason::Failed, now));
    for _ in 0..10 {
        b.apply_update(
            NameId::of("other"),
            Update::Retry { service: NameId::of("s"), requests: 0, retries: 1 },
            now,
        );
    }
    assert!(!b.spend_retry(service, RetryReason::Failed, now), "the fleet has used up its slack");
    let later = Time::from_millis(11_000);
    assert!(
        b.spend_retry(service, RetryReason::Failed, later),
        "the earlier retries have left the window"
    );
}

#[test]
fn isolated_boxes_keep_the_budget_together() {
    let boxes = 40;
    let rule = RetryRule { slack: 58.0, ..RULE };
    let mut retries = 0;
    for seed in 0..boxes {
        let mut b = Balancer::new("h", rule, seed);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_fleet_scope(FleetScope { boxes: boxes as usize, in_touch: false });
        let service = b.service("s").expect("service is configured");
        for i in 0..10 {
            let now = Time::from_millis(i * 100);
            b.record_request(service, now);
            retries += usize::from(b.spend_retry(service, RetryReason::Failed, now));
        }
    }
    // A fifth of 400 requests and the slack.
    assert!(retries <= 80 + 58, "{retries}");
}

#[test]
fn hedges_leave_budget_for_failed_attempts() {
    let mut b = balancer(3);
    b.set_fleet_scope(FleetScope { boxes: 3, in_touch: true });
    let service = b.service("s").expect("service is configured");
    let now = Time::from_millis(100);
    while b.spend_retry(service, RetryReason::Overdue { stuck: 0.1 }, now) {}
    assert!(b.spend_retry(service, RetryReason::Failed, now));
}

/// Guards against exceeding the budget by extrapolating the fleet's traffic from one box.
#[test]
fn the_retry_budget_goes_by_the_traffic_that_boxes_told() {
    let max_retries = |announced: u16| {
        let mut b = balancer(3);
        b.set_fleet_scope(FleetScope { boxes: 40, in_touch: true });
        let service = b.service("s").expect("service is configured");
        let now = Time::from_millis(100);
        (0..100).for_each(|_| b.record_request(service, now));
        let retry = Update::Retry { service: NameId::of("s"), requests: announced, retries: 1 };
        b.apply_update(NameId::of("other"), retry, now);
        (0..1_000).take_while(|_| b.spend_retry(service, RetryReason::Failed, now)).count()
    };
    assert!(max_retries(0) <= 30, "a fifth of 100 requests plus the slack of 10");
    assert!(max_retries(400) > 30, "announced traffic of peers adds to the budget");
}

/// Guards against spending the budget twice after a partition.
///
/// Retries announced during the partition were lost and counted as none, so both sides spent
/// the whole budget, and again after they had rejoined.
#[test]
fn retries_made_during_a_partition_count_after_it() {
    let mut b = balancer(3);
    b.set_fleet_scope(FleetScope { boxes: 5, in_touch: true });
    let service = b.service("s").expect("service is configured");
    let other = NameId::of("other");
    let denied = |retries| Update::Denied { service: NameId::of("s"), requests: 0, retries };
    let now = Time::from_millis(100);
    b.apply_update(other, denied(10), now);
    assert!(!b.spend_retry(service, RetryReason::Failed, now), "the fleet has used up its slack");
    b.apply_update(other, denied(10), now);
    let retry = Update::Retry { service: NameId::of("s"), requests: 0, retries: 11 };
    b.apply_update(other, retry, now);
    assert_eq!(b.budget_use(service, now).others, 11, "each retry counts once");
}

/// Returns how many retries a fleet of newly started boxes makes at once.
///
/// All boxes receive each other's updates.
fn retries_of_new_boxes(rule: RetryRule, now: Time) -> usize {
    let service = NameId::of("s");
    let mut boxes: Vec<Balancer> = (0..6).map(|seed| Balancer::new("h", rule, seed)).collect();
    for b in &mut boxes {
        b.set_services(&[ServiceSpec::builder().name("s").build()], now);
        b.set_fleet_scope(FleetScope { boxes: 6, in_touch: true });
    }
    let mut retries = 0;
    // About a hundred times as many attempts as the rule allows.
    for n in 0..6_000 {
        let i = n % 6;
        let key = boxes[i].service("s").expect("service is configured");
        if !boxes[i].spend_retry(key, RetryReason::Failed, now) {
            continue;
        }
        retries += 1;
        let update = Update::Retry { service, requests: 0, retries: 1 };
        for b in boxes.iter_mut().enumerate().filter(|(j, _)| *j != i).map(|(_, b)| b) {
            b.apply_update(NameId(i as u64), update, now);
        }
    }
    retries
}

/// Guards against spending the budget twice after a power loss of all boxes.
///
/// Restarted boxes did not know of the retries made before and spent the slack again: 90 extra
/// sends in ten seconds where 87 were allowed.
#[test]
fn a_fully_restarted_fleet_allows_for_earlier_retries() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let before = retries_of_new_boxes(rule, Time::from_millis(1_000));
    let after = retries_of_new_boxes(rule, Time::from_millis(4_000));
    assert!(
        before + after <= 58,
        "{before} retries before and {after} after the restart, within ten seconds"
    );
}

/// On its first start a fleet may use the whole slack; after a restart of all boxes it must
/// allow for retries made before.
#[test]
fn a_first_start_may_use_the_whole_slack_and_a_restart_the_rest() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let retries = |past| {
        let mut b = Balancer::new("h", rule, 7).with_retry_history(past);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_fleet_scope(FleetScope { boxes: 1, in_touch: false });
        let service = b.service("s").expect("service is configured");
        let now = Time::from_millis(100);
        (0..100).take_while(|_| b.spend_retry(service, RetryReason::Failed, now)).count()
    };
    let (before, after) = (retries(RetryHistory::Empty), retries(RetryHistory::Unknown));
    assert!(before >= 40, "{before} retries at once");
    assert!(after >= 1, "a request can be retried in the first second");
    assert!(
        before + after <= 58,
        "{before} retries before and {after} after the restart, within ten seconds"
    );
}

/// A restarted box learns of earlier retries from boxes that stayed up.
#[test]
fn a_restarted_box_learns_of_earlier_retries() {
    let rule = RetryRule { slack: 58.0, ..RULE };
    let fleet = || {
        let mut b = Balancer::new("h", rule, 7).with_retry_history(RetryHistory::Empty);
        b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
        b.set_fleet_scope(FleetScope { boxes: 5, in_touch: true });
        b
    };
    let mut running = fleet();
    let now = Time::from_millis(9_000);
    let service = NameId::of("s");
    let other = NameId::of("other");
    running.apply_update(other, Update::Retry { service, requests: 0, retries: 30 }, now);
    let mut restarted = fleet().with_retry_history(RetryHistory::Unknown);
    restarted.set_services(&[], now);
    restarted.set_services(&[ServiceSpec::builder().name("s").build()], now);
    let announced = running.retry_sums(now);
    assert!(announced.contains(&Update::RetrySum { service, sum: 30 }), "{announced:?}");
    for n in announced {
        restarted.apply_update(NameId::of("old"), n, now);
    }
    let key = restarted.service("s").expect("service is configured");
    let known = restarted.budget_use(key, now);
    assert!(known.history_known && known.others == 30, "{known:?}");
    // Retries that their sender announces again count once.
    restarted.apply_update(other, Update::Retry { service, requests: 0, retries: 31 }, now);
    assert_eq!(restarted.budget_use(key, now).others, 31);
    let mut more = 0;
    while restarted.spend_retry(key, RetryReason::Failed, now) {
        more += 1;
    }
    assert!((1..=27).contains(&more), "{more} retries in addition to 31 of 58");
}

/// A box that does not know the whole window must not announce a sum.
#[test]
fn restarted_boxes_announce_no_retry_sum() {
    let mut b = Balancer::new("h", RULE, 7);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    let announced = b.retry_sums(Time::from_millis(100));
    assert!(announced.is_empty(), "{announced:?}");
}
