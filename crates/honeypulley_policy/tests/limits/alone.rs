//! Tests fleet-wide rate limits on an isolated box.

use honeypulley_policy::balance::RetryHistory;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRule, LimitScope, RateLimit};
use honeypulley_policy::time::Time;

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
