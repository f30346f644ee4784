//! Observations from the attempts of this box.

use super::illness::{HUNG_RATIO, OVERDUE_RATIO};
use super::in_flight::latency_prior;
use super::received::CONTRADICTED_TIME;
use super::work::LatencyHistogram;
use super::{
    AnswerKind, Attempt, Balancer, ConnectFailure, DEFAULT_TARGET, RetryReason, Update, Upstream,
};
use crate::belief::Observation;
use crate::collector::NameId;
use crate::router::{AttemptKey, Outcome, ServiceKey, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Probability of being unhealthy below which an upstream counts as recovered.
const RECOVERED_CHANCE: f64 = 0.2;
/// Time within which connection failures of two boxes corroborate each other.
const CORROBORATION_TIME: Duration = Duration::from_millis(1_500);
/// Interval within which several failures count as one.
const FAILURE_GAP: Duration = Duration::from_millis(500);
/// Share of the median service time below which a failure counts as immediate.
///
/// Failures of healthy upstreams mostly come later, those of unhealthy ones sooner.
const EARLY_SHARE: f64 = 0.3;
/// The same as a share of the latency target, before there are samples.
const EARLY_TARGET_SHARE: f64 = 0.08;
/// Likelihood ratio (unhealthy to healthy) of a success that came later than nearly all.
///
/// Either the upstream is slow or the request is long.
const LATE_RATIO: f64 = 3.0;
/// Share of shed requests from which all upstreams of a service are shedding.
///
/// Shedding then causes no probe backoff.
const COMMON_SHED_SHARE: f64 = 0.1;
/// Share of the slots of a data hall below which its requests count as sparse.
///
/// Of two slots and more, one request in twenty then finds another one, and hardly any finds no
/// slot.
const SPARSE_LOAD: f64 = 0.05;
/// Share of its time limit after which an attempt's failure counts as a timeout.
const EXPIRED_SHARE: f64 = 0.95;

impl Balancer {
    /// Counts a failure of a service that any box met.
    pub(super) fn count_failure(
        &mut self,
        service: ServiceKey,
        observation: Observation,
        now: Time,
    ) {
        self.failure_modes.record(observation);
        let halls = self.fleet_scope.boxes as f64 / self.hall_boxes.max(1) as f64;
        let Some(s) = self.services.get_mut(service) else { return };
        if observation.is_failure() {
            s.failures.record_failure(halls, now);
        }
        if observation == Observation::Shed {
            s.failures.record_shed(halls, now);
        }
    }

    /// Records the start of an attempt and announces it to this data hall.
    pub(super) fn record_start(&mut self, k: AttemptKey, upstream: UpstreamKey, now: Time) {
        let Some(u) = self.upstreams.get_mut(upstream) else { return };
        u.in_flight.push(k);
        u.last_sent = Some(now);
        let (service, id, count) = (u.service, u.id, u.in_flight_count());
        if let Some(s) = self.services.get_mut(service) {
            s.failures.record_attempt(now);
        }
        if !self.is_sparse(service, now) || self.limits.is_limited(id, now) {
            self.updates.push(Update::Open { upstream: id, count });
        }
    }

    /// Returns whether the requests of this data hall hardly ever meet at an upstream.
    ///
    /// The start of an attempt then tells the other boxes nothing that its end does not.
    fn is_sparse(&self, k: ServiceKey, now: Time) -> bool {
        let Some(s) = self.services.get(k) else { return false };
        let Some(rate) = s.failures.attempt_rate(now) else { return false };
        let busy = rate * s.latencies.quantile(0.5, latency_prior(DEFAULT_TARGET)).as_secs_f64();
        busy < SPARSE_LOAD * s.local_slots
    }

    pub(super) fn spend(&mut self, k: ServiceKey, why: RetryReason, now: Time) -> bool {
        let (rule, fleet_scope) = (self.retry_rule, self.fleet_scope);
        let Some(s) = self.services.get_mut(k) else { return false };
        if !s.retries.spend(&rule, fleet_scope, why, now) {
            if s.retries.update_due(now) {
                self.updates.push(Update::Denied {
                    service: s.id,
                    requests: s.retries.requests(),
                    retries: s.retries.retries(),
                });
            }
            return false;
        }
        self.updates.push(Update::Retry {
            service: s.id,
            requests: s.retries.requests(),
            retries: s.retries.retries(),
        });
        true
    }

    /// Announces the evidence of an attempt that is still in flight.
    pub(super) fn record_in_flight(&mut self, k: AttemptKey, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        for observation in self.due_observations(&a, now) {
            self.record_observation(a.upstream, observation, a.started, now);
            if let Some(a) = self.attempts.get_mut(k) {
                a.announced = raise_announced(a.announced, observation);
            }
        }
    }

    pub(super) fn record_head(&mut self, k: AttemptKey, ok: bool, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        if !ok && a.is_expired(now) {
            // The upstream gave up at the attempt's time limit, which is evaluated when the
            // attempt ends.
            return;
        }
        let took = now.since(a.started);
        let late = self.is_hung(&a, now);
        let remote = self.upstreams.get(a.upstream).and_then(|u| u.remote).filter(|r| r.at == now);
        let remote = remote.map(|r| r.count.min(f64::from(u8::MAX - 1)) as u8);
        if let Some(a) = self.attempts.get_mut(k) {
            a.answer = Some(if ok { AnswerKind::Good } else { AnswerKind::Bad });
            // The load report in this answer's head was recorded just before.
            a.remote = remote;
        }
        if ok {
            self.record_latency(&a, took);
            self.record_success(&a, late, now);
        } else if self.is_early(&a, took) {
            self.record_observation(a.upstream, Observation::Failure, now, now);
        } else if self.route_latencies.contains_key(&a.route) {
            self.record_observation(a.upstream, Observation::FailedWork, now, now);
        }
    }

    /// Returns whether an answer came too early for any work to have been done.
    fn is_early(&self, a: &Attempt, took: Duration) -> bool {
        let latencies = self.services.get(a.service).map(|s| &s.latencies).filter(|h| h.is_warm());
        let threshold =
            |h: &LatencyHistogram| h.quantile(0.5, latency_prior(a.target)).mul_f64(EARLY_SHARE);
        took < latencies.map_or_else(|| a.target.mul_f64(EARLY_TARGET_SHARE), threshold)
    }

    pub(super) fn record_end(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        let hung = a.answer.is_none() && self.is_hung(&a, now);
        self.attempts.remove(k);
        let is_invalid = matches!(outcome, Outcome::Malformed | Outcome::Failed);
        let served = a.answer == Some(AnswerKind::Good) && !is_invalid;
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.in_flight.retain(|&x| x != k);
            let (upstream, count) = (u.id, u.in_flight_count());
            self.updates.push(Update::Ended {
                upstream,
                count,
                served,
                remote: a.remote,
                age: Duration::ZERO,
            });
        }
        let observation = match outcome {
            Outcome::Completed | Outcome::Cancelled | Outcome::TimedOut => {
                // The caller or the deadline ended the attempt, so only its age is evidence.
                if hung {
                    self.record_observation(a.upstream, Observation::Hung, a.started, now);
                }
                return;
            }
            Outcome::NotRun => Observation::Shed,
            Outcome::Failed | Outcome::Malformed => Observation::Failure,
            Outcome::Refused => Observation::Refused,
            Outcome::Unreachable => Observation::Unreachable,
            Outcome::Partitioned => {
                if let Some(u) = self.upstreams.get_mut(a.upstream) {
                    u.reset_last_sent();
                }
                return;
            }
            Outcome::Misdirected => {
                if self.mark_replaced(a.id) {
                    self.updates.push(Update::Replaced { upstream: a.id });
                }
                return;
            }
        };
        self.record_observation(a.upstream, observation, now, now);
    }

    /// Records a successful answer to an attempt of this box.
    fn record_success(&mut self, a: &Attempt, late: bool, now: Time) {
        let Some(u) = self.upstreams.get_mut(a.upstream) else { return };
        u.update_failures(Observation::Success, now);
        u.path.observe(Observation::Success, now);
        u.observe_success(late, a.announced, now);
        let connect_failures = std::mem::take(&mut u.connect_failures);
        if a.announced > 1.0 {
            // The attempt was announced as overdue or hung.
            u.hangs.record(Observation::Success, now);
            self.updates.push(Update::Seen { upstream: u.id, observation: Observation::Success });
        }
        if u.local && !u.recovery_announced && u.shared.probability(now) < RECOVERED_CHANCE {
            u.recovery_announced = true;
            self.updates.push(Update::Recovered { upstream: u.id });
        }
        self.mark_contradicted(&connect_failures, now);
    }

    /// Marks boxes whose connection failures are contradicted by an answer of the upstream.
    pub(super) fn mark_contradicted(&mut self, connect_failures: &[ConnectFailure], now: Time) {
        let recent = connect_failures.iter().filter(|r| now.since(r.at) < CONTRADICTED_TIME);
        self.contradicted.extend(recent.map(|r| (r.from, now)));
    }

    /// Records an observation of this box and broadcasts it.
    ///
    /// A hang counts from `began`, when its attempt was sent.
    fn record_observation(
        &mut self,
        k: UpstreamKey,
        observation: Observation,
        began: Time,
        now: Time,
    ) {
        let Some(service) = self.upstreams.get(k).map(|u| u.service) else { return };
        self.count_failure(service, observation, now);
        let shed_share = self.services.get(service).map_or(0.0, |s| s.failures.shed_share());
        let u = &mut self.upstreams[k];
        if observation == Observation::Unreachable {
            // The fault may only be in this box's path; otherwise other boxes report it too.
            u.path.observe(observation, now);
            u.reset_last_sent();
        } else {
            u.observe(observation, shed_share, began, now);
        }
        self.updates.push(Update::Seen { upstream: u.id, observation });
    }
}

/// Returns the announced likelihood ratio of an attempt after one more observation.
pub(super) fn raise_announced(announced: f64, observation: Observation) -> f64 {
    match observation {
        Observation::Overdue => announced.max(OVERDUE_RATIO),
        Observation::Hung => announced.max(HUNG_RATIO),
        _ => announced,
    }
}

impl Attempt {
    /// Returns whether the attempt has used up its time limit.
    fn is_expired(&self, now: Time) -> bool {
        self.remaining.is_some_and(|left| now.since(self.started) >= left.mul_f64(EXPIRED_SHARE))
    }
}

impl Upstream {
    /// Returns the number of attempts of this box in flight there.
    fn in_flight_count(&self) -> u16 {
        u16::try_from(self.in_flight.len()).unwrap_or(u16::MAX)
    }

    /// Updates the belief by an observation of any box.
    ///
    /// Shedding is the weaker evidence against one upstream, the more of it all upstreams do.
    /// What was observed began at `began` and was noticed at `now`.
    pub(super) fn observe(
        &mut self,
        observation: Observation,
        shed_share: f64,
        began: Time,
        now: Time,
    ) {
        self.observed = true;
        self.hangs.record(observation, now);
        if observation != Observation::Shed {
            self.update_failures(observation, began);
            self.shared.observe(observation, now);
            return;
        }
        if shed_share < COMMON_SHED_SHARE {
            self.update_failures(observation, now);
        }
        let (healthy, unhealthy) = observation.likelihood();
        self.shared.update(healthy.max(shed_share), unhealthy.max(shed_share), now);
    }

    /// Resets the last send time, as the last request did not reach the upstream.
    pub(super) const fn reset_last_sent(&mut self) {
        self.last_sent = self.last_success;
    }

    /// Records a connection failure; returns whether another box corroborates it.
    pub(super) fn is_corroborated(&mut self, from: NameId, now: Time) -> bool {
        self.connect_failures.retain(|r| r.from != from && now.since(r.at) < CORROBORATION_TIME);
        self.connect_failures.push(ConnectFailure { from, at: now });
        self.connect_failures.len() > 1
    }

    /// Records a success and reverts what was announced while the attempt was in flight.
    pub(super) fn observe_success(&mut self, late: bool, announced: f64, now: Time) {
        self.observed = true;
        self.broken = false;
        self.hangs.record_answer();
        self.last_success = self.last_success.max(Some(now));
        if late || announced > OVERDUE_RATIO {
            self.shared.update(announced, LATE_RATIO, now);
        } else {
            self.shared.update(announced, 1.0, now);
            self.shared.observe(Observation::Success, now);
        }
    }

    /// Updates the time and number of consecutive failures.
    ///
    /// A hang is noticed seconds after its upstream may have recovered, so failures are dated by
    /// when they began.
    fn update_failures(&mut self, observation: Observation, began: Time) {
        match observation {
            Observation::Success => self.streak = 0,
            Observation::FailedWork | Observation::Overdue => {}
            _ => {
                // Simultaneous failures count as one.
                let is_separate = self.last_failure.is_none_or(|at| began.since(at) > FAILURE_GAP);
                self.streak += u32::from(is_separate);
                self.broken |= matches!(observation, Observation::Failure | Observation::Refused);
                self.last_failure = self.last_failure.max(Some(began));
                self.recovery_announced = false;
            }
        }
    }
}
