//! Aggregates evidence of many boxes on the upstreams of one service.
//!
//! Of a service at full size, a box sees about one request in two seconds, which is too few to
//! judge alone. Boxes report to a few collectors; a collector responds with changed verdicts only.

use crate::ledger::CusumScores;
use crate::spec::{Floor, Lean};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of a named object on the wire: the XXH3 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameId(pub u64);

impl NameId {
    /// Creates the identifier of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Outcomes of one upstream since the last report of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportItem {
    /// Reported upstream.
    pub upstream: NameId,
    /// Number of successes.
    pub successes: u16,
    /// Weighted failures, in tenths of a failure.
    pub failures: u16,
}

/// Outcomes that one box observed for one service since its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Reported service.
    pub service: NameId,
    /// Reporting box.
    pub reporter: NameId,
    /// One item per upstream with outcomes.
    pub items: Vec<ReportItem>,
}

/// Health of an upstream as judged by a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Judgement {
    /// Unhealthy: other upstreams are preferred.
    Suspect,
    /// Receives a small share of requests as a probe for recovery.
    Probation,
    /// Healthy.
    Clear,
}

/// A change in the health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Service of the upstream.
    pub service: NameId,
    /// Upstream concerned.
    pub upstream: NameId,
    /// New health of the upstream.
    pub judgement: Judgement,
    /// Time for which the verdict holds unless it is renewed.
    pub hold: Duration,
    /// Number of boxes whose evidence supports the verdict.
    pub witnesses: u16,
}

/// Half-life of the counts that detect a fault shared by all upstreams.
const SHORT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time for which the evidence of a box counts.
const WITNESS_WINDOW: Duration = Duration::from_secs(5);
/// Failures that a minimal quorum can contribute together.
///
/// Given as a multiple of the failures required for a suspicion.
const QUORUM_FACTOR: f64 = 2.0;
/// Immediate failures of a stalled upstream, as a share of its usual outcomes.
const STALLED_SHARE: f64 = 0.1;
/// Minimum of recent failures for a suspicion in a service with little traffic.
const QUIET_MIN: f64 = 1.2;
/// Minimum contribution for which a box counts as a witness.
const WITNESS_MIN: f64 = 0.5;
/// Hold after the first suspicion; doubles with each relapse.
const FIRST_HOLD: Duration = Duration::from_secs(4);
/// Upper bound of the hold.
const MAX_HOLD: Duration = Duration::from_secs(120);
/// Successes that end a probation.
const PROBATION_SUCCESSES: f64 = 6.0;
/// Failures during probation that count as a relapse.
const PROBATION_FAILURES: f64 = 2.0;
/// Minimum failure rate of a relapse.
const RELAPSE_RATE: f64 = 0.2;
/// Time without a suspicion after which relapses are forgotten.
const RELAPSE_MEMORY: Duration = Duration::from_secs(60);

/// Time by which a release must have reached the permits.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Health {
    judgement: Judgement,
    since: Time,
    relapses: u32,
}

/// Collects reports on one service and judges its upstreams.
#[derive(Clone, Debug)]
pub struct Collector {
    service: NameId,
    lean: Lean,
    floor: Floor,
    members: BTreeSet<NameId>,
    boxes: usize,
    scores: CusumScores<NameId>,
    evidence: BTreeMap<(NameId, NameId), (f64, Time)>,
    health: BTreeMap<NameId, Health>,
}

impl Collector {
    /// Creates a collector for `service`.
    #[must_use]
    pub fn new(service: &str, lean: Lean, floor: Floor) -> Self {
        Self {
            service: NameId::of(service),
            lean,
            floor,
            members: BTreeSet::new(),
            boxes: 1,
            scores: CusumScores::new(2.0 * Self::threshold(lean), SHORT_HALF_LIFE),
            evidence: BTreeMap::new(),
            health: BTreeMap::new(),
        }
    }

    /// Applies the settings of a new bundle, keeping all current judgements.
    pub const fn configure(&mut self, lean: Lean, floor: Floor) {
        self.lean = lean;
        self.floor = floor;
    }

    /// Applies the live upstreams and the number of boxes from the lagging list.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = NameId>, boxes: usize) {
        self.members = members.into_iter().collect();
        self.boxes = boxes.max(1);
        let live = &self.members;
        self.scores.retain(|k| live.contains(&k));
        self.health.retain(|k, _| live.contains(k));
        self.evidence.retain(|(_, u), _| live.contains(u));
    }

    /// Returns the score from which an upstream is suspect.
    #[must_use]
    pub fn threshold(lean: Lean) -> f64 {
        lean.interpolate(15.0, 22.0)
    }

    /// Returns the recent failures required for a suspicion.
    fn min_failures(&self) -> f64 {
        self.lean.interpolate(6.0, 8.0)
    }

    /// Returns the recent failures required, lowered for a service with little traffic.
    ///
    /// The usual counts reach back about fourteen seconds, so a stalled upstream shows about a
    /// tenth of them as recent failures.
    fn scaled_min_failures(&self) -> f64 {
        let stalled = self.scores.mean_count() * STALLED_SHARE;
        self.min_failures().min(stalled.max(QUIET_MIN))
    }

    /// Returns the weighted failures that one box can contribute within the window.
    fn witness_cap(&self) -> f64 {
        self.min_failures() * QUORUM_FACTOR / self.quorum() as f64
    }

    /// Returns the number of witnesses required for a suspicion.
    #[must_use]
    fn quorum(&self) -> usize {
        (self.lean.interpolate(3.0, 4.0).round() as usize).min(self.boxes)
    }

    /// Adopts an upstream that another collector ejected.
    ///
    /// Also adopts an upstream that this collector cleared, once its release is overdue, so that no
    /// permit is leaked.
    pub fn adopt(&mut self, upstream: NameId, now: Time) {
        let overdue =
            |s: &Health| s.judgement == Judgement::Clear && now.since(s.since) > RELEASE_TIMEOUT;
        if self.members.contains(&upstream) && self.health.get(&upstream).is_none_or(overdue) {
            let entry = Health { judgement: Judgement::Suspect, since: now, relapses: 1 };
            self.health.insert(upstream, entry);
        }
    }

    /// Applies one report and returns the changed verdicts.
    pub fn apply_report(&mut self, report: &Report, now: Time) -> Vec<Verdict> {
        let weight = self.credibility(report, now);
        let known: Vec<ReportItem> =
            report.items.iter().copied().filter(|i| self.members.contains(&i.upstream)).collect();
        for item in known {
            let bad = self.record_evidence(report.reporter, item, weight, now);
            self.scores.add(item.upstream, f64::from(item.successes), bad, now);
        }
        self.judge(now)
    }

    /// Ends expired holds and returns the changed verdicts.
    pub fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.evidence.retain(|_, (_, at)| now.since(*at) < WITNESS_WINDOW);
        self.judge(now)
    }

    /// Returns the upstreams that are suspect or on probation.
    pub fn unhealthy(&self) -> impl Iterator<Item = (NameId, Judgement)> + '_ {
        self.health
            .iter()
            .filter(|(_, s)| s.judgement != Judgement::Clear)
            .map(|(&u, s)| (u, s.judgement))
    }

    /// Returns the weight of a report, which drops if its box suspects many upstreams.
    ///
    /// A box that suspects many upstreams is probably faulty itself. Source: Lifeguard (2017).
    fn credibility(&self, report: &Report, now: Time) -> f64 {
        let reported = report.items.iter().filter(|i| i.failures > 0).map(|i| i.upstream);
        let recorded = self
            .evidence
            .range((report.reporter, NameId(0))..=(report.reporter, NameId(u64::MAX)))
            .filter(|(_, (_, at))| now.since(*at) < WITNESS_WINDOW)
            .map(|((_, u), _)| *u);
        // Upstreams that are already judged unhealthy do not reduce the credibility.
        let judged = |u: &NameId| self.unhealthy().any(|(s, _)| s == *u);
        let accused: BTreeSet<NameId> = reported.chain(recorded).filter(|u| !judged(u)).collect();
        let max_accused = (self.members.len() / 3).max(1);
        if accused.len() > max_accused { 1.0 / (accused.len() * accused.len()) as f64 } else { 1.0 }
    }

    /// Records one item and returns the weighted failures that it may add.
    fn record_evidence(
        &mut self,
        reporter: NameId,
        item: ReportItem,
        weight: f64,
        now: Time,
    ) -> f64 {
        if item.failures == 0 {
            return 0.0;
        }
        let bad = f64::from(item.failures) / 10.0 * weight;
        let cap = self.witness_cap();
        let slot = self.evidence.entry((reporter, item.upstream)).or_insert((0.0, now));
        if now.since(slot.1) >= WITNESS_WINDOW {
            *slot = (0.0, now);
        }
        let remaining = (cap - slot.0).max(0.0);
        let accepted = bad.min(remaining);
        *slot = (slot.0 + accepted, now);
        accepted
    }

    fn witnesses(&self, upstream: NameId, now: Time) -> usize {
        self.evidence
            .iter()
            .filter(|((_, u), (w, at))| {
                *u == upstream && *w >= WITNESS_MIN && now.since(*at) < WITNESS_WINDOW
            })
            .count()
    }

    fn judge(&mut self, now: Time) -> Vec<Verdict> {
        let members: Vec<NameId> = self.members.iter().copied().collect();
        members.into_iter().filter_map(|u| self.judge_one(u, now)).collect()
    }

    fn judge_one(&mut self, u: NameId, now: Time) -> Option<Verdict> {
        let s = self.health.get(&u).copied();
        let (judgement, relapses) = match s.map(|s| s.judgement) {
            None | Some(Judgement::Clear) => {
                if !self.is_outlier(u, now) {
                    return None;
                }
                let forgiven = s.is_none_or(|s| now.since(s.since) > RELAPSE_MEMORY);
                (Judgement::Suspect, if forgiven { 0 } else { s.map_or(0, |s| s.relapses + 1) })
            }
            Some(Judgement::Suspect) => {
                let s = s?;
                if now.since(s.since) < hold(s.relapses) {
                    return None;
                }
                (Judgement::Probation, s.relapses)
            }
            Some(Judgement::Probation) => {
                let (good, bad) = self.scores.counts(u);
                let relapses = s?.relapses;
                // Under overload all upstreams fail, so a relapse must exceed the siblings' failure
                // rate.
                let sibling_bound = self.scores.sibling_rate(u) * 2.0;
                let rate = bad / (bad + good).max(1.0);
                if bad >= PROBATION_FAILURES && rate > sibling_bound.max(RELAPSE_RATE) {
                    (Judgement::Suspect, relapses + 1)
                } else if good >= PROBATION_SUCCESSES {
                    (Judgement::Clear, relapses)
                } else {
                    return None;
                }
            }
        };
        let witnesses = self.witnesses(u, now) as u16;
        self.health.insert(u, Health { judgement, since: now, relapses });
        // Each state is judged on evidence from that state only.
        self.scores.reset(u);
        self.evidence.retain(|(_, v), _| *v != u);
        Some(Verdict {
            service: self.service,
            upstream: u,
            judgement,
            hold: hold(relapses),
            witnesses,
        })
    }

    fn is_outlier(&self, u: NameId, now: Time) -> bool {
        let threshold = Self::threshold(self.lean);
        if self.scores.score(u) < threshold
            || !self.scores.is_outlier(u, self.scaled_min_failures())
        {
            return false;
        }
        if self.witnesses(u, now) < self.quorum() {
            return false;
        }
        let unhealthy = self.unhealthy().map(|(u, _)| u);
        let troubled: BTreeSet<NameId> =
            self.scores.at_least(threshold / 2.0).chain(unhealthy).collect();
        // Trouble in most of a service at once indicates overload or a network fault.
        let max_ejected = self.members.len().saturating_sub(self.floor.count(self.members.len()));
        troubled.len() <= max_ejected
    }
}

fn hold(relapses: u32) -> Duration {
    (FIRST_HOLD * 2u32.pow(relapses.min(10))).min(MAX_HOLD)
}
