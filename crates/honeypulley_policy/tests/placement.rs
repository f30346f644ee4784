//! Tests placement under churn, rate limits, the retry budget and latency statistics.

use honeypulley_policy::limits::{Gcra, RetryBudget};
use honeypulley_policy::placement::{Role, highest_weighted, subset_size};
use honeypulley_policy::spread::LatencyStats;
use honeypulley_policy::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("box{i}")).collect()
}

#[test]
fn removing_a_box_moves_only_its_services() {
    let all = names(40);
    let mut moved = 0;
    for s in 0..500 {
        let subject = format!("service{s}");
        let before = highest_weighted(Role::Collector, &subject, all.iter().map(String::as_str), 2);
        let rest = all.iter().map(String::as_str).filter(|n| *n != "box7");
        let after = highest_weighted(Role::Collector, &subject, rest, 2);
        if before.contains(&"box7") {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!(
        (10..50).contains(&moved),
        "expected about one in twenty services, but {moved} of 500 moved"
    );
}

#[test]
fn small_fleets_use_all_upstreams() {
    assert_eq!(subset_size(40, 16, 220), 16);
    assert_eq!(subset_size(40, 6, 220), 6);
}

#[test]
fn connection_limits_hold_at_full_size() {
    let (boxes, upstreams) = (names(657), (0..21).map(|i| format!("u{i}")).collect::<Vec<_>>());
    let subset = subset_size(657, 21, 220);
    assert!(subset >= 4, "{subset}");
    for service in 0..20 {
        let mut load: BTreeMap<&str, usize> = BTreeMap::new();
        for b in &boxes {
            let key = format!("{service}{b}");
            for u in
                highest_weighted(Role::Subset, &key, upstreams.iter().map(String::as_str), subset)
            {
                *load.entry(u).or_default() += 1;
            }
        }
        assert!(load.values().all(|&n| n <= 220), "{load:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Compares with a count of the requests admitted in every window.
    #[test]
    fn no_window_admits_more_than_rate_and_burst(
        gaps in prop::collection::vec(0u64..200, 1..300),
        rate in 1.0f64..100.0,
        burst in 1.0f64..20.0,
    ) {
        let (mut limiter, mut now, mut admitted) = (Gcra::new(rate), Time::from_millis(5), Vec::new());
        for g in gaps {
            now = now + Duration::from_millis(g);
            match limiter.try_acquire(burst, now) {
                Ok(()) => admitted.push(now),
                Err(wait) => {
                    let mut later = limiter;
                    let retry_at = now + wait + Duration::from_micros(2);
                    prop_assert!(later.try_acquire(burst, retry_at).is_ok(), "retry time is too early");
                }
            }
        }
        for (i, a) in admitted.iter().enumerate() {
            for (j, b) in admitted.iter().enumerate().skip(i) {
                let most = rate * b.since(*a).as_secs_f64() + burst + 1.0;
                prop_assert!(((j - i + 1) as f64) <= most + 1e-6);
            }
        }
    }
}

#[test]
fn retries_stay_a_share_of_successes() {
    let mut b = RetryBudget::new(0.1);
    while b.try_withdraw() {}
    let spent = (0..1_000)
        .filter(|_| {
            b.deposit();
            b.try_withdraw()
        })
        .count();
    assert!((95..=101).contains(&spent), "{spent}");
    assert!(!RetryBudget::new(0.0).try_withdraw(), "a budget of zero allows no retries");
}

#[test]
fn one_slow_upstream_does_not_raise_the_limit() {
    let mut s = LatencyStats::default();
    for i in 0..2_000u64 {
        let slow = i % 9 == 0 && i > 1_000;
        s.add(Duration::from_millis(if slow { 500 } else { 45 + i % 10 }));
    }
    assert!(s.limit(4.5) < Duration::from_millis(300), "{:?}", s.limit(4.5));
    assert!(!s.is_elevated());
}

#[test]
fn a_slowdown_of_the_whole_service_is_detected() {
    let mut s = LatencyStats::default();
    (0..2_000u64).for_each(|i| s.add(Duration::from_millis(45 + i % 10)));
    (0..60).for_each(|_| s.add(Duration::from_millis(400)));
    assert!(s.is_elevated());
}
