//! Trials: work for upstreams that would not be chosen by their loss.
//!
//! The floor asks for work on most upstreams that are well within any two seconds,
//! and a trial of one that failed a moment ago fails as well. So each upstream gets
//! some work after a while, but those that failed rest longer.

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
const USUAL_SPARING: Sparing = Sparing { rest: Duration::from_secs(5), borne: 2, doublings: 1 };
/// The same while much of a service fails: the floor is counted then.
///
/// When 43 of 53 upstreams were in trouble, six of the ten others got nothing, as they
/// rested. The users count a failed one again after two seconds, so it has to be tried
/// within four.
const FAILING_SPARING: Sparing = Sparing { rest: Duration::from_secs(2), borne: 2, doublings: 1 };
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
}

impl TrialRule {
    /// Returns the rule for a request to a service.
    pub(super) fn of(s: &Service, ask: &Ask, now: Time) -> Self {
        let young = now.since(s.began) < YOUNG;
        let rest = match (young, ask.repeatable) {
            (true, _) => REST_YOUNG,
            (false, true) => REST_REPEATABLE,
            (false, false) => REST_UNSAFE,
        };
        let sparing = if s.is_failing(now) { FAILING_SPARING } else { USUAL_SPARING };
        Self { sparing, rest }
    }
}

impl Balancer {
    /// Returns the upstream of this data hall that got no work for the longest time,
    /// if that is longer than the rule allows.
    pub(super) fn starved(
        &self,
        open: &[UpstreamKey],
        rule: TrialRule,
        now: Time,
    ) -> Option<UpstreamKey> {
        let due = |&k: &UpstreamKey| {
            let u = &self.upstreams[k];
            let rest = u.rest(rule.sparing, now);
            let is_well = !u.failed_lately(rule.sparing, now);
            let is_free = u.near && u.busy(now) < u.slots && u.path.chance(now) < PATH_BAD;
            let wanted = is_well && is_free && rest > rule.rest && !self.waits_long(k, now);
            wanted.then_some((rest, k))
        };
        open.iter().filter_map(due).max().map(|(_, k)| k)
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
