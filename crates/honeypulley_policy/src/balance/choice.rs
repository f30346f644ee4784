//! Selection of an upstream by expected loss.

use super::probe::ProbeRule;
use super::{
    AdmissionState, Attempt, Balancer, BudgetUsage, DEFAULT_TARGET, RetryReason, Service, Upstream,
};
use crate::belief::FAILS_SICK;
use crate::chooser::{Endpoint, PickInputs, RequestInfo, RoutingPolicy};
use crate::router::{
    AttemptKey, Outcome, Pick, Reason, Refusal, RefusalKind, ServiceKey, UpstreamKey, jitter,
};
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::time::Duration;

/// Loss, in requests, of a failed attempt that may be retried.
const REPEATABLE_LOSS: f64 = 0.5;
/// Loss of a failed attempt that may not be retried.
const UNSAFE_LOSS: f64 = 1.0;
/// Loss of a queueing delay as long as the latency target.
const WAIT_LOSS: f64 = 0.8;
/// Loss of sharing an upstream at full slots; some upstreams slow down under concurrency.
const CONCURRENCY_LOSS: f64 = 0.03;
/// Loss of the longer network path to another data hall.
///
/// The cost of the bytes sent is added to it.
const CROSS_HALL_LOSS: f64 = 0.015;
/// Loss of an upstream that is still slow after its start.
const WARMUP_LOSS: f64 = 0.06;
/// Difference to the least loss up to which upstreams are equivalent.
///
/// One of them is drawn at random, since all boxes hold similar beliefs and would otherwise
/// send to the same upstream at once.
const TIE_MARGIN: f64 = 0.06;
/// Difference of the loss by future hangs up to which upstreams are equivalent.
///
/// Smaller, since an upstream that is avoided costs nothing while others have free slots. Herding is no
/// concern: the hazards of most upstreams are nearly equal.
const HANG_TIE_MARGIN: f64 = 0.005;
/// Time constant by which the reported load of other data halls decays.
const LOAD_DECAY: Duration = Duration::from_millis(500);
/// Latency quantile that the remaining time must allow for a send.
const IN_TIME_QUANTILE: f64 = 0.3;
/// `Retry-After` when no upstream is available.
const NO_UPSTREAM_WAIT: Duration = Duration::from_millis(500);

/// Expected loss of a request at one upstream.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    upstream: UpstreamKey,
    local: bool,
    /// Expected loss, including that by a future hang.
    loss: f64,
    /// Expected loss of an unrepeatable request by a future hang.
    hang_loss: f64,
}

impl Candidate {
    /// Returns whether it is equivalent to the least loss; random draws never cross data halls.
    fn is_tied(&self, least: &Self) -> bool {
        self.local == least.local
            && self.loss <= least.loss + TIE_MARGIN
            && self.hang_loss <= least.hang_loss + HANG_TIE_MARGIN
    }
}

impl RoutingPolicy for Balancer {
    fn pick(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Pick, Refusal> {
        let Some(s) = self.services.get(info.service) else {
            return Err(self.refuse(RefusalKind::NoUpstream, NO_UPSTREAM_WAIT));
        };
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let service_time = self.service_time(info);
        let rule = ProbeRule::of(s, info, now);
        let open = self.sendable(info, tried, now)?;
        // Retries are not used as probes.
        let may_probe = tried.is_empty() && !self.is_spared(info, now);
        let probe_target = if may_probe { self.probe_target(&open, rule, now) } else { None };
        let probe_target = probe_target.map(|u| (u, Reason::Canary));
        let chosen = probe_target.or_else(|| {
            let least = self.least_loss(&open, info, service_time, now)?;
            Some((least, Reason::LeastLoss))
        });
        let Some((upstream, reason)) = chosen else {
            return Err(self.refuse(RefusalKind::NoUpstream, NO_UPSTREAM_WAIT));
        };
        let is_first = tried.is_empty();
        let admitted = self.admit(upstream, &open, info, is_first, now);
        if is_first && admitted.is_err() {
            self.record_rejection(info.service, now);
        }
        let upstream = admitted?;
        self.count_send(upstream, now);
        let u = &self.upstreams[upstream];
        let attempt = self.attempts.insert(Attempt {
            upstream,
            id: u.id,
            service: info.service,
            route: info.route,
            started: now,
            target,
            remaining: info.remaining,
            queued: u.busy(now) >= u.slots,
            announced: 1.0,
            answer: None,
            remote: None,
        });
        self.record_start(attempt, upstream, now);
        Ok(Pick { attempt, upstream, reason })
    }

    fn endpoint(&self, k: UpstreamKey) -> Option<Endpoint<'_>> {
        self.upstreams.get(k).map(|u| Endpoint { name: &u.name, addr: &u.addr })
    }

    fn sample(&mut self, k: ServiceKey, failed: Option<UpstreamKey>, n: usize) -> Vec<String> {
        let listed = self.services.get(k).map_or(&[][..], |s| &s.upstreams);
        let is_usable = |k: &&UpstreamKey| {
            let u = &self.upstreams[**k];
            !u.is_leaving() && failed.is_none_or(|f| f != **k && !u.broken)
        };
        let usable: Vec<UpstreamKey> = listed.iter().filter(is_usable).copied().collect();
        let drawn = self.rng.choose_multiple(usable, n);
        drawn.into_iter().map(|u| self.upstreams[u].addr.clone()).collect()
    }

    fn has_restarted(&self, k: UpstreamKey) -> bool {
        self.restarted.contains(&k)
    }

    fn inputs(&self, k: UpstreamKey, now: Time) -> PickInputs {
        self.upstreams.get(k).map_or_else(PickInputs::default, |u| PickInputs {
            unhealthy: self.unhealthy_chance(k, now),
            path: u.path.probability(now),
            busy: u.busy(now),
            same_hall: u.local,
            load_age: u.remote.map(|r| now.since(r.at)),
            limit: self.advertised_limit(k, now),
            ..PickInputs::default()
        })
    }

    fn expected_latency(&self, info: &RequestInfo, now: Time) -> Option<Duration> {
        let s = self.services.get(info.service)?;
        let open = s.upstreams.iter().filter(|&&k| !self.upstreams[k].is_leaving());
        let wait = open.map(|&k| self.wait(k, info, now)).min()?;
        Some(wait + self.latency_quantile(info, 0.5))
    }

    fn admission(&self, k: ServiceKey, now: Time) -> Option<AdmissionState> {
        self.admission_state(k, now)
    }

    fn recheck_delay(&self, info: &RequestInfo, age: Duration) -> Duration {
        self.next_check(info, age)
    }

    fn record_in_flight(&mut self, k: AttemptKey, now: Time) {
        self.record_in_flight(k, now);
    }

    fn hedge_value(&self, info: &RequestInfo, k: AttemptKey, now: Time) -> Option<f64> {
        self.unanswered_chance(info, k, now)
    }

    fn can_meet_deadline(&self, info: &RequestInfo) -> bool {
        info.remaining.is_none_or(|left| left >= self.latency_quantile(info, IN_TIME_QUANTILE))
    }

    fn check_available(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<(), Refusal> {
        if self.sendable(info, tried, now)?.is_empty() {
            return Err(self.refuse(RefusalKind::NoUpstream, NO_UPSTREAM_WAIT));
        }
        Ok(())
    }

    fn spend_retry(&mut self, k: ServiceKey, why: RetryReason, now: Time) -> bool {
        self.spend(k, why, now)
    }

    fn spend_retry_for(&mut self, info: &RequestInfo, why: RetryReason, now: Time) -> bool {
        self.spend_for(info, why, now)
    }

    fn wait_after_rejection(&self, info: &RequestInfo, now: Time) -> Option<Duration> {
        self.wait_after_rejection(info, now)
    }

    fn service_name(&self, k: ServiceKey) -> Option<&str> {
        self.services.get(k).map(|s| s.spec.name.as_str())
    }

    fn forget_request(&mut self, k: ServiceKey) {
        if let Some(s) = self.services.get_mut(k) {
            s.retries.forget_request();
        }
    }

    fn budget_use(&self, k: ServiceKey, now: Time) -> BudgetUsage {
        let usage = |s: &Service| s.retries.usage(&self.retry_rule, now);
        self.services.get(k).map_or_else(BudgetUsage::default, usage)
    }

    fn response_started(&mut self, k: AttemptKey, ok: bool, now: Time) {
        self.record_head(k, ok, now);
    }

    fn record_size(&mut self, k: AttemptKey, bytes: u64) {
        if let Some(a) = self.attempts.get(k) {
            self.sizes.add(a.route, bytes);
        }
    }

    fn record_signals(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        self.record_signals(k, s, now)
    }

    fn clear_limit(&mut self, k: AttemptKey, now: Time) -> bool {
        self.withdraw_limit(k, now)
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        self.record_end(k, outcome, now);
    }
}

/// Returns the loss of a failed attempt, in requests.
const fn failure_loss(info: &RequestInfo) -> f64 {
    if info.repeatable { REPEATABLE_LOSS } else { UNSAFE_LOSS }
}

impl Balancer {
    /// Returns an upstream of least loss, drawn at random from the equivalent ones.
    fn least_loss(
        &mut self,
        open: &[UpstreamKey],
        info: &RequestInfo,
        service_time: Duration,
        now: Time,
    ) -> Option<UpstreamKey> {
        self.fit_hazards(info.service, now);
        let exposure = self.hang_exposure(info, failure_loss(info));
        let candidate = |&upstream: &UpstreamKey| {
            let u = &self.upstreams[upstream];
            let hang_loss = exposure.as_ref().map_or(0.0, |e| u.hang_loss(e));
            Candidate {
                upstream,
                local: u.local,
                loss: self.loss(upstream, info, service_time, now) + hang_loss,
                // Repeatable requests keep the upstreams in use that others avoid.
                hang_loss: if info.repeatable { 0.0 } else { hang_loss },
            }
        };
        let candidates: Vec<Candidate> = open.iter().map(candidate).collect();
        let least = candidates.iter().min_by(|a, b| a.loss.total_cmp(&b.loss))?;
        let tied: Vec<&Candidate> = candidates.iter().filter(|c| c.is_tied(least)).collect();
        Some(tied[self.rng.usize(..tied.len())].upstream)
    }

    /// Returns the expected loss of one attempt, in requests, apart from future hangs.
    fn loss(&self, k: UpstreamKey, info: &RequestInfo, service_time: Duration, now: Time) -> f64 {
        let u = &self.upstreams[k];
        let failure = self.fault_chance(k, now) * FAILS_SICK;
        let busy = u.busy(now);
        let wait = u.wait(busy, service_time);
        let targets = wait.as_secs_f64() / info.target.unwrap_or(DEFAULT_TARGET).as_secs_f64();
        let mut loss =
            failure * failure_loss(info) + targets * WAIT_LOSS + busy / u.slots * CONCURRENCY_LOSS;
        if !u.local {
            loss += CROSS_HALL_LOSS
                + self.sizes.expected(info.route, info.large_transfer) * self.byte_cost;
        }
        if now < u.warm_up_until {
            loss += WARMUP_LOSS;
        }
        loss
    }

    /// Builds a refusal; the wait is randomised so that callers don't return all at once.
    pub(super) fn refuse(&mut self, kind: RefusalKind, wait: Duration) -> Refusal {
        Refusal { kind, retry_after: jitter(wait, &mut self.rng) }
    }
}

impl Upstream {
    /// Returns the number of requests running and queued, as far as this box knows.
    pub(super) fn busy(&self, now: Time) -> f64 {
        let remote = self.remote.map_or(0.0, |r| {
            r.count * (-now.since(r.at).as_secs_f64() / LOAD_DECAY.as_secs_f64()).exp()
        });
        self.hall_in_flight(now) + remote
    }

    /// Returns the queueing delay of one more request, given the usual service time.
    pub(super) fn wait(&self, busy: f64, service_time: Duration) -> Duration {
        service_time.mul_f64((busy + 1.0 - self.slots).max(0.0) / self.slots)
    }

    /// Returns the number of requests that this data hall has in flight there.
    pub(super) fn hall_in_flight(&self, now: Time) -> f64 {
        self.in_flight.len() as f64 + self.peers_in_flight(now)
    }
}
