//! Retry budget shared by all boxes.

use super::retry_share::{OwnCounts, RetryShare, RetryValue};
use crate::collector::NameId;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Usable share of the fleet's budget.
///
/// Boxes learn of each other's retries with a delay.
const USABLE_SHARE: f64 = 0.8;
/// Share of the budget for hedges whose first attempt will likely be answered.
const HEDGE_SHARE: f64 = 0.4;
/// Addition to that share if the first attempt will certainly stay unanswered.
const HEDGE_EXTRA: f64 = 0.35;
/// Share of the budget that one box in touch with its peers may use.
const BOX_SHARE: f64 = 0.5;

/// Interval at which a box announces its traffic while its retries are denied.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on sends beyond the first of each request, over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Allowed share of the requests.
    pub ratio: f64,
    /// Sends allowed beyond that share.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

impl Default for RetryRule {
    /// Allows a fifth of the requests and ten sends in ten seconds.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) }
    }
}

/// Reason for sending a request once more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryReason {
    /// The previous attempt failed.
    Failed,
    /// The previous attempt is still in flight.
    Overdue {
        /// Probability that it stays unanswered.
        stuck: f64,
    },
}

/// Knowledge of the retries before this box started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryHistory {
    /// There were none, as the fleet starts for the first time.
    Empty,
    /// Unknown, as after a restart of all boxes.
    ///
    /// A box that stayed up may announce them.
    #[default]
    Unknown,
}

/// Boxes that share the budget with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetScope {
    /// Number of boxes in the fleet, including this one.
    pub boxes: usize,
    /// Whether this box is in touch with its peers.
    pub in_touch: bool,
}

/// Usage of a service's retry budget, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// Requests of this box within the window.
    pub requests: usize,
    /// Retries and hedges of this box.
    pub own: usize,
    /// Retries and hedges announced by peers.
    pub others: usize,
    /// Retries and hedges that the fleet may make, by this box's estimate.
    pub budget: f64,
    /// Whether retries from before this box started are known.
    pub history_known: bool,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    history: RetryHistory,
    /// When this box started counting.
    started: Time,
    arrivals: VecDeque<Time>,
    own: VecDeque<Time>,
    /// Retries of other boxes, with the sender.
    others: VecDeque<(Time, NameId)>,
    /// Retries learned from a peer after the start, and when.
    inherited: Option<(usize, Time)>,
    /// Traffic announced by peers.
    traffic: Vec<Traffic>,
    /// When this box last announced its traffic.
    announced: Option<Time>,
    /// Shares of all boxes, for services whose budget is divided.
    shares: RetryShare,
}

/// A peer's update about its requests and retries for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryReport {
    pub(super) from: NameId,
    /// Its requests within the window.
    pub(super) requests: u16,
    /// Its retries within the window.
    pub(super) retries: u8,
    /// Whether it has just retried a request.
    pub(super) retried: bool,
}

/// Traffic announced by a peer.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    from: NameId,
    /// Its requests within the window.
    requests: u16,
    at: Time,
}

impl RetryWindow {
    pub(super) const fn new(history: RetryHistory, started: Time) -> Self {
        Self {
            history,
            started,
            arrivals: VecDeque::new(),
            own: VecDeque::new(),
            others: VecDeque::new(),
            inherited: None,
            traffic: Vec::new(),
            announced: None,
            shares: RetryShare::new(started),
        }
    }

    /// Returns the retries of all boxes within the window, for a newly started box.
    ///
    /// `None` if this box does not know all of them.
    pub(super) fn sum(&mut self, rule: &RetryRule, now: Time) -> Option<u16> {
        self.expire(rule, now);
        let retries = self.total_retries();
        self.knows_window(rule, now).then(|| u16::try_from(retries).unwrap_or(u16::MAX))
    }

    /// Applies the retries of all boxes, announced by a peer.
    ///
    /// That peer was up for the whole window.
    pub(super) fn inherit(&mut self, rule: &RetryRule, sum: u16, now: Time) {
        if self.knows_window(rule, now) {
            return;
        }
        self.history = RetryHistory::Empty;
        let known = self.own.len() + self.others.len();
        self.inherited = Some((usize::from(sum).saturating_sub(known), now));
    }

    /// Returns whether the retries of the whole window are known.
    fn knows_window(&self, rule: &RetryRule, now: Time) -> bool {
        self.history == RetryHistory::Empty || now.since(self.started) >= rule.window
    }

    /// Returns whether the retries before this box started are known, also from a peer.
    pub(super) fn has_history(&self) -> bool {
        self.history == RetryHistory::Empty
    }

    fn total_retries(&self) -> usize {
        self.own.len() + self.others.len() + self.inherited.map_or(0, |(n, _)| n)
    }

    pub(super) fn record_request(&mut self, rule: &RetryRule, now: Time) {
        self.arrivals.push_back(now);
        self.shares.record_request();
        self.expire(rule, now);
    }

    /// Removes the latest request, which counts at another box.
    pub(super) fn forget_request(&mut self) {
        self.arrivals.pop_back();
        self.shares.forget_request();
    }

    /// Records a peer's update about its requests and retries within the window.
    ///
    /// Retries beyond those received one by one were lost in transit, for example in a
    /// partition, and count as well.
    pub(super) fn apply_report(&mut self, rule: &RetryRule, report: RetryReport, now: Time) {
        self.expire(rule, now);
        let known = self.others.iter().filter(|(_, from)| *from == report.from).count();
        let missed = usize::from(report.retries).saturating_sub(known);
        let more = missed.max(usize::from(report.retried));
        if let Some((n, _)) = &mut self.inherited {
            // Its earlier retries were part of the inherited sum.
            *n = n.saturating_sub(more - usize::from(report.retried));
        }
        self.others.extend(std::iter::repeat_n((now, report.from), more));
        self.traffic.retain(|t| t.from != report.from);
        self.traffic.push(Traffic { from: report.from, requests: report.requests, at: now });
    }

    /// Records the same for the peer's share, if the budget of the service is divided.
    pub(super) fn apply_share(&mut self, rule: &RetryRule, report: RetryReport, now: Time) {
        self.shares.apply_report(rule, report, now);
    }

    fn expire(&mut self, rule: &RetryRule, now: Time) {
        let is_expired = |t: Time| now.since(t) > rule.window;
        while self.arrivals.pop_front_if(|t| is_expired(*t)).is_some() {}
        while self.own.pop_front_if(|t| is_expired(*t)).is_some() {}
        while self.others.pop_front_if(|(t, _)| is_expired(*t)).is_some() {}
        self.traffic.retain(|t| !is_expired(t.at));
        self.inherited = self.inherited.filter(|(_, at)| !is_expired(*at));
    }

    /// Returns whether this box should announce its traffic although its retry was denied.
    ///
    /// Otherwise boxes that are denied would never learn of each other's traffic, and thereby
    /// of a larger budget.
    pub(super) fn update_due(&mut self, now: Time) -> bool {
        let due = self.announced.is_none_or(|at| now.since(at) > ANNOUNCE_INTERVAL);
        if due {
            self.announced = Some(now);
        }
        due
    }

    /// Returns the requests of this box within the window.
    pub(super) fn requests(&self) -> u16 {
        u16::try_from(self.arrivals.len()).unwrap_or(u16::MAX)
    }

    /// Returns the retries of this box within the window.
    pub(super) fn retries(&self) -> u8 {
        u8::try_from(self.own.len()).unwrap_or(u8::MAX)
    }

    /// Takes one retry from the budget; returns whether it is allowed.
    ///
    /// The fleet's limit is estimated from received updates. An isolated box has none,
    /// and is limited to an equal share of the slack plus its own traffic.
    pub(super) fn spend(
        &mut self,
        rule: &RetryRule,
        fleet_scope: FleetScope,
        why: RetryReason,
        now: Time,
    ) -> bool {
        self.expire(rule, now);
        let boxes = fleet_scope.boxes.max(1) as f64;
        let (requests, own) = (self.arrivals.len() as f64, self.own.len() as f64);
        let slack = self.slack(rule, now);
        let budget = self.budget(rule, now);
        let share = match why {
            RetryReason::Failed => USABLE_SHARE,
            RetryReason::Overdue { stuck } => HEDGE_EXTRA.mul_add(stuck, HEDGE_SHARE),
        };
        let equal_share = rule.ratio.mul_add(requests, slack / boxes);
        let own_limit =
            if fleet_scope.in_touch { equal_share.max(BOX_SHARE * budget) } else { equal_share };
        let retries = self.total_retries() as f64;
        if retries + 1.0 > share * budget || own + 1.0 > own_limit {
            return false;
        }
        self.own.push_back(now);
        self.announced = Some(now);
        true
    }

    /// Takes one retry from this box's share of the budget; returns whether it is allowed.
    pub(super) fn spend_by_value(
        &mut self,
        rule: &RetryRule,
        fleet_scope: FleetScope,
        value: RetryValue,
        now: Time,
    ) -> bool {
        self.expire(rule, now);
        let own = OwnCounts {
            requests: self.arrivals.len(),
            retries: self.own.len(),
            boxes: fleet_scope.boxes,
            // An inherited sum does not tell which boxes used the slack.
            history_known: self.knows_window(rule, now) && self.inherited.is_none(),
        };
        if !self.shares.spend(rule, own, value, now) {
            return false;
        }
        self.own.push_back(now);
        self.announced = Some(now);
        true
    }

    /// Returns the retries that the fleet may make, by the known traffic.
    ///
    /// This is a lower bound: it only includes boxes that announced their traffic, as each does
    /// when it retries or is denied. Extrapolating from one box or data hall allowed up to
    /// twice the budget with unevenly distributed callers.
    fn budget(&self, rule: &RetryRule, now: Time) -> f64 {
        let peers: f64 = self.traffic.iter().map(|t| f64::from(t.requests)).sum();
        rule.ratio.mul_add(self.arrivals.len() as f64 + peers, self.slack(rule, now))
    }

    /// Returns the sends allowed beyond the share of the requests.
    ///
    /// With an unknown history, the fleet may have used its usable share of the slack just before
    /// this box started, so only the rest is available for a whole window. Without this, a
    /// fleet that lost power used the slack twice: 90 extra sends in ten seconds where 87 were
    /// allowed. The rest still allows a retry in the first second.
    fn slack(&self, rule: &RetryRule, now: Time) -> f64 {
        if self.knows_window(rule, now) { rule.slack } else { rule.slack * (1.0 - USABLE_SHARE) }
    }

    /// Returns the usage of the budget.
    pub(super) fn usage(&self, rule: &RetryRule, now: Time) -> BudgetUsage {
        BudgetUsage {
            requests: self.arrivals.len(),
            own: self.own.len(),
            others: self.total_retries() - self.own.len(),
            budget: self.budget(rule, now),
            history_known: self.knows_window(rule, now),
        }
    }
}
