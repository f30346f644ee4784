//! Stand-ins for the platform and for upstreams.
//!
//! They speak the published protocols and fail on command. Tests, the demo and
//! trials use them; nothing shipped depends on them.

pub mod platform;
pub mod upstream;
pub mod work;
