//! Evidence of many boxes on the upstreams of one service.
//!
//! A box sees about one request in two seconds of a service at full size, too
//! few to judge alone. Boxes report to a few collectors; a collector answers
//! with verdict changes only.

use crate::ledger::Ledger;
use crate::spec::{Floor, Lean};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Key of a named thing on the wire: the XXH3 hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameId(pub u64);

impl NameId {
    /// Hashes a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Outcomes of one upstream since a box's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportItem {
    /// Upstream judged.
    pub upstream: NameId,
    /// Good outcomes.
    pub good: u16,
    /// Weight of bad outcomes, in tenths of a failure.
    pub bad: u16,
}

/// What one box saw of one service since its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Service judged.
    pub service: NameId,
    /// Box that saw it.
    pub reporter: NameId,
    /// One item for each upstream with outcomes.
    pub items: Vec<ReportItem>,
}

/// How a collector judges an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Judgement {
    /// Others are preferred.
    Suspect,
    /// A little work is sent to see whether it recovered.
    Probation,
    /// Judged as healthy as any other.
    Clear,
}

/// A change of judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Service of the upstream.
    pub service: NameId,
    /// Upstream judged.
    pub upstream: NameId,
    /// The judgement.
    pub judgement: Judgement,
    /// Time for which it holds without a further word.
    pub hold: Duration,
    /// Boxes that bore witness.
    pub witnesses: u16,
}

/// Half-life of the counts that show a trouble which all share.
const SHORT_LIFE: Duration = Duration::from_secs(1);
/// Time for which a box's testimony counts.
const WITNESS_WINDOW: Duration = Duration::from_secs(5);
/// Bad outcomes that the least number of witnesses can contribute together, in
/// multiples of what a suspicion needs.
const WITNESS_SPARE: f64 = 2.0;
/// Share of its usual counts that a stalled upstream has as bad outcomes at once.
const STALLED_SHARE: f64 = 0.1;
/// Bad outcomes of the last moments that even a quiet service must show.
const QUIET_LEAST: f64 = 1.2;
/// Least contribution of a box that counts as a witness.
const WITNESS_MIN: f64 = 0.5;
/// Hold after the first suspicion; doubles with each relapse.
const FIRST_HOLD: Duration = Duration::from_secs(4);
/// Longest hold.
const MAX_HOLD: Duration = Duration::from_secs(120);
/// Good outcomes that end a probation.
const PROBATION_GOOD: f64 = 6.0;
/// Bad outcomes that end it the other way.
const PROBATION_BAD: f64 = 2.0;
/// Least bad rate of a relapse.
const PROBATION_RATE: f64 = 0.2;
/// Time in good standing after which relapses are forgotten.
const FORGIVE: Duration = Duration::from_secs(60);

/// Time for a release to reach the permits.
const RELEASE_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Standing {
    judgement: Judgement,
    since: Time,
    round: u32,
}

/// Collects reports on one service and judges its upstreams.
#[derive(Clone, Debug)]
pub struct Collector {
    service: NameId,
    lean: Lean,
    floor: Floor,
    members: BTreeSet<NameId>,
    boxes: usize,
    ledger: Ledger<NameId>,
    testimony: BTreeMap<(NameId, NameId), (f64, Time)>,
    standing: BTreeMap<NameId, Standing>,
}

impl Collector {
    /// Builds a collector for `service`.
    #[must_use]
    pub fn new(service: &str, lean: Lean, floor: Floor) -> Self {
        Self {
            service: NameId::of(service),
            lean,
            floor,
            members: BTreeSet::new(),
            boxes: 1,
            ledger: Ledger::new(2.0 * Self::bar(lean), SHORT_LIFE),
            testimony: BTreeMap::new(),
            standing: BTreeMap::new(),
        }
    }

    /// Applies the settings of a new bundle; standing judgements stay.
    pub const fn configure(&mut self, lean: Lean, floor: Floor) {
        self.lean = lean;
        self.floor = floor;
    }

    /// Applies the live upstreams and the number of boxes from the lagging list.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = NameId>, boxes: usize) {
        self.members = members.into_iter().collect();
        self.boxes = boxes.max(1);
        let live = &self.members;
        self.ledger.retain(|k| live.contains(&k));
        self.standing.retain(|k, _| live.contains(k));
        self.testimony.retain(|(_, u), _| live.contains(u));
    }

    /// Returns the score at which an upstream is suspect.
    #[must_use]
    pub fn bar(lean: Lean) -> f64 {
        lean.mix(15.0, 22.0)
    }

    /// Returns the bad outcomes of the last moments that a suspicion needs.
    fn least(&self) -> f64 {
        self.lean.mix(6.0, 8.0)
    }

    /// Returns the same, fewer for a service with little traffic.
    ///
    /// An upstream that stalls has a tenth of its usual counts, which reach back
    /// some fourteen seconds, as bad outcomes of the last moments.
    fn least_here(&self) -> f64 {
        let stalled = self.ledger.usual_count() * STALLED_SHARE;
        self.least().min(stalled.max(QUIET_LEAST))
    }

    /// Returns the bad outcomes that one box can contribute within the window.
    fn witness_cap(&self) -> f64 {
        self.least() * WITNESS_SPARE / self.quorum() as f64
    }

    /// Returns the witnesses needed for a suspicion.
    #[must_use]
    fn quorum(&self) -> usize {
        (self.lean.mix(3.0, 4.0).round() as usize).min(self.boxes)
    }

    /// Takes over an upstream that another collector ejected.
    ///
    /// One that this collector cleared is taken over too once its release is
    /// overdue, so that no permit is left behind.
    pub fn adopt(&mut self, upstream: NameId, now: Time) {
        let overdue =
            |s: &Standing| s.judgement == Judgement::Clear && now.since(s.since) > RELEASE_TIME;
        if self.members.contains(&upstream) && self.standing.get(&upstream).is_none_or(overdue) {
            let standing = Standing { judgement: Judgement::Suspect, since: now, round: 1 };
            self.standing.insert(upstream, standing);
        }
    }

    /// Applies one report; returns the judgements it changed.
    pub fn report(&mut self, report: &Report, now: Time) -> Vec<Verdict> {
        let weight = self.credibility(report, now);
        let known: Vec<ReportItem> =
            report.items.iter().copied().filter(|i| self.members.contains(&i.upstream)).collect();
        for item in known {
            let bad = self.testify(report.reporter, item, weight, now);
            self.ledger.add(item.upstream, f64::from(item.good), bad, now);
        }
        self.judge(now)
    }

    /// Looks for holds that ended; returns the judgements that changed.
    pub fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.testimony.retain(|_, (_, at)| now.since(*at) < WITNESS_WINDOW);
        self.judge(now)
    }

    /// Returns the upstreams not in good standing.
    pub fn standing(&self) -> impl Iterator<Item = (NameId, Judgement)> + '_ {
        self.standing
            .iter()
            .filter(|(_, s)| s.judgement != Judgement::Clear)
            .map(|(&u, s)| (u, s.judgement))
    }

    /// Weighs a box's testimony: a box that suspects many is itself suspect.
    ///
    /// Source: Lifeguard (2017), a sick observer doubts itself first.
    fn credibility(&self, report: &Report, now: Time) -> f64 {
        let fresh = report.items.iter().filter(|i| i.bad > 0).map(|i| i.upstream);
        let held = self
            .testimony
            .range((report.reporter, NameId(0))..=(report.reporter, NameId(u64::MAX)))
            .filter(|(_, (_, at))| now.since(*at) < WITNESS_WINDOW)
            .map(|((_, u), _)| *u);
        // Those that many boxes agree on already cast no doubt on this one.
        let agreed = |u: &NameId| self.standing().any(|(s, _)| s == *u);
        let accused: BTreeSet<NameId> = fresh.chain(held).filter(|u| !agreed(u)).collect();
        let usual = (self.members.len() / 3).max(1);
        if accused.len() > usual { 1.0 / (accused.len() * accused.len()) as f64 } else { 1.0 }
    }

    /// Books one item; returns the weight of bad outcomes it may add.
    fn testify(&mut self, reporter: NameId, item: ReportItem, weight: f64, now: Time) -> f64 {
        if item.bad == 0 {
            return 0.0;
        }
        let bad = f64::from(item.bad) / 10.0 * weight;
        let cap = self.witness_cap();
        let slot = self.testimony.entry((reporter, item.upstream)).or_insert((0.0, now));
        if now.since(slot.1) >= WITNESS_WINDOW {
            *slot = (0.0, now);
        }
        let room = (cap - slot.0).max(0.0);
        let taken = bad.min(room);
        *slot = (slot.0 + taken, now);
        taken
    }

    fn witnesses(&self, upstream: NameId, now: Time) -> usize {
        self.testimony
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
        let s = self.standing.get(&u).copied();
        let (judgement, round) = match s.map(|s| s.judgement) {
            None | Some(Judgement::Clear) => {
                if !self.is_outlier(u, now) {
                    return None;
                }
                let forgiven = s.is_none_or(|s| now.since(s.since) > FORGIVE);
                (Judgement::Suspect, if forgiven { 0 } else { s.map_or(0, |s| s.round + 1) })
            }
            Some(Judgement::Suspect) => {
                let s = s?;
                if now.since(s.since) < hold(s.round) {
                    return None;
                }
                (Judgement::Probation, s.round)
            }
            Some(Judgement::Probation) => {
                let (good, bad) = self.ledger.counts(u);
                let round = s?.round;
                // A relapse too must stand out: under overload all answer badly.
                let usual = self.ledger.sibling_rate(u) * 2.0;
                let rate = bad / (bad + good).max(1.0);
                if bad >= PROBATION_BAD && rate > usual.max(PROBATION_RATE) {
                    (Judgement::Suspect, round + 1)
                } else if good >= PROBATION_GOOD {
                    (Judgement::Clear, round)
                } else {
                    return None;
                }
            }
        };
        let witnesses = self.witnesses(u, now) as u16;
        self.standing.insert(u, Standing { judgement, since: now, round });
        // Each phase is judged on its own evidence.
        self.ledger.reset(u);
        self.testimony.retain(|(_, v), _| *v != u);
        Some(Verdict {
            service: self.service,
            upstream: u,
            judgement,
            hold: hold(round),
            witnesses,
        })
    }

    fn is_outlier(&self, u: NameId, now: Time) -> bool {
        let bar = Self::bar(self.lean);
        if self.ledger.score(u) < bar || !self.ledger.is_outlier(u, self.least_here()) {
            return false;
        }
        if self.witnesses(u, now) < self.quorum() {
            return false;
        }
        let held = self.standing().map(|(u, _)| u);
        let troubled: BTreeSet<NameId> = self.ledger.over(bar / 2.0).chain(held).collect();
        // Most of a service in trouble at once is overload or the network.
        let spare = self.members.len().saturating_sub(self.floor.count(self.members.len()));
        troubled.len() <= spare
    }
}

fn hold(round: u32) -> Duration {
    (FIRST_HOLD * 2u32.pow(round.min(10))).min(MAX_HOLD)
}
