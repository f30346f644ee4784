//! Test setup of a box with upstreams and a single request.

use bytes::Bytes;
use cadence::{NopMetricSink, StatsdClient};
use honeypulley_policy::balance::{Balancer, RetryHistory, RetryRule, UpstreamEntry};
use honeypulley_policy::chooser::RequestInfo;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Fingerprint, Fingerprints};
use honeypulley_policy::ranks::RequestPriority;
use honeypulley_policy::router::ServiceKey;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use honeypulley_proxy::answer::LocalAnswer;
use honeypulley_proxy::attempt::Outgoing;
use honeypulley_proxy::body::Source;
use honeypulley_proxy::buffers::AnswerBuffers;
use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::gate::{
    ProxyState, RequestOwner, Reuse, RouteDecision, RouteRequest, Routes, client,
};
use honeypulley_proxy::open::OpenRequests;
use honeypulley_proxy::race::Race;
use honeypulley_proxy::relay::Relays;
use honeypulley_proxy::suspects::LocalQuarantine;
use honeypulley_supervisor::clock::Clock;
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Fingerprints of the request used in these tests.
pub const REQUEST: Fingerprints = Fingerprints { caller: Fingerprint(1), content: Fingerprint(2) };

#[derive(Debug)]
struct NoRoutes;

impl Routes for NoRoutes {
    fn route(&self, _: &RouteRequest<'_>, _: Time) -> Result<RouteDecision, LocalAnswer> {
        unreachable!("tests start the race without routing")
    }
}

/// Serving path of a box, and the service of its upstreams.
pub struct TestGate {
    pub gate: Arc<ProxyState>,
    pub balancer: Arc<Mutex<Balancer>>,
    pub service: ServiceKey,
}

/// Creates a box with upstreams at these addresses.
pub fn test_gate(addrs: &[String], clock: Clock) -> TestGate {
    test_gate_with_relays(addrs, clock, None)
}

/// Creates a box with upstreams at these addresses, which relays requests.
pub fn test_gate_with_relays(addrs: &[String], clock: Clock, relays: Option<Relays>) -> TestGate {
    let mut balancer =
        Balancer::new("h", RetryRule::default(), 7).with_retry_history(RetryHistory::Empty);
    balancer.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    for (i, addr) in addrs.iter().enumerate() {
        let member = Member {
            name: format!("u{i}"),
            service: "s".to_owned(),
            addr: addr.clone(),
            hall: "h".to_owned(),
            state: MemberState::Live,
        };
        let listed = UpstreamEntry { member, slots: 3, warm_up: Duration::ZERO, started: None };
        balancer.set_upstream(listed, Time::ZERO);
    }
    let service = balancer.service("s").expect("the service was added");
    let balancer = Arc::new(Mutex::new(balancer));
    let gate = ProxyState {
        policy: Arc::<Mutex<Balancer>>::clone(&balancer),
        routes: Arc::new(NoRoutes),
        dialect: Dialect::default(),
        fingerprints: Fingerprinter::new([0; 32]),
        suspects: Arc::<LocalQuarantine>::default(),
        source: None,
        buffers: AnswerBuffers::default(),
        paths: Mutex::default(),
        relays,
        client: client(None, Reuse::Fresh).expect("the client can be built"),
        clock,
        metrics: Arc::new(StatsdClient::from_sink("test", NopMetricSink)),
        open: OpenRequests::default(),
        stop: Arc::default(),
    };
    TestGate { gate: Arc::new(gate), balancer, service }
}

/// Starts an upstream that rejects every request and asks for a backoff.
pub async fn rejecting_upstream() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is available");
    let addr = listener.local_addr().expect("the listener is bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let _ = s.read(&mut [0; 1_024]).await;
            let head = "HTTP/1.1 503 Full\r\nhoneypulley-not-run: 1\r\nretry-after: 3\r\n\
                        content-length: 0\r\n\r\n";
            let _ = s.write_all(head.as_bytes()).await;
        }
    });
    addr
}

/// Creates the request, which is not repeatable.
pub fn race(test: &TestGate, left: Duration) -> Race {
    let info = RequestInfo {
        service: test.service,
        repeatable: false,
        priority: 0,
        large_transfer: false,
        target: Some(Duration::from_millis(200)),
        remaining: None,
        route: NameId::of("r"),
        regions: None,
    };
    let decision = RouteDecision {
        owner: RequestOwner::NotConfigured,
        info,
        priority: RequestPriority::default(),
        service: "s".into(),
        timeout: None,
        max_attempts: 1,
        version: 1,
        buffered: false,
        limits_answer: false,
        max_body: 1_000,
    };
    let out = Outgoing {
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        upgrade: false,
        body_bytes: 0,
        buffered: false,
        same: REQUEST,
        caller: None,
        key: None,
    };
    Race {
        gate: Arc::clone(&test.gate),
        decision,
        id: "r-1".into(),
        out: Arc::new(out),
        source: Source::Buffered(Bytes::new()),
        deadline: Some(test.gate.now() + left),
        accepted: test.gate.now(),
        relayed: false,
        open: test.gate.open.insert("r-1".into(), test.gate.now()),
    }
}
