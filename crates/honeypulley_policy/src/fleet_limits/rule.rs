//! How limits are judged, and with whom a box shares them.

use std::time::Duration;

/// Requests that all boxes together may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of that at one time.
    pub burst: f64,
}

/// The window over which a limit is judged, and the slack beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRule {
    /// Time over which what was admitted is summed.
    pub window: Duration,
    /// Requests that may be admitted beyond a limit within it.
    pub slack: f64,
}

impl Default for LimitRule {
    /// Returns five seconds and twenty requests.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), slack: 20.0 }
    }
}

/// With whom this box shares the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Boxes of the fleet, this one included.
    pub boxes: usize,
    /// Data halls.
    pub halls: usize,
    /// Whether this box is isolated.
    pub alone: bool,
}

impl Default for Scope {
    fn default() -> Self {
        Self { boxes: 1, halls: 1, alone: false }
    }
}
