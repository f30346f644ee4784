//! A stream that is read in small pieces.
//!
//! The HTTP server doubles its buffer whenever a read fills it, and keeps it for the life of the
//! connection. Clients that send faster than their requests are handled would thereby decide how
//! much memory a connection takes.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Largest read in bytes, below the size at which the HTTP server enlarges its buffer.
const MAX_READ: usize = 8_191;

/// A stream that is read in small pieces.
#[derive(Debug)]
pub struct PacedStream<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let length = buf.remaining().min(MAX_READ);
        let mut piece = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut piece))?;
        let read = piece.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
