//! What the serving path needs, whichever configuration and policy stand behind.

use crate::answer::OwnAnswer;
use crate::dialect::Dialect;
use crate::fingerprint::Fingerprinter;
use crate::suspects::Suspects;
use cadence::{Counted, CountedExt, StatsdClient, Timed};
use futures::future::BoxFuture;
use honeypulley_policy::chooser::{Ask, Chooser};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::organisations::KeyDigest;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use std::fmt::{self, Debug};
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Time for a connection to an upstream to come up.
///
/// Twenty round trips between the farthest data halls of a region, 10 ms.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// Time after which a connection whose bytes are not acknowledged is given up.
const UNACKED_TIME: Duration = Duration::from_secs(3);
/// Time that an unused connection to an upstream is kept.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// What a caller asks for, as far as routing goes.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The request's id, for logs.
    pub request: &'a str,
    /// Host without its port, in lower case.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Digest of the caller's key, if it names just one.
    pub key: Option<KeyDigest>,
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Belongs {
    /// The configuration names no organisations; what callers say of themselves is passed on.
    Unasked,
    /// Nobody's in particular: the route is open to all.
    Nobody,
    /// That of an organisation, whose key the caller showed.
    To {
        /// Key of the organisation in all that boxes count and tell.
        id: NameId,
        /// Its name, which the upstream receives.
        name: Arc<str>,
    },
}

impl Belongs {
    /// Returns the organisation's name for the log, empty if there is none.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::To { name, .. } => name,
            Self::Unasked | Self::Nobody => "",
        }
    }
}

/// Where a request goes and how it may be treated.
#[derive(Clone, Debug)]
pub struct Routed {
    /// Whose request it is.
    pub belongs: Belongs,
    /// What the policy is asked.
    pub ask: Ask,
    /// Name of the service.
    pub service: String,
    /// Longest time that the request may be held, if the route says.
    pub timeout: Option<Duration>,
    /// Most upstreams that the request may run on.
    pub attempts: usize,
    /// Version of the configuration that said so.
    pub version: u64,
    /// Whether a short answer is taken whole before any of it is passed on.
    pub collect: bool,
    /// Longest body that is taken, in bytes.
    pub body_bytes: u64,
}

/// Finds where a request goes.
pub trait Routes: Debug + Send + Sync {
    /// Returns what a request has to wait for before there are routes, if that is on its way.
    fn settling(&self) -> Option<BoxFuture<'_, ()>> {
        None
    }

    /// Finds the route of a request and takes what the limits allow.
    ///
    /// # Errors
    /// Returns our own answer, to be given at once.
    fn route(&self, wanted: &Wanted<'_>, now: Time) -> Result<Routed, OwnAnswer>;
}

/// Whether connections to upstreams are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Kept for later requests.
    Pooled,
    /// Each attempt has its own, so that no answer can meet another request.
    Fresh,
}

/// State of the serving path.
///
/// The lock is taken by the serving thread alone, so it is never waited for; it
/// is there since the HTTP library asks for `Send`.
pub struct Gate {
    /// The policy.
    pub chooser: Arc<Mutex<dyn Chooser>>,
    /// Routes in force.
    pub routes: Arc<dyn Routes>,
    /// Headers spoken.
    pub dialect: Dialect,
    /// What tells requests that are the same.
    pub fingerprints: Fingerprinter,
    /// Requests under which upstreams ended.
    pub suspects: Arc<dyn Suspects>,
    /// Client towards upstreams.
    pub client: reqwest::Client,
    /// The process's clock.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Arc<StatsdClient>,
    /// Upgraded sessions and requests that are open.
    pub open: AtomicUsize,
    /// Set during a planned stop.
    pub leaving: Arc<AtomicBool>,
}

impl Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").field("open", &self.open).finish_non_exhaustive()
    }
}

/// Builds the client towards upstreams; `source` is where its connections come
/// from, if not the usual address.
///
/// # Errors
/// Returns an error if the HTTP client can't be set up.
pub fn client(source: Option<IpAddr>, reuse: Reuse) -> Result<reqwest::Client, reqwest::Error> {
    // The library must not act on its own: no redirects, no proxy from the
    // environment, no retries. Answers stay encoded as they came.
    let builder = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_idle_timeout(POOL_IDLE)
        .http1_only()
        .local_address(source);
    match reuse {
        Reuse::Pooled => builder.connect_timeout(Duration::from_millis(500)).build(),
        Reuse::Fresh => builder
            .connect_timeout(CONNECT_TIME)
            .tcp_user_timeout(UNACKED_TIME)
            .pool_max_idle_per_host(0)
            .build(),
    }
}

impl Gate {
    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Counts one event with its tags.
    pub fn count_for(&self, name: &str, tags: &[(&str, &str)]) {
        let one = self.metrics.count_with_tags(name, 1);
        tags.iter().fold(one, |m, (k, v)| m.with_tag(k, v)).send();
    }

    /// Counts `n` of something.
    pub fn count_by(&self, name: &str, n: usize) {
        let _ = self.metrics.count(name, n as u64);
    }

    /// Books how long something of a service took.
    pub fn time(&self, name: &str, service: &str, d: Duration) {
        self.metrics.time_with_tags(name, d.as_millis() as u64).with_tag("service", service).send();
    }
}

/// Counts one open request or session while it lives.
#[derive(Debug)]
pub struct OpenGuard(Arc<Gate>);

impl OpenGuard {
    /// Counts one more.
    #[must_use]
    pub fn new(gate: &Arc<Gate>) -> Self {
        gate.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(gate))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
