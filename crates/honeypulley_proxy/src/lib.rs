//! Carries requests and long sessions from callers to upstreams.
//!
//! [`handler`] takes a request, [`race`] runs its attempts, [`attempt`] is one
//! exchange with one upstream. Every decision is the policy's; what is here
//! sends, streams and answers.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod callers;
pub mod handler;
pub mod headers;
pub mod race;
pub mod shared;
pub mod upgrade;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        handler::ProxyHandler,
        shared::{Feed, Shared},
    };
}
