//! Learned hazard of hanging, by upstream.
//!
//! Some upstreams of a service hang again and again and others never do. A hang that has been
//! seen, or its absence over much processing, therefore predicts the next hangs of an upstream.
//! The model is a mixture of two Poisson rates, of upstreams that are prone to hang and of others.
//! Their rates and the share of prone ones are fitted to the service by expectation maximisation.

use super::in_flight::latency_prior;
use super::{Balancer, DEFAULT_TARGET, Service, Update, Upstream};
use crate::belief::{FAILS_SICK, Observation};
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::router::{ServiceKey, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Time constant by which counts lose weight.
///
/// Many times the interval between hangs for which it is worthwhile to avoid an upstream.
const MEMORY: Duration = Duration::from_secs(300);
/// Time between two hangs from which they count as separate episodes.
///
/// An episode lasts about as long, and each of its hangs is reported.
const EPISODE_GAP: Duration = Duration::from_secs(4);
/// Interval of the fits.
///
/// A fit costs as much as a selection, since it evaluates each upstream once.
const FIT_INTERVAL: Duration = Duration::from_millis(500);
/// Iterations of each fit, which starts from the result of the previous one.
const FIT_STEPS: usize = 3;
/// Prior number of prone upstreams and of others.
const PRIOR_PRONE: f64 = 1.0;
const PRIOR_OTHERS: f64 = 2.0;
/// Prior episodes and processing time, in seconds, of prone upstreams.
///
/// The rate is the onset rate of the belief.
const PRONE_PRIOR: (f64, f64) = (1.0, 19.0);
/// Prior episodes and processing time, in seconds, of the other upstreams.
///
/// Few of their hangs are real; most are single requests that take long.
const OTHER_PRIOR: (f64, f64) = (0.1, 20.0);
/// Latency quantile by which an attempt that hangs is noticed.
const NOTICE_QUANTILE: f64 = 0.95;
/// Ratio of two hazards up to which the upstreams are probed alike.
///
/// Boxes that probe a single upstream would probe it at once.
const EQUIVALENT_RATES: f64 = 1.25;
/// Bound on the logarithmic odds, beyond which they change no decision.
const MAX_LOG_ODDS: f64 = 20.0;

/// Hangs and processing of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct HangRecord {
    /// Episodes of hanging, aged.
    episodes: f64,
    /// Processing time of answered requests in seconds, aged.
    busy_s: f64,
    /// Answers that are not yet part of the processing time.
    answers: u32,
    /// Time of the last reported hang.
    last_hang: Option<Time>,
    /// Attempts reported as overdue in the current episode and not answered since.
    overdue: u32,
    /// Those of them that were reported as hung.
    hung: u32,
    /// Expected episodes per second of processing; `None` before the first fit.
    rate: Option<f64>,
}

impl HangRecord {
    /// Records an answer, whose processing time the next fit adds.
    pub(super) const fn record_answer(&mut self) {
        self.answers = self.answers.saturating_add(1);
    }

    /// Records an observation of any box, which the next fit takes into account.
    pub(super) fn record(&mut self, observation: Observation, now: Time) {
        match observation {
            Observation::Overdue => {
                self.start_episode(now);
                self.overdue = self.overdue.saturating_add(1);
            }
            Observation::Hung => {
                self.start_episode(now);
                self.last_hang = Some(now);
                self.hung = self.hung.saturating_add(1);
                self.overdue = self.overdue.max(self.hung);
                if self.hung == 1 {
                    self.episodes += 1.0;
                }
            }
            Observation::Success => self.revoke(),
            _ => {}
        }
    }

    /// Forgets the reports of an episode that is over.
    fn start_episode(&mut self, now: Time) {
        if self.last_hang.is_some_and(|at| now.since(at) >= EPISODE_GAP) {
            (self.overdue, self.hung, self.last_hang) = (0, 0, None);
        }
    }

    /// Records that an attempt reported as overdue was answered.
    ///
    /// An episode whose attempts were all answered was none.
    const fn revoke(&mut self) {
        self.overdue = self.overdue.saturating_sub(1);
        if self.hung > self.overdue {
            self.hung = self.overdue;
            if self.hung == 0 {
                self.episodes = (self.episodes - 1.0).max(0.0);
            }
        }
    }

    /// Adds what another box counted; counts that both know are not added twice.
    fn merge(&mut self, episodes: u8, busy_s: u16) {
        self.episodes = self.episodes.max(f64::from(episodes));
        self.busy_s = self.busy_s.max(f64::from(busy_s));
    }

    /// Ages the counts and adds the processing time of new answers.
    fn advance(&mut self, kept: f64, service_time: Duration) {
        self.episodes *= kept;
        self.busy_s = self.processing(service_time) * kept;
        self.answers = 0;
    }

    fn processing(&self, service_time: Duration) -> f64 {
        self.busy_s + f64::from(self.answers) * service_time.as_secs_f64()
    }
}

/// Distribution of the hazard over the upstreams of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HazardModel {
    /// Share of the upstreams that are prone to hang.
    share: f64,
    /// Episodes per second of processing of prone upstreams.
    prone: f64,
    /// The same of the other upstreams.
    other: f64,
    /// Mean processing time of an upstream of this data hall, in seconds.
    mean_busy_s: f64,
    fitted: Option<Time>,
}

impl Default for HazardModel {
    fn default() -> Self {
        Self {
            share: PRIOR_PRONE / (PRIOR_PRONE + PRIOR_OTHERS),
            prone: PRONE_PRIOR.0 / PRONE_PRIOR.1,
            other: OTHER_PRIOR.0 / OTHER_PRIOR.1,
            mean_busy_s: 0.0,
            fitted: None,
        }
    }
}

impl HazardModel {
    /// Returns the probability that an upstream is prone to hang.
    fn prone_chance(&self, episodes: f64, busy_s: f64) -> f64 {
        let prior = (self.share / (1.0 - self.share)).ln();
        let evidence = episodes * (self.prone / self.other).ln();
        let log_odds = prior + evidence - (self.prone - self.other) * busy_s;
        1.0 / (1.0 + (-log_odds.clamp(-MAX_LOG_ODDS, MAX_LOG_ODDS)).exp())
    }

    /// Returns the expected episodes per second of processing.
    fn rate(&self, prone_chance: f64) -> f64 {
        prone_chance * self.prone + (1.0 - prone_chance) * self.other
    }

    fn rate_of(&self, record: &HangRecord, is_local: bool) -> f64 {
        // Answers are announced within a data hall only.
        let unknown = if is_local { 0.0 } else { self.mean_busy_s };
        self.rate(self.prone_chance(record.episodes, record.busy_s.max(unknown)))
    }

    /// Improves the fit by one step of expectation maximisation.
    fn step(&mut self, counts: &[(f64, f64)]) {
        let (mut share, mut prone, mut other) = (PRIOR_PRONE, PRONE_PRIOR, OTHER_PRIOR);
        for &(episodes, busy_s) in counts {
            let chance = self.prone_chance(episodes, busy_s);
            share += chance;
            prone = (prone.0 + chance * episodes, prone.1 + chance * busy_s);
            other = (other.0 + (1.0 - chance) * episodes, other.1 + (1.0 - chance) * busy_s);
        }
        self.share = share / (PRIOR_PRONE + PRIOR_OTHERS + counts.len() as f64);
        self.prone = prone.0 / prone.1;
        self.other = (other.0 / other.1).min(self.prone);
    }
}

/// What a request loses by hangs, apart from the hazard of its upstream.
///
/// It is the same for all upstreams and costs several quantiles of histograms, so it is computed
/// once per selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct HangExposure {
    /// Hazard of an upstream whose hazard is not known.
    prior: f64,
    /// Time within which the start of a hang affects the request.
    exposed: Duration,
    /// Loss of a failed attempt, in requests.
    weight: f64,
    /// Share of the loss that a hedge does not prevent.
    left: f64,
}

impl Service {
    /// Returns whether its requests are placed by hazard.
    pub(super) const fn weighs_hazard(&self) -> bool {
        self.spec.mix.is_mixed() || self.spec.mix.has_highest()
    }

    fn service_time(&self) -> Duration {
        self.latencies.quantile(0.5, latency_prior(DEFAULT_TARGET))
    }
}

impl Balancer {
    /// Fits the hazards of a service, if they are used and due.
    pub(super) fn fit_hazards(&mut self, k: ServiceKey, now: Time) {
        let Some(s) = self.services.get_mut(k).filter(|s| s.weighs_hazard()) else { return };
        let elapsed = s.hazards.fitted.map(|at| now.since(at));
        if elapsed.is_some_and(|e| e < FIT_INTERVAL) {
            return;
        }
        s.hazards.fitted = Some(now);
        let age = elapsed.unwrap_or_default().as_secs_f64() / MEMORY.as_secs_f64();
        let (kept, service_time) = ((-age).exp(), s.service_time());
        let mut counts = Vec::with_capacity(s.upstreams.len());
        for &u in &s.upstreams {
            let u = &mut self.upstreams[u];
            u.hangs.advance(kept, service_time);
            if u.local {
                counts.push((u.hangs.episodes, u.hangs.busy_s));
            }
        }
        let busy: f64 = counts.iter().map(|&(_, busy_s)| busy_s).sum();
        s.hazards.mean_busy_s = busy / counts.len().max(1) as f64;
        (0..FIT_STEPS).for_each(|_| s.hazards.step(&counts));
        for &u in &s.upstreams {
            let u = &mut self.upstreams[u];
            u.hangs.rate = Some(s.hazards.rate_of(&u.hangs, u.local));
        }
    }

    /// Removes all upstreams but those of the lowest hazard.
    pub(super) fn retain_safest(&self, upstreams: &mut Vec<UpstreamKey>) {
        // Upstreams without a rate are new, so that nothing speaks against them.
        let rate = |k: &UpstreamKey| self.upstreams[*k].hangs.rate.unwrap_or(0.0);
        let least = upstreams.iter().map(rate).fold(f64::INFINITY, f64::min);
        upstreams.retain(|k| rate(k) <= least * EQUIVALENT_RATES);
    }

    /// Returns what a request loses by hangs, apart from the hazard of its upstream.
    ///
    /// `None` for services whose requests are not placed by hazard.
    pub(super) fn hang_exposure(&self, info: &RequestInfo, weight: f64) -> Option<HangExposure> {
        let s = self.services.get(info.service).filter(|s| s.weighs_hazard())?;
        let noticed = s.latencies.quantile(NOTICE_QUANTILE, latency_prior(DEFAULT_TARGET));
        Some(HangExposure {
            prior: s.hazards.rate(s.hazards.share),
            exposed: s.service_time() + noticed,
            weight,
            left: if info.repeatable { self.unhedged_share(info) } else { 1.0 },
        })
    }

    /// Returns the share of a hang's loss that a hedge does not prevent.
    ///
    /// A hedge costs its delay, as a share of the time that the request has.
    fn unhedged_share(&self, info: &RequestInfo) -> f64 {
        let time = info.remaining.or(info.target).unwrap_or(DEFAULT_TARGET);
        (self.hedge_delay(info).as_secs_f64() / time.as_secs_f64().max(f64::EPSILON)).min(1.0)
    }

    /// Records a received count of hangs.
    pub(super) fn apply_hazard(&mut self, upstream: NameId, episodes: u8, busy_s: u16) {
        let Some(u) = self.by_id.get(&upstream).and_then(|&k| self.upstreams.get_mut(k)) else {
            return;
        };
        u.hangs.merge(episodes, busy_s);
        if let Some(s) = self.services.get(u.service) {
            u.hangs.rate = Some(s.hazards.rate_of(&u.hangs, u.local));
        }
    }

    /// Returns the counts of hangs for a newly started box.
    pub(super) fn hazard_snapshot(&self) -> impl Iterator<Item = Update> + '_ {
        self.upstreams.values().filter_map(|u| {
            let s = self.services.get(u.service).filter(|s| s.weighs_hazard())?;
            u.hazard_update(s.service_time())
        })
    }
}

impl Upstream {
    /// Returns the expected loss of a request by a hang that begins or is not yet noticed.
    pub(super) fn hang_loss(&self, exposure: &HangExposure) -> f64 {
        let rate = self.hangs.rate.unwrap_or(exposure.prior);
        let chance = 1.0 - (-rate * exposure.exposed.as_secs_f64()).exp();
        chance * FAILS_SICK * exposure.weight * exposure.left
    }

    /// Returns the update with its counts, unless they are zero.
    fn hazard_update(&self, service_time: Duration) -> Option<Update> {
        let episodes = self.hangs.episodes.round().min(f64::from(u8::MAX)) as u8;
        let busy_s = self.hangs.processing(service_time).round().min(f64::from(u16::MAX)) as u16;
        let is_known = episodes > 0 || busy_s > 0;
        is_known.then_some(Update::Hazard { upstream: self.id, episodes, busy_s })
    }
}
