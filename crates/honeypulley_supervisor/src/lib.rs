//! Supervised threads for long-running duties, connected by bounded ring buffers.

pub mod clock;
pub mod ring;
pub mod tree;

/// Commonly used types of this crate.
pub mod prelude {
    pub use crate::{
        clock::Clock,
        ring::{OverflowPolicy, Ring},
        tree::{Duty, Shutdown, Supervisor},
    };
}
