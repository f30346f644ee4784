//! Distributed token buckets, one for each limited subject.
//!
//! A box sees about one percent of a subject's requests, so it can't tell from its own
//! traffic whether a limit is reached. Each box therefore charges its token bucket for the
//! admissions of all boxes, which are announced in two ways:
//!
//! - Boxes announce each admission to the peers in their data hall together with the attempt
//!   that follows it. This costs no extra datagram and arrives within a few milliseconds.
//! - One box per data hall announces the hall's total to the other halls, and only while the
//!   subject is near its limit. Subjects far from their limits cause no traffic between halls.
//!
//! Announcements carry cumulative counts. A lost datagram is thus compensated by the next one,
//! and after a network partition each side is charged for the admissions of the other.

use super::hall_count::{HallCount, RemoteHall};
use super::reserve::Demand;
use super::rule::{LimitRule, LimitScope, RateLimit};
use super::usage::{ANNOUNCE_INTERVAL, MIN_LEVEL, Usage};
use crate::balance::{RetryHistory, Update};
use crate::collector::NameId;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Announcement intervals after which the backup announcer takes over from the first.
const BACKUP_INTERVALS: u32 = 3;
/// Share of the burst granted after a start with unknown earlier admissions.
///
/// If all boxes restarted together with a full bucket, each data hall would admit a second
/// burst until it learns of the others. With a much smaller share, callers that return
/// together after the outage would be rejected below their limits.
const RESTART_BURST_SHARE: f64 = 0.5;
/// Share of the slack granted in addition to [`RESTART_BURST_SHARE`].
const RESTART_SLACK_SHARE: f64 = 0.25;
/// Largest difference between two counts of a peer that is charged in full.
///
/// A box starts counting from a random number each time it starts. A larger difference
/// therefore indicates a restart or a long isolation of that peer.
const MAX_MISSED: u16 = 64;
/// Largest amount by which a data hall's count may lag because datagrams were reordered.
const MAX_REORDERED: u16 = 256;
/// Tracked subjects above which those without admissions in the window are dropped.
///
/// Each takes 0.4 kB, plus 24 bytes for each box of the hall.
const MAX_TRACKED: usize = 4_096;
/// Shortest `Retry-After` sent to a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Snapshot of a subject's limit and usage, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUsage {
    /// Allowed requests per second.
    pub rate: f64,
    /// Remaining tokens; negative if the limit was exceeded.
    pub tokens: f64,
    /// Requests admitted in this data hall within the window.
    pub hall: u32,
    /// Announced admissions in the other data halls within a fifth of the window.
    pub other_halls: u32,
    /// Age of the oldest count of another data hall, if there is one.
    pub age: Option<Duration>,
}

/// Rejection of a request over its subject's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Time until a request like it may be admitted.
    pub wait: Duration,
    /// Tokens reserved for more urgent requests, if they are the reason.
    ///
    /// `None` if the limit itself is exhausted.
    pub reserved: Option<f64>,
}

/// Enforces fleet-wide rate limits on one box.
#[derive(Debug)]
pub struct FleetRateLimiter {
    rule: LimitRule,
    hall: NameId,
    scope: LimitScope,
    history: RetryHistory,
    /// Start of counting on this box.
    started_at: Time,
    limits: BTreeMap<NameId, RateLimit>,
    usages: BTreeMap<NameId, Usage>,
    /// Subjects with changes since the last call of [`FleetRateLimiter::due_updates`].
    changed: BTreeSet<NameId>,
    updates: Vec<Update>,
    rng: fastrand::Rng,
    /// Separate, so that the draws of `rng` do not depend on priorities.
    rank_rng: fastrand::Rng,
}

impl FleetRateLimiter {
    /// Creates the limits of a box in data hall `hall`.
    #[must_use]
    pub fn new(hall: &str, rule: LimitRule, history: RetryHistory, seed: u64, now: Time) -> Self {
        Self {
            rule,
            hall: NameId::of(hall),
            scope: LimitScope::default(),
            history,
            started_at: now,
            limits: BTreeMap::new(),
            usages: BTreeMap::new(),
            changed: BTreeSet::new(),
            updates: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            rank_rng: fastrand::Rng::with_seed(!seed),
        }
    }

    /// Replaces all limits and keeps the usage of the subjects that remain.
    pub fn replace_limits(&mut self, limits: impl IntoIterator<Item = (NameId, RateLimit)>) {
        self.limits = limits.into_iter().collect();
        self.usages.retain(|id, _| self.limits.contains_key(id));
        for (id, u) in &mut self.usages {
            u.limit = self.limits[id];
        }
    }

    /// Sets or removes the limit of one subject.
    pub fn set_limit(&mut self, id: NameId, limit: Option<RateLimit>) {
        let Some(limit) = limit else {
            self.limits.remove(&id);
            self.usages.remove(&id);
            self.changed.remove(&id);
            return;
        };
        self.limits.insert(id, limit);
        if let Some(u) = self.usages.get_mut(&id) {
            u.limit = limit;
        }
    }

    /// Sets the number of boxes and data halls that share the limits.
    pub const fn set_scope(&mut self, scope: LimitScope) {
        self.scope = scope;
    }

    /// Consumes one token of a subject if its limit allows a request.
    ///
    /// # Errors
    /// Returns the time until a request is allowed; no token is consumed.
    pub fn admit(&mut self, id: NameId, now: Time) -> Result<(), Duration> {
        self.check(id, 1.0, now)?;
        self.consume(id, now);
        Ok(())
    }

    /// Consumes one token, unless it is kept for more urgent requests of the subject.
    ///
    /// Less urgent requests are held back only while the subject's demand exceeds its limit and
    /// this box receives updates of the others. `is_highest` tells that no request of the subject is more urgent.
    ///
    /// # Errors
    /// Returns the reason and the time until a request is allowed; no token is consumed.
    pub fn admit_ranked(
        &mut self,
        id: NameId,
        priority: u8,
        is_highest: bool,
        now: Time,
    ) -> Result<(), LimitRefusal> {
        let Some(&limit) = self.limits.get(&id) else { return Ok(()) };
        let (scope, window, draw) = (self.scope, self.rule.window, self.rank_rng.f64());
        let u = self.usage_mut(id, limit, now);
        u.refill(scope, now);
        let pressure = u.pressure(window, now);
        let is_isolated = u.is_isolated(scope, now);
        let demand = u.demand.get_or_insert_with(|| Box::new(Demand::new(now)));
        demand.record(priority);
        demand.adjust(&pressure, now);
        let probability = demand.probability(priority, &pressure);
        let full_wait = demand.full_wait(priority, &pressure);
        let over_limit = |wait| LimitRefusal { wait, reserved: None };
        self.check(id, 1.0, now).map_err(over_limit)?;
        if !is_highest && !is_isolated && draw >= probability {
            // All callers held back share the tokens that their priority gets. A retry is
            // therefore worthwhile only once nothing is held back.
            let secs = 1.0 / (limit.rate * probability).max(f64::MIN_POSITIVE);
            let wait = Duration::try_from_secs_f64(secs).unwrap_or(window);
            let wait = wait.max(full_wait.unwrap_or(window)).min(window).max(MIN_RETRY_AFTER);
            return Err(LimitRefusal { wait, reserved: Some(pressure.reserve()) });
        }
        self.consume(id, now);
        Ok(())
    }

    /// Checks whether a subject's limit allows one more request.
    ///
    /// The bucket must hold `wanted` tokens, or be full if its capacity is smaller.
    ///
    /// # Errors
    /// Returns the time until the request is allowed.
    pub fn check(&mut self, id: NameId, wanted: f64, now: Time) -> Result<(), Duration> {
        let Some(&limit) = self.limits.get(&id) else { return Ok(()) };
        let (scope, draw) = (self.scope, self.rng.f64());
        let u = self.usage_mut(id, limit, now);
        u.refill(scope, now);
        if u.is_isolated(scope, now) {
            // Fractional tokens admit at random, so that the shares of all boxes sum to the limit.
            if u.own_share.level <= draw {
                return Err(u.own_share.wait(u.own_rate(scope)).max(MIN_RETRY_AFTER));
            }
        } else if u.bucket.level < wanted.min(limit.burst.max(1.0)) {
            return Err(u.bucket.wait(limit.rate).max(MIN_RETRY_AFTER));
        }
        Ok(())
    }

    /// Consumes one token for a request that this box forwards, and announces it.
    pub fn consume(&mut self, id: NameId, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let scope = self.scope;
        let u = self.usage_mut(id, limit, now);
        u.refill(scope, now);
        u.own_share.level = (u.own_share.level - 1.0).max(MIN_LEVEL);
        u.record_admitted(1, now);
        u.announced = u.announced.wrapping_add(1);
        let sum = u.announced;
        self.updates.push(Update::Admitted { subject: id, sum });
    }

    /// Returns a subject's remaining tokens as of its last refill.
    #[must_use]
    pub fn level(&self, id: NameId) -> Option<f64> {
        self.usages.get(&id).map(|u| u.bucket.level)
    }

    /// Applies the cumulative count of a peer in this data hall.
    pub fn apply_box_count(&mut self, from: NameId, id: NameId, sum: u16, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let scope = self.scope;
        let u = self.usage_mut(id, limit, now);
        u.refill(scope, now);
        u.record_received(now);
        let known = u.peer_sums.get(&from).copied();
        if known.is_some_and(|k| k.wrapping_sub(sum) <= MAX_MISSED) {
            return;
        }
        u.peer_sums.insert(from, sum);
        let missed = known.map(|k| sum.wrapping_sub(k)).filter(|&n| n <= MAX_MISSED);
        u.record_admitted(missed.unwrap_or(1).into(), now);
        u.record_received(now);
    }

    /// Applies the cumulative count of a data hall, announced by one of its boxes.
    pub fn apply_hall_count(&mut self, from: NameId, id: NameId, count: HallCount, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let (scope, window) = (self.scope, self.rule.window);
        let is_own_hall = count.hall == self.hall;
        let u = self.usage_mut(id, limit, now);
        u.refill(scope, now);
        u.correct(count.tokens);
        u.record_level(count.hall, count.tokens, now);
        // Boxes with few requests of the subject keep step with the others.
        u.adjust_demand(window, now);
        u.record_received(now);
        if is_own_hall {
            u.announced_at = Some(now);
            return;
        }
        let HallCount { hall, sum, recent, .. } = count;
        let update = RemoteHall { announcer: from, sum, recent, received_at: now };
        let known =
            u.remote_halls.get(&hall).copied().filter(|f| now.since(f.received_at) < window);
        let same = known.filter(|f| f.announcer == from);
        if same.is_some_and(|f| f.sum != sum && f.sum.wrapping_sub(sum) <= MAX_REORDERED) {
            return;
        }
        u.remote_halls.insert(hall, update);
        let more = same.map(|f| sum.wrapping_sub(f.sum)).filter(|&n| n <= recent);
        u.bucket.level -= match (more, known) {
            (Some(n), _) => n.into(),
            (None, Some(f)) => count.recent_estimate(now.since(f.received_at), window),
            (None, None) => count.excess(limit, scope, window),
        };
        u.record_received(now);
    }

    /// Returns the subjects whose update to the other data halls is due.
    ///
    /// Considers only subjects with admissions or updates since the last call.
    #[must_use]
    pub fn due_updates(&mut self, now: Time) -> Vec<NameId> {
        let (rule, scope) = (self.rule, self.scope);
        let changed = std::mem::take(&mut self.changed);
        let is_due = |id: &NameId| {
            let usage = self.usages.get_mut(id);
            usage.is_some_and(|u| u.is_update_due(rule, scope, now))
        };
        changed.into_iter().filter(is_due).collect()
    }

    /// Queues an update about this data hall's admissions for the other halls.
    ///
    /// `rank` is this box's rank among the hall's announcers. A box with a rank above zero is a
    /// backup, which stays silent while the first one announces.
    pub fn announce(&mut self, id: NameId, rank: usize, now: Time) {
        let hall = self.hall;
        let Some(u) = self.usages.get_mut(&id) else { return };
        let is_recent =
            u.announced_at.is_some_and(|at| now.since(at) < ANNOUNCE_INTERVAL * BACKUP_INTERVALS);
        if rank > 0 && is_recent {
            return;
        }
        u.announced_at = (rank == 0).then_some(now).or(u.announced_at);
        u.unannounced = false;
        let recent = u16::try_from(u.hall_recent.latest(now)).unwrap_or(u16::MAX);
        let count = HallCount { hall, sum: u.hall_sum, recent, tokens: u.announced_level() };
        u.record_level(hall, count.tokens, now);
        self.updates.push(Update::HallAdmitted { subject: id, count });
    }

    /// Drains the queued updates.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Returns a snapshot of a subject's usage, for the log.
    #[must_use]
    pub fn usage(&mut self, id: NameId, now: Time) -> Option<LimitUsage> {
        let u = self.usages.get_mut(&id)?;
        let oldest = u.remote_halls.values().map(|f| now.since(f.received_at)).max();
        Some(LimitUsage {
            rate: u.limit.rate,
            tokens: u.bucket.level,
            hall: u.hall_recent.sum(now),
            other_halls: u.remote_halls.values().map(|f| u32::from(f.recent)).sum(),
            age: oldest,
        })
    }

    /// Returns a subject's usage for modification, and marks it as changed.
    fn usage_mut(&mut self, id: NameId, limit: RateLimit, now: Time) -> &mut Usage {
        self.changed.insert(id);
        if self.usages.len() >= MAX_TRACKED && !self.usages.contains_key(&id) {
            self.usages.retain(|_, u| u.hall_recent.sum(now) > 0);
        }
        // A subject first seen more than a window after the start has had no earlier
        // admissions in this hall, since peers would have announced them.
        let is_known =
            self.history == RetryHistory::Empty || now.since(self.started_at) > self.rule.window;
        let reduced =
            RESTART_BURST_SHARE.mul_add(limit.burst, RESTART_SLACK_SHARE * self.rule.slack);
        let level = if is_known { limit.burst } else { reduced.min(limit.burst) };
        let (window, rng) = (self.rule.window, &mut self.rng);
        let new =
            || Usage { estimated: !is_known, ..Usage::new(limit, level, window, rng.u16(..), now) };
        self.usages.entry(id).or_insert_with(new)
    }
}
