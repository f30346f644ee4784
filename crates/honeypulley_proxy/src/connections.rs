//! Which connections have requests in flight, for the limits on connections.

use honeypulley_policy::connections::Protocol;
use http::Version;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

/// Tracks the requests on each connection.
pub trait ConnectionTracker: Debug + Send + Sync {
    /// Records that a request on the connection from this address is in flight.
    fn begin_request(&self, from: SocketAddr, protocol: Protocol);
    /// Records that a request on the connection from this address has ended.
    fn end_request(&self, from: SocketAddr);
}

/// Marks the connection of a request as busy while it lives.
#[derive(Debug)]
pub struct BusyConnection {
    tracker: Arc<dyn ConnectionTracker>,
    from: SocketAddr,
}

impl BusyConnection {
    /// Records that a request of this HTTP version is in flight.
    #[must_use]
    pub fn new(tracker: &Arc<dyn ConnectionTracker>, from: SocketAddr, version: Version) -> Self {
        let is_sequential = version <= Version::HTTP_11;
        let protocol = if is_sequential { Protocol::Sequential } else { Protocol::Multiplexed };
        tracker.begin_request(from, protocol);
        Self { tracker: Arc::clone(tracker), from }
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.tracker.end_request(self.from);
    }
}
