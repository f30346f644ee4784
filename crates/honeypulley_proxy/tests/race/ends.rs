//! Upstreams that end under a request, seen by a box that knows of no others.

use crate::support::{REQUEST, TestGate, boxed, race};
use honeypulley_policy::quarantine::Standing;
use honeypulley_supervisor::clock::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Starts an upstream that ends the connection of each request, and its port with the first
/// one if `ends`; it counts in `taken` when it takes its first.
async fn upstream(ends: bool, taken: &Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    let taken = Arc::clone(taken);
    tokio::spawn(async move {
        let take = async || {
            let (mut s, _) = listener.accept().await.expect("one comes");
            let _ = s.read(&mut [0; 1_024]).await;
            s
        };
        let first = take().await;
        taken.fetch_add(1, Ordering::Relaxed);
        if ends {
            drop(listener);
            drop(first);
            return;
        }
        drop(first);
        loop {
            drop(take().await);
        }
    });
    addr
}

/// A box before some such upstreams, each of which has been sent the request.
async fn after(count: usize, ends: bool) -> TestGate {
    let taken = Arc::default();
    let mut addrs = Vec::new();
    for _ in 0..count {
        addrs.push(upstream(ends, &taken).await);
    }
    let on = boxed(&addrs, Clock::start());
    // It may choose one again that it has been at.
    while taken.load(Ordering::Relaxed) < count {
        let failed = race(&on, Duration::from_secs(5)).run().await;
        assert!(failed.is_err(), "no upstream answers");
    }
    // All boxes have told of an end after a moment, which is waited for.
    tokio::time::sleep(Duration::from_millis(60)).await;
    on
}

fn standing(on: &TestGate) -> Standing {
    on.gate.suspects.standing(REQUEST, on.gate.now())
}

#[tokio::test]
async fn a_request_under_which_three_upstreams_ended_is_held() {
    assert!(matches!(standing(&after(3, true).await), Standing::Held { .. }));
}

#[tokio::test]
async fn two_ends_leave_it_one_send_a_try() {
    assert_eq!(standing(&after(2, true).await), Standing::Single);
}

#[tokio::test]
async fn connections_that_are_closed_by_upstreams_that_run_on_say_nothing() {
    assert_eq!(standing(&after(3, false).await), Standing::Clear);
}
