//! Simulation of a data hall whose boxes all restart while upstreams hold earlier requests.

use honeypulley_policy::balance::{
    Balancer, FleetScope, RetryHistory, RetryReason, RetryRule, Update, UpstreamEntry,
};
use honeypulley_policy::chooser::{LoadReport, RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::{AttemptKey, Outcome, UpstreamKey};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const STEP_MS: u64 = 5;
const SLOTS: usize = 2;
const QUEUE_LEN: usize = 8;
const ROUND_TRIP_MS: u64 = 3;
/// Delay of an announcement, in ms; those about ends are batched for longer.
const OPEN_DELAY_MS: u64 = 15;
const END_DELAY_MS: u64 = 100;
/// Time of the power loss, in ms.
const LOSS_MS: u64 = 6_000;
/// Time after the restart whose requests are counted, in ms.
const COUNTED_MS: u64 = 2_000;

/// Kind of a request.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub priority: u8,
    pub repeatable: bool,
    pub work_ms: f64,
    pub target_ms: u64,
    pub limit_ms: u64,
}

pub const READ: Route =
    Route { priority: 1, repeatable: true, work_ms: 190.0, target_ms: 800, limit_ms: 1_200 };
pub const ORDER: Route =
    Route { priority: 2, repeatable: false, work_ms: 240.0, target_ms: 2_000, limit_ms: 1_500 };

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub boxes: usize,
    pub upstreams: usize,
    /// Requests per second, a third of them reads.
    pub rate: f64,
    /// Load after the restart, relative to that before.
    pub surge: f64,
    /// Time from the loss until the first and the last box are ready, in ms.
    pub ready_ms: (u64, u64),
    /// Time after its start for which a box neither hears nor is heard, in ms.
    pub deaf_ms: u64,
    /// Time after its start in which a box reads no request, in ms.
    pub stalled_ms: u64,
    /// Share of the upstreams that hang from the loss on.
    pub struck: f64,
    /// Share of the upstreams that hang from time to time.
    pub prone: f64,
    /// Time between and duration of hangs, in ms.
    pub gap_ms: f64,
    pub hang_ms: f64,
    pub restarts: bool,
    pub seed: u64,
}

pub const SHOPS: Plan = Plan {
    boxes: 42,
    upstreams: 112,
    rate: 353.0,
    surge: 1.0,
    ready_ms: (700, 1_200),
    deaf_ms: 0,
    stalled_ms: 0,
    struck: 0.0,
    prone: 0.3,
    gap_ms: 9_000.0,
    hang_ms: 5_000.0,
    restarts: true,
    seed: 1,
};

#[derive(Clone, Debug, Default)]
struct Worker {
    hangs: Vec<(u64, u64)>,
    /// End of each request that it holds.
    ends: Vec<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    key: AttemptKey,
    worker: usize,
    began: u64,
    ends: u64,
    outcome: Result<(), Outcome>,
}

#[derive(Clone, Debug)]
struct Request {
    from: usize,
    began: u64,
    route: Route,
    tried: Vec<UpstreamKey>,
    open: Vec<Attempt>,
    next_check: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    refused: usize,
    shed: usize,
    late_hung: usize,
    late_queued: usize,
    hedges: usize,
}

#[derive(Debug)]
struct Hall {
    plan: Plan,
    boxes: Vec<Balancer>,
    ready: Vec<u64>,
    workers: Vec<Worker>,
    news: VecDeque<(u64, usize, Update)>,
    ended_news: VecDeque<(u64, usize, Update)>,
    requests: Vec<Request>,
    /// Requests that boxes have not read yet.
    stalled: Vec<Request>,
    by_name: BTreeMap<String, usize>,
    counts: Counts,
    took: Vec<u64>,
    rng: fastrand::Rng,
}

pub fn new_box(plan: &Plan, seed: u64, history: RetryHistory, now: u64) -> Balancer {
    let at = Time::from_millis(now);
    let rule = RetryRule { ratio: 0.2, slack: 210.0 / 3.0, window: Duration::from_secs(10) };
    let mut b = Balancer::new("h", rule, seed).with_retry_history(history);
    let mut mix = RouteMix::default();
    mix.add(READ.priority, READ.repeatable);
    mix.add(ORDER.priority, ORDER.repeatable);
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], at);
    b.set_fleet_scope(FleetScope { boxes: plan.boxes, in_touch: true });
    for i in 0..plan.upstreams {
        let member = Member {
            name: format!("u{i}"),
            service: "s".to_owned(),
            addr: format!("10.0.0.1:{i}"),
            hall: "h".to_owned(),
            state: MemberState::Live,
        };
        let entry = UpstreamEntry { member, slots: SLOTS, warm_up: Duration::ZERO, started: None };
        b.set_upstream(entry, at);
    }
    b
}

impl Worker {
    fn new(plan: &Plan, until: u64, rng: &mut fastrand::Rng) -> Self {
        let mut hangs = Vec::new();
        if rng.f64() < plan.prone {
            let mut at = 0;
            while at < until {
                at += (-(1.0 - rng.f64()).ln() * plan.gap_ms) as u64;
                let ends = at + (plan.hang_ms * (0.4 + 1.2 * rng.f64())) as u64;
                hangs.push((at, ends));
                at = ends;
            }
        }
        if rng.f64() < plan.struck {
            hangs.push((LOSS_MS - 1_000, LOSS_MS + 5_000));
        }
        Self { hangs, ends: Vec::new() }
    }

    fn is_hanging(&self, now: u64) -> bool {
        self.hangs.iter().any(|&(from, to)| (from..to).contains(&now))
    }

    fn free_at(&self, now: u64) -> u64 {
        let mut ends: Vec<u64> = self.ends.iter().copied().filter(|&e| e > now).collect();
        ends.sort_unstable();
        ends.len().checked_sub(SLOTS).map_or(now, |i| ends[i])
    }
}

impl Hall {
    fn run(plan: Plan) -> Self {
        let until = LOSS_MS + 5_000;
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let mut hall = Self {
            workers: (0..plan.upstreams).map(|_| Worker::new(&plan, until, &mut rng)).collect(),
            boxes: (0..plan.boxes as u64)
                .map(|i| new_box(&plan, i, RetryHistory::Empty, 0))
                .collect(),
            ready: vec![0; plan.boxes],
            news: VecDeque::new(),
            ended_news: VecDeque::new(),
            requests: Vec::new(),
            stalled: Vec::new(),
            by_name: (0..plan.upstreams).map(|i| (format!("u{i}"), i)).collect(),
            counts: Counts::default(),
            took: Vec::new(),
            rng,
            plan,
        };
        let mut due = 0.0;
        for now in (0..until).step_by(STEP_MS as usize) {
            if plan.restarts && now == LOSS_MS {
                hall.restart(now);
            }
            hall.deliver(now);
            for r in std::mem::take(&mut hall.requests) {
                hall.advance(r, now);
            }
            let surge = if now > LOSS_MS { plan.surge } else { 1.0 };
            hall.read_stalled(now);
            due += plan.rate * surge * STEP_MS as f64 / 1e3;
            while due >= 1.0 {
                due -= 1.0;
                hall.arrive(now);
            }
            hall.announce(now);
        }
        hall
    }

    fn restart(&mut self, now: u64) {
        self.requests.clear();
        self.news.clear();
        self.ended_news.clear();
        for i in 0..self.plan.boxes {
            let (first, last) = self.plan.ready_ms;
            self.ready[i] = now + self.rng.u64(first..=last);
            let seed = 1_000 + i as u64;
            self.boxes[i] = new_box(&self.plan, seed, RetryHistory::Unknown, self.ready[i]);
        }
    }

    fn deliver(&mut self, now: u64) {
        let at = Time::from_millis(now);
        for queue in [&mut self.news, &mut self.ended_news] {
            while let Some((_, from, update)) = queue.pop_front_if(|(due, ..)| *due <= now) {
                let sender = NameId(from as u64 + 1);
                for (to, b) in self.boxes.iter_mut().enumerate() {
                    let is_deaf =
                        |i: usize| self.ready[i] > 0 && now < self.ready[i] + self.plan.deaf_ms;
                    if to != from && !is_deaf(to) && !is_deaf(from) {
                        let _ = b.apply_update(sender, update, at);
                    }
                }
            }
        }
    }

    fn announce(&mut self, now: u64) {
        for (from, b) in self.boxes.iter_mut().enumerate() {
            for update in b.take_updates() {
                if update.is_deferrable() {
                    let update = update.with_age(Duration::from_millis(END_DELAY_MS));
                    self.ended_news.push_back((now + END_DELAY_MS, from, update));
                } else {
                    self.news.push_back((now + OPEN_DELAY_MS, from, update));
                }
            }
        }
    }

    fn is_counted(&self, began: u64) -> bool {
        let start = LOSS_MS + self.plan.ready_ms.0;
        (start..start + COUNTED_MS).contains(&began)
    }

    fn arrive(&mut self, now: u64) {
        let ready: Vec<usize> = (0..self.plan.boxes).filter(|&i| self.ready[i] <= now).collect();
        let Some(&from) = self.rng.choice(&ready) else { return };
        let route = if self.rng.f64() < 0.287 { READ } else { ORDER };
        let r = Request {
            from,
            began: now,
            route,
            tried: Vec::new(),
            open: Vec::new(),
            next_check: u64::MAX,
        };
        self.counts.sent += usize::from(self.is_counted(now));
        if self.is_stalled(from, now) {
            self.stalled.push(r);
        } else {
            self.start(r, now);
        }
    }

    fn is_stalled(&self, from: usize, now: u64) -> bool {
        self.ready[from] > 0 && now < self.ready[from] + self.plan.stalled_ms
    }

    /// Starts the requests that have waited at boxes without processor time.
    fn read_stalled(&mut self, now: u64) {
        for r in std::mem::take(&mut self.stalled) {
            if self.is_stalled(r.from, now) {
                self.stalled.push(r);
            } else if now < r.began + r.route.limit_ms {
                self.start(r, now);
            }
        }
    }

    fn start(&mut self, mut r: Request, now: u64) {
        let service = self.boxes[r.from].service("s").expect("service is configured");
        self.boxes[r.from].record_request(service, Time::from_millis(now));
        let is_counted = self.is_counted(r.began);
        if self.send(&mut r, now) {
            self.requests.push(r);
        } else {
            self.counts.refused += usize::from(is_counted);
        }
    }

    fn info(&self, r: &Request, now: u64) -> RequestInfo {
        RequestInfo {
            service: self.boxes[r.from].service("s").expect("service is configured"),
            repeatable: r.route.repeatable,
            priority: r.route.priority,
            large_transfer: false,
            target: Some(Duration::from_millis(r.route.target_ms)),
            remaining: Some(Duration::from_millis(
                (r.began + r.route.limit_ms).saturating_sub(now),
            )),
            route: NameId(u64::from(r.route.priority)),
            regions: None,
        }
    }

    fn send(&mut self, r: &mut Request, now: u64) -> bool {
        let info = self.info(r, now);
        let b = &mut self.boxes[r.from];
        let Ok(pick) = b.pick(&info, &r.tried, Time::from_millis(now)) else { return false };
        let worker = self.by_name[b.endpoint(pick.upstream).expect("upstream is known").name];
        r.tried.push(pick.upstream);
        let (ends, outcome) = self.process(r, worker, now);
        r.open.push(Attempt { key: pick.attempt, worker, began: now, ends, outcome });
        let check = self.boxes[r.from].recheck_delay(&info, Duration::ZERO);
        r.next_check = now + check.as_millis() as u64;
        true
    }

    fn process(&mut self, r: &Request, i: usize, now: u64) -> (u64, Result<(), Outcome>) {
        let w = &mut self.workers[i];
        w.ends.retain(|&e| e > now);
        if w.ends.len() >= SLOTS + QUEUE_LEN {
            return (now + ROUND_TRIP_MS, Err(Outcome::NotRun));
        }
        let limit = r.began + r.route.limit_ms;
        if w.is_hanging(now) && self.rng.f64() < 0.75 {
            w.ends.push(limit.max(now));
            return (limit, Err(Outcome::TimedOut));
        }
        let took = (r.route.work_ms * (0.6 + 0.8 * self.rng.f64())) as u64;
        let ends = w.free_at(now) + took;
        w.ends.push(ends);
        if ends + ROUND_TRIP_MS > limit {
            return (limit, Err(Outcome::TimedOut));
        }
        (ends + ROUND_TRIP_MS, Ok(()))
    }

    fn advance(&mut self, mut r: Request, now: u64) {
        let at = Time::from_millis(now);
        let is_counted = self.is_counted(r.began);
        let open = std::mem::take(&mut r.open);
        let (ended, open): (Vec<Attempt>, Vec<Attempt>) =
            open.into_iter().partition(|a| a.ends <= now);
        r.open = open;
        for a in ended {
            self.end(r.from, &a, at);
            match a.outcome {
                Ok(()) => {
                    for other in &r.open {
                        self.boxes[r.from].finish(other.key, Outcome::Cancelled, at);
                    }
                    self.counts.served += usize::from(is_counted);
                    if is_counted {
                        self.took.push(now - r.began);
                    }
                    return;
                }
                Err(Outcome::NotRun) => {}
                Err(_) if is_counted => {
                    let is_hung = self.workers[a.worker].is_hanging(a.began);
                    self.counts.late_hung += usize::from(is_hung);
                    self.counts.late_queued += usize::from(!is_hung);
                }
                Err(_) => {}
            }
        }
        let is_expired = now >= r.began + r.route.limit_ms;
        if r.open.is_empty() {
            let info = self.info(&r, now);
            let b = &mut self.boxes[r.from];
            if !is_expired
                && r.tried.len() < 4
                && b.can_meet_deadline(&info)
                && b.spend_retry_for(&info, RetryReason::Failed, at)
                && self.send(&mut r, now)
            {
                self.requests.push(r);
            } else if is_counted && !is_expired {
                self.counts.shed += 1;
            }
            return;
        }
        self.check(&mut r, now);
        self.requests.push(r);
    }

    /// Reports attempts in flight and sends a hedge if advised, as the serving path does.
    fn check(&mut self, r: &mut Request, now: u64) {
        if now < r.next_check {
            return;
        }
        let at = Time::from_millis(now);
        let info = self.info(r, now);
        let b = &mut self.boxes[r.from];
        r.open.iter().for_each(|a| b.record_in_flight(a.key, at));
        let newest = *r.open.last().expect("an attempt is open");
        let age = Duration::from_millis(now - newest.began);
        r.next_check = now + (b.recheck_delay(&info, age).as_millis() as u64).max(5);
        let Some(stuck) = b.hedge_value(&info, newest.key, at) else { return };
        if r.route.repeatable
            && r.tried.len() < 3
            && b.can_meet_deadline(&info)
            && b.check_available(&info, &r.tried, at).is_ok()
            && b.spend_retry_for(&info, RetryReason::Overdue { stuck }, at)
            && self.send(r, now)
        {
            self.counts.hedges += 1;
        }
    }

    fn end(&mut self, from: usize, a: &Attempt, at: Time) {
        let busy = self.workers[a.worker].ends.iter().filter(|&&e| e > a.ends).count();
        let b = &mut self.boxes[from];
        let outcome = match a.outcome {
            Ok(()) => {
                b.response_started(a.key, true, at);
                let load = LoadReport::new(busy as f64, SLOTS as f64).ok();
                b.record_signals(a.key, &Signals { load, ..Signals::default() }, at);
                Outcome::Completed
            }
            Err(outcome) => outcome,
        };
        b.finish(a.key, outcome, at);
    }
}

/// Returns the share of the counted requests that were served.
pub fn served(plan: Plan) -> f64 {
    let mut h = Hall::run(plan);
    h.took.sort_unstable();
    let median = h.took.get(h.took.len() / 2).copied().unwrap_or(0);
    let served = h.counts.served as f64 / h.counts.sent as f64;
    println!("served {served:.3}, median {median} ms, {:?}", h.counts);
    served
}
