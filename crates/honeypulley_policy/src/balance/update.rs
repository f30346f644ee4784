//! Announcements between boxes about upstreams and the retry budget.

use crate::belief::Observation;
use crate::collector::NameId;
use crate::fleet_limits::HallCount;
use std::time::Duration;

/// An update of one box to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// An upstream was observed.
    Seen {
        /// The upstream.
        upstream: NameId,
        /// The observation.
        observation: Observation,
    },
    /// An attempt started; sent within the sender's data hall.
    Open {
        /// The upstream.
        upstream: NameId,
        /// Attempts of the sender in flight there.
        count: u16,
    },
    /// An attempt ended; sent within the sender's data hall.
    Ended {
        /// The upstream.
        upstream: NameId,
        /// Attempts of the sender still in flight there.
        count: u16,
        /// Whether it was answered successfully.
        served: bool,
        /// Requests of other data halls there, by the load report in its answer.
        remote: Option<u8>,
        /// Time since it ended, by which the update was delayed.
        age: Duration,
    },
    /// An upstream of the sender's data hall has recovered.
    Recovered {
        /// The upstream.
        upstream: NameId,
    },
    /// An upstream advertises a rate limit for the whole fleet.
    Limit {
        /// The upstream.
        upstream: NameId,
        /// Requests per second; `None` if the limit is withdrawn.
        rate: Option<f32>,
    },
    /// An upstream announced its shutdown.
    Leaving {
        /// The upstream.
        upstream: NameId,
    },
    /// Another instance answered at an upstream's address, so the upstream is gone.
    Replaced {
        /// The upstream.
        upstream: NameId,
    },
    /// The sender lost its paths to all upstreams of a service, or has one again.
    Partitioned {
        /// The service.
        service: NameId,
        /// Whether the sender reaches none of its upstreams.
        is_partitioned: bool,
    },
    /// The sender's belief about an upstream, for a newly started box.
    Belief {
        /// The upstream.
        upstream: NameId,
        /// Probabilities of the two phases of the unhealthy state.
        phases: [f64; 2],
    },
    /// A request was retried or hedged.
    Retry {
        /// Its service.
        service: NameId,
        /// Requests that the sender received within the budget's window.
        requests: u16,
        /// Retries that the sender made within that window; a lower bound.
        retries: u8,
    },
    /// Retries of all boxes within the window, for a newly started box.
    ///
    /// The sender was up for the whole window.
    RetrySum {
        /// Their service.
        service: NameId,
        /// Number of retries.
        sum: u16,
    },
    /// A retry was denied, as the sender took the budget to be exhausted.
    Denied {
        /// Its service.
        service: NameId,
        /// Requests that the sender received within the budget's window.
        requests: u16,
        /// Retries that the sender made within that window; a lower bound.
        retries: u8,
    },
    /// The sender's admission level for a service.
    Pressure {
        /// The service.
        service: NameId,
        /// Level in thousandths; zero while all priorities are admitted.
        level: u16,
    },
    /// How often an upstream has hung, for a newly started box.
    Hazard {
        /// The upstream.
        upstream: NameId,
        /// Episodes of hanging that the sender knows of.
        episodes: u8,
        /// Seconds of processing time over which they were counted.
        busy_s: u16,
    },
    /// The sender admitted a rate-limited request; sent within its data hall.
    Admitted {
        /// What the limit applies to: an organisation or an upstream.
        subject: NameId,
        /// Its requests that the sender admitted since it started, as a wrapping counter.
        sum: u16,
    },
    /// Rate-limited requests that the boxes of the sender's data hall admitted.
    HallAdmitted {
        /// What the limit applies to.
        subject: NameId,
        /// The count, with the data hall.
        count: HallCount,
    },
}

impl Update {
    /// Returns whether it is sent within the sender's data hall only.
    #[must_use]
    pub const fn is_for_hall(&self) -> bool {
        matches!(self, Self::Open { .. } | Self::Ended { .. } | Self::Admitted { .. })
    }

    /// Returns whether it may be delayed and batched with later updates.
    ///
    /// The end of an attempt is not urgent; an admission is soon followed by its attempt.
    #[must_use]
    pub const fn is_deferrable(&self) -> bool {
        matches!(self, Self::Ended { .. } | Self::Admitted { .. })
    }

    /// Returns the update with its delay since it was created.
    #[must_use]
    pub const fn with_age(self, age: Duration) -> Self {
        match self {
            Self::Ended { upstream, count, served, remote, .. } => {
                Self::Ended { upstream, count, served, remote, age }
            }
            other => other,
        }
    }
}
