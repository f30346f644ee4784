//! Limits that upstreams name: the requests a second that one takes from all boxes together.
//!
//! An upstream in need says so in its answers to some boxes, and means all of them. Each box
//! that receives a limit broadcasts it. Then the boxes of one data hall, the upstream's own,
//! share one token bucket, as each announces its sends to its hall; the boxes of
//! other halls leave the upstream. So nothing has to be counted between halls. Where every
//! upstream of a service names a limit, that would leave the callers of some halls with
//! nothing, so that a few halls have a part of each limit.

use super::{Balancer, News, Past, Service, Upstream};
use crate::chooser::Ask;
use crate::collector::NameId;
use crate::fleet_limits::{FleetLimits, LimitRule, RateLimit, Scope};
use crate::placement::weight;
use crate::router::{AttemptKey, UpstreamKey};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which the requests that an upstream gets are summed, and what may come beside.
const RULE: LimitRule = LimitRule { window: Duration::from_secs(4), slack: 5.0 };
/// Requests at one time beside those of a second.
const BURST: f64 = 2.5;
/// Least requests a second that an upstream is asked for, to learn whether it still names one.
const LEAST_RATE: f64 = 0.1;
/// Interval at which an unchanged limit is rebroadcast.
const RENEW_GAP: Duration = Duration::from_secs(2);
/// Time after which a limit lapses that no box has rebroadcast.
///
/// An upstream that gets nothing says nothing, and boxes of other halls do not ask it.
const LAPSE_TIME: Duration = Duration::from_secs(30);
/// Least requests a second of a data hall that has a part of a limit.
const LEAST_PART: f64 = 0.5;
/// Most data halls that have a part of one limit.
const MOST_HALLS: usize = 4;
/// Tokens over which the boxes' turns are spread, so that not all take the first one at once.
const TURN_SPREAD: f64 = 0.75;
/// Tokens that less urgent requests leave, where every upstream of a service names a limit.
const URGENT_SHARE: f64 = 0.5;

/// What a box knows of the limit of one upstream, for operators and the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests a second that it takes from all boxes together.
    pub rate: f64,
    /// Part of them that this data hall may send.
    pub part: f64,
    /// Requests that fitted when this box last looked, as far as it knows.
    pub left: Option<f64>,
}

/// A limit that an upstream names.
#[derive(Clone, Copy, Debug)]
struct Named {
    rate: f64,
    /// When an answer last named it, as far as is known here.
    at: Time,
    /// When a box last broadcast it.
    told: Time,
    /// Part that this data hall may send.
    part: f64,
}

impl Named {
    fn is_in_force(&self, now: Time) -> bool {
        now.since(self.told) < LAPSE_TIME
    }
}

/// How an upstream's limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// Its own data hall has it all.
    OwnHall,
    /// Some data halls have a part each, as no upstream of the service is without a limit.
    Halls,
}

/// The limits that upstreams name, as one box knows them.
#[derive(Debug)]
pub(super) struct NamedLimits {
    buckets: FleetLimits,
    named: BTreeMap<NameId, Named>,
}

impl NamedLimits {
    pub(super) fn new(hall: &str, past: Past, seed: u64) -> Self {
        let buckets = FleetLimits::new(hall, RULE, past, seed, Time::ZERO);
        Self { buckets, named: BTreeMap::new() }
    }

    pub(super) fn forget(&mut self, id: NameId) {
        self.named.remove(&id);
        self.buckets.set_limit(id, None);
    }

    /// Records what a box of this data hall sent to an upstream.
    pub(super) fn heard_sent(&mut self, from: NameId, id: NameId, sum: u16, now: Time) {
        self.buckets.heard_box(from, id, sum, now);
    }

    /// Returns a limit in force.
    fn in_force(&self, id: NameId, now: Time) -> Option<&Named> {
        self.named.get(&id).filter(|n| n.is_in_force(now))
    }

    /// Records a limit; returns whether it differs from the one before.
    fn set(&mut self, id: NameId, rate: f64, now: Time) -> bool {
        self.drop_lapsed(now);
        let before = self.in_force(id, now).copied();
        let part = before.map_or(1.0, |n| n.part);
        let told = before.map_or(now, |n| n.told);
        self.named.insert(id, Named { rate, at: now, told, part });
        self.set_bucket(id);
        // The broadcast value is rounded.
        before.is_none_or(|n| n.rate as f32 != rate as f32)
    }

    /// Drops limits that have lapsed, also those of upstreams that are listed no more.
    fn drop_lapsed(&mut self, now: Time) {
        let lapsed = self.named.iter().filter(|(_, n)| !n.is_in_force(now)).map(|(&id, _)| id);
        for id in lapsed.collect::<Vec<NameId>>() {
            self.forget(id);
        }
    }

    fn set_part(&mut self, id: NameId, part: f64) {
        let Some(n) = self.named.get_mut(&id) else { return };
        if n.part != part {
            n.part = part;
            self.set_bucket(id);
        }
    }

    fn set_bucket(&mut self, id: NameId) {
        let Some(n) = self.named.get(&id) else { return };
        let rate = n.rate.max(LEAST_RATE);
        let limit = RateLimit { rate: rate * n.part, burst: (rate + BURST) * n.part };
        self.buckets.set_limit(id, Some(limit));
    }
}

impl Balancer {
    /// Records the limit that an answer to an attempt advertised; returns whether it changed.
    pub(super) fn named(&mut self, k: AttemptKey, rate: f64, now: Time) -> bool {
        let Some((id, _)) = self.asked(k) else { return false };
        let is_new = self.limits.set(id, rate, now);
        self.tell_limit(id, is_new, now);
        is_new
    }

    /// Records that an answer to an attempt advertised no limit; returns whether one is lifted.
    ///
    /// An attempt that began before the limit was known lifts none: it may have been in flight.
    pub(super) fn withdraw_limit(&mut self, k: AttemptKey) -> bool {
        let Some((id, began)) = self.asked(k) else { return false };
        let is_lifted = self.limits.named.get(&id).is_some_and(|n| began > n.at);
        if is_lifted {
            self.limits.forget(id);
            self.news.push(News::Limit { upstream: id, rate: None });
        }
        is_lifted
    }

    /// Returns the incarnation that an attempt went to, and when it began.
    fn asked(&self, k: AttemptKey) -> Option<(NameId, Time)> {
        self.attempts.get(k).map(|a| (a.id, a.started))
    }

    /// Broadcasts a new limit, and rebroadcasts an unchanged one every `RENEW_GAP`.
    fn tell_limit(&mut self, id: NameId, is_new: bool, now: Time) {
        let Some(n) = self.limits.named.get_mut(&id) else { return };
        if is_new || now.since(n.told) >= RENEW_GAP {
            n.told = now;
            self.news.push(News::Limit { upstream: id, rate: Some(n.rate as f32) });
        }
    }

    /// Applies a rate limit learned from a peer.
    pub(super) fn heard_limit(&mut self, id: NameId, rate: Option<f32>, now: Time) {
        if !self.by_id.contains_key(&id) {
            return;
        }
        let Some(rate) = rate else {
            self.limits.forget(id);
            return;
        };
        self.limits.set(id, rate.into(), now);
        if let Some(n) = self.limits.named.get_mut(&id) {
            n.told = now;
        }
    }

    /// Returns the limits in force, for a box that has just started.
    pub(super) fn limits_in_force(&self, now: Time) -> impl Iterator<Item = News> {
        let all = self.limits.named.iter().filter(move |(_, n)| n.is_in_force(now));
        all.map(|(&upstream, n)| News::Limit { upstream, rate: Some(n.rate as f32) })
    }

    /// Filters out upstreams whose rate limit is exhausted.
    ///
    /// Returns with the others when the first of those filtered out has capacity again.
    pub(super) fn with_room(
        &mut self,
        open: Vec<UpstreamKey>,
        ask: &Ask,
        now: Time,
    ) -> (Vec<UpstreamKey>, Option<Duration>) {
        if self.limits.named.is_empty() || open.is_empty() {
            return (open, None);
        }
        let Some(s) = self.services.get(ask.service) else { return (open, None) };
        let division = self.division(s, now);
        let boxes = self.hall_boxes;
        self.limits.buckets.set_scope(Scope { boxes, halls: 1, alone: self.alone });
        let mut left = Vec::with_capacity(open.len());
        let mut wait: Option<Duration> = None;
        for k in open {
            match self.room(k, ask, division, now) {
                Ok(()) => left.push(k),
                Err(w) => wait = Some(wait.map_or(w, |least| least.min(w))),
            }
        }
        (left, wait)
    }

    /// Returns whether an upstream has room for a request, or else when.
    fn room(
        &mut self,
        k: UpstreamKey,
        ask: &Ask,
        division: Division,
        now: Time,
    ) -> Result<(), Duration> {
        let u = &self.upstreams[k];
        let id = u.id;
        let Some(&n) = self.limits.in_force(id, now) else { return Ok(()) };
        let part = self.hall_part(u, n.rate, division);
        let turn = self.turn(u);
        self.limits.set_part(id, part);
        if part == 0.0 {
            return Err(Duration::from_secs_f64(1.0 / n.rate.max(LEAST_RATE)));
        }
        let yields = division == Division::Halls && (ask.repeatable || ask.priority > 0);
        let left = if yields { URGENT_SHARE } else { 0.0 };
        self.limits.buckets.room(id, 1.0 + turn * TURN_SPREAD + left, now)
    }

    /// Returns this box's turn at an upstream, drawn anew after each send there.
    pub(super) fn turn(&self, u: &Upstream) -> f64 {
        let worked = u.worked.unwrap_or(u.joined).as_micros();
        fastrand::Rng::with_seed(self.seed ^ u.id.0 ^ worked).f64()
    }

    fn division(&self, s: &Service, now: Time) -> Division {
        let is_free = |k: &UpstreamKey| {
            let u = &self.upstreams[*k];
            !u.is_leaving() && self.limits.in_force(u.id, now).is_none()
        };
        if s.upstreams.iter().any(is_free) { Division::OwnHall } else { Division::Halls }
    }

    /// Returns the part of an upstream's limit that this data hall may send.
    ///
    /// Its own hall comes first, then halls drawn by hashing; each by how many boxes it has.
    fn hall_part(&self, u: &Upstream, rate: f64, division: Division) -> f64 {
        let me = self.hall_id;
        let most = match division {
            Division::OwnHall if self.halls.contains_key(&u.hall) => {
                return if u.hall == me { 1.0 } else { 0.0 };
            }
            // Its own hall has no box, so another one takes its place.
            Division::OwnHall => 1,
            Division::Halls => ((rate / LEAST_PART) as usize).clamp(1, MOST_HALLS),
        };
        let mut halls: Vec<(bool, u64, NameId, usize)> = self
            .halls
            .iter()
            .map(|(&hall, &boxes)| (hall != u.hall, weight(hall.0, u.id.0), hall, boxes))
            .collect();
        halls.sort_unstable();
        halls.truncate(most);
        let all: usize = halls.iter().map(|(.., boxes)| boxes).sum();
        let mine = halls.iter().find(|(_, _, hall, _)| *hall == me).map_or(0, |(.., boxes)| *boxes);
        mine as f64 / all.max(1) as f64
    }

    /// Counts a send to an upstream that names a limit, and tells this data hall.
    pub(super) fn count_send(&mut self, k: UpstreamKey, now: Time) {
        let Some(id) = self.upstreams.get(k).map(|u| u.id) else { return };
        if self.limits.in_force(id, now).is_some() {
            self.limits.buckets.take(id, now);
            self.news.extend(self.limits.buckets.take_news());
        }
    }

    /// Returns what is known of the limit of an upstream, if it names one.
    #[must_use]
    pub fn limit_of(&self, k: UpstreamKey, now: Time) -> Option<NamedLimit> {
        let id = self.upstreams.get(k)?.id;
        let n = self.limits.in_force(id, now)?;
        let left = self.limits.buckets.level(id);
        Some(NamedLimit { rate: n.rate, part: n.part, left })
    }
}
