//! What attempts, and other boxes, tell of the upstreams.

use super::doubt::assumed;
use super::illness::{HUNG_RATIO, HUNG_SURVIVAL, OVERDUE_RATIO};
use super::retry::Spending;
use super::work::WorkTimes;
use super::{
    AnswerKind, Attempt, Balancer, FarLoad, News, PeerOpen, Resend, Service, Unreached, Upstream,
};
use crate::belief::{Belief, Observation};
use crate::collector::NameId;
use crate::router::{AttemptKey, Outcome, ServiceKey, UpstreamKey};
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
/// Time for which the word of a box is not taken that it can't reach an upstream, after
/// another was answered by one that it had not reached.
///
/// It has lost its own paths. Without this, two cut boxes of twenty bore each other
/// out, and seven of twenty upstreams that were well got nothing for two seconds.
const CONTRADICTED_TIME: Duration = Duration::from_secs(5);
/// Time within which several failures are one.
const ONE_FAILURE: Duration = Duration::from_millis(500);
/// Part of the usual time of work below which a failure came at once.
///
/// Base failures were seen after 0.33 of it and more, those of spells within 0.2.
const EARLY_SHARE: f64 = 0.3;
/// The same as a part of the aim, before any work was seen.
const EARLY_OF_AIM: f64 = 0.08;
/// Ratio, sick against well, of a good answer that came after nearly all others.
///
/// The upstream may be slow, or the request long; an estimate.
const LATE_RATIO: f64 = 3.0;
/// Share of a service's requests that are turned away from which on it is common to all
/// upstreams, and makes none of them rest.
const COMMON_SHEDS: f64 = 0.1;
/// Part of the time given to an attempt from which on a failure answer is only its end.
const OUT_OF_TIME: f64 = 0.95;

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
            News::Open { upstream, count } => {
                self.heard_open(from, upstream, count, now);
            }
            News::Ended { upstream, count, served, far, ago } => {
                let at = now.before(ago);
                self.heard_ended(from, upstream, count, served, at);
                if let (Some(far), Some(u)) = (far, self.known(upstream)) {
                    u.far = Some(FarLoad { count: f64::from(far), at });
                }
            }
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
            News::Spent { service, sum } => {
                let rule = self.rule;
                if let Some(s) = self.known_service(service) {
                    s.retries.inherit(&rule, sum, now);
                }
            }
            News::Retry { service, seen, spent } => {
                self.heard_spent(service, Spending { from, seen, spent, again: true }, now);
            }
            News::Denied { service, seen, spent } => {
                self.heard_spent(service, Spending { from, seen, spent, again: false }, now);
            }
        }
        None
    }

    fn heard_spent(&mut self, service: NameId, told: Spending, now: Time) {
        let rule = self.rule;
        if let Some(s) = self.known_service(service) {
            s.retries.heard(&rule, told, now);
        }
    }

    /// Takes that a box of this data hall has so many attempts open since `at`.
    ///
    /// Returns what was known of them before.
    fn heard_open(
        &mut self,
        from: NameId,
        upstream: NameId,
        count: u16,
        at: Time,
    ) -> Option<PeerOpen> {
        let u = self.known(upstream)?;
        let queued = u.busy(at) >= u.slots;
        let before = u.peers.iter().position(|p| p.from == from).map(|i| u.peers.swap_remove(i));
        if count > 0 {
            // Which of several ended isn't told, so the others count as new.
            let kept = before.filter(|p| p.count <= count);
            let new = PeerOpen { from, count, since: at, queued, told: 1.0 };
            u.peers.push(kept.map_or(new, |p| PeerOpen { count, ..p }));
        }
        if count > before.map_or(0, |p| p.count) {
            u.worked = u.worked.max(Some(at));
            let service = u.service;
            if let Some(s) = self.services.get_mut(service) {
                s.failing.began(at);
            }
        }
        before
    }

    /// Takes that an attempt of a box of this data hall ended at `at`.
    ///
    /// Boxes do not tell each success to all; those of a hall see here which of each
    /// other's attempts were answered, and how long that took.
    fn heard_ended(&mut self, from: NameId, upstream: NameId, count: u16, served: bool, at: Time) {
        let before = self.heard_open(from, upstream, count, at);
        if let Some(p) = before.filter(|p| served && count <= p.count) {
            self.peer_served(upstream, p, at);
        }
    }

    /// Takes that another box of this data hall was answered well.
    fn peer_served(&mut self, upstream: NameId, p: PeerOpen, now: Time) {
        let took = now.since(p.since);
        let alone = p.count == 1 && !p.queued;
        let Some(u) = self.known(upstream) else { return };
        let service = u.service;
        u.streak = 0;
        let Some(s) = self.services.get_mut(service) else { return };
        let late = alone && s.work.survival(took, assumed(super::DEFAULT_AIM)) < HUNG_SURVIVAL;
        if alone {
            s.work.add(took);
        }
        if let Some(u) = self.known(upstream) {
            u.learn_answer(late, p.told, now);
            let unreached = std::mem::take(&mut u.unreached);
            self.contradict(&unreached, now);
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
        let shed_share = self.services.get(service).map_or(0.0, |s| s.failing.shed_share());
        let contradicted = self.contradicted.get(&from);
        let is_contradicted = contradicted.is_some_and(|&at| now.since(at) < CONTRADICTED_TIME);
        let u = self.known(upstream)?;
        if let Some(p) = u.peer(from) {
            p.told = told_with(p.told, what);
        }
        let before = u.shared.chance(now);
        if what == Observation::Unreachable {
            u.was_not_reached();
        }
        if what != Observation::Unreachable || (!is_contradicted && u.is_borne_out(from, now)) {
            u.learn(what, shed_share, now);
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

    /// Returns what all boxes spent of the retry budget, for one that has just started.
    ///
    /// A box that has not lived through the whole window itself says nothing.
    #[must_use]
    pub fn spendings(&mut self, now: Time) -> Vec<News> {
        let rule = self.rule;
        let sum = |s: &mut Service| {
            let sum = s.retries.sum(&rule, now)?;
            Some(News::Spent { service: s.id, sum })
        };
        self.services.values_mut().filter_map(sum).collect()
    }

    /// Counts a failure that any box met against its service.
    fn count_failure(&mut self, service: ServiceKey, what: Observation, now: Time) {
        self.illness.note(what);
        let halls = self.reach.boxes as f64 / self.hall_boxes.max(1) as f64;
        let Some(s) = self.services.get_mut(service) else { return };
        if what.is_failure() {
            s.failing.failed(halls, now);
        }
        if what == Observation::Shed {
            s.failing.shed(halls, now);
        }
    }

    fn known_service(&mut self, id: NameId) -> Option<&mut Service> {
        let k = *self.services_by_id.get(&id)?;
        self.services.get_mut(k)
    }

    fn known(&mut self, id: NameId) -> Option<&mut Upstream> {
        let k = *self.by_id.get(&id)?;
        self.upstreams.get_mut(k)
    }

    /// Counts a new attempt of this box and tells its data hall.
    pub(super) fn began(&mut self, k: AttemptKey, upstream: UpstreamKey, now: Time) {
        let Some(u) = self.upstreams.get_mut(upstream) else { return };
        u.mine.push(k);
        u.worked = Some(now);
        let service = u.service;
        if let Some(s) = self.services.get_mut(service) {
            s.failing.began(now);
        }
        if let Some(u) = self.upstreams.get(upstream) {
            self.news.push(News::Open { upstream: u.id, count: u.open_count() });
        }
    }

    pub(super) fn spend(&mut self, k: ServiceKey, why: Resend, now: Time) -> bool {
        let (rule, reach) = (self.rule, self.reach);
        let Some(s) = self.services.get_mut(k) else { return false };
        if !s.retries.spend(&rule, reach, why, now) {
            if s.retries.is_telling(now) {
                self.news.push(News::Denied {
                    service: s.id,
                    seen: s.retries.seen(),
                    spent: s.retries.spent(),
                });
            }
            return false;
        }
        self.news.push(News::Retry {
            service: s.id,
            seen: s.retries.seen(),
            spent: s.retries.spent(),
        });
        true
    }

    /// Takes that an attempt is still open, and tells what its age says.
    pub(super) fn observed_open(&mut self, k: AttemptKey, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        for what in self.steps_due(&a, now) {
            self.saw(a.upstream, what, now);
            if let Some(a) = self.attempts.get_mut(k) {
                a.told = told_with(a.told, what);
            }
        }
    }

    pub(super) fn observed_head(&mut self, k: AttemptKey, ok: bool, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        if !ok && a.is_out_of_time(now) {
            // The upstream ended it since its time was up; what that says is weighed
            // when the attempt ends.
            return;
        }
        let took = now.since(a.started);
        let late = self.hung(&a, now);
        let far = self.upstreams.get(a.upstream).and_then(|u| u.far).filter(|f| f.at == now);
        let far = far.map(|f| f.count.min(f64::from(u8::MAX - 1)) as u8);
        if let Some(a) = self.attempts.get_mut(k) {
            a.answer = Some(if ok { AnswerKind::Good } else { AnswerKind::Bad });
            // A report that came with this answer was taken just before.
            a.far = far;
        }
        if ok {
            self.learn_work(&a, took);
            self.answered_well(&a, late, now);
        } else if self.is_early(&a, took) {
            self.saw(a.upstream, Observation::Failure, now);
        } else if self.routes.contains_key(&a.route) {
            self.saw(a.upstream, Observation::FailedWork, now);
        }
    }

    /// Tells whether an answer came before any work could be done for it.
    fn is_early(&self, a: &Attempt, took: Duration) -> bool {
        let work = self.services.get(a.service).map(|s| &s.work).filter(|w| w.is_warm());
        let usual = |w: &WorkTimes| w.within(0.5, assumed(a.aim)).mul_f64(EARLY_SHARE);
        took < work.map_or_else(|| a.aim.mul_f64(EARLY_OF_AIM), usual)
    }

    pub(super) fn observed_end(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        let Some(&a) = self.attempts.get(k) else { return };
        let hung = a.answer.is_none() && self.hung(&a, now);
        self.attempts.remove(k);
        let spoilt = matches!(outcome, Outcome::Wrong | Outcome::Failed);
        let served = a.answer == Some(AnswerKind::Good) && !spoilt;
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.mine.retain(|&x| x != k);
            let (upstream, count) = (u.id, u.open_count());
            let ago = Duration::ZERO;
            self.news.push(News::Ended { upstream, count, served, far: a.far, ago });
        }
        let what = match outcome {
            Outcome::Whole | Outcome::Abandoned | Outcome::Late => {
                // It ended since its caller or its time went, and showed this much.
                if hung {
                    self.saw(a.upstream, Observation::Hung, now);
                }
                return;
            }
            Outcome::NotRun => Observation::Shed,
            Outcome::Failed | Outcome::Wrong => Observation::Failure,
            Outcome::Refused => Observation::Refused,
            Outcome::Unreachable => Observation::Unreachable,
            Outcome::Misdirected => {
                if let Some(u) = self.upstreams.get_mut(a.upstream) {
                    u.closed = true;
                }
                return;
            }
        };
        self.saw(a.upstream, what, now);
    }

    /// Takes a good answer to an attempt of this box.
    fn answered_well(&mut self, a: &Attempt, late: bool, now: Time) {
        let Some(u) = self.upstreams.get_mut(a.upstream) else { return };
        u.note_failure(Observation::Success, now);
        u.path.observe(Observation::Success, now);
        u.learn_answer(late, a.told, now);
        let unreached = std::mem::take(&mut u.unreached);
        if a.told > 1.0 {
            // All boxes took the attempt for one that hangs.
            self.news.push(News::Seen { upstream: u.id, what: Observation::Success });
        }
        if u.near && !u.told_well && u.shared.chance(now) < WELL {
            u.told_well = true;
            self.news.push(News::Well { upstream: u.id });
        }
        self.contradict(&unreached, now);
    }

    /// Takes that an upstream answered which some boxes had not reached a moment ago.
    fn contradict(&mut self, unreached: &[Unreached], now: Time) {
        let recent = unreached.iter().filter(|r| now.since(r.at) < CONTRADICTED_TIME);
        self.contradicted.extend(recent.map(|r| (r.from, now)));
    }

    /// Takes what this box saw itself, and tells the others what they need.
    fn saw(&mut self, k: UpstreamKey, what: Observation, now: Time) {
        let Some(service) = self.upstreams.get(k).map(|u| u.service) else { return };
        self.count_failure(service, what, now);
        let shed_share = self.services.get(service).map_or(0.0, |s| s.failing.shed_share());
        let u = &mut self.upstreams[k];
        if what == Observation::Unreachable {
            // It may be this box's path alone; others say so if it isn't.
            u.path.observe(what, now);
            u.was_not_reached();
        } else {
            u.learn(what, shed_share, now);
        }
        self.news.push(News::Seen { upstream: u.id, what });
    }
}

/// Returns what was told of an attempt once this was told as well.
fn told_with(told: f64, what: Observation) -> f64 {
    match what {
        Observation::Overdue => told.max(OVERDUE_RATIO),
        Observation::Hung => told.max(HUNG_RATIO),
        _ => told,
    }
}

impl Attempt {
    /// Tells whether it ran out of the time that it was given.
    fn is_out_of_time(&self, now: Time) -> bool {
        self.left.is_some_and(|left| now.since(self.started) >= left.mul_f64(OUT_OF_TIME))
    }
}

impl Upstream {
    /// Returns how many attempts of this box are open there.
    fn open_count(&self) -> u16 {
        u16::try_from(self.mine.len()).unwrap_or(u16::MAX)
    }

    /// Takes what was seen there, by whichever box.
    ///
    /// A request that is turned away says the less of one upstream, the more of them are
    /// turned away by all: where each turned away 45 in 100, though it had room, all were
    /// doubted in turn, work waited at the few that were not, and 9 in 100 answers came late.
    fn learn(&mut self, what: Observation, shed_share: f64, now: Time) {
        self.taught = true;
        if what != Observation::Shed {
            self.note_failure(what, now);
            self.shared.observe(what, now);
            return;
        }
        if shed_share < COMMON_SHEDS {
            self.note_failure(what, now);
        }
        let (well, sick) = what.likelihood();
        self.shared.weigh(well.max(shed_share), sick.max(shed_share), now);
    }

    /// Takes that what was last sent there did not arrive, so that it still wants work.
    const fn was_not_reached(&mut self) {
        self.worked = self.answered;
    }

    /// Takes that a box can't reach it; tells whether another could not either.
    fn is_borne_out(&mut self, from: NameId, now: Time) -> bool {
        self.unreached.retain(|r| r.from != from && now.since(r.at) < UNREACHED_SPAN);
        self.unreached.push(Unreached { from, at: now });
        self.unreached.len() > 1
    }

    /// Takes a good answer, and takes back what was told while it was waited for.
    fn learn_answer(&mut self, late: bool, told: f64, now: Time) {
        self.taught = true;
        self.answered = self.answered.max(Some(now));
        if late || told > OVERDUE_RATIO {
            self.shared.weigh(told, LATE_RATIO, now);
        } else {
            self.shared.weigh(told, 1.0, now);
            self.shared.observe(Observation::Success, now);
        }
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
