//! Trials: work for upstreams that would not be chosen by their loss.
//!
//! The floor asks for work on most upstreams that are well within any two seconds,
//! and a trial of one that failed a moment ago fails as well. So each upstream gets
//! some work after a while, but those that failed rest longer.

use super::floor::{FloorRule, WORK_TIME};
use super::{Balancer, Service, Upstream};
use crate::chooser::Ask;
use crate::router::UpstreamKey;
use crate::time::Time;
use std::time::Duration;

/// Longest time that an upstream gets nothing, before a repeatable request goes there.
///
/// The floor is counted over two seconds, in which most upstreams that are well must
/// get some work whenever much fails. What fails next can't be known, so it is kept
/// at all times, by repeatable requests as far as there are any.
const REST_REPEATABLE: Duration = Duration::from_millis(1_000);
/// The same on a box that has just started and knows nothing of any upstream.
///
/// Its work is spread until something is known, also after a full restart.
const REST_YOUNG: Duration = Duration::from_millis(400);
/// Time for which a box counts as having just started.
const YOUNG: Duration = Duration::from_secs(5);
/// How failed upstreams are spared trials while a service is mostly well.
///
/// The floor counts an upstream again soon after its failures end, so a longer backoff could break
/// it when all boxes are lost at such a moment.
const USUAL_SPARING: Sparing = Sparing { rest: Duration::from_secs(4), borne: 2, doublings: 1 };
/// The same while much of a service fails: the floor is counted then.
///
/// A failed upstream counts again after two seconds, so it has to be tried within four.
const FAILING_SPARING: Sparing = Sparing { rest: Duration::from_secs(2), borne: 2, doublings: 1 };
/// Last part of the longest time without work, over which the boxes' trials are spread.
///
/// Boxes that find an upstream due at once would meet there before they learn of each other.
const TURN_SHARE: f64 = 0.15;
/// Chance that this box's path is bad, above which the other boxes keep it at work.
const PATH_BAD: f64 = 0.4;
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
}

impl Sparing {
    /// Returns the time for which an upstream with so many failures in a row rests.
    fn rest_after(self, streak: u32) -> Duration {
        self.rest * 2u32.pow(streak.saturating_sub(self.borne).min(self.doublings))
    }
}

/// When an upstream that had no work gets some, for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialRule {
    sparing: Sparing,
    /// Longest time without work.
    rest: Duration,
    /// The floor, where the others may rest once it is kept.
    floor: Option<FloorRule>,
}

impl TrialRule {
    /// Returns the rule for a request to a service.
    pub(super) fn of(s: &Service, ask: &Ask, now: Time) -> Self {
        let young = now.since(s.began) < YOUNG;
        let rest = match (young, ask.repeatable) {
            (true, _) => REST_YOUNG,
            (false, true) => REST_REPEATABLE,
            (false, false) => WORK_TIME,
        };
        let failing = s.failing.is_now(now);
        let sparing = if failing { FAILING_SPARING } else { USUAL_SPARING };
        let upstreams = s.upstreams.len();
        let floor = FloorRule { share: s.spec.floor.share(upstreams), upstreams };
        // While much fails, what is believed of upstreams is least sure and the floor is
        // counted. A trial with a repeatable request costs no more than a retry.
        let rests = !young && !failing && !ask.repeatable;
        Self { sparing, rest, floor: rests.then_some(floor) }
    }
}

impl Balancer {
    /// Returns an upstream of this data hall that got no work for longer than the rule
    /// allows, if one has to get some.
    pub(super) fn starved(
        &mut self,
        open: &[UpstreamKey],
        rule: TrialRule,
        now: Time,
    ) -> Option<UpstreamKey> {
        if rule.floor.is_some_and(|f| self.keeps_floor(open, f, now)) {
            return None;
        }
        let is_due = |k: &UpstreamKey| self.is_due(*k, rule, now);
        let mut due: Vec<UpstreamKey> = open.iter().copied().filter(is_due).collect();
        if due.iter().any(|&k| self.upstreams[k].is_new()) {
            due.retain(|&k| self.upstreams[k].is_new());
        }
        self.less_doubted(&due, now)
    }

    fn is_due(&self, k: UpstreamKey, rule: TrialRule, now: Time) -> bool {
        let u = &self.upstreams[k];
        let is_well = !u.failed_lately(rule.sparing, now);
        let is_free = u.near && u.busy(now) < u.slots && u.path.chance(now) < PATH_BAD;
        let rest = u.rest(rule.sparing, now);
        is_well && is_free && self.has_turn(u, rest, rule.rest) && !self.waits_long(k, now)
    }

    /// Returns whether a rest is long enough for this box, by a turn drawn for each rest.
    fn has_turn(&self, u: &Upstream, rest: Duration, most: Duration) -> bool {
        if rest <= most.mul_f64(1.0 - TURN_SHARE) {
            return false;
        }
        rest > most.mul_f64(1.0 - TURN_SHARE * self.turn(u))
    }

    /// Returns the less doubted of two drawn at random.
    ///
    /// Boxes that all took the longest idle one would meet there.
    fn less_doubted(&mut self, due: &[UpstreamKey], now: Time) -> Option<UpstreamKey> {
        if due.is_empty() {
            return None;
        }
        let mut draw = || due[self.rng.usize(..due.len())];
        let (a, b) = (draw(), draw());
        let chance = |k: UpstreamKey| self.upstreams[k].shared.chance(now);
        Some(if chance(b) < chance(a) { b } else { a })
    }
}

impl Upstream {
    /// Returns whether nothing was ever sent there, as far as is known.
    pub(super) const fn is_new(&self) -> bool {
        self.worked.is_none() && self.failed.is_none()
    }

    /// Returns whether something failed there a moment ago.
    fn failed_lately(&self, sparing: Sparing, now: Time) -> bool {
        self.failed.is_some_and(|at| now.since(at) < sparing.rest_after(self.streak))
    }

    /// Returns how long it has been well and had no work.
    fn rest(&self, sparing: Sparing, now: Time) -> Duration {
        let well = self.failed.map_or(self.joined, |at| at + sparing.rest_after(self.streak));
        now.since(self.worked.unwrap_or(self.joined).max(well))
    }
}
