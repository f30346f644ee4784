//! The daemon that runs on each box: settings, duties and command line.
//!
//! [`start::run`] binds the ports and hands the duties to the supervisor: `serve`
//! (callers), `admin` (HTTP endpoints for operators), `platform` (roster, bundle head
//! and permits), `peer` (other boxes), `collect` (evidence), `permit` (permit changes)
//! and `signal`. They share a [`context::Context`] and exchange messages through
//! bounded rings.

pub mod admin;
pub mod collect;
pub mod connections;
pub mod context;
pub mod paced;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod port;
pub mod program;
pub mod pull;
pub mod serve;
pub mod settings;
pub mod start;
pub mod status;
pub mod ticks;

/// Types and functions that most users of this crate need.
pub mod prelude {
    pub use crate::{
        settings::Settings,
        start::{check, run},
        status::BoxStatus,
    };
}
