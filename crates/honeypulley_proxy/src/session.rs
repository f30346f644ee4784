//! Relays the bytes of a session, and closes it in an orderly way before the box stops.

use std::io;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf, copy, copy_bidirectional, sink};
use tokio::time::timeout;

/// Time in which bytes that were read are passed on, once the box stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// Time in which both sides close their directions, once the box stops.
///
/// Both times together are shorter than the margin that a stop leaves for answers.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of a session.
#[derive(Debug)]
pub struct SessionEnd {
    /// Bytes passed on to the upstream.
    pub up: u64,
    /// Bytes passed on to the caller.
    pub down: u64,
    /// Reason for the end.
    pub cause: EndCause,
}

/// Reason for the end of a session.
#[derive(Debug)]
pub enum EndCause {
    /// Both sides ended their directions.
    Closed,
    /// A side failed.
    Failed(io::Error),
    /// The box stops.
    Stopped {
        /// Whether all bytes that were read have been passed on.
        is_flushed: bool,
    },
}

/// Relays bytes in both directions until the session ends, or until `stop` completes.
///
/// On `stop`, both sides get what was read so far, followed by the end of the stream.
pub async fn relay<C, U>(caller: C, upstream: U, stop: impl Future<Output = ()>) -> SessionEnd
where
    C: AsyncRead + AsyncWrite + Unpin,
    U: AsyncRead + AsyncWrite + Unpin,
{
    let is_stopping = AtomicBool::new(false);
    let mut caller = Side { stream: caller, is_stopping: &is_stopping, written: 0 };
    let mut upstream = Side { stream: upstream, is_stopping: &is_stopping, written: 0 };
    let cause = {
        let mut copy = pin!(copy_bidirectional(&mut caller, &mut upstream));
        tokio::select! {
            biased;
            ended = &mut copy => ended.map_or_else(EndCause::Failed, |_| EndCause::Closed),
            () = stop => {
                is_stopping.store(true, Ordering::Relaxed);
                let flushed = timeout(FLUSH_TIMEOUT, copy).await;
                EndCause::Stopped { is_flushed: matches!(flushed, Ok(Ok(_))) }
            }
        }
    };
    if matches!(cause, EndCause::Stopped { .. }) {
        tokio::join!(close(&mut caller.stream), close(&mut upstream.stream));
    }
    SessionEnd { up: upstream.written, down: caller.written, cause }
}

/// Ends both directions of a stream.
///
/// Bytes that nobody has read would make the system reset the connection, so they are discarded.
async fn close(stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) {
    let close = async {
        stream.shutdown().await?;
        copy(stream, &mut sink()).await
    };
    // A side that goes on sending is reset.
    let _ = timeout(CLOSE_TIMEOUT, close).await;
}

/// One side of a session, whose incoming direction ends once the box stops.
#[derive(Debug)]
struct Side<'a, S> {
    stream: S,
    is_stopping: &'a AtomicBool,
    /// Bytes written to this side.
    written: u64,
}

impl<S: AsyncRead + Unpin> AsyncRead for Side<'_, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_stopping.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Side<'_, S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written += n as u64;
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
