//! Records the results of attempts and reports them to the collectors.

use super::{AttemptKey, Outcome, Router, UpstreamKey};
use crate::collector::{Report, ReportItem};
use crate::ledger::Evidence;
use crate::signals::{SignalChanges, Signals};
use crate::spec::Lean;
use crate::time::Time;
use std::time::Duration;

/// Standard deviations above the median below which a response indicates an empty queue.
const QUICK: f64 = 1.0;
/// Minimum interval between two reports on a service.
const URGENT_GAP: Duration = Duration::from_millis(20);
/// Minimum interval between two reports without failures.
const LAZY_GAP: Duration = Duration::from_secs(1);
/// Size of one report on the wire to both collectors, in bytes.
const REPORT_BYTES: f64 = 160.0;
/// Bandwidth for reports without failures, in bytes per second.
pub(super) const REPORT_RATE: f64 = 3_000.0;
/// First hold by this box alone; doubles with each relapse.
const OWN_HOLD: Duration = Duration::from_secs(2);
/// Upper bound of the hold by this box alone.
const MAX_OWN_HOLD: Duration = Duration::from_secs(60);
/// Successes that end a probation set by this box.
const OWN_PROBATION_GOOD: f64 = 3.0;

/// Weight of slow or stalled attempts, in tenths, while the whole service is slow.
const RAISED_TENTHS: u16 = 1;
/// Additional weight, in tenths, that is reported when this box ejects an upstream.
const CONVINCED_TENTHS: u16 = 20;
/// Recent failures that this box alone requires to avoid an upstream.
const OWN_LEAST: f64 = 2.5;
/// Half-life of the counts that detect a fault shared by all upstreams.
pub(super) const OWN_SHORT_LIFE: Duration = Duration::from_secs(4);

/// Returns the score from which this box alone avoids an upstream.
pub(super) fn own_bar(lean: Lean) -> f64 {
    lean.mix(9.0, 11.0)
}

impl Router {
    /// Records the head of a response; `ok` is false for a failure response.
    pub fn answered(&mut self, k: AttemptKey, ok: bool, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        a.answered = true;
        let (a, took) = (*a, now.since(a.started));
        let Some(s) = self.services.get_mut(a.service) else { return };
        if !ok {
            return self.witness(k, Evidence::Failure, now);
        }
        let slow = s.spread.is_warm() && took > s.slow_limit();
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.quick = took < s.spread.limit(QUICK);
        }
        s.spread.add(took);
        s.budget.earn();
        self.witness(k, if slow { Evidence::Slow } else { Evidence::Good }, now);
    }

    /// Records the signals that an upstream sent in the head of a response.
    pub fn signalled(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        let Some(upstream) = self.attempts.get(k).map(|a| a.upstream) else {
            return SignalChanges::default();
        };
        if let Some(load) = s.load {
            self.reported_load(upstream, load.busy / load.slots.max(1.0), now);
        }
        let Some(u) = self.upstreams.get_mut(upstream) else { return SignalChanges::default() };
        let leaving = s.leaving && !u.is_gone(now);
        let until = s.backoff.map(|wait| now + wait).filter(|t| u.backoff.is_none_or(|b| b < *t));
        u.backoff = until.or(u.backoff);
        if s.leaving {
            self.drained(upstream, now);
        }
        SignalChanges { leaving, backoff: until.is_some(), ..SignalChanges::default() }
    }

    /// Records the load that an upstream reported with a response.
    ///
    /// `load` is the ratio of running and queued requests to slots, so values over 1.0 indicate a
    /// queue.
    pub fn reported_load(&mut self, k: UpstreamKey, load: f64, now: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.load = Some((load, now));
        }
    }

    /// Records that an upstream announced its shutdown.
    ///
    /// The announcement is valid until the list no longer contains the upstream or shows it as live
    /// after leaving. It expires after five minutes, in case the upstream restarts faster than the
    /// list is updated.
    pub fn drained(&mut self, k: UpstreamKey, now: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.drained = Some(now);
        }
    }

    /// Closes an attempt.
    pub fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Whole | Outcome::Abandoned => {}
            // A busy upstream may reject requests, which is a fault only if the others do not.
            Outcome::NotRun => self.witness(k, Evidence::Slow, now),
            Outcome::Failed | Outcome::Refused | Outcome::Unreachable | Outcome::Misdirected => {
                self.witness(k, Evidence::Failure, now);
            }
            Outcome::Late => self.witness(k, Evidence::Stall, now),
            Outcome::Wrong => {
                if let Some(a) = self.attempts.get_mut(k) {
                    a.judged = false;
                }
                self.witness(k, Evidence::Wrong, now);
            }
        }
        let Some(a) = self.attempts.remove(k) else { return };
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.out = u.out.saturating_sub(1);
        }
    }

    /// Detects stalled attempts and returns the reports that are due.
    ///
    /// Should be called every 10 to 20 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Report> {
        let is_stalled = |a: &super::Attempt| {
            let limit = self.services.get(a.service).map(super::Service::stall_limit);
            !a.answered && !a.judged && limit.is_some_and(|l| now.since(a.started) > l)
        };
        let stalled: Vec<AttemptKey> =
            self.attempts.iter().filter(|(_, a)| is_stalled(a)).map(|(k, _)| k).collect();
        for k in stalled {
            self.witness(k, Evidence::Stall, now);
        }
        self.due_reports(now)
    }

    fn witness(&mut self, k: AttemptKey, e: Evidence, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        // A stalled attempt has already been recorded when it ends later.
        if a.judged {
            return;
        }
        a.judged = true;
        let a = *a;
        let Some(u) = self.upstreams.get_mut(a.upstream) else { return };
        let Some(s) = self.services.get_mut(a.service) else { return };
        let tenths =
            if e.is_lateness() && s.spread.is_raised() { RAISED_TENTHS } else { e.tenths() };
        let bad = f64::from(tenths) / 10.0;
        let good = f64::from(u8::from(e == Evidence::Good));
        let score = s.ledger.add(a.upstream, good, bad, now);
        let bar = own_bar(s.spec.lean);
        let sick = score >= bar && s.ledger.is_outlier(a.upstream, OWN_LEAST);
        u.pending.0 = u.pending.0.saturating_add(u16::from(e == Evidence::Good));
        u.pending.1 = u.pending.1.saturating_add(tenths);
        s.urgent |= bad > 0.0;
        u.own.after(sick, s.ledger.counts(a.upstream), now);
        if sick {
            // From now on this box sends the upstream few requests, so it reports additional weight
            // now.
            u.pending.1 = u.pending.1.saturating_add(CONVINCED_TENTHS);
            s.ledger.reset(a.upstream);
        }
    }

    fn due_reports(&mut self, now: Time) -> Vec<Report> {
        let budget = self.services.len() as f64 * REPORT_BYTES / self.report_rate;
        let lazy = LAZY_GAP.max(Duration::from_secs_f64(budget));
        let mut reports = Vec::new();
        for s in self.services.values_mut() {
            let gap = if s.urgent { URGENT_GAP } else { lazy };
            if now.since(s.reported) < gap {
                continue;
            }
            let mut items = Vec::new();
            for &k in &s.upstreams {
                let u = &mut self.upstreams[k];
                let (good, bad) = std::mem::take(&mut u.pending);
                if good > 0 || bad > 0 {
                    items.push(ReportItem { upstream: u.id, good, bad });
                }
            }
            s.urgent = false;
            if !items.is_empty() {
                s.reported = now;
                reports.push(Report { service: s.id, reporter: self.id, items });
            }
        }
        reports
    }
}

impl super::OwnHold {
    /// Updates the hold and the probation of an upstream.
    fn after(&mut self, sick: bool, counts: (f64, f64), now: Time) {
        let held = self.until.is_some_and(|t| now < t);
        if sick && !held {
            let d = (OWN_HOLD * 2u32.pow(self.round.min(5))).min(MAX_OWN_HOLD);
            *self = Self { until: Some(now + d), probation: true, round: self.round + 1 };
        } else if self.probation && !held && counts.0 >= OWN_PROBATION_GOOD && counts.1 < 1.0 {
            self.probation = false;
            self.round = self.round.saturating_sub(1);
        }
    }
}
