//! Tests requests in flight when the process is about to end.

use crate::support::{race, test_gate};
use honeypulley_policy::shutdown::{ANSWER_MARGIN, PlannedStop};
use honeypulley_proxy::answer::Execution;
use honeypulley_supervisor::clock::Clock;
use http::StatusCode;
use rstest::rstest;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time after the start of the request at which the stop begins.
const DELAY: Duration = Duration::from_millis(100);
/// Time from the stop to the end of the process.
const GRACE: Duration = Duration::from_millis(800);

/// Guards against a connection that is cut without an answer.
#[rstest]
#[case::with_a_limit(Some(Duration::from_secs(30)))]
#[case::without_a_limit(None)]
#[tokio::test]
async fn a_request_at_a_hanging_upstream_is_answered_before_the_end(
    #[case] left: Option<Duration>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    let upstream = tokio::spawn(async move {
        let _connection = listener.accept().await;
        std::future::pending::<()>().await;
    });
    let test = test_gate(&[addr], Clock::start());
    let mut race = race(&test, left.unwrap_or_default());
    race.deadline = left.map(|l| test.gate.now() + l);
    let began = Instant::now();
    let stop = async {
        tokio::time::sleep(DELAY).await;
        test.gate.stop.begin(PlannedStop::new(test.gate.now(), Some(GRACE)));
    };
    let answer = tokio::time::timeout(Duration::from_secs(5), race.run());
    let (answer, ()) = tokio::join!(answer, stop);
    let own = answer.expect("the answer comes in time").expect_err("no upstream answers");
    assert_eq!((own.status, own.execution), (StatusCode::GATEWAY_TIMEOUT, Execution::Unknown));
    assert_eq!(own.reason, "the box stopped with 1 attempt(s) open");
    let took = began.elapsed();
    assert!(took >= DELAY + GRACE - ANSWER_MARGIN && took < DELAY + GRACE, "{took:?}");
    upstream.abort();
}
