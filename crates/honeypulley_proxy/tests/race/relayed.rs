//! Tests the retry budget and the warm-up limits for requests that go through another box.

use crate::support::{TestGate, race, test_gate, test_gate_with_relays};
use honeypulley_policy::balance::{BudgetUsage, UpstreamEntry};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use honeypulley_proxy::answer::Execution;
use honeypulley_proxy::race::Race;
use honeypulley_proxy::relay::{RelayKey, RelayPeers, RelayRequest, Relays};
use honeypulley_supervisor::clock::Clock;
use http::StatusCode;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Rejection of an upstream.
const REJECTED: &str = "HTTP/1.1 503 Full\r\nhoneypulley-not-run: 1\r\ncontent-length: 0\r\n\r\n";
/// Rejection of a box to which a request was relayed.
const RELAY_REJECTED: &str =
    "HTTP/1.1 503 Full\r\nhoneypulley-relay-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
/// Answer of a box that gave up a relayed request at its time limit.
const RELAY_LATE: &str =
    "HTTP/1.1 504 Late\r\nhoneypulley-relay-outcome: unknown\r\ncontent-length: 0\r\n\r\n";
/// Answer of a box whose upstream failed.
const RELAY_FAILED: &str =
    "HTTP/1.1 502 Failed\r\nhoneypulley-relay-outcome: unknown\r\ncontent-length: 0\r\n\r\n";
/// Answer that names no outcome, so that a box may not have given it.
const UNMARKED_LATE: &str = "HTTP/1.1 504 Late\r\ncontent-length: 0\r\n\r\n";
const SERVED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Starts a server that answers each request with the same text, and counts the requests.
async fn server(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            if s.read(&mut [0; 1_024]).await.is_ok_and(|n| n > 0) {
                counter.fetch_add(1, Ordering::Relaxed);
                let _ = s.write_all(answer.as_bytes()).await;
            }
        }
    });
    (addr, requests)
}

/// Returns an address that refuses connections.
async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    listener.local_addr().expect("the listener is bound").to_string()
}

/// Always relays to one box.
#[derive(Debug)]
struct OnePeer(SocketAddr);

impl RelayPeers for OnePeer {
    fn choose(&self, wanted: &RelayRequest<'_>, _: Time) -> Option<SocketAddr> {
        (!wanted.tried.contains(&self.0)).then_some(self.0)
    }
    fn record_unusable(&self, _: SocketAddr, _: NameId, _: Time) {}
    fn announce(&self, _: NameId, _: bool) {}
}

fn relayed_race(test: &TestGate) -> Race {
    Race { relayed: true, ..race(test, Duration::from_secs(5)) }
}

fn budget_use(test: &TestGate) -> BudgetUsage {
    test.gate.policy.lock().budget_use(test.service, test.gate.now())
}

/// Guards against retries that no box counts: the box that sends them is charged.
#[tokio::test]
async fn a_retry_of_a_relayed_request_is_charged_to_the_box_that_sends_it() {
    let (first, second) = (server(REJECTED).await, server(REJECTED).await);
    let test = test_gate(&[first.0.to_string(), second.0.to_string()], Clock::start());
    relayed_race(&test).run().await.expect_err("both upstreams reject the request");
    assert_eq!(budget_use(&test).own, 1, "one retry, on the second upstream");
    assert_eq!(first.1.load(Ordering::Relaxed) + second.1.load(Ordering::Relaxed), 2);
}

/// Guards against a request that counts twice in the budget, and one that both boxes retry.
#[tokio::test]
async fn a_box_that_relays_neither_counts_the_request_nor_retries_it() {
    let (peer, requests) = server(RELAY_REJECTED).await;
    let mut addrs = Vec::new();
    for _ in 0..6 {
        addrs.push(closed_address().await);
    }
    let relays = Relays { peers: Arc::new(OnePeer(peer)), key: RelayKey::new([0; 32]) };
    let test = test_gate_with_relays(&addrs, Clock::start(), Some(relays));
    test.balancer.lock().record_request(test.service, test.gate.now());
    assert_eq!(budget_use(&test).requests, 1);
    let own = race(&test, Duration::from_secs(5)).run().await.expect_err("the box rejects it");
    assert_eq!(own.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(requests.load(Ordering::Relaxed), 1);
    let used = budget_use(&test);
    assert_eq!((used.requests, used.own), (0, 0));
}

/// Guards against a time-out at a relaying box that its caller sees as a failed upstream.
#[rstest]
#[case::at_the_limit(RELAY_LATE, StatusCode::GATEWAY_TIMEOUT)]
#[case::failed(RELAY_FAILED, StatusCode::BAD_GATEWAY)]
#[case::without_an_outcome(UNMARKED_LATE, StatusCode::BAD_GATEWAY)]
#[tokio::test]
async fn a_time_out_at_another_box_is_answered_as_a_time_out(
    #[case] answer: &'static str,
    #[case] status: StatusCode,
) {
    let (peer, requests) = server(answer).await;
    let mut addrs = Vec::new();
    for _ in 0..6 {
        addrs.push(closed_address().await);
    }
    let relays = Relays { peers: Arc::new(OnePeer(peer)), key: RelayKey::new([0; 32]) };
    let test = test_gate_with_relays(&addrs, Clock::start(), Some(relays));
    let own = race(&test, Duration::from_secs(5)).run().await.expect_err("the box has no answer");
    assert_eq!((own.status, own.execution), (status, Execution::Unknown));
    assert_eq!(requests.load(Ordering::Relaxed), 1);
}

/// Guards against relayed requests that pass the limit of an upstream that warms up.
#[tokio::test]
async fn relayed_requests_keep_within_the_warm_up_limit() {
    let (addr, requests) = server(SERVED).await;
    let test = test_gate(&[], Clock::start());
    let spec = ServiceSpec::builder().name("s").warm_up_rate(1.0).build();
    let member = Member {
        name: "cold".to_owned(),
        service: "s".to_owned(),
        addr: addr.to_string(),
        hall: "h".to_owned(),
        state: MemberState::Live,
    };
    let cold = UpstreamEntry { member, slots: 3, warm_up: Duration::from_secs(60), started: None };
    let now = test.gate.now();
    test.balancer.lock().set_services(&[spec], now);
    test.balancer.lock().set_upstream(cold, now);
    let began = test.gate.now();
    let mut served = 0;
    for _ in 0..20 {
        match relayed_race(&test).run().await {
            Ok(_) => served += 1,
            Err(own) => assert_eq!(own.status, StatusCode::SERVICE_UNAVAILABLE),
        }
    }
    // One request of burst, and one for each second that the test took.
    let allowed = 1 + test.gate.now().since(began).as_secs() as usize + 1;
    assert!((1..=allowed).contains(&served), "{served} served, {allowed} allowed");
    assert_eq!(requests.load(Ordering::Relaxed), served, "a rejected request was not run");
}
