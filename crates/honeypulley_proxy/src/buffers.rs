//! Bound on the memory for answers that are buffered whole.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest answer that is buffered before it is forwarded, in bytes.
///
/// The longest download specified by the deployments has 540,000 bytes.
const MAX_BUFFERED_ANSWER: usize = 1_024 * 1_024;
/// Most bytes of buffered answers that a box holds at once.
///
/// A fifth of the memory of the smallest box; answers beyond it are streamed.
const MAX_BUFFERED_BYTES: usize = 32 * 1_024 * 1_024;

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

/// A buffered answer with its count.
struct Counted {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Counted {
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
