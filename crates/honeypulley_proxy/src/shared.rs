//! State of the serving thread, and the queues through which other duties update it.

use crate::answer::LocalAnswer;
use crate::buffers::AnswerBuffers;
use crate::callers::CallerLimits;
use crate::dialect::Dialect;
use crate::fingerprint::Fingerprinter;
use crate::gate::{ProxyState, RequestOwner, Reuse, RouteDecision, RouteRequest, Routes, client};
use crate::headers;
use crate::open::OpenRequests;
use crate::suspects::LocalQuarantine;
use arc_swap::{ArcSwap, ArcSwapOption};
use async_trait::async_trait;
use cadence::{Gauged, StatsdClient};
use honeypulley_bundle::head::Version;
use honeypulley_bundle::keeper::InForce;
use honeypulley_policy::chooser::RequestInfo;
use honeypulley_policy::collector::{NameId, Report, Verdict};
use honeypulley_policy::permits::PermitView;
use honeypulley_policy::ranks::RequestPriority;
use honeypulley_policy::router::{Refusal, RefusalKind, Router, UpstreamStatus};
use honeypulley_policy::spec::Member;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::ring::{OverflowPolicy, Ring};
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Interval at which updates are applied and attempts are checked for stalls.
const TICK: Duration = Duration::from_millis(10);

/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: usize = 3;
/// `Retry-After` while this box is starting.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Ticks between two updates of the status for operators.
const STATUS_TICKS: u64 = 25;

/// The upstreams and the number of boxes, from a list that may lag behind.
#[derive(Clone, Debug)]
pub struct Members {
    /// Upstreams.
    pub upstreams: Vec<Member>,
    /// Live boxes.
    pub boxes: usize,
}

/// Ring buffers into and out of the serving thread.
#[derive(Clone, Debug)]
pub struct ServingQueues {
    /// Bundles put in force; only the newest one counts.
    pub bundles: Ring<Arc<InForce>>,
    /// Lists of members; only the newest one counts.
    pub members: Ring<Members>,
    /// Permits; only the newest view counts.
    pub permits: Ring<PermitView>,
    /// Times at which the permits were confirmed; only the newest one counts.
    pub confirms: Ring<Time>,
    /// Verdicts of collectors.
    pub verdicts: Ring<Verdict>,
    /// Reports for collectors.
    pub reports: Ring<Report>,
}

impl Default for ServingQueues {
    fn default() -> Self {
        Self {
            bundles: Ring::new(4, OverflowPolicy::DropOldest),
            members: Ring::new(4, OverflowPolicy::DropOldest),
            permits: Ring::new(4, OverflowPolicy::DropOldest),
            confirms: Ring::new(4, OverflowPolicy::DropOldest),
            verdicts: Ring::new(1_024, OverflowPolicy::DropOldest),
            reports: Ring::new(4_096, OverflowPolicy::DropNewest),
        }
    }
}

/// Keeps the state of the serving path up to date, on the serving thread.
#[async_trait]
pub trait StateUpdater: fmt::Debug + Send + Sync {
    /// Applies updates from the other duties, forever.
    async fn run(&self);
}

/// Routes of the bundle in force.
#[derive(Debug)]
struct BundleRoutes {
    in_force: ArcSwapOption<InForce>,
    router: Arc<Mutex<Router>>,
    callers: Mutex<CallerLimits>,
    /// Number of live boxes that share the callers' limits.
    boxes: AtomicUsize,
    dialect: Dialect,
}

/// State of the serving thread, configured by the product's own bundles and lists.
pub struct BundleState {
    /// State of the serving path.
    pub gate: Arc<ProxyState>,
    /// Routing state, which is also the policy of the serving path.
    pub router: Arc<Mutex<Router>>,
    /// Ring buffers to the other duties.
    pub feed: ServingQueues,
    /// Set once a list with upstreams was applied.
    pub has_upstreams: AtomicBool,
    /// Status of all upstreams for operators, updated four times a second.
    pub upstream_status: ArcSwap<Vec<UpstreamStatus>>,
    routes: Arc<BundleRoutes>,
}

impl fmt::Debug for BundleState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("gate", &self.gate).finish_non_exhaustive()
    }
}

impl BundleState {
    /// Creates the state with a router.
    ///
    /// Connections to upstreams are bound to the local address `source`, if it is given.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be built.
    pub fn new(
        router: Router,
        feed: ServingQueues,
        clock: Clock,
        metrics: Arc<StatsdClient>,
        source: Option<IpAddr>,
        fingerprints: Fingerprinter,
    ) -> Result<Self, reqwest::Error> {
        let router = Arc::new(Mutex::new(router));
        let dialect = Dialect::default();
        let routes = Arc::new(BundleRoutes {
            in_force: ArcSwapOption::empty(),
            router: Arc::clone(&router),
            callers: Mutex::new(CallerLimits::default()),
            boxes: AtomicUsize::new(1),
            dialect: dialect.clone(),
        });
        let gate = ProxyState {
            policy: Arc::<Mutex<Router>>::clone(&router),
            routes: Arc::<BundleRoutes>::clone(&routes),
            dialect,
            fingerprints,
            suspects: Arc::<LocalQuarantine>::default(),
            client: client(source, Reuse::Pooled)?,
            source,
            buffers: AnswerBuffers::default(),
            paths: Mutex::default(),
            relays: None,
            clock,
            metrics,
            open: OpenRequests::default(),
            stop: Arc::default(),
        };
        Ok(Self {
            gate: Arc::new(gate),
            router,
            feed,
            has_upstreams: AtomicBool::new(false),
            upstream_status: ArcSwap::default(),
            routes,
        })
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.gate.now()
    }

    /// Returns the bundle in force.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.routes.in_force.load_full()
    }

    /// Returns the version in force, or zero if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routes.in_force.load().as_ref().map_or(Version(0), |f| f.head.version)
    }

    /// Applies updates and checks for stalls at regular intervals, forever.
    pub async fn run(&self) {
        let mut tick = tokio::time::interval(TICK);
        let mut ticks = 0u64;
        // The members are applied again when a bundle defines new services.
        let mut members = None;
        loop {
            tick.tick().await;
            self.apply_updates(&mut members);
            let reports = self.router.lock().tick(self.now());
            reports.into_iter().for_each(|r| self.feed.reports.push(r));
            ticks += 1;
            if ticks.is_multiple_of(STATUS_TICKS) {
                let status = self.router.lock().status(self.now());
                self.upstream_status.store(Arc::new(status));
                self.emit_gauges();
            }
        }
    }

    fn apply_updates(&self, last: &mut Option<Members>) {
        let mut router = self.router.lock();
        let now = self.now();
        let mut is_changed = false;
        while let Some(f) = self.feed.bundles.pop() {
            // Two duties may push versions in the wrong order.
            if f.head.version <= self.version() {
                continue;
            }
            router.set_services(f.bundle.services().cloned());
            let signer = f.head.signature.signer.as_str();
            log::info!(bundle = f.head.version.0, signer; "proxy: {} is in force", f.head.version);
            self.routes.in_force.store(Some(f));
            is_changed = true;
        }
        while let Some(m) = self.feed.members.pop() {
            *last = Some(m);
            is_changed = true;
        }
        if let (true, Some(m)) = (is_changed, last.as_ref()) {
            router.set_members(&m.upstreams, m.boxes, now);
            self.routes.boxes.store(m.boxes.max(1), Ordering::Relaxed);
            // The first list after a start may still be empty.
            if !m.upstreams.is_empty() {
                self.has_upstreams.store(true, Ordering::Relaxed);
            }
        }
        // Confirmations are read first. Their permits are then already in the other ring, so a
        // confirmation is never applied to an older view.
        let confirmed = std::iter::from_fn(|| self.feed.confirms.pop()).last();
        while let Some(view) = self.feed.permits.pop() {
            router.set_permits(&view);
        }
        if let Some(at) = confirmed {
            router.confirm_permits(at);
        }
        while let Some(v) = self.feed.verdicts.pop() {
            if let Some(name) = router.apply_verdict(&v, now) {
                log::info!(
                    upstream = name, witnesses = v.witnesses, hold_ms = v.hold.as_millis() as u64;
                    "verdict: {name} is {:?}, reported by {} boxes", v.judgement, v.witnesses
                );
            }
        }
    }

    fn emit_gauges(&self) {
        let gate = &self.gate;
        let _ = gate.metrics.gauge("requests.open", gate.open.count() as u64);
        let _ = gate.metrics.gauge("bundle.version", self.version().0);
        let _ = gate.metrics.gauge("reports.dropped", self.feed.reports.dropped());
    }
}

#[async_trait]
impl StateUpdater for BundleState {
    async fn run(&self) {
        BundleState::run(self).await;
    }
}

impl Routes for BundleRoutes {
    fn route(&self, wanted: &RouteRequest<'_>, now: Time) -> Result<RouteDecision, LocalAnswer> {
        let Some(f) = self.in_force.load_full() else {
            return Err(not_ready("no bundle is in force on this box yet".to_owned()));
        };
        let (host, path, bundle) = (wanted.host, wanted.path, f.head.version.0);
        let Some(name) = f.bundle.route(host, path) else {
            log::info!(host = host, bundle; "route: refused, no route");
            let why = format!("no route for {host}{path}");
            return Err(LocalAnswer::not_run(StatusCode::NOT_FOUND, None, why));
        };
        self.limit_caller(wanted.headers, &f, now)?;
        let mut router = self.router.lock();
        let Some(service) = router.service(name) else {
            return Err(not_ready(format!("service {name} is not set up on this box yet")));
        };
        if let Err(r) = router.admit(service, now) {
            log::info!(service = name, bundle; "route: refused, {}", r.kind);
            return Err(LocalAnswer::refusal(r));
        }
        let spec = router.spec(service).expect("found above");
        let repeatable = spec.repeat.allows(is_safe(wanted.method));
        Ok(RouteDecision {
            owner: RequestOwner::NotConfigured,
            info: RequestInfo {
                service,
                repeatable,
                priority: 0,
                large_transfer: false,
                target: None,
                remaining: None,
                route: NameId::of(name),
                regions: None,
            },
            priority: RequestPriority::default(),
            service: name.into(),
            timeout: Some(spec.deadline),
            max_attempts: MAX_ATTEMPTS,
            version: bundle,
            buffered: false,
            // Answers may be event streams, which have no end.
            limits_answer: false,
            max_body: u64::MAX,
        })
    }
}

impl BundleRoutes {
    fn limit_caller(&self, h: &HeaderMap, f: &InForce, now: Time) -> Result<(), LocalAnswer> {
        let Some(caller) = headers::text(h, &self.dialect.caller) else { return Ok(()) };
        let Some(rate) = f.bundle.caller_rate(caller) else { return Ok(()) };
        let share = rate / self.boxes.load(Ordering::Relaxed) as f64;
        let result = self.callers.lock().take(caller, share, now);
        result.map_err(|wait| {
            log::info!(caller = caller, bundle = f.head.version.0; "route: refused, the caller's rate is used up");
            let retry_after = wait.mul_f64(1.0 + fastrand::f64() / 2.0);
            LocalAnswer::refusal(Refusal { kind: RefusalKind::CallerRate, retry_after })
        })
    }
}

fn not_ready(why: String) -> LocalAnswer {
    LocalAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, Some(NOT_READY_RETRY_AFTER), why)
}

const fn is_safe(m: &Method) -> bool {
    matches!(*m, Method::GET | Method::HEAD | Method::OPTIONS)
}
