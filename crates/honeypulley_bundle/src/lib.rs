//! Signed and versioned configuration bundles.
//!
//! Operators write one INI file. [`split`](parts::split) partitions it by a hash of
//! each entry's name, so that changing an entry changes a single part. A
//! [`Head`](head::Head) holds the version, the manifest digest and the signature; it
//! is the only object that a rollout updates.

pub mod head;
pub mod keeper;
pub mod model;
pub mod parts;
pub mod sign;

/// Re-exports of the most commonly used types.
pub mod prelude {
    pub use crate::{
        head::{Head, Version},
        keeper::{InForce, Keeper, OfferError},
        model::Bundle,
        parts::{Digest, Manifest},
        sign::{Signature, Signer, Trust},
    };
}
