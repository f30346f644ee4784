//! Tests the detection of upstreams that crash during a request, on a box without peers.

use crate::support::{REQUEST, TestGate, race, test_gate};
use honeypulley_policy::quarantine::Restriction;
use honeypulley_supervisor::clock::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Starts an upstream that closes the connection of each request without an answer.
///
/// With `crashes`, it also closes its port on the first request. The first request of each
/// upstream is counted in `received`.
async fn closing_upstream(crashes: bool, received: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    let received = Arc::clone(received);
    tokio::spawn(async move {
        // A connection without a request checks the path and counts as none.
        let accept = async || loop {
            let (mut s, _) = listener.accept().await.expect("a connection is accepted");
            if s.read(&mut [0; 1_024]).await.is_ok_and(|n| n > 0) {
                return s;
            }
        };
        let first = accept().await;
        received.fetch_add(1, Ordering::Relaxed);
        if crashes {
            drop(listener);
            drop(first);
            return;
        }
        drop(first);
        loop {
            drop(accept().await);
        }
    });
    addr
}

/// Returns a box whose upstreams have each received the request.
async fn with_upstreams(count: usize, crashes: bool) -> TestGate {
    let received = Arc::default();
    let mut addrs = Vec::new();
    for _ in 0..count {
        addrs.push(closing_upstream(crashes, &received).await);
    }
    let test = test_gate(&addrs, Clock::start());
    // The policy may pick an upstream again that has already received the request.
    while received.load(Ordering::Relaxed) < count {
        let failed = race(&test, Duration::from_secs(5)).run().await;
        assert!(failed.is_err(), "no upstream answers");
    }
    // A crash counts only after the time within which all boxes announce it.
    tokio::time::sleep(Duration::from_millis(60)).await;
    test
}

fn restriction(test: &TestGate) -> Restriction {
    test.gate.suspects.restriction(REQUEST, test.gate.now())
}

#[tokio::test]
async fn a_request_that_crashed_three_upstreams_is_held() {
    assert!(matches!(restriction(&with_upstreams(3, true).await), Restriction::Held { .. }));
}

#[tokio::test]
async fn a_request_that_crashed_two_upstreams_is_not_retried() {
    assert_eq!(restriction(&with_upstreams(2, true).await), Restriction::NoRetry);
}

#[tokio::test]
async fn closed_connections_of_running_upstreams_are_no_evidence() {
    assert_eq!(restriction(&with_upstreams(3, false).await), Restriction::Clear);
}
