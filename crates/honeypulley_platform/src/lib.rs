//! The platform's object API behind a trait.
//!
//! The platform stores objects with versions, updates them on a condition, lets
//! callers wait for changes and lists boxes with a lag. It may be away, slow, or
//! lose an answer after the write took effect: [`PlatformError::Unknown`](api::PlatformError::Unknown).

pub mod accept;
pub mod api;
pub mod epoch;
pub mod http;
pub mod memory;
pub mod permits;
pub mod roster;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        accept::{AcceptError, Accepted},
        api::{Changes, Expect, Freshness, Object, Platform, PlatformError, Removed},
        http::HttpPlatform,
        roster::Roster,
    };
}
