//! A thread for each duty, restarted when it dies, joined by bounded rings.

pub mod clock;
pub mod ring;
pub mod tree;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        clock::Clock,
        ring::{Full, Ring},
        tree::{Duty, Stop, Tree},
    };
}
