//! Choice among a service's upstreams.

use super::doubt::assumed;
use super::trial::TrialRule;
use super::{Attempt, Balancer, BudgetUse, DEFAULT_AIM, Resend, Service, Upstream};
use crate::belief::FAILS_SICK;
use crate::chooser::{Ask, Chooser, Inputs, Place};
use crate::router::{
    AttemptKey, Outcome, Pick, Reason, Refusal, RefusalKind, ServiceKey, UpstreamKey, jitter,
};
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::time::Duration;

/// Loss of a failed attempt, in requests, if the request may be retried.
const REPEATABLE_LOSS: f64 = 0.5;
/// Loss of a failed attempt if it may not.
const UNSAFE_LOSS: f64 = 1.0;
/// Loss of a wait as long as the aim.
const WAIT_LOSS: f64 = 0.8;
/// Loss of running beside others, at full slots; some upstreams slow down then.
const CROWD_LOSS: f64 = 0.03;
/// Loss of leaving the data hall, for the longer way; the bytes that cross come on top.
const HALL_LOSS: f64 = 0.015;
/// Loss of an upstream that is still slow from its start.
const COLD_LOSS: f64 = 0.06;
/// Loss above the least one up to which upstreams are equivalent, and one is drawn at random.
///
/// All boxes hold similar beliefs, and would otherwise send to the same upstream at once.
const ALIKE_LOSS: f64 = 0.06;
/// Time in which a report of other halls' requests loses most of its meaning.
const LOAD_LIFE: Duration = Duration::from_millis(500);
/// Share of answers that come faster than a send which is thought to be in time.
const IN_TIME_SHARE: f64 = 0.3;
/// `Retry-After` when no upstream is listed.
const EMPTY_WAIT: Duration = Duration::from_millis(500);

/// What a request would lose at one upstream.
#[derive(Clone, Copy, Debug)]
struct Offer {
    upstream: UpstreamKey,
    near: bool,
    loss: f64,
}

impl Offer {
    /// Returns whether it is as good as the least loss; what is drawn leaves no data hall.
    fn is_like(&self, least: &Self) -> bool {
        self.near == least.near && self.loss <= least.loss + ALIKE_LOSS
    }
}

impl Chooser for Balancer {
    fn pick(&mut self, ask: &Ask, tried: &[UpstreamKey], now: Time) -> Result<Pick, Refusal> {
        let Some(s) = self.services.get(ask.service) else {
            return Err(self.refuse(RefusalKind::NoUpstream, EMPTY_WAIT));
        };
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let work = s.work.within(0.5, assumed(aim));
        let rule = TrialRule::of(s, ask, now);
        let open = self.sendable(ask, tried, now)?;
        // A request that failed once is no trial.
        let starved = if tried.is_empty() { self.starved(&open, rule, now) } else { None };
        let starved = starved.map(|u| (u, Reason::Canary));
        let chosen = starved.or_else(|| {
            let least = self.least_loss(&open, ask, work, now)?;
            Some((least, Reason::LeastLoss))
        });
        let Some((upstream, reason)) = chosen else {
            return Err(self.refuse(RefusalKind::NoUpstream, EMPTY_WAIT));
        };
        self.admit(upstream, ask, tried.is_empty(), now)?;
        self.count_send(upstream, now);
        let u = &self.upstreams[upstream];
        let attempt = self.attempts.insert(Attempt {
            upstream,
            id: u.id,
            service: ask.service,
            route: ask.route,
            started: now,
            aim,
            left: ask.left,
            queued: u.busy(now) >= u.slots,
            told: 1.0,
            answer: None,
            far: None,
        });
        self.began(attempt, upstream, now);
        Ok(Pick { attempt, upstream, reason })
    }

    fn place(&self, k: UpstreamKey) -> Option<Place<'_>> {
        self.upstreams.get(k).map(|u| Place { name: &u.name, addr: &u.addr })
    }

    fn has_restarted(&self, k: UpstreamKey) -> bool {
        self.ended.contains(&k)
    }

    fn inputs(&self, k: UpstreamKey, now: Time) -> Inputs {
        self.upstreams.get(k).map_or_else(Inputs::default, |u| Inputs {
            sick: self.shared_chance(k, now),
            path: u.path.chance(now),
            busy: u.busy(now),
            near: u.near,
            load_age: u.far.map(|f| now.since(f.at)),
            limit: self.limit_of(k, now),
            ..Inputs::default()
        })
    }

    fn expected(&self, ask: &Ask, now: Time) -> Option<Duration> {
        let s = self.services.get(ask.service)?;
        let open = s.upstreams.iter().filter(|&&k| !self.upstreams[k].is_leaving());
        let wait = open.map(|&k| self.wait(k, ask, now)).min()?;
        Some(wait + self.usual_within(ask, 0.5))
    }

    fn look_after(&self, ask: &Ask, age: Duration) -> Duration {
        self.next_look(ask, age)
    }

    fn still_open(&mut self, k: AttemptKey, now: Time) {
        self.observed_open(k, now);
    }

    fn hedge(&self, ask: &Ask, k: AttemptKey, now: Time) -> Option<f64> {
        self.stuck(ask, k, now)
    }

    fn is_in_time(&self, ask: &Ask) -> bool {
        ask.left.is_none_or(|left| left >= self.usual_within(ask, IN_TIME_SHARE))
    }

    fn may_send(&mut self, ask: &Ask, tried: &[UpstreamKey], now: Time) -> Result<(), Refusal> {
        if self.sendable(ask, tried, now)?.is_empty() {
            return Err(self.refuse(RefusalKind::NoUpstream, EMPTY_WAIT));
        }
        Ok(())
    }

    fn spend_retry(&mut self, k: ServiceKey, why: Resend, now: Time) -> bool {
        self.spend(k, why, now)
    }

    fn budget_use(&self, k: ServiceKey, now: Time) -> BudgetUse {
        let usage = |s: &Service| s.retries.usage(&self.rule, now);
        self.services.get(k).map_or_else(BudgetUse::default, usage)
    }

    fn answered(&mut self, k: AttemptKey, ok: bool, now: Time) {
        self.observed_head(k, ok, now);
    }

    fn sized(&mut self, k: AttemptKey, bytes: u64) {
        if let Some(a) = self.attempts.get(k) {
            self.sizes.add(a.route, bytes);
        }
    }

    fn signalled(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        self.record_signals(k, s, now)
    }

    fn limit_withdrawn(&mut self, k: AttemptKey) -> bool {
        self.withdraw_limit(k)
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        self.observed_end(k, outcome, now);
    }
}

impl Balancer {
    /// Returns an upstream of the least loss, or another that is as good.
    fn least_loss(
        &mut self,
        open: &[UpstreamKey],
        ask: &Ask,
        work: Duration,
        now: Time,
    ) -> Option<UpstreamKey> {
        let rate = |&upstream: &UpstreamKey| Offer {
            upstream,
            near: self.upstreams[upstream].near,
            loss: self.loss(upstream, ask, work, now),
        };
        let offers: Vec<Offer> = open.iter().map(rate).collect();
        let least = offers.iter().min_by(|a, b| a.loss.total_cmp(&b.loss))?;
        let alike: Vec<&Offer> = offers.iter().filter(|o| o.is_like(least)).collect();
        Some(alike[self.rng.usize(..alike.len())].upstream)
    }

    /// Returns the loss to expect of one attempt, in requests.
    fn loss(&self, k: UpstreamKey, ask: &Ask, work: Duration, now: Time) -> f64 {
        let u = &self.upstreams[k];
        let fails = self.trouble(k, now) * FAILS_SICK;
        let weight = if ask.repeatable { REPEATABLE_LOSS } else { UNSAFE_LOSS };
        let busy = u.busy(now);
        let wait = u.wait(busy, work);
        let aims = wait.as_secs_f64() / ask.aim.unwrap_or(DEFAULT_AIM).as_secs_f64();
        let mut loss = fails * weight + aims * WAIT_LOSS + busy / u.slots * CROWD_LOSS;
        if !u.near {
            loss += HALL_LOSS + self.sizes.expected(ask.route, ask.bulky) * self.hall_price;
        }
        if now < u.cold_until {
            loss += COLD_LOSS;
        }
        loss
    }

    /// Builds a refusal; the wait is lengthened at random, so that callers spread.
    pub(super) fn refuse(&mut self, kind: RefusalKind, wait: Duration) -> Refusal {
        Refusal { kind, retry_after: jitter(wait, &mut self.rng) }
    }
}

impl Upstream {
    /// Returns requests running and waiting, as far as this box knows.
    pub(super) fn busy(&self, now: Time) -> f64 {
        let far = self.far.map_or(0.0, |f| {
            f.count * (-now.since(f.at).as_secs_f64() / LOAD_LIFE.as_secs_f64()).exp()
        });
        self.known(now) + far
    }

    /// Returns how long one more request would wait beside so many of usual work.
    pub(super) fn wait(&self, busy: f64, work: Duration) -> Duration {
        work.mul_f64((busy + 1.0 - self.slots).max(0.0) / self.slots)
    }

    /// Returns requests of this data hall that are open there.
    pub(super) fn known(&self, now: Time) -> f64 {
        self.mine.len() as f64 + self.peers_open(now)
    }
}
