//! Carries requests and long sessions from callers to upstreams.
//!
//! [`handler`] takes a request, [`race`] runs its attempts, [`attempt`] is one
//! exchange with one upstream. Every decision is the policy's; what is here
//! sends, streams and answers. [`gate`] holds what these need, [`dialect`] the
//! headers spoken, [`shared`] the product's own configuration and policy.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod callers;
pub mod dialect;
pub mod fingerprint;
pub mod gate;
pub mod handler;
pub mod headers;
pub mod liveness;
pub mod named_limit;
pub mod race;
pub mod shared;
pub mod signals;
pub mod suspects;
pub mod upgrade;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        dialect::Dialect,
        gate::{Gate, Routed, Routes},
        handler::ProxyHandler,
        shared::{Feed, Shared},
    };
}
