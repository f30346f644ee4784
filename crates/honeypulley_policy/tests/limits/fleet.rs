//! A fleet in simulated time before one organisation's callers.
//!
//! No sockets, no clock, the same course for a seed.

use crate::ways::{Alone, Batches, Drawn, EqualShare, Hall, HallPart, Limiter, Told};
use honeypulley_policy::balance::{News, Past};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::RateLimit;
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, VecDeque};

/// Least and most time of a datagram, with the turn of a slow box, in ms.
const NEWS_MS: (u64, u64) = (1, 20);
/// Silence after which a box goes by what it knows alone, and by which others count it as gone.
const ALONE_MS: u64 = 1_500;
const SILENT_MS: u64 = 5_000;
/// How much a window may admit.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    pub window_ms: u64,
    /// Times the limit, the burst included where `counts_burst` says so.
    pub times: f64,
    /// Requests beside that.
    pub slack: f64,
    pub counts_burst: bool,
}

/// The users' bound on what an organisation is admitted.
pub const ORGANISATION: Bound =
    Bound { window_ms: 5_000, times: 1.1, slack: 20.0, counts_burst: true };
/// The users' bound on what an upstream gets that names a limit.
pub const UPSTREAM: Bound = Bound { window_ms: 4_000, times: 1.5, slack: 5.0, counts_burst: false };

impl Bound {
    fn allows(&self, l: RateLimit) -> f64 {
        let burst = if self.counts_burst { l.burst } else { 0.0 };
        (l.rate * (self.window_ms as f64 / 1e3) + burst).mul_add(self.times, self.slack)
    }
}
/// Length of a course, in ms.
const LENGTH_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoxId(pub usize);

/// What one box tells another.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub from: BoxId,
    pub to: BoxId,
    pub news: News,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Told,
    EqualShare,
    Batches,
    /// Each box for itself.
    Alone,
    /// The boxes of one data hall, each admission told there; the others leave it.
    OneHall,
    /// The boxes of each data hall keep to its share, each admission told there.
    HallShares,
    /// Some boxes drawn by hashing have a share each; the others leave it.
    Drawn,
}

/// From when to when, in ms.
pub type Span = (u64, u64);

/// What a fleet is and what troubles it.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub way: Way,
    pub bound: Bound,
    pub boxes: usize,
    pub halls: usize,
    pub limit: RateLimit,
    /// Requests a second in calm, and how many times that they are in `hot`.
    pub usual: f64,
    pub times: f64,
    pub hot: Span,
    /// Share of datagrams that are lost.
    pub lost: f64,
    /// Share of the boxes that hear nobody and are not heard, and when.
    pub cut: (f64, Span),
    /// Share of the boxes that are killed, and when; they are back half a second later.
    pub killed: (f64, u64),
    /// Limit from a moment on.
    pub lowered: Option<(u64, RateLimit)>,
    /// Share of the requests that the first tenth of the boxes gets.
    pub skew: f64,
    /// Share of the requests that the first data hall gets, if it isn't an even one.
    pub home: Option<f64>,
    pub seed: u64,
}

/// What came of a course.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most that any window admitted, over what it may.
    pub worst: f64,
    /// Admitted, over what one bucket before all boxes would have admitted.
    pub used: f64,
    /// Datagrams heard a box and second.
    pub datagrams: f64,
}

/// Who there is and who hears whom.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    ids: Vec<NameId>,
    /// When each box last heard anybody, and was last there.
    heard: Vec<u64>,
    cut: Vec<bool>,
    now_ms: u64,
}

impl Fleet {
    pub fn boxes(&self) -> usize {
        self.plan.boxes
    }

    pub fn halls(&self) -> usize {
        self.plan.halls
    }

    fn hall(&self, b: BoxId) -> usize {
        b.0 % self.plan.halls
    }

    pub fn hall_name(&self, b: BoxId) -> String {
        format!("hall-{}", self.hall(b))
    }

    pub fn is_home(&self, b: BoxId) -> bool {
        self.hall(b) == 0
    }

    pub fn id(&self, b: BoxId) -> NameId {
        self.ids[b.0]
    }

    pub fn hall_mates(&self, b: BoxId) -> Box<dyn Iterator<Item = BoxId> + '_> {
        let mates = (self.hall(b)..self.plan.boxes).step_by(self.plan.halls).map(BoxId);
        Box::new(mates.filter(move |&x| x != b))
    }

    pub fn others(&self, b: BoxId) -> Box<dyn Iterator<Item = BoxId> + '_> {
        Box::new((0..self.plan.boxes).map(BoxId).filter(move |&x| x != b))
    }

    pub fn is_alone(&self, b: BoxId, _: Time) -> bool {
        self.cut[b.0] && self.now_ms > self.heard[b.0] + ALONE_MS
    }

    /// Returns the turn of a box in telling the other halls, by who is known to be there.
    pub fn teller_rank(&self, b: BoxId, _: Time) -> Option<usize> {
        let key = |x: BoxId| {
            let silent =
                self.cut[x.0] != self.cut[b.0] && self.now_ms > self.heard[x.0] + SILENT_MS;
            (silent, weight(self.id(x).0, 7), x)
        };
        let rank = self.hall_mates(b).filter(|&x| key(x) < key(b)).count();
        (rank < 2).then_some(rank)
    }

    /// Returns the box that keeps the organisation's tokens; a silent one is replaced.
    pub fn home(&self, _: Time) -> BoxId {
        let is_there = |x: &usize| !self.cut[*x] || self.now_ms < self.heard[*x] + SILENT_MS;
        let best = (0..self.plan.boxes).filter(is_there).max_by_key(|&x| weight(self.ids[x].0, 7));
        BoxId(best.unwrap_or(0))
    }
}

fn limiter(fleet: &Fleet, b: BoxId, limit: RateLimit, past: Past) -> Box<dyn Limiter> {
    match fleet.plan.way {
        Way::Told => Box::new(Told::new(b, fleet, limit, past, Time::from_millis(fleet.now_ms))),
        Way::EqualShare => Box::new(EqualShare::new(fleet, limit)),
        Way::Batches => Box::new(Batches::new(b, limit)),
        Way::Alone => Box::new(Alone::new(limit)),
        Way::OneHall | Way::HallShares => {
            let hall = fleet.hall(b);
            let part = match (fleet.plan.way, hall) {
                (Way::HallShares, hall) => part_of(limit.rate, hall, fleet.plan.halls),
                (_, 0) => 1.0,
                _ => 0.0,
            };
            let now = Time::from_millis(fleet.now_ms);
            Box::new(Hall::new(b, fleet, HallPart { limit, part }, past, now))
        }
        Way::Drawn => Box::new(Drawn::new(b, fleet, limit)),
    }
}

/// Returns the part of a limit that a data hall has where several have one.
fn part_of(rate: f64, hall: usize, halls: usize) -> f64 {
    const LEAST_RATE: f64 = 0.5;
    const MOST_HALLS: usize = 4;
    let sharing = ((rate / LEAST_RATE) as usize).clamp(1, MOST_HALLS).min(halls);
    if hall < sharing { 1.0 / sharing as f64 } else { 0.0 }
}

/// Plays a course.
pub fn play(plan: Plan) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let ids = (0..plan.boxes).map(|i| NameId::of(&format!("box{i}"))).collect();
    let n = plan.boxes;
    let mut fleet = Fleet { plan, ids, heard: vec![0; n], cut: vec![false; n], now_ms: 0 };
    let mut boxes: Vec<Box<dyn Limiter>> =
        (0..n).map(|i| limiter(&fleet, BoxId(i), plan.limit, Past::Empty)).collect();
    let mut limit = plan.limit;
    let mut ideal = (limit.burst, 0.0_f64);
    let mut admitted: Vec<u64> = Vec::new();
    let mut way: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
    let mut down_until = vec![0; n];
    let (mut ideal_sum, mut datagrams) = (0.0, 0_u64);
    for ms in 0..LENGTH_MS {
        fleet.now_ms = ms;
        let now = Time::from_millis(ms);
        let (share, (from, to)) = plan.cut;
        let is_cut = ms >= from && ms < to;
        for i in 0..n {
            fleet.cut[i] = is_cut && (i as f64) < share * n as f64;
            if !fleet.cut[i] {
                fleet.heard[i] = ms;
            }
        }
        if plan.killed.0 > 0.0 && ms == plan.killed.1 {
            for i in (0..n).filter(|&i| (i as f64) < plan.killed.0 * n as f64) {
                boxes[i] = limiter(&fleet, BoxId(i), limit, Past::Unknown);
                down_until[i] = ms + 500;
            }
        }
        if let Some((at, lower)) = plan.lowered
            && at == ms
        {
            limit = lower;
            boxes.iter_mut().for_each(|b| b.set(lower));
        }
        let mut out = Vec::new();
        for m in way.remove(&ms).unwrap_or_default() {
            let crosses = fleet.cut[m.from.0] || fleet.cut[m.to.0];
            if crosses || down_until[m.to.0] > ms || rng.f64() < plan.lost {
                continue;
            }
            datagrams += 1;
            boxes[m.to.0].heard(&fleet, &m, now, &mut out);
        }
        let is_hot = ms >= plan.hot.0 && ms < plan.hot.1;
        let rate = plan.usual * if is_hot { plan.times } else { 1.0 };
        ideal.0 = (ideal.0 + limit.rate / 1e3).min(limit.burst);
        for _ in 0..arrivals(rate / 1e3, &mut rng) {
            if ideal.0 >= 1.0 {
                ideal.0 -= 1.0;
                ideal_sum += 1.0;
            }
            let few = (n / 10).max(1);
            let i = match plan.home {
                Some(home) => at_home(plan, home, &mut rng),
                None if rng.f64() < plan.skew => rng.usize(..few),
                None => rng.usize(..n),
            };
            if down_until[i] <= ms && boxes[i].admit(&fleet, now, &mut out) {
                admitted.push(ms);
            }
        }
        for m in out {
            let at = ms + rng.u64(NEWS_MS.0..=NEWS_MS.1);
            way.entry(at).or_default().push(m);
        }
    }
    Outcome {
        worst: worst(&admitted, plan),
        used: admitted.len() as f64 / f64::max(ideal_sum, 1.0),
        datagrams: datagrams as f64 / n as f64 / (LENGTH_MS as f64 / 1e3),
    }
}

/// Draws the box that a request comes to, by the part of them that the first hall gets.
fn at_home(plan: Plan, home: f64, rng: &mut fastrand::Rng) -> usize {
    let is_home = plan.halls < 2 || rng.f64() < home;
    let mut draw = || rng.usize(..plan.boxes);
    std::iter::repeat_with(&mut draw)
        .find(|i| (i % plan.halls == 0) == is_home)
        .expect("each hall has boxes")
}

/// Draws how many arrive within a step.
fn arrivals(mean: f64, rng: &mut fastrand::Rng) -> usize {
    let (mut n, mut p, floor) = (0, rng.f64(), (-mean).exp());
    while p > floor {
        p *= rng.f64();
        n += 1;
    }
    n
}

/// Returns the most that any window admitted, over what it may.
///
/// A limit that is lowered binds one window after the boxes have it.
fn worst(admitted: &[u64], plan: Plan) -> f64 {
    let bound = plan.bound;
    let mut window = VecDeque::new();
    let mut worst = 0.0_f64;
    for &ms in admitted {
        window.push_back(ms);
        while window.front().is_some_and(|&t| t + bound.window_ms <= ms) {
            window.pop_front();
        }
        let lowered = plan.lowered.filter(|(at, _)| ms >= at + bound.window_ms);
        let limit = lowered.map_or(plan.limit, |(_, l)| l);
        worst = worst.max(window.len() as f64 / bound.allows(limit));
    }
    worst
}
