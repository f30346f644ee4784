//! Cooperation of boxes on a platform that stores configuration and lists of upstreams.
//!
//! A few boxes read the platform's store ([`readers`]). The others receive changes by datagram
//! and pull what they lack ([`peers`]). Each box keeps the list of upstreams ([`list`]), the
//! addresses of the other boxes ([`book`]) and the routing table, and passes them to the serving
//! thread ([`serving`], [`balancer_updater`]). A box detects gaps in the changes of the list and
//! requests the missing ones ([`catch_up`]). A box without a list pulls one from a peer; only a few
//! read it from the platform ([`cold_load`]). A digest shows a box that its list differs from a
//! reader's ([`repair`]). Answers to such requests leave part of its link free ([`uplink`]). What a box
//! observes of an upstream is broadcast to all others at once. Operators evacuate data halls through
//! the platform ([`evacuations`]). A box that reaches no upstream of a service finds others that do
//! ([`relay_directory`]).

pub mod admin;
pub mod admission;
pub mod balancer_updater;
pub mod book;
pub mod catch_up;
pub mod cold_load;
pub mod decoder;
pub mod epoch;
pub mod evacuation_watch;
pub mod evacuations;
pub mod held;
pub mod join;
pub mod list;
pub mod list_assembly;
pub mod lists;
pub mod numbers;
mod over_limit;
pub mod peers;
pub mod pending_broadcast;
pub mod readers;
pub mod reassembly;
pub mod relay_directory;
pub mod repair;
pub mod serving;
pub mod setup;
pub mod state;
pub mod store;
pub mod suspects;
pub mod suspicion_log;
pub mod tree;
pub mod update_batch;
pub mod uplink;

/// Commonly used types of this crate.
pub mod prelude {
    pub use crate::{
        balancer_updater::BalancerUpdater,
        decoder::{Decoder, StoreKeys},
        epoch::EpochTracker,
        peers::PeerDuty,
        serving::{BroadcastBalancer, TableRoutes},
        state::{Mesh, MeshSettings},
        store::StoreDuty,
    };
}
