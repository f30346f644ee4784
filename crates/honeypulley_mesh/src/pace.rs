//! When ends of attempts are told to the data hall.
//!
//! What one box begins keeps the others from the same upstream, so it is told at once. That
//! it ended can wait a moment and go with the next news: each datagram goes to every box of
//! the hall, and two a request were most of what a box sends and hears. In a hall of 61 boxes
//! of four requests a second 1.4 are left (`tests/pace.rs`); on a day of 293 boxes the
//! processor time of all fell by 14 in 100, and as much was served.

use honeypulley_peer::codec::MAX_ITEMS;
use honeypulley_policy::balance::News;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Longest time that the end of an attempt waits, for each other box of the data hall.
///
/// So a small hall, where a datagram to all costs little, hears of it nearly at once.
const HOLD_A_BOX: Duration = Duration::from_micros(2_500);
/// Longest time that the end of an attempt waits, in a data hall of any size.
///
/// It lengthens each request by that for the others, in a hall of 61 boxes by half of an
/// answer's usual time.
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

    /// Takes what fits one datagram, oldest first, with the time that each end waited.
    pub fn take(&mut self, now: Time) -> Vec<News> {
        let most = self.waiting.len().min(MAX_ITEMS);
        self.waiting.drain(..most).map(|w| w.news.aged(now.since(w.at))).collect()
    }
}
