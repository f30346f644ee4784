//! Selection among the upstreams of a service.

use super::{
    Attempt, LocalEvidence, Pick, Reason, Refusal, RefusalKind, Router, Service, ServiceKey,
    Upstream, UpstreamKey, UpstreamStatus, jitter,
};
use crate::collector::Judgement;
use crate::permits::{LEASE, PermitState};
use crate::time::Time;
use std::time::Duration;

/// Share of picks that probe each upstream on probation.
const CANARY_SHARE: f64 = 0.05;
/// Slow-start period of a new upstream.
const SLOW_START: Duration = Duration::from_secs(10);
/// Age at which a load report is ignored.
const LOAD_TTL: Duration = Duration::from_secs(2);
/// Reported load of an upstream with all slots busy and an empty queue.
const LOAD_BUSY: f64 = 1.0;
/// Reported load from which an upstream counts as full.
///
/// Also the upper bound of the cost of a reported load.
const LOAD_FULL: f64 = 2.0;
/// Time for which an upstream's announcement of its shutdown remains valid.
const DRAIN_TTL: Duration = Duration::from_secs(300);
/// Cost of using another data hall, in outstanding requests.
const CROSS_HALL_COST: f64 = 0.5;

/// Health class of an upstream; lower values are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Preferred,
    Probation,
    /// Avoided on evidence of this box alone.
    Avoided,
    /// Judged suspect by the collectors.
    Suspect,
    /// Ejected by a valid permit.
    Ejected,
}

impl Router {
    /// Picks an upstream for one attempt and opens the attempt.
    ///
    /// Skips the `tried` upstreams. Probes are sent only with requests that may be repeated, unless
    /// the service allows no repeats at all.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no upstream is available; nothing has been sent then.
    pub fn pick(
        &mut self,
        service: ServiceKey,
        repeatable: bool,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Pick, Refusal> {
        let Some(s) = self.services.get(service) else {
            return Err(self.refuse(RefusalKind::NoUpstream, Duration::from_secs(1)));
        };
        let mut candidates = self.classes(s, now);
        candidates.retain(|(u, _)| !tried.contains(u) && !self.upstreams[*u].is_leaving(now));
        if candidates.is_empty() {
            return Err(self.refuse(RefusalKind::NoUpstream, Duration::from_secs(1)));
        }
        let min_backoff =
            candidates.iter().map(|(u, _)| self.upstreams[*u].backoff_left(now)).min();
        candidates.retain(|(u, _)| self.upstreams[*u].backoff_left(now).is_zero());
        if let (true, Some(wait)) = (candidates.is_empty(), min_backoff) {
            return Err(self.refuse(RefusalKind::Backoff, wait));
        }
        let max_connections = s.max_connections;
        let median = s.latency.median();
        let may_probe = repeatable || s.spec.repeat == crate::spec::RepeatPolicy::Never;
        candidates.retain(|(u, c)| {
            *c != Class::Ejected && self.upstreams[*u].in_flight < max_connections
        });
        let canaries = of_class(&candidates, |c| c == Class::Probation);
        if may_probe
            && !canaries.is_empty()
            && self.rng.f64() < CANARY_SHARE * canaries.len() as f64
        {
            let u = canaries[self.rng.usize(..canaries.len())];
            return Ok(self.open_attempt(service, u, Reason::Canary, now));
        }
        let preferred = of_class(&candidates, |c| c == Class::Preferred);
        let free: Vec<UpstreamKey> =
            preferred.iter().copied().filter(|&u| !self.upstreams[u].is_full(now)).collect();
        if let Some(u) = self.cheaper_of_two(&free, now) {
            return Ok(self.open_attempt(service, u, Reason::TwoChoices, now));
        }
        // Avoided upstreams are used before requests queue at the preferred ones.
        let rest = of_class(&candidates, |c| c != Class::Preferred);
        if let Some(u) = self.cheaper_of_two(&rest, now) {
            return Ok(self.open_attempt(service, u, Reason::LastResort, now));
        }
        if let Some(u) = self.cheaper_of_two(&preferred, now) {
            return Ok(self.open_attempt(service, u, Reason::TwoChoices, now));
        }
        Err(self.refuse(RefusalKind::ConnectionsExhausted, median))
    }

    /// Returns the status of all upstreams, for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Vec<UpstreamStatus> {
        self.services.values().flat_map(|s| self.service_status(s, now)).collect()
    }

    fn service_status(&self, s: &Service, now: Time) -> Vec<UpstreamStatus> {
        let valid = self.confirmed.is_some_and(|at| now.since(at) < LEASE);
        let row = |(k, c): (UpstreamKey, Class)| {
            let u = &self.upstreams[k];
            let floor_kept = c == Class::Preferred && u.class(valid, now) >= Class::Avoided;
            UpstreamStatus {
                service: s.spec.name.clone(),
                upstream: u.name.clone(),
                state: if u.is_leaving(now) { "leaving" } else { c.as_str() },
                reason: if floor_kept {
                    "the floor keeps it at work".to_owned()
                } else {
                    u.reason(c, valid)
                },
                evidence: LocalEvidence { score: s.scores.score(k), counts: s.scores.counts(k) },
                in_flight: u.in_flight,
            }
        };
        self.classes(s, now).into_iter().map(row).collect()
    }

    /// Classifies the upstreams of a service, ejecting no more than the floor allows.
    fn classes(&self, s: &Service, now: Time) -> Vec<(UpstreamKey, Class)> {
        let valid = self.confirmed.is_some_and(|at| now.since(at) < LEASE);
        let mut all: Vec<(UpstreamKey, Class)> =
            s.upstreams.iter().map(|&u| (u, self.upstreams[u].class(valid, now))).collect();
        let live = all.iter().filter(|(u, _)| !self.upstreams[*u].is_leaving(now)).count();
        let max_ejected = live.saturating_sub(s.spec.floor.count(s.upstreams.len()));
        let mut unhealthy: Vec<(Class, u64, UpstreamKey)> = all
            .iter()
            .filter(|(u, c)| *c >= Class::Avoided && !self.upstreams[*u].is_leaving(now))
            .map(|&(u, c)| (c, (s.scores.score(u) * 1e3) as u64, u))
            .collect();
        if unhealthy.len() <= max_ejected {
            return all;
        }
        unhealthy.sort_unstable_by(|a, b| b.cmp(a));
        for (_, _, retained) in unhealthy.into_iter().skip(max_ejected) {
            for (u, c) in &mut all {
                if *u == retained {
                    *c = Class::Preferred;
                }
            }
        }
        all
    }

    fn cheaper_of_two(&mut self, from: &[UpstreamKey], now: Time) -> Option<UpstreamKey> {
        if from.is_empty() {
            return None;
        }
        let a = self.rng.usize(..from.len());
        // The second draw excludes the first, so two different ones are compared if there are two.
        let b = (a + 1 + self.rng.usize(..from.len().max(2) - 1)) % from.len();
        let cost = |u: UpstreamKey| self.upstreams[u].cost(now);
        let (a, b) = (from[a], from[b]);
        Some(if cost(a) <= cost(b) { a } else { b })
    }

    fn open_attempt(
        &mut self,
        service: ServiceKey,
        u: UpstreamKey,
        reason: Reason,
        now: Time,
    ) -> Pick {
        self.upstreams[u].in_flight += 1;
        let attempt =
            Attempt { upstream: u, service, started: now, recorded: false, answered: false };
        Pick { attempt: self.attempts.insert(attempt), upstream: u, reason }
    }

    fn refuse(&mut self, kind: RefusalKind, wait: Duration) -> Refusal {
        Refusal { kind, retry_after: jitter(wait, &mut self.rng) }
    }
}

impl Upstream {
    /// Returns whether the upstream is leaving, by the list or its own announcement.
    pub(super) fn is_leaving(&self, now: Time) -> bool {
        self.leaving || self.drained.is_some_and(|at| now.since(at) < DRAIN_TTL)
    }

    /// Returns the remaining backoff that the upstream requested from this box.
    fn backoff_left(&self, now: Time) -> Duration {
        self.backoff.map_or(Duration::ZERO, |until| until.since(now))
    }

    fn class(&self, valid: bool, now: Time) -> Class {
        match self.permit {
            Some(PermitState::Ejected) if valid => return Class::Ejected,
            // An expired permit does not eject, but the upstream remains suspect.
            Some(PermitState::Ejected) => return Class::Suspect,
            Some(PermitState::Canary) => return Class::Probation,
            _ => {}
        }
        let verdict = self.verdict.map(|h| (h.judgement, now < h.until));
        match verdict {
            Some((Judgement::Suspect, true)) => return Class::Suspect,
            Some((Judgement::Probation, true)) => return Class::Probation,
            _ => {}
        }
        match self.local.until {
            Some(t) if now < t => Class::Avoided,
            _ if self.local.probation => Class::Probation,
            _ => Class::Preferred,
        }
    }

    /// Returns a short reason for the class.
    fn reason(&self, c: Class, valid: bool) -> String {
        let witnesses = self.witnesses;
        match c {
            Class::Ejected => format!("ejected by permit, {witnesses} boxes bore witness"),
            Class::Suspect if self.permit.is_some() && !valid => {
                format!("its permit lapsed; {witnesses} boxes bore witness")
            }
            Class::Suspect => format!("{witnesses} boxes bore witness"),
            Class::Avoided => "this box's own evidence".to_owned(),
            Class::Probation => "a little work shows whether it recovered".to_owned(),
            Class::Preferred => String::new(),
        }
    }

    fn fresh_load(&self, now: Time) -> f64 {
        let Some((load, at)) = self.load else { return 0.0 };
        let age = now.since(at).as_secs_f64() / LOAD_TTL.as_secs_f64();
        // A false load report changes the cost by at most two requests, or by one if the response
        // times show an empty queue.
        let max_load = if self.is_fast { LOAD_BUSY } else { LOAD_FULL };
        load.clamp(0.0, max_load) * (1.0 - age).max(0.0)
    }

    fn is_full(&self, now: Time) -> bool {
        self.fresh_load(now) >= LOAD_FULL * 0.95
    }

    fn cost(&self, now: Time) -> f64 {
        let age = now.since(self.added).as_secs_f64() / SLOW_START.as_secs_f64();
        // Upstreams that were present when this box started are not new.
        let slow_start = if self.added == Time::ZERO { 1.0 } else { 4.0 - 3.0 * age.min(1.0) };
        let hall = if self.same_hall { 0.0 } else { CROSS_HALL_COST };
        (1.0 + self.in_flight as f64 + self.fresh_load(now) + hall) * slow_start
    }
}

impl Class {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Preferred => "preferred",
            Self::Probation => "probation",
            Self::Avoided => "avoided",
            Self::Suspect => "suspect",
            Self::Ejected => "ejected",
        }
    }
}

fn of_class(candidates: &[(UpstreamKey, Class)], is: impl Fn(Class) -> bool) -> Vec<UpstreamKey> {
    candidates.iter().filter(|(_, c)| is(*c)).map(|(u, _)| *u).collect()
}
