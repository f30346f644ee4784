//! How boxes act together on a platform that keeps configuration and lists.
//!
//! A few boxes read the platform's store ([`readers`]); the others hear of
//! changes by datagram and pull what they miss ([`peers`]). Each box keeps the
//! list of upstreams ([`list`]), the addresses of the other boxes ([`book`]) and
//! the routing table, and feeds them to the serving thread ([`serving`]). A box that
//! misses changes of the list knows it and asks for them ([`catch_up`]). What one box
//! sees of an upstream reaches all others at once.

pub mod admin;
pub mod book;
pub mod catch_up;
pub mod decoder;
pub mod doubts;
pub mod epoch;
pub mod held;
pub mod join;
pub mod list;
pub mod lists;
pub mod numbers;
pub mod pace;
pub mod peers;
pub mod readers;
pub mod serving;
pub mod setup;
pub mod state;
pub mod store;
pub mod suspects;
pub mod told;
pub mod tree;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        decoder::{Decoder, StoreKeys},
        epoch::EpochWatch,
        peers::PeerDuty,
        serving::{Announcer, Pump, TableRoutes},
        state::{Mesh, MeshSettings},
        store::StoreDuty,
    };
}
