//! The retry budget that all boxes share.

use crate::collector::NameId;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Usable share of the fleet's budget, since boxes learn of each other's retries late.
const SPENT_SHARE: f64 = 0.8;
/// Share of it for a hedge of an attempt that is likely to be answered.
const HEDGE_SHARE: f64 = 0.4;
/// Part of it more where the first send is sure to fail.
const STUCK_SHARE: f64 = 0.35;
/// Share of it that one box may spend while it is in touch with peers.
const OWN_SHARE: f64 = 0.5;

/// Interval at which a box announces its traffic without having retried.
const TELL_GAP: Duration = Duration::from_secs(1);

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resend {
    /// The attempt before it failed.
    Failed,
    /// The attempt before it is still open.
    Overdue {
        /// Chance that it will not be answered.
        stuck: f64,
    },
}

/// What a box knows of the retries before it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Past {
    /// The fleet starts for the first time, so there were none.
    Empty,
    /// Nothing, as after a loss of all boxes, until a box that lived through it tells.
    #[default]
    Unknown,
}

/// Which boxes this one shares the budget with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Boxes of the fleet, this one included.
    pub boxes: usize,
    /// Whether this box is in touch with its peers.
    pub in_touch: bool,
}

/// What a box knew of a service's retry budget, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUse {
    /// Requests of this box within the window.
    pub seen: usize,
    /// Extra sends of this box.
    pub own: usize,
    /// Retries that peers announced.
    pub others: usize,
    /// Extra sends that the fleet may make, as this box reckons.
    pub budget: f64,
    /// Whether the sends before this box started are known.
    pub past_known: bool,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    past: Past,
    /// When this box began to count.
    began: Time,
    arrivals: VecDeque<Time>,
    own: VecDeque<Time>,
    /// Extra sends of other boxes, and whose they are.
    others: VecDeque<(Time, NameId)>,
    /// Sum of the retries that this box learned of at its start, and when.
    inherited: Option<(usize, Time)>,
    /// Traffic that peers announced.
    traffic: Vec<Traffic>,
    /// When this box last announced its own.
    told: Option<Time>,
}

/// What another box tells of its requests for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spending {
    pub(super) from: NameId,
    /// Its requests within the window.
    pub(super) seen: u16,
    /// Those of them that it retried.
    pub(super) spent: u8,
    /// Whether it has just sent one again.
    pub(super) again: bool,
}

/// Traffic that a peer announced.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    from: NameId,
    /// Its requests within the window.
    seen: u16,
    at: Time,
}

impl RetryWindow {
    pub(super) const fn new(past: Past, began: Time) -> Self {
        Self {
            past,
            began,
            arrivals: VecDeque::new(),
            own: VecDeque::new(),
            others: VecDeque::new(),
            inherited: None,
            traffic: Vec::new(),
            told: None,
        }
    }

    /// Returns the retries of all boxes within the window, for one that has just
    /// started; `None` if this box does not know them itself.
    pub(super) fn sum(&mut self, rule: &RetryRule, now: Time) -> Option<u16> {
        self.drop_old(rule, now);
        let spent = self.spent_by_all();
        self.knows_past(rule, now).then(|| u16::try_from(spent).unwrap_or(u16::MAX))
    }

    /// Applies the retries of all boxes, from a peer that was up for the whole window.
    pub(super) fn inherit(&mut self, rule: &RetryRule, sum: u16, now: Time) {
        if self.knows_past(rule, now) {
            return;
        }
        self.past = Past::Empty;
        let heard = self.own.len() + self.others.len();
        self.inherited = Some((usize::from(sum).saturating_sub(heard), now));
    }

    /// Returns whether all announced retries within the window are known.
    fn knows_past(&self, rule: &RetryRule, now: Time) -> bool {
        self.past == Past::Empty || now.since(self.began) >= rule.window
    }

    fn spent_by_all(&self) -> usize {
        self.own.len() + self.others.len() + self.inherited.map_or(0, |(n, _)| n)
    }

    pub(super) fn arrived(&mut self, rule: &RetryRule, now: Time) {
        self.arrivals.push_back(now);
        self.drop_old(rule, now);
    }

    /// Records what a peer reported of its requests within the window, and how many of
    /// them it `spent` a retry on; `again` if it has just retried one.
    ///
    /// Retries beyond those received one by one were lost on the way, as during a partition, and
    /// count as well.
    pub(super) fn heard(&mut self, rule: &RetryRule, told: Spending, now: Time) {
        self.drop_old(rule, now);
        let known = self.others.iter().filter(|(_, from)| *from == told.from).count();
        let missed = usize::from(told.spent).saturating_sub(known);
        let more = missed.max(usize::from(told.again));
        if let Some((n, _)) = &mut self.inherited {
            // What it spent before the one that it tells now was in the sum.
            *n = n.saturating_sub(more - usize::from(told.again));
        }
        self.others.extend(std::iter::repeat_n((now, told.from), more));
        self.traffic.retain(|t| t.from != told.from);
        self.traffic.push(Traffic { from: told.from, seen: told.seen, at: now });
    }

    fn drop_old(&mut self, rule: &RetryRule, now: Time) {
        let is_old = |t: Time| now.since(t) > rule.window;
        while self.arrivals.pop_front_if(|t| is_old(*t)).is_some() {}
        while self.own.pop_front_if(|t| is_old(*t)).is_some() {}
        while self.others.pop_front_if(|(t, _)| is_old(*t)).is_some() {}
        self.traffic.retain(|t| !is_old(t.at));
        self.inherited = self.inherited.filter(|(_, at)| !is_old(*at));
    }

    /// Returns whether this box should tell its traffic though it sent nothing again.
    ///
    /// Boxes that are denied would else never learn that there is more to spend.
    pub(super) fn is_telling(&mut self, now: Time) -> bool {
        let due = self.told.is_none_or(|at| now.since(at) > TELL_GAP);
        if due {
            self.told = Some(now);
        }
        due
    }

    /// Returns the requests of this box within the window.
    pub(super) fn seen(&self) -> u16 {
        u16::try_from(self.arrivals.len()).unwrap_or(u16::MAX)
    }

    /// Returns the retries of this box within the window.
    pub(super) fn spent(&self) -> u8 {
        u8::try_from(self.own.len()).unwrap_or(u8::MAX)
    }

    /// Consumes one retry token; returns whether there was one.
    ///
    /// The fleet's bound goes by what this box has received. An isolated box
    /// can't know, and keeps to an equal share of the slack and its own traffic.
    pub(super) fn spend(&mut self, rule: &RetryRule, reach: Reach, why: Resend, now: Time) -> bool {
        self.drop_old(rule, now);
        let boxes = reach.boxes.max(1) as f64;
        let (seen, own) = (self.arrivals.len() as f64, self.own.len() as f64);
        let slack = self.slack(rule, now);
        let budget = self.budget(rule, now);
        let share = match why {
            Resend::Failed => SPENT_SHARE,
            Resend::Overdue { stuck } => STUCK_SHARE.mul_add(stuck, HEDGE_SHARE),
        };
        let alone = rule.ratio.mul_add(seen, slack / boxes);
        let own_limit = if reach.in_touch { alone.max(OWN_SHARE * budget) } else { alone };
        let spent = self.spent_by_all() as f64;
        if spent + 1.0 > share * budget || own + 1.0 > own_limit {
            return false;
        }
        self.own.push_back(now);
        self.told = Some(now);
        true
    }

    /// Returns the retries that the fleet may make, as far as traffic is known.
    ///
    /// It is a lower bound: only boxes count that announced their traffic, as each
    /// does when it sends again or is denied. Reckoning from what one box or its data
    /// hall sees gave up to twice the budget where callers are spread unevenly.
    fn budget(&self, rule: &RetryRule, now: Time) -> f64 {
        let told: f64 = self.traffic.iter().map(|t| f64::from(t.seen)).sum();
        rule.ratio.mul_add(self.arrivals.len() as f64 + told, self.slack(rule, now))
    }

    /// Returns the sends allowed beside the share of the requests.
    ///
    /// Where the past is unknown, the fleet may have spent all that it spends of the slack
    /// a moment before this box started, so only the rest is left for a whole window. Boxes
    /// that had all lost power spent the slack twice: 90 extra sends in ten seconds where
    /// 87 were allowed. The rest still lets a request be sent again in the first second.
    fn slack(&self, rule: &RetryRule, now: Time) -> f64 {
        if self.knows_past(rule, now) { rule.slack } else { rule.slack * (1.0 - SPENT_SHARE) }
    }

    /// Returns what is known of the budget.
    pub(super) fn usage(&self, rule: &RetryRule, now: Time) -> BudgetUse {
        BudgetUse {
            seen: self.arrivals.len(),
            own: self.own.len(),
            others: self.spent_by_all() - self.own.len(),
            budget: self.budget(rule, now),
            past_known: self.knows_past(rule, now),
        }
    }
}
