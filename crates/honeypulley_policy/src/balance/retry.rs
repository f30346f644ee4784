//! The retry budget that all boxes share.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the fleet's budget that is spent, since boxes hear of each other late.
const SPENT_SHARE: f64 = 0.7;
/// Part of it that hedges may use, so that failures always find some left.
const HEDGE_SHARE: f64 = 0.35;
/// Part of it that one box may spend while it hears the others.
const OWN_SHARE: f64 = 0.4;
/// Part of its own traffic, times the boxes, that a box trusts the fleet to see.
const FLEET_SHARE: f64 = 0.5;

/// Time over which a box reckons its own rate of requests.
const RATE_SPAN: Duration = Duration::from_secs(8);

/// Bound on sends beyond the first of each request, over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Share of the requests.
    pub ratio: f64,
    /// Sends allowed beside that share.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

impl Default for RetryRule {
    /// Returns a fifth of the requests and ten sends in ten seconds.
    fn default() -> Self {
        Self { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) }
    }
}

/// Why a request is sent to one more upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// The attempt before it failed.
    Failed,
    /// The attempt before it is overdue.
    Overdue,
}

/// Which boxes this one shares the budget with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Boxes of the fleet, this one included.
    pub boxes: usize,
    /// Whether this box hears the others.
    pub in_touch: bool,
}

/// What a box knew of a service's retry budget, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUse {
    /// Requests of this box within the window.
    pub seen: usize,
    /// Extra sends of this box.
    pub own: usize,
    /// Extra sends that other boxes told of.
    pub others: usize,
    /// Extra sends that the fleet may make, as this box reckons.
    pub budget: f64,
}

/// Requests and extra sends of one service within the window.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryWindow {
    arrivals: VecDeque<Time>,
    own: VecDeque<Time>,
    others: VecDeque<Time>,
}

impl RetryWindow {
    pub(super) fn arrived(&mut self, rule: &RetryRule, now: Time) {
        self.arrivals.push_back(now);
        drop_old(&mut self.arrivals, rule.window, now);
    }

    pub(super) fn heard(&mut self, rule: &RetryRule, now: Time) {
        self.others.push_back(now);
        drop_old(&mut self.others, rule.window, now);
    }

    /// Spends one extra send; tells whether there was one.
    ///
    /// The fleet's bound goes by what this box has heard. One that hears nobody
    /// can't know, and keeps to an equal share of the slack and its own traffic.
    pub(super) fn spend(&mut self, rule: &RetryRule, reach: Reach, why: Resend, now: Time) -> bool {
        for q in [&mut self.arrivals, &mut self.own, &mut self.others] {
            drop_old(q, rule.window, now);
        }
        let boxes = reach.boxes.max(1) as f64;
        let (seen, own) = (self.arrivals.len() as f64, self.own.len() as f64);
        let budget = self.budget(rule, reach);
        let share = match why {
            Resend::Failed => SPENT_SHARE,
            Resend::Overdue => HEDGE_SHARE,
        };
        let alone = rule.ratio.mul_add(seen, rule.slack / boxes);
        let own_limit = if reach.in_touch { alone.max(OWN_SHARE * budget) } else { alone };
        let spent = own + self.others.len() as f64;
        if spent + 1.0 > share * budget || own + 1.0 > own_limit {
            return false;
        }
        self.own.push_back(now);
        true
    }

    /// Returns the requests of this box, per second, over the last moments.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let recent = self.arrivals.iter().rev().take_while(|&&t| now.since(t) <= RATE_SPAN);
        recent.count() as f64 / RATE_SPAN.as_secs_f64()
    }

    fn budget(&self, rule: &RetryRule, reach: Reach) -> f64 {
        let seen = self.arrivals.len() as f64;
        let fleet_seen = seen.max(seen * reach.boxes as f64 * FLEET_SHARE);
        rule.ratio.mul_add(fleet_seen, rule.slack)
    }

    /// Returns what is known of the budget.
    pub(super) fn usage(&self, rule: &RetryRule, reach: Reach) -> BudgetUse {
        BudgetUse {
            seen: self.arrivals.len(),
            own: self.own.len(),
            others: self.others.len(),
            budget: self.budget(rule, reach),
        }
    }
}

fn drop_old(q: &mut VecDeque<Time>, window: Duration, now: Time) {
    while q.front().is_some_and(|&t| now.since(t) > window) {
        q.pop_front();
    }
}
