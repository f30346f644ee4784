//! A request in hand while the box's machine is suspended.

use bytes::Bytes;
use cadence::{NopMetricSink, StatsdClient};
use honeypulley_policy::balance::{Balancer, Listed, RetryRule};
use honeypulley_policy::chooser::{Ask, Chooser};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Fingerprint, Fingerprints};
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use honeypulley_proxy::answer::OwnAnswer;
use honeypulley_proxy::attempt::Outgoing;
use honeypulley_proxy::body::Source;
use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::gate::{Gate, Reuse, Routed, Routes, Wanted, client};
use honeypulley_proxy::race::Race;
use honeypulley_proxy::suspects::OwnSuspects;
use honeypulley_supervisor::clock::Clock;
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time since boot, which the test moves on.
static BOOT_MS: AtomicU64 = AtomicU64::new(0);

fn boot() -> Duration {
    Duration::from_millis(BOOT_MS.load(Ordering::Relaxed))
}

#[derive(Debug)]
struct NoRoutes;

impl Routes for NoRoutes {
    fn route(&self, _: &Wanted<'_>, _: Time) -> Result<Routed, OwnAnswer> {
        unreachable!("the race is begun by hand")
    }
}

/// A box before one upstream.
fn gate(addr: &str) -> Gate {
    let mut balancer = Balancer::new("h", RetryRule::default(), 7);
    balancer.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    let member = Member {
        name: "u".to_owned(),
        service: "s".to_owned(),
        addr: addr.to_owned(),
        hall: "h".to_owned(),
        state: MemberState::Live,
    };
    let listed = Listed { member, slots: 3, cold: Duration::ZERO, born: None };
    balancer.set_upstream(listed, Time::ZERO);
    let chooser: Arc<Mutex<dyn Chooser>> = Arc::new(Mutex::new(balancer));
    Gate {
        chooser,
        routes: Arc::new(NoRoutes),
        dialect: Dialect::default(),
        fingerprints: Fingerprinter::new([0; 32]),
        suspects: Arc::<OwnSuspects>::default(),
        client: client(None, Reuse::Fresh).expect("it can be set up"),
        clock: Clock::start_by(boot),
        metrics: Arc::new(StatsdClient::from_sink("test", NopMetricSink)),
        open: AtomicUsize::new(0),
        leaving: Arc::new(AtomicBool::new(false)),
    }
}

fn race(gate: Gate, left: Duration) -> Race {
    let mut balancer = Balancer::new("h", RetryRule::default(), 7);
    balancer.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    let service = balancer.service("s").expect("set up");
    let ask = Ask {
        service,
        repeatable: false,
        bulky: false,
        aim: Some(Duration::from_millis(200)),
        left: None,
        route: NameId::of("r"),
    };
    let routed = Routed {
        ask,
        service: "s".to_owned(),
        timeout: None,
        attempts: 1,
        version: 1,
        collect: false,
        body_bytes: 1_000,
    };
    let out = Outgoing {
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        upgrade: false,
        collect: false,
        same: Fingerprints { caller: Fingerprint(1), content: Fingerprint(2) },
    };
    let deadline = Some(gate.now() + left);
    let (gate, out, id) = (Arc::new(gate), Arc::new(out), "r-1".to_owned());
    Race { gate, routed, id, out, source: Source::Kept(Bytes::new()), deadline }
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
    let race = race(gate(&addr), Duration::from_secs(30));
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
