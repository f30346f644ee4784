//! What this box's attempts tell of the upstreams.

use super::doubt::assumed;
use super::heard::CONTRADICTED_TIME;
use super::illness::{HUNG_RATIO, OVERDUE_RATIO};
use super::work::WorkTimes;
use super::{AnswerKind, Attempt, Balancer, News, Resend, Unreached, Upstream};
use crate::belief::Observation;
use crate::collector::NameId;
use crate::router::{AttemptKey, Outcome, ServiceKey, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Chance of sickness below which an upstream that failed is well again.
const WELL: f64 = 0.2;
/// Time within which two boxes that can't reach an upstream bear each other out.
const UNREACHED_SPAN: Duration = Duration::from_millis(1_500);
/// Time within which several failures are one.
const ONE_FAILURE: Duration = Duration::from_millis(500);
/// Part of the usual time of work below which a failure came at once.
///
/// Base failures come later than that, those of sick upstreams sooner.
const EARLY_SHARE: f64 = 0.3;
/// The same as a part of the aim, before any work was seen.
const EARLY_OF_AIM: f64 = 0.08;
/// Ratio, sick against well, of a good answer that came after nearly all others.
///
/// The upstream may be slow, or the request long; an estimate.
const LATE_RATIO: f64 = 3.0;
/// Share of rejected requests of a service from which on rejection is common to all
/// upstreams, and makes none of them rest.
const COMMON_SHEDS: f64 = 0.1;
/// Part of the time given to an attempt from which on a failure answer is only its end.
const OUT_OF_TIME: f64 = 0.95;

impl Balancer {
    /// Counts a failure that any box met against its service.
    pub(super) fn count_failure(&mut self, service: ServiceKey, what: Observation, now: Time) {
        self.illness.note(what);
        let halls = self.reach.boxes as f64 / self.hall_boxes.max(1) as f64;
        let Some(s) = self.services.get_mut(service) else { return };
        if what.may_lose() {
            s.failing.failed(halls, now);
        }
        if what == Observation::Shed {
            s.failing.shed(halls, now);
        }
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

    /// Records that an attempt is in flight, and broadcasts what its age implies.
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

    /// Returns whether an answer came before any work could be done for it.
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
                    u.misdirected = true;
                }
                return;
            }
        };
        self.saw(a.upstream, what, now);
    }

    /// Records a good answer to an attempt of this box.
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

    /// Records that an upstream answered which some boxes had not reached just before.
    pub(super) fn contradict(&mut self, unreached: &[Unreached], now: Time) {
        let recent = unreached.iter().filter(|r| now.since(r.at) < CONTRADICTED_TIME);
        self.contradicted.extend(recent.map(|r| (r.from, now)));
    }

    /// Records what this box saw itself, and broadcasts what peers need.
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

/// Returns the likelihood ratio announced for an attempt, with one more observation.
pub(super) fn told_with(told: f64, what: Observation) -> f64 {
    match what {
        Observation::Overdue => told.max(OVERDUE_RATIO),
        Observation::Hung => told.max(HUNG_RATIO),
        _ => told,
    }
}

impl Attempt {
    /// Returns whether it ran out of the time that it was given.
    fn is_out_of_time(&self, now: Time) -> bool {
        self.left.is_some_and(|left| now.since(self.started) >= left.mul_f64(OUT_OF_TIME))
    }
}

impl Upstream {
    /// Returns how many attempts of this box are open there.
    fn open_count(&self) -> u16 {
        u16::try_from(self.mine.len()).unwrap_or(u16::MAX)
    }

    /// Records what was seen there, by whichever box.
    ///
    /// A rejection says the less of one upstream, the more requests all of them reject.
    pub(super) fn learn(&mut self, what: Observation, shed_share: f64, now: Time) {
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

    /// Records that the last request there did not arrive, so that it is still due for work.
    pub(super) const fn was_not_reached(&mut self) {
        self.worked = self.answered;
    }

    /// Records that a box can't reach it; returns whether another could not either.
    pub(super) fn is_borne_out(&mut self, from: NameId, now: Time) -> bool {
        self.unreached.retain(|r| r.from != from && now.since(r.at) < UNREACHED_SPAN);
        self.unreached.push(Unreached { from, at: now });
        self.unreached.len() > 1
    }

    /// Records a good answer, and reverts what was broadcast while it was awaited.
    pub(super) fn learn_answer(&mut self, late: bool, told: f64, now: Time) {
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
