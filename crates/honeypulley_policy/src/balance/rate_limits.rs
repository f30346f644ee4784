//! Rate limits that upstreams advertise, in requests per second over all boxes.
//!
//! An upstream under load advertises a limit for the whole fleet in its answers to some boxes,
//! and each box that receives it broadcasts it. The boxes of the upstream's own data hall then
//! share one token bucket, since each announces its sends to its data hall; the boxes of other
//! data halls stop using the upstream. So nothing has to be counted across data halls. If every
//! upstream of a service advertises a limit, this would leave the callers of some data halls
//! with nothing, so a few data halls each get a share of every limit.
//!
//! An upstream that warms up has such a limit too, by the settings of its service. Every box
//! derives it from the list, so it is not announced.

use super::{Balancer, RetryHistory, Service, Update, Upstream};
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::fleet_limits::{FleetRateLimiter, LimitRule, LimitScope, RateLimit};
use crate::placement::weight;
use crate::router::{AttemptKey, ServiceKey, UpstreamKey};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the allowed excess over a warm-up rate that serves as burst.
///
/// The rest is for boxes that have not noticed yet that they are isolated.
const KNOWN_SHARE: f64 = 0.15;
/// Window and slack of the token buckets.
const BUCKET_RULE: LimitRule = LimitRule { window: Duration::from_secs(4), slack: 5.0 };
/// Burst beyond the requests of one second.
const BURST: f64 = 2.5;
/// Minimum rate, in requests per second, that keeps probing whether a limit still holds.
const MIN_RATE: f64 = 0.1;
/// Interval at which an unchanged limit is rebroadcast.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a broadcast after which a limit expires.
///
/// An upstream without requests can't renew its limit, and boxes of other data halls send it
/// none.
const EXPIRY_TIME: Duration = Duration::from_secs(30);
/// Minimum rate of a data hall's share, in requests per second.
const MIN_HALL_RATE: f64 = 0.5;
/// Maximum number of data halls that share one limit.
const MAX_HALLS: usize = 4;
/// Maximum number of extra tokens that a box requires, by its random offset.
///
/// The boxes then don't all take the first token at once.
const OFFSET_TOKENS: f64 = 0.75;
/// Tokens reserved for urgent requests when all upstreams of a service are limited.
const URGENT_RESERVE: f64 = 0.5;

/// Rate limit of one upstream, advertised or set while it warms up, as known to this box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second that it accepts from all boxes.
    pub rate: f64,
    /// Share of the rate that this data hall may use.
    pub share: f64,
    /// Tokens left at the last check, as far as this box knows.
    pub remaining: Option<f64>,
}

/// A rate limit that an upstream advertised.
#[derive(Clone, Copy, Debug)]
struct Advertised {
    rate: f64,
    /// When an answer last advertised it, as far as is known.
    at: Time,
    /// When it was last broadcast.
    announced: Time,
}

impl Advertised {
    fn is_in_force(&self, now: Time) -> bool {
        now.since(self.announced) < EXPIRY_TIME
    }

    fn limit(&self) -> RateLimit {
        let rate = self.rate.max(MIN_RATE);
        RateLimit { rate, burst: rate + BURST }
    }
}

/// Bound on the requests that all boxes send to an upstream while it warms up.
///
/// In any second, an upstream may get its warm-up rate times `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    /// Factor on the rate that the upstream bears.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for WarmUpRule {
    /// Allows no more than the rate, and one request.
    fn default() -> Self {
        Self { overage: 1.0, slack: 1.0 }
    }
}

impl WarmUpRule {
    /// Returns the token bucket for an upstream that bears `rate` requests per second.
    ///
    /// Most of the allowed excess is left for sends that are not announced.
    #[must_use]
    pub fn bucket(&self, rate: f64) -> RateLimit {
        let excess = rate * (self.overage - 1.0) + self.slack;
        RateLimit { rate, burst: (excess * KNOWN_SHARE).max(1.0) }
    }
}

/// Limit of an upstream that warms up.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    limit: RateLimit,
    until: Time,
}

/// Limits of one upstream.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    advertised: Option<Advertised>,
    warm_up: Option<WarmUp>,
    /// Share that this data hall may use.
    share: f64,
}

impl Default for LimitEntry {
    fn default() -> Self {
        Self { advertised: None, warm_up: None, share: 1.0 }
    }
}

impl LimitEntry {
    /// Returns the stricter of the limits that are in force.
    fn limit(&self, now: Time) -> Option<RateLimit> {
        let advertised = self.advertised.filter(|a| a.is_in_force(now)).map(|a| a.limit());
        let warm_up = self.warm_up.filter(|w| now < w.until).map(|w| w.limit);
        let stricter = |a: RateLimit, w: RateLimit| RateLimit {
            rate: a.rate.min(w.rate),
            burst: a.burst.min(w.burst),
        };
        match (advertised, warm_up) {
            (Some(a), Some(w)) => Some(stricter(a, w)),
            (a, w) => a.or(w),
        }
    }
}

/// Division of an upstream's limit between data halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// The upstream's own data hall gets the whole limit.
    OwnHall,
    /// Several data halls share it, as every upstream of the service is limited.
    Halls,
}

/// Rate limits of upstreams, as known to this box.
#[derive(Debug)]
pub(super) struct RateLimits {
    buckets: FleetRateLimiter,
    entries: BTreeMap<NameId, LimitEntry>,
}

impl RateLimits {
    pub(super) fn new(hall: &str, history: RetryHistory, seed: u64) -> Self {
        let buckets = FleetRateLimiter::new(hall, BUCKET_RULE, history, seed, Time::ZERO);
        Self { buckets, entries: BTreeMap::new() }
    }

    pub(super) fn discard(&mut self, id: NameId) {
        self.entries.remove(&id);
        self.buckets.set_limit(id, None);
    }

    /// Records what a box of this data hall sent to an upstream.
    pub(super) fn apply_admitted(&mut self, from: NameId, id: NameId, sum: u16, now: Time) {
        self.buckets.apply_box_count(from, id, sum, now);
    }

    /// Returns the limit of an upstream and this data hall's share, unless it has expired.
    fn in_force(&self, id: NameId, now: Time) -> Option<(RateLimit, f64)> {
        let entry = self.entries.get(&id)?;
        Some((entry.limit(now)?, entry.share))
    }

    /// Returns whether an upstream has a limit in force.
    pub(super) fn is_limited(&self, id: NameId, now: Time) -> bool {
        self.in_force(id, now).is_some()
    }

    /// Sets an advertised limit; returns whether its value changed.
    fn set(&mut self, id: NameId, rate: f64, now: Time) -> bool {
        self.remove_expired(now);
        let entry = self.entries.entry(id).or_default();
        let before = entry.advertised.filter(|a| a.is_in_force(now));
        let announced = before.map_or(now, |a| a.announced);
        entry.advertised = Some(Advertised { rate, at: now, announced });
        self.update_bucket(id, now);
        // Compared at the precision of the broadcast value.
        before.is_none_or(|a| a.rate as f32 != rate as f32)
    }

    /// Limits an upstream until it has warmed up.
    fn set_warm_up(&mut self, id: NameId, limit: RateLimit, until: Time, now: Time) {
        self.remove_expired(now);
        let entry = self.entries.entry(id).or_default();
        let until = entry.warm_up.map_or(until, |w| w.until.max(until));
        entry.warm_up = Some(WarmUp { limit, until });
        self.update_bucket(id, now);
    }

    /// Removes an advertised limit.
    fn withdraw(&mut self, id: NameId, now: Time) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.advertised = None;
        }
        self.update_bucket(id, now);
    }

    /// Removes expired limits, including those of upstreams that are no longer listed.
    fn remove_expired(&mut self, now: Time) {
        let expired =
            self.entries.iter().filter(|(_, n)| n.limit(now).is_none()).map(|(&id, _)| id);
        for id in expired.collect::<Vec<NameId>>() {
            self.discard(id);
        }
    }

    fn set_share(&mut self, id: NameId, share: f64, now: Time) {
        let Some(n) = self.entries.get_mut(&id) else { return };
        if n.share != share {
            n.share = share;
            self.update_bucket(id, now);
        }
    }

    fn update_bucket(&mut self, id: NameId, now: Time) {
        let Some((limit, share)) = self.in_force(id, now) else {
            self.discard(id);
            return;
        };
        let limit = RateLimit { rate: limit.rate * share, burst: limit.burst * share };
        self.buckets.set_limit(id, Some(limit));
    }
}

impl Balancer {
    /// Records a limit advertised in an answer; returns whether it changed.
    pub(super) fn record_limit(&mut self, k: AttemptKey, rate: f64, now: Time) -> bool {
        let Some((id, _)) = self.attempt_start(k) else { return false };
        let is_changed = self.limits.set(id, rate, now);
        self.announce_limit(id, is_changed, now);
        is_changed
    }

    /// Records that an answer advertised no limit; returns whether one is lifted.
    ///
    /// An attempt that started before the limit was known lifts nothing, as its answer may
    /// predate the limit.
    pub(super) fn withdraw_limit(&mut self, k: AttemptKey, now: Time) -> bool {
        let Some((id, started)) = self.attempt_start(k) else { return false };
        let known = self.limits.entries.get(&id).and_then(|n| n.advertised);
        let is_lifted = known.is_some_and(|a| started > a.at);
        if is_lifted {
            self.limits.withdraw(id, now);
            self.updates.push(Update::Limit { upstream: id, rate: None });
        }
        is_lifted
    }

    /// Returns the incarnation that an attempt went to, and its start time.
    fn attempt_start(&self, k: AttemptKey) -> Option<(NameId, Time)> {
        self.attempts.get(k).map(|a| (a.id, a.started))
    }

    /// Broadcasts a new limit, and rebroadcasts an unchanged one every `RENEW_INTERVAL`.
    fn announce_limit(&mut self, id: NameId, is_changed: bool, now: Time) {
        let entry = self.limits.entries.get_mut(&id);
        let Some(a) = entry.and_then(|n| n.advertised.as_mut()) else { return };
        if is_changed || now.since(a.announced) >= RENEW_INTERVAL {
            a.announced = now;
            self.updates.push(Update::Limit { upstream: id, rate: Some(a.rate as f32) });
        }
    }

    /// Applies a rate limit announced by a peer.
    pub(super) fn apply_limit(&mut self, id: NameId, rate: Option<f32>, now: Time) {
        if !self.by_id.contains_key(&id) {
            return;
        }
        let Some(rate) = rate else {
            self.limits.withdraw(id, now);
            return;
        };
        self.limits.set(id, rate.into(), now);
        if let Some(a) = self.limits.entries.get_mut(&id).and_then(|n| n.advertised.as_mut()) {
            a.announced = now;
        }
    }

    /// Returns the current limits for a newly started box.
    pub(super) fn limits_in_force(&self, now: Time) -> impl Iterator<Item = Update> {
        self.limits.entries.iter().filter_map(move |(&upstream, n)| {
            let current = n.advertised.filter(|a| a.is_in_force(now))?;
            Some(Update::Limit { upstream, rate: Some(current.rate as f32) })
        })
    }

    /// Limits an upstream that warms up until `until`, if its service sets a rate for that.
    pub(super) fn limit_warm_up(&mut self, k: ServiceKey, id: NameId, until: Time, now: Time) {
        let rate = self.services.get(k).and_then(|s| s.spec.warm_up_rate);
        if let Some(rate) = rate.filter(|r| *r > 0.0) {
            self.limits.set_warm_up(id, self.warm_up_rule.bucket(rate), until, now);
        }
    }

    /// Filters out upstreams whose rate limit is exhausted.
    ///
    /// Also returns the time until the first of those has capacity again.
    pub(super) fn filter_limited(
        &mut self,
        open: Vec<UpstreamKey>,
        info: &RequestInfo,
        now: Time,
    ) -> (Vec<UpstreamKey>, Option<Duration>) {
        if self.limits.entries.is_empty() || open.is_empty() {
            return (open, None);
        }
        let Some(s) = self.services.get(info.service) else { return (open, None) };
        let division = self.division(s, now);
        let boxes = self.hall_boxes;
        self.limits.buckets.set_scope(LimitScope { boxes, halls: 1, isolated: self.isolated });
        let mut allowed = Vec::with_capacity(open.len());
        let mut wait: Option<Duration> = None;
        for k in open {
            match self.check_limit(k, info, division, now) {
                Ok(()) => allowed.push(k),
                Err(w) => wait = Some(wait.map_or(w, |least| least.min(w))),
            }
        }
        (allowed, wait)
    }

    /// Checks an upstream's limit; returns the time to wait if it is exhausted.
    fn check_limit(
        &mut self,
        k: UpstreamKey,
        info: &RequestInfo,
        division: Division,
        now: Time,
    ) -> Result<(), Duration> {
        let u = &self.upstreams[k];
        let id = u.id;
        let Some((limit, _)) = self.limits.in_force(id, now) else { return Ok(()) };
        let share = self.hall_share(u, limit.rate, division);
        let offset = self.random_offset(u);
        self.limits.set_share(id, share, now);
        if share == 0.0 {
            return Err(Duration::from_secs_f64(1.0 / limit.rate.max(MIN_RATE)));
        }
        let is_deferrable = division == Division::Halls && (info.repeatable || info.priority > 0);
        let reserve = if is_deferrable { URGENT_RESERVE } else { 0.0 };
        self.limits.buckets.check(id, 1.0 + offset * OFFSET_TOKENS + reserve, now)
    }

    /// Returns this box's random offset (0 to 1) at an upstream.
    ///
    /// It is redrawn after each send there.
    pub(super) fn random_offset(&self, u: &Upstream) -> f64 {
        let last_sent = u.last_sent.unwrap_or(u.added).as_micros();
        fastrand::Rng::with_seed(self.seed ^ u.id.0 ^ last_sent).f64()
    }

    fn division(&self, s: &Service, now: Time) -> Division {
        let is_unlimited = |k: &UpstreamKey| {
            let u = &self.upstreams[*k];
            self.is_in_service(u) && !self.limits.is_limited(u.id, now)
        };
        if s.upstreams.iter().any(is_unlimited) { Division::OwnHall } else { Division::Halls }
    }

    /// Returns the share of an upstream's limit that this data hall may use.
    ///
    /// Its own data hall ranks first, then others by rendezvous hashing; shares are
    /// proportional to the number of boxes.
    fn hall_share(&self, u: &Upstream, rate: f64, division: Division) -> f64 {
        let own_hall = self.hall_id;
        let max_halls = match division {
            Division::OwnHall if self.halls.contains_key(&u.hall) => {
                return if u.hall == own_hall { 1.0 } else { 0.0 };
            }
            // Its own data hall has no box, so another one replaces it.
            Division::OwnHall => 1,
            Division::Halls => ((rate / MIN_HALL_RATE) as usize).clamp(1, MAX_HALLS),
        };
        let mut halls: Vec<(bool, u64, NameId, usize)> = self
            .halls
            .iter()
            .map(|(&hall, &boxes)| (hall != u.hall, weight(hall.0, u.id.0), hall, boxes))
            .collect();
        halls.sort_unstable();
        halls.truncate(max_halls);
        let total: usize = halls.iter().map(|(.., boxes)| boxes).sum();
        let own =
            halls.iter().find(|(_, _, hall, _)| *hall == own_hall).map_or(0, |(.., boxes)| *boxes);
        own as f64 / total.max(1) as f64
    }

    /// Takes a token for a send to a limited upstream.
    ///
    /// Announces it to this data hall.
    pub(super) fn count_send(&mut self, k: UpstreamKey, now: Time) {
        let Some(id) = self.upstreams.get(k).map(|u| u.id) else { return };
        if self.limits.is_limited(id, now) {
            self.limits.buckets.consume(id, now);
            self.updates.extend(self.limits.buckets.take_updates());
        }
    }

    /// Returns the rate limit of an upstream, if it has one.
    #[must_use]
    pub fn advertised_limit(&self, k: UpstreamKey, now: Time) -> Option<AdvertisedLimit> {
        let id = self.upstreams.get(k)?.id;
        let (limit, share) = self.limits.in_force(id, now)?;
        let remaining = self.limits.buckets.level(id);
        Some(AdvertisedLimit { rate: limit.rate, share, remaining })
    }
}
