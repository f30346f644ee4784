//! Announcements received from peers, and the state handed to a newly started box.

use super::illness::HUNG_SURVIVAL;
use super::in_flight::latency_prior;
use super::learn::raise_announced;
use super::retry::RetryReport;
use super::{Balancer, PeerInFlight, RemoteLoad, Service, Update, Upstream};
use crate::belief::{Belief, Observation};
use crate::collector::NameId;
use crate::time::Time;
use std::time::Duration;

/// Probability of being unhealthy from which an upstream is logged as suspect.
const SUSPECT_CHANCE: f64 = 0.5;
/// Time for which a contradicted peer's reports of failed connections are doubted.
///
/// Those of unreachable upstreams are ignored, those of refused connections need a second peer.
///
/// A peer is contradicted when the upstream answers another box. It has then lost its own
/// network paths, and two such peers would corroborate each other.
pub(super) const CONTRADICTED_TIME: Duration = Duration::from_secs(5);

/// An upstream that became suspect through a peer's update.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// Name of the upstream.
    pub upstream: String,
    /// The announced observation.
    pub observation: Observation,
    /// Probability of being unhealthy before it.
    pub before: f64,
    /// Probability of being unhealthy after it.
    pub after: f64,
}

impl Balancer {
    /// Applies a peer's update; returns a suspicion that it raised.
    pub fn apply_update(&mut self, from: NameId, update: Update, now: Time) -> Option<Suspicion> {
        match update {
            Update::Seen { upstream, observation } => {
                return self.apply_seen(from, upstream, observation, now);
            }
            Update::Open { upstream, count } => {
                self.apply_open(from, upstream, count, now);
            }
            Update::Ended { upstream, count, served, remote, age } => {
                let at = now.before(age);
                self.apply_ended(from, upstream, count, served, at);
                if let (Some(count), Some(u)) = (remote, self.upstream_by_id(upstream)) {
                    u.remote = Some(RemoteLoad { count: f64::from(count), at });
                }
            }
            Update::Recovered { upstream } => {
                let u = self.upstream_by_id(upstream)?;
                u.recovery_announced = true;
                // This data hall judges its own upstreams by its own attempts.
                if !u.local {
                    u.shared.cap_unhealthy(now);
                }
            }
            Update::Belief { upstream, phases } => {
                let u = self.upstream_by_id(upstream)?;
                if !u.observed {
                    u.observed = true;
                    u.shared = Belief::from_peer(phases, now);
                }
            }
            Update::RetrySum { service, sum } => {
                let rule = self.retry_rule;
                if let Some(s) = self.service_by_id(service) {
                    s.retries.inherit(&rule, sum, now);
                }
            }
            Update::Retry { service, requests, retries } => {
                self.apply_retries(
                    service,
                    RetryReport { from, requests, retries, retried: true },
                    now,
                );
            }
            Update::Denied { service, requests, retries } => {
                self.apply_retries(
                    service,
                    RetryReport { from, requests, retries, retried: false },
                    now,
                );
            }
            Update::Limit { upstream, rate } => self.apply_limit(upstream, rate, now),
            Update::Leaving { upstream } => {
                self.record_shutdown(upstream);
            }
            Update::Replaced { upstream } => {
                self.record_replacement(upstream);
            }
            Update::Admitted { subject, sum } => {
                self.limits.apply_admitted(from, subject, sum, now);
            }
            // Counts and paths of other boxes are not handled by the balancer.
            Update::HallAdmitted { .. } | Update::Partitioned { .. } => {}
            Update::Hazard { upstream, episodes, busy_s } => {
                self.apply_hazard(upstream, episodes, busy_s);
            }
            Update::Pressure { service, level } => self.apply_pressure(from, service, level, now),
        }
        None
    }

    fn apply_retries(&mut self, service: NameId, report: RetryReport, now: Time) {
        let rule = self.retry_rule;
        if let Some(s) = self.service_by_id(service) {
            s.retries.apply_report(&rule, report, now);
            if s.divides_budget() {
                s.retries.apply_share(&rule, report, now);
            }
        }
    }

    /// Records the number of attempts in flight from a box of this data hall.
    ///
    /// Attempts that are new count as started at `at`. Returns the previous entry.
    fn apply_open(
        &mut self,
        from: NameId,
        upstream: NameId,
        count: u16,
        at: Time,
    ) -> Option<PeerInFlight> {
        let u = self.upstream_by_id(upstream)?;
        let queued = u.busy(at) >= u.slots;
        let before = u.peers.iter().position(|p| p.from == from).map(|i| u.peers.swap_remove(i));
        if count > 0 {
            // It is unknown which of several attempts ended, so the remaining ones count as
            // new.
            let kept = before.filter(|p| p.count <= count);
            let new = PeerInFlight { from, count, since: at, queued, announced: 1.0 };
            u.peers.push(kept.map_or(new, |p| PeerInFlight { count, ..p }));
        }
        if count > before.map_or(0, |p| p.count) {
            self.record_peer_attempt(upstream, at);
        }
        before
    }

    /// Records that a peer of this data hall sent a request.
    fn record_peer_attempt(&mut self, upstream: NameId, at: Time) {
        let Some(u) = self.upstream_by_id(upstream) else { return };
        u.last_sent = u.last_sent.max(Some(at));
        let service = u.service;
        if let Some(s) = self.services.get_mut(service) {
            s.failures.record_attempt(at);
        }
    }

    /// Records that an attempt of a box of this data hall ended at `at`.
    ///
    /// Not every success is broadcast. Within a data hall, boxes learn of each other's successful
    /// answers and their latency from this update.
    fn apply_ended(&mut self, from: NameId, upstream: NameId, count: u16, served: bool, at: Time) {
        let before = self.apply_open(from, upstream, count, at);
        if before.is_none() && count == 0 {
            self.record_unannounced(upstream, served, at);
        }
        if let Some(p) = before.filter(|p| served && count <= p.count) {
            self.record_peer_success(upstream, p, at);
        }
    }

    /// Records an attempt of a peer of this data hall whose start was not announced.
    fn record_unannounced(&mut self, upstream: NameId, served: bool, at: Time) {
        self.record_peer_attempt(upstream, at);
        if let Some(u) = self.upstream_by_id(upstream).filter(|_| served) {
            u.streak = 0;
            u.observe_success(false, 1.0, at);
        }
    }

    /// Records that an upstream successfully answered a peer of this data hall.
    fn record_peer_success(&mut self, upstream: NameId, p: PeerInFlight, now: Time) {
        let took = now.since(p.since);
        let single = p.count == 1 && !p.queued;
        let Some(u) = self.upstream_by_id(upstream) else { return };
        let service = u.service;
        u.streak = 0;
        let Some(s) = self.services.get_mut(service) else { return };
        let late = single
            && s.latencies.survival(took, latency_prior(super::DEFAULT_TARGET)) < HUNG_SURVIVAL;
        if single {
            s.latencies.add(took);
        }
        if let Some(u) = self.upstream_by_id(upstream) {
            u.observe_success(late, p.announced, now);
            let connect_failures = std::mem::take(&mut u.connect_failures);
            self.mark_contradicted(&connect_failures, now);
        }
    }

    fn apply_seen(
        &mut self,
        from: NameId,
        upstream: NameId,
        observation: Observation,
        now: Time,
    ) -> Option<Suspicion> {
        let service = self.upstream_by_id(upstream)?.service;
        self.count_failure(service, observation, now);
        let shed_share = self.services.get(service).map_or(0.0, |s| s.failures.shed_share());
        let contradicted = self.contradicted.get(&from);
        let is_contradicted = contradicted.is_some_and(|&at| now.since(at) < CONTRADICTED_TIME);
        let u = self.upstream_by_id(upstream)?;
        let mut began = now;
        if let Some(p) = u.peer_entry(from) {
            p.announced = raise_announced(p.announced, observation);
            if observation == Observation::Hung {
                began = p.since;
            }
        }
        let before = u.shared.probability(now);
        if observation == Observation::Unreachable {
            u.reset_last_sent();
        }
        let is_believed = match observation {
            Observation::Unreachable => !is_contradicted && u.is_corroborated(from, now),
            // Without a contradiction, one box is enough: the upstream's machine has answered.
            Observation::Refused => u.is_corroborated(from, now) || !is_contradicted,
            _ => true,
        };
        if is_believed {
            u.observe(observation, shed_share, began, now);
        }
        let after = u.shared.probability(now);
        let became_suspect = before < SUSPECT_CHANCE && after >= SUSPECT_CHANCE;
        became_suspect.then(|| Suspicion { upstream: u.name.clone(), observation, before, after })
    }

    /// Returns the beliefs, rate limits and departures for a newly started box.
    ///
    /// Upstreams without any observation are left out.
    #[must_use]
    pub fn belief_snapshot(&self, now: Time) -> Vec<Update> {
        let belief = |u: &Upstream| Update::Belief {
            upstream: u.id,
            phases: u.shared.phase_probabilities(now),
        };
        let observed = self.upstreams.values().filter(|u| u.observed);
        observed
            .map(belief)
            .chain(self.limits_in_force(now))
            .chain(self.announced_shutdowns())
            .chain(self.replaced_upstreams())
            .chain(self.hazard_snapshot())
            .collect()
    }

    /// Returns the retries of all boxes within the window, for a newly started box.
    ///
    /// Services for which this box does not know the whole window are left out.
    #[must_use]
    pub fn retry_sums(&mut self, now: Time) -> Vec<Update> {
        let rule = self.retry_rule;
        let sum = |s: &mut Service| {
            let sum = s.retries.sum(&rule, now)?;
            Some(Update::RetrySum { service: s.id, sum })
        };
        self.services.values_mut().filter_map(sum).collect()
    }

    fn service_by_id(&mut self, id: NameId) -> Option<&mut Service> {
        let k = *self.services_by_id.get(&id)?;
        self.services.get_mut(k)
    }

    fn upstream_by_id(&mut self, id: NameId) -> Option<&mut Upstream> {
        let k = *self.by_id.get(&id)?;
        self.upstreams.get_mut(k)
    }
}
