//! Bounded ring buffers between duties.
//!
//! A full ring never blocks its writer: it drops an item by its overflow policy and counts it.

use crossbeam_queue::ArrayQueue;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Overflow policy of a ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// Drops the oldest item; for updates that later updates replace.
    DropOldest,
    /// Drops the new item; for evidence, of which more will follow.
    DropNewest,
}

/// State that the clones of a ring share.
#[derive(Debug)]
struct Inner<T> {
    queue: ArrayQueue<T>,
    policy: OverflowPolicy,
    dropped: AtomicU64,
    pushed: Notify,
}

/// A bounded ring buffer; clones share its contents.
#[derive(Debug)]
pub struct Ring<T>(Arc<Inner<T>>);

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Ring<T> {
    /// Builds a ring with room for `capacity` items.
    ///
    /// # Panics
    /// Panics if `capacity` is zero.
    #[must_use]
    pub fn new(capacity: usize, policy: OverflowPolicy) -> Self {
        let queue = ArrayQueue::new(capacity);
        Self(Arc::new(Inner { queue, policy, dropped: AtomicU64::new(0), pushed: Notify::new() }))
    }

    /// Adds an item without blocking.
    pub fn push(&self, item: T) {
        let dropped = match self.0.policy {
            OverflowPolicy::DropOldest => self.0.queue.force_push(item).is_some(),
            OverflowPolicy::DropNewest => self.0.queue.push(item).is_err(),
        };
        if dropped {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        }
        self.0.pushed.notify_one();
    }

    /// Removes and returns the oldest item, if there is one.
    #[must_use]
    pub fn pop(&self) -> Option<T> {
        self.0.queue.pop()
    }

    /// Removes and returns the oldest item; waits for one if the ring is empty.
    pub async fn recv(&self) -> T {
        loop {
            if let Some(item) = self.pop() {
                return item;
            }
            self.0.pushed.notified().await;
        }
    }

    /// Waits until the ring has an item, which is left there.
    pub async fn wait(&self) {
        while self.0.queue.is_empty() {
            self.0.pushed.notified().await;
        }
    }

    /// Returns the number of dropped items.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }
}
