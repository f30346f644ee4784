//! Announcements of peers, and the state handed to a box that has just started.

use super::doubt::assumed;
use super::illness::HUNG_SURVIVAL;
use super::learn::told_with;
use super::retry::Spending;
use super::{Balancer, FarLoad, News, PeerOpen, Service, Upstream};
use crate::belief::{Belief, Observation};
use crate::collector::NameId;
use crate::time::Time;
use std::time::Duration;

/// Chance of sickness from which an upstream is in doubt, for the log.
const DOUBTED: f64 = 0.5;
/// Time for which a peer's reports of unreachable upstreams are ignored, after another box was
/// answered by one of them.
///
/// That peer has lost its own paths, and two such peers would confirm each other.
pub(super) const CONTRADICTED_TIME: Duration = Duration::from_secs(5);

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
    /// Applies news of a peer; returns a doubt that it raised.
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
            News::Limit { upstream, rate } => self.heard_limit(upstream, rate, now),
            News::Leaving { upstream } => {
                self.learn_leaving(upstream);
            }
            // Of an organisation, this and the next are not the balancer's matter.
            News::Admitted { subject, sum } => self.limits.heard_sent(from, subject, sum, now),
            News::HallAdmitted { .. } => {}
        }
        None
    }

    fn heard_spent(&mut self, service: NameId, told: Spending, now: Time) {
        let rule = self.rule;
        if let Some(s) = self.known_service(service) {
            s.retries.heard(&rule, told, now);
        }
    }

    /// Records that a box of this data hall has `count` attempts in flight since `at`.
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
            // Which of several ended is unknown, so the others count as new.
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

    /// Records that an attempt of a box of this data hall ended at `at`.
    ///
    /// Not every success is broadcast; boxes of a hall see here which of each
    /// other's attempts were answered, and how long that took.
    fn heard_ended(&mut self, from: NameId, upstream: NameId, count: u16, served: bool, at: Time) {
        let before = self.heard_open(from, upstream, count, at);
        if let Some(p) = before.filter(|p| served && count <= p.count) {
            self.peer_served(upstream, p, at);
        }
    }

    /// Records that a peer of this data hall was answered well.
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

    /// Returns what this box believes, the limits in force and the announced shutdowns, for one
    /// that has just started.
    ///
    /// What nobody has seen anything of is left out.
    #[must_use]
    pub fn beliefs(&self, now: Time) -> Vec<News> {
        let told = |u: &Upstream| News::Belief { upstream: u.id, phases: u.shared.phases(now) };
        let taught = self.upstreams.values().filter(|u| u.taught);
        taught.map(told).chain(self.limits_in_force(now)).chain(self.announced()).collect()
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

    fn known_service(&mut self, id: NameId) -> Option<&mut Service> {
        let k = *self.services_by_id.get(&id)?;
        self.services.get_mut(k)
    }

    fn known(&mut self, id: NameId) -> Option<&mut Upstream> {
        let k = *self.by_id.get(&id)?;
        self.upstreams.get_mut(k)
    }
}
