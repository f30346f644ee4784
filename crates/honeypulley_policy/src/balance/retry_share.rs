//! Division of the retry budget between boxes, seconds and requests.
//!
//! It applies to services whose routes have different priorities or the highest one. Each box
//! owns a share of the budget, by its own requests. What a box leaves unused is lent to others by
//! its announcements, and what it borrowed stays a debt until it has left the window. A token
//! bucket spreads the share over the window, and less valuable retries leave it half filled.

use super::in_flight::latency_prior;
use super::retry::{ANNOUNCE_INTERVAL, RetryReport, RetryRule};
use super::{Balancer, DEFAULT_TARGET, RetryReason, Service, Update};
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::route_mix::RouteMix;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Usable share of the budget.
///
/// The rest covers retries that peers made since their last announcement.
pub(super) const USABLE_SHARE: f64 = 0.95;
/// Share of a box's usable budget that may be spent at once, in addition to one retry.
const BURST_SHARE: f64 = 0.25;
/// Least burst, as a box of few requests would lose fractions of retries otherwise.
const MIN_BURST: f64 = 2.5;
/// Part of the burst that is available while the budget is unused.
///
/// With all of it, failures that set in everywhere used a third of the budget in one second.
const IDLE_BURST: f64 = 0.1;
/// Weight of the fleet's unused budget in the rate at which a box may spend.
///
/// Without it, a box with more failures than others could never use what these leave.
const LENT_WEIGHT: f64 = 1.2;
/// Time for which an announced unused share counts in full, longer than the announcing interval.
const CURRENT_TIME: Duration = Duration::from_secs(3);
/// Age at which it counts no more, as its owner may use it without this box knowing.
const LAPSE_TIME: Duration = Duration::from_secs(5);
/// Interval at which peers are removed that were silent for a whole window.
///
/// Walking all peers at each announcement would cost a box the square of their number.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the retries of an even pace that a silent peer is assumed to make.
const UNHEARD_SHARE: f64 = 0.5;
/// Part of the reserve left to more urgent requests, for each share of them that is denied.
const URGENCY_GAIN: f64 = 8.0;
/// Weight of one retry in the moving average of the share of denied ones.
const DENIED_WEIGHT: f64 = 0.125;
/// Part of the fleet's budget that is the reserve, beside the bucket.
const FLEET_RESERVE: f64 = 0.04;
/// Part of the reserve left by retries that will hardly succeed.
const CHANCE_RESERVE: f64 = 0.5;
/// Share of its former requests below which a peer that announces fewer has restarted.
const RESTART_DROP: f64 = 0.5;

/// Requests and retries of this box within the window.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnCounts {
    pub(super) requests: usize,
    pub(super) retries: usize,
    /// Number of boxes that share the slack.
    pub(super) boxes: usize,
    /// Whether the retries before this box started are known.
    pub(super) history_known: bool,
}

/// Properties of a retry that decide on its order.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryValue {
    /// Priority of the request; zero is the highest.
    pub(super) priority: u8,
    /// Probability that the retry serves a request that would otherwise be lost.
    pub(super) chance: f64,
}

/// Use that a peer made of its share, by its announcements.
#[derive(Clone, Copy, Debug)]
struct PeerShare {
    requests: u16,
    retries: u8,
    at: Time,
    /// Retries beyond its share that it made before a restart.
    debt: f64,
    /// When it announced that it had restarted, before which it may have used its slack.
    restarted: Option<Time>,
}

/// Shares of all boxes in the budget of one service, as far as this box knows.
#[derive(Clone, Debug)]
pub(super) struct RetryShare {
    peers: BTreeMap<NameId, PeerShare>,
    /// When peers that announce nothing any more were last removed.
    swept: Time,
    /// Slack of each box, as of the last retry that this box wanted.
    slack: f64,
    /// Retries that this box may make now, once it has wanted one.
    tokens: Option<(f64, Time)>,
    /// Requests of this box that have not yet added to the tokens.
    arrived: u32,
    /// Retries wanted by each priority.
    wanted: [Wanted; RouteMix::LOWEST_PRIORITY as usize + 1],
}

/// Retries that requests of one priority wanted.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    /// Moving average of the share that was denied.
    denied: f64,
    /// When one was last wanted.
    at: Option<Time>,
}

/// Budget of the boxes whose announcements are current.
#[derive(Clone, Copy, Debug)]
struct FleetBudget {
    /// Usable retries within the window.
    share: f64,
    /// The part of them that is unused.
    free: f64,
}

impl RetryShare {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            peers: BTreeMap::new(),
            swept: now,
            slack: 0.0,
            tokens: None,
            arrived: 0,
            wanted: [Wanted { denied: 0.0, at: None }; RouteMix::LOWEST_PRIORITY as usize + 1],
        }
    }

    /// Counts a request of this box.
    pub(super) const fn record_request(&mut self) {
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Removes the latest request, which counts at another box.
    pub(super) const fn forget_request(&mut self) {
        self.arrived = self.arrived.saturating_sub(1);
    }

    /// Records the announced counts of a peer.
    pub(super) fn apply_report(&mut self, rule: &RetryRule, report: RetryReport, now: Time) {
        let (requests, retries) = (report.requests, report.retries);
        let mut peer = PeerShare { requests, retries, at: now, debt: 0.0, restarted: None };
        let known = self.peers.get(&report.from);
        if let Some(before) = known.filter(|p| now.since(p.at) <= rule.window) {
            let has_restarted = f64::from(requests) < RESTART_DROP * f64::from(before.requests);
            if has_restarted {
                let owed = -before.balance(rule, self.slack, now);
                (peer.debt, peer.restarted) = (owed.max(0.0), Some(now));
            } else {
                (peer.debt, peer.restarted) = (before.debt, before.restarted);
            }
        }
        self.peers.insert(report.from, peer);
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.peers.retain(|_, p| now.since(p.at) <= rule.window);
            self.swept = now;
        }
    }

    /// Returns the budget that this box shares with the peers whose announcements are current.
    fn fleet_budget(&self, rule: &RetryRule, own: OwnCounts, now: Time) -> FleetBudget {
        let start =
            FleetBudget { share: own.share(rule), free: own.share(rule) - own.retries as f64 };
        self.peers.values().fold(start, |sum, p| FleetBudget {
            share: p.share(rule, self.slack, now).mul_add(p.currency(now), sum.share),
            free: sum.free + p.balance(rule, self.slack, now),
        })
    }

    /// Takes a token for a retry; returns whether it is allowed.
    pub(super) fn spend(
        &mut self,
        rule: &RetryRule,
        own: OwnCounts,
        value: RetryValue,
        now: Time,
    ) -> bool {
        self.slack = own.slack(rule);
        let fleet = self.fleet_budget(rule, own, now);
        let most = (BURST_SHARE * own.share(rule)).max(MIN_BURST);
        let burst = most * fleet.used().mul_add(1.0 - IDLE_BURST, IDLE_BURST);
        let tokens = self.fill(rule, own, fleet, 1.0 + burst, now);
        let reserve = self.reserve(rule, value, now);
        // What was spent early in the window is not earned again while the budget is used up.
        let tokens = if fleet.free < 1.0 { tokens.min(1.0) } else { tokens };
        let is_allowed = fleet.free >= (FLEET_RESERVE * fleet.share).mul_add(reserve, 1.0)
            && tokens >= burst.mul_add(reserve, 1.0);
        self.tokens = Some((if is_allowed { tokens - 1.0 } else { tokens }, now));
        let sample = if is_allowed { 0.0 } else { 1.0 };
        let wanted = &mut self.wanted[value.index()];
        wanted.denied += DENIED_WEIGHT * (sample - wanted.denied);
        wanted.at = Some(now);
        is_allowed
    }

    /// Returns the part of the reserve that a retry leaves to others.
    ///
    /// More urgent requests have it to themselves as far as they are denied. A fixed part left
    /// a quarter of the budget unused while it was sufficient.
    fn reserve(&self, rule: &RetryRule, value: RetryValue, now: Time) -> f64 {
        let is_recent = |w: &&Wanted| w.at.is_some_and(|at| now.since(at) < rule.window);
        let more_urgent = self.wanted[..value.index()].iter().filter(is_recent);
        let denied = more_urgent.map(|w| w.denied).fold(0.0, f64::max);
        CHANCE_RESERVE.mul_add(1.0 - value.chance, URGENCY_GAIN * denied).min(1.0)
    }

    /// Returns the tokens at this time.
    ///
    /// Each request adds its part at once. A rate taken from the whole window is too high while
    /// the load falls: in waves of 17 s, retries reached 1.08 of what the rule allows.
    fn fill(
        &mut self,
        rule: &RetryRule,
        own: OwnCounts,
        fleet: FleetBudget,
        most: f64,
        now: Time,
    ) -> f64 {
        let arrived = f64::from(std::mem::take(&mut self.arrived));
        let Some((tokens, at)) = self.tokens else { return most };
        let current = self.peers.values().filter(|p| now.since(p.at) < LAPSE_TIME).count();
        // At the start of a shortage, what is unused is left to the rest of the window.
        let lent = LENT_WEIGHT * fleet.used().powi(2) * fleet.free.max(0.0) / (current + 1) as f64;
        let windows = now.since(at).as_secs_f64() / rule.window.as_secs_f64();
        let earned = (USABLE_SHARE * rule.ratio).mul_add(arrived, lent * windows);
        (USABLE_SHARE * own.slack(rule)).mul_add(windows, tokens + earned).min(most)
    }
}

impl OwnCounts {
    /// Returns the usable share of this box.
    fn share(&self, rule: &RetryRule) -> f64 {
        USABLE_SHARE * rule.ratio.mul_add(self.requests as f64, self.slack(rule))
    }

    /// Returns the part of the slack of each box.
    ///
    /// It is zero while earlier retries are unknown: the slack may have been used just before a
    /// restart of all boxes, while their requests from then on allow for retries of their own.
    fn slack(&self, rule: &RetryRule) -> f64 {
        if self.history_known { rule.slack / self.boxes.max(1) as f64 } else { 0.0 }
    }
}

impl FleetBudget {
    /// Returns the used part of it.
    fn used(self) -> f64 {
        (1.0 - self.free / self.share.max(1.0)).clamp(0.0, 1.0)
    }
}

impl RetryValue {
    fn index(self) -> usize {
        usize::from(self.priority.min(RouteMix::LOWEST_PRIORITY))
    }
}

impl PeerShare {
    /// Returns its usable share, given the slack of each box.
    fn share(&self, rule: &RetryRule, slack: f64, now: Time) -> f64 {
        let is_new = self.restarted.is_some_and(|at| now.since(at) < rule.window);
        let slack = if is_new { 0.0 } else { slack };
        USABLE_SHARE * rule.ratio.mul_add(f64::from(self.requests), slack)
    }

    /// Returns the unused part of its share, or its debt as a negative number.
    fn balance(&self, rule: &RetryRule, slack: f64, now: Time) -> f64 {
        let left = |since: Time| {
            (1.0 - now.since(since).as_secs_f64() / rule.window.as_secs_f64()).max(0.0)
        };
        let debt = self.restarted.map_or(0.0, |at| self.debt * left(at));
        let unused = self.share(rule, slack, now) - f64::from(self.retries);
        let unused = match unused {
            // The number of retries saturates, so the rest is unknown.
            _ if self.retries == u8::MAX => unused.min(0.0) * left(self.at),
            // Its retries beyond its share leave the window in the course of time.
            n if n < 0.0 => n * left(self.at),
            n => (n - self.unannounced(rule, slack, now)).max(0.0) * self.currency(now),
        };
        unused - debt
    }

    /// Returns the retries that it may have made since its last announcement.
    ///
    /// Without them, 0.5 of lost announcements and few requests gave 1.03 of the rule.
    fn unannounced(&self, rule: &RetryRule, slack: f64, now: Time) -> f64 {
        let silent = now.since(self.at).saturating_sub(ANNOUNCE_INTERVAL);
        let windows = silent.as_secs_f64() / rule.window.as_secs_f64();
        UNHEARD_SHARE * self.share(rule, slack, now) * windows
    }

    /// Returns the weight of its unused share by the age of the announcement.
    fn currency(&self, now: Time) -> f64 {
        let left = LAPSE_TIME.saturating_sub(now.since(self.at));
        (left.as_secs_f64() / (LAPSE_TIME - CURRENT_TIME).as_secs_f64()).min(1.0)
    }
}

impl Service {
    /// Returns whether its retry budget is divided by the value of retries.
    pub(super) const fn divides_budget(&self) -> bool {
        self.spec.mix.is_ranked() || self.spec.mix.has_highest()
    }
}

impl Balancer {
    /// Takes one retry of a request from the budget of its service, and announces it.
    pub(super) fn spend_for(&mut self, info: &RequestInfo, why: RetryReason, now: Time) -> bool {
        let Some(s) = self.services.get(info.service) else { return false };
        if !s.divides_budget() {
            return self.spend(info.service, why, now);
        }
        let stuck = match why {
            RetryReason::Failed => 1.0,
            RetryReason::Overdue { stuck } => stuck,
        };
        let chance = stuck * self.chance_in_time(info, s);
        let value = RetryValue { priority: info.priority, chance };
        let (rule, fleet_scope) = (self.retry_rule, self.fleet_scope);
        let Some(s) = self.services.get_mut(info.service) else { return false };
        let is_allowed = s.retries.spend_by_value(&rule, fleet_scope, value, now);
        let (service, requests) = (s.id, s.retries.requests());
        let retries = s.retries.retries();
        if is_allowed {
            self.updates.push(Update::Retry { service, requests, retries });
        } else if s.retries.update_due(now) {
            self.updates.push(Update::Denied { service, requests, retries });
        }
        is_allowed
    }

    /// Returns the probability that a free upstream answers within the remaining time.
    fn chance_in_time(&self, info: &RequestInfo, s: &Service) -> f64 {
        let prior = latency_prior(info.target.unwrap_or(DEFAULT_TARGET));
        let latencies = self.route_latencies.get(&info.route).filter(|h| h.is_warm());
        let latencies = latencies.unwrap_or(&s.latencies);
        info.remaining.map_or(1.0, |left| 1.0 - latencies.survival(left, prior))
    }
}
