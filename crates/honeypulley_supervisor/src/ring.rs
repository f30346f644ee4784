//! Bounded rings between duties.
//!
//! A full ring never blocks its writer. It drops by the rule it was built with
//! and counts what it dropped.

use crossbeam_queue::ArrayQueue;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// What a full ring does with one more item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Drops the oldest: for news that later news replaces.
    DropOldest,
    /// Drops the one that comes: for evidence, of which more will come.
    DropNewest,
}

#[derive(Debug)]
struct Inner<T> {
    queue: ArrayQueue<T>,
    rule: Full,
    dropped: AtomicU64,
    filled: Notify,
}

/// A bounded ring; clones share it.
#[derive(Debug)]
pub struct Ring<T>(Arc<Inner<T>>);

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Ring<T> {
    /// Builds a ring for `size` items.
    ///
    /// # Panics
    /// Panics if `size` is zero.
    #[must_use]
    pub fn new(size: usize, rule: Full) -> Self {
        let queue = ArrayQueue::new(size);
        Self(Arc::new(Inner { queue, rule, dropped: AtomicU64::new(0), filled: Notify::new() }))
    }

    /// Puts one item in; never blocks.
    pub fn push(&self, item: T) {
        let lost = match self.0.rule {
            Full::DropOldest => self.0.queue.force_push(item).is_some(),
            Full::DropNewest => self.0.queue.push(item).is_err(),
        };
        if lost {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        }
        self.0.filled.notify_one();
    }

    /// Removes and returns the oldest item, if there is one.
    #[must_use]
    pub fn pop(&self) -> Option<T> {
        self.0.queue.pop()
    }

    /// Waits for the oldest item.
    pub async fn next(&self) -> T {
        loop {
            if let Some(item) = self.pop() {
                return item;
            }
            self.0.filled.notified().await;
        }
    }

    /// Returns how many items were dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }
}
