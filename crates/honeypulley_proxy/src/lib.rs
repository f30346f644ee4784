//! Forwards requests and upgraded sessions from callers to upstreams.
//!
//! [`handler`] receives a request, [`race`] runs its attempts, and [`attempt`] implements a
//! single exchange with an upstream, whose answer counts only if [`head`] accepts it. [`paths`] detects that this box reaches no upstream, and
//! [`relay`] then sends requests through another box. All decisions are made by the policy; this crate sends,
//! streams and answers. [`open`] records the requests that have not ended. [`gate`] contains the state that they share, [`dialect`] the header
//! names and formats, and [`shared`] the configuration by bundles and the product's own policy.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod buffers;
pub mod callers;
pub mod connections;
pub mod dialect;
pub mod fingerprint;
pub mod gate;
pub mod handler;
pub mod head;
pub mod headers;
pub mod liveness;
pub mod named_limit;
pub mod open;
pub mod paths;
pub mod race;
pub mod relay;
mod request_head;
pub mod session;
pub mod shared;
pub mod signals;
pub mod stop;
pub mod suspects;
pub mod upgrade;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::{
        dialect::Dialect,
        gate::{ProxyState, RouteDecision, Routes},
        handler::ProxyHandler,
        shared::{BundleState, ServingQueues},
    };
}
