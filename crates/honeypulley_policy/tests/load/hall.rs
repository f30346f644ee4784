//! Discrete-event simulation of the boxes, upstreams and clients of one data hall.
//!
//! The simulation uses no sockets and no clock, so a seed always gives the same result. Updates of
//! one box reach the others after [`UPDATE_DELAY_MS`], as by datagram.

use crate::plan::{Plan, Policy};
use crate::worker::Worker;
use honeypulley_policy::balance::{
    Balancer, FleetScope, RetryHistory, RetryReason, RetryRule, Update, UpstreamEntry,
};
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::{AttemptKey, Outcome, Reason, UpstreamKey};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// Step of the simulated time, in ms.
const STEP_MS: u64 = 5;
/// Delay of updates between boxes, in ms: network and scheduling on a busy box.
const UPDATE_DELAY_MS: u64 = 15;
/// Time per box for which updates about finished attempts are batched, in ms.
///
/// Boxes limit the total to [`MAX_BATCH_MS`].
const BATCH_PER_BOX_MS: f64 = 2.5;
const MAX_BATCH_MS: f64 = 150.0;
/// Network round trip to an upstream, in ms.
const ROUND_TRIP_MS: u64 = 3;
/// Connection timeout, in ms.
const CONNECT_MS: u64 = 200;
/// Length of an upstream's queue, beyond which it rejects requests.
const QUEUE_LEN: usize = 12;
/// Request timeout and target latency, in ms.
const TIMEOUT_MS: u64 = 8_000;
const TARGET_MS: u64 = 1_500;
/// Maximum number of upstreams to which one request is sent.
const MAX_ATTEMPTS: usize = 4;
/// Warm-up time that is excluded from the results, in ms.
const WARM_UP_MS: u64 = 8_000;

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: usize,
    pub on_target: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Number of retries.
    pub retries: usize,
    /// Number of first attempts that were probes.
    pub probes: usize,
}

impl Counts {
    pub fn lost_share(&self) -> f64 {
        (self.refused + self.failed) as f64 / self.sent.max(1) as f64
    }

    pub fn on_target(&self) -> f64 {
        self.on_target as f64 / self.sent.max(1) as f64
    }
}

/// Results of a simulation; orders must not be repeated, reads may be.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Datagrams with updates that boxes sent to their whole data hall.
    pub broadcasts: usize,
    pub orders: Counts,
    pub reads: Counts,
    /// Start times of the orders that hung, in ms.
    pub hung_orders: Vec<u64>,
    /// Minimum share of the healthy upstreams that received a request within two seconds.
    pub floor: f64,
    /// Most attempts of one box during one backoff.
    ///
    /// Counted from half a second after the rejection to the end of the backoff.
    pub most_in_backoff: usize,
    /// Number of rejected attempts.
    pub rejected: usize,
    /// Minimum of the same share over windows in which many requests are lost.
    ///
    /// As in the operators' definition of the floor, these are windows in which more than a tenth
    /// and less than half of the requests are lost.
    pub degraded_floor: f64,
    /// The same over windows that begin every 50 ms instead of every 500 ms.
    pub sliding_floor: f64,
    /// Most requests that a rate-limited upstream received in four seconds.
    ///
    /// Counted from some time after it first announced its limit.
    pub most_sent: usize,
    /// Requests that all rate-limited upstreams received, relative to their limits.
    pub limit_used: f64,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Failed,
    /// No response until the timeout.
    Hung,
    Rejected,
    /// The connection timed out.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    /// Key of the attempt, if the policy under test picked the upstream.
    key: Option<AttemptKey>,
    ends: u64,
    end: End,
    /// Rate limit announced in the response.
    limit: Option<f64>,
    worker: usize,
}

#[derive(Debug)]
struct Request {
    from: usize,
    began: u64,
    repeatable: bool,
    tried: Vec<usize>,
    open: Option<PendingAttempt>,
}

/// A simulated data hall.
#[derive(Debug)]
struct Hall {
    plan: Plan,
    boxes: Vec<Balancer>,
    workers: Vec<Worker>,
    by_name: BTreeMap<String, usize>,
    /// Upstream keys of each box, valid once it has sent a request there.
    keys: Vec<Vec<UpstreamKey>>,
    updates: VecDeque<(u64, usize, Vec<Update>)>,
    /// Batched updates of each box and the times at which they arose.
    batched: Vec<Vec<(u64, Update)>>,
    requests: Vec<Request>,
    /// Start time of each request and whether it was served.
    outcomes: Vec<(u64, bool)>,
    rng: fastrand::Rng,
    report: Report,
}

/// Simulates a plan for `secs` seconds.
pub fn simulate(plan: Plan, secs: u64) -> Report {
    let until = secs * 1_000;
    let mut hall = Hall::new(plan, until);
    let mut due = [0.0_f64; 3];
    let mut admitted = 0.0;
    for now in (0..until).step_by(STEP_MS as usize) {
        hall.step(now);
        let excess = if plan.overuse.is_active(now) { plan.overuse.rate } else { 0.0 };
        let admissible = plan.overuse.limit * STEP_MS as f64 / 1e3;
        admitted = f64::min(admitted + admissible, plan.overuse.limit);
        for (i, rate) in [plan.orders, plan.reads, excess].into_iter().enumerate() {
            due[i] += rate * STEP_MS as f64 / 1e3;
            while due[i] >= 1.0 {
                due[i] -= 1.0;
                let is_rejected = i == 2 && admitted < 1.0;
                if is_rejected {
                    hall.reject(now);
                    continue;
                }
                admitted -= f64::from(u8::from(i == 2));
                hall.arrive(i == 1, now);
            }
        }
    }
    let is_degraded = |lost_share| lost_share > 0.1 && lost_share < 0.5;
    hall.report.floor = hall.floor(until, 500, |_| true);
    hall.report.degraded_floor = hall.floor(until, 500, is_degraded);
    hall.report.sliding_floor = hall.floor(until, 50, is_degraded);
    hall.report.most_in_backoff =
        hall.workers.iter().map(Worker::most_in_backoff).max().unwrap_or(0);
    hall.report.rejected = hall.workers.iter().map(|w| w.rejected).sum();
    (hall.report.most_sent, hall.report.limit_used) = hall.limit_usage(until);
    hall.report
}

impl Hall {
    fn new(plan: Plan, until: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        Self {
            workers: (0..plan.upstreams).map(|_| Worker::new(&plan, until, &mut rng)).collect(),
            boxes: (0..plan.boxes).map(|i| new_box(&plan, i as u64)).collect(),
            by_name: (0..plan.upstreams).map(|i| (name(i), i)).collect(),
            keys: vec![vec![UpstreamKey::default(); plan.upstreams]; plan.boxes],
            updates: VecDeque::new(),
            batched: vec![Vec::new(); plan.boxes],
            requests: Vec::new(),
            outcomes: Vec::new(),
            report: Report::default(),
            rng,
            plan,
        }
    }

    /// Updates the counts of a request, unless it started during the warm-up.
    fn count(&mut self, r: &Request, add: impl Fn(&mut Counts)) {
        if r.began >= WARM_UP_MS {
            add(if r.repeatable { &mut self.report.reads } else { &mut self.report.orders });
        }
    }

    fn arrive(&mut self, repeatable: bool, now: u64) {
        let from = self.rng.usize(..self.plan.boxes);
        let mut r = Request { from, began: now, repeatable, tried: Vec::new(), open: None };
        self.count(&r, |c| c.sent += 1);
        let service = self.boxes[from].service("s").expect("service is configured");
        self.boxes[from].record_request(service, Time::from_millis(now));
        if self.send(&mut r, now) {
            self.requests.push(r);
        } else {
            self.count(&r, |c| c.refused += 1);
            self.outcomes.push((r.began, false));
        }
    }

    /// Receives a request of the organisation that exceeds its limit, and rejects it.
    fn reject(&mut self, now: u64) {
        let (from, at) = (self.rng.usize(..self.plan.boxes), Time::from_millis(now));
        let b = &mut self.boxes[from];
        let service = b.service("s").expect("service is configured");
        b.record_request(service, at);
        b.record_rejection(service, at);
        self.outcomes.push((now, false));
    }

    /// Returns the timeout of a request, in ms.
    fn limit(&self) -> u64 {
        if self.plan.fails_after_ms > 0 { self.plan.fails_after_ms } else { TIMEOUT_MS }
    }

    fn info(&self, r: &Request, now: u64) -> RequestInfo {
        RequestInfo {
            service: self.boxes[r.from].service("s").expect("service is configured"),
            repeatable: r.repeatable,
            priority: 0,
            large_transfer: false,
            target: Some(Duration::from_millis(TARGET_MS)),
            remaining: Some(Duration::from_millis((r.began + self.limit()).saturating_sub(now))),
            route: NameId(u64::from(r.repeatable)),
            regions: None,
        }
    }

    /// Sends a request once and returns whether an upstream was available.
    fn send(&mut self, r: &mut Request, now: u64) -> bool {
        let picked = match self.plan.policy {
            Policy::Tested => self.pick_by_policy(r, now),
            Policy::Naive => self.pick_of_two(r, now).map(|i| (i, None)),
            Policy::Oracle => self.pick_healthy(r, now).map(|i| (i, None)),
        };
        let Some((worker, key)) = picked else { return false };
        let (ends, end) = self.process(r.from, worker, now);
        r.tried.push(worker);
        let limit = self.plan.limits.limit(worker, ends);
        r.open = Some(PendingAttempt { key, ends, end, limit, worker });
        true
    }

    fn pick_by_policy(&mut self, r: &Request, now: u64) -> Option<(usize, Option<AttemptKey>)> {
        let info = self.info(r, now);
        let tried: Vec<UpstreamKey> = r.tried.iter().map(|&i| self.keys[r.from][i]).collect();
        let b = &mut self.boxes[r.from];
        let pick = b.pick(&info, &tried, Time::from_millis(now)).ok()?;
        let worker = self.by_name[b.endpoint(pick.upstream).expect("upstream is known").name];
        self.keys[r.from][worker] = pick.upstream;
        self.count(r, |c| c.probes += usize::from(pick.reason == Reason::Canary));
        Some((worker, Some(pick.attempt)))
    }

    fn pick_of_two(&mut self, r: &Request, now: u64) -> Option<usize> {
        let left: Vec<usize> = self.untried(r).collect();
        let pair = [self.rng.choice(&left)?, self.rng.choice(&left)?];
        pair.into_iter().copied().min_by_key(|&i| self.workers[i].busy(now))
    }

    fn pick_healthy(&self, r: &Request, now: u64) -> Option<usize> {
        let healthy = self.untried(r).filter(|&i| !self.workers[i].is_faulty(now));
        healthy.min_by_key(|&i| self.workers[i].busy(now))
    }

    fn untried<'a>(&self, r: &'a Request) -> impl Iterator<Item = usize> + 'a {
        (0..self.plan.upstreams).filter(|i| !r.tried.contains(i))
    }

    /// Lets an upstream process a request; returns when and how the attempt ends.
    fn process(&mut self, from: usize, i: usize, now: u64) -> (u64, End) {
        let plan = self.plan;
        if from < plan.partition.boxes && i < plan.partition.upstreams {
            return (now + CONNECT_MS, End::Unreachable);
        }
        let w = &mut self.workers[i];
        w.sent.push(now);
        w.count_backoff(from, now);
        w.ends.retain(|&e| e > now);
        let shedding = (plan.shedding.from..plan.shedding.to).contains(&now);
        if shedding && self.rng.f64() < plan.shedding.share
            || w.ends.len() >= plan.slots + QUEUE_LEN
        {
            return (now + ROUND_TRIP_MS, End::Rejected);
        }
        if w.is_faulty(now) && self.rng.f64() < plan.fault_rate {
            if plan.fails_after_ms == 0 {
                return (now + ROUND_TRIP_MS, End::Failed);
            }
            w.ends.push(now + plan.fails_after_ms);
            return (now + plan.fails_after_ms, End::Hung);
        }
        // One request in 33 takes 2.5 times as long.
        let long = if self.rng.f64() < 0.03 { 2.5 } else { 1.0 };
        let took = plan.work_ms * (0.6 + 0.8 * self.rng.f64()) * long;
        let ends = w.free_at(plan.slots, now) + took as u64;
        w.ends.push(ends);
        let end = if self.rng.f64() < plan.base_rate { End::Failed } else { End::Served };
        (ends + ROUND_TRIP_MS, end)
    }

    fn step(&mut self, now: u64) {
        let at = Time::from_millis(now);
        while let Some((_, from, updates)) = self.updates.pop_front_if(|(due, ..)| *due <= now) {
            let sender = NameId(from as u64 + 1);
            for (to, b) in self.boxes.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                if !self.plan.datagrams.arrives(from, to, &mut self.rng) {
                    continue;
                }
                updates.iter().for_each(|&n| drop(b.apply_update(sender, n, at)));
            }
        }
        for r in std::mem::take(&mut self.requests) {
            self.advance(r, now);
        }
        let hold = (BATCH_PER_BOX_MS * (self.plan.boxes - 1) as f64).min(MAX_BATCH_MS) as u64;
        for (from, b) in self.boxes.iter_mut().enumerate() {
            let batched = &mut self.batched[from];
            batched.extend(b.take_updates().into_iter().map(|n| (now, n)));
            let waits = batched.first().is_none_or(|&(at, _)| now < at + hold);
            if !waits || !batched.iter().all(|(_, n)| n.is_deferrable()) {
                let aged = |(at, n): (u64, Update)| n.with_age(Duration::from_millis(now - at));
                let updates = batched.drain(..).map(aged).collect();
                self.updates.push_back((now + UPDATE_DELAY_MS, from, updates));
                self.report.broadcasts += 1;
            }
        }
    }

    /// Ends a request that is due, or retries it as the serving path does.
    fn advance(&mut self, mut r: Request, now: u64) {
        let at = Time::from_millis(now);
        let Some(sent) = r.open else { return };
        if sent.ends > now {
            if let Some(key) = sent.key {
                self.boxes[r.from].record_in_flight(key, at);
            }
            self.requests.push(r);
            return;
        }
        self.end(r.from, &sent, at);
        if sent.end == End::Served {
            let is_late = now - r.began > TARGET_MS;
            self.outcomes.push((r.began, true));
            self.count(&r, |c| if is_late { c.late += 1 } else { c.on_target += 1 });
            return;
        }
        if self.may_retry(&r, sent.end, now) && self.send(&mut r, now) {
            self.count(&r, |c| c.retries += 1);
            self.requests.push(r);
            return;
        }
        self.outcomes.push((r.began, false));
        if sent.end == End::Hung && !r.repeatable {
            self.report.hung_orders.push(r.began);
        }
        let is_not_run = matches!(sent.end, End::Rejected | End::Unreachable);
        self.count(&r, |c| if is_not_run { c.refused += 1 } else { c.failed += 1 });
    }

    fn may_retry(&mut self, r: &Request, end: End, now: u64) -> bool {
        let info = self.info(r, now);
        let b = &mut self.boxes[r.from];
        if end == End::Unreachable {
            // Nothing was sent, so a retry costs no budget.
            return r.tried.len() < MAX_ATTEMPTS;
        }
        (r.repeatable || end == End::Rejected)
            && r.tried.len() < MAX_ATTEMPTS
            && b.can_meet_deadline(&info)
            && b.spend_retry(info.service, RetryReason::Failed, Time::from_millis(now))
    }

    /// Reports the result of an attempt to the box.
    fn end(&mut self, from: usize, sent: &PendingAttempt, at: Time) {
        let Some(key) = sent.key else { return };
        let b = &mut self.boxes[from];
        let outcome = match sent.end {
            End::Rejected => {
                let backoff =
                    (self.plan.backoff_ms > 0).then(|| Duration::from_millis(self.plan.backoff_ms));
                b.record_signals(key, &Signals { backoff, ..Signals::default() }, at);
                self.workers[sent.worker].reject(from, at.as_micros() / 1_000, &self.plan);
                Outcome::NotRun
            }
            End::Unreachable => Outcome::Unreachable,
            End::Hung => Outcome::TimedOut,
            End::Served | End::Failed => {
                b.response_started(key, sent.end == End::Served, at);
                b.record_signals(key, &Signals { limit: sent.limit, ..Signals::default() }, at);
                if sent.limit.is_none() {
                    b.clear_limit(key, at);
                }
                Outcome::Completed
            }
        };
        b.finish(key, outcome, at);
    }

    /// Returns the most requests to a limited upstream, and the limits' usage.
    ///
    /// The most requests are those within four seconds. The usage is the number of requests to all
    /// limited upstreams relative to what their limits allow.
    fn limit_usage(&self, until: u64) -> (usize, f64) {
        const WINDOW_MS: u64 = 4_000;
        const SETTLE_MS: u64 = 3_000;
        let limits = self.plan.limits;
        let from = limits.from + SETTLE_MS;
        let sent = |w: &Worker| -> Vec<u64> {
            w.sent.iter().copied().filter(|t| (from..until).contains(t)).collect()
        };
        let all: Vec<Vec<u64>> = self.workers[..limits.upstreams].iter().map(sent).collect();
        let within =
            |s: &[u64], last: u64| s.iter().filter(|&&t| t <= last && t + WINDOW_MS > last).count();
        let most = all.iter().flat_map(|s| s.iter().map(|&t| within(s, t))).max().unwrap_or(0);
        let allowed =
            limits.upstreams as f64 * limits.rate * until.saturating_sub(from) as f64 / 1e3;
        (most, all.iter().map(Vec::len).sum::<usize>() as f64 / allowed.max(1.0))
    }

    /// Returns the share of the requests of a window that were not served.
    fn lost_share(&self, span: &Range<u64>) -> f64 {
        let came = self.outcomes.iter().filter(|(began, _)| span.contains(began));
        let (sent, lost) =
            came.fold((0, 0), |(n, lost), (_, served)| (n + 1, lost + u32::from(!served)));
        f64::from(lost) / f64::from(sent).max(1.0)
    }

    /// Returns the minimum share of healthy upstreams that received a request in a window.
    ///
    /// Considers windows of two seconds for which `counts` accepts the share of lost requests.
    fn floor(&self, until: u64, step: usize, counts: impl Fn(f64) -> bool) -> f64 {
        let share = |from: u64| {
            let span = from..from + 2_000;
            let healthy = self.workers.iter().filter(|w| w.was_healthy(span.start, span.end));
            let (healthy, busy): (Vec<_>, Vec<_>) =
                healthy.map(|w| (w, w.sent.iter().any(|t| span.contains(t)))).unzip();
            busy.iter().filter(|b| **b).count() as f64 / healthy.len().max(1) as f64
        };
        let counted = |from: &u64| counts(self.lost_share(&(*from..from + 2_000)));
        (WARM_UP_MS..until - 2_000).step_by(step).filter(counted).map(share).fold(1.0, f64::min)
    }
}

fn name(i: usize) -> String {
    format!("u{i}")
}

fn new_box(plan: &Plan, seed: u64) -> Balancer {
    let slack = 1.5 * plan.boxes as f64;
    let rule = RetryRule { ratio: 0.2, slack, window: Duration::from_secs(10) };
    let mut b = Balancer::new("h", rule, seed).with_retry_history(RetryHistory::Empty);
    let mut mix = RouteMix::default();
    if plan.mixed {
        mix.add(1, false);
        mix.add(1, true);
    }
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], Time::ZERO);
    b.set_fleet_scope(FleetScope { boxes: plan.boxes, in_touch: true });
    for i in 0..plan.upstreams {
        let member = Member {
            name: name(i),
            service: "s".to_owned(),
            addr: format!("10.0.0.1:{i}"),
            hall: "h".to_owned(),
            state: MemberState::Live,
        };
        b.set_upstream(
            UpstreamEntry { member, slots: plan.slots, warm_up: Duration::ZERO, started: None },
            Time::ZERO,
        );
    }
    b
}
