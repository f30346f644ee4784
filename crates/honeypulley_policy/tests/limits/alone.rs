//! What a box that hears nobody does about a limit over all boxes.

use honeypulley_policy::balance::Past;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetLimits, LimitRule, RateLimit, Scope};
use honeypulley_policy::time::Time;

/// A caller that comes back when it was told to is admitted, also where the box keeps to a part
/// of its share since the limit was nearly met when it last heard the others.
#[test]
fn a_caller_that_comes_back_when_told_to_is_admitted() {
    let id = NameId::of("acme");
    let mut limits = FleetLimits::new("h", LimitRule::default(), Past::Empty, 1, Time::ZERO);
    limits.set_limits([(id, RateLimit { rate: 10.0, burst: 10.0 })]);
    limits.set_scope(Scope { boxes: 10, halls: 1, alone: false });
    let mut now = Time::ZERO;
    while limits.admit(id, now).is_ok() {}
    limits.set_scope(Scope { boxes: 10, halls: 1, alone: true });
    for _ in 0..20 {
        if let Err(wait) = limits.admit(id, now) {
            now = now + wait;
            assert_eq!(limits.admit(id, now), Ok(()), "it was told to come after {wait:?}");
        }
    }
}
