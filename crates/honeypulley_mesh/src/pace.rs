//! When ends of attempts are announced to the data hall.
//!
//! The start of an attempt keeps the peers from the same upstream, so it is announced at once.
//! Its end can wait for the next datagram: each goes to every box of the hall, and two a request
//! would be most of a box's control traffic.

use honeypulley_peer::codec::MAX_ITEMS;
use honeypulley_policy::balance::News;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Maximum delay before a finished attempt is announced, for each peer of the data hall.
///
/// In a small hall, where a broadcast is cheap, it is announced nearly at once.
const HOLD_A_BOX: Duration = Duration::from_micros(2_500);
/// Maximum delay before a finished attempt is announced, in a data hall of any size.
///
/// To its peers, each request seems longer by that.
const MOST_HOLD: Duration = Duration::from_millis(150);

/// News for the data hall that is to be sent.
#[derive(Debug, Default)]
pub struct Pacer {
    waiting: Vec<Waiting>,
}

/// One piece of news and when it was made.
#[derive(Debug)]
struct Waiting {
    news: News,
    at: Time,
}

impl Pacer {
    /// Adds news that was made at `now`.
    pub fn add(&mut self, news: News, now: Time) {
        self.waiting.push(Waiting { news, at: now });
    }

    /// Returns when what waits is to be sent to a hall of so many other boxes.
    #[must_use]
    pub fn due(&self, boxes: usize) -> Option<Time> {
        let first = self.waiting.first()?;
        if self.waiting.len() >= MAX_ITEMS || !self.waiting.iter().all(|w| w.news.can_wait()) {
            return Some(first.at);
        }
        let hold = HOLD_A_BOX.saturating_mul(boxes.try_into().unwrap_or(u32::MAX));
        Some(first.at + hold.min(MOST_HOLD))
    }

    /// Removes what fits one datagram, oldest first, with the age of each end.
    pub fn take(&mut self, now: Time) -> Vec<News> {
        let most = self.waiting.len().min(MAX_ITEMS);
        self.waiting.drain(..most).map(|w| w.news.aged(now.since(w.at))).collect()
    }
}
