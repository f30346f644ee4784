//! Request and answer bodies that pass through the proxy.

use crate::attempt::{AttemptGuard, innermost};
use crate::buffers::{BodyBudget, BudgetExhausted, STREAM_WINDOW, StreamWindow};
use crate::gate::ProxyState;
use crate::open::OpenGuard;
use bytes::{Bytes, BytesMut};
use honeypulley_policy::router::Outcome;
use honeypulley_policy::time::Time;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use parking_lot::Mutex;
use salvo::http::ReqBody;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::Sleep;

/// Longest request body that is buffered for retries, in bytes.
pub const MAX_BUFFERED: usize = 64 * 1_024;

/// Reason for which a caller's body was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the encoding is invalid.
    #[error("the body can't be read: {0}")]
    Unreadable(String),
    /// The body is longer than the routing table allows.
    #[error("the body is longer than {0} bytes")]
    TooLong(u64),
    /// The box has no memory for it.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
}

/// A request body, either buffered or streamed.
#[derive(Debug)]
pub enum Source {
    /// Buffered, and available for retries.
    Buffered(Bytes),
    /// Streamed to the first attempt that sends any of it.
    Streamed(Stream),
}

/// A long request body that is available until an attempt begins to send it.
#[derive(Debug)]
pub struct Stream {
    /// Data that was already read.
    prefix: Bytes,
    length: Option<u64>,
    unsent: Arc<Mutex<Option<CallerBody>>>,
    failure: Arc<Mutex<Option<BodyError>>>,
}

/// A long request body that is streamed from the caller to an upstream.
#[derive(Debug)]
struct CallerBody {
    prefix: Option<Bytes>,
    rest: ReqBody,
    window: Arc<StreamWindow>,
    /// Bytes that may still be read from the caller.
    remaining: u64,
    /// Longest accepted body.
    max_bytes: u64,
    failure: Arc<Mutex<Option<BodyError>>>,
}

impl Source {
    /// Buffers a body of up to [`MAX_BUFFERED`] bytes; a longer one is streamed.
    ///
    /// # Errors
    /// Returns an error if reading from the caller fails, the body exceeds `max_bytes`, or the
    /// budget is exhausted.
    pub async fn read(
        mut body: ReqBody,
        max_bytes: u64,
        budget: &BodyBudget,
    ) -> Result<Self, BodyError> {
        if body.size_hint().lower() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        let mut share = budget.begin();
        let mut buffer = BytesMut::new();
        while buffer.len() <= MAX_BUFFERED {
            let Some(frame) = body.frame().await else {
                return Ok(Self::Buffered(share.attach(buffer.freeze())));
            };
            let frame = frame.map_err(|e| BodyError::Unreadable(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                let capacity = buffer.capacity();
                buffer.reserve(data.len());
                share.add(buffer.capacity() - capacity)?;
                buffer.extend_from_slice(&data);
            }
            if buffer.len() as u64 > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
        }
        share.add(STREAM_WINDOW)?;
        let prefix = share.attach(buffer.freeze());
        Ok(Self::Streamed(Stream::new(prefix, body, max_bytes)))
    }

    /// Returns the body for another attempt, if it is still available.
    #[must_use]
    pub fn body(&self) -> Option<reqwest::Body> {
        match self {
            Self::Buffered(b) => Some(reqwest::Body::from(b.clone())),
            Self::Streamed(s) => s.is_unsent().then(|| reqwest::Body::wrap(s.attempt_body())),
        }
    }

    /// Returns whether [`Source::body`] would return a body.
    #[must_use]
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(s) => s.is_unsent(),
        }
    }

    /// Returns the data read so far, which is the whole body if it is buffered.
    #[must_use]
    pub fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(b) => b,
            Self::Streamed(s) => &s.prefix,
        }
    }

    /// Returns the length in bytes, if it is known in advance.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(b) => Some(b.len() as u64),
            Self::Streamed(s) => s.length,
        }
    }

    /// Returns the cell that receives the error if reading from the caller fails.
    #[must_use]
    pub fn failure(&self) -> Option<Arc<Mutex<Option<BodyError>>>> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(s) => Some(Arc::clone(&s.failure)),
        }
    }
}

impl Stream {
    fn new(prefix: Bytes, rest: ReqBody, max_bytes: u64) -> Self {
        let failure = Arc::<Mutex<Option<BodyError>>>::default();
        let read = prefix.len() as u64;
        let length = rest.size_hint().exact().map(|n| n + read);
        let body = CallerBody {
            prefix: Some(prefix.clone()),
            rest,
            window: Arc::default(),
            remaining: max_bytes - read,
            max_bytes,
            failure: Arc::clone(&failure),
        };
        Self { prefix, length, unsent: Arc::new(Mutex::new(Some(body))), failure }
    }

    fn is_unsent(&self) -> bool {
        self.unsent.lock().is_some()
    }

    fn attempt_body(&self) -> AttemptBody {
        AttemptBody { unsent: Arc::clone(&self.unsent), body: None, length: self.length }
    }
}

/// The body of one attempt, which claims the caller's body when it is first read.
///
/// An attempt without a connection reads nothing, so the body stays available for another one.
#[derive(Debug)]
struct AttemptBody {
    unsent: Arc<Mutex<Option<CallerBody>>>,
    body: Option<CallerBody>,
    length: Option<u64>,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = &mut *self;
        if this.body.is_none() {
            this.body = this.unsent.lock().take();
        }
        match &mut this.body {
            Some(b) => Pin::new(b).poll_frame(cx),
            None => Poll::Ready(Some(Err(std::io::Error::other(
                "another attempt has begun to send the body",
            )))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.body, self.length) {
            (Some(b), _) => b.size_hint(),
            (None, Some(n)) => SizeHint::with_exact(n),
            (None, None) => SizeHint::default(),
        }
    }
}

impl CallerBody {
    /// Counts received data; returns an error if the body becomes too long.
    fn count(&mut self, bytes: usize) -> Result<(), std::io::Error> {
        match self.remaining.checked_sub(bytes as u64) {
            Some(left) => {
                self.remaining = left;
                Ok(())
            }
            None => Err(self.fail(BodyError::TooLong(self.max_bytes))),
        }
    }

    fn fail(&self, e: BodyError) -> std::io::Error {
        let text = e.to_string();
        *self.failure.lock() = Some(e);
        std::io::Error::other(text)
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
            if self.window.poll_room(cx).is_pending() {
                return Poll::Pending;
            }
            let frame = match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(e))) => {
                    let e = self.fail(BodyError::Unreadable(e.to_string()));
                    return Poll::Ready(Some(Err(e)));
                }
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            };
            // Trailers are dropped, since they could contain headers that are stripped from
            // requests, such as the organisation or the key.
            let Ok(data) = frame.into_data() else { continue };
            let counted = self.count(data.len());
            let frame = counted.map(|()| Frame::data(self.window.attach(data)));
            return Poll::Ready(Some(frame));
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
    open: OpenGuard,
    deadline: Option<BodyDeadline>,
    /// Whether the upstream has yet to send what follows.
    is_waiting: bool,
}

/// Time at which an answer that is not whole is cut.
#[derive(Debug)]
struct BodyDeadline {
    at: Time,
    gate: Arc<ProxyState>,
    /// Wakes the task; it doesn't count suspensions, unlike the clock.
    timer: Pin<Box<Sleep>>,
}

impl BodyDeadline {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.gate.now() >= self.at {
            return Poll::Ready(());
        }
        self.timer.as_mut().poll(cx)
    }
}

impl TrackedBody {
    /// Wraps a body, starting with the data that was already read.
    #[must_use]
    pub const fn new(
        prefix: Option<Bytes>,
        inner: reqwest::Body,
        guard: Option<AttemptGuard>,
        open: OpenGuard,
    ) -> Self {
        Self { prefix, inner, guard, open, deadline: None, is_waiting: false }
    }

    /// Cuts the answer at `deadline`, so that the caller notices that it is not whole.
    ///
    /// # Panics
    /// Panics outside of a tokio runtime.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Option<Time>, gate: &Arc<ProxyState>) -> Self {
        self.deadline = deadline.map(|at| BodyDeadline {
            at,
            gate: Arc::clone(gate),
            timer: Box::pin(tokio::time::sleep(at.since(gate.now()))),
        });
        self
    }

    fn finish(&mut self, outcome: Outcome) {
        self.open.finish();
        if let Some(mut g) = self.guard.take() {
            g.ended(outcome);
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // The server does not read a body that it knows to be empty.
        if self.is_end_stream() {
            self.open.finish();
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.deadline.as_mut().is_some_and(|d| d.poll(cx).is_ready()) {
            let why = "the deadline passed within the answer";
            self.open.fail(why);
            // If the upstream has sent everything so far, the caller reads too slowly.
            let outcome = if self.is_waiting { Outcome::TimedOut } else { Outcome::Cancelled };
            self.finish(outcome);
            return Poll::Ready(Some(Err(std::io::Error::new(ErrorKind::TimedOut, why))));
        }
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        self.is_waiting = polled.is_pending();
        match &polled {
            // The error is forwarded, so that the caller notices the truncation.
            Poll::Ready(Some(Err(e))) => {
                self.open.fail(&innermost(e));
                self.finish(Outcome::Malformed);
            }
            Poll::Ready(None) => self.finish(Outcome::Completed),
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => {
                self.finish(Outcome::Completed);
            }
            _ => {}
        }
        polled.map(|frame| frame.map(|f| f.map_err(std::io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.prefix.is_some() { SizeHint::default() } else { self.inner.size_hint() }
    }
}
