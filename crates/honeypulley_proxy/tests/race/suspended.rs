//! A request in hand while the box's machine is suspended.

use crate::support::{boxed, race};
use honeypulley_supervisor::clock::Clock;
use http::StatusCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time since boot, which the test moves on.
static BOOT_MS: AtomicU64 = AtomicU64::new(0);

fn boot() -> Duration {
    Duration::from_millis(BOOT_MS.load(Ordering::Relaxed))
}

/// The caller's deadline passed during the suspension: timers alone would hold the request
/// for another thirty seconds.
#[tokio::test]
async fn a_request_whose_deadline_passed_is_answered_at_once_on_waking() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    let upstream = tokio::spawn(async move {
        let _connection = listener.accept().await;
        std::future::pending::<()>().await;
    });
    let gate = boxed(&[addr], Clock::start_by(boot));
    let race = race(&gate, Duration::from_secs(30));
    let wakes = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        BOOT_MS.fetch_add(60_000, Ordering::Relaxed);
        Instant::now()
    };
    let answer = tokio::time::timeout(Duration::from_secs(5), race.run());
    let (answer, woke) = tokio::join!(answer, wakes);
    let own = answer.expect("it does not wait on").expect_err("it was not served");
    assert_eq!(own.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(woke.elapsed() < Duration::from_secs(2), "{:?}", woke.elapsed());
    upstream.abort();
}
