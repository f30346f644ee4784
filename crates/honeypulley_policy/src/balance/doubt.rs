//! What open attempts say of their upstreams, beside what ended ones said.
//!
//! An attempt that is still open after most answers would have come is evidence
//! that grows with its age. It is weighed at each choice: for attempts of this box,
//! and for those of its data hall, whose starts are announced anyway.

use super::illness::{HUNG_RATIO, HUNG_SURVIVAL, OVERDUE_RATIO};
use super::work::Assumed;
use super::{Attempt, Balancer, DEFAULT_AIM, PeerOpen, Service, Upstream};
use crate::belief::{FAILS_SICK, Observation};
use crate::chooser::Ask;
use crate::collector::NameId;
use crate::router::{AttemptKey, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Part of the aim that work is taken to last before any was seen.
const ASSUMED_WORK: f64 = 0.3;
/// Quantile of the answer times within which a hedge is expected to be answered.
const SECOND_SHARE: f64 = 0.8;
/// Room for the way there and back, as a part of that time.
const SECOND_ROOM: f64 = 1.15;
/// Bounds of the age at which a hedge goes out, as parts of the aim.
const HEDGE_BOUNDS: (f64, f64) = (0.3, 0.6);
/// Wait between two looks once all levels are passed, as a part of the aim.
const LOOK_GAP: f64 = 0.25;
/// Shortest wait between two looks.
const LEAST_LOOK: Duration = Duration::from_millis(5);
/// Time after which a peer's open attempts are not believed any more.
const OPEN_LIFE: Duration = Duration::from_secs(6);
/// Ratio from which an open attempt keeps trials from an upstream.
const LONG_RATIO: f64 = OVERDUE_RATIO;
/// Halvings of the interval in which a level is looked for; to a 500th of the aim.
const SEARCH_STEPS: usize = 12;
/// Times the aim beyond which no level is looked for.
const SEARCH_AIMS: f64 = 8.0;

impl Balancer {
    /// Returns the chance that an attempt of this box meets trouble at an upstream.
    pub(super) fn trouble(&self, k: UpstreamKey, now: Time) -> f64 {
        let path = self.upstreams[k].path.chance(now);
        1.0 - (1.0 - self.shared_chance(k, now)) * (1.0 - path)
    }

    /// Returns the chance that an upstream is sick, with what is open there.
    pub(super) fn shared_chance(&self, k: UpstreamKey, now: Time) -> f64 {
        let u = &self.upstreams[k];
        let chance = u.shared.chance(now);
        let ratio = self.open_evidence(u, now);
        chance * ratio / (chance * ratio + 1.0 - chance)
    }

    /// Returns whether something has been open there for longer than is usual.
    pub(super) fn waits_long(&self, k: UpstreamKey, now: Time) -> bool {
        self.open_evidence(&self.upstreams[k], now) >= LONG_RATIO
    }

    /// Returns what is open at an upstream, as a ratio sick against well.
    fn open_evidence(&self, u: &Upstream, now: Time) -> f64 {
        let Some(s) = self.services.get(u.service) else { return 1.0 };
        let mine = u.mine.iter().filter_map(|&a| self.attempts.get(a));
        let mine: f64 = mine.map(|a| self.untold(a, now)).product();
        let fresh = u.peers.iter().filter(|p| !p.queued && now.since(p.since) < OPEN_LIFE);
        let waited = u.waited(s, now);
        let peers: f64 = fresh.map(|p| self.peer_untold(s, p, waited, now)).product();
        mine * peers
    }

    /// Returns the likelihood ratio by an attempt's age beyond what was announced.
    fn untold(&self, a: &Attempt, now: Time) -> f64 {
        (self.open_ratio(a, now) / a.told).max(1.0)
    }

    fn peer_untold(&self, s: &Service, p: &PeerOpen, waited: Duration, now: Time) -> f64 {
        let worked = now.since(p.since).saturating_sub(waited);
        // Its route is not known here, so the service's usual aim must do.
        let survival = s.work.survival(worked, assumed(DEFAULT_AIM));
        (self.illness.open_ratio(survival) / p.told).max(1.0)
    }

    /// Returns what the age of an attempt says, as a ratio sick against well.
    pub(super) fn open_ratio(&self, a: &Attempt, now: Time) -> f64 {
        if a.queued || a.answer.is_some() {
            return 1.0;
        }
        let ratio = self.illness.open_ratio(self.survival(a, now));
        // Requests of a route that was never served may all take as long.
        if self.routes.contains_key(&a.route) { ratio } else { ratio.min(OVERDUE_RATIO) }
    }

    /// Returns the share of answers that take longer than an attempt has worked.
    fn survival(&self, a: &Attempt, now: Time) -> f64 {
        let Some(service) = self.services.get(a.service) else { return 1.0 };
        let work = self.routes.get(&a.route).filter(|w| w.is_warm()).unwrap_or(&service.work);
        let upstream = self.upstreams.get(a.upstream);
        let waited = upstream.map_or(Duration::ZERO, |u| u.waited(service, now));
        work.survival(now.since(a.started).saturating_sub(waited), assumed(a.aim))
    }

    /// Returns the observations of an attempt in flight that are due to be announced.
    pub(super) fn steps_due(&self, a: &Attempt, now: Time) -> Vec<Observation> {
        let ratio = self.open_ratio(a, now);
        let steps = [(OVERDUE_RATIO, Observation::Overdue), (HUNG_RATIO, Observation::Hung)];
        let due = |&&(level, _): &&(f64, Observation)| a.told < level && ratio >= level;
        steps.iter().filter(due).map(|&(_, what)| what).collect()
    }

    /// Returns whether an attempt that ended with no answer had waited beyond nearly all.
    pub(super) fn hung(&self, a: &Attempt, now: Time) -> bool {
        let is_proven = self.routes.contains_key(&a.route);
        let waited = self.survival(a, now) < HUNG_SURVIVAL;
        is_proven && waited && !a.queued && a.told < HUNG_RATIO
    }

    /// Returns the wait until an open attempt says more, or may be hedged.
    pub(super) fn next_look(&self, ask: &Ask, age: Duration) -> Duration {
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let levels = [OVERDUE_RATIO, HUNG_RATIO].map(|r| self.age_at(ask, r, aim));
        let ages = levels.into_iter().flatten().chain([self.hedge_age(ask)]);
        let next = ages.filter(|&at| at > age).min();
        next.map_or_else(|| aim.mul_f64(LOOK_GAP), |at| (at - age).max(LEAST_LOOK))
    }

    /// Returns the age at which a hedge should go out.
    ///
    /// It is the latest at which the second one is likely to be answered within the
    /// aim: earlier costs budget for sends that were not needed.
    pub(super) fn hedge_age(&self, ask: &Ask) -> Duration {
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let needed = self.usual_within(ask, SECOND_SHARE).mul_f64(SECOND_ROOM);
        let (least, most) = (aim.mul_f64(HEDGE_BOUNDS.0), aim.mul_f64(HEDGE_BOUNDS.1));
        aim.saturating_sub(needed).clamp(least, most)
    }

    /// Returns the chance that an attempt will not be answered, if it is old enough
    /// for a second send.
    pub(super) fn stuck(&self, ask: &Ask, k: AttemptKey, now: Time) -> Option<f64> {
        let a = self.attempts.get(k).filter(|a| self.upstreams.contains_key(a.upstream))?;
        let chance = self.trouble(a.upstream, now) * FAILS_SICK;
        // The age may have moved since the look was planned.
        let due = now.since(a.started) + LEAST_LOOK >= self.hedge_age(ask);
        due.then_some(chance)
    }

    /// Returns the time within which a share of the answers come.
    pub(super) fn usual_within(&self, ask: &Ask, share: f64) -> Duration {
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let work = self.routes.get(&ask.route).filter(|w| w.is_warm());
        let work = work.or_else(|| self.services.get(ask.service).map(|s| &s.work));
        work.map_or(aim, |w| w.within(share, assumed(aim)))
    }

    /// Returns the age from which on an open attempt says so much.
    fn age_at(&self, ask: &Ask, ratio: f64, aim: Duration) -> Option<Duration> {
        let service = self.services.get(ask.service)?;
        let work = self.routes.get(&ask.route).filter(|w| w.is_warm()).unwrap_or(&service.work);
        let says = |age: Duration| self.illness.open_ratio(work.survival(age, assumed(aim)));
        let mut bounds = (Duration::ZERO, aim.mul_f64(SEARCH_AIMS));
        if says(bounds.1) < ratio {
            return None;
        }
        for _ in 0..SEARCH_STEPS {
            let middle = (bounds.0 + bounds.1) / 2;
            if says(middle) < ratio {
                bounds.0 = middle;
            } else {
                bounds.1 = middle;
            }
        }
        Some(bounds.1)
    }

    /// Records the time that a good answer took.
    pub(super) fn learn_work(&mut self, a: &Attempt, took: Duration) {
        if a.queued {
            return;
        }
        if let Some(s) = self.services.get_mut(a.service) {
            s.work.add(took);
        }
        if self.routes.len() < MOST_ROUTES || self.routes.contains_key(&a.route) {
            self.routes.entry(a.route).or_default().add(took);
        }
    }
}

/// Routes whose answer times a box keeps, at half a kilobyte each.
const MOST_ROUTES: usize = 1_024;

/// Returns what is assumed of a request's work before any was seen.
pub(super) fn assumed(aim: Duration) -> Assumed {
    Assumed { middle: aim.as_secs_f64() * ASSUMED_WORK }
}

impl Upstream {
    /// Returns the time that requests there may have waited behind others.
    ///
    /// Without it a queue that other data halls fill looks like a hang: after a loss of
    /// all boxes most upstreams of a service were doubted, and work chased the rest.
    fn waited(&self, s: &Service, now: Time) -> Duration {
        let ahead = (self.busy(now) - self.slots).max(0.0);
        s.work.within(0.5, assumed(DEFAULT_AIM)).mul_f64(ahead / self.slots)
    }

    /// Returns the entry of another box's open attempts.
    pub(super) fn peer(&mut self, from: NameId) -> Option<&mut PeerOpen> {
        self.peers.iter_mut().find(|p| p.from == from)
    }

    /// Returns requests that other boxes of the data hall have open there.
    pub(super) fn peers_open(&self, now: Time) -> f64 {
        let fresh = self.peers.iter().filter(|p| now.since(p.since) < OPEN_LIFE);
        fresh.map(|p| f64::from(p.count)).sum()
    }
}
