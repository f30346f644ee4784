//! Schedules by which a box without a list obtains one.
//!
//! After a loss of power, all boxes lack the list at once. If each of them read it from the
//! platform, the load would grow with boxes times upstreams. A few boxes, drawn at random,
//! read it; the others pull it from peers, and then serve it to further ones. Boxes that were drawn
//! may fail, so that the draw is repeated.

use crate::catch_up::{ORIGIN_PULLS, origin_probability};
use honeypulley_policy::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Expected number of boxes that read the list from the platform after each of the first draws.
///
/// From the third draw on it doubles, so that boxes that reach no peer get the list as well.
pub const EXPECTED_READS: f64 = 8.0;
/// Delay between the first two draws; it doubles with each further one.
const MIN_DRAW_DELAY: Duration = Duration::from_secs(2);
/// Maximum delay between draws.
const MAX_DRAW_DELAY: Duration = Duration::from_secs(4);
/// Time after a start during which the list is awaited from boxes that are likelier to have it.
const PEERS_FIRST_TIME: Duration = Duration::from_secs(5);
/// Delay after the first failed read; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay after a failed read.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay between the first two pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between pulls.
const MAX_PULL_INTERVAL: Duration = Duration::from_millis(400);
/// Factor by which the interval grows with each pull.
const PULL_INTERVAL_GROWTH: f64 = 1.5;

/// What a box without a list knows of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Number of boxes, this one included; `None` if it is not known yet.
    pub boxes: Option<usize>,
    /// Number of other boxes with fast links.
    pub fast: usize,
    /// Whether this box has a fast link.
    pub has_fast_link: bool,
    /// Whether a peer has announced a list.
    pub is_list_announced: bool,
}

impl FleetView {
    /// Returns the number of boxes among which the readers are drawn, this one included.
    ///
    /// If there are boxes with fast links, only these read at first, since the list is soon at them
    /// and they serve many others. Returns `None` if this box is not to read.
    fn candidates(&self, age: Duration) -> Option<usize> {
        let is_early = age < PEERS_FIRST_TIME;
        match self.boxes {
            Some(_) if is_early && self.is_list_announced => None,
            Some(_) if is_early && self.has_fast_link => Some(self.fast + 1),
            Some(_) if is_early && self.fast > 0 => None,
            boxes => boxes,
        }
    }
}

/// Decides when a box reads the whole list from the platform.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    due: Time,
    /// Delay until the next draw.
    delay: Duration,
    /// Expected number of boxes that the next draw selects.
    expected: f64,
    retry_delay: Duration,
}

impl Default for ReadSchedule {
    fn default() -> Self {
        Self {
            due: Time::ZERO,
            delay: MIN_DRAW_DELAY,
            expected: EXPECTED_READS,
            retry_delay: MIN_RETRY_DELAY,
        }
    }
}

impl ReadSchedule {
    /// Returns whether to read the list now; `draw` is uniformly random in `0.0..1.0`.
    ///
    /// Nothing is drawn until the number of boxes is known, or while a peer is likely to have the
    /// list.
    pub fn poll(&mut self, fleet: FleetView, draw: f64, now: Time) -> bool {
        let candidates = fleet.candidates(now.since(Time::ZERO));
        let Some(boxes) = candidates.filter(|_| now >= self.due) else {
            return false;
        };
        let probability = self.expected / boxes.max(1) as f64;
        if self.delay == MAX_DRAW_DELAY {
            self.expected *= 2.0;
        }
        self.due = now + self.delay;
        self.delay = (self.delay * 2).min(MAX_DRAW_DELAY);
        draw < probability
    }

    /// Records that a read failed, after which a few boxes retry soon.
    ///
    /// The boxes that retry are drawn anew, since after an outage all of them would read at once.
    pub fn record_failure(&mut self, draw: f64, now: Time) {
        self.due = now + self.retry_delay.mul_f64(0.5 + draw);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        (self.delay, self.expected) = (MIN_DRAW_DELAY, EXPECTED_READS);
    }

    /// Returns the time until the next draw.
    #[must_use]
    pub fn wait(&self, now: Time) -> Duration {
        self.due.since(now)
    }
}

/// Peers that a box may ask for the address book or the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullCandidates {
    /// Number of boxes, this one included.
    pub boxes: usize,
    /// The box that announced the newest list.
    pub origin: Option<SocketAddr>,
    /// Boxes with fast links, of this data hall if it has any.
    pub fast: Vec<SocketAddr>,
    /// Boxes of this data hall, or all known ones and the seeds if there are few.
    pub peers: Vec<SocketAddr>,
}

impl PullCandidates {
    /// Returns the peer to ask next.
    ///
    /// A few boxes of the fleet ask the origin, so that the list reaches each data hall. Half of the
    /// others ask boxes with fast links.
    pub fn choose(&self, rng: &mut fastrand::Rng) -> Option<SocketAddr> {
        let asks_origin = rng.f64() < origin_probability(self.boxes, ORIGIN_PULLS);
        let origin = self.origin.filter(|_| asks_origin);
        let fast = rng.choice(&self.fast).filter(|_| rng.bool());
        origin.or(fast.copied()).or_else(|| rng.choice(&self.peers).copied())
    }
}

/// Decides when a box without a list asks a peer for one.
#[derive(Clone, Copy, Debug)]
pub struct PullSchedule {
    due: Time,
    interval: Duration,
}

impl Default for PullSchedule {
    fn default() -> Self {
        Self { due: Time::ZERO, interval: MIN_PULL_INTERVAL }
    }
}

impl PullSchedule {
    /// Returns whether to ask a peer now; `draw` is uniformly random in `0.0..1.0`.
    pub fn poll(&mut self, draw: f64, now: Time) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now + self.interval.mul_f64(0.5 + draw);
        self.interval = self.interval.mul_f64(PULL_INTERVAL_GROWTH).min(MAX_PULL_INTERVAL);
        true
    }

    /// Returns the time until the next pull.
    #[must_use]
    pub fn wait(&self, now: Time) -> Duration {
        self.due.since(now)
    }
}
