//! Choice among a service's upstreams.

use super::{Attempt, Balancer, BudgetUse, DEFAULT_AIM, Resend, Service, Upstream};
use crate::belief::FAILS_SICK;
use crate::chooser::{Ask, Chooser, Inputs, LoadReport, Place};
use crate::router::{
    AttemptKey, Outcome, Pick, Reason, Refusal, RefusalKind, ServiceKey, UpstreamKey, jitter,
};
use crate::spec::Floor;
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
/// Longest time that an upstream gets nothing, before a repeatable request goes there.
///
/// The floor is counted over two seconds, in which most upstreams that are well must
/// get some work whenever much fails. What fails next can't be known, so it is kept
/// at all times, by repeatable requests as far as there are any.
const REST_REPEATABLE: Duration = Duration::from_millis(1_000);
/// The same before any other request goes there; a late datagram has some room.
const REST_UNSAFE: Duration = Duration::from_millis(1_650);
/// The same on a box that has just started and knows nothing of any upstream.
///
/// Its work is spread until something is known, also while the fleet comes back.
const REST_YOUNG: Duration = Duration::from_millis(400);
/// Time for which a box counts as having just started.
const YOUNG: Duration = Duration::from_secs(5);
/// How failed upstreams are spared trials while a service is mostly well.
///
/// Measured on the deployments: of trials 3, 4, 5 and 6 s after a failure 63, 41, 29
/// and 12 in 100 failed. The users count an upstream again two seconds after its spell,
/// so a longer rest breaks the floor when all boxes are lost at such a moment: one of
/// 15 s did in three of 96 losses, one that doubled after the second failure of a spell
/// in five of 360.
const USUAL_SPARING: Sparing =
    Sparing { rest: Duration::from_secs(5), borne: 2, doublings: 1, left_out: 0.5 };
/// The same while much of a service fails: the floor is counted then.
///
/// With the usual one, 10 of 18 sound upstreams among 80 others in trouble got nothing
/// for two seconds. These kept the floor on 80 days of other luck.
const FAILING_SPARING: Sparing =
    Sparing { rest: Duration::from_secs(2), borne: 1, doublings: 2, left_out: 0.5 };
/// Time after its last failure for which an upstream may be left out.
const MAY_BE_LEFT_OUT: Duration = Duration::from_secs(30);
/// Longest time that one left out gets no repeatable work.
const LEFT_OUT_REST: Duration = Duration::from_secs(6);
/// The same for work that may not be repeated: four in ten such trials failed.
const LEFT_OUT_REST_UNSAFE: Duration = Duration::from_secs(20);
/// Chance that this box's path is bad, above which the other boxes keep it at work.
const PATH_BAD: f64 = 0.4;
/// Wait told to callers when no upstream is listed.
const EMPTY_WAIT: Duration = Duration::from_millis(500);

/// How upstreams that failed are spared trials.
#[derive(Clone, Copy, Debug)]
struct Sparing {
    /// Time after a failure in which an upstream does not count as well.
    rest: Duration,
    /// Failures in a row that prolong no rest, since they may be of one spell.
    borne: u32,
    /// Doublings of that time with each failure beyond, at the most: a spell lasts
    /// about four seconds, so one that fails for longer is in a trouble of which the
    /// floor does not ask.
    doublings: u32,
    /// Part of the upstreams that the floor spares which may be left out; not all,
    /// since some of the others may be in trouble that no box has seen.
    left_out: f64,
}

impl Sparing {
    /// Returns the time for which an upstream with so many failures in a row rests.
    fn rest_after(self, streak: u32) -> Duration {
        self.rest * 2u32.pow(streak.saturating_sub(self.borne).min(self.doublings))
    }
}

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
        let young = now.since(s.began) < YOUNG;
        let (limit, left_out_limit) = match (young, ask.repeatable) {
            (true, _) => (REST_YOUNG, LEFT_OUT_REST),
            (false, true) => (REST_REPEATABLE, LEFT_OUT_REST),
            (false, false) => (REST_UNSAFE, LEFT_OUT_REST_UNSAFE),
        };
        let floor = s.spec.floor;
        let is_failing = s.is_failing(now);
        let sparing = if is_failing { FAILING_SPARING } else { USUAL_SPARING };
        // A request that failed once is no trial.
        let first = tried.is_empty();
        let starved = first
            .then(|| self.starved(&open, floor, sparing, [limit, left_out_limit], now))
            .flatten();
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

    /// Returns the upstream of this data hall that got no work for the longest time,
    /// if that is over the first limit, or the second where it is left out.
    ///
    /// The most doubted ones are left out, up to a part of what the floor spares.
    fn starved(
        &self,
        open: &[UpstreamKey],
        floor: Floor,
        sparing: Sparing,
        [limit, left_out_limit]: [Duration; 2],
        now: Time,
    ) -> Option<UpstreamKey> {
        let well = open.iter().filter(|&&k| !self.upstreams[k].failed_lately(sparing, now));
        let mut well: Vec<(f64, UpstreamKey)> =
            well.map(|&k| (self.upstreams[k].shared.chance(now), k)).collect();
        well.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        let spare = well.len().saturating_sub(floor.count(well.len()));
        let left_out = (spare as f64 * sparing.left_out) as usize;
        let due = |(i, &(_, k)): (usize, &(f64, UpstreamKey))| {
            let u = &self.upstreams[k];
            // New ones are never left out.
            let has_failed = u.failed.is_some_and(|at| now.since(at) < MAY_BE_LEFT_OUT);
            let is_left_out = i < left_out && has_failed;
            let limit = if is_left_out { left_out_limit } else { limit };
            let rest = u.rest(sparing, now);
            let free = u.near && u.busy(now) < u.slots && u.path.chance(now) < PATH_BAD;
            (free && rest > limit).then_some((rest, k))
        };
        well.iter().enumerate().filter_map(due).max().map(|(_, k)| k)
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

    /// Tells whether something failed there a moment ago.
    fn failed_lately(&self, sparing: Sparing, now: Time) -> bool {
        self.failed.is_some_and(|at| now.since(at) < sparing.rest_after(self.streak))
    }

    /// Returns how long it has been well and had no work.
    fn rest(&self, sparing: Sparing, now: Time) -> Duration {
        let well = self.failed.map_or(self.joined, |at| at + sparing.rest_after(self.streak));
        now.since(self.worked.unwrap_or(self.joined).max(well))
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
