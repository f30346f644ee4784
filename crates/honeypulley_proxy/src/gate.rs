//! State of the serving path, independent of the configuration source and the policy.

use crate::answer::LocalAnswer;
use crate::buffers::AnswerBuffers;
use crate::dialect::Dialect;
use crate::fingerprint::Fingerprinter;
use crate::open::OpenRequests;
use crate::relay::Relays;
use crate::stop::StopState;
use crate::suspects::RequestQuarantine;
use cadence::{Counted, CountedExt, StatsdClient, Timed};
use futures::future::BoxFuture;
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::organisations::KeyDigest;
use honeypulley_policy::paths::PathMonitor;
use honeypulley_policy::ranks::RequestPriority;
use honeypulley_policy::routes::CallerLimits;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use http::{HeaderMap, Method};
use parking_lot::Mutex;
use std::fmt::{self, Debug};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for connecting to an upstream.
///
/// Twenty round trips of 10 ms, the longest within a region.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection with unacknowledged data is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an idle connection to an upstream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Properties of a request that determine its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Request ID, for logs.
    pub request: &'a str,
    /// Host without its port, in lower case.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Digest of the caller's key, if the request contains exactly one.
    pub key: Option<KeyDigest>,
    /// Whether another box has admitted the request and relays it.
    pub relayed: bool,
}

/// Organisation that a request belongs to, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOwner {
    /// The configuration has no organisations, and the callers' headers are forwarded.
    NotConfigured,
    /// The route is open to all callers, and no organisation applies.
    Public,
    /// The organisation that holds the key sent by the caller.
    Organisation {
        /// Identifier in counters and announcements.
        id: NameId,
        /// Name, which is forwarded to upstreams.
        name: Arc<str>,
    },
}

impl RequestOwner {
    /// Returns the organisation's name for the log, or an empty string if there is none.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Organisation { name, .. } => name,
            Self::NotConfigured | Self::Public => "",
        }
    }
}

/// Result of routing a request.
#[derive(Clone, Debug)]
pub struct RouteDecision {
    /// Organisation that the request belongs to.
    pub owner: RequestOwner,
    /// Request to the policy for an upstream.
    pub info: RequestInfo,
    /// Priority of the request, for logs and metrics.
    pub priority: RequestPriority,
    /// Name of the service.
    pub service: Arc<str>,
    /// Timeout of the request, if the route defines one.
    pub timeout: Option<Duration>,
    /// Maximum number of upstreams that may run the request.
    pub max_attempts: usize,
    /// Version of the configuration that the route comes from.
    pub version: u64,
    /// Whether short answers are buffered before they are forwarded.
    pub buffered: bool,
    /// Whether the deadline also limits the transfer of the answer, and not only its head.
    pub limits_answer: bool,
    /// Longest accepted body, in bytes.
    pub max_body: u64,
}

/// Finds the routes of requests.
pub trait Routes: Debug + Send + Sync {
    /// Returns a future to await before routing, if routes are about to become available.
    fn wait_ready(&self) -> Option<BoxFuture<'_, ()>> {
        None
    }

    /// Returns the limits on callers' requests and connections, if any are in force.
    fn caller_limits(&self) -> Option<CallerLimits> {
        None
    }

    /// Finds the route of a request and applies the rate limits.
    ///
    /// # Errors
    /// Returns the answer for the caller if the request is rejected.
    fn route(&self, wanted: &RouteRequest<'_>, now: Time) -> Result<RouteDecision, LocalAnswer>;
}

/// Whether connections to upstreams are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Connections are kept for later requests.
    Pooled,
    /// Each attempt uses a new connection, so that answers can't be mixed up.
    Fresh,
}

/// State of the serving path.
///
/// Only the serving thread takes the lock of the policy, so it is never contended. The lock
/// exists because the HTTP library requires `Send`.
pub struct ProxyState {
    /// The policy.
    pub policy: Arc<Mutex<dyn RoutingPolicy>>,
    /// Routes in force.
    pub routes: Arc<dyn Routes>,
    /// Header names and formats.
    pub dialect: Dialect,
    /// Identifies repeats of a request.
    pub fingerprints: Fingerprinter,
    /// Quarantine of requests that crash upstreams.
    pub suspects: Arc<dyn RequestQuarantine>,
    /// HTTP client for upstreams.
    pub client: reqwest::Client,
    /// Local address of connections to upstreams, if it is not left to the system.
    pub source: Option<IpAddr>,
    /// Bound on the answers that are buffered whole.
    pub buffers: AnswerBuffers,
    /// Paths of this box to the upstreams of each service.
    pub paths: Mutex<PathMonitor>,
    /// Relays for requests to services that this box can't reach, if there are any.
    pub relays: Option<Relays>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics client.
    pub metrics: Arc<StatsdClient>,
    /// Open requests and upgraded sessions.
    pub open: OpenRequests,
    /// State of a planned stop.
    pub stop: Arc<StopState>,
}

impl Debug for ProxyState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").field("open", &self.open.count()).finish_non_exhaustive()
    }
}

/// Builds the HTTP client for upstreams.
///
/// Connections are bound to the local address `source`, if it is given.
///
/// # Errors
/// Returns an error if the HTTP client can't be built.
pub fn client(source: Option<IpAddr>, reuse: Reuse) -> Result<reqwest::Client, reqwest::Error> {
    // The library must not follow redirects, use a proxy from the environment, or retry.
    // Answers are forwarded without being decoded.
    let builder = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .http1_only()
        .local_address(source);
    match reuse {
        Reuse::Pooled => builder.connect_timeout(Duration::from_millis(500)).build(),
        Reuse::Fresh => builder
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_user_timeout(UNACKED_TIMEOUT)
            .pool_max_idle_per_host(0)
            .build(),
    }
}

impl ProxyState {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Counts one event with tags.
    pub fn count_tagged(&self, name: &str, tags: &[(&str, &str)]) {
        let one = self.metrics.count_with_tags(name, 1);
        tags.iter().fold(one, |m, (k, v)| m.with_tag(k, v)).send();
    }

    /// Counts `n` events.
    pub fn count_by(&self, name: &str, n: usize) {
        let _ = self.metrics.count(name, n as u64);
    }

    /// Records a duration for a service.
    pub fn time(&self, name: &str, service: &str, d: Duration) {
        self.metrics.time_with_tags(name, d.as_millis() as u64).with_tag("service", service).send();
    }
}
