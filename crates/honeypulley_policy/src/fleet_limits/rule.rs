//! Parameters of fleet-wide rate limits.

use std::time::Duration;

/// Rate limit that applies to all boxes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
}

/// Window over which a limit is evaluated, and the tolerated excess.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRule {
    /// Time over which admissions are summed.
    pub window: Duration,
    /// Requests that may be admitted beyond the limit within one window.
    pub slack: f64,
}

impl Default for LimitRule {
    /// Returns a window of 5 s with a slack of 20 requests.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), slack: 20.0 }
    }
}

/// Number of boxes and data halls that share the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitScope {
    /// Boxes of the fleet, this one included.
    pub boxes: usize,
    /// Data halls of the fleet.
    pub halls: usize,
    /// Whether this box is isolated from its peers.
    pub isolated: bool,
}

impl Default for LimitScope {
    fn default() -> Self {
        Self { boxes: 1, halls: 1, isolated: false }
    }
}
