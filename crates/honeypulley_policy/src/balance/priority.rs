//! Admission by priority under shortage.
//!
//! A less urgent request may only wait a share of what the more urgent kinds with recent traffic
//! tolerate, so that it is rejected before they become late. Requests that find a free slot don't
//! wait and are never rejected here. The wait at the best upstream is nearly the same on all boxes
//! of a data hall. The announced [`level`](LevelState) aligns data halls, and boxes that see no
//! request of the more urgent kinds themselves.

mod level;

use super::admit::RETRY_AFTER_BOUNDS;
use super::{Balancer, Update, Upstream};
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::route_mix::RouteMix;
use crate::router::{Refusal, RefusalKind, ServiceKey, UpstreamKey};
use crate::time::Time;
use level::{LEVEL_TTL, LevelState};
pub use level::{Level, PriorityRule};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the wait tolerated by the next more urgent kind that a less urgent request may meet.
///
/// At 0.5, 2% of the slots stayed free in a shortage; at 1.0, a tenth of the urgent answers was late.
const TOLERANCE_SHARE: f64 = 0.75;
/// The same between kinds of which only the priority of the route differs.
///
/// With organisations' priorities there are many kinds, over which the shares compound.
const ROUTE_SHARE: f64 = 0.97;
/// Time within which a kind of request counts as having traffic.
///
/// A box of 128 gets a request of a kind with 100 requests/s about every second.
const RECENT_TIME: Duration = Duration::from_secs(5);

/// Chance of a fault from which an upstream is not used instead of a rejection.
///
/// A faulty upstream fails three quarters of the requests, so that half of them are served.
pub(super) const MAX_FAULT_CHANCE: f64 = 0.67;
/// Latency quantile that stands for the time without a queue.
///
/// The median soon includes queues that the box did not know of.
const USUAL_QUANTILE: f64 = 0.25;
/// Highest pressure that is reported.
const MAX_PRESSURE: f64 = 100.0;

/// Wait that the requests of one priority tolerate.
#[derive(Clone, Copy, Debug)]
struct Tolerance {
    /// Least of the current and of the previous interval.
    least: [Duration; 2],
    /// Start of the current interval.
    since: Time,
    /// Latest request.
    seen: Time,
}

impl Tolerance {
    const fn new(wait: Duration, now: Time) -> Self {
        Self { least: [wait; 2], since: now, seen: now }
    }

    /// Records the wait that one request tolerates.
    fn record(&mut self, wait: Duration, now: Time) {
        if now.since(self.since) >= RECENT_TIME {
            self.least = [wait, self.least[0]];
            self.since = now;
        }
        self.least[0] = self.least[0].min(wait);
        self.seen = now;
    }

    /// Returns the least tolerated wait, if there was a recent request.
    fn get(&self, now: Time) -> Option<Duration> {
        let is_recent = now.since(self.seen) < RECENT_TIME;
        is_recent.then(|| self.least[0].min(self.least[1]))
    }
}

/// What the kinds with recent traffic tolerate, up to one of them.
#[derive(Clone, Copy, Debug)]
struct Tolerated {
    priority: u8,
    /// Longest wait at which its own requests are admitted.
    bound: Option<Duration>,
    /// Longest wait that none of the kinds up to this one finds too long.
    least: Duration,
}

impl Tolerated {
    /// Returns the longest wait at which requests of the next kind are admitted.
    fn bound(&self, next: u8, mix: RouteMix) -> Duration {
        let is_same_organisation = mix.differ_by_route(self.priority, next);
        self.least.mul_f64(if is_same_organisation { ROUTE_SHARE } else { TOLERANCE_SHARE })
    }
}

/// Wait that a request met, and what it tolerates.
#[derive(Clone, Copy, Debug)]
struct Measured {
    priority: u8,
    tolerated: Duration,
    wait: Duration,
}

/// State of the admission by priority for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct PriorityState {
    tolerances: BTreeMap<u8, Tolerance>,
    levels: LevelState,
    /// Wait that the latest request met, relative to the bound of the least urgent kind.
    pressure: f64,
}

impl PriorityState {
    /// Returns the kinds with recent traffic up to a priority, and what they all tolerate.
    fn recent(&self, below: u8, mix: RouteMix, now: Time) -> impl Iterator<Item = Tolerated> {
        let recent =
            self.tolerances.range(..below).filter_map(move |(&p, t)| Some((p, t.get(now)?)));
        recent.scan(None, move |last: &mut Option<Tolerated>, (priority, own)| {
            let bound = last.map(|l| l.bound(priority, mix));
            *last = Some(Tolerated { priority, bound, least: bound.map_or(own, |b| b.min(own)) });
            *last
        })
    }

    /// Returns the longest wait at which requests of a priority are admitted.
    ///
    /// `None` if there is no recent traffic of a more urgent kind.
    fn bound(&self, priority: u8, mix: RouteMix, now: Time) -> Option<Duration> {
        self.recent(priority, mix, now).last().map(|l| l.bound(priority, mix))
    }

    /// Records a request that met `wait`, for its own kind and for the level.
    fn record(&mut self, request: Measured, mix: RouteMix, now: Time) {
        let Measured { priority, tolerated, wait } = request;
        self.tolerances
            .entry(priority)
            .and_modify(|t| t.record(tolerated, now))
            .or_insert_with(|| Tolerance::new(tolerated, now));
        let recent = self.recent(u8::MAX, mix, now);
        let bounds: Vec<(u8, Duration)> =
            recent.filter_map(|t| Some((t.priority, t.bound?))).collect();
        let least = bounds.last().map_or(Duration::MAX, |&(_, b)| b);
        let pressure = wait.as_secs_f64() / least.as_secs_f64().max(f64::MIN_POSITIVE);
        self.pressure = pressure.min(MAX_PRESSURE);
        self.levels.record(bounds.into_iter().map(|(p, b)| (p, wait > b)), now);
    }

    /// Returns the state for logs and operators.
    fn state(&self, now: Time) -> AdmissionState {
        AdmissionState {
            level: self.levels.in_force(now).to_thousandths(),
            pressure: self.pressure,
            age: self.levels.age(now),
        }
    }
}

/// Admission state of a service, for logs and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionState {
    /// Level in force, in thousandths.
    pub level: u16,
    /// Wait that the latest request met, relative to what the least urgent kind may meet.
    pub pressure: f64,
    /// Age of the newest measurement or announcement behind the level.
    pub age: Duration,
}

impl AdmissionState {
    /// Returns the state after some time without a request; a level expires.
    #[must_use]
    pub fn aged(self, elapsed: Duration) -> Self {
        let age = self.age + elapsed;
        Self { level: if age < LEVEL_TTL { self.level } else { 0 }, age, ..self }
    }
}

impl Balancer {
    /// Sets how requests are admitted by priority.
    #[must_use]
    pub const fn with_priority_rule(mut self, rule: PriorityRule) -> Self {
        self.priority_rule = rule;
        self
    }

    /// Records the wait that a request meets, and announces the level if it has changed.
    ///
    /// `allowed` is the latency at which the request is still in time in a standing queue.
    pub(super) fn record_pressure(
        &mut self,
        info: &RequestInfo,
        wait: Duration,
        allowed: Duration,
        now: Time,
    ) {
        if !self.services.get(info.service).is_some_and(|s| s.spec.mix.is_ranked()) {
            return;
        }
        let usual = self.latency_quantile(info, USUAL_QUANTILE);
        let Some(s) = self.services.get_mut(info.service) else { return };
        let tolerated = allowed.saturating_sub(usual);
        let request = Measured { priority: info.priority, tolerated, wait };
        s.priorities.record(request, s.spec.mix, now);
        if let Some(level) = s.priorities.levels.due_announcement(now) {
            self.updates.push(Update::Pressure { service: s.id, level: level.to_thousandths() });
        }
    }

    /// Rejects a request whose wait would make more urgent requests late.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if the request is to be rejected.
    pub(super) fn admit_by_priority(
        &mut self,
        info: &RequestInfo,
        wait: Duration,
        now: Time,
    ) -> Result<(), Refusal> {
        let Some(s) = self.services.get(info.service).filter(|s| s.spec.mix.is_ranked()) else {
            return Ok(());
        };
        // A request that finds a free slot delays no other.
        if wait.is_zero() {
            return Ok(());
        }
        let excess =
            s.priorities.bound(info.priority, s.spec.mix, now).map(|b| wait.saturating_sub(b));
        // A box that knows the more urgent kinds judges by their tolerance, since the level lags.
        let share = match excess {
            Some(e) if e.is_zero() => 0.0,
            Some(_) => 1.0,
            None => s.priorities.levels.in_force(now).rejected_share(info.priority),
        };
        if share <= 0.0 || share < 1.0 && self.rng.f64() >= share {
            return Ok(());
        }
        if self.rng.f64() < self.priority_rule.floor {
            return Ok(());
        }
        // A shortage lasts on average about as long again as it has lasted.
        let lasted = s.priorities.levels.shortage_age(now);
        let (shortest, longest) = RETRY_AFTER_BOUNDS;
        let drained = excess.unwrap_or_default() + wait / 2;
        let released = drained.max(lasted).clamp(shortest, longest);
        Err(self.refuse(RefusalKind::Priority, released))
    }

    /// Returns a usable upstream with a free slot, if there is any.
    ///
    /// It serves a request that would be rejected since healthier upstreams have no free slot.
    /// It is the less likely to fail of two drawn at random. If all boxes took the least likely
    /// one, it would get the rejected requests of all of them at once.
    pub(super) fn free_upstream(
        &mut self,
        open: &[UpstreamKey],
        info: &RequestInfo,
        now: Time,
    ) -> Option<UpstreamKey> {
        let service_time = self.service_time(info);
        let wait = |u: &Upstream| u.wait(u.busy(now), service_time);
        let free = open.iter().filter(|&&k| wait(&self.upstreams[k]).is_zero());
        let usable = free.filter(|&&k| self.fault_chance(k, now) < MAX_FAULT_CHANCE);
        let usable: Vec<UpstreamKey> = usable.copied().collect();
        self.draw_better(&usable, |b, k| b.fault_chance(k, now))
    }

    /// Applies a peer's announced admission level.
    pub(super) fn apply_pressure(&mut self, from: NameId, service: NameId, level: u16, now: Time) {
        let k = self.services_by_id.get(&service).copied();
        let s = k.and_then(|k| self.services.get_mut(k)).filter(|s| s.spec.mix.is_ranked());
        if let Some(s) = s {
            s.priorities.levels.receive(from, Level::from_thousandths(level), now);
        }
    }

    /// Returns the admission state of a service, if its routes differ in priority.
    pub(super) fn admission_state(&self, k: ServiceKey, now: Time) -> Option<AdmissionState> {
        let s = self.services.get(k).filter(|s| s.spec.mix.is_ranked())?;
        Some(s.priorities.state(now))
    }
}
