//! Rate limits enforced across all boxes, with local state only.
//!
//! [`FleetRateLimiter`] keeps one token bucket for each limited subject. It charges the bucket for
//! the admissions of every box, as far as they have been announced to this one.

mod buckets;
mod hall_count;
mod recent;
mod reserve;
mod rule;
mod usage;

pub use buckets::{FleetRateLimiter, LimitRefusal, LimitUsage};
pub use hall_count::HallCount;
pub use rule::{LimitRule, LimitScope, RateLimit};
