//! Trials: work for upstreams that would not be chosen by their loss.
//!
//! The floor asks for work on most upstreams that are well within any two seconds,
//! and a trial of one that failed a moment ago fails as well. So each upstream gets
//! some work after a while, but those that failed rest longer.

use super::{Balancer, Service, Upstream};
use crate::chooser::Ask;
use crate::router::UpstreamKey;
use crate::spec::Floor;
use crate::time::Time;
use std::time::Duration;

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
/// in four of 288; this one did in none of 144.
const USUAL_SPARING: Sparing =
    Sparing { rest: Duration::from_secs(5), borne: 2, doublings: 1, left_out: 0.5 };
/// The same while much of a service fails: the floor is counted then.
///
/// None is left out: when 43 of 53 upstreams were in trouble, six of the ten others got
/// nothing, and those left out may all have stood among the ten. The users count a failed
/// one again after two seconds, so it has to be tried within four.
const FAILING_SPARING: Sparing =
    Sparing { rest: Duration::from_secs(2), borne: 2, doublings: 1, left_out: 0.0 };
/// Time after its last failure for which an upstream may be left out.
const MAY_BE_LEFT_OUT: Duration = Duration::from_secs(30);
/// Longest time that one left out gets no repeatable work.
const LEFT_OUT_REST: Duration = Duration::from_secs(6);
/// The same for work that may not be repeated: four in ten such trials failed.
const LEFT_OUT_REST_UNSAFE: Duration = Duration::from_secs(20);
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

/// When an upstream that had no work gets some, for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialRule {
    floor: Floor,
    sparing: Sparing,
    /// Longest time without work.
    rest: Duration,
    /// The same for one that is left out.
    left_out_rest: Duration,
}

impl TrialRule {
    /// Returns the rule for a request to a service.
    pub(super) fn of(s: &Service, ask: &Ask, now: Time) -> Self {
        let young = now.since(s.began) < YOUNG;
        let (rest, left_out_rest) = match (young, ask.repeatable) {
            (true, _) => (REST_YOUNG, LEFT_OUT_REST),
            (false, true) => (REST_REPEATABLE, LEFT_OUT_REST),
            (false, false) => (REST_UNSAFE, LEFT_OUT_REST_UNSAFE),
        };
        let sparing = if s.is_failing(now) { FAILING_SPARING } else { USUAL_SPARING };
        Self { floor: s.spec.floor, sparing, rest, left_out_rest }
    }
}

impl Balancer {
    /// Returns the upstream of this data hall that got no work for the longest time,
    /// if that is longer than the rule allows.
    ///
    /// The most doubted ones are left out, up to a part of what the floor spares.
    pub(super) fn starved(
        &self,
        open: &[UpstreamKey],
        rule: TrialRule,
        now: Time,
    ) -> Option<UpstreamKey> {
        let sparing = rule.sparing;
        let well = open.iter().filter(|&&k| !self.upstreams[k].failed_lately(sparing, now));
        let mut well: Vec<(f64, UpstreamKey)> =
            well.map(|&k| (self.shared_chance(k, now), k)).collect();
        well.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        let spare = well.len().saturating_sub(rule.floor.count(well.len()));
        let left_out = (spare as f64 * sparing.left_out) as usize;
        let due = |(i, &(_, k)): (usize, &(f64, UpstreamKey))| {
            let u = &self.upstreams[k];
            // New ones are never left out.
            let has_failed = u.failed.is_some_and(|at| now.since(at) < MAY_BE_LEFT_OUT);
            let is_left_out = i < left_out && has_failed;
            let limit = if is_left_out { rule.left_out_rest } else { rule.rest };
            let rest = u.rest(sparing, now);
            let free = u.near && u.busy(now) < u.slots && u.path.chance(now) < PATH_BAD;
            let free = free && !self.waits_long(k, now);
            (free && rest > limit).then_some((rest, k))
        };
        well.iter().enumerate().filter_map(due).max().map(|(_, k)| k)
    }
}

impl Upstream {
    /// Tells whether something failed there a moment ago.
    fn failed_lately(&self, sparing: Sparing, now: Time) -> bool {
        self.failed.is_some_and(|at| now.since(at) < sparing.rest_after(self.streak))
    }

    /// Returns how long it has been well and had no work.
    fn rest(&self, sparing: Sparing, now: Time) -> Duration {
        let well = self.failed.map_or(self.joined, |at| at + sparing.rest_after(self.streak));
        now.since(self.worked.unwrap_or(self.joined).max(well))
    }
}
