//! Simulation of the boxes and upstreams of a fleet whose routes differ in priority.
//!
//! It uses no sockets and no clock, so a seed always gives the same result.

use crate::plan::{Kind, Plan};
use honeypulley_policy::balance::{
    Balancer, FleetScope, PriorityRule, RetryHistory, RetryReason, RetryRule, Update, UpstreamEntry,
};
use honeypulley_policy::chooser::{LoadReport, RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::ranks::{PriorityRanks, RequestPriority};
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::{AttemptKey, Outcome, UpstreamKey};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Step of the simulated time, in ms.
const STEP_MS: u64 = 5;
/// Delay of updates within a data hall, and further delay between data halls, in ms.
const DELAY_MS: (u64, u64) = (15, 5);
/// Time for which updates about finished attempts are batched, in ms.
const BATCH_MS: u64 = 100;
const ROUND_TRIP_MS: u64 = 3;
/// Running and queued requests beyond which an upstream rejects.
const MOST: usize = SLOTS + 8;
pub const SLOTS: usize = 2;
const MAX_ATTEMPTS: usize = 3;

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub kind: usize,
    pub began: u64,
    /// Latency, if it was served.
    pub took: Option<u64>,
}

#[derive(Debug)]
struct Open {
    kind: usize,
    from: usize,
    began: u64,
    tried: Vec<usize>,
    key: AttemptKey,
    ends: u64,
    end: Option<Outcome>,
}

#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    boxes: Vec<Balancer>,
    keys: Vec<Vec<UpstreamKey>>,
    /// Ends of the requests at each upstream.
    work: Vec<Vec<u64>>,
    updates: VecDeque<(u64, usize, usize, Vec<Update>)>,
    batched: Vec<Vec<(u64, Update)>>,
    open: Vec<Open>,
    rng: fastrand::Rng,
    pub ended: Vec<Ended>,
    /// Sampled level in force of each box, by time.
    pub levels: Vec<(u64, Vec<u16>)>,
    /// Number of announced levels.
    pub announced: usize,
    /// Samples of the number of slots in use.
    pub used: Vec<(u64, usize)>,
}

pub fn simulate(plan: Plan) -> Fleet {
    let mut fleet = Fleet::new(plan);
    let mut due = vec![0.0_f64; plan.kinds.len()];
    for now in (0..plan.until).step_by(STEP_MS as usize) {
        fleet.step(now);
        for (kind, k) in plan.kinds.iter().enumerate() {
            due[kind] += plan.load(now) * k.rate * STEP_MS as f64 / 1e3;
            while due[kind] >= 1.0 {
                due[kind] -= 1.0;
                fleet.arrive(kind, now);
            }
        }
    }
    fleet
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let boxes = plan.halls * plan.boxes;
        Self {
            boxes: (0..boxes).map(|i| new_box(&plan, i)).collect(),
            keys: vec![vec![UpstreamKey::default(); plan.halls * plan.upstreams]; boxes],
            work: vec![Vec::new(); plan.halls * plan.upstreams],
            updates: VecDeque::new(),
            batched: vec![Vec::new(); boxes],
            open: Vec::new(),
            rng: fastrand::Rng::with_seed(plan.seed),
            ended: Vec::new(),
            levels: Vec::new(),
            announced: 0,
            used: Vec::new(),
            plan,
        }
    }

    fn arrive(&mut self, kind: usize, now: u64) {
        // The first data hall gets more callers in a skewed plan.
        let is_skewed = self.rng.f64() < self.plan.skew;
        let hall = if is_skewed { 0 } else { self.rng.usize(..self.plan.halls) };
        let hall = self.plan.kinds[kind].hall.unwrap_or(hall);
        let from = hall * self.plan.boxes + self.rng.usize(..self.plan.boxes);
        if self.plan.is_frozen(from, now) {
            return;
        }
        let b = &mut self.boxes[from];
        let service = b.service("s").expect("service is configured");
        b.record_request(service, Time::from_millis(now));
        let r = Open {
            kind,
            from,
            began: now,
            tried: Vec::new(),
            key: AttemptKey::default(),
            ends: 0,
            end: None,
        };
        self.send(r, now);
    }

    fn info(&self, r: &Open, now: u64) -> RequestInfo {
        let k: &Kind = &self.plan.kinds[r.kind];
        RequestInfo {
            service: self.boxes[r.from].service("s").expect("service is configured"),
            repeatable: k.repeatable,
            priority: k.priority,
            large_transfer: false,
            target: Some(Duration::from_millis(k.target)),
            remaining: Some(Duration::from_millis((r.began + k.limit).saturating_sub(now))),
            route: NameId(r.kind as u64 + 1),
            regions: None,
        }
    }

    fn send(&mut self, mut r: Open, now: u64) {
        let info = self.info(&r, now);
        let tried: Vec<UpstreamKey> = r.tried.iter().map(|&i| self.keys[r.from][i]).collect();
        let b = &mut self.boxes[r.from];
        let Ok(pick) = b.pick(&info, &tried, Time::from_millis(now)) else {
            self.finish(&r, None);
            return;
        };
        let name = b.endpoint(pick.upstream).expect("upstream is known").name;
        let i: usize = name[1..].parse().expect("names are numbered");
        self.keys[r.from][i] = pick.upstream;
        r.tried.push(i);
        r.key = pick.attempt;
        (r.ends, r.end) = self.process(&r, i, now);
        self.open.push(r);
    }

    fn finish(&mut self, r: &Open, took: Option<u64>) {
        self.ended.push(Ended { kind: r.kind, began: r.began, took });
    }

    /// Lets an upstream process a request; returns when and how the attempt ends.
    fn process(&mut self, r: &Open, i: usize, now: u64) -> (u64, Option<Outcome>) {
        let k = &self.plan.kinds[r.kind];
        let gives_up = r.began + k.limit;
        if self.plan.is_down(i, now) {
            return (now + ROUND_TRIP_MS, Some(Outcome::Refused));
        }
        let w = &mut self.work[i];
        w.retain(|&e| e > now);
        if w.len() >= MOST || self.rng.f64() < self.plan.shed_share(now) {
            return (now + ROUND_TRIP_MS, Some(Outcome::NotRun));
        }
        if self.plan.hangs(i, now) && self.rng.f64() < 0.75 {
            w.push(gives_up);
            return (gives_up, Some(Outcome::TimedOut));
        }
        w.sort_unstable();
        let free = w.len().checked_sub(SLOTS).map_or(now, |n| w[n]);
        let long = if self.rng.f64() < 0.03 { 2.5 } else { 1.0 };
        let ends = free + (k.work * (0.6 + 0.8 * self.rng.f64()) * long) as u64;
        w.push(ends);
        let answered = ends + ROUND_TRIP_MS;
        // The upstream finishes the work also if the caller has gone.
        if answered > gives_up { (gives_up, Some(Outcome::TimedOut)) } else { (answered, None) }
    }

    fn step(&mut self, now: u64) {
        let at = Time::from_millis(now);
        self.deliver(now);
        self.announce_planned(now);
        for r in std::mem::take(&mut self.open) {
            self.advance(r, now);
        }
        for from in 0..self.boxes.len() {
            let fresh = self.boxes[from].take_updates();
            let is_level = |u: &&Update| matches!(u, Update::Pressure { .. });
            self.announced += fresh.iter().filter(is_level).count();
            let batched = &mut self.batched[from];
            batched.extend(fresh.into_iter().map(|u| (now, u)));
            let waits = batched.first().is_none_or(|&(at, _)| now < at + BATCH_MS);
            if waits && batched.iter().all(|(_, u)| u.is_deferrable()) {
                continue;
            }
            let aged = |(at, u): (u64, Update)| u.with_age(Duration::from_millis(now - at));
            let batch: Vec<Update> = batched.drain(..).map(aged).collect();
            self.broadcast(from, &batch, now);
        }
        if now.is_multiple_of(50) {
            let level = |b: &Balancer| {
                let service = b.service("s").expect("service is configured");
                b.admission(service, at).map_or(0, |s| s.level)
            };
            self.levels.push((now, self.boxes.iter().map(level).collect()));
            let busy = |w: &Vec<u64>| w.iter().filter(|&&e| e > now).count().min(SLOTS);
            self.used.push((now, self.work.iter().map(busy).sum()));
        }
    }

    fn broadcast(&mut self, from: usize, batch: &[Update], now: u64) {
        for to in (0..self.boxes.len()).filter(|&to| to != from) {
            let is_near = to / self.plan.boxes == from / self.plan.boxes;
            let kept = |u: &&Update| {
                (is_near || !u.is_for_hall())
                    && (self.plan.announces || !matches!(u, Update::Pressure { .. }))
            };
            let sent: Vec<Update> = batch.iter().filter(kept).copied().collect();
            let is_lost = self.rng.f64() < self.plan.loss || self.plan.is_cut(from, to, now);
            if !is_lost && !sent.is_empty() {
                let far = if is_near { 0 } else { DELAY_MS.1 };
                self.updates.push_back((now + DELAY_MS.0 + far, from, to, sent));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let at = Time::from_millis(now);
        for (due, from, to, sent) in std::mem::take(&mut self.updates) {
            if due > now || self.plan.is_frozen(to, now) {
                self.updates.push_back((due, from, to, sent));
                continue;
            }
            let sender = NameId(from as u64 + 1);
            sent.into_iter().for_each(|u| drop(self.boxes[to].apply_update(sender, u, at)));
        }
    }

    /// Lets three boxes outside of the simulated fleet announce the planned level to all.
    fn announce_planned(&mut self, now: u64) {
        let level = self.plan.announced_level(now).filter(|_| now.is_multiple_of(200));
        let Some(level) = level else { return };
        let update = Update::Pressure { service: NameId::of("s"), level: level.to_thousandths() };
        for b in &mut self.boxes {
            for from in ["x1", "x2", "x3"].map(NameId::of) {
                b.apply_update(from, update, Time::from_millis(now));
            }
        }
    }

    /// Ends a request that is due, or retries it as the serving path does.
    fn advance(&mut self, mut r: Open, now: u64) {
        let at = Time::from_millis(now);
        let i = *r.tried.last().expect("an open request was sent");
        if self.plan.is_down(i, now) && r.end != Some(Outcome::Refused) {
            (r.ends, r.end) = (now, Some(Outcome::Failed));
        }
        if r.ends > now || self.plan.is_frozen(r.from, now) {
            self.boxes[r.from].record_in_flight(r.key, at);
            self.open.push(r);
            return;
        }
        let busy = self.work[i].iter().filter(|&&e| e > now).count() as f64;
        let b = &mut self.boxes[r.from];
        if r.end.is_none() {
            let load = LoadReport::new(busy + 1.0, SLOTS as f64).ok();
            b.record_signals(r.key, &Signals { load, ..Signals::default() }, at);
            b.response_started(r.key, true, at);
        }
        b.finish(r.key, r.end.unwrap_or(Outcome::Completed), at);
        if r.end.is_none() {
            self.finish(&r, Some(now - r.began));
            return;
        }
        let info = self.info(&r, now);
        let b = &mut self.boxes[r.from];
        let is_free = r.end == Some(Outcome::Refused);
        let is_safe = is_free || info.repeatable || r.end == Some(Outcome::NotRun);
        let may_retry = is_safe
            && r.tried.len() < MAX_ATTEMPTS
            && b.can_meet_deadline(&info)
            && (is_free || b.spend_retry(info.service, RetryReason::Failed, at));
        if may_retry { self.send(r, now) } else { self.finish(&r, None) }
    }
}

fn new_box(plan: &Plan, i: usize) -> Balancer {
    let boxes = plan.halls * plan.boxes;
    let slack = 1.5 * boxes as f64;
    let rule = RetryRule { ratio: 0.2, slack, window: Duration::from_secs(10) };
    let hall = |h: usize| format!("h{h}");
    let mut b = Balancer::new(&hall(i / plan.boxes), rule, i as u64 + 100 * plan.seed)
        .with_retry_history(RetryHistory::Empty)
        .with_priority_rule(PriorityRule { floor: plan.floor });
    let mut mix = RouteMix::default();
    let ranked = plan.kinds.iter().filter(|_| plan.is_ranked);
    ranked.for_each(|k| mix.add(k.priority, k.repeatable));
    let pairs = plan.ranked.iter().map(|&(first, route)| RequestPriority::new(Some(first), route));
    mix.set_ranks(&PriorityRanks::new(pairs));
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], Time::ZERO);
    b.set_fleet_scope(FleetScope { boxes, in_touch: true });
    let halls: BTreeMap<NameId, usize> =
        (0..plan.halls).map(|h| (NameId::of(&hall(h)), plan.boxes)).collect();
    b.set_halls(&halls, false);
    for u in 0..plan.halls * plan.upstreams {
        let member = Member {
            name: format!("u{u}"),
            service: "s".to_owned(),
            addr: format!("10.0.0.1:{u}"),
            hall: hall(u / plan.upstreams),
            state: MemberState::Live,
        };
        let entry = UpstreamEntry { member, slots: SLOTS, warm_up: Duration::ZERO, started: None };
        b.set_upstream(entry, Time::ZERO);
    }
    b
}
