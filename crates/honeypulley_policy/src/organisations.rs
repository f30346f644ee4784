//! Organisations: who a request belongs to, and how much each may ask of the whole fleet.
//!
//! [`Organisations`] finds the organisation that holds a key. [`FleetLimits`] bounds what each
//! is admitted over all boxes together.

mod directory;
mod hall_count;
mod limits;
mod recent;
mod rule;
mod usage;

pub use directory::{
    KeyDigest, Organisation, OrganisationError, OrganisationSpec, Organisations, RateLimit,
};
pub use hall_count::HallCount;
pub use limits::{FleetLimits, LimitUse};
pub use rule::{LimitRule, Scope};
