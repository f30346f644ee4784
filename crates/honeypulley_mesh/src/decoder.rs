//! Decoding of the platform's objects into this project's types.

use honeypulley_platform::api::Object;
use honeypulley_policy::balance::UpstreamEntry;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::routes::RouteTable;
use std::fmt::Debug;

/// Keys and key prefixes of a fleet's objects in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreKeys {
    /// Key of the routing table.
    pub table_key: String,
    /// Watched prefix under which the routing table is stored.
    pub table_prefix: String,
    /// Prefix of the upstreams' entries.
    pub upstream_prefix: String,
    /// Prefix of the records of the fleet's boxes.
    pub box_prefix: String,
    /// Key of the record of held requests.
    pub held_key: String,
    /// Prefix of the objects that name evacuated data halls, if the platform has them.
    pub evacuation_prefix: Option<String>,
}

/// Error returned when an object of the platform can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} at version {version}: {cause}")]
pub struct DecodeError {
    /// Key of the object.
    pub key: String,
    /// Revision of the object.
    pub version: Revision,
    /// Description of the fault.
    pub cause: String,
}

/// Decodes the platform's objects into this project's types.
pub trait Decoder: Debug + Send + Sync {
    /// Returns the keys and prefixes of the fleet's objects.
    fn keys(&self) -> &StoreKeys;
    /// Decodes the routing table.
    ///
    /// # Errors
    /// Returns an error if the object is malformed or the table can't be served.
    fn table(&self, o: &Object) -> Result<RouteTable, DecodeError>;
    /// Decodes an upstream's entry.
    ///
    /// # Errors
    /// Returns an error if the object is malformed.
    fn upstream(&self, o: &Object) -> Result<UpstreamEntry, DecodeError>;
}
