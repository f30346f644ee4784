//! Whether a box that has just started has what it needs to serve.
//!
//! Callers connect as soon as the port is open, while table and list are on their way, so their
//! requests wait for the platform's answer. Where none is expected, a request is refused at once.

use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum time that a request waits for table and list.
const MOST_WAIT: Duration = Duration::from_millis(400);

/// How far a box is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Stage {
    /// The platform has been asked for table and list.
    Awaited,
    /// It failed, or has no table: when more comes isn't known.
    Unknown,
    /// Both are in force on the serving thread.
    Complete,
}

/// What a box that starts waits for.
#[derive(Debug)]
pub struct Setup {
    stage: AtomicU8,
    changed: Notify,
}

impl Default for Setup {
    fn default() -> Self {
        Self { stage: AtomicU8::new(Stage::Awaited as u8), changed: Notify::new() }
    }
}

impl Setup {
    /// Records that table and list are in force.
    pub fn complete(&self) {
        self.stage.store(Stage::Complete as u8, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Records that the platform could not provide one of them.
    pub fn give_up(&self) {
        let (from, to) = (Stage::Awaited as u8, Stage::Unknown as u8);
        if self.stage.compare_exchange(from, to, Ordering::AcqRel, Ordering::Relaxed).is_ok() {
            self.changed.notify_waiters();
        }
    }

    /// Returns whether something is on its way.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.stage.load(Ordering::Acquire) == Stage::Awaited as u8
    }

    /// Ends once nothing is on its way any more, or after the longest wait of 0.4 s.
    pub async fn settled(&self) {
        let changed = async {
            loop {
                let mut woken = std::pin::pin!(self.changed.notified());
                woken.as_mut().enable();
                if !self.is_awaited() {
                    return;
                }
                woken.await;
            }
        };
        let _ = tokio::time::timeout(MOST_WAIT, changed).await;
    }
}
