//! Routing state of one box.
//!
//! The thread that serves requests owns a [`Router`]. Other threads send it bundles, members,
//! permits and verdicts as events.

mod choice;
mod evidence;
mod refusal;

use crate::collector::{Judgement, NameId, Verdict};
use crate::ledger::CusumScores;
use crate::limits::{Gcra, RetryBudget};
use crate::permits::{PermitState, PermitView};
use crate::placement::{self, Role};
use crate::spec::{Member, MemberState, ServiceSpec};
use crate::spread::LatencyStats;
use crate::time::Time;
pub use refusal::{Refusal, RefusalKind};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Burst size of a service's rate limit, in requests.
const RATE_BURST: f64 = 10.0;
/// Response time from which requests are shed, as a share of the deadline.
const SHED_TARGET: f64 = 0.25;

new_key_type! {
    /// Key of a service in a router's arena.
    pub struct ServiceKey;
    /// Key of an upstream in a router's arena.
    pub struct UpstreamKey;
    /// Key of an attempt in a router's arena.
    pub struct AttemptKey;
}

/// Reason for which an upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was the less loaded of two upstreams drawn at random.
    TwoChoices,
    /// It is on probation and receives a probe.
    Canary,
    /// It is avoided, but all preferred upstreams are full.
    LastResort,
    /// It has the lowest expected loss.
    LeastLoss,
}

/// A picked upstream, whose attempt must be closed by [`Router::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Opened attempt.
    pub attempt: AttemptKey,
    /// Picked upstream.
    pub upstream: UpstreamKey,
    /// Reason for the choice.
    pub reason: Reason,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was forwarded.
    Completed,
    /// The upstream rejected the request without running it.
    NotRun,
    /// The connection was reset, or the response reported a failure.
    Failed,
    /// The connection was refused; nothing was sent.
    Refused,
    /// The connection timed out; nothing was sent.
    Unreachable,
    /// No upstream of the service accepted a connection; nothing was sent.
    ///
    /// The box has lost its own paths, which says nothing of the upstream.
    Partitioned,
    /// A different instance answered at the address and refused to run the request.
    Misdirected,
    /// The response was malformed, truncated or mislabelled.
    Malformed,
    /// The deadline expired.
    TimedOut,
    /// The client disconnected, or another attempt succeeded first.
    Cancelled,
}

/// An open attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    upstream: UpstreamKey,
    service: ServiceKey,
    started: Time,
    /// Whether evidence was recorded for the attempt, which happens only once.
    recorded: bool,
    /// Whether the head of the response has arrived.
    answered: bool,
}

/// Hold on an upstream by this box alone.
#[derive(Clone, Copy, Debug, Default)]
struct LocalHold {
    until: Option<Time>,
    probation: bool,
    relapses: u32,
}

#[derive(Clone, Copy, Debug)]
struct CollectorHold {
    judgement: Judgement,
    until: Time,
}

#[derive(Clone, Debug)]
struct Upstream {
    name: String,
    addr: String,
    id: NameId,
    service: ServiceKey,
    same_hall: bool,
    leaving: bool,
    drained: Option<Time>,
    /// End of the backoff that the upstream requested from this box.
    backoff: Option<Time>,
    added: Time,
    in_flight: usize,
    load: Option<(f64, Time)>,
    /// Whether the last response arrived within the usual time.
    is_fast: bool,
    local: LocalHold,
    verdict: Option<CollectorHold>,
    /// Number of boxes that supported the last suspicion.
    witnesses: u16,
    permit: Option<PermitState>,
    unreported: (u16, u16),
}

#[derive(Clone, Debug)]
struct Service {
    spec: ServiceSpec,
    id: NameId,
    latency: LatencyStats,
    budget: RetryBudget,
    scores: CusumScores<UpstreamKey>,
    upstreams: Vec<UpstreamKey>,
    rate: Option<Gcra>,
    max_connections: usize,
    last_report: Time,
    urgent: bool,
}

/// Status of one upstream, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// State in one word.
    pub state: &'static str,
    /// Reason for the state, or empty.
    pub reason: String,
    /// Evidence recorded by this box.
    pub evidence: LocalEvidence,
    /// Number of open attempts of this box.
    pub in_flight: usize,
}

/// Evidence that a box recorded on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalEvidence {
    /// CUSUM score; higher values indicate an unhealthy upstream.
    pub score: f64,
    /// Successes and weighted failures, decayed with a half-life of ten seconds.
    pub counts: (f64, f64),
}

/// Routing state of one box.
#[derive(Debug)]
pub struct Router {
    name: String,
    id: NameId,
    hall: String,
    boxes: usize,
    services: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<String, ServiceKey>,
    by_id: BTreeMap<NameId, UpstreamKey>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    attempts: SlotMap<AttemptKey, Attempt>,
    confirmed: Option<Time>,
    report_rate: f64,
    rng: fastrand::Rng,
}

impl Router {
    /// Creates the router of box `name` in data hall `hall`.
    #[must_use]
    pub fn new(name: &str, hall: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            id: NameId::of(name),
            hall: hall.to_owned(),
            boxes: 1,
            services: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_id: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            confirmed: None,
            report_rate: evidence::REPORT_RATE,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets the bandwidth for reports without failures, in bytes per second.
    pub const fn set_report_rate(&mut self, rate: f64) {
        self.report_rate = rate;
    }

    /// Applies the services of a bundle, keeping the statistics of those that remain.
    pub fn set_services(&mut self, specs: impl IntoIterator<Item = ServiceSpec>) {
        let mut removed: BTreeSet<String> = self.by_name.keys().cloned().collect();
        for spec in specs {
            removed.remove(&spec.name);
            if let Some(&k) = self.by_name.get(&spec.name) {
                self.services[k].configure(spec, self.boxes);
            } else {
                let name = spec.name.clone();
                let k = self.services.insert(Service::new(spec, self.boxes));
                self.by_name.insert(name, k);
            }
        }
        for name in removed {
            self.remove_service(&name);
        }
    }

    /// Applies the lagging list of upstreams and the number of live boxes.
    ///
    /// Ignores members of services that are not in the bundle.
    pub fn set_members(&mut self, members: &[Member], boxes: usize, now: Time) {
        self.boxes = boxes.max(1);
        let mut listed: BTreeMap<ServiceKey, Vec<&Member>> = BTreeMap::new();
        for m in members {
            if let Some(&k) = self.by_name.get(&m.service) {
                listed.entry(k).or_default().push(m);
            }
        }
        let keys: Vec<ServiceKey> = self.services.keys().collect();
        for k in keys {
            let list = listed.remove(&k).unwrap_or_default();
            self.set_service_members(k, &list, now);
        }
    }

    fn set_service_members(&mut self, k: ServiceKey, list: &[&Member], now: Time) {
        let s = &self.services[k];
        let size = placement::subset_size(self.boxes, list.len().max(1), s.spec.connections);
        let names = list.iter().map(|m| m.name.as_str());
        let subset = placement::highest_weighted(Role::Subset, &self.name, names, size);
        let old = s.upstreams.clone();
        let kept: Vec<UpstreamKey> = list
            .iter()
            .filter(|m| subset.contains(&m.name.as_str()))
            .map(|m| self.upsert_member(k, m, now))
            .collect();
        for u in old.into_iter().filter(|u| !kept.contains(u)) {
            self.remove_upstream(u);
        }
        let s = &mut self.services[k];
        s.max_connections =
            placement::connection_share(self.boxes, size, list.len(), s.spec.connections);
        s.scores.retain(|u| kept.contains(&u));
        s.upstreams = kept;
    }

    fn upsert_member(&mut self, service: ServiceKey, m: &Member, now: Time) -> UpstreamKey {
        let id = NameId::of(&m.name);
        let leaving = m.state == MemberState::Leaving;
        let is_same = |u: &Upstream| u.addr == m.addr && u.service == service;
        if let Some(&k) = self.by_id.get(&id)
            && self.upstreams.get(k).is_some_and(is_same)
        {
            let u = &mut self.upstreams[k];
            // A change from leaving to live means that the upstream restarted at its address.
            if u.leaving && !leaving {
                u.drained = None;
                u.added = now;
            }
            u.leaving = leaving;
            return k;
        }
        let up = Upstream {
            name: m.name.clone(),
            addr: m.addr.clone(),
            id,
            service,
            same_hall: m.hall == self.hall,
            leaving,
            drained: None,
            backoff: None,
            added: now,
            in_flight: 0,
            load: None,
            is_fast: false,
            local: LocalHold::default(),
            verdict: None,
            witnesses: 0,
            permit: None,
            unreported: (0, 0),
        };
        let k = self.upstreams.insert(up);
        self.by_id.insert(id, k);
        k
    }

    /// Applies a view of the permits received from the platform or a relay.
    pub fn set_permits(&mut self, view: &PermitView) {
        self.confirmed = view.confirmed;
        for u in self.upstreams.values_mut() {
            let service = &self.services[u.service].spec.name;
            let record = view.records.get(service);
            u.permit = record.and_then(|r| r.hold(&u.name));
        }
    }

    /// Records when the current permits were last confirmed.
    pub fn confirm_permits(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Applies a collector's verdict and returns the name of the upstream, if known.
    pub fn apply_verdict(&mut self, v: &Verdict, now: Time) -> Option<&str> {
        let k = *self.by_id.get(&v.upstream)?;
        let u = self.upstreams.get_mut(k)?;
        let s = self.services.get_mut(u.service)?;
        u.verdict = Some(CollectorHold { judgement: v.judgement, until: now + v.hold });
        if v.judgement == Judgement::Suspect {
            u.witnesses = v.witnesses;
        }
        if v.judgement == Judgement::Clear {
            u.verdict = None;
            u.local = LocalHold::default();
            s.scores.reset(k);
        }
        Some(&u.name)
    }

    /// Returns the key of a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the settings of a service.
    #[must_use]
    pub fn spec(&self, k: ServiceKey) -> Option<&ServiceSpec> {
        self.services.get(k).map(|s| &s.spec)
    }

    /// Returns the name and the address of an upstream.
    #[must_use]
    pub fn endpoint(&self, k: UpstreamKey) -> Option<(&str, &str)> {
        self.upstreams.get(k).map(|u| (u.name.as_str(), u.addr.as_str()))
    }

    /// Returns the number of open attempts.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Admits a request subject to the rate limit and load shedding of its service.
    ///
    /// # Errors
    /// Returns a [`Refusal`] with the time after which to retry.
    pub fn admit(&mut self, k: ServiceKey, now: Time) -> Result<(), Refusal> {
        let Some(s) = self.services.get_mut(k) else { return Ok(()) };
        let limited = s.rate.as_mut().map_or(Ok(()), |r| r.try_acquire(RATE_BURST, now));
        if let Err(wait) = limited {
            let retry_after = jitter(wait, &mut self.rng);
            return Err(Refusal { kind: RefusalKind::Rate, retry_after });
        }
        if self.rng.f64() < s.shed_share() {
            let retry_after = jitter(s.spec.deadline, &mut self.rng);
            return Err(Refusal { kind: RefusalKind::Overload, retry_after });
        }
        Ok(())
    }

    /// Spends one retry token of the service and returns whether there was one.
    pub fn spend_retry(&mut self, k: ServiceKey) -> bool {
        self.services.get_mut(k).is_some_and(|s| s.budget.try_withdraw())
    }

    /// Returns the age from which an attempt counts as stalled.
    #[must_use]
    pub fn stall_limit(&self, k: ServiceKey) -> Duration {
        self.services.get(k).map_or(Duration::from_secs(1), Service::stall_limit)
    }

    fn remove_service(&mut self, name: &str) {
        let Some(k) = self.by_name.remove(name) else { return };
        let Some(s) = self.services.remove(k) else { return };
        for u in s.upstreams {
            self.remove_upstream(u);
        }
    }

    fn remove_upstream(&mut self, k: UpstreamKey) {
        let Some(u) = self.upstreams.remove(k) else { return };
        // A successor at a different address may already be registered under this name.
        if self.by_id.get(&u.id) == Some(&k) {
            self.by_id.remove(&u.id);
        }
    }
}

impl Service {
    fn new(spec: ServiceSpec, boxes: usize) -> Self {
        let mut s = Self {
            id: NameId::of(&spec.name),
            latency: LatencyStats::default(),
            budget: RetryBudget::new(spec.retries),
            scores: CusumScores::new(
                2.0 * evidence::local_threshold(spec.lean),
                evidence::LOCAL_SHORT_HALF_LIFE,
            ),
            upstreams: Vec::new(),
            rate: None,
            max_connections: 1,
            last_report: Time::ZERO,
            urgent: false,
            spec: spec.clone(),
        };
        s.configure(spec, boxes);
        s
    }

    fn configure(&mut self, spec: ServiceSpec, boxes: usize) {
        if spec.retries != self.spec.retries {
            self.budget = RetryBudget::new(spec.retries);
        }
        // The rate limit is fleet-wide, so each box admits an equal share of it.
        if spec.rate != self.spec.rate || self.rate.is_none() {
            self.rate = spec.rate.map(|r| Gcra::new(r / boxes as f64));
        }
        self.spec = spec;
    }

    /// Returns the share of requests to shed under overload.
    ///
    /// Load shedding keeps the response time at a quarter of the deadline. Admitted requests are
    /// answered in time; all others are refused at once with a time after which to retry.
    fn shed_share(&self) -> f64 {
        let target = self.spec.deadline.as_secs_f64() * SHED_TARGET;
        let recent_median = self.latency.recent_median().as_secs_f64();
        if !self.latency.is_elevated() || recent_median <= target {
            return 0.0;
        }
        1.0 - target / recent_median
    }

    fn stall_limit(&self) -> Duration {
        self.latency.limit(self.spec.lean.interpolate(3.5, 4.5)).min(self.spec.deadline)
    }

    fn slow_limit(&self) -> Duration {
        self.latency.limit(self.spec.lean.interpolate(3.0, 4.0))
    }
}

/// Extends a wait by a random share of up to half of its length.
#[must_use]
pub fn jitter(d: Duration, rng: &mut fastrand::Rng) -> Duration {
    d.mul_f64(1.0 + rng.f64() / 2.0)
}
