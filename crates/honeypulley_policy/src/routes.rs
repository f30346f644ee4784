//! Routing table: which service takes a request, and how it may be treated.

use crate::organisations::Organisations;
use crate::spec::ServiceSpec;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Which requests of a route may be sent to more than one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May be run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Safe, with a large answer.
    Download,
}

impl RequestKind {
    /// Returns whether a request of this kind may be repeated.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }
}

/// One service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Share of the requests, against the weights of the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, bon::Builder)]
pub struct Route {
    /// Name, for logs.
    #[builder(into)]
    pub name: String,
    /// Host it serves, in lower case.
    #[builder(into)]
    pub host: String,
    /// Path prefix, with a slash at both ends.
    #[builder(into)]
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Longest time that a request may be held.
    pub timeout: Option<Duration>,
    /// Time within which an answer is wanted.
    pub aim: Option<Duration>,
    /// Rank; zero goes first.
    #[builder(default)]
    pub priority: u8,
    /// Most upstreams that one request may run on.
    #[builder(default = 1)]
    pub attempts: usize,
    /// Whether callers need no key, though the table names organisations.
    #[builder(default)]
    pub public: bool,
    /// Services, at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a draw from zero up to one.
    ///
    /// # Panics
    /// Panics if the route has no target; a table refuses such routes.
    #[must_use]
    pub fn target(&self, draw: f64) -> &str {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for t in &self.targets {
            left -= f64::from(t.weight);
            if left < 0.0 {
                return &t.service;
            }
        }
        &self.targets.last().expect("a route has a target").service
    }
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: u64,
    /// Time for a whole head.
    pub head_time: Duration,
    /// Time that a connection may rest.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that hold before any table names others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// All routes and services of one version.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version, which never goes back.
    pub version: u64,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Organisations, if callers have to belong to one.
    pub organisations: Option<Organisations>,
    routes: HashMap<String, Arc<Route>>,
}

/// Why a table was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// A route names no service.
    #[error("route {route} has no service")]
    NoTarget {
        /// The route's name.
        route: String,
    },
    /// A route names a service that the table lacks.
    #[error("route {route} names the service {service}, which is not there")]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: String,
    },
    /// A prefix lacks its slashes.
    #[error("route {route}: the prefix {prefix} must begin and end with a slash")]
    Prefix {
        /// The route's name.
        route: String,
        /// The prefix.
        prefix: String,
    },
}

impl RouteTable {
    /// Builds a table from checked routes.
    ///
    /// # Errors
    /// Returns the first route that could not be served.
    pub fn new(
        version: u64,
        services: Vec<ServiceSpec>,
        routes: Vec<Route>,
        limits: CallerLimits,
    ) -> Result<Self, RouteError> {
        let mut by_prefix = HashMap::with_capacity(routes.len());
        for r in routes {
            check(&r, &services)?;
            by_prefix.insert(format!("{}{}", r.host, r.prefix), Arc::new(r));
        }
        Ok(Self { version, services, limits, organisations: None, routes: by_prefix })
    }

    /// Sets the organisations that callers have to belong to.
    #[must_use]
    pub fn with_organisations(mut self, all: Organisations) -> Self {
        self.organisations = Some(all);
        self
    }

    /// Returns the route with the longest prefix that begins the path.
    ///
    /// Prefixes are compared by whole segments, since each ends with a slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let whole = format!("{host}{path}");
        let mut end = whole.len();
        loop {
            let slash = whole[host.len()..end].rfind('/')? + host.len();
            if let Some(r) = self.routes.get(&whole[..=slash]) {
                return Some(r);
            }
            end = slash;
        }
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn check(r: &Route, services: &[ServiceSpec]) -> Result<(), RouteError> {
    let route = r.name.clone();
    if r.targets.iter().all(|t| t.weight == 0) {
        return Err(RouteError::NoTarget { route });
    }
    if !r.prefix.starts_with('/') || !r.prefix.ends_with('/') {
        return Err(RouteError::Prefix { route, prefix: r.prefix.clone() });
    }
    let known = |t: &&Target| !services.iter().any(|s| s.name == t.service);
    match r.targets.iter().find(known) {
        Some(t) => Err(RouteError::UnknownService { route, service: t.service.clone() }),
        None => Ok(()),
    }
}
