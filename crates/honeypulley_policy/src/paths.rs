//! Tracks whether this box still reaches the upstreams of each service.
//!
//! A failed connection may be a fault of the upstream or of this box's network paths. The box tells
//! them apart by connecting to other upstreams of the service: if none of them accepts a connection,
//! the box is partitioned from the service, and the failure says nothing of the upstream.

use crate::collector::NameId;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between two checks of the paths to a service.
///
/// It bounds the time for which a box avoids paths that work again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a box knows of its paths to the upstreams of one service.
#[derive(Clone, Copy, Debug, Default)]
struct PathState {
    is_partitioned: bool,
    /// When an upstream last accepted a connection.
    last_contact: Option<Time>,
    /// When the paths were last checked.
    last_check: Option<Time>,
}

/// Paths of a box to the upstreams of each service.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    services: BTreeMap<NameId, PathState>,
}

impl PathMonitor {
    /// Returns whether the box is partitioned from all upstreams of a service.
    #[must_use]
    pub fn is_partitioned(&self, service: NameId) -> bool {
        self.services.get(&service).is_some_and(|s| s.is_partitioned)
    }

    /// Returns whether an upstream of the service has accepted a connection since `since`.
    #[must_use]
    pub fn has_contact_since(&self, service: NameId, since: Time) -> bool {
        let last = self.services.get(&service).and_then(|s| s.last_contact);
        last.is_some_and(|at| at >= since)
    }

    /// Records that an upstream accepted a connection; returns whether this ends a partition.
    pub fn record_contact(&mut self, service: NameId, now: Time) -> bool {
        let s = self.services.entry(service).or_default();
        s.last_contact = Some(now);
        std::mem::take(&mut s.is_partitioned)
    }

    /// Records that no upstream accepted a connection; returns whether this begins a partition.
    pub fn record_partition(&mut self, service: NameId, now: Time) -> bool {
        let s = self.services.entry(service).or_default();
        s.last_check = Some(now);
        !std::mem::replace(&mut s.is_partitioned, true)
    }

    /// Returns whether the paths are to be checked now, and counts that check as begun.
    pub fn begin_check(&mut self, service: NameId, now: Time) -> bool {
        let s = self.services.entry(service).or_default();
        let is_due = s.last_check.is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
        if is_due {
            s.last_check = Some(now);
        }
        is_due
    }
}
