//! Organisations that own callers' keys and have rate limits over the whole fleet.
//!
//! [`Organisations`] looks up the organisation for a key. The limits are enforced by
//! [`FleetRateLimiter`](crate::fleet_limits::FleetRateLimiter).

mod directory;

pub use directory::{KeyDigest, Organisation, OrganisationError, OrganisationSpec, Organisations};
