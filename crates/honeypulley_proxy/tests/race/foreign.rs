//! Answers that belong to another request, and what they say of their sender.

use crate::support::{boxed, race};
use honeypulley_supervisor::clock::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts an upstream whose every answer is another request's; it counts requests in `taken`.
async fn upstream(taken: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let _ = s.read(&mut [0; 1_024]).await;
            taken.fetch_add(1, Ordering::Relaxed);
            let head = "HTTP/1.1 200 OK\r\nhoneypulley-attempt: another\r\n\
                        honeypulley-drain: 1\r\ncontent-length: 0\r\n\r\n";
            let _ = s.write_all(head.as_bytes()).await;
        }
    });
    addr
}

/// Guards against signals of an answer that may come from another incarnation.
#[tokio::test]
async fn an_answer_to_another_request_announces_no_shutdown() {
    let taken = Arc::<AtomicUsize>::default();
    let on = boxed(&[upstream(Arc::clone(&taken)).await], Clock::start());
    for _ in 0..2 {
        let failed = race(&on, Duration::from_secs(5)).run().await;
        assert!(failed.is_err(), "the answer belongs to another request");
    }
    assert_eq!(taken.load(Ordering::Relaxed), 2);
}
