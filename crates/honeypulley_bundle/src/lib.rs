//! Signed, versioned bundles: parse, check, split, sign and order.
//!
//! Operators write one INI file. [`split`](parts::split) cuts it into parts by a
//! hash of each entry's name, so that a change moves the one part it falls in.
//! A [`Head`](head::Head) names version, manifest and signer; it is the one
//! object that acceptance updates.

pub mod head;
pub mod keeper;
pub mod model;
pub mod parts;
pub mod sign;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        head::{Head, Version},
        keeper::{InForce, Keeper, OfferError},
        model::Bundle,
        parts::{Digest, Manifest},
        sign::{Signature, Signer, Trust},
    };
}
