//! Tests a request in flight while the machine of the box is suspended.

use crate::support::{race, test_gate};
use honeypulley_supervisor::clock::Clock;
use http::StatusCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Simulated time since boot, which the test advances.
static BOOT_MS: AtomicU64 = AtomicU64::new(0);

fn time_since_boot() -> Duration {
    Duration::from_millis(BOOT_MS.load(Ordering::Relaxed))
}

/// Guards against late answers after a suspension.
///
/// Timers don't advance during a suspension. If only they were used, the request would stay open
/// for another 30 s although its deadline has passed.
#[tokio::test]
async fn a_request_past_its_deadline_is_answered_at_once_after_resume() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    let upstream = tokio::spawn(async move {
        let _connection = listener.accept().await;
        std::future::pending::<()>().await;
    });
    let gate = test_gate(&[addr], Clock::with_source(time_since_boot));
    let race = race(&gate, Duration::from_secs(30));
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        BOOT_MS.fetch_add(60_000, Ordering::Relaxed);
        Instant::now()
    };
    let answer = tokio::time::timeout(Duration::from_secs(5), race.run());
    let (answer, resumed_at) = tokio::join!(answer, resume);
    let own = answer.expect("the answer comes at once").expect_err("no upstream answers");
    assert_eq!(own.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(resumed_at.elapsed() < Duration::from_secs(2), "{:?}", resumed_at.elapsed());
    upstream.abort();
}
