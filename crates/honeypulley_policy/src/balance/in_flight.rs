//! Evidence from attempts in flight.
//!
//! An attempt that is unanswered when most answers would have arrived is evidence against its
//! upstream, which grows with its age. It is evaluated at each selection, for attempts of this
//! box and of its data hall, whose starts are announced anyway.

use super::illness::{HUNG_RATIO, HUNG_SURVIVAL, OVERDUE_RATIO};
use super::work::LatencyPrior;
use super::{Attempt, Balancer, DEFAULT_TARGET, PeerInFlight, Service, Upstream};
use crate::belief::{FAILS_SICK, Observation};
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::router::{AttemptKey, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Median service time as a share of the latency target, before any sample.
const PRIOR_SHARE: f64 = 0.3;
/// Latency quantile by which a hedge is expected to be answered.
const HEDGE_QUANTILE: f64 = 0.8;
/// Factor on that latency for the round trip.
const ROUND_TRIP_FACTOR: f64 = 1.15;
/// Bounds of the hedging delay, as shares of the latency target.
const HEDGE_BOUNDS: (f64, f64) = (0.3, 0.6);
/// Interval between checks after the last threshold, as a share of the latency target.
const CHECK_INTERVAL: f64 = 0.25;
/// Shortest interval between checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Age after which a peer's attempts in flight are ignored.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(6);
/// Likelihood ratio of attempts in flight from which an upstream is not probed.
const NO_PROBE_RATIO: f64 = OVERDUE_RATIO;
/// Bisection steps when searching an age; the result is exact to a 500th of the target.
const SEARCH_STEPS: usize = 12;
/// Upper bound of the searched age, in latency targets.
const SEARCH_TARGETS: f64 = 8.0;

impl Balancer {
    /// Returns the probability that an upstream or the path to it is faulty.
    pub(super) fn fault_chance(&self, k: UpstreamKey, now: Time) -> f64 {
        let path = self.upstreams[k].path.probability(now);
        1.0 - (1.0 - self.unhealthy_chance(k, now)) * (1.0 - path)
    }

    /// Returns the probability that an upstream is unhealthy, including evidence in flight.
    pub(super) fn unhealthy_chance(&self, k: UpstreamKey, now: Time) -> f64 {
        let u = &self.upstreams[k];
        let probability = u.shared.probability(now);
        let ratio = self.in_flight_ratio(u, now);
        probability * ratio / (probability * ratio + 1.0 - probability)
    }

    /// Returns whether an attempt has been in flight there for unusually long.
    pub(super) fn has_overdue(&self, k: UpstreamKey, now: Time) -> bool {
        self.in_flight_ratio(&self.upstreams[k], now) >= NO_PROBE_RATIO
    }

    /// Returns whether requests that hang take up all slots.
    pub(super) fn is_stuck(&self, u: &Upstream, now: Time) -> bool {
        self.hung_in_flight(u, now) >= u.slots
    }

    /// Returns the number of requests of this data hall that hang there.
    pub(super) fn hung_in_flight(&self, u: &Upstream, now: Time) -> f64 {
        let is_hung = |a: &&Attempt| a.announced >= HUNG_RATIO && a.answer.is_none();
        let own = u.in_flight.iter().filter_map(|&a| self.attempts.get(a)).filter(is_hung).count();
        let fresh = u.peers.iter().filter(|p| now.since(p.since) < IN_FLIGHT_TTL);
        let peers: u16 = fresh.filter(|p| p.announced >= HUNG_RATIO).map(|p| p.count).sum();
        own as f64 + f64::from(peers)
    }

    /// Returns the likelihood ratio (unhealthy to healthy) of all attempts in flight.
    fn in_flight_ratio(&self, u: &Upstream, now: Time) -> f64 {
        let Some(s) = self.services.get(u.service) else { return 1.0 };
        let own = u.in_flight.iter().filter_map(|&a| self.attempts.get(a));
        let own: f64 = own.map(|a| self.unannounced_ratio(a, now)).product();
        let fresh = u.peers.iter().filter(|p| !p.queued && now.since(p.since) < IN_FLIGHT_TTL);
        let waited = u.queueing_delay(s, now);
        let peers: f64 = fresh.map(|p| self.peer_ratio(s, p, waited, now)).product();
        own * peers
    }

    /// Returns the part of an attempt's likelihood ratio that is not yet announced.
    fn unannounced_ratio(&self, a: &Attempt, now: Time) -> f64 {
        (self.age_ratio(a, now) / a.announced).max(1.0)
    }

    fn peer_ratio(&self, s: &Service, p: &PeerInFlight, waited: Duration, now: Time) -> f64 {
        let age = now.since(p.since).saturating_sub(waited);
        // The peer's route is unknown, so the default latency target is used.
        let survival = s.latencies.survival(age, latency_prior(DEFAULT_TARGET));
        (self.failure_modes.age_ratio(survival) / p.announced).max(1.0)
    }

    /// Returns the likelihood ratio (unhealthy to healthy) of an attempt's age.
    pub(super) fn age_ratio(&self, a: &Attempt, now: Time) -> f64 {
        if a.queued || a.answer.is_some() {
            return 1.0;
        }
        let ratio = self.failure_modes.age_ratio(self.survival(a, now));
        // All requests of a route without samples may take that long, so the evidence is
        // limited.
        if self.route_latencies.contains_key(&a.route) { ratio } else { ratio.min(OVERDUE_RATIO) }
    }

    /// Returns the share of answers that take longer than an attempt's age without queueing.
    fn survival(&self, a: &Attempt, now: Time) -> f64 {
        let Some(service) = self.services.get(a.service) else { return 1.0 };
        let latencies = self
            .route_latencies
            .get(&a.route)
            .filter(|h| h.is_warm())
            .unwrap_or(&service.latencies);
        let upstream = self.upstreams.get(a.upstream);
        let waited = upstream.map_or(Duration::ZERO, |u| u.queueing_delay(service, now));
        latencies.survival(now.since(a.started).saturating_sub(waited), latency_prior(a.target))
    }

    /// Returns the observations that an attempt in flight has to announce now.
    pub(super) fn due_observations(&self, a: &Attempt, now: Time) -> Vec<Observation> {
        let ratio = self.age_ratio(a, now);
        let thresholds = [(OVERDUE_RATIO, Observation::Overdue), (HUNG_RATIO, Observation::Hung)];
        let due =
            |&&(threshold, _): &&(f64, Observation)| a.announced < threshold && ratio >= threshold;
        thresholds.iter().filter(due).map(|&(_, observation)| observation).collect()
    }

    /// Returns whether an unanswered attempt is older than nearly all answers.
    pub(super) fn is_hung(&self, a: &Attempt, now: Time) -> bool {
        let has_samples = self.route_latencies.contains_key(&a.route);
        let is_slow = self.survival(a, now) < HUNG_SURVIVAL;
        has_samples && is_slow && !a.queued && a.announced < HUNG_RATIO
    }

    /// Returns the time until an attempt in flight has to be checked again.
    ///
    /// That is when it reaches the next evidence threshold or may be hedged.
    pub(super) fn next_check(&self, info: &RequestInfo, age: Duration) -> Duration {
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let thresholds = [OVERDUE_RATIO, HUNG_RATIO].map(|r| self.age_of_ratio(info, r, target));
        let ages = thresholds.into_iter().flatten().chain([self.hedge_delay(info)]);
        let next = ages.filter(|&at| at > age).min();
        next.map_or_else(|| target.mul_f64(CHECK_INTERVAL), |at| (at - age).max(MIN_CHECK_INTERVAL))
    }

    /// Returns the age at which a hedge should be sent.
    ///
    /// It is the latest age at which the hedge is still likely to be answered within the
    /// latency target; earlier hedges spend retry budget on attempts that would have been
    /// answered.
    pub(super) fn hedge_delay(&self, info: &RequestInfo) -> Duration {
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let latency = self.latency_quantile(info, HEDGE_QUANTILE).mul_f64(ROUND_TRIP_FACTOR);
        let (least, most) = (target.mul_f64(HEDGE_BOUNDS.0), target.mul_f64(HEDGE_BOUNDS.1));
        target.saturating_sub(latency).clamp(least, most)
    }

    /// Returns the probability that an attempt stays unanswered, once it may be hedged.
    pub(super) fn unanswered_chance(
        &self,
        info: &RequestInfo,
        k: AttemptKey,
        now: Time,
    ) -> Option<f64> {
        let a = self.attempts.get(k)?;
        let fault = if self.upstreams.contains_key(a.upstream) {
            self.fault_chance(a.upstream, now)
        } else if self.restarted.contains(&a.upstream) {
            1.0
        } else {
            return None;
        };
        let probability = fault * FAILS_SICK;
        // The hedging delay may have changed slightly since this check was scheduled.
        let due = now.since(a.started) + MIN_CHECK_INTERVAL >= self.hedge_delay(info);
        due.then_some(probability)
    }

    /// Returns a quantile of the latency to expect for a request.
    pub(super) fn latency_quantile(&self, info: &RequestInfo, share: f64) -> Duration {
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let latencies = self.route_latencies.get(&info.route).filter(|h| h.is_warm());
        let latencies = latencies.or_else(|| self.services.get(info.service).map(|s| &s.latencies));
        latencies.map_or(target, |h| h.quantile(share, latency_prior(target)))
    }

    /// Returns the age at which an attempt reaches a likelihood ratio.
    fn age_of_ratio(&self, info: &RequestInfo, ratio: f64, target: Duration) -> Option<Duration> {
        let service = self.services.get(info.service)?;
        let latencies = self
            .route_latencies
            .get(&info.route)
            .filter(|h| h.is_warm())
            .unwrap_or(&service.latencies);
        let ratio_at = |age: Duration| {
            self.failure_modes.age_ratio(latencies.survival(age, latency_prior(target)))
        };
        let mut bounds = (Duration::ZERO, target.mul_f64(SEARCH_TARGETS));
        if ratio_at(bounds.1) < ratio {
            return None;
        }
        for _ in 0..SEARCH_STEPS {
            let middle = (bounds.0 + bounds.1) / 2;
            if ratio_at(middle) < ratio {
                bounds.0 = middle;
            } else {
                bounds.1 = middle;
            }
        }
        Some(bounds.1)
    }

    /// Records the latency of a successful answer.
    pub(super) fn record_latency(&mut self, a: &Attempt, took: Duration) {
        if a.queued {
            return;
        }
        if let Some(s) = self.services.get_mut(a.service) {
            s.latencies.add(took);
        }
        if self.route_latencies.len() < MAX_ROUTES || self.route_latencies.contains_key(&a.route) {
            self.route_latencies.entry(a.route).or_default().add(took);
        }
    }
}

/// Maximum number of routes with latencies, at half a kilobyte each.
const MAX_ROUTES: usize = 1_024;

/// Returns the latency prior for a latency target.
pub(super) fn latency_prior(target: Duration) -> LatencyPrior {
    LatencyPrior { median: target.as_secs_f64() * PRIOR_SHARE }
}

impl Upstream {
    /// Returns how long requests there may have queued behind others.
    ///
    /// Without this, a queue filled by other data halls looks like a hang: after a restart of
    /// all boxes most upstreams of a service were suspected, and the remaining ones were
    /// overloaded.
    fn queueing_delay(&self, s: &Service, now: Time) -> Duration {
        let ahead = (self.busy(now) - self.slots).max(0.0);
        s.latencies.quantile(0.5, latency_prior(DEFAULT_TARGET)).mul_f64(ahead / self.slots)
    }

    /// Returns the entry of another box's attempts in flight.
    pub(super) fn peer_entry(&mut self, from: NameId) -> Option<&mut PeerInFlight> {
        self.peers.iter_mut().find(|p| p.from == from)
    }

    /// Returns the number of attempts in flight from other boxes of this data hall.
    pub(super) fn peers_in_flight(&self, now: Time) -> f64 {
        let fresh = self.peers.iter().filter(|p| now.since(p.since) < IN_FLIGHT_TTL);
        fresh.map(|p| f64::from(p.count)).sum()
    }
}
