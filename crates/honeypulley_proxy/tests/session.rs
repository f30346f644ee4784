//! Bytes of a session, and its end when the box stops.

use honeypulley_proxy::session::{EndCause, SessionEnd, relay};
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time in which a session closes once the box stops.
const CLOSE_TIME: Duration = Duration::from_millis(150);
/// Time in which bytes on loopback arrive.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// A session and both of its peers.
struct Running<S> {
    caller: S,
    upstream: S,
    stop: oneshot::Sender<()>,
    session: JoinHandle<SessionEnd>,
}

/// Starts a session between `inner` streams whose other ends are `outer`.
fn start<S, T>(outer: (S, S), inner: (T, T)) -> Running<S>
where
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
{
    let (stop, stopped) = oneshot::channel();
    let stopped = async {
        if stopped.await.is_err() {
            pending::<()>().await;
        }
    };
    let session = tokio::spawn(relay(inner.0, inner.1, stopped));
    Running { caller: outer.0, upstream: outer.1, stop, session }
}

fn in_memory(capacity: usize) -> Running<DuplexStream> {
    let ((caller, a), (upstream, b)) = (duplex(capacity), duplex(capacity));
    start((caller, upstream), (a, b))
}

async fn over_tcp() -> io::Result<Running<TcpStream>> {
    let pair = async || {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let outer = TcpStream::connect(listener.local_addr()?).await?;
        Ok::<_, io::Error>((outer, listener.accept().await?.0))
    };
    let ((caller, a), (upstream, b)) = (pair().await?, pair().await?);
    Ok(start((caller, upstream), (a, b)))
}

async fn pass(from: &mut DuplexStream, to: &mut DuplexStream, text: &[u8]) {
    from.write_all(text).await.expect("the session is open");
    let mut got = vec![0; text.len()];
    to.read_exact(&mut got).await.expect("the session is open");
    assert_eq!(got, text);
}

async fn read_all(mut s: impl AsyncReadExt + Unpin) -> io::Result<Vec<u8>> {
    let mut all = Vec::new();
    s.read_to_end(&mut all).await?;
    Ok(all)
}

#[tokio::test(start_paused = true)]
async fn a_session_lasts_until_its_sides_close() {
    let mut s = in_memory(64);
    pass(&mut s.caller, &mut s.upstream, b"hello").await;
    pass(&mut s.upstream, &mut s.caller, b"hi").await;
    s.caller.shutdown().await.expect("the session is open");
    sleep(Duration::from_secs(3_600)).await;
    s.upstream.write_all(b"bye").await.expect("the other direction is open");
    drop(s.upstream);
    assert_eq!(read_all(s.caller).await.expect("the end of the stream"), b"bye");
    let end = s.session.await.expect("the session ends");
    assert_eq!((end.up, end.down), (5, 5));
    assert!(matches!(end.cause, EndCause::Closed), "{end:?}");
}

/// Guards against sessions that are cut by the end of the process.
#[tokio::test(start_paused = true)]
async fn a_stop_ends_both_directions() {
    let mut s = in_memory(64);
    pass(&mut s.caller, &mut s.upstream, b"hello").await;
    s.stop.send(()).expect("the session runs");
    let (up, down) = tokio::join!(read_all(s.upstream), read_all(s.caller));
    assert_eq!((up.expect("the end of the stream").len(), down.expect("the end").len()), (0, 0));
    let end = s.session.await.expect("the session ends");
    assert_eq!((end.up, end.down), (5, 0));
    assert!(matches!(end.cause, EndCause::Stopped { is_flushed: true }), "{end:?}");
}

/// Guards against the loss of bytes that the box has read but not passed on.
#[tokio::test(start_paused = true)]
async fn what_was_read_is_passed_on_before_the_end() {
    let mut s = in_memory(4);
    s.upstream.write_all(b"123456").await.expect("the box reads");
    sleep(Duration::from_millis(10)).await;
    s.stop.send(()).expect("the session runs");
    sleep(Duration::from_millis(10)).await;
    drop(s.upstream);
    assert_eq!(read_all(s.caller).await.expect("the end of the stream"), b"123456");
    let end = s.session.await.expect("the session ends");
    assert_eq!(end.down, 6);
    assert!(matches!(end.cause, EndCause::Stopped { is_flushed: true }), "{end:?}");
}

/// Guards against a side that reads nothing and keeps the session open until the process ends.
#[tokio::test(start_paused = true)]
async fn a_side_that_reads_nothing_does_not_prolong_the_end() {
    let mut s = in_memory(4);
    let _ = tokio::time::timeout(CLOSE_TIME, s.caller.write_all(&[7; 100_000])).await;
    let began = Instant::now();
    s.stop.send(()).expect("the session runs");
    let end = s.session.await.expect("the session ends");
    assert!(began.elapsed() <= CLOSE_TIME, "{:?}", began.elapsed());
    assert_eq!(end.up, 4);
    assert!(matches!(end.cause, EndCause::Stopped { is_flushed: false }), "{end:?}");
    assert_eq!(read_all(s.upstream).await.expect("the end of the stream").len(), 4);
}

/// Guards against a reset of a connection whose bytes the box has not read.
#[tokio::test]
async fn unread_bytes_do_not_reset_the_connection() -> io::Result<()> {
    let Running { mut caller, mut upstream, stop, session } = over_tcp().await?;
    // Neither side reads, so that the buffers of both directions fill up.
    let flood = vec![7; 64_000_000];
    let floods = async { tokio::join!(caller.write_all(&flood), upstream.write_all(&flood)) };
    assert!(tokio::time::timeout(SETTLE_TIME, floods).await.is_err(), "all bytes were taken");
    stop.send(()).expect("the session runs");
    let end = session.await?;
    assert!(matches!(end.cause, EndCause::Stopped { is_flushed: false }), "{end:?}");
    let (up, down) = tokio::join!(read_all(upstream), read_all(caller));
    assert_eq!((up?.len() as u64, down?.len() as u64), (end.up, end.down));
    Ok(())
}
