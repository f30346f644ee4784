//! Records the results of attempts and reports them to the collectors.

use super::{AttemptKey, Outcome, Router, UpstreamKey};
use crate::collector::{Report, ReportItem};
use crate::ledger::Evidence;
use crate::signals::{SignalChanges, Signals};
use crate::spec::Lean;
use crate::time::Time;
use std::time::Duration;

/// Standard deviations above the median below which a response indicates an empty queue.
const FAST_DEVIATIONS: f64 = 1.0;
/// Minimum interval between two reports on a service.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between two reports without failures.
const ROUTINE_INTERVAL: Duration = Duration::from_secs(1);
/// Size of one report on the wire to both collectors, in bytes.
const REPORT_BYTES: f64 = 160.0;
/// Bandwidth for reports without failures, in bytes per second.
pub(super) const REPORT_RATE: f64 = 3_000.0;
/// First hold by this box alone; doubles with each relapse.
const LOCAL_HOLD: Duration = Duration::from_secs(2);
/// Upper bound of the hold by this box alone.
const MAX_LOCAL_HOLD: Duration = Duration::from_secs(60);
/// Successes that end a probation set by this box.
const LOCAL_PROBATION_SUCCESSES: f64 = 3.0;

/// Weight of slow or stalled attempts, in tenths, while the whole service is slow.
const SLOW_SERVICE_TENTHS: u16 = 1;
/// Additional weight, in tenths, that is reported when this box ejects an upstream.
const EJECTION_TENTHS: u16 = 20;
/// Recent failures that this box alone requires to avoid an upstream.
const LOCAL_MIN_FAILURES: f64 = 2.5;
/// Half-life of the counts that detect a fault shared by all upstreams.
pub(super) const LOCAL_SHORT_HALF_LIFE: Duration = Duration::from_secs(4);

/// Returns the score from which this box alone avoids an upstream.
pub(super) fn local_threshold(lean: Lean) -> f64 {
    lean.interpolate(9.0, 11.0)
}

impl Router {
    /// Records the head of a response; `ok` is false for a failure response.
    pub fn response_started(&mut self, k: AttemptKey, ok: bool, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        a.answered = true;
        let (a, took) = (*a, now.since(a.started));
        let Some(s) = self.services.get_mut(a.service) else { return };
        if !ok {
            return self.record_evidence(k, Evidence::Failure, now);
        }
        let slow = s.latency.is_warm() && took > s.slow_limit();
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.is_fast = took < s.latency.limit(FAST_DEVIATIONS);
        }
        s.latency.add(took);
        s.budget.deposit();
        self.record_evidence(k, if slow { Evidence::Slow } else { Evidence::Good }, now);
    }

    /// Records the signals that an upstream sent in the head of a response.
    pub fn record_signals(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        let Some(upstream) = self.attempts.get(k).map(|a| a.upstream) else {
            return SignalChanges::default();
        };
        if let Some(load) = s.load {
            self.record_load(upstream, load.busy() / load.slots().max(1.0), now);
        }
        let Some(u) = self.upstreams.get_mut(upstream) else { return SignalChanges::default() };
        let leaving = s.leaving && !u.is_leaving(now);
        let until = s.backoff.map(|wait| now + wait).filter(|t| u.backoff.is_none_or(|b| b < *t));
        u.backoff = until.or(u.backoff);
        if s.leaving {
            self.mark_draining(upstream, now);
        }
        SignalChanges { leaving, backoff: until.is_some(), ..SignalChanges::default() }
    }

    /// Records the load that an upstream reported with a response.
    ///
    /// `load` is the ratio of running and queued requests to slots, so values over 1.0 indicate a
    /// queue.
    pub fn record_load(&mut self, k: UpstreamKey, load: f64, now: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.load = Some((load, now));
        }
    }

    /// Records that an upstream announced its shutdown.
    ///
    /// The announcement is valid until the list no longer contains the upstream or shows it as live
    /// after leaving. It expires after five minutes, in case the upstream restarts faster than the
    /// list is updated.
    pub fn mark_draining(&mut self, k: UpstreamKey, now: Time) {
        if let Some(u) = self.upstreams.get_mut(k) {
            u.drained = Some(now);
        }
    }

    /// Closes an attempt.
    pub fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Completed | Outcome::Cancelled | Outcome::Partitioned => {}
            // A busy upstream may reject requests, which is a fault only if the others do not.
            Outcome::NotRun => self.record_evidence(k, Evidence::Slow, now),
            Outcome::Failed | Outcome::Refused | Outcome::Unreachable | Outcome::Misdirected => {
                self.record_evidence(k, Evidence::Failure, now);
            }
            Outcome::TimedOut => self.record_evidence(k, Evidence::Stalled, now),
            Outcome::Malformed => {
                if let Some(a) = self.attempts.get_mut(k) {
                    a.recorded = false;
                }
                self.record_evidence(k, Evidence::Malformed, now);
            }
        }
        let Some(a) = self.attempts.remove(k) else { return };
        if let Some(u) = self.upstreams.get_mut(a.upstream) {
            u.in_flight = u.in_flight.saturating_sub(1);
        }
    }

    /// Detects stalled attempts and returns the reports that are due.
    ///
    /// Should be called every 10 to 20 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Report> {
        let is_stalled = |a: &super::Attempt| {
            let limit = self.services.get(a.service).map(super::Service::stall_limit);
            !a.answered && !a.recorded && limit.is_some_and(|l| now.since(a.started) > l)
        };
        let stalled: Vec<AttemptKey> =
            self.attempts.iter().filter(|(_, a)| is_stalled(a)).map(|(k, _)| k).collect();
        for k in stalled {
            self.record_evidence(k, Evidence::Stalled, now);
        }
        self.due_reports(now)
    }

    fn record_evidence(&mut self, k: AttemptKey, evidence: Evidence, now: Time) {
        let Some(a) = self.attempts.get_mut(k) else { return };
        // A stalled attempt has already been recorded when it ends later.
        if a.recorded {
            return;
        }
        a.recorded = true;
        let a = *a;
        let Some(u) = self.upstreams.get_mut(a.upstream) else { return };
        let Some(s) = self.services.get_mut(a.service) else { return };
        let weight_tenths = if evidence.is_latency() && s.latency.is_elevated() {
            SLOW_SERVICE_TENTHS
        } else {
            evidence.weight_tenths()
        };
        let bad = f64::from(weight_tenths) / 10.0;
        let good = f64::from(u8::from(evidence == Evidence::Good));
        let score = s.scores.add(a.upstream, good, bad, now);
        let threshold = local_threshold(s.spec.lean);
        let unhealthy = score >= threshold && s.scores.is_outlier(a.upstream, LOCAL_MIN_FAILURES);
        u.unreported.0 = u.unreported.0.saturating_add(u16::from(evidence == Evidence::Good));
        u.unreported.1 = u.unreported.1.saturating_add(weight_tenths);
        s.urgent |= bad > 0.0;
        u.local.update(unhealthy, s.scores.counts(a.upstream), now);
        if unhealthy {
            // From now on this box sends the upstream few requests, so it reports additional weight
            // now.
            u.unreported.1 = u.unreported.1.saturating_add(EJECTION_TENTHS);
            s.scores.reset(a.upstream);
        }
    }

    fn due_reports(&mut self, now: Time) -> Vec<Report> {
        let min_interval = self.services.len() as f64 * REPORT_BYTES / self.report_rate;
        let routine = ROUTINE_INTERVAL.max(Duration::from_secs_f64(min_interval));
        let mut reports = Vec::new();
        for s in self.services.values_mut() {
            let interval = if s.urgent { URGENT_INTERVAL } else { routine };
            if now.since(s.last_report) < interval {
                continue;
            }
            let mut items = Vec::new();
            for &k in &s.upstreams {
                let u = &mut self.upstreams[k];
                let (good, bad) = std::mem::take(&mut u.unreported);
                if good > 0 || bad > 0 {
                    items.push(ReportItem { upstream: u.id, successes: good, failures: bad });
                }
            }
            s.urgent = false;
            if !items.is_empty() {
                s.last_report = now;
                reports.push(Report { service: s.id, reporter: self.id, items });
            }
        }
        reports
    }
}

impl super::LocalHold {
    /// Updates the hold and the probation of an upstream.
    fn update(&mut self, unhealthy: bool, counts: (f64, f64), now: Time) {
        let is_held = self.until.is_some_and(|t| now < t);
        if unhealthy && !is_held {
            let d = (LOCAL_HOLD * 2u32.pow(self.relapses.min(5))).min(MAX_LOCAL_HOLD);
            *self = Self { until: Some(now + d), probation: true, relapses: self.relapses + 1 };
        } else if self.probation
            && !is_held
            && counts.0 >= LOCAL_PROBATION_SUCCESSES
            && counts.1 < 1.0
        {
            self.probation = false;
            self.relapses = self.relapses.saturating_sub(1);
        }
    }
}
