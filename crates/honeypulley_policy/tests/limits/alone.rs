//! Tests fleet-wide rate limits on an isolated box.

use honeypulley_policy::balance::RetryHistory;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRule, LimitScope, RateLimit};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Guards against a `Retry-After` that is too short on an isolated box.
///
/// If a subject was near its limit when the box became isolated, only a part of the box's share
/// is refilled. The waiting time must be computed from that reduced rate.
#[test]
fn a_caller_that_respects_retry_after_is_admitted() {
    let id = NameId::of("acme");
    let mut limits =
        FleetRateLimiter::new("h", LimitRule::default(), RetryHistory::Empty, 1, Time::ZERO);
    limits.replace_limits([(id, RateLimit { rate: 10.0, burst: 10.0 })]);
    limits.set_scope(LimitScope { boxes: 10, halls: 1, isolated: false });
    let mut now = Time::ZERO;
    while limits.admit(id, now).is_ok() {}
    limits.set_scope(LimitScope { boxes: 10, halls: 1, isolated: true });
    for _ in 0..20 {
        if let Err(wait) = limits.admit(id, now) {
            now = now + wait;
            assert_eq!(
                limits.admit(id, now),
                Ok(()),
                "the caller was told to retry after {wait:?}"
            );
        }
    }
}

/// Guards against a `Retry-After` after which a held-back request is held back again.
///
/// All callers held back share the tokens of their priority. The waiting time of the next token,
/// for example 20 ms at 100 requests/s, is therefore too short for each of them.
#[test]
fn a_held_back_caller_that_respects_retry_after_is_admitted() {
    let id = NameId::of("acme");
    for seed in 0..20 {
        let mut limits =
            FleetRateLimiter::new("h", LimitRule::default(), RetryHistory::Empty, seed, Time::ZERO);
        limits.replace_limits([(id, RateLimit { rate: 100.0, burst: 100.0 })]);
        let mut now = Time::ZERO;
        let mut refused = None;
        // Four times the limit, a fifth of it urgent, until a request is held back after 4 s.
        for n in 0..4_000_u64 {
            now = Time::from_millis(n * 5 / 2);
            let is_urgent = n % 5 == 0;
            let admitted = limits.admit_ranked(id, if is_urgent { 0 } else { 2 }, is_urgent, now);
            refused = admitted.err().filter(|r| r.reserved.is_some() && n > 1_600);
            if refused.is_some() {
                break;
            }
        }
        let refusal = refused.expect("a request is held back");
        let admitted = limits.admit_ranked(id, 2, false, now + refusal.wait);
        assert_eq!(admitted, Ok(()), "seed {seed}, told to retry after {:?}", refusal.wait);
    }
}

/// Guards against taking a pause of an organisation's callers for isolation.
///
/// After a phase at the limit, a box hears no peers during a pause. It must then admit from the
/// refilled bucket, and not a part of its own share.
#[rstest]
#[case::small(8.0)]
#[case::ten(10.0)]
#[case::medium(16.0)]
#[case::large(192.0)]
fn a_pause_after_a_hot_phase_is_not_taken_for_isolation(#[case] rate: f64) {
    let (id, peer) = (NameId::of("acme"), NameId::of("peer"));
    for pause_ms in [1_000, 1_100, 1_300, 1_600, 1_900] {
        let mut limits =
            FleetRateLimiter::new("h", LimitRule::default(), RetryHistory::Empty, 1, Time::ZERO);
        limits.replace_limits([(id, RateLimit { rate, burst: rate })]);
        limits.set_scope(LimitScope { boxes: 113, halls: 3, isolated: false });
        // During the hot phase, this box uses more than its own share.
        for _ in 0..2 {
            assert_eq!(limits.admit(id, Time::ZERO), Ok(()));
        }
        let hot = rate as u16 - 2;
        for sum in 0..hot {
            limits.apply_box_count(peer, id, sum, Time::ZERO);
        }
        let exhausted = limits.level(id).expect("the peer's requests were counted");
        let now = Time::ZERO + Duration::from_millis(pause_ms);
        let whole = rate.mul_add(pause_ms as f64 / 1e3, exhausted).min(rate) as u16;
        // This box and its peer admit in turn, and it hears of the peer's after its own.
        for n in 0..whole.div_ceil(2) {
            let admitted = limits.admit(id, now);
            assert_eq!(admitted, Ok(()), "request {n} of {whole} after {pause_ms} ms");
            limits.apply_box_count(peer, id, hot + n, now);
        }
    }
}
