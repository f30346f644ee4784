//! Limits that hold over all boxes together, as each box keeps them.
//!
//! [`FleetLimits`] holds a token bucket for each subject that has a limit and draws on it for
//! whatever any box admits, as far as this one learns of it.

mod buckets;
mod hall_count;
mod recent;
mod rule;
mod usage;

pub use buckets::{FleetLimits, LimitUse};
pub use hall_count::HallCount;
pub use rule::{LimitRule, RateLimit, Scope};
