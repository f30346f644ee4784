//! Fleet-wide bound on ejections.
//!
//! One object per service on the platform lists every upstream that any box may
//! treat as ejected. It changes by conditional update only, so the version of
//! the update is the fence and no clock is compared between boxes.
//!
//! A box may act on a permit for [`LEASE`] after the platform last confirmed
//! its view. A released upstream stays on the list as [`Hold::Cooling`] until
//! every older view has lapsed: whoever retires it must itself have seen the
//! release for longer than a lease, on its own monotonic clock. The union of
//! what all boxes eject therefore never exceeds the list, and the list never
//! exceeds what the floor spares.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a confirmed view of the permits may be acted on.
pub const LEASE: Duration = Duration::from_secs(10);
/// Extra wait before a slot is freed, for clocks that run at unlike rates.
pub const MARGIN: Duration = Duration::from_secs(1);

/// Why an upstream stands on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Hold {
    /// Gets no work.
    Ejected,
    /// Gets a few repeatable requests to see whether it recovered.
    Canary,
    /// Gets work again; older views may still eject it.
    Cooling,
}

/// One upstream on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitEntry {
    /// Why it stands there.
    pub hold: Hold,
    /// Number of the change that put it in this state.
    pub serial: u64,
}

/// The permit object of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRecord {
    /// Number of the last change.
    pub serial: u64,
    /// Upstreams that some box may treat as ejected.
    pub entries: BTreeMap<String, PermitEntry>,
}

/// What a writer knows of a service's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorContext {
    /// Upstreams that the lagging list shows as live and that have not drained.
    pub live: usize,
    /// Upstreams to keep.
    pub floor: usize,
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// One more ejection would leave fewer than the floor.
    #[error("the floor of {floor} would be broken: {live} live, {held} held")]
    Floor {
        /// Live upstreams.
        live: usize,
        /// Upstreams already on the list.
        held: usize,
        /// Upstreams to keep.
        floor: usize,
    },
    /// The upstream is not in the state this change starts from.
    #[error("the upstream is not in the state this change starts from")]
    State,
    /// Older views may not have lapsed yet.
    #[error("older views lapse in {0:?}")]
    Cooling(Duration),
}

impl PermitRecord {
    /// Returns the record with `upstream` ejected.
    ///
    /// # Errors
    /// [`PermitError::Floor`] if too few upstreams would be left, and
    /// [`PermitError::State`] if it is ejected already.
    pub fn eject(&self, upstream: &str, ctx: FloorContext) -> Result<Self, PermitError> {
        let listed = self.hold(upstream);
        if listed == Some(Hold::Ejected) {
            return Err(PermitError::State);
        }
        // One that is listed already counts already: it costs no further slot.
        let held = self.entries.len() + usize::from(listed.is_none());
        if ctx.live < ctx.floor + held {
            let FloorContext { live, floor } = ctx;
            return Err(PermitError::Floor { live, held: self.entries.len(), floor });
        }
        Ok(self.with(upstream, Hold::Ejected))
    }

    /// Returns the record with `upstream` getting canary requests.
    ///
    /// # Errors
    /// [`PermitError::State`] unless it is ejected.
    pub fn try_canary(&self, upstream: &str) -> Result<Self, PermitError> {
        match self.hold(upstream) {
            Some(Hold::Ejected) => Ok(self.with(upstream, Hold::Canary)),
            _ => Err(PermitError::State),
        }
    }

    /// Returns the record with `upstream` back at work, its slot still held.
    ///
    /// # Errors
    /// [`PermitError::State`] unless it is ejected or a canary.
    pub fn release(&self, upstream: &str) -> Result<Self, PermitError> {
        match self.hold(upstream) {
            Some(Hold::Ejected | Hold::Canary) => Ok(self.with(upstream, Hold::Cooling)),
            _ => Err(PermitError::State),
        }
    }

    /// Returns the record without `upstream`.
    ///
    /// The caller saw the release numbered `serial` for the time `seen`. The
    /// number keeps a later release from being taken for the one that was seen.
    ///
    /// # Errors
    /// [`PermitError::Cooling`] while older views may be acted on, and
    /// [`PermitError::State`] unless that very release stands.
    pub fn retire(&self, upstream: &str, serial: u64, seen: Duration) -> Result<Self, PermitError> {
        if self.entries.get(upstream) != Some(&PermitEntry { hold: Hold::Cooling, serial }) {
            return Err(PermitError::State);
        }
        if seen < LEASE + MARGIN {
            return Err(PermitError::Cooling(LEASE + MARGIN - seen));
        }
        let mut next = self.clone();
        next.serial += 1;
        next.entries.remove(upstream);
        Ok(next)
    }

    /// Returns why an upstream stands on the list, if it does.
    #[must_use]
    pub fn hold(&self, upstream: &str) -> Option<Hold> {
        self.entries.get(upstream).map(|e| e.hold)
    }

    fn with(&self, upstream: &str, hold: Hold) -> Self {
        let mut next = self.clone();
        next.serial += 1;
        next.entries.insert(upstream.to_owned(), PermitEntry { hold, serial: next.serial });
        next
    }
}

/// A box's view of all permits and when it was last confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitView {
    /// Records by service.
    pub records: BTreeMap<String, PermitRecord>,
    /// When the platform last vouched for the view, if it ever did.
    pub confirmed: Option<Time>,
}

impl PermitView {
    /// Returns whether the view may be acted on at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        self.confirmed.is_some_and(|at| now.since(at) < LEASE)
    }
}
