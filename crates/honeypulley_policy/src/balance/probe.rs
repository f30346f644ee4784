//! Probes: requests to idle upstreams that would not be selected by their loss.
//!
//! The floor requires that most healthy upstreams get a request within any two seconds, but a
//! probe of an upstream that has just failed is likely to fail as well. So each upstream gets a
//! probe after some idle time, and one that failed gets it later.

use super::floor::{FLOOR_WINDOW, FloorRule};
use super::{Balancer, Service, Upstream};
use crate::chooser::RequestInfo;
use crate::router::UpstreamKey;
use crate::time::Time;
use std::time::Duration;

/// Longest idle time of an upstream before a repeatable request probes it.
///
/// While the failure rate is high, the floor requires that most healthy upstreams get a request
/// within any two seconds. As failures can't be foreseen, upstreams are probed at all times, by
/// repeatable requests where there are any.
const MAX_IDLE: Duration = Duration::from_millis(1_000);
/// The same on a newly started box, which knows nothing of any upstream.
///
/// It spreads its requests until it has observations, also after a restart of all boxes.
const STARTUP_MAX_IDLE: Duration = Duration::from_millis(400);
/// Time for which a box counts as newly started.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Probe backoff while the failure rate of a service is low.
///
/// The floor includes an upstream again soon after its recovery, so a longer backoff could
/// violate it if all boxes are lost at that time.
const NORMAL_BACKOFF: ProbeBackoff =
    ProbeBackoff { base: Duration::from_secs(4), tolerated: 2, doublings: 1 };
/// Probe backoff while the failure rate is high and the floor is evaluated.
///
/// The floor includes a recovered upstream after two seconds, so it must be probed within four.
const FAILING_BACKOFF: ProbeBackoff =
    ProbeBackoff { base: Duration::from_secs(2), tolerated: 2, doublings: 1 };
/// The same where requests are placed by hazard, which keeps them from prone upstreams anyway.
///
/// Each episode of a prone upstream counts as a further failure, and the floor includes the
/// upstream again two seconds after each of them.
const FLOOR_BACKOFF: ProbeBackoff = ProbeBackoff { doublings: 0, ..FAILING_BACKOFF };
/// Last share of the idle time, in which boxes spread their probes.
///
/// Otherwise boxes would probe the same upstream at once, before they learn of each other's
/// probes.
const OFFSET_SHARE: f64 = 0.15;
/// Probability of a faulty path above which probing is left to the other boxes.
const BAD_PATH_CHANCE: f64 = 0.4;

/// Backoff of probes to upstreams that failed.
#[derive(Clone, Copy, Debug)]
struct ProbeBackoff {
    /// Time after a failure for which an upstream is not probed.
    base: Duration,
    /// Consecutive failures that don't extend the backoff, since one fault may cause them.
    tolerated: u32,
    /// Maximum number of doublings of the backoff, one for each further failure.
    ///
    /// A fault lasts about four seconds. An upstream that fails for longer has a fault of
    /// another kind, which the floor does not include.
    doublings: u32,
}

impl ProbeBackoff {
    /// Returns the backoff after a number of consecutive failures.
    fn delay(self, streak: u32) -> Duration {
        self.base * 2u32.pow(streak.saturating_sub(self.tolerated).min(self.doublings))
    }
}

/// Rule for when a request probes an idle upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeRule {
    backoff: ProbeBackoff,
    /// Longest idle time.
    max_idle: Duration,
    /// The availability floor.
    floor: FloorRule,
    /// Whether no probe is needed once the floor is met.
    is_floor_enough: bool,
    /// Whether upstreams with a low hazard of hanging are probed first.
    is_hazard_weighed: bool,
    /// Whether a probe may queue behind requests that hang.
    ///
    /// An upstream may have recovered while earlier requests still take up its slots.
    is_queueing_allowed: bool,
    /// Requests of this data hall per second, once they are known.
    rate: Option<f64>,
}

impl ProbeRule {
    /// Returns the rule for a request to a service.
    pub(super) fn of(s: &Service, info: &RequestInfo, now: Time) -> Self {
        let is_starting = now.since(s.added) < STARTUP_TIME;
        let max_idle = match (is_starting, info.repeatable) {
            (true, _) => STARTUP_MAX_IDLE,
            (false, true) => MAX_IDLE,
            (false, false) => FLOOR_WINDOW,
        };
        // Requests over their organisations' limits count as not served for the floor as well.
        let is_rejecting = s.weighs_hazard() && s.failures.is_rejecting(now);
        let failing = s.failures.is_failing(now) || is_rejecting;
        let backoff = match (failing, s.weighs_hazard()) {
            (false, _) => NORMAL_BACKOFF,
            (true, false) => FAILING_BACKOFF,
            (true, true) => FLOOR_BACKOFF,
        };
        let upstreams = s.upstreams.len();
        let is_hazard_weighed = s.weighs_hazard() && !info.repeatable;
        // The floor is evaluated only while many requests fail. At other times, a margin costs
        // requests that meet upstreams which are avoided.
        let has_margin = failing || !is_hazard_weighed;
        let floor = FloorRule { share: s.spec.floor.share(upstreams), upstreams, has_margin };
        // While the failure rate is high, beliefs are least certain and the floor is evaluated.
        // Probing with a repeatable request costs no more than a retry.
        let is_floor_enough = !is_starting && !info.repeatable && !failing;
        let is_queueing_allowed = failing && info.repeatable;
        let rate = s.failures.attempt_rate(now);
        Self {
            backoff,
            max_idle,
            floor,
            is_floor_enough,
            is_hazard_weighed,
            is_queueing_allowed,
            rate,
        }
    }
}

impl Balancer {
    /// Returns an upstream of this data hall that has been idle for too long.
    pub(super) fn probe_target(
        &mut self,
        open: &[UpstreamKey],
        rule: ProbeRule,
        now: Time,
    ) -> Option<UpstreamKey> {
        if !self.can_meet_floor(open, rule)
            || (rule.is_floor_enough && self.meets_floor(open, rule.floor, now))
        {
            return None;
        }
        let is_due = |k: &UpstreamKey| self.is_due(*k, rule, now);
        let mut due: Vec<UpstreamKey> = open.iter().copied().filter(is_due).collect();
        if due.iter().any(|&k| self.upstreams[k].is_new()) {
            due.retain(|&k| self.upstreams[k].is_new());
        } else if rule.is_hazard_weighed {
            self.retain_safest(&mut due);
        }
        self.less_suspect(&due, now)
    }

    /// Returns whether the requests of this data hall suffice to meet the floor.
    ///
    /// Otherwise probes would take up all requests and still leave the floor unmet, while
    /// upstreams that have just answered are the most likely to answer again.
    fn can_meet_floor(&self, open: &[UpstreamKey], rule: ProbeRule) -> bool {
        let Some(rate) = rule.rate else { return true };
        let local = open.iter().filter(|&&k| self.upstreams[k].local).count();
        rule.floor.is_attainable(local, rate)
    }

    fn is_due(&self, k: UpstreamKey, rule: ProbeRule, now: Time) -> bool {
        let u = &self.upstreams[k];
        let is_available = !u.is_backed_off(rule.backoff, now);
        let has_slot = u.busy(now) < u.slots || (rule.is_queueing_allowed && self.is_stuck(u, now));
        let is_free = u.local && has_slot && u.path.probability(now) < BAD_PATH_CHANCE;
        let idle = u.idle_time(rule.backoff, now);
        is_available
            && is_free
            && self.has_idled(u, idle, rule.max_idle)
            && !self.has_overdue(k, now)
    }

    /// Returns whether an upstream has been idle long enough for this box.
    ///
    /// A random offset spreads the probes of different boxes.
    fn has_idled(&self, u: &Upstream, idle: Duration, max_idle: Duration) -> bool {
        if idle <= max_idle.mul_f64(1.0 - OFFSET_SHARE) {
            return false;
        }
        idle > max_idle.mul_f64(1.0 - OFFSET_SHARE * self.random_offset(u))
    }

    /// Returns the less suspect of two upstreams drawn at random.
    ///
    /// If all boxes took the one with the longest idle time, they would probe it at once.
    fn less_suspect(&mut self, due: &[UpstreamKey], now: Time) -> Option<UpstreamKey> {
        self.draw_better(due, |b, k| b.upstreams[k].shared.probability(now))
    }

    /// Returns the one with the lower value of two upstreams drawn at random.
    pub(super) fn draw_better(
        &mut self,
        among: &[UpstreamKey],
        value: impl Fn(&Self, UpstreamKey) -> f64,
    ) -> Option<UpstreamKey> {
        if among.is_empty() {
            return None;
        }
        let mut draw = || among[self.rng.usize(..among.len())];
        let (a, b) = (draw(), draw());
        Some(if value(self, b) < value(self, a) { b } else { a })
    }
}

impl Upstream {
    /// Returns whether it has never been sent a request, as far as is known.
    pub(super) const fn is_new(&self) -> bool {
        self.last_sent.is_none() && self.last_failure.is_none()
    }

    /// Returns whether it is still in probe backoff.
    fn is_backed_off(&self, backoff: ProbeBackoff, now: Time) -> bool {
        self.last_failure.is_some_and(|at| now.since(at) < backoff.delay(self.streak))
    }

    /// Returns how long it has been available for probes and idle.
    fn idle_time(&self, backoff: ProbeBackoff, now: Time) -> Duration {
        let available = self.last_failure.map_or(self.added, |at| at + backoff.delay(self.streak));
        now.since(self.last_sent.unwrap_or(self.added).max(available))
    }
}
