//! Organisations: who a request belongs to, and how much each may ask of the whole fleet.
//!
//! [`Organisations`] finds the organisation that holds a key. [`FleetLimits`] bounds what each
//! is admitted over all boxes together.

mod directory;
mod limits;
mod recent;
mod usage;
mod word;

pub use directory::{
    KeyDigest, Organisation, OrganisationError, OrganisationSpec, Organisations, RateLimit,
};
pub use limits::{FleetLimits, LimitRule, LimitUse, Scope};
pub use word::HallWord;
