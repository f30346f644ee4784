//! Fleet-wide bound on ejections.
//!
//! One object per service on the platform lists every upstream that any box may treat as ejected.
//! It changes by conditional update only, so the version of the update is the fencing token and
//! clocks of different boxes are never compared.
//!
//! A box may act on a permit for [`LEASE`] after the platform last confirmed the box's view. A
//! released upstream stays on the list as [`PermitState::Cooling`] until all older views have
//! expired: whoever removes it must itself have observed the release for longer than a lease, on
//! its own monotonic clock. Therefore the union of the ejections of all boxes is always a subset of
//! the list, and the list never exceeds what the floor allows.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a confirmed view of the permits may be acted on.
pub const LEASE: Duration = Duration::from_secs(10);
/// Additional wait before a slot is freed, to allow for clock drift.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// State of a listed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PermitState {
    /// Receives no requests.
    Ejected,
    /// Receives a few repeatable requests as a probe for recovery.
    Canary,
    /// Receives requests again, though boxes with older views may still eject it.
    Cooling,
}

/// One listed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitEntry {
    /// State of the upstream.
    pub hold: PermitState,
    /// Serial number of the change that set this state.
    pub serial: u64,
}

/// Permit object of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRecord {
    /// Serial number of the last change.
    pub serial: u64,
    /// Upstreams that any box may treat as ejected.
    pub entries: BTreeMap<String, PermitEntry>,
}

/// Capacity of a service as known to the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorContext {
    /// Upstreams that are listed as live and have not announced a shutdown.
    pub live: usize,
    /// Minimum number of upstreams that must not be ejected.
    pub floor: usize,
}

/// Reason for which a change of permits is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// Another ejection would leave fewer upstreams than the floor.
    #[error("ejection would leave fewer than {floor} upstreams: {live} live, {held} listed")]
    Floor {
        /// Number of live upstreams.
        live: usize,
        /// Number of upstreams already on the list.
        held: usize,
        /// Minimum number of upstreams that must not be ejected.
        floor: usize,
    },
    /// The upstream is not in the state that the change requires.
    #[error("the upstream is not in the state that the change requires")]
    State,
    /// Older views may not have expired yet.
    #[error("older views expire in {0:?}")]
    Cooling(Duration),
}

impl PermitRecord {
    /// Returns the record with `upstream` ejected.
    ///
    /// # Errors
    /// Returns [`PermitError::Floor`] if too few upstreams would remain, and [`PermitError::State`]
    /// if the upstream is already ejected.
    pub fn eject(&self, upstream: &str, ctx: FloorContext) -> Result<Self, PermitError> {
        let listed = self.hold(upstream);
        if listed == Some(PermitState::Ejected) {
            return Err(PermitError::State);
        }
        // An upstream that is already listed takes no additional slot.
        let held = self.entries.len() + usize::from(listed.is_none());
        if ctx.live < ctx.floor + held {
            let FloorContext { live, floor } = ctx;
            return Err(PermitError::Floor { live, held: self.entries.len(), floor });
        }
        Ok(self.with_hold(upstream, PermitState::Ejected))
    }

    /// Returns the record with `upstream` receiving canary requests.
    ///
    /// # Errors
    /// Returns [`PermitError::State`] unless the upstream is ejected.
    pub fn start_canary(&self, upstream: &str) -> Result<Self, PermitError> {
        match self.hold(upstream) {
            Some(PermitState::Ejected) => Ok(self.with_hold(upstream, PermitState::Canary)),
            _ => Err(PermitError::State),
        }
    }

    /// Returns the record with `upstream` released but still occupying its slot.
    ///
    /// # Errors
    /// Returns [`PermitError::State`] unless the upstream is ejected or a canary.
    pub fn release(&self, upstream: &str) -> Result<Self, PermitError> {
        match self.hold(upstream) {
            Some(PermitState::Ejected | PermitState::Canary) => {
                Ok(self.with_hold(upstream, PermitState::Cooling))
            }
            _ => Err(PermitError::State),
        }
    }

    /// Returns the record without `upstream`.
    ///
    /// The writer has observed the release numbered `serial` for the time `seen`. The serial number
    /// prevents a later release from being mistaken for the observed one.
    ///
    /// # Errors
    /// Returns [`PermitError::Cooling`] while older views may still be acted on, and
    /// [`PermitError::State`] unless the entry is that release.
    pub fn remove_released(
        &self,
        upstream: &str,
        serial: u64,
        seen: Duration,
    ) -> Result<Self, PermitError> {
        if self.entries.get(upstream) != Some(&PermitEntry { hold: PermitState::Cooling, serial }) {
            return Err(PermitError::State);
        }
        if seen < LEASE + CLOCK_MARGIN {
            return Err(PermitError::Cooling(LEASE + CLOCK_MARGIN - seen));
        }
        let mut next = self.clone();
        next.serial += 1;
        next.entries.remove(upstream);
        Ok(next)
    }

    /// Returns the state of an upstream, if it is listed.
    #[must_use]
    pub fn hold(&self, upstream: &str) -> Option<PermitState> {
        self.entries.get(upstream).map(|e| e.hold)
    }

    fn with_hold(&self, upstream: &str, hold: PermitState) -> Self {
        let mut next = self.clone();
        next.serial += 1;
        next.entries.insert(upstream.to_owned(), PermitEntry { hold, serial: next.serial });
        next
    }
}

/// View of all permits, with the time of its last confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitView {
    /// Records by service name.
    pub records: BTreeMap<String, PermitRecord>,
    /// Time at which the platform last confirmed the view, if it ever did.
    pub confirmed: Option<Time>,
}

impl PermitView {
    /// Returns whether the view may be acted on at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < LEASE)
    }
}
