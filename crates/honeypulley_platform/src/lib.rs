//! Trait for the platform's object API, with an HTTP client and an in-memory store.
//!
//! The platform stores versioned objects, supports conditional writes and watches, and
//! lists boxes with a delay. It may be unavailable or slow, or an answer may be lost after
//! the write took effect; see [`PlatformError::Unknown`](api::PlatformError::Unknown).

pub mod accept;
pub mod api;
pub mod encode;
pub mod epoch;
pub mod http;
pub mod memory;
pub mod permits;
pub mod roster;

/// Re-exports of the most commonly used types.
pub mod prelude {
    pub use crate::{
        accept::{AcceptError, Accepted},
        api::{Changes, Expect, Freshness, Object, Platform, PlatformError, Removed},
        http::HttpPlatform,
        roster::Roster,
    };
}
