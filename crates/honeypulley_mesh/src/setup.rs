//! Startup state of a box: whether it has the table and list that it needs to serve.
//!
//! Callers connect as soon as the port is open, while table and list are still being read, so
//! their requests wait for the platform's answer. If no answer is expected, a request is refused
//! at once.

use std::sync::atomic::{AtomicU8, Ordering};
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
    stage: AtomicU8,
    changed: Notify,
}

impl Default for Startup {
    fn default() -> Self {
        Self { stage: AtomicU8::new(Stage::Pending as u8), changed: Notify::new() }
    }
}

impl Startup {
    /// Marks the startup as complete: table and list are in force.
    pub fn mark_complete(&self) {
        self.stage.store(Stage::Complete as u8, Ordering::Release);
        self.changed.notify_waiters();
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
