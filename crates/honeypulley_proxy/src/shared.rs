//! What the serving thread owns, and how other duties feed it.

use crate::callers::CallerLimits;
use arc_swap::{ArcSwap, ArcSwapOption};
use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};
use honeypulley_bundle::head::Version;
use honeypulley_bundle::keeper::InForce;
use honeypulley_policy::collector::{Report, Verdict};
use honeypulley_policy::permits::PermitView;
use honeypulley_policy::router::{Router, UpstreamStatus};
use honeypulley_policy::spec::Member;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::ring::{Full, Ring};
use parking_lot::Mutex;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Time between two looks for stalls and news.
const TICK: Duration = Duration::from_millis(10);

/// Ticks between two renewals of what operators see.
const STATUS_TURNS: u64 = 25;

/// The upstreams and the number of boxes in the lagging list.
#[derive(Clone, Debug)]
pub struct Members {
    /// Upstreams.
    pub upstreams: Vec<Member>,
    /// Live boxes.
    pub boxes: usize,
}

/// Rings into and out of the serving thread.
#[derive(Clone, Debug)]
pub struct Feed {
    /// Bundles that came in force; each replaces the one before.
    pub bundles: Ring<Arc<InForce>>,
    /// Lists; each replaces the one before.
    pub members: Ring<Members>,
    /// Permits; each replaces the one before.
    pub permits: Ring<PermitView>,
    /// Confirmations of the permits; each replaces the one before.
    pub confirms: Ring<Time>,
    /// Verdicts of collectors.
    pub verdicts: Ring<Verdict>,
    /// Reports for collectors.
    pub reports: Ring<Report>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            bundles: Ring::new(4, Full::DropOldest),
            members: Ring::new(4, Full::DropOldest),
            permits: Ring::new(4, Full::DropOldest),
            confirms: Ring::new(4, Full::DropOldest),
            verdicts: Ring::new(1_024, Full::DropOldest),
            reports: Ring::new(4_096, Full::DropNewest),
        }
    }
}

/// State of the serving thread.
///
/// The locks are taken by that thread alone, so they are never waited for; they
/// are there since the HTTP library asks for `Send`.
pub struct Shared {
    /// Routing state.
    pub router: Mutex<Router>,
    /// Limits per caller.
    pub callers: Mutex<CallerLimits>,
    /// Bundle in force.
    pub in_force: ArcSwapOption<InForce>,
    /// Rings to the other duties.
    pub feed: Feed,
    /// The process's clock.
    pub clock: Clock,
    /// Client towards upstreams.
    pub client: reqwest::Client,
    /// Metrics.
    pub metrics: Arc<StatsdClient>,
    /// Upgraded sessions and requests that are open.
    pub open: AtomicUsize,
    /// Set during a planned stop.
    pub leaving: AtomicBool,
    /// Set once upstreams were taken from the list.
    pub listed: AtomicBool,
    /// Live boxes, among which limits are shared.
    pub boxes: AtomicUsize,
    /// State of every upstream, renewed four times a second for operators.
    pub rows: ArcSwap<Vec<UpstreamStatus>>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("open", &self.open).finish_non_exhaustive()
    }
}

impl Shared {
    /// Builds the state around a router; `source` is where connections to
    /// upstreams come from, if not the usual address.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(
        router: Router,
        feed: Feed,
        clock: Clock,
        metrics: Arc<StatsdClient>,
        source: Option<IpAddr>,
    ) -> Result<Self, reqwest::Error> {
        // The library must not act on its own: no redirects, no proxy from the
        // environment, no retries. Answers stay encoded as they came.
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(Duration::from_millis(500))
            .pool_idle_timeout(Duration::from_secs(20))
            .http1_only()
            .local_address(source)
            .build()?;
        Ok(Self {
            router: Mutex::new(router),
            callers: Mutex::new(CallerLimits::default()),
            in_force: ArcSwapOption::empty(),
            feed,
            clock,
            client,
            metrics,
            open: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            boxes: AtomicUsize::new(1),
            rows: ArcSwap::default(),
        })
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the version in force, zero if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.in_force.load().as_ref().map_or(Version(0), |f| f.head.version)
    }

    /// Takes news and looks for stalls, forever.
    pub async fn keep_ticking(&self) {
        let mut tick = tokio::time::interval(TICK);
        let mut turns = 0u64;
        // Members are needed again when a bundle names new services.
        let mut last_members = None;
        loop {
            tick.tick().await;
            self.take_news(&mut last_members);
            let reports = self.router.lock().tick(self.now());
            reports.into_iter().for_each(|r| self.feed.reports.push(r));
            turns += 1;
            if turns.is_multiple_of(STATUS_TURNS) {
                let rows = self.router.lock().status(self.now());
                self.rows.store(Arc::new(rows));
                self.emit_gauges();
            }
        }
    }

    fn take_news(&self, last: &mut Option<Members>) {
        let mut router = self.router.lock();
        let now = self.now();
        let mut listed = false;
        while let Some(f) = self.feed.bundles.pop() {
            // Two duties may have pushed two versions the other way round.
            if f.head.version <= self.version() {
                continue;
            }
            router.set_services(f.bundle.services().cloned());
            let signer = f.head.signature.signer.as_str();
            log::info!(bundle = f.head.version.0, signer; "proxy: {} is in force", f.head.version);
            self.in_force.store(Some(f));
            listed = true;
        }
        while let Some(m) = self.feed.members.pop() {
            *last = Some(m);
            listed = true;
        }
        if let (true, Some(m)) = (listed, last.as_ref()) {
            router.set_members(&m.upstreams, m.boxes, now);
            self.boxes.store(m.boxes.max(1), Ordering::Relaxed);
            // A list that lags behind a start may be empty yet.
            if !m.upstreams.is_empty() {
                self.listed.store(true, Ordering::Relaxed);
            }
        }
        // Confirmations first: one that is in the ring by now is of permits that
        // are in theirs, so no older view is taken for confirmed.
        let confirmed = std::iter::from_fn(|| self.feed.confirms.pop()).last();
        while let Some(view) = self.feed.permits.pop() {
            router.set_permits(&view);
        }
        if let Some(at) = confirmed {
            router.confirm_permits(at);
        }
        while let Some(v) = self.feed.verdicts.pop() {
            if let Some(name) = router.set_verdict(&v, now) {
                log::info!(
                    upstream = name, witnesses = v.witnesses, hold_ms = v.hold.as_millis() as u64;
                    "verdict: {name} is {:?}, {} boxes bear witness", v.judgement, v.witnesses
                );
            }
        }
    }

    fn emit_gauges(&self) {
        let _ = self.metrics.gauge("requests.open", self.open.load(Ordering::Relaxed) as u64);
        let _ = self.metrics.gauge("bundle.version", self.version().0);
        let _ = self.metrics.gauge("reports.dropped", self.feed.reports.dropped());
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Counts `n` of something.
    pub fn count_by(&self, name: &str, n: usize) {
        let _ = self.metrics.count(name, n as u64);
    }

    /// Books how long a request took.
    pub fn time(&self, name: &str, d: Duration) {
        let _ = self.metrics.time(name, d.as_millis() as u64);
    }
}

/// Counts one open request or session while it lives.
#[derive(Debug)]
pub struct OpenGuard(Arc<Shared>);

impl OpenGuard {
    /// Counts one more.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
