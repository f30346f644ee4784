//! Tests what a box learns of upstreams while it is partitioned from them.

use crate::support::{TestGate, race, test_gate, test_gate_with_relays};
use honeypulley_policy::balance::Update;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use honeypulley_proxy::relay::{RelayKey, RelayPeers, RelayRequest, Relays};
use honeypulley_supervisor::clock::Clock;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Returns an address that refuses connections.
async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    listener.local_addr().expect("the listener is bound").to_string()
}

/// Starts an upstream that accepts connections and closes them.
async fn open_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    addr
}

async fn send(test: &TestGate) {
    let _ = race(test, Duration::from_secs(5)).run().await;
}

/// Returns the number of observations that the box has announced.
fn observations(test: &TestGate) -> usize {
    let updates = test.balancer.lock().take_updates();
    updates.iter().filter(|u| matches!(u, Update::Seen { .. })).count()
}

fn is_partitioned(test: &TestGate) -> bool {
    test.gate.paths.lock().is_partitioned(NameId::of("s"))
}

/// Guards against reports of a partitioned box by which the others take all upstreams for ill.
#[tokio::test]
async fn a_box_that_reaches_no_upstream_reports_none_as_failed() {
    let mut addrs = Vec::new();
    for _ in 0..6 {
        addrs.push(closed_address().await);
    }
    let test = test_gate(&addrs, Clock::start());
    send(&test).await;
    assert_eq!(observations(&test), 0);
    assert!(is_partitioned(&test));
}

#[tokio::test]
async fn an_upstream_that_alone_refuses_connections_is_reported_at_once() {
    let test = test_gate(
        &[closed_address().await, open_address().await, open_address().await],
        Clock::start(),
    );
    for _ in 0..3 {
        send(&test).await;
    }
    assert!(!is_partitioned(&test));
    assert!(observations(&test) > 0);
}

/// Records to which services another box was asked for, and knows none.
#[derive(Debug, Default)]
struct NoPeers(Mutex<Vec<NameId>>);

impl RelayPeers for NoPeers {
    fn choose(&self, wanted: &RelayRequest<'_>, _: Time) -> Option<SocketAddr> {
        self.0.lock().push(wanted.service);
        None
    }
    fn record_unusable(&self, _: SocketAddr, _: NameId, _: Time) {}
    fn announce(&self, _: NameId, _: bool) {}
}

/// A box that reaches some upstreams is not partitioned, and its requests still need another box.
#[tokio::test]
async fn a_request_is_offered_to_another_box_after_two_failed_connections() {
    let mut addrs = vec![open_address().await, open_address().await];
    for _ in 0..6 {
        addrs.push(closed_address().await);
    }
    let peers = Arc::new(NoPeers::default());
    let relays = Relays { peers: Arc::<NoPeers>::clone(&peers), key: RelayKey::new([0; 32]) };
    let test = test_gate_with_relays(&addrs, Clock::start(), Some(relays));
    for _ in 0..20 {
        send(&test).await;
    }
    assert!(!peers.0.lock().is_empty());
}

/// Without another upstream to compare with, a refused connection is a fault of the upstream.
#[tokio::test]
async fn the_only_upstream_of_a_service_is_reported_at_once() {
    let test = test_gate(&[closed_address().await], Clock::start());
    send(&test).await;
    assert!(!is_partitioned(&test));
    assert!(observations(&test) > 0);
}
