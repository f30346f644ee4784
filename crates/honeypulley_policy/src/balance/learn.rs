//! What attempts, and other boxes, tell of the upstreams.

use super::{Attempt, Balancer, DEFAULT_AIM, News, PeerOpen, Resend, Upstream};
use crate::belief::{Belief, Observation};
use crate::collector::NameId;
use crate::router::{AttemptKey, Outcome, ServiceKey, UpstreamKey};
use crate::spread::Spread;
use crate::time::Time;
use std::time::Duration;

/// Chance of sickness from which an upstream is in doubt, for the log.
///
/// A line for each news was 80 lines a second on each of 88 boxes.
const DOUBTED: f64 = 0.5;
/// Chance of sickness below which an upstream that failed is well again.
const WELL: f64 = 0.2;
/// Time within which two boxes that can't reach an upstream bear each other out.
const UNREACHED_SPAN: Duration = Duration::from_millis(1_500);
/// Time within which several failures are one.
const ONE_FAILURE: Duration = Duration::from_millis(500);
/// Part of the usual time of work below which a failure came at once.
///
/// Base failures were seen after 0.33 of it and more, those of spells within 0.2.
const EARLY_SHARE: f64 = 0.3;
/// The same as a part of the aim, before any work was seen.
const EARLY_OF_AIM: f64 = 0.08;
/// Part of the aim above which an answer is a late one.
const LATE_SHARE: f64 = 1.0;

/// What another box's news put in doubt.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    /// Name of the upstream.
    pub upstream: String,
    /// What was seen.
    pub what: Observation,
    /// Chance of sickness before.
    pub before: f64,
    /// Chance of sickness after.
    pub after: f64,
}

impl Balancer {
    /// Takes news of another box; returns a doubt that it raised.
    pub fn heard(&mut self, from: NameId, news: News, now: Time) -> Option<Doubt> {
        match news {
            News::Seen { upstream, what } => return self.heard_seen(from, upstream, what, now),
            News::Open { upstream, count } => self.heard_open(from, upstream, count, now),
            News::Well { upstream } => {
                let u = self.known(upstream)?;
                u.told_well = true;
                // This data hall knows its own upstreams by its own attempts.
                if !u.near {
                    u.shared.calm(now);
                }
            }
            News::Belief { upstream, phases } => {
                let u = self.known(upstream)?;
                if !u.taught {
                    u.taught = true;
                    u.shared = Belief::told(phases, now);
                }
            }
            News::Retry { service } => {
                let rule = self.rule;
                if let Some(s) = self.services.values_mut().find(|s| s.id == service) {
                    s.retries.heard(&rule, now);
                }
            }
        }
        None
    }

    /// Takes how many attempts a box of this data hall has open.
    ///
    /// Attempts that ended without a word of trouble were answered well; boxes do
    /// not tell each success, and without these only failures would be heard.
    fn heard_open(&mut self, from: NameId, upstream: NameId, count: u16, now: Time) {
        let Some(u) = self.known(upstream) else { return };
        let before = u.peers.remove(&from);
        let (had, trouble) = before.map_or((0, false), |p| (p.count, p.trouble));
        if count > 0 {
            u.peers.insert(from, PeerOpen { count, at: now, trouble: trouble && had > 0 });
        }
        if count > had {
            u.worked = Some(now);
        }
        if !trouble {
            (count..had).for_each(|_| u.learn(Observation::Success, now));
            u.streak = if count < had { 0 } else { u.streak };
        }
    }

    fn heard_seen(
        &mut self,
        from: NameId,
        upstream: NameId,
        what: Observation,
        now: Time,
    ) -> Option<Doubt> {
        let service = self.known(upstream)?.service;
        self.count_failure(service, what, now);
        let u = self.known(upstream)?;
        u.note_failure(what, now);
        if what != Observation::Success
            && let Some(p) = u.peers.get_mut(&from)
        {
            p.trouble = true;
        }
        let before = u.shared.chance(now);
        // One box may have lost its own path; two see the upstream's.
        let borne_out = what != Observation::Unreachable || {
            let other = u.unreached.replace((from, now));
            other.is_some_and(|(who, at)| who != from && now.since(at) < UNREACHED_SPAN)
        };
        if borne_out {
            u.learn(what, now);
        }
        let after = u.shared.chance(now);
        let turned = before < DOUBTED && after >= DOUBTED;
        turned.then(|| Doubt { upstream: u.name.clone(), what, before, after })
    }

    /// Returns what this box believes, for one that has just started.
    ///
    /// What nobody has seen anything of is left out.
    #[must_use]
    pub fn beliefs(&self, now: Time) -> Vec<News> {
        let told = |u: &Upstream| News::Belief { upstream: u.id, phases: u.shared.phases(now) };
        self.upstreams.values().filter(|u| u.taught).map(told).collect()
    }

    /// Counts a failure that any box met against its service.
    fn count_failure(&mut self, service: ServiceKey, what: Observation, now: Time) {
        if what.is_failure()
            && let Some(s) = self.services.get_mut(service)
        {
            s.failed(self.reach.boxes, now);
        }
    }

    fn known(&mut self, id: NameId) -> Option<&mut Upstream> {
        let k = *self.by_id.get(&id)?;
        self.upstreams.get_mut(k)
    }

    /// Counts attempts of this box and tells its data hall.
    pub(super) fn opened(&mut self, k: UpstreamKey, by: isize, now: Time) {
        let Some(u) = self.upstreams.get_mut(k) else { return };
        u.open = u.open.saturating_add_signed(by);
        if by > 0 {
            u.worked = Some(now);
        }
        let count = u16::try_from(u.open).unwrap_or(u16::MAX);
        self.news.push(News::Open { upstream: u.id, count });
    }

    pub(super) fn spend(&mut self, k: ServiceKey, why: Resend, now: Time) -> bool {
        let (rule, reach) = (self.rule, self.reach);
        let Some(s) = self.services.get_mut(k) else { return false };
        if !s.retries.spend(&rule, reach, why, now) {
            return false;
        }
        self.news.push(News::Retry { service: s.id });
        true
    }

    pub(super) fn observed_overdue(&mut self, k: AttemptKey, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        let upstream = a.upstream;
        // Where others wait, lateness says nothing of the upstream.
        let queued = self.upstreams.get(upstream).is_none_or(|u| u.busy(now) > u.slots);
        if !queued && !std::mem::replace(&mut a.judged, true) {
            self.saw(upstream, Observation::Overdue, now);
        }
    }

    pub(super) fn observed_head(&mut self, k: AttemptKey, ok: bool, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        let (took, upstream) = (now.since(a.started), a.upstream);
        let late = a.aim.is_some_and(|aim| took > aim.mul_f64(LATE_SHARE));
        let judged = std::mem::replace(&mut a.judged, true);
        let a = *a;
        let queued = self.upstreams.get(upstream).is_none_or(|u| u.busy(now) > u.slots);
        if ok && let Some(s) = self.services.get_mut(a.service) {
            s.spread.add(took);
        }
        match (ok, late) {
            (false, _) if self.is_early(&a, took) => {
                self.saw(upstream, Observation::Failure, now);
            }
            (false, _) => self.saw(upstream, Observation::FailedWork, now),
            // An attempt that was overdue has said so already.
            (true, true) if !judged && !queued => self.saw(upstream, Observation::Overdue, now),
            (true, false) => self.saw(upstream, Observation::Success, now),
            _ => {}
        }
    }

    /// Tells whether an answer came before any work could be done for it.
    fn is_early(&self, a: &Attempt, took: Duration) -> bool {
        let spread = self.services.get(a.service).map(|s| &s.spread).filter(|s| s.is_warm());
        let aim = a.aim.unwrap_or(DEFAULT_AIM);
        let usual = |s: &Spread| s.middle().mul_f64(EARLY_SHARE);
        took < spread.map_or_else(|| aim.mul_f64(EARLY_OF_AIM), usual)
    }

    pub(super) fn observed_end(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        let Some(a) = self.attempts.remove(k) else { return };
        self.opened(a.upstream, -1, now);
        let what = match outcome {
            Outcome::Whole | Outcome::Abandoned => return,
            Outcome::NotRun => Observation::Shed,
            Outcome::Failed | Outcome::Wrong => Observation::Failure,
            Outcome::Refused => Observation::Refused,
            Outcome::Unreachable => Observation::Unreachable,
            Outcome::Late => Observation::Overdue,
            Outcome::Misdirected => {
                if let Some(u) = self.upstreams.get_mut(a.upstream) {
                    u.closed = true;
                }
                return;
            }
        };
        self.saw(a.upstream, what, now);
    }

    /// Takes what this box saw itself, and tells the others what they need.
    fn saw(&mut self, k: UpstreamKey, what: Observation, now: Time) {
        let Some(service) = self.upstreams.get(k).map(|u| u.service) else { return };
        self.count_failure(service, what, now);
        let u = &mut self.upstreams[k];
        u.note_failure(what, now);
        match what {
            Observation::Unreachable => u.path.observe(what, now),
            Observation::Success => {
                u.path.observe(what, now);
                u.learn(what, now);
            }
            _ => u.learn(what, now),
        }
        if what != Observation::Success {
            self.news.push(News::Seen { upstream: u.id, what });
        } else if u.near && !u.told_well && u.shared.chance(now) < WELL {
            u.told_well = true;
            self.news.push(News::Well { upstream: u.id });
        }
    }
}

impl Upstream {
    /// Takes what was seen there, by whichever box.
    fn learn(&mut self, what: Observation, now: Time) {
        self.taught = true;
        self.shared.observe(what, now);
    }

    /// Notes when something last failed there.
    fn note_failure(&mut self, what: Observation, now: Time) {
        match what {
            Observation::Success => self.streak = 0,
            Observation::FailedWork | Observation::Overdue => {}
            _ => {
                // Several at once are one.
                let apart = self.failed.is_none_or(|at| now.since(at) > ONE_FAILURE);
                self.streak += u32::from(apart);
                self.failed = Some(now);
                self.told_well = false;
            }
        }
    }
}
