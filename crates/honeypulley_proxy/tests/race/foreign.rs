//! Tests that answers to other requests are rejected together with their signals.

use crate::support::{race, test_gate};
use honeypulley_supervisor::clock::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts an upstream that echoes a wrong attempt ID and counts requests in `received`.
async fn misrouting_upstream(received: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let _ = s.read(&mut [0; 1_024]).await;
            received.fetch_add(1, Ordering::Relaxed);
            let head = "HTTP/1.1 200 OK\r\nhoneypulley-attempt: another\r\n\
                        honeypulley-drain: 1\r\ncontent-length: 0\r\n\r\n";
            let _ = s.write_all(head.as_bytes()).await;
        }
    });
    addr
}

/// Guards against applying signals of an answer that may come from another upstream instance.
#[tokio::test]
async fn an_answer_to_another_request_announces_no_shutdown() {
    let received = Arc::<AtomicUsize>::default();
    let test = test_gate(&[misrouting_upstream(Arc::clone(&received)).await], Clock::start());
    for _ in 0..2 {
        let failed = race(&test, Duration::from_secs(5)).run().await;
        assert!(failed.is_err(), "the answer belongs to another request");
    }
    assert_eq!(received.load(Ordering::Relaxed), 2);
}
