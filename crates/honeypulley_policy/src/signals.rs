//! What an upstream says of itself in one answer.

use crate::chooser::LoadReport;
use std::time::Duration;

/// Signals in the head of an answer, each absent if the answer has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Load that the upstream reported.
    pub load: Option<LoadReport>,
    /// Rate limit over all boxes, in requests a second.
    pub limit: Option<f64>,
    /// Whether the upstream announced its shutdown.
    pub leaving: bool,
    /// Time for which the upstream wants nothing from the box that it answers.
    pub backoff: Option<Duration>,
}

/// Which signals of an answer changed what a policy knew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChanges {
    /// The rate limit.
    pub limit: bool,
    /// The announcement of a shutdown.
    pub leaving: bool,
    /// The end of a backoff, which is later now.
    pub backoff: bool,
}
