//! The retry budget that all boxes share.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the fleet's budget that is spent, since boxes hear of each other late.
const SPENT_SHARE: f64 = 0.7;
/// Part of its own traffic, times the boxes, that a box trusts the fleet to see.
const FLEET_SHARE: f64 = 0.5;

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
    /// Two bounds hold: the fleet's, by what this box has heard, and this box's
    /// own share, which also holds when it hears nobody.
    pub(super) fn spend(&mut self, rule: &RetryRule, boxes: usize, now: Time) -> bool {
        for q in [&mut self.arrivals, &mut self.own, &mut self.others] {
            drop_old(q, rule.window, now);
        }
        let boxes = boxes as f64;
        let (seen, own) = (self.arrivals.len() as f64, self.own.len() as f64);
        let fleet_seen = seen.max(seen * boxes * FLEET_SHARE);
        let fleet_limit = SPENT_SHARE * rule.ratio.mul_add(fleet_seen, rule.slack);
        let own_limit = rule.ratio.mul_add(seen, rule.slack / boxes) + 1.0;
        if own + self.others.len() as f64 + 1.0 > fleet_limit || own + 1.0 > own_limit {
            return false;
        }
        self.own.push_back(now);
        true
    }
}

fn drop_old(q: &mut VecDeque<Time>, window: Duration, now: Time) {
    while q.front().is_some_and(|&t| now.since(t) > window) {
        q.pop_front();
    }
}
