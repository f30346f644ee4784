//! Tests which ends of a request count as abandoned.

use crate::support::test_gate;
use bytes::Bytes;
use cadence::{MetricSink, StatsdClient};
use futures::StreamExt;
use honeypulley_proxy::body::TrackedBody;
use honeypulley_proxy::gate::ProxyState;
use honeypulley_proxy::open::{OpenGuard, Recipient, SentAttempt};
use honeypulley_supervisor::clock::Clock;
use http_body_util::{BodyExt, StreamBody};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Keeps all metrics.
#[derive(Clone, Debug, Default)]
struct Metrics(Arc<Mutex<Vec<String>>>);

impl MetricSink for Metrics {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        self.0.lock().expect("no test panics with the lock").push(metric.to_owned());
        Ok(metric.len())
    }
}

impl Metrics {
    fn lines(&self) -> Vec<String> {
        self.0.lock().expect("no test panics with the lock").clone()
    }
}

/// Creates a box without upstreams, and its metrics.
fn observed_gate() -> (Arc<ProxyState>, Metrics) {
    let mut test = test_gate(&[], Clock::start());
    let metrics = Metrics::default();
    let gate = Arc::get_mut(&mut test.gate).expect("nothing else holds the state");
    gate.metrics = Arc::new(StatsdClient::from_sink("test", metrics.clone()));
    (test.gate, metrics)
}

fn before() -> Vec<String> {
    vec!["test.requests.abandoned:1|c|#answer:before".to_owned()]
}

fn within() -> Vec<String> {
    vec!["test.requests.abandoned:1|c|#answer:within".to_owned()]
}

/// Returns the body of an answer whose head was forwarded.
fn answering(gate: &Arc<ProxyState>, body: reqwest::Body) -> TrackedBody {
    let open = OpenGuard::new(gate, "r-1".into());
    let sent = SentAttempt { to: Recipient::Upstream("u0".into()), at: gate.now() };
    gate.open.record_answer(open.key(), sent);
    TrackedBody::new(None, body, None, open)
}

/// Returns a body of two frames, the second of which may be an error.
fn body(is_cut: bool) -> reqwest::Body {
    let frame =
        |text: &'static str| Ok(http_body::Frame::data(Bytes::from_static(text.as_bytes())));
    let second = if is_cut { Err(std::io::Error::other("cut")) } else { frame("whole") };
    let frames = futures::stream::iter([frame("half"), second]);
    reqwest::Body::wrap(StreamBody::new(frames))
}

#[test]
fn a_dropped_request_counts_unless_it_has_ended() {
    let (gate, metrics) = observed_gate();
    let mut ended = OpenGuard::new(&gate, "r-1".into());
    ended.finish();
    drop(ended);
    assert_eq!((gate.open.count(), metrics.lines().len()), (0, 0));
    drop(OpenGuard::new(&gate, "r-2".into()));
    assert_eq!((gate.open.count(), metrics.lines()), (0, before()));
}

#[test]
fn a_request_that_was_logged_at_the_end_of_the_process_counts_no_more() {
    let (gate, metrics) = observed_gate();
    let open = OpenGuard::new(&gate, "r-1".into());
    honeypulley_proxy::open::log_all_open(&gate);
    drop(open);
    assert!(metrics.lines().is_empty(), "{metrics:?}");
}

#[tokio::test]
async fn an_answer_that_is_dropped_half_read_counts() {
    let (gate, metrics) = observed_gate();
    let mut answer = answering(&gate, body(false));
    assert!(answer.frame().await.is_some_and(|f| f.is_ok()));
    assert_eq!(gate.open.count(), 1);
    drop(answer);
    assert_eq!((gate.open.count(), metrics.lines()), (0, within()));
}

#[tokio::test]
async fn an_answer_that_is_read_or_cut_does_not_count() {
    let (gate, metrics) = observed_gate();
    assert!(answering(&gate, body(false)).collect().await.is_ok());
    assert!(answering(&gate, body(true)).collect().await.is_err());
    assert_eq!(gate.open.count(), 0);
    assert!(metrics.lines().is_empty(), "{metrics:?}");
}

/// Guards against a line for each answer without a body, which the server does not read.
#[test]
fn an_empty_answer_that_is_not_read_does_not_count() {
    let (gate, metrics) = observed_gate();
    drop(answering(&gate, reqwest::Body::from("")));
    assert!(metrics.lines().is_empty(), "{metrics:?}");
}

/// Guards against answers of upstreams that go silent in the middle and are never ended.
#[tokio::test]
async fn an_answer_that_is_not_whole_is_cut_at_its_deadline() {
    let (gate, metrics) = observed_gate();
    let half = http_body::Frame::data(Bytes::from_static(b"half"));
    let frames = futures::stream::iter([Ok::<_, std::io::Error>(half)]);
    let silent = reqwest::Body::wrap(StreamBody::new(frames.chain(futures::stream::pending())));
    let deadline = gate.now() + Duration::from_millis(100);
    let mut answer = answering(&gate, silent).with_deadline(Some(deadline), &gate);
    assert!(answer.frame().await.is_some_and(|f| f.is_ok()));
    let next = tokio::time::timeout(Duration::from_millis(600), answer.frame()).await;
    let cut =
        next.expect("the answer is ended").expect("the end can't be taken for a whole answer");
    assert_eq!(cut.map_err(|e| e.kind()).err(), Some(std::io::ErrorKind::TimedOut));
    drop(answer);
    assert_eq!((gate.open.count(), metrics.lines().len()), (0, 0));
}

/// Bytes that trickle are not taken for progress beyond the deadline.
#[tokio::test]
async fn an_answer_that_trickles_is_cut_at_its_deadline() {
    let (gate, _) = observed_gate();
    let trickle = futures::stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let frame = http_body::Frame::data(Bytes::from_static(b"x"));
        Some((Ok::<_, std::io::Error>(frame), ()))
    });
    let trickle = reqwest::Body::wrap(StreamBody::new(Box::pin(trickle)));
    let deadline = gate.now() + Duration::from_millis(100);
    let answer = answering(&gate, trickle).with_deadline(Some(deadline), &gate);
    let whole = tokio::time::timeout(Duration::from_millis(600), answer.collect()).await;
    assert!(whole.expect("the answer is ended").is_err());
}
