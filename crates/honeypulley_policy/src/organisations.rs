//! Organisations: who a request belongs to, and how much each may ask of the whole fleet.
//!
//! [`Organisations`] finds the organisation that holds a key. What each is admitted over all
//! boxes together is bounded by [`FleetLimits`](crate::fleet_limits::FleetLimits).

mod directory;

pub use directory::{KeyDigest, Organisation, OrganisationError, OrganisationSpec, Organisations};
