//! What all boxes together may admit of each subject that has a limit.
//!
//! A box sees a hundredth of a subject's requests, so it can't know from its own that a limit is
//! met. Each holds one token bucket a subject, which it draws on for whatever any box admits,
//! as far as it learns of that:
//!
//! - The boxes of its data hall announce each admission with the attempt that follows it, so that
//!   this costs no datagram and is known within some milliseconds.
//! - For a whole data hall one box announces to the others what was admitted there, and only while
//!   the subject is near its limit. One far from it costs nothing between data halls.
//!
//! Announcements are sums, so that the next one makes good a lost datagram, and sides that
//! were cut off from each other are charged for what the other one admitted.

use super::hall_count::{FarHall, HallCount};
use super::rule::{LimitRule, RateLimit, Scope};
use super::usage::{MOST_DEBT, TELL_GAP, Usage};
use crate::balance::{News, Past};
use crate::collector::NameId;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Times that wait which the second box in turn leaves to the first.
const SECOND_GAPS: u32 = 3;
/// Part of the burst that a box has where it does not know what was admitted before.
///
/// Boxes that all lost power and came back together would else give a second burst, each data
/// hall for itself until it learns of the others. With much less, callers that waited meanwhile
/// and come back together would be refused below their limits.
const UNKNOWN_SHARE: f64 = 0.5;
/// Part of the slack that it has beside it.
const UNKNOWN_SLACK: f64 = 0.25;
/// Most admissions of another box that one count of it makes good.
///
/// Each life of a box counts from a number drawn at random, so that a sum which is further
/// ahead or behind is that of a restart, or of a box that was isolated for long.
const MOST_MISSED: u16 = 64;
/// How far behind the last one a count of a data hall is when it was overtaken on its way.
const MOST_BEHIND: u16 = 256;
/// Subjects of which a box keeps what was admitted, before those that have not asked
/// within a window are forgotten; each takes 0.4 kB and 24 bytes for each box of the hall.
const MOST_KEPT: usize = 4_096;
/// Least `Retry-After` of a rejected caller.
const LEAST_WAIT: Duration = Duration::from_millis(20);

/// What a box knew of a subject's limit, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUse {
    /// Requests a second that it may send.
    pub rate: f64,
    /// Requests that it may send at once; below zero if it has sent too many.
    pub level: f64,
    /// Requests admitted in this data hall within the window.
    pub hall: u32,
    /// Requests admitted in the others within a fifth of the window, as far as announced.
    pub others: u32,
    /// Age of the oldest of their counts, if there is one.
    pub age: Option<Duration>,
}

/// Limits of the subjects that asked lately, as one box knows them.
#[derive(Debug)]
pub struct FleetLimits {
    rule: LimitRule,
    hall: NameId,
    scope: Scope,
    past: Past,
    /// When this box began to count.
    began: Time,
    limits: BTreeMap<NameId, RateLimit>,
    usages: BTreeMap<NameId, Usage>,
    /// Subjects of which something was admitted since it was last asked who is due.
    touched: BTreeSet<NameId>,
    news: Vec<News>,
    rng: fastrand::Rng,
}

impl FleetLimits {
    /// Builds the limits of a box in data hall `hall`.
    #[must_use]
    pub fn new(hall: &str, rule: LimitRule, past: Past, seed: u64, now: Time) -> Self {
        Self {
            rule,
            hall: NameId::of(hall),
            scope: Scope::default(),
            past,
            began: now,
            limits: BTreeMap::new(),
            usages: BTreeMap::new(),
            touched: BTreeSet::new(),
            news: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces all limits; what was admitted of the subjects that stay is kept.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (NameId, RateLimit)>) {
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
            self.touched.remove(&id);
            return;
        };
        self.limits.insert(id, limit);
        if let Some(u) = self.usages.get_mut(&id) {
            u.limit = limit;
        }
    }

    /// Sets the boxes that share the limits.
    pub const fn set_scope(&mut self, scope: Scope) {
        self.scope = scope;
    }

    /// Admits one request of a subject, if its limit allows it.
    ///
    /// # Errors
    /// Returns the time until a request fits; nothing is taken then.
    pub fn admit(&mut self, id: NameId, now: Time) -> Result<(), Duration> {
        self.room(id, 1.0, now)?;
        self.take(id, now);
        Ok(())
    }

    /// Returns whether one more request of a subject fits, where so many tokens are wanted, or
    /// all that its bucket holds.
    ///
    /// # Errors
    /// Returns the time until it fits.
    pub fn room(&mut self, id: NameId, wanted: f64, now: Time) -> Result<(), Duration> {
        let Some(&limit) = self.limits.get(&id) else { return Ok(()) };
        let (scope, draw) = (self.scope, self.rng.f64());
        let u = self.usage(id, limit, now);
        u.refill(scope, now);
        if u.is_alone(scope, now) {
            // A share below one request is drawn for, so that all shares sum up to the limit.
            if u.own.level <= draw {
                return Err(u.own.wait(u.own_rate(scope)).max(LEAST_WAIT));
            }
        } else if u.bucket.level < wanted.min(limit.burst.max(1.0)) {
            return Err(u.bucket.wait(limit.rate).max(LEAST_WAIT));
        }
        Ok(())
    }

    /// Counts one request of a subject, which this box sends on.
    pub fn take(&mut self, id: NameId, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let scope = self.scope;
        let u = self.usage(id, limit, now);
        u.refill(scope, now);
        u.own.level = (u.own.level - 1.0).max(MOST_DEBT);
        u.took(1, now);
        u.told = u.told.wrapping_add(1);
        let sum = u.told;
        self.news.push(News::Admitted { subject: id, sum });
    }

    /// Returns the tokens that a subject has left, as they were when it was last looked at.
    #[must_use]
    pub fn level(&self, id: NameId) -> Option<f64> {
        self.usages.get(&id).map(|u| u.bucket.level)
    }

    /// Records what a box of this data hall admitted since it started.
    pub fn heard_box(&mut self, from: NameId, id: NameId, sum: u16, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let scope = self.scope;
        let u = self.usage(id, limit, now);
        u.refill(scope, now);
        u.heard = now;
        let known = u.boxes.get(&from).copied();
        if known.is_some_and(|k| k.wrapping_sub(sum) <= MOST_MISSED) {
            return;
        }
        u.boxes.insert(from, sum);
        let missed = known.map(|k| sum.wrapping_sub(k)).filter(|&n| n <= MOST_MISSED);
        u.took(missed.unwrap_or(1).into(), now);
    }

    /// Records what a data hall admitted, as one of its boxes reports.
    pub fn heard_hall(&mut self, from: NameId, id: NameId, told: HallCount, now: Time) {
        let Some(&limit) = self.limits.get(&id) else { return };
        let (scope, window) = (self.scope, self.rule.window);
        let near = told.hall == self.hall;
        let u = self.usage(id, limit, now);
        u.refill(scope, now);
        u.heard = now;
        u.correct(told.level);
        if near {
            u.told_at = Some(now);
            return;
        }
        let HallCount { hall, sum, latest, .. } = told;
        let told_now = FarHall { teller: from, sum, latest, heard: now };
        let known = u.far.get(&hall).copied().filter(|f| now.since(f.heard) < window);
        let same = known.filter(|f| f.teller == from);
        if same.is_some_and(|f| f.sum != sum && f.sum.wrapping_sub(sum) <= MOST_BEHIND) {
            return;
        }
        u.far.insert(hall, told_now);
        let more = same.map(|f| sum.wrapping_sub(f.sum)).filter(|&n| n <= latest);
        u.bucket.level -= match (more, known) {
            (Some(n), _) => n.into(),
            (None, Some(f)) => told.lately(now.since(f.heard), window),
            (None, None) => told.excess(limit, scope, window),
        };
    }

    /// Returns the subjects whose announcement to the other data halls may be due, of
    /// those with admissions or announcements since the last call.
    #[must_use]
    pub fn due(&mut self, now: Time) -> Vec<NameId> {
        let (rule, scope) = (self.rule, self.scope);
        let touched = std::mem::take(&mut self.touched);
        let is_due = |id: &NameId| {
            let usage = self.usages.get_mut(id);
            usage.is_some_and(|u| u.is_due(rule, scope, now))
        };
        touched.into_iter().filter(is_due).collect()
    }

    /// Announces to the other data halls what was admitted in this one.
    ///
    /// `rank` is this box's turn among those that may; the second one leaves it to the first.
    pub fn tell(&mut self, id: NameId, rank: usize, now: Time) {
        let hall = self.hall;
        let Some(u) = self.usages.get_mut(&id) else { return };
        let is_told = u.told_at.is_some_and(|at| now.since(at) < TELL_GAP * SECOND_GAPS);
        if rank > 0 && is_told {
            return;
        }
        u.told_at = (rank == 0).then_some(now).or(u.told_at);
        u.untold = false;
        let latest = u16::try_from(u.near.latest(now)).unwrap_or(u16::MAX);
        let count = HallCount { hall, sum: u.hall_sum, latest, level: u.told_level() };
        self.news.push(News::HallAdmitted { subject: id, count });
    }

    /// Drains the news to broadcast.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Returns what is known of a subject's limit, for the log.
    #[must_use]
    pub fn usage_of(&mut self, id: NameId, now: Time) -> Option<LimitUse> {
        let u = self.usages.get_mut(&id)?;
        let oldest = u.far.values().map(|f| now.since(f.heard)).max();
        Some(LimitUse {
            rate: u.limit.rate,
            level: u.bucket.level,
            hall: u.near.sum(now),
            others: u.far.values().map(|f| u32::from(f.latest)).sum(),
            age: oldest,
        })
    }

    /// Returns what was admitted of a subject, which something is about to change.
    fn usage(&mut self, id: NameId, limit: RateLimit, now: Time) -> &mut Usage {
        self.touched.insert(id);
        if self.usages.len() >= MOST_KEPT && !self.usages.contains_key(&id) {
            self.usages.retain(|_, u| u.near.sum(now) > 0);
        }
        // A subject that asks for the first time long after this box has started has
        // asked nobody in its hall before.
        let is_known = self.past == Past::Empty || now.since(self.began) > self.rule.window;
        let guess = UNKNOWN_SHARE.mul_add(limit.burst, UNKNOWN_SLACK * self.rule.slack);
        let level = if is_known { limit.burst } else { guess.min(limit.burst) };
        let (window, rng) = (self.rule.window, &mut self.rng);
        let new =
            || Usage { guessed: !is_known, ..Usage::new(limit, level, window, rng.u16(..), now) };
        self.usages.entry(id).or_insert_with(new)
    }
}
