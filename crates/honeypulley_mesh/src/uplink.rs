//! Limit on what a box sends to peers on request.
//!
//! Many boxes may miss the same change and request it from the box that announced it. Unlimited
//! answers would fill that box's link, which delays its broadcasts, so that still more boxes
//! request the change. A box that gets no answer asks others, which have the change by then.

use honeypulley_policy::time::Time;
use std::time::Duration;

/// Link bandwidth assumed if none is configured, in Mbit/s.
const DEFAULT_LINK_MBPS: f64 = 100.0;
/// Maximum share of the link's bandwidth for answers.
const MAX_LINK_SHARE: f64 = 0.5;
/// Time over which unused bandwidth accumulates.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Average size of an encoded list entry, in bytes.
const ENTRY_BYTES: usize = 150;
/// Average size of an entry in a compressed page of the list, in bytes.
const PAGE_ENTRY_BYTES: usize = 50;

/// Token bucket for the answers of one box.
///
/// An answer may exceed the available tokens. Later ones are then rejected until the bucket has
/// refilled.
#[derive(Clone, Copy, Debug)]
pub struct UplinkLimiter {
    /// Refill rate in bytes per second.
    rate: f64,
    /// Available bytes; negative after a large answer.
    tokens: f64,
    updated: Time,
}

impl UplinkLimiter {
    /// Creates a full bucket for a link with this bandwidth in Mbit/s.
    #[must_use]
    pub fn new(link_mbps: Option<f64>) -> Self {
        let rate = link_mbps.unwrap_or(DEFAULT_LINK_MBPS) * 1e6 / 8.0 * MAX_LINK_SHARE;
        Self { rate, tokens: rate * BURST_TIME.as_secs_f64(), updated: Time::ZERO }
    }

    /// Returns whether an answer with this number of list entries may be sent now.
    pub fn admit(&mut self, entries: usize, now: Time) -> bool {
        self.admit_bytes(entries.max(1) * ENTRY_BYTES, now)
    }

    /// Returns whether a page with this number of entries may be sent now.
    ///
    /// The pages of a transfer that `is_admitted` are only charged for, so that few transfers run at
    /// a time and each of them ends soon.
    pub fn admit_page(&mut self, entries: usize, is_admitted: bool, now: Time) -> bool {
        let bytes = entries.max(1) * PAGE_ENTRY_BYTES;
        let has_capacity = self.admit_bytes(bytes, now);
        if is_admitted && !has_capacity {
            self.tokens -= bytes as f64;
        }
        is_admitted || has_capacity
    }

    fn admit_bytes(&mut self, bytes: usize, now: Time) -> bool {
        let refill = self.rate * now.since(self.updated).as_secs_f64();
        self.updated = now.max(self.updated);
        self.tokens = (self.tokens + refill).min(self.rate * BURST_TIME.as_secs_f64());
        if self.tokens <= 0.0 {
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}
