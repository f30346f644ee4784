//! Startup state of a box: whether it has the table and list that it needs to serve.
//!
//! Callers connect as soon as the port is open, while table and list are still being read, so
//! their requests wait for the platform's answer. If no answer is expected, a request is refused
//! at once.

use honeypulley_supervisor::clock::process_cpu_time;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum time for which a request waits for table and list.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Stage of a box's startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Stage {
    /// Table and list have been requested from the platform.
    Pending,
    /// The platform failed or has no table, so nothing is known to be under way.
    Unavailable,
    /// Table and list are in force on the serving thread.
    Complete,
}

/// Startup state of a box, on which requests can wait.
#[derive(Debug)]
pub struct Startup {
    /// Processor time of the process when the startup began.
    cpu_time: Duration,
    stage: AtomicU8,
    changed: Notify,
    /// Pages of the list pulled from peers.
    pages: AtomicU32,
    /// Peers that had no list, or no capacity for a transfer.
    fruitless_pulls: AtomicU32,
    failed_pulls: AtomicU32,
    /// Reads of the list from the platform that were begun.
    reads: AtomicU32,
    failed_reads: AtomicU32,
    /// Pages of the list or the address book sent to peers.
    pages_sent: AtomicU32,
    /// Requests for pages that the link had no capacity for.
    pages_rejected: AtomicU32,
}

impl Default for Startup {
    fn default() -> Self {
        Self {
            cpu_time: process_cpu_time(),
            stage: AtomicU8::new(Stage::Pending as u8),
            changed: Notify::new(),
            pages: AtomicU32::new(0),
            fruitless_pulls: AtomicU32::new(0),
            failed_pulls: AtomicU32::new(0),
            reads: AtomicU32::new(0),
            failed_reads: AtomicU32::new(0),
            pages_sent: AtomicU32::new(0),
            pages_rejected: AtomicU32::new(0),
        }
    }
}

/// How a box has obtained its first list of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListLoadStats {
    /// Pages pulled from peers; zero if the list was read from the platform.
    pub pages: u32,
    /// Pulls from peers that had no list, or no capacity for a transfer.
    pub fruitless_pulls: u32,
    /// Pulls from peers that failed.
    pub failed_pulls: u32,
    /// Reads of the platform's list that were begun.
    pub reads: u32,
    /// Reads of the platform's list that failed.
    pub failed_reads: u32,
}

impl Startup {
    /// Marks the startup as complete: table and list are in force.
    ///
    /// Returns whether it was not complete before.
    pub fn mark_complete(&self) -> bool {
        let complete = Stage::Complete as u8;
        let is_new = self.stage.swap(complete, Ordering::AcqRel) != complete;
        self.changed.notify_waiters();
        is_new
    }

    /// Returns the processor time used since the startup began.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        process_cpu_time().saturating_sub(self.cpu_time)
    }

    /// Records a list that was pulled from peers in this number of pages.
    pub fn record_pulled_list(&self, pages: u32) {
        self.pages.store(pages, Ordering::Relaxed);
    }

    /// Records a pull from a peer that had no list, or no capacity.
    pub fn record_fruitless_pull(&self) {
        self.fruitless_pulls.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a pull from a peer that failed.
    pub fn record_failed_pull(&self) {
        self.failed_pulls.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a read of the platform's list begins.
    pub fn record_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a read of the platform's list failed.
    pub fn record_failed_read(&self) {
        self.failed_reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request of a peer for a page, which was sent unless the link had no capacity.
    pub fn record_page_request(&self, is_sent: bool) {
        let counter = if is_sent { &self.pages_sent } else { &self.pages_rejected };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of pages sent to peers, and of those that the link had no capacity for.
    #[must_use]
    pub fn page_requests(&self) -> (u32, u32) {
        (self.pages_sent.load(Ordering::Relaxed), self.pages_rejected.load(Ordering::Relaxed))
    }

    /// Returns how the list has been obtained so far.
    #[must_use]
    pub fn list_load(&self) -> ListLoadStats {
        ListLoadStats {
            pages: self.pages.load(Ordering::Relaxed),
            fruitless_pulls: self.fruitless_pulls.load(Ordering::Relaxed),
            failed_pulls: self.failed_pulls.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            failed_reads: self.failed_reads.load(Ordering::Relaxed),
        }
    }

    /// Records that the platform could not provide the table or the list.
    pub fn mark_unavailable(&self) {
        let (from, to) = (Stage::Pending as u8, Stage::Unavailable as u8);
        if self.stage.compare_exchange(from, to, Ordering::AcqRel, Ordering::Relaxed).is_ok() {
            self.changed.notify_waiters();
        }
    }

    /// Returns whether an answer of the platform is still expected.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.stage.load(Ordering::Acquire) == Stage::Pending as u8
    }

    /// Returns whether table and list are in force.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.stage.load(Ordering::Acquire) == Stage::Complete as u8
    }

    /// Waits until no answer of the platform is expected, for at most 0.4 s.
    pub async fn wait_settled(&self) {
        let changed = async {
            loop {
                let mut woken = std::pin::pin!(self.changed.notified());
                woken.as_mut().enable();
                if !self.is_pending() {
                    return;
                }
                woken.await;
            }
        };
        let _ = tokio::time::timeout(MAX_WAIT, changed).await;
    }
}
