//! Bounds on the memory for answers and request bodies.

use bytes::Bytes;
use futures::task::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Longest answer that is buffered before it is forwarded, in bytes.
///
/// The longest download specified by the deployments has 540,000 bytes.
const MAX_BUFFERED_ANSWER: usize = 1_024 * 1_024;
/// Most bytes of buffered answers that a box holds at once.
///
/// A fifth of the memory of the smallest box; answers beyond it are streamed.
const MAX_BUFFERED_BYTES: usize = 32 * 1_024 * 1_024;

/// Most bytes of request bodies that a port holds at once; further requests are rejected.
const MAX_BODY_BYTES: usize = 32 * 1_024 * 1_024;
/// Most bytes of a streamed body that have been read and not sent.
pub(crate) const STREAM_WINDOW: usize = 64 * 1_024;

/// Counts the bytes of buffered answers until they are sent.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuffers {
    held: Arc<AtomicUsize>,
}

/// Bytes of one buffered answer, which count until they are dropped.
#[derive(Debug)]
pub struct HeldBytes {
    held: Arc<AtomicUsize>,
    count: usize,
}

/// Bytes with what counts them until they are dropped.
struct Counted<T> {
    bytes: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for Counted<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerBuffers {
    /// Begins to buffer an answer.
    #[must_use]
    pub fn begin(&self) -> HeldBytes {
        HeldBytes { held: Arc::clone(&self.held), count: 0 }
    }
}

impl HeldBytes {
    /// Counts more bytes; returns whether the answer may still be buffered.
    pub fn add(&mut self, n: usize) -> bool {
        let count = self.count.saturating_add(n);
        if count > MAX_BUFFERED_ANSWER {
            return false;
        }
        self.count = count;
        let all = self.held.fetch_add(n, Ordering::Relaxed) + n;
        all <= MAX_BUFFERED_BYTES
    }

    /// Attaches the count to the bytes, so that it ends with them.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Counted { bytes, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// Counts the bytes of request bodies of all requests at a port.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget {
    held: Arc<AtomicUsize>,
}

/// Error of a body for which a port has no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for request bodies is used up")]
pub struct BudgetExhausted;

/// Share of one request body in a budget, which it holds until it is dropped.
#[derive(Debug)]
pub struct BodyShare {
    held: Arc<AtomicUsize>,
    count: usize,
}

impl BodyBudget {
    /// Returns a share without bytes.
    #[must_use]
    pub fn begin(&self) -> BodyShare {
        BodyShare { held: Arc::clone(&self.held), count: 0 }
    }

    /// Returns the number of bytes in all shares.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

impl BodyShare {
    /// Adds bytes to the share.
    ///
    /// # Errors
    /// Returns [`BudgetExhausted`] if all bodies would hold too much.
    pub fn add(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let add = |held: usize| held.checked_add(bytes).filter(|n| *n <= MAX_BODY_BYTES);
        let added = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.map_err(|_| BudgetExhausted)?;
        self.count += bytes;
        Ok(())
    }

    /// Attaches the share to bytes, so that it ends with them.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Counted { bytes, _held: self })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.held.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// Limits how much of a streamed body is read before it is sent.
#[derive(Debug, Default)]
pub(crate) struct StreamWindow {
    unsent: AtomicUsize,
    reader: AtomicWaker,
}

/// Size of a piece of a streamed body, which counts until the piece is sent.
struct Unsent {
    count: usize,
    window: Arc<StreamWindow>,
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.window.unsent.fetch_sub(self.count, Ordering::AcqRel);
        self.window.reader.wake();
    }
}

impl StreamWindow {
    /// Waits until another piece may be read.
    pub(crate) fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        self.reader.register(cx.waker());
        let unsent = self.unsent.load(Ordering::Acquire);
        if unsent < STREAM_WINDOW { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Counts a piece until it is dropped.
    pub(crate) fn attach(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let unsent = Unsent { count: bytes.len(), window: Arc::clone(self) };
        self.unsent.fetch_add(unsent.count, Ordering::AcqRel);
        Bytes::from_owner(Counted { bytes, _held: unsent })
    }
}
