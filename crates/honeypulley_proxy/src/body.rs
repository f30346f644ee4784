//! Request and answer bodies that pass through the proxy.

use crate::attempt::AttemptGuard;
use crate::gate::OpenGuard;
use bytes::{Bytes, BytesMut};
use honeypulley_policy::router::Outcome;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use salvo::http::ReqBody;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// Longest request body that is buffered for retries, in bytes.
pub const MAX_BUFFERED: usize = 64 * 1_024;

/// A request body, either buffered or streamed.
#[derive(Debug)]
pub enum Source {
    /// Buffered, and available for retries.
    Buffered(Bytes),
    /// Streamed to a single attempt; `None` once it is taken.
    Streamed(Option<CallerBody>),
}

/// A long request body that is streamed from the caller to an upstream.
#[derive(Debug)]
pub struct CallerBody {
    /// Data that was already read.
    prefix: Option<Bytes>,
    rest: ReqBody,
    /// Set when reading from the caller fails.
    read_failed: Arc<AtomicBool>,
}

impl Source {
    /// Buffers a body of up to [`MAX_BUFFERED`] bytes; a longer one is streamed.
    ///
    /// # Errors
    /// Returns the error message if reading from the caller fails.
    pub async fn read(mut body: ReqBody) -> Result<Self, String> {
        let mut buffer = BytesMut::new();
        while buffer.len() <= MAX_BUFFERED {
            let Some(frame) = body.frame().await else {
                return Ok(Self::Buffered(buffer.freeze()));
            };
            let frame = frame.map_err(|e| e.to_string())?;
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
        }
        let (prefix, read_failed) = (Some(buffer.freeze()), Arc::default());
        Ok(Self::Streamed(Some(CallerBody { prefix, rest: body, read_failed })))
    }

    /// Returns the body for another attempt, if it is still available.
    pub fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Buffered(b) => Some(reqwest::Body::from(b.clone())),
            Self::Streamed(s) => s.take().map(reqwest::Body::wrap),
        }
    }

    /// Returns whether [`Source::take`] would return a body.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        matches!(self, Self::Buffered(_) | Self::Streamed(Some(_)))
    }

    /// Returns the data read so far, which is the whole body if it is buffered.
    #[must_use]
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(b) => b,
            Self::Streamed(s) => s.as_ref().and_then(|b| b.prefix.as_deref()).unwrap_or_default(),
        }
    }

    /// Returns the length in bytes, if it is known in advance.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(b) => Some(b.len() as u64),
            Self::Streamed(s) => s.as_ref().and_then(|b| b.size_hint().exact()),
        }
    }

    /// Returns the flag that is set when reading from the caller fails.
    #[must_use]
    pub fn read_failed(&self) -> Option<Arc<AtomicBool>> {
        match self {
            Self::Streamed(Some(b)) => Some(Arc::clone(&b.read_failed)),
            _ => None,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            match &polled {
                Poll::Ready(Some(Err(_))) => self.read_failed.store(true, Ordering::Relaxed),
                // Trailers are dropped, since they could contain headers that are stripped from
                // requests, such as the organisation or the key.
                Poll::Ready(Some(Ok(f))) if f.is_trailers() => continue,
                _ => {}
            }
            return polled;
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.prefix.as_ref().map_or(0, |b| b.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}

/// An answer body that reports its outcome to the policy.
#[derive(Debug)]
pub struct TrackedBody {
    /// Buffered data, which is sent first.
    prefix: Option<Bytes>,
    inner: reqwest::Body,
    guard: Option<AttemptGuard>,
    _open: OpenGuard,
}

impl TrackedBody {
    /// Wraps a body, starting with the data that was already read.
    #[must_use]
    pub const fn new(
        prefix: Option<Bytes>,
        inner: reqwest::Body,
        guard: AttemptGuard,
        open: OpenGuard,
    ) -> Self {
        Self { prefix, inner, guard: Some(guard), _open: open }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(mut g) = self.guard.take() {
            g.ended(outcome);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = reqwest::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            // The error is forwarded, so that the caller notices the truncation.
            Poll::Ready(Some(Err(_))) => self.finish(Outcome::Malformed),
            Poll::Ready(None) => self.finish(Outcome::Completed),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => {
                self.finish(Outcome::Completed);
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.prefix.is_some() { SizeHint::default() } else { self.inner.size_hint() }
    }
}
