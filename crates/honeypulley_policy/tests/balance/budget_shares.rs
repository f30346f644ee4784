//! Division of the retry budget over a simulated fleet, whose announcements are late or lost.

use honeypulley_policy::balance::{
    Balancer, FleetScope, RetryHistory, RetryReason, RetryRule, Update,
};
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::regions::RegionMap;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::spec::{MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

/// Step of the simulated time, in ms.
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 10_000;
const SECS: u64 = 45;
/// Delay of an announcement, in ms.
const DELAY_MS: Range<u64> = 10..60;
/// Slack of the rule for each box.
const SLACK: f64 = 1.64;
/// Share of requests of the more urgent route.
const URGENT_SHARE: f64 = 0.4;

/// Least share of the requests served by retries, of those that the budget can serve.
const MIN_GAIN: f64 = 0.8;

/// Load and faults of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Plan {
    boxes: usize,
    /// Requests per second of all boxes.
    rate: f64,
    /// Ratio of the busiest box's requests to those of the least busy one.
    unevenness: f64,
    /// Relative swing of the load in waves of 17 s.
    swing: f64,
    /// Share of the attempts that are shed, and when.
    shed: f64,
    shed_ms: (u64, u64),
    /// Retries that a request may make.
    most_retries: usize,
    /// Share of lost announcements.
    loss: f64,
    /// When the fleet is split in two halves that do not hear each other.
    split_ms: (u64, u64),
    /// When boxes restart, and which share of them.
    restart_ms: u64,
    restarted: f64,
    /// Share of the boxes whose requests fail.
    failing: f64,
    seed: u64,
}

const STEADY: Plan = Plan {
    boxes: 24,
    rate: 200.0,
    unevenness: 1.0,
    swing: 0.0,
    shed: 0.55,
    shed_ms: (0, SECS * 1_000),
    most_retries: 3,
    loss: 0.0,
    split_ms: (0, 0),
    restart_ms: 0,
    restarted: 0.0,
    failing: 1.0,
    seed: 1,
};

/// A request of the simulation.
#[derive(Clone, Copy, Debug)]
struct Request {
    at: u64,
    from: usize,
    urgent: bool,
}

/// A retry of the simulation.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: u64,
    from: usize,
    urgent: bool,
}

#[derive(Debug)]
struct Fleet {
    plan: Plan,
    boxes: Vec<Balancer>,
    /// Announcements on their way: when they arrive, from which box, and to which one.
    news: VecDeque<Vec<(usize, usize, Update)>>,
    requests: Vec<Request>,
    retries: Vec<Retry>,
    rng: fastrand::Rng,
}

fn new_box(plan: &Plan, i: usize, history: RetryHistory, now: u64) -> Balancer {
    let rule = rule(plan);
    let mut b = Balancer::new("h", rule, i as u64).with_retry_history(history);
    let mut mix = RouteMix::default();
    mix.add(1, true);
    mix.add(2, true);
    let spec = ServiceSpec::builder().name("s").mix(mix).build();
    b.set_services(&[spec], Time::from_millis(now));
    b.set_fleet_scope(FleetScope { boxes: plan.boxes, in_touch: true });
    b
}

fn rule(plan: &Plan) -> RetryRule {
    let window = Duration::from_millis(WINDOW_MS);
    RetryRule { ratio: 0.2, slack: SLACK * plan.boxes as f64, window }
}

impl Fleet {
    fn run(plan: Plan) -> Self {
        let new = |i| new_box(&plan, i, RetryHistory::Empty, 0);
        let slots = (DELAY_MS.end / STEP_MS) as usize + 1;
        let mut fleet = Self {
            boxes: (0..plan.boxes).map(new).collect(),
            news: (0..slots).map(|_| Vec::new()).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
        };
        for now in (0..SECS * 1_000).step_by(STEP_MS as usize) {
            fleet.step(now);
        }
        fleet
    }

    fn step(&mut self, now: u64) {
        let at = Time::from_millis(now);
        let due = self.news.pop_front().unwrap_or_default();
        self.news.push_back(Vec::new());
        for (from, to, update) in due {
            let _ = self.boxes[to].apply_update(NameId(from as u64 + 1), update, at);
        }
        if now > 0 && now == self.plan.restart_ms {
            for i in 0..(self.plan.restarted * self.plan.boxes as f64) as usize {
                self.boxes[i] = new_box(&self.plan, i, RetryHistory::Unknown, now);
            }
        }
        let wave = (now as f64 / 17_000.0 * std::f64::consts::TAU).sin();
        let rate = self.plan.rate * self.plan.swing.mul_add(wave, 1.0) * STEP_MS as f64 / 1e3;
        let count = rate as usize + usize::from(self.rng.f64() < rate.fract());
        (0..count).for_each(|_| self.arrive(now));
        for from in 0..self.plan.boxes {
            for update in self.boxes[from].take_updates() {
                self.announce(from, update, now);
            }
        }
    }

    fn announce(&mut self, from: usize, update: Update, now: u64) {
        let half = self.plan.boxes / 2;
        let is_split = (self.plan.split_ms.0..self.plan.split_ms.1).contains(&now);
        for to in (0..self.plan.boxes).filter(|&to| to != from) {
            let is_cut = is_split && (to < half) != (from < half);
            if !is_cut && self.rng.f64() >= self.plan.loss {
                let delay = self.rng.u64(DELAY_MS) / STEP_MS;
                self.news[delay as usize].push((from, to, update));
            }
        }
    }

    /// Returns the box that a caller sends to; later boxes get more.
    fn draw_box(&mut self) -> usize {
        let (n, most) = (self.plan.boxes, self.plan.unevenness);
        loop {
            let i = self.rng.usize(..n);
            let weight = 1.0 + (most - 1.0) * i as f64 / (n - 1) as f64;
            if self.rng.f64() * most <= weight {
                return i;
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let from = self.draw_box();
        let urgent = self.rng.f64() < URGENT_SHARE;
        let b = &mut self.boxes[from];
        let at = Time::from_millis(now);
        let info = info(b, urgent);
        b.record_request(info.service, at);
        let is_failing = (from as f64) < self.plan.failing * self.plan.boxes as f64;
        let is_shedding = (self.plan.shed_ms.0..self.plan.shed_ms.1).contains(&now) && is_failing;
        let shed = if is_shedding { self.plan.shed } else { 0.0 };
        let mut served = self.rng.f64() >= shed;
        for _ in 0..self.plan.most_retries {
            if served || !b.spend_retry_for(&info, RetryReason::Failed, at) {
                break;
            }
            self.retries.push(Retry { at: now, from, urgent });
            served = self.rng.f64() >= shed;
        }
        self.requests.push(Request { at: now, from, urgent });
    }

    /// Returns the most that the retries of a window use of what the rule allows.
    fn most_used(&self) -> f64 {
        let rule = rule(&self.plan);
        let used = |from: u64| {
            let span = from..from + WINDOW_MS;
            let retries = self.retries.iter().filter(|r| span.contains(&r.at)).count();
            let requests = self.requests.iter().filter(|r| span.contains(&r.at)).count();
            retries as f64 / rule.ratio.mul_add(requests as f64, rule.slack)
        };
        (0..=SECS * 1_000 - WINDOW_MS).step_by(100).map(used).fold(0.0, f64::max)
    }

    /// Returns the share of requests that is served after the first window.
    ///
    /// It is the mean over the random results of the same attempts.
    fn served(&self, is_counted: impl Fn(bool) -> bool) -> f64 {
        let counted = |at, urgent| at >= WINDOW_MS && is_counted(urgent);
        let requests = self.requests.iter().filter(|r| counted(r.at, r.urgent)).count() as f64;
        let retries = self.retries.iter().filter(|r| counted(r.at, r.urgent)).count() as f64;
        (1.0 - self.plan.shed) * (1.0 + retries / requests)
    }
}

/// Returns a request with a target of a second and two seconds left.
fn info(b: &Balancer, urgent: bool) -> RequestInfo {
    RequestInfo {
        service: b.service("s").expect("service is configured"),
        repeatable: true,
        priority: if urgent { 1 } else { 2 },
        large_transfer: false,
        target: Some(Duration::from_secs(1)),
        remaining: Some(Duration::from_secs(2)),
        route: NameId::of("r"),
        regions: None,
    }
}

/// Returns the share of requests that can be served with a budget for each request.
///
/// A share `shed` of all attempts fails, and a request is retried up to `most_retries` times. Any
/// retry succeeds with the same chance, so that only the number of retries matters.
fn exact(shed: f64, budget: f64, most_retries: i32) -> f64 {
    let wanted: f64 = (1..=most_retries).map(|i| shed.powi(i)).sum();
    (1.0 - shed) * (1.0 + wanted.min(budget))
}

/// Returns the budget for each request, with the slack.
fn budget(plan: &Plan) -> f64 {
    let rule = rule(plan);
    rule.ratio + rule.slack / (plan.rate * rule.window.as_secs_f64())
}

/// Without a limit, all but the requests that fail in each attempt are served.
#[test]
fn the_exact_share_agrees_with_simple_cases() {
    assert!((exact(0.5, 9.0, 3) - (1.0 - 0.5_f64.powi(4))).abs() < 1e-9);
    assert!((exact(0.5, 0.2, 3) - 0.6).abs() < 1e-9);
}

/// Guards against a budget that is left unused or used up in the first seconds.
#[rstest]
#[case::heavy(STEADY)]
#[case::light(Plan { shed: 0.2, ..STEADY })]
#[case::total(Plan { shed: 0.8, ..STEADY })]
#[case::few_requests(Plan { rate: 34.0, ..STEADY })]
#[case::uneven(Plan { unevenness: 5.0, ..STEADY })]
#[case::lossy(Plan { loss: 0.3, ..STEADY })]
#[case::one_retry(Plan { most_retries: 1, ..STEADY })]
fn the_budget_serves_nearly_what_it_can(#[case] plan: Plan) {
    let fleet = Fleet::run(plan);
    let can = exact(plan.shed, budget(&plan), plan.most_retries as i32);
    let served = fleet.served(|_| true);
    let gained = (served - (1.0 - plan.shed)) / (can - (1.0 - plan.shed));
    println!("{served:.3} of {can:.3}, gained {gained:.3}, most used {:.3}", fleet.most_used());
    assert!(served >= 0.95 * can, "{served:.3} served where {can:.3} can be");
    // Most requests are served by their first attempt, whatever the budget is used for.
    assert!(gained >= MIN_GAIN, "retries gain {gained:.3} of what the budget allows");
}

/// Guards against exceeding the rule in any window.
#[rstest]
#[case::steady(STEADY)]
#[case::lossy(Plan { loss: 0.5, ..STEADY })]
#[case::few_requests_lossy(Plan { rate: 34.0, loss: 0.5, ..STEADY })]
#[case::waves(Plan { swing: 0.55, ..STEADY })]
#[case::uneven_waves(Plan { swing: 0.55, unevenness: 5.0, loss: 0.2, ..STEADY })]
#[case::split(Plan { split_ms: (14_000, 40_000), ..STEADY })]
#[case::split_uneven(Plan { split_ms: (14_000, 40_000), unevenness: 5.0, ..STEADY })]
#[case::split_then_joined(Plan { split_ms: (14_000, 22_000), ..STEADY })]
#[case::all_restarted(Plan { restart_ms: 18_000, restarted: 1.0, ..STEADY })]
#[case::some_restarted(Plan { restart_ms: 18_000, restarted: 0.4, ..STEADY })]
#[case::few_requests_restarted(Plan { rate: 34.0, restart_ms: 18_000, restarted: 1.0, ..STEADY })]
#[case::burst(Plan { shed: 0.9, shed_ms: (20_000, 28_500), ..STEADY })]
#[case::half_failing(Plan { failing: 0.5, ..STEADY })]
#[case::half_failing_split(Plan { failing: 0.5, split_ms: (14_000, 40_000), ..STEADY })]
fn the_rule_holds_in_every_window(#[case] plan: Plan, #[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let used = Fleet::run(Plan { seed, ..plan }).most_used();
    println!("used {used:.3}");
    assert!(used <= 1.0, "retries are {used:.3} of what the rule allows");
}

/// Guards against serving the less urgent requests of a service better during a shortage.
#[test]
fn urgent_requests_get_the_budget_first() {
    let fleet = Fleet::run(STEADY);
    let urgent = fleet.served(|urgent| urgent);
    let other = fleet.served(|urgent| !urgent);
    // The whole budget for these requests alone would serve `exact` of them.
    let can = exact(STEADY.shed, budget(&STEADY) / URGENT_SHARE, 3);
    println!("urgent {urgent:.3} of {can:.3}, other {other:.3}");
    assert!(urgent >= 0.95 * can, "{urgent:.3} of the urgent served where {can:.3} can be");
    assert!(urgent >= other + 0.15, "{urgent:.3} of the urgent, {other:.3} of the others");
}

/// Guards against a burst of failures that leaves nothing to the following seconds, and against
/// boxes that use the shares of others.
#[test]
fn the_budget_is_spread_over_seconds_and_boxes() {
    let plan = Plan { shed: 0.8, shed_ms: (15_000, 40_000), ..STEADY };
    let fleet = Fleet::run(plan);
    let even = budget(&plan) * plan.rate;
    let in_second = |s: u64| {
        let span = s * 1_000..(s + 1) * 1_000;
        fleet.retries.iter().filter(|r| span.contains(&r.at)).count() as f64 / even
    };
    let seconds: Vec<f64> = (15..40).map(in_second).collect();
    let of_box = |i: usize| fleet.retries.iter().filter(|r| r.from == i).count() as f64;
    let requests = |i: usize| fleet.requests.iter().filter(|r| r.from == i).count() as f64;
    let shares: Vec<f64> = (0..plan.boxes).map(|i| of_box(i) / requests(i)).collect();
    let mean = fleet.retries.len() as f64 / fleet.requests.len() as f64;
    let least = shares.iter().copied().fold(f64::MAX, f64::min) / mean;
    println!("seconds {seconds:.2?}, least box {least:.2} of the mean");
    // The burst at the start is missing at the end of its window.
    let gap = seconds[..12].split(|s| *s >= 0.25).map(<[f64]>::len).max().unwrap_or(0);
    assert!(gap <= 2, "{gap} seconds without retries: {seconds:.2?}");
    assert!(seconds.iter().all(|s| *s < 2.0), "{seconds:.2?}");
    assert!(seconds[12..].iter().all(|s| *s >= 0.25), "{seconds:.2?}");
    assert!(least >= 0.7, "a box got {least:.2} of the mean share");
}

/// Guards against callers that return too late to be served although slots are free, or before
/// the queues have drained.
#[test]
fn a_rejected_caller_returns_by_what_rejected_it() {
    let mut b = new_box(&STEADY, 0, RetryHistory::Empty, 0);
    b.set_upstream(crate::listed("u0", "h", MemberState::Live), Time::ZERO);
    let (info, now) = (info(&b, true), Time::from_millis(100));
    let shed = b.wait_after_rejection(&info, now).expect("an upstream is listed");
    assert!(shed <= Duration::from_millis(250), "{shed:?} of a target of a second");
    let queue = Update::Open { upstream: NameId::of("u0"), count: 9 };
    let _ = b.apply_update(NameId::of("peer"), queue, now);
    let queued = b.wait_after_rejection(&info, now).expect("an upstream is listed");
    assert!(queued > 2 * shed, "{queued:?} behind a queue, {shed:?} with free slots");
    // Idle upstreams that get none of the requests don't shorten the queue.
    b.set_upstream(crate::listed("u1", "other", MemberState::Live), Time::ZERO);
    assert_eq!(b.wait_after_rejection(&info, now), Some(queued), "idle in another data hall");
    b.set_upstream(crate::listed("u2", "h", MemberState::Live), Time::ZERO);
    assert_eq!(b.wait_after_rejection(&info, now), Some(shed), "idle and not suspected");
    for peer in ["peer", "second", "third"] {
        let _ = b.apply_update(NameId::of(peer), crate::failure("u2"), now);
    }
    assert_eq!(b.wait_after_rejection(&info, now), Some(queued), "idle and suspected");
}

/// Guards against callers that return early for upstreams of a region that may not serve them.
#[test]
fn a_rejected_caller_returns_by_the_upstreams_of_its_regions() {
    let halls = [("h".to_owned(), "r0".to_owned()), ("other".to_owned(), "r1".to_owned())];
    let regions = RegionMap::new(&halls.into()).expect("two regions are few");
    let own = regions.set(&["r1".to_owned()]).expect("the region is known");
    let mut b = new_box(&STEADY, 0, RetryHistory::Empty, 0).with_regions(regions);
    b.set_upstream(crate::listed("u0", "h", MemberState::Live), Time::ZERO);
    b.set_upstream(crate::listed("u1", "other", MemberState::Live), Time::ZERO);
    let now = Time::from_millis(100);
    let free = b.wait_after_rejection(&info(&b, true), now).expect("an upstream is listed");
    let queue = Update::Open { upstream: NameId::of("u1"), count: 9 };
    let _ = b.apply_update(NameId::of("peer"), queue, now);
    let info = RequestInfo { regions: Some(own), ..info(&b, true) };
    let queued = b.wait_after_rejection(&info, now).expect("an upstream is listed");
    assert!(queued > 2 * free, "{queued:?} in its own region, {free:?} elsewhere");
}

/// Guards against a change of the budget of services without priorities.
#[test]
fn services_of_one_priority_keep_the_common_budget() {
    let mut b = crate::balancer(1);
    let info = crate::info(&b, true);
    let now = Time::from_millis(100);
    let allowed =
        (0..100).take_while(|_| b.spend_retry_for(&info, RetryReason::Failed, now)).count();
    let mut other = crate::balancer(1);
    let expected =
        (0..100).take_while(|_| other.spend_retry(info.service, RetryReason::Failed, now)).count();
    assert_eq!((allowed, b.take_updates()), (expected, other.take_updates()));
    assert_eq!(b.wait_after_rejection(&info, now), None);
}

/// Returns the number of peers whose shares a box knows.
fn known_shares(b: &Balancer) -> usize {
    format!("{b:?}").matches("PeerShare {").count()
}

/// Guards against state that grows with the boxes of the fleet where nothing reads it.
#[test]
fn shares_of_peers_are_kept_where_the_budget_is_divided() {
    let report = Update::Retry { service: NameId::of("s"), requests: 9, retries: 1 };
    let (mut divided, mut common) =
        (new_box(&STEADY, 0, RetryHistory::Empty, 0), crate::balancer(1));
    for i in 1..=20 {
        let now = Time::from_millis(i * 10);
        let _ = divided.apply_update(NameId(i), report, now);
        let _ = common.apply_update(NameId(i), report, now);
    }
    assert_eq!((known_shares(&divided), known_shares(&common)), (20, 0));
    // Peers that were silent for a window are removed.
    let _ = divided.apply_update(NameId(1), report, Time::from_millis(WINDOW_MS + 1_500));
    assert_eq!(known_shares(&divided), 1);
}
