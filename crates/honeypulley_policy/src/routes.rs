//! Routing table, which maps requests to services.

use crate::organisations::Organisations;
use crate::ranks::{PriorityRanks, RequestPriority};
use crate::regions::RegionSet;
use crate::route_mix::RouteMix;
use crate::spec::ServiceSpec;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Whether requests of a route may be sent to more than one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// May run more than once and has a large response.
    Download,
    /// Must run at most once and has a large body.
    Upload,
}

impl RequestKind {
    /// Returns whether the requests or the responses of this kind are large.
    #[must_use]
    pub const fn is_large(self) -> bool {
        matches!(self, Self::Download | Self::Upload)
    }

    /// Returns whether requests of this kind may be repeated.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, bon::Builder)]
pub struct Route {
    /// Name used in logs.
    #[builder(into)]
    pub name: String,
    /// Host name in lower case.
    #[builder(into)]
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    #[builder(into)]
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Maximum time for which a request may be held.
    pub timeout: Option<Duration>,
    /// Target latency.
    pub target: Option<Duration>,
    /// Priority; zero is the highest.
    #[builder(default)]
    pub priority: u8,
    /// Maximum number of upstreams on which one request may run.
    #[builder(default = 1)]
    pub attempts: usize,
    /// Whether clients need no key even if the table defines organisations.
    #[builder(default)]
    pub public: bool,
    /// Regions in which its requests may be served, if they are restricted.
    pub regions: Option<RegionSet>,
    /// Target services, of which there is at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the target service for a random number from zero up to one.
    ///
    /// # Panics
    /// Panics if the route has no target; [`RouteTable::new`] rejects such routes.
    #[must_use]
    pub fn target(&self, draw: f64) -> &str {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = draw * f64::from(total);
        for t in &self.targets {
            remaining -= f64::from(t.weight);
            if remaining < 0.0 {
                return &t.service;
            }
        }
        &self.targets.last().expect("route has at least one target").service
    }
}

/// Size and time limits on requests from clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving the request head.
    pub head_time: Duration,
    /// Timeout for idle connections.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before a routing table is loaded.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A route whose kind this version does not know.
///
/// Its requests are treated as [`RequestKind::Unsafe`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind {
    /// Name of the route.
    pub route: String,
    /// Kind as written in the table.
    pub kind: String,
}

/// Routes and services of one version of the table.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version number, which increases monotonically.
    pub version: u64,
    /// Settings of the services.
    pub services: Vec<ServiceSpec>,
    /// Limits on requests from clients.
    pub limits: CallerLimits,
    /// Organisations, if clients must belong to one.
    pub organisations: Option<Organisations>,
    /// Routes of unknown kind.
    pub unknown_kinds: Vec<UnknownKind>,
    /// Priorities and kinds of the routes for which an organisation's limit counts.
    pub limited_mix: RouteMix,
    /// Ranks of the priorities of organisations and routes.
    pub ranks: PriorityRanks,
    routes: HashMap<String, Arc<Route>>,
}

/// Reason for which a routing table is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// A route has no target service.
    #[error("route {route} has no target service")]
    NoTarget {
        /// Name of the route.
        route: String,
    },
    /// A route refers to a service that is not in the table.
    #[error("route {route} refers to unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// A priority is out of range.
    #[error("route {route}: priority {priority} is above {}", RouteMix::LOWEST_PRIORITY)]
    Priority {
        /// Name of the route.
        route: String,
        /// Priority in the table.
        priority: u8,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("route {route}: prefix {prefix} does not begin and end with a slash")]
    Prefix {
        /// Name of the route.
        route: String,
        /// Path prefix.
        prefix: String,
    },
}

impl RouteTable {
    /// Creates a table after validating its routes.
    ///
    /// # Errors
    /// Returns an error for the first invalid route.
    pub fn new(
        version: u64,
        mut services: Vec<ServiceSpec>,
        routes: Vec<Route>,
        limits: CallerLimits,
    ) -> Result<Self, RouteError> {
        let mut by_prefix = HashMap::with_capacity(routes.len());
        let mut limited_mix = RouteMix::default();
        for r in routes {
            validate(&r, &services)?;
            add_to_mix(&r, &mut services);
            if !r.public {
                limited_mix.add(r.priority, r.kind.is_repeatable());
            }
            by_prefix.insert(format!("{}{}", r.host, r.prefix), Arc::new(r));
        }
        Ok(Self {
            version,
            services,
            limits,
            organisations: None,
            unknown_kinds: Vec::new(),
            limited_mix,
            ranks: PriorityRanks::default(),
            routes: by_prefix,
        })
    }

    /// Sets the organisations to which clients must belong.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.ranks = PriorityRanks::new(self.priorities(&organisations));
        self.services.iter_mut().for_each(|s| s.mix.set_ranks(&self.ranks));
        self.organisations = Some(organisations);
        self
    }

    /// Returns the priorities that requests may have.
    fn priorities(&self, organisations: &Organisations) -> BTreeSet<RequestPriority> {
        let of_organisations: BTreeSet<Option<u8>> =
            organisations.iter().map(|o| o.priority).collect();
        let of_route = |r: &Arc<Route>| -> Vec<RequestPriority> {
            let own = if r.public { &BTreeSet::from([None]) } else { &of_organisations };
            own.iter().map(|&o| RequestPriority::new(o, r.priority)).collect()
        };
        self.routes.values().flat_map(of_route).collect()
    }

    /// Records the routes of unknown kind.
    #[must_use]
    pub fn with_unknown_kinds(mut self, unknown: Vec<UnknownKind>) -> Self {
        self.unknown_kinds = unknown;
        self
    }

    /// Returns the route whose prefix is the longest match for the path.
    ///
    /// Prefixes match whole path segments, since each of them ends with a slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let key = format!("{host}{path}");
        let mut end = key.len();
        loop {
            let slash = key[host.len()..end].rfind('/')? + host.len();
            if let Some(r) = self.routes.get(&key[..=slash]) {
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

    /// Returns whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn validate(r: &Route, services: &[ServiceSpec]) -> Result<(), RouteError> {
    let route = r.name.clone();
    if r.targets.iter().all(|t| t.weight == 0) {
        return Err(RouteError::NoTarget { route });
    }
    if !r.prefix.starts_with('/') || !r.prefix.ends_with('/') {
        return Err(RouteError::Prefix { route, prefix: r.prefix.clone() });
    }
    if r.priority > RouteMix::LOWEST_PRIORITY {
        return Err(RouteError::Priority { route, priority: r.priority });
    }
    let is_unknown = |t: &&Target| !services.iter().any(|s| s.name == t.service);
    match r.targets.iter().find(is_unknown) {
        Some(t) => Err(RouteError::UnknownService { route, service: t.service.clone() }),
        None => Ok(()),
    }
}

/// Adds a route to the mixes of its services.
fn add_to_mix(r: &Route, services: &mut [ServiceSpec]) {
    let is_target =
        |s: &&mut ServiceSpec| r.targets.iter().any(|t| t.weight > 0 && t.service == s.name);
    services
        .iter_mut()
        .filter(is_target)
        .for_each(|s| s.mix.add(r.priority, r.kind.is_repeatable()));
}
