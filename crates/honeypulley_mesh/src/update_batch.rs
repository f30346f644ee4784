//! Batching of updates about attempts within a data hall.
//!
//! The start of an attempt is sent at once, since peers then prefer other upstreams. The end can
//! wait for the next datagram. Every datagram goes to each box of the data hall, and two for each
//! request would be most of a box's control traffic.

use honeypulley_peer::codec::MAX_ITEMS;
use honeypulley_policy::balance::Update;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Maximum delay of the update about a finished attempt, for each other box of the data hall.
///
/// In a small data hall, where a broadcast is cheap, the update is sent nearly at once.
const DELAY_PER_BOX: Duration = Duration::from_micros(2_500);
/// Upper bound of the delay of an update about a finished attempt, in a data hall of any size.
///
/// To the other boxes, each request seems to last longer by the delay.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// An update of another box, with the time at which it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedUpdate {
    /// The box that sent it.
    pub from: NameId,
    /// The update.
    pub item: Update,
    /// When it was received.
    pub at: Time,
}

/// Updates waiting to be sent to the boxes of the data hall.
#[derive(Debug, Default)]
pub struct UpdateBatcher {
    pending: Vec<Pending>,
}

/// An update with the time at which it was queued.
#[derive(Debug)]
struct Pending {
    update: Update,
    at: Time,
}

impl UpdateBatcher {
    /// Queues an update of an event at `now`.
    pub fn add(&mut self, update: Update, now: Time) {
        self.pending.push(Pending { update, at: now });
    }

    /// Returns when the queued updates are due in a data hall of `boxes` other boxes.
    #[must_use]
    pub fn deadline(&self, boxes: usize) -> Option<Time> {
        let first = self.pending.first()?;
        if self.pending.len() >= MAX_ITEMS || !self.pending.iter().all(|p| p.update.is_deferrable())
        {
            return Some(first.at);
        }
        let delay = DELAY_PER_BOX.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        Some(first.at + delay.min(MAX_DELAY))
    }

    /// Removes the updates for one datagram, oldest first.
    ///
    /// Each update about a finished attempt gets the time since the attempt ended.
    pub fn drain(&mut self, now: Time) -> Vec<Update> {
        let count = self.pending.len().min(MAX_ITEMS);
        self.pending.drain(..count).map(|p| p.update.with_age(now.since(p.at))).collect()
    }
}
