//! Choice among a service's upstreams.

use super::trial::TrialRule;
use super::{Attempt, Balancer, BudgetUse, DEFAULT_AIM, Resend, Service, Upstream};
use crate::belief::FAILS_SICK;
use crate::chooser::{Ask, Chooser, Inputs, LoadReport, Place};
use crate::router::{
    AttemptKey, Outcome, Pick, Reason, Refusal, RefusalKind, ServiceKey, UpstreamKey, jitter,
};
use crate::time::Time;
use std::time::Duration;

/// Loss of a failed attempt, in requests, if the request may be sent again.
const REPEATABLE_LOSS: f64 = 0.5;
/// Loss of a failed attempt if it may not.
const UNSAFE_LOSS: f64 = 1.0;
/// Loss of a wait as long as the aim.
const WAIT_LOSS: f64 = 0.8;
/// Loss of running beside others, at full slots; some upstreams slow down then.
const CROWD_LOSS: f64 = 0.03;
/// Loss of leaving the data hall with a small answer.
const HALL_LOSS: f64 = 0.035;
/// Loss of leaving it with a large one.
const BULKY_HALL_LOSS: f64 = 0.4;
/// Loss of an upstream that is still slow from its start.
const COLD_LOSS: f64 = 0.06;
/// Random part, so that boxes with the same belief do not all pick the same.
const NOISE: f64 = 0.01;
/// Time in which a reported load loses most of its meaning.
const LOAD_LIFE: Duration = Duration::from_millis(500);
/// Time after which a peer's open attempts are not believed any more.
const OPEN_LIFE: Duration = Duration::from_secs(6);
/// Part of the aim that work is taken to last before any was seen.
const ASSUMED_WORK: f64 = 0.3;
/// Deviations above the middle at which an attempt is overdue.
const OVERDUE_AT: f64 = 2.0;
/// Bounds of the same, as parts of the aim.
const OVERDUE_BOUNDS: (f64, f64) = (0.35, 0.6);
/// Wait told to callers when no upstream is listed.
const EMPTY_WAIT: Duration = Duration::from_millis(500);

impl Chooser for Balancer {
    fn pick(&mut self, ask: &Ask, tried: &[UpstreamKey], now: Time) -> Result<Pick, Refusal> {
        let Some(s) = self.services.get(ask.service) else {
            return Err(self.refuse(RefusalKind::NoUpstream));
        };
        let aim = ask.aim.unwrap_or(DEFAULT_AIM).as_secs_f64();
        let work =
            if s.spread.is_warm() { s.spread.middle().as_secs_f64() } else { aim * ASSUMED_WORK };
        let usable = |k: &&UpstreamKey| {
            !tried.contains(k) && self.upstreams.get(**k).is_some_and(|u| !u.is_leaving())
        };
        let open: Vec<UpstreamKey> = s.upstreams.iter().filter(usable).copied().collect();
        let rule = TrialRule::of(s, ask, now);
        // A request that failed once is no trial.
        let starved = if tried.is_empty() { self.starved(&open, rule, now) } else { None };
        let starved = starved.map(|u| (u, Reason::Canary));
        let chosen = starved.or_else(|| {
            let least = self.least_loss(&open, ask, aim, work, now)?;
            Some((least, Reason::LeastLoss))
        });
        let Some((upstream, reason)) = chosen else {
            return Err(self.refuse(RefusalKind::NoUpstream));
        };
        let attempt =
            Attempt { upstream, service: ask.service, started: now, aim: ask.aim, judged: false };
        let attempt = self.attempts.insert(attempt);
        self.opened(upstream, 1, now);
        Ok(Pick { attempt, upstream, reason })
    }

    fn place(&self, k: UpstreamKey) -> Option<Place<'_>> {
        self.upstreams.get(k).map(|u| Place { name: &u.name, addr: &u.addr })
    }

    fn inputs(&self, k: UpstreamKey, now: Time) -> Inputs {
        self.upstreams.get(k).map_or_else(Inputs::default, |u| Inputs {
            sick: u.shared.chance(now),
            path: u.path.chance(now),
            busy: u.busy(now),
            load_age: u.load.map(|(_, at)| now.since(at)),
        })
    }

    fn overdue_after(&self, ask: &Ask) -> Duration {
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let most = aim.mul_f64(OVERDUE_BOUNDS.1);
        match self.services.get(ask.service) {
            Some(s) if s.spread.is_warm() => {
                s.spread.limit(OVERDUE_AT).clamp(aim.mul_f64(OVERDUE_BOUNDS.0), most)
            }
            _ => most,
        }
    }

    fn overdue(&mut self, k: AttemptKey, now: Time) {
        self.observed_overdue(k, now);
    }

    fn spend_retry(&mut self, k: ServiceKey, why: Resend, now: Time) -> bool {
        self.spend(k, why, now)
    }

    fn budget_use(&self, k: ServiceKey) -> BudgetUse {
        let usage = |s: &Service| s.retries.usage(&self.rule, self.reach);
        self.services.get(k).map_or_else(BudgetUse::default, usage)
    }

    fn answered(&mut self, k: AttemptKey, ok: bool, now: Time) {
        self.observed_head(k, ok, now);
    }

    fn reported_load(&mut self, k: UpstreamKey, load: LoadReport, now: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.load = Some((load.busy, now));
        }
    }

    fn drained(&mut self, k: UpstreamKey, _: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.closed = true;
        }
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        self.observed_end(k, outcome, now);
    }
}

impl Balancer {
    fn least_loss(
        &mut self,
        open: &[UpstreamKey],
        ask: &Ask,
        aim: f64,
        work: f64,
        now: Time,
    ) -> Option<UpstreamKey> {
        let mut best: Option<(f64, UpstreamKey)> = None;
        for &k in open {
            let loss = self.upstreams[k].loss(ask, aim, work, now) + self.rng.f64() * NOISE;
            if best.is_none_or(|(l, _)| loss < l) {
                best = Some((loss, k));
            }
        }
        best.map(|(_, k)| k)
    }

    fn refuse(&mut self, kind: RefusalKind) -> Refusal {
        Refusal { kind, retry_after: jitter(EMPTY_WAIT, &mut self.rng) }
    }
}

impl Upstream {
    /// Returns the loss to expect of one attempt, in requests.
    fn loss(&self, ask: &Ask, aim: f64, work: f64, now: Time) -> f64 {
        let fails = self.chance(now) * FAILS_SICK;
        let weight = if ask.repeatable { REPEATABLE_LOSS } else { UNSAFE_LOSS };
        let busy = self.busy(now);
        let queued = (busy + 1.0 - self.slots).max(0.0);
        let wait = queued / self.slots * work;
        let far = if ask.bulky { BULKY_HALL_LOSS } else { HALL_LOSS };
        let mut loss = fails * weight + wait / aim * WAIT_LOSS + busy / self.slots * CROWD_LOSS;
        if !self.near {
            loss += far;
        }
        if now < self.cold_until {
            loss += COLD_LOSS;
        }
        loss
    }

    /// Returns the chance that an attempt of this box meets trouble there.
    pub(super) fn chance(&self, now: Time) -> f64 {
        1.0 - (1.0 - self.shared.chance(now)) * (1.0 - self.path.chance(now))
    }

    /// Returns requests running and waiting, as far as this box knows.
    pub(super) fn busy(&self, now: Time) -> f64 {
        let fresh = self.peers.values().filter(|p| now.since(p.at) < OPEN_LIFE);
        let peers: f64 = fresh.map(|p| f64::from(p.count)).sum();
        let known = self.open as f64 + peers;
        let told = self.load.map_or(0.0, |(busy, at)| {
            busy * (-now.since(at).as_secs_f64() / LOAD_LIFE.as_secs_f64()).exp()
        });
        known.max(told)
    }
}
