//! What boxes announce to each other about upstreams and the retry budget.

use crate::belief::Observation;
use crate::collector::NameId;
use crate::fleet_limits::HallCount;
use std::time::Duration;

/// One announcement of this box to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// Something was seen of an upstream.
    Seen {
        /// The upstream.
        upstream: NameId,
        /// What was seen.
        what: Observation,
    },
    /// An attempt began, and this box has so many open there; for its own data hall.
    Open {
        /// The upstream.
        upstream: NameId,
        /// Attempts open.
        count: u16,
    },
    /// An attempt ended, and this box has so many left there; for its own data hall.
    Ended {
        /// The upstream.
        upstream: NameId,
        /// Attempts that are still open.
        count: u16,
        /// Whether it was answered well.
        served: bool,
        /// Requests of other data halls there, by the report that came with its answer.
        far: Option<u8>,
        /// Time since it ended, for which the announcement was delayed.
        ago: Duration,
    },
    /// An upstream of this box's data hall answers well again.
    Well {
        /// The upstream.
        upstream: NameId,
    },
    /// An upstream names a limit over all boxes in its answers.
    Limit {
        /// The upstream.
        upstream: NameId,
        /// Requests a second; `None` if it names no limit any more.
        rate: Option<f32>,
    },
    /// An upstream announced its shutdown.
    Leaving {
        /// The upstream.
        upstream: NameId,
    },
    /// What the sender believes of an upstream, for a box that has just started.
    Belief {
        /// The upstream.
        upstream: NameId,
        /// Chances of the two phases of sickness.
        phases: [f64; 2],
    },
    /// A request was sent to one more upstream.
    Retry {
        /// Its service.
        service: NameId,
        /// Requests for it that the sender got within the budget's window.
        seen: u16,
        /// Requests of it that the sender retried within that window, at least.
        spent: u8,
    },
    /// Requests that all boxes retried within the window, for a box that has just
    /// started, by one that lived through it.
    Spent {
        /// Their service.
        service: NameId,
        /// How many.
        sum: u16,
    },
    /// A request was not retried, since the budget was spent as far as is known.
    Denied {
        /// Its service.
        service: NameId,
        /// Requests for it that the sender got within the budget's window.
        seen: u16,
        /// Requests of it that the sender retried within that window, at least.
        spent: u8,
    },
    /// The sender admitted a request that a limit over all boxes counts; for its data hall.
    Admitted {
        /// What has the limit: an organisation, or an upstream that names one.
        subject: NameId,
        /// Requests of it that the sender admitted since it started, counted round.
        sum: u16,
    },
    /// What the boxes of the sender's data hall admitted of such requests.
    HallAdmitted {
        /// What has the limit.
        subject: NameId,
        /// How much, and where.
        count: HallCount,
    },
}

impl News {
    /// Returns whether it concerns the sender's data hall alone.
    #[must_use]
    pub const fn is_for_hall(&self) -> bool {
        matches!(self, Self::Open { .. } | Self::Ended { .. } | Self::Admitted { .. })
    }

    /// Returns whether it may be delayed and sent with what follows it.
    ///
    /// An attempt that ended may wait; an admitted request is soon followed by its attempt.
    #[must_use]
    pub const fn can_wait(&self) -> bool {
        matches!(self, Self::Ended { .. } | Self::Admitted { .. })
    }

    /// Returns it as announced so long after it was made.
    #[must_use]
    pub const fn aged(self, waited: Duration) -> Self {
        match self {
            Self::Ended { upstream, count, served, far, .. } => {
                Self::Ended { upstream, count, served, far, ago: waited }
            }
            news => news,
        }
    }
}
