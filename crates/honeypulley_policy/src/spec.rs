//! Settings of services and entries of the list of upstreams.

use crate::route_mix::RouteMix;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether requests of a service may be repeated.
///
/// The safe methods of `Reads` are those of RFC 9110, section 9.2.2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// All requests may be repeated.
    Always,
    /// Only requests with safe methods (GET, HEAD, OPTIONS) may be repeated.
    #[default]
    Reads,
    /// No requests may be repeated, regardless of the method.
    Never,
}

impl RepeatPolicy {
    /// Returns whether a request may be repeated, given whether its method is safe.
    #[must_use]
    pub const fn allows(self, safe: bool) -> bool {
        match self {
            Self::Always => true,
            Self::Reads => safe,
            Self::Never => false,
        }
    }
}

/// Trade-off between fast detection (0.0) and few false ejections (1.0).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lean(f64);

impl Lean {
    /// Fastest detection.
    pub const DETECTION: Self = Self(0.0);
    /// Fewest false ejections.
    pub const EXACTNESS: Self = Self(1.0);

    /// Creates a trade-off, or returns `None` unless `x` is within 0.0 to 1.0.
    #[must_use]
    pub fn new(x: f64) -> Option<Self> {
        (0.0..=1.0).contains(&x).then_some(Self(x))
    }

    /// Interpolates linearly between the values for detection and for exactness.
    #[must_use]
    pub fn interpolate(self, detection: f64, exactness: f64) -> f64 {
        detection + (exactness - detection) * self.0
    }
}

impl Default for Lean {
    fn default() -> Self {
        Self(0.5)
    }
}

/// Minimum capacity of a service that must not be ejected.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Floor {
    /// Number of upstreams.
    Count(usize),
    /// Share of the listed upstreams, from 0.0 to 1.0, rounded up.
    Share(f64),
}

impl Floor {
    /// Returns the floor as a share of `members` upstreams.
    #[must_use]
    pub fn share(self, members: usize) -> f64 {
        match self {
            Self::Count(n) => (n as f64 / members.max(1) as f64).min(1.0),
            Self::Share(s) => s,
        }
    }

    /// Returns the floor as a number of upstreams out of `members`.
    ///
    /// The result is at least one.
    #[must_use]
    pub fn count(self, members: usize) -> usize {
        match self {
            Self::Count(n) => n.max(1),
            Self::Share(s) => ((members as f64 * s).ceil() as usize).max(1),
        }
    }
}

/// Settings of one service, from a bundle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
pub struct ServiceSpec {
    /// Name of the service.
    #[builder(into)]
    pub name: String,
    /// Minimum capacity that must not be ejected.
    #[builder(default = Floor::Share(0.7))]
    pub floor: Floor,
    /// Which requests may be repeated.
    #[builder(default)]
    pub repeat: RepeatPolicy,
    /// Maximum duration of a request.
    #[builder(default = Duration::from_secs(2))]
    pub deadline: Duration,
    /// Retries and hedged attempts allowed, as a share of successes.
    #[builder(default = 0.1)]
    pub retries: f64,
    /// Trade-off between fast detection and false ejections.
    #[builder(default)]
    pub lean: Lean,
    /// Connections that one upstream accepts from the whole fleet.
    #[builder(default = 220)]
    pub connections: usize,
    /// Fleet-wide rate limit in requests per second, if there is one.
    pub rate: Option<f64>,
    /// Requests per second that one upstream bears while it warms up, if there is a limit.
    pub warm_up_rate: Option<f64>,
    /// Priorities and kinds of its routes, as derived from the routing table.
    #[builder(default)]
    #[serde(skip)]
    pub mix: RouteMix,
}

/// State of an upstream in the platform's lagging list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Accepts new requests.
    #[default]
    Live,
    /// Is shutting down and accepts no new requests.
    Leaving,
}

/// Entry for one upstream in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique within the list.
    pub name: String,
    /// Service to which the upstream belongs.
    pub service: String,
    /// IP address and port.
    pub addr: String,
    /// Data hall of the upstream.
    pub hall: String,
    /// State of the upstream.
    #[serde(default)]
    pub state: MemberState,
}
