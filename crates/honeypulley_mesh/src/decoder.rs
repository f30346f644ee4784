//! What reads the platform's objects into the project's own types.

use honeypulley_platform::api::Object;
use honeypulley_policy::balance::Listed;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::routes::RouteTable;
use std::fmt::Debug;

/// Where the platform keeps what a fleet needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreKeys {
    /// Key of the routing table.
    pub table: String,
    /// Prefix of the routing table and its like, which is watched.
    pub tables: String,
    /// Prefix of the entries of upstreams.
    pub upstreams: String,
    /// Prefix of the fleet's own boxes.
    pub boxes: String,
    /// Key of the requests that are held.
    pub held: String,
}

/// Why an object of the platform could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} at version {version}: {cause}")]
pub struct DecodeError {
    /// Key of the object.
    pub key: String,
    /// Its version.
    pub version: Revision,
    /// What was wrong.
    pub cause: String,
}

/// Reads the platform's objects into the project's own types.
pub trait Decoder: Debug + Send + Sync {
    /// Returns where things are.
    fn keys(&self) -> &StoreKeys;
    /// Reads the routing table.
    ///
    /// # Errors
    /// Returns what could not be read or served.
    fn table(&self, o: &Object) -> Result<RouteTable, DecodeError>;
    /// Reads an upstream's entry.
    ///
    /// # Errors
    /// Returns what could not be read.
    fn upstream(&self, o: &Object) -> Result<Listed, DecodeError>;
}
