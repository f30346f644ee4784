//! The daemon on each box: settings, duties and the program.
//!
//! [`start::run`] checks settings, binds ports and hands a row of duties to the
//! supervisor: `serve` (callers), `admin` (readiness), `platform` (list, head,
//! permits), `peer` (other boxes), `collect` (evidence), `permit` (writes) and
//! `signal`. They share a [`context::Context`] and talk through bounded rings.

pub mod admin;
pub mod collect;
pub mod context;
pub mod peer;
pub mod permit;
pub mod platform;
pub mod program;
pub mod pull;
pub mod serve;
pub mod settings;
pub mod start;
pub mod status;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        settings::Settings,
        start::{check, run},
        status::BoxStatus,
    };
}
