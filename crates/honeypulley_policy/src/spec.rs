//! Plain data that drives the policy: services and members.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Which requests of a service may be sent a second time.
///
/// Source: RFC 9110 section 9.2.2 for `Reads`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Every request may be repeated.
    Always,
    /// Only safe methods (GET, HEAD, OPTIONS) may be repeated.
    #[default]
    Reads,
    /// No request may be repeated, whatever its method.
    Never,
}

impl Repeat {
    /// Returns whether a request with a safe or unsafe method may be repeated.
    #[must_use]
    pub const fn allows(self, safe: bool) -> bool {
        match self {
            Self::Always => true,
            Self::Reads => safe,
            Self::Never => false,
        }
    }
}

/// Lean between quick detection (0.0) and few false ejections (1.0).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lean(f64);

impl Lean {
    /// Quickest detection.
    pub const DETECTION: Self = Self(0.0);
    /// Fewest false ejections.
    pub const EXACTNESS: Self = Self(1.0);

    /// Builds a lean, or `None` outside 0.0 to 1.0.
    #[must_use]
    pub fn new(x: f64) -> Option<Self> {
        (0.0..=1.0).contains(&x).then_some(Self(x))
    }

    /// Mixes the value for detection with the value for exactness.
    #[must_use]
    pub fn mix(self, detection: f64, exactness: f64) -> f64 {
        detection + (exactness - detection) * self.0
    }
}

impl Default for Lean {
    fn default() -> Self {
        Self(0.5)
    }
}

/// How much healthy capacity a service must keep.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Floor {
    /// A number of upstreams.
    Count(usize),
    /// A share of the listed upstreams, 0.0 to 1.0, rounded up.
    Share(f64),
}

impl Floor {
    /// Returns the share of `members` upstreams to keep.
    #[must_use]
    pub fn share(self, members: usize) -> f64 {
        match self {
            Self::Count(n) => (n as f64 / members.max(1) as f64).min(1.0),
            Self::Share(s) => s,
        }
    }

    /// Returns the number of upstreams to keep out of `members`.
    ///
    /// At least one upstream is always kept.
    #[must_use]
    pub fn count(self, members: usize) -> usize {
        match self {
            Self::Count(n) => n.max(1),
            Self::Share(s) => ((members as f64 * s).ceil() as usize).max(1),
        }
    }
}

/// What a bundle says of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
pub struct ServiceSpec {
    /// Name of the service.
    #[builder(into)]
    pub name: String,
    /// Healthy capacity to keep.
    #[builder(default = Floor::Share(0.7))]
    pub floor: Floor,
    /// Which requests may be repeated.
    #[builder(default)]
    pub repeat: Repeat,
    /// Longest time a request may take.
    #[builder(default = Duration::from_secs(2))]
    pub deadline: Duration,
    /// Retries and hedges allowed, as a share of successes.
    #[builder(default = 0.1)]
    pub retries: f64,
    /// Lean between detection and false ejection.
    #[builder(default)]
    pub lean: Lean,
    /// Connections one upstream accepts from the whole fleet.
    #[builder(default = 220)]
    pub connections: usize,
    /// Requests per second over the whole fleet, if limited.
    pub rate: Option<f64>,
}

/// State of a member in the platform's lagging list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member takes work.
    #[default]
    Live,
    /// The member is leaving and takes no new work.
    Leaving,
}

/// One upstream as the platform's lagging list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique within the list.
    pub name: String,
    /// Service the upstream belongs to.
    pub service: String,
    /// Address and port by IP number.
    pub addr: String,
    /// Data hall.
    pub hall: String,
    /// Live or leaving.
    #[serde(default)]
    pub state: MemberState,
}
