//! Bodies on their way through.

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

/// Longest body kept for a second attempt, in bytes.
pub const MAX_KEPT: usize = 64 * 1_024;

/// A request's body: kept whole, or passed on as it comes.
#[derive(Debug)]
pub enum Source {
    /// Small enough to be retried.
    Kept(Bytes),
    /// Sent once; `None` once it is gone.
    Streamed(Option<CallerBody>),
}

/// A long body on its way from the caller to an upstream.
#[derive(Debug)]
pub struct CallerBody {
    /// What was read already.
    begun: Option<Bytes>,
    rest: ReqBody,
    /// Set when the caller's bytes can't be read.
    broken: Arc<AtomicBool>,
}

impl Source {
    /// Keeps a body that is small; a longer one is streamed, its beginning read.
    ///
    /// # Errors
    /// Returns what went wrong while reading from the caller.
    pub async fn read(mut body: ReqBody) -> Result<Self, String> {
        let mut taken = BytesMut::new();
        while taken.len() <= MAX_KEPT {
            let Some(frame) = body.frame().await else {
                return Ok(Self::Kept(taken.freeze()));
            };
            let frame = frame.map_err(|e| e.to_string())?;
            if let Ok(data) = frame.into_data() {
                taken.extend_from_slice(&data);
            }
        }
        let (begun, broken) = (Some(taken.freeze()), Arc::default());
        Ok(Self::Streamed(Some(CallerBody { begun, rest: body, broken })))
    }

    /// Returns a body for one more attempt, if there is one.
    pub fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Kept(b) => Some(reqwest::Body::from(b.clone())),
            Self::Streamed(s) => s.take().map(reqwest::Body::wrap),
        }
    }

    /// Returns whether [`Source::take`] would give a body.
    #[must_use]
    pub const fn is_there(&self) -> bool {
        matches!(self, Self::Kept(_) | Self::Streamed(Some(_)))
    }

    /// Returns what of the body was read, all of it if it is kept.
    #[must_use]
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Kept(b) => b,
            Self::Streamed(s) => s.as_ref().and_then(|b| b.begun.as_deref()).unwrap_or_default(),
        }
    }

    /// Returns the length in bytes, if it is known before the end.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Kept(b) => Some(b.len() as u64),
            Self::Streamed(s) => s.as_ref().and_then(|b| b.size_hint().exact()),
        }
    }

    /// Returns what tells later whether the caller's bytes could be read.
    #[must_use]
    pub fn broken(&self) -> Option<Arc<AtomicBool>> {
        match self {
            Self::Streamed(Some(b)) => Some(Arc::clone(&b.broken)),
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
        if let Some(begun) = self.begun.take() {
            return Poll::Ready(Some(Ok(Frame::data(begun))));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            match &polled {
                Poll::Ready(Some(Err(_))) => self.broken.store(true, Ordering::Relaxed),
                // A trailer could name what a header may not: an organisation, a key.
                Poll::Ready(Some(Ok(f))) if f.is_trailers() => continue,
                _ => {}
            }
            return polled;
        }
    }

    fn is_end_stream(&self) -> bool {
        self.begun.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.begun.as_ref().map_or(0, |b| b.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}

/// An answer's body that reports to the policy how it ended.
#[derive(Debug)]
pub struct Watched {
    /// What was taken already, to be passed on first.
    begun: Option<Bytes>,
    inner: reqwest::Body,
    guard: Option<AttemptGuard>,
    _open: OpenGuard,
}

impl Watched {
    /// Watches a body until it ends.
    #[must_use]
    pub const fn new(
        begun: Option<Bytes>,
        inner: reqwest::Body,
        guard: AttemptGuard,
        open: OpenGuard,
    ) -> Self {
        Self { begun, inner, guard: Some(guard), _open: open }
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(mut g) = self.guard.take() {
            g.ended(outcome);
        }
    }
}

impl Body for Watched {
    type Data = Bytes;
    type Error = reqwest::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(begun) = self.begun.take() {
            return Poll::Ready(Some(Ok(Frame::data(begun))));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            // An error passes on, so that a cut reaches the caller as a cut.
            Poll::Ready(Some(Err(_))) => self.end(Outcome::Wrong),
            Poll::Ready(None) => self.end(Outcome::Whole),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => self.end(Outcome::Whole),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.begun.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.begun.is_some() { SizeHint::default() } else { self.inner.size_hint() }
    }
}
