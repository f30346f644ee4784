//! Batching of updates about attempts within a data hall.
//!
//! The start of an attempt keeps the peers from the same upstream, so it is sent at once. The end
//! can wait for the next datagram. Every datagram goes to each box of the hall, and two for each
//! request would be most of a box's control traffic.

use honeypulley_peer::codec::MAX_ITEMS;
use honeypulley_policy::balance::Update;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Maximum delay of an update about a finished attempt, for each other box of the hall.
///
/// In a small hall, where a broadcast is cheap, updates are sent nearly at once.
const DELAY_PER_BOX: Duration = Duration::from_micros(2_500);
/// Upper bound of that delay in a data hall of any size.
///
/// To its peers, each request seems to last longer by the delay.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// News waiting to be sent to the boxes of the data hall.
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
    /// Queues an update that arose at `now`.
    pub fn add(&mut self, update: Update, now: Time) {
        self.pending.push(Pending { update, at: now });
    }

    /// Returns when the queued updates are due in a hall of `boxes` other boxes.
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

    /// Removes one datagram's worth of updates, oldest first, and sets the age of each end.
    pub fn drain(&mut self, now: Time) -> Vec<Update> {
        let count = self.pending.len().min(MAX_ITEMS);
        self.pending.drain(..count).map(|p| p.update.with_age(now.since(p.at))).collect()
    }
}
