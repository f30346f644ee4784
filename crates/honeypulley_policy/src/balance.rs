//! Load balancing by expected loss, for fleets whose boxes each see little traffic.
//!
//! Every box holds a [`Belief`] about each upstream, updated from its own attempts and from the
//! updates of its peers. Each request goes to the upstream for which failure probability,
//! queueing delay and distance cost least together. Upstreams are never ejected, so that the
//! availability floor can't be violated by ejections: an upstream that is believed unhealthy is
//! still used when the others would cost more.

mod admit;
mod availability;
mod choice;
mod cold_start;
mod failing;
mod floor;
mod hazard;
pub(crate) mod illness;
mod in_flight;
mod learn;
mod listing;
mod priority;
mod probe;
mod rate_limits;
mod received;
mod rejected;
mod retry;
mod retry_share;
mod signals;
mod sizes;
mod update;
pub mod work;

use crate::belief::Belief;
use crate::collector::NameId;
use crate::regions::{RegionMap, RegionSet};
use crate::router::{AttemptKey, ServiceKey, UpstreamKey};
use crate::spec::{Member, ServiceSpec};
use crate::time::Time;
use admit::QueueAverage;
use failing::FailureWindow;
use hazard::{HangRecord, HazardModel};
use illness::FailureModes;
use priority::PriorityState;
pub use priority::{AdmissionState, Level, PriorityRule};
use rate_limits::RateLimits;
pub use rate_limits::{AdvertisedLimit, WarmUpRule};
pub use received::Suspicion;
use retry::RetryWindow;
pub use retry::{BudgetUsage, FleetScope, RetryHistory, RetryReason, RetryRule};
use signals::{Declared, Unlisted};
use sizes::AnswerSizes;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
pub use update::Update;
use work::LatencyHistogram;

/// Latency target of routes that set none.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);

/// Default cost, in requests, of a megabyte sent across data halls.
///
/// A download of 90 kB then costs 0.45 of a request.
pub const DEFAULT_TRANSFER_COST: f64 = 5.0;
const BYTES_PER_MB: f64 = 1e6;
/// Maximum number of ended incarnations that are kept for attempts still in flight there.
///
/// Sized for a service of 200 upstreams that all restart within the duration of one request.
const MAX_ENDED: usize = 256;

/// An upstream as listed, with its capacity and start time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Name, service, address, data hall and state.
    pub member: Member,
    /// Requests that it processes concurrently.
    pub slots: usize,
    /// Remaining time for which it is slow after its start.
    pub warm_up: Duration,
    /// Start time of its process in milliseconds since 1970, if reported.
    pub started: Option<u64>,
}

impl UpstreamEntry {
    /// Returns the id of this incarnation of the upstream.
    ///
    /// A restarted upstream keeps no state, so nothing that was learnt of the previous
    /// incarnation applies to it, and updates about the previous one name an unknown id.
    /// Start times are only compared for equality, so a clock that was set back also gives a
    /// new incarnation.
    #[must_use]
    pub fn incarnation(&self) -> NameId {
        let name = &self.member.name;
        self.started
            .map_or_else(|| NameId::of(name), |started| NameId::of(&format!("{name} {started}")))
    }
}

/// Attempts that another box of this data hall has in flight at an upstream.
#[derive(Clone, Copy, Debug)]
struct PeerInFlight {
    from: NameId,
    count: u16,
    /// Start of the oldest of them, as far as is known.
    since: Time,
    /// Whether all slots of the upstream were taken when it started.
    queued: bool,
    /// Likelihood ratio (unhealthy to healthy) that the peer has already announced.
    announced: f64,
}

/// Report of another box that could not connect to an upstream.
#[derive(Clone, Copy, Debug)]
struct ConnectFailure {
    from: NameId,
    at: Time,
}

/// Load of an upstream by requests of other data halls.
#[derive(Clone, Copy, Debug)]
struct RemoteLoad {
    count: f64,
    at: Time,
}

#[derive(Clone, Debug)]
struct Upstream {
    name: String,
    addr: String,
    id: NameId,
    service: ServiceKey,
    hall: NameId,
    region: RegionSet,
    local: bool,
    leaving: bool,
    /// What was learned about it from answers.
    declared: Declared,
    slots: f64,
    warm_up_until: Time,
    /// Attempts of this box in flight.
    in_flight: Vec<AttemptKey>,
    peers: Vec<PeerInFlight>,
    /// Requests of other data halls by the latest load report.
    remote: Option<RemoteLoad>,
    /// Belief about the upstream itself, from observations of all boxes.
    shared: Belief,
    /// Belief about the network path from this box.
    path: Belief,
    /// Whether this box or a peer has observed anything of it.
    observed: bool,
    /// Hangs and processing that boxes observed.
    hangs: HangRecord,
    /// Connection failures that other boxes reported since its last successful answer.
    connect_failures: Vec<ConnectFailure>,
    /// Whether its recovery from the last failure was announced to the other data halls.
    recovery_announced: bool,
    added: Time,
    /// Last known send to it by a box of this data hall.
    last_sent: Option<Time>,
    /// Last known successful answer to a box of this data hall.
    last_success: Option<Time>,
    /// Time of its last failure.
    last_failure: Option<Time>,
    /// Number of consecutive failures.
    streak: u32,
    /// Whether a connection was refused or broken since its last success.
    broken: bool,
}

#[derive(Clone, Debug)]
struct Service {
    spec: ServiceSpec,
    id: NameId,
    latencies: LatencyHistogram,
    retries: RetryWindow,
    failures: FailureWindow,
    queueing: QueueAverage,
    /// Hazard of hanging of its upstreams.
    hazards: HazardModel,
    priorities: PriorityState,
    /// When this box first learned of it.
    added: Time,
    upstreams: Vec<UpstreamKey>,
    /// Sum of the slots of its upstreams in this data hall.
    local_slots: f64,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    upstream: UpstreamKey,
    /// Incarnation that the attempt went to, which may no longer be listed.
    id: NameId,
    service: ServiceKey,
    route: NameId,
    started: Time,
    target: Duration,
    /// Time limit of the attempt, if there is one.
    remaining: Option<Duration>,
    /// Whether it had to queue at the start, which makes its age weak evidence.
    queued: bool,
    /// Likelihood ratio (unhealthy to healthy) announced while it was in flight.
    announced: f64,
    answer: Option<AnswerKind>,
    /// Requests of other data halls, by the load report in the answer.
    remote: Option<u8>,
}

/// Result in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Good,
    Bad,
}

/// State of one upstream for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceStatus {
    /// Service name.
    pub service: String,
    /// Upstream name.
    pub upstream: String,
    /// Whether it gets no new requests.
    pub leaving: bool,
    /// Probability that it is unhealthy, from observations of all boxes.
    pub sick: f64,
    /// Probability that the network path from this box is faulty.
    pub path: f64,
    /// Number of attempts of this box in flight.
    pub open: usize,
    /// The rate limit that it advertises.
    pub limit: Option<AdvertisedLimit>,
    /// Remaining backoff that it requested from this box.
    pub backoff: Option<Duration>,
}

/// Load balancer of one box.
#[derive(Debug)]
pub struct Balancer {
    hall: String,
    hall_id: NameId,
    fleet_scope: FleetScope,
    /// Number of boxes in this data hall, including this one.
    hall_boxes: usize,
    /// Number of boxes in each data hall.
    halls: BTreeMap<NameId, usize>,
    /// Whether this box is isolated from its peers.
    isolated: bool,
    retry_rule: RetryRule,
    history: RetryHistory,
    services: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<String, ServiceKey>,
    services_by_id: BTreeMap<NameId, ServiceKey>,
    by_id: BTreeMap<NameId, UpstreamKey>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    attempts: SlotMap<AttemptKey, Attempt>,
    /// Latency by route, for routes that this box has served.
    route_latencies: BTreeMap<NameId, LatencyHistogram>,
    /// Answer sizes by route.
    sizes: AnswerSizes,
    /// Cost, in requests, of a byte sent across data halls.
    byte_cost: f64,
    failure_modes: FailureModes,
    /// Rate limits that upstreams advertise.
    limits: RateLimits,
    /// Bound on requests to upstreams that warm up.
    warm_up_rule: WarmUpRule,
    /// How requests are admitted by priority.
    priority_rule: PriorityRule,
    unlisted: Unlisted,
    regions: RegionMap,
    /// Data halls whose upstreams get no new requests.
    evacuated: BTreeSet<NameId>,
    /// Boxes that reported an upstream as unreachable which then answered others, and when.
    contradicted: BTreeMap<NameId, Time>,
    listed: BTreeMap<String, UpstreamEntry>,
    /// Latest ended incarnations of upstreams that have restarted.
    restarted: VecDeque<UpstreamKey>,
    updates: Vec<Update>,
    rng: fastrand::Rng,
    /// Seed that makes the random draws of this box differ from those of others.
    seed: u64,
}

impl Balancer {
    /// Creates the balancer of a box in data hall `hall`.
    #[must_use]
    pub fn new(hall: &str, retry_rule: RetryRule, seed: u64) -> Self {
        Self {
            hall: hall.to_owned(),
            hall_id: NameId::of(hall),
            fleet_scope: FleetScope { boxes: 1, in_touch: true },
            hall_boxes: 1,
            halls: BTreeMap::from([(NameId::of(hall), 1)]),
            isolated: false,
            limits: RateLimits::new(hall, RetryHistory::Unknown, seed),
            warm_up_rule: WarmUpRule::default(),
            priority_rule: PriorityRule::default(),
            retry_rule,
            history: RetryHistory::Unknown,
            services: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            services_by_id: BTreeMap::new(),
            by_id: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            route_latencies: BTreeMap::new(),
            sizes: AnswerSizes::default(),
            byte_cost: DEFAULT_TRANSFER_COST / BYTES_PER_MB,
            failure_modes: FailureModes::default(),
            unlisted: Unlisted::default(),
            regions: RegionMap::default(),
            evacuated: BTreeSet::new(),
            contradicted: BTreeMap::new(),
            listed: BTreeMap::new(),
            restarted: VecDeque::new(),
            updates: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            seed,
        }
    }

    /// Sets what is known of retries before this box started.
    #[must_use]
    pub fn with_retry_history(mut self, history: RetryHistory) -> Self {
        self.history = history;
        self.limits = RateLimits::new(&self.hall, history, self.seed);
        self
    }

    /// Sets the cost, in requests, of a megabyte sent across data halls.
    #[must_use]
    pub fn with_transfer_cost(mut self, requests: f64) -> Self {
        self.byte_cost = requests / BYTES_PER_MB;
        self
    }

    /// Sets the regions of the data halls.
    #[must_use]
    pub fn with_regions(mut self, regions: RegionMap) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the limits on requests to upstreams that warm up.
    #[must_use]
    pub fn with_warm_up_rule(mut self, rule: WarmUpRule) -> Self {
        self.warm_up_rule = rule;
        self
    }

    /// Sets the boxes that share the retry budget.
    ///
    /// They count as boxes of this data hall unless [`Self::set_halls`] says otherwise.
    pub fn set_fleet_scope(&mut self, fleet_scope: FleetScope) {
        self.fleet_scope = fleet_scope;
        if self.halls.len() < 2 {
            self.hall_boxes = fleet_scope.boxes;
            self.halls.insert(self.hall_id, fleet_scope.boxes);
        }
    }

    /// Sets the number of boxes by data hall.
    ///
    /// The numbers include this box; `isolated` tells whether it is cut off from its peers.
    pub fn set_halls(&mut self, halls: &BTreeMap<NameId, usize>, isolated: bool) {
        self.isolated = isolated;
        if self.halls != *halls {
            self.halls.clone_from(halls);
            self.hall_boxes = halls.get(&self.hall_id).copied().unwrap_or(1);
        }
    }

    /// Replaces the services; state of services that remain is kept.
    pub fn set_services(&mut self, specs: &[ServiceSpec], now: Time) {
        let mut removed: BTreeSet<String> = self.by_name.keys().cloned().collect();
        // A service that is added later had no requests before this box learned of it.
        let history = if self.by_name.is_empty() { self.history } else { RetryHistory::Empty };
        for spec in specs {
            removed.remove(&spec.name);
            if let Some(&k) = self.by_name.get(&spec.name) {
                self.services[k].spec = spec.clone();
                continue;
            }
            let k = self.services.insert(Service::new(spec.clone(), history, now));
            self.by_name.insert(spec.name.clone(), k);
            self.services_by_id.insert(NameId::of(&spec.name), k);
            let waiting: Vec<UpstreamEntry> =
                self.listed.values().filter(|l| l.member.service == spec.name).cloned().collect();
            for l in waiting {
                self.add_upstream(k, &l, now);
            }
        }
        for name in removed {
            let Some(k) = self.by_name.remove(&name) else { continue };
            let Some(s) = self.services.remove(k) else { continue };
            self.services_by_id.remove(&s.id);
            for u in s.upstreams {
                self.discard(u);
            }
        }
    }

    /// Returns the key of a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// Counts an incoming request, which adds to its service's retry budget.
    pub fn record_request(&mut self, k: ServiceKey, now: Time) {
        if let Some(s) = self.services.get_mut(k) {
            s.retries.record_request(&self.retry_rule, now);
            s.failures.record_request(now);
        }
    }

    /// Counts a request of a service that this box rejected before an upstream was picked.
    pub fn record_rejection(&mut self, k: ServiceKey, now: Time) {
        if let Some(s) = self.services.get_mut(k) {
            s.failures.record_rejection(now);
        }
    }

    /// Drains the updates to broadcast.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the state of every upstream for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Vec<BalanceStatus> {
        let row = |(k, u): (UpstreamKey, &Upstream)| BalanceStatus {
            service: self.services.get(u.service).map_or_else(String::new, |s| s.spec.name.clone()),
            upstream: u.name.clone(),
            leaving: u.is_leaving(),
            sick: u.shared.probability(now),
            path: u.path.probability(now),
            open: u.in_flight.len(),
            limit: self.advertised_limit(k, now),
            backoff: u.backoff_left(now),
        };
        self.upstreams.iter().map(row).collect()
    }
}

impl Upstream {
    const fn is_leaving(&self) -> bool {
        self.leaving || self.declared.leaving || self.declared.replaced
    }
}

impl Service {
    fn new(spec: ServiceSpec, history: RetryHistory, added: Time) -> Self {
        Self {
            id: NameId::of(&spec.name),
            latencies: LatencyHistogram::default(),
            retries: RetryWindow::new(history, added),
            failures: FailureWindow::default(),
            queueing: QueueAverage::default(),
            hazards: HazardModel::default(),
            priorities: PriorityState::default(),
            added,
            upstreams: Vec::new(),
            local_slots: 0.0,
            spec,
        }
    }
}
