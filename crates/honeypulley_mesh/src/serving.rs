//! Routing and balancing on the serving thread, and the updates for other boxes that they produce.

use crate::over_limit::over_limit;
use crate::state::Mesh;
use crate::suspicion_log::SuspicionLog;
use crate::update_batch::ReceivedUpdate;
use futures::future::BoxFuture;
use honeypulley_policy::balance::{AdmissionState, Balancer, BudgetUsage, RetryReason, Update};
use honeypulley_policy::chooser::{Endpoint, PickInputs, RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRefusal};
use honeypulley_policy::organisations::Organisation;
use honeypulley_policy::ranks::RequestPriority;
use honeypulley_policy::regions::RegionSet;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::{AttemptKey, Outcome, Pick, Refusal, ServiceKey, UpstreamKey};
use honeypulley_policy::routes::{CallerLimits, Route, RouteTable};
use honeypulley_policy::signals::{SignalChanges, Signals};
use honeypulley_policy::time::Time;
use honeypulley_proxy::answer::LocalAnswer;
use honeypulley_proxy::gate::{RequestOwner, RouteDecision, RouteRequest, Routes};
use http::StatusCode;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Minimum `Retry-After` while this box lacks a table or list.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A balancer and the organisations' limits, whose updates are queued for broadcast at once.
#[derive(Debug)]
pub struct BroadcastBalancer {
    balancer: Balancer,
    limits: FleetRateLimiter,
    mesh: Arc<Mesh>,
    /// Rate-limited log of the doubts about upstreams that reports of other boxes raise.
    doubts: SuspicionLog,
}

impl BroadcastBalancer {
    /// Wraps a balancer and limits, whose updates are sent to the other boxes of `mesh`.
    #[must_use]
    pub fn new(balancer: Balancer, limits: FleetRateLimiter, mesh: Arc<Mesh>) -> Self {
        Self { balancer, limits, mesh, doubts: SuspicionLog::default() }
    }

    /// Returns the balancer, to be updated with what other duties received.
    pub const fn balancer(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Returns the organisations' limits, to be updated with what other duties received.
    pub const fn limits(&mut self) -> &mut FleetRateLimiter {
        &mut self.limits
    }

    /// Applies all updates received from other boxes so far.
    ///
    /// It runs before each decision, so that the serving thread need not be woken for each of them.
    pub(crate) fn apply_received(&mut self, now: Time) {
        let mut next = self.mesh.updates_in.pop();
        if next.is_none() {
            return;
        }
        self.set_scope(now);
        let mut beliefs = 0;
        while let Some(update) = next {
            beliefs += usize::from(matches!(update.item, Update::Belief { .. }));
            self.apply_update(update);
            next = self.mesh.updates_in.pop();
        }
        self.prepare_limit_reports(now);
        self.announce();
        if beliefs > 0 {
            log::info!(beliefs; "news: {beliefs} beliefs of another box are taken");
        }
    }

    /// Applies one update as of the time at which it was received.
    fn apply_update(&mut self, ReceivedUpdate { from, item, at }: ReceivedUpdate) {
        self.apply_limit_update(from, item, at);
        if let Update::Leaving { upstream } = item
            && let Some(upstream) = self.balancer.record_shutdown(upstream)
        {
            log::info!(upstream, from = from.0; "news: {upstream} announced its shutdown");
        }
        if let Update::Replaced { upstream } = item
            && let Some(upstream) = self.balancer.record_replacement(upstream)
        {
            log::info!(upstream, from = from.0; "news: another instance has the address of {upstream}");
        }
        if let Update::Partitioned { service, is_partitioned } = item {
            self.mesh.relay_directory().record_announcement(from, service, is_partitioned, at);
        }
        if let Update::Ended { served: true, age, .. } = item {
            self.mesh.relay_directory().record_success(from, at.before(age));
        }
        if let Some(suspicion) = self.balancer.apply_update(from, item, at) {
            self.doubts.log(from, &suspicion, at);
        }
    }

    /// Queues pending updates for broadcast.
    fn announce(&mut self) {
        // Admissions come first, so that one is sent with the attempt that follows it.
        let updates = self.limits.take_updates().into_iter().chain(self.balancer.take_updates());
        updates.for_each(|n| self.mesh.updates_out.push(n));
    }

    /// Admits one request of an organisation, if its fleet-wide limit allows it.
    ///
    /// Where the organisation's requests differ in the priority of their routes (`mix`), the more
    /// urgent go first.
    ///
    /// # Errors
    /// Returns the reason, and the time until the limit allows another request.
    fn admit(
        &mut self,
        organisation: NameId,
        priority: u8,
        mix: RouteMix,
        now: Time,
    ) -> Result<(), LimitRefusal> {
        self.set_scope(now);
        let admitted = if mix.is_ranked() {
            self.limits.admit_ranked(organisation, priority, mix.is_most_urgent(priority), now)
        } else {
            self.limits
                .admit(organisation, now)
                .map_err(|wait| LimitRefusal { wait, reserved: None })
        };
        self.prepare_limit_reports(now);
        if admitted.is_err_and(|r| r.reserved.is_some()) {
            self.mesh.outranked.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Updates the boxes that share the limits; runs before any count or broadcast.
    fn set_scope(&mut self, now: Time) {
        self.limits.set_scope(self.mesh.limit_scope(now));
    }

    /// Applies admissions that a peer or another data hall reported.
    fn apply_limit_update(&mut self, from: NameId, update: Update, now: Time) {
        match update {
            Update::Admitted { subject, sum } => {
                self.limits.apply_box_count(from, subject, sum, now);
            }
            Update::HallAdmitted { subject, count } => {
                self.limits.apply_hall_count(from, subject, count, now);
            }
            _ => {}
        }
    }

    /// Prepares the reports on limits that are due to the other data halls.
    fn prepare_limit_reports(&mut self, now: Time) {
        for organisation in self.limits.due_updates(now) {
            if let Some(rank) = self.mesh.announcer_rank(organisation, now) {
                self.limits.announce(organisation, rank, now);
            }
        }
    }
}

impl RoutingPolicy for BroadcastBalancer {
    fn pick(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Pick, Refusal> {
        self.apply_received(now);
        let picked = self.balancer.pick(info, tried, now);
        if let Some(state) = self.balancer.admission(info.service, now)
            && let Some(name) = self.balancer.service_name(info.service)
        {
            self.mesh.admission.lock().record(name, state, now);
        }
        self.announce();
        picked
    }

    fn endpoint(&self, k: UpstreamKey) -> Option<Endpoint<'_>> {
        self.balancer.endpoint(k)
    }

    fn sample(&mut self, k: ServiceKey, failed: Option<UpstreamKey>, n: usize) -> Vec<String> {
        self.balancer.sample(k, failed, n)
    }

    fn has_restarted(&self, k: UpstreamKey) -> bool {
        self.balancer.has_restarted(k)
    }

    fn inputs(&self, k: UpstreamKey, now: Time) -> PickInputs {
        PickInputs { list: self.mesh.list_status(), ..self.balancer.inputs(k, now) }
    }

    fn expected_latency(&self, info: &RequestInfo, now: Time) -> Option<Duration> {
        self.balancer.expected_latency(info, now)
    }

    fn admission(&self, k: ServiceKey, now: Time) -> Option<AdmissionState> {
        self.balancer.admission(k, now)
    }

    fn recheck_delay(&self, info: &RequestInfo, age: Duration) -> Duration {
        self.balancer.recheck_delay(info, age)
    }

    fn record_in_flight(&mut self, k: AttemptKey, now: Time) {
        self.balancer.record_in_flight(k, now);
        self.announce();
    }

    fn hedge_value(&self, info: &RequestInfo, k: AttemptKey, now: Time) -> Option<f64> {
        self.balancer.hedge_value(info, k, now)
    }

    fn can_meet_deadline(&self, info: &RequestInfo) -> bool {
        self.balancer.can_meet_deadline(info)
    }

    fn check_available(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<(), Refusal> {
        self.balancer.check_available(info, tried, now)
    }

    fn spend_retry(&mut self, k: ServiceKey, why: RetryReason, now: Time) -> bool {
        let spent = self.balancer.spend_retry(k, why, now);
        self.announce();
        spent
    }

    fn spend_retry_for(&mut self, info: &RequestInfo, why: RetryReason, now: Time) -> bool {
        let spent = self.balancer.spend_retry_for(info, why, now);
        self.mesh.retries_denied.fetch_add(u64::from(!spent), Ordering::Relaxed);
        self.announce();
        spent
    }

    fn wait_after_rejection(&self, info: &RequestInfo, now: Time) -> Option<Duration> {
        self.balancer.wait_after_rejection(info, now)
    }

    fn service_name(&self, k: ServiceKey) -> Option<&str> {
        self.balancer.service_name(k)
    }

    fn forget_request(&mut self, k: ServiceKey) {
        self.balancer.forget_request(k);
    }

    fn budget_use(&self, k: ServiceKey, now: Time) -> BudgetUsage {
        self.balancer.budget_use(k, now)
    }

    fn response_started(&mut self, k: AttemptKey, ok: bool, now: Time) {
        self.balancer.response_started(k, ok, now);
        self.announce();
    }

    fn record_size(&mut self, k: AttemptKey, bytes: u64) {
        self.balancer.record_size(k, bytes);
    }

    fn record_signals(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        let changes = self.balancer.record_signals(k, s, now);
        self.announce();
        changes
    }

    fn clear_limit(&mut self, k: AttemptKey, now: Time) -> bool {
        let is_lifted = self.balancer.clear_limit(k, now);
        self.announce();
        is_lifted
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        self.balancer.finish(k, outcome, now);
        self.announce();
    }
}

/// Routes requests by the table in force.
#[derive(Clone, Debug)]
pub struct TableRoutes {
    /// Shared state of this box.
    pub mesh: Arc<Mesh>,
    /// Balancer and limits.
    pub policy: Arc<Mutex<BroadcastBalancer>>,
}

impl Routes for TableRoutes {
    fn wait_ready(&self) -> Option<BoxFuture<'_, ()>> {
        let startup = &self.mesh.startup;
        startup.is_pending().then(|| -> BoxFuture<'_, ()> { Box::pin(startup.wait_settled()) })
    }

    fn caller_limits(&self) -> Option<CallerLimits> {
        self.mesh.in_force.load().as_ref().map(|table| table.limits)
    }

    fn route(&self, wanted: &RouteRequest<'_>, now: Time) -> Result<RouteDecision, LocalAnswer> {
        let Some(table) = self.mesh.in_force.load_full() else {
            return Err(not_ready("no routing table is in force on this box yet".to_owned()));
        };
        if !self.mesh.knows_evacuations() {
            return Err(not_ready("the evacuated data halls are not known yet".to_owned()));
        }
        let (host, path) = (wanted.host, wanted.path);
        let Some(route) = table.find(host, path) else {
            return Err(self.no_route(wanted, table.version, now));
        };
        let organisation = self.caller_organisation(&table, route, wanted, now)?;
        let own = organisation.as_ref().and_then(|o| o.priority);
        let priority = RequestPriority::new(own, route.priority);
        let regions = allowed_regions(route, organisation.as_ref());
        let name = route.target(fastrand::f64());
        let mut policy = self.policy.lock();
        let Some(service) = policy.balancer().service(name) else {
            return Err(not_ready(format!("service {name} is not set up on this box yet")));
        };
        policy.apply_received(now);
        self.mesh.update_fleet_scope(policy.balancer(), now);
        policy.balancer().record_request(service, now);
        // A relayed request was admitted by the box that received it from the caller.
        if let Some(o) = organisation.as_ref().filter(|_| !wanted.relayed)
            && let Err(refusal) = policy.admit(o.id, route.priority, table.limited_mix, now)
        {
            policy.balancer().record_rejection(service, now);
            let usage = policy.limits().usage(o.id, now).unwrap_or_default();
            return Err(over_limit(wanted.request, o, route.priority, refusal, usage));
        }
        let owner = match (&table.organisations, organisation) {
            (None, _) => RequestOwner::NotConfigured,
            (Some(_), None) => RequestOwner::Public,
            (Some(_), Some(o)) => RequestOwner::Organisation { id: o.id, name: o.name },
        };
        Ok(RouteDecision {
            owner,
            info: RequestInfo {
                service,
                repeatable: route.kind.is_repeatable(),
                priority: table.ranks.rank(priority),
                large_transfer: route.kind.is_large(),
                target: route.target,
                remaining: None,
                route: NameId::of(&route.name),
                regions,
            },
            priority,
            service: name.into(),
            timeout: route.timeout,
            max_attempts: route.attempts,
            version: table.version,
            buffered: true,
            limits_answer: true,
            max_body: table.limits.body_bytes,
        })
    }
}

impl TableRoutes {
    /// Refuses a request for which the table has no route.
    ///
    /// A box that may lack a newer table asks the caller to retry and does not answer that the
    /// route does not exist.
    fn no_route(&self, wanted: &RouteRequest<'_>, version: u64, now: Time) -> LocalAnswer {
        let (host, path) = (wanted.host, wanted.path);
        let in_touch = self.mesh.readers().in_touch(now);
        let current = self.mesh.is_table_current(version, now);
        log::info!(
            request = wanted.request, host, version, in_touch, current;
            "route: refused, no route"
        );
        if !current {
            return not_ready(format!("no route for {host}{path}, and the table may be old"));
        }
        let why = format!("no route for {host}{path}");
        LocalAnswer::not_run(StatusCode::NOT_FOUND, None, why)
    }

    /// Returns the organisation that holds the caller's key.
    ///
    /// Returns `None` if the route is public or the table has no organisations.
    ///
    /// # Errors
    /// Returns the box's own answer if no organisation of the table holds the caller's key. As with
    /// routes, a box that may lack a newer table does not answer that the key is unknown.
    fn caller_organisation(
        &self,
        table: &RouteTable,
        route: &Route,
        wanted: &RouteRequest<'_>,
        now: Time,
    ) -> Result<Option<Organisation>, LocalAnswer> {
        let Some(all) = table.organisations.as_ref().filter(|_| !route.public) else {
            return Ok(None);
        };
        if let Some(o) = wanted.key.and_then(|k| all.find_by_key(k)) {
            return Ok(Some(o.clone()));
        }
        let in_touch = self.mesh.readers().in_touch(now);
        let (version, has_key) = (table.version, wanted.key.is_some());
        let current = self.mesh.is_table_current(version, now);
        log::info!(
            request = wanted.request, route = route.name.as_str(), version, has_key, in_touch, current;
            "route: refused, no organisation holds the caller's key"
        );
        if has_key && !current {
            return Err(not_ready(
                "the key is not known here, and the table may be old".to_owned(),
            ));
        }
        let why = if has_key { "no organisation holds this key" } else { "one key is needed" };
        Err(LocalAnswer::not_run(StatusCode::UNAUTHORIZED, None, why.to_owned()))
    }
}

/// Returns the regions allowed by both the route and the organisation.
fn allowed_regions(route: &Route, organisation: Option<&Organisation>) -> Option<RegionSet> {
    let regions = [route.regions, organisation.and_then(|o| o.regions)];
    regions.into_iter().flatten().reduce(RegionSet::intersection)
}

/// Refuses a request that this box can't route yet, with a time to retry after.
fn not_ready(why: String) -> LocalAnswer {
    let retry_after = NOT_READY_RETRY_AFTER.mul_f64(1.0 + fastrand::f64() / 2.0);
    LocalAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after), why).with_elsewhere()
}
