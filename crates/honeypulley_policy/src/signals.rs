//! Signals that upstreams send in the headers of their answers.

use crate::chooser::LoadReport;
use std::time::Duration;

/// Signals in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Reported load.
    pub load: Option<LoadReport>,
    /// Advertised rate limit over all boxes, in requests per second.
    pub limit: Option<f64>,
    /// Whether the upstream announced its shutdown.
    pub leaving: bool,
    /// Time for which this box must not send requests to the upstream.
    pub backoff: Option<Duration>,
}

/// Signals of an answer that changed the state of a policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChanges {
    /// The rate limit.
    pub limit: bool,
    /// The announcement of a shutdown.
    pub leaving: bool,
    /// The end of the backoff, which was extended.
    pub backoff: bool,
}
