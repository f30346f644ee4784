//! Simulates a fleet that receives the requests of one organisation.
//!
//! The simulation uses neither sockets nor clocks and is deterministic for a given seed.

use crate::ways::{Alone, Batches, Drawn, EqualShare, Hall, HallShare, Limiter, Told};
use honeypulley_policy::balance::{RetryHistory, Update};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::RateLimit;
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, VecDeque};

/// Minimum and maximum delay of a datagram in ms, with processing on a slow box.
const DELAY_MS: (u64, u64) = (1, 20);
/// Silence in ms after which a box considers itself isolated.
const ISOLATED_MS: u64 = 1_500;
/// Silence in ms after which the others consider a box to be gone.
const GONE_MS: u64 = 5_000;

/// Upper bound on the requests admitted within a window.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    pub window_ms: u64,
    /// Factor applied to the limit, and to the burst if `counts_burst` is set.
    pub factor: f64,
    /// Requests allowed in addition.
    pub slack: f64,
    pub includes_burst: bool,
}

/// Required bound for organisations.
pub const ORGANISATION: Bound =
    Bound { window_ms: 5_000, factor: 1.1, slack: 20.0, includes_burst: true };
/// Required bound for upstreams that advertise a limit.
pub const UPSTREAM: Bound =
    Bound { window_ms: 4_000, factor: 1.5, slack: 5.0, includes_burst: false };

/// Required bound for upstreams that warm up.
pub const WARM_UP: Bound =
    Bound { window_ms: 1_000, factor: 1.5, slack: 8.0, includes_burst: false };

impl Bound {
    fn allows(&self, l: RateLimit) -> f64 {
        let burst = if self.includes_burst { l.burst } else { 0.0 };
        (l.rate * (self.window_ms as f64 / 1e3) + burst).mul_add(self.factor, self.slack)
    }
}

/// Duration of a simulated run, in ms.
const RUN_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoxId(pub usize);

/// A message between two boxes.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub from: BoxId,
    pub to: BoxId,
    pub update: Update,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Boxes announce admissions in their hall, and halls exchange cumulative counts.
    Told,
    /// The same, with a reserve for more urgent requests.
    Ranked,
    /// Each box admits an equal share.
    EqualShare,
    /// One box hands out tokens in batches.
    Batches,
    /// Each box admits the whole limit on its own.
    Alone,
    /// Only the boxes of one data hall admit requests, and announce them to each other.
    OneHall,
    /// Each data hall has a share, and its boxes announce admissions to each other.
    HallShares,
    /// A few boxes chosen by hashing have a share each, and the others admit nothing.
    Drawn,
}

/// Start and end of a time span, in ms.
pub type Span = (u64, u64);

/// Parameters of a simulated run: the fleet, the load and the faults.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub strategy: Strategy,
    pub bound: Bound,
    pub boxes: usize,
    pub halls: usize,
    pub limit: RateLimit,
    /// Usual load in requests per second.
    pub usual: f64,
    /// Factor applied to the load during `hot`.
    pub times: f64,
    /// Time span of the increased load.
    pub hot: Span,
    /// Share of datagrams that are lost.
    pub lost: f64,
    /// Share of the boxes that are isolated, and when.
    pub cut: (f64, Span),
    /// Share of the boxes that are killed, and when; they restart after 0.5 s.
    pub killed: (f64, u64),
    /// New limit, and the time from which it applies.
    pub lowered: Option<(u64, RateLimit)>,
    /// Share of the requests that arrive at the first tenth of the boxes.
    pub skew: f64,
    /// Share of the requests that arrive in the first data hall, if not even.
    pub home: Option<f64>,
    /// Weights of the priorities 0, 1 and 2, if the requests differ in priority.
    pub mix: Option<[f64; 3]>,
    /// Whether each box gets requests of one priority only.
    pub sorted: bool,
    pub seed: u64,
}

/// Result of a simulated run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Maximum of admitted requests over allowed ones, over all windows.
    pub worst: f64,
    /// Admitted requests relative to a single ideal token bucket.
    pub used: f64,
    /// Datagrams received per box and second.
    pub datagrams: f64,
    /// Requests by priority while the load was increased.
    pub asked: [u32; 3],
    /// Those that were admitted.
    pub admitted: [u32; 3],
    /// Requests that were rejected during the whole run.
    pub rejected: u32,
}

/// Topology and connectivity of the simulated fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    ids: Vec<NameId>,
    /// Time at which each box was last connected.
    connected_at: Vec<u64>,
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

    pub fn is_first_hall(&self, b: BoxId) -> bool {
        self.hall(b) == 0
    }

    pub fn id(&self, b: BoxId) -> NameId {
        self.ids[b.0]
    }

    pub fn hall_peers(&self, b: BoxId) -> Box<dyn Iterator<Item = BoxId> + '_> {
        let peers = (self.hall(b)..self.plan.boxes).step_by(self.plan.halls).map(BoxId);
        Box::new(peers.filter(move |&x| x != b))
    }

    pub fn others(&self, b: BoxId) -> Box<dyn Iterator<Item = BoxId> + '_> {
        Box::new((0..self.plan.boxes).map(BoxId).filter(move |&x| x != b))
    }

    pub fn is_isolated(&self, b: BoxId, _: Time) -> bool {
        self.cut[b.0] && self.now_ms > self.connected_at[b.0] + ISOLATED_MS
    }

    /// Returns a box's rank among its hall's announcers, if it is one of the first two.
    pub fn announcer_rank(&self, b: BoxId, _: Time) -> Option<usize> {
        let key = |x: BoxId| {
            let silent =
                self.cut[x.0] != self.cut[b.0] && self.now_ms > self.connected_at[x.0] + GONE_MS;
            (silent, weight(self.id(x).0, 7), x)
        };
        let rank = self.hall_peers(b).filter(|&x| key(x) < key(b)).count();
        (rank < 2).then_some(rank)
    }

    /// Returns the box that holds the organisation's tokens; a silent one is replaced.
    pub fn token_holder(&self, _: Time) -> BoxId {
        let is_there = |x: &usize| !self.cut[*x] || self.now_ms < self.connected_at[*x] + GONE_MS;
        let best = (0..self.plan.boxes).filter(is_there).max_by_key(|&x| weight(self.ids[x].0, 7));
        BoxId(best.unwrap_or(0))
    }
}

fn limiter(fleet: &Fleet, b: BoxId, limit: RateLimit, past: RetryHistory) -> Box<dyn Limiter> {
    match fleet.plan.strategy {
        Strategy::Told => {
            Box::new(Told::new(b, fleet, limit, past, Time::from_millis(fleet.now_ms)))
        }
        Strategy::Ranked => {
            let now = Time::from_millis(fleet.now_ms);
            Box::new(Told::new(b, fleet, limit, past, now).ranked())
        }
        Strategy::EqualShare => Box::new(EqualShare::new(fleet, limit)),
        Strategy::Batches => Box::new(Batches::new(b, limit)),
        Strategy::Alone => Box::new(Alone::new(limit)),
        Strategy::OneHall | Strategy::HallShares => {
            let hall = fleet.hall(b);
            let share = match (fleet.plan.strategy, hall) {
                (Strategy::HallShares, hall) => hall_share(limit.rate, hall, fleet.plan.halls),
                (_, 0) => 1.0,
                _ => 0.0,
            };
            let now = Time::from_millis(fleet.now_ms);
            Box::new(Hall::new(b, fleet, HallShare { limit, share }, past, now))
        }
        Strategy::Drawn => Box::new(Drawn::new(b, fleet, limit)),
    }
}

/// Returns a data hall's share of a limit if several halls admit requests.
fn hall_share(rate: f64, hall: usize, halls: usize) -> f64 {
    const LEAST_RATE: f64 = 0.5;
    const MOST_HALLS: usize = 4;
    let sharing = ((rate / LEAST_RATE) as usize).clamp(1, MOST_HALLS).min(halls);
    if hall < sharing { 1.0 / sharing as f64 } else { 0.0 }
}

/// State of a simulated run.
struct Run {
    plan: Plan,
    rng: fastrand::Rng,
    fleet: Fleet,
    boxes: Vec<Box<dyn Limiter>>,
    limit: RateLimit,
    /// Tokens of a single ideal bucket.
    ideal: f64,
    ideal_sum: f64,
    /// Times of the admitted requests.
    admitted: Vec<u64>,
    in_transit: BTreeMap<u64, Vec<Message>>,
    down_until: Vec<u64>,
    datagrams: u64,
    asked: [u32; 3],
    taken: [u32; 3],
    rejected: u32,
}

/// Runs a simulation.
pub fn simulate(plan: Plan) -> Outcome {
    let mut run = Run::new(plan);
    for ms in 0..RUN_MS {
        run.step(ms);
    }
    run.outcome()
}

impl Run {
    fn new(plan: Plan) -> Self {
        let n = plan.boxes;
        let ids = (0..n).map(|i| NameId::of(&format!("box{i}"))).collect();
        let fleet = Fleet { plan, ids, connected_at: vec![0; n], cut: vec![false; n], now_ms: 0 };
        let boxes =
            (0..n).map(|i| limiter(&fleet, BoxId(i), plan.limit, RetryHistory::Empty)).collect();
        Self {
            plan,
            rng: fastrand::Rng::with_seed(plan.seed),
            fleet,
            boxes,
            limit: plan.limit,
            ideal: plan.limit.burst,
            ideal_sum: 0.0,
            admitted: Vec::new(),
            in_transit: BTreeMap::new(),
            down_until: vec![0; n],
            datagrams: 0,
            asked: [0; 3],
            taken: [0; 3],
            rejected: 0,
        }
    }

    /// Simulates one millisecond.
    fn step(&mut self, ms: u64) {
        self.fleet.now_ms = ms;
        self.apply_faults(ms);
        let mut out = Vec::new();
        self.deliver(ms, &mut out);
        let is_hot = ms >= self.plan.hot.0 && ms < self.plan.hot.1;
        let rate = self.plan.usual * if is_hot { self.plan.times } else { 1.0 };
        self.ideal = (self.ideal + self.limit.rate / 1e3).min(self.limit.burst);
        for _ in 0..arrivals(rate / 1e3, &mut self.rng) {
            self.request(ms, is_hot, &mut out);
        }
        for m in out {
            let at = ms + self.rng.u64(DELAY_MS.0..=DELAY_MS.1);
            self.in_transit.entry(at).or_default().push(m);
        }
    }

    /// Isolates, kills and restarts boxes, and lowers the limit, as planned.
    fn apply_faults(&mut self, ms: u64) {
        let (plan, n) = (self.plan, self.plan.boxes);
        let (share, (from, to)) = plan.cut;
        let is_cut = ms >= from && ms < to;
        for i in 0..n {
            self.fleet.cut[i] = is_cut && (i as f64) < share * n as f64;
            if !self.fleet.cut[i] {
                self.fleet.connected_at[i] = ms;
            }
        }
        if plan.killed.0 > 0.0 && ms == plan.killed.1 {
            for i in (0..n).filter(|&i| (i as f64) < plan.killed.0 * n as f64) {
                self.boxes[i] = limiter(&self.fleet, BoxId(i), self.limit, RetryHistory::Unknown);
                self.down_until[i] = ms + 500;
            }
        }
        if let Some((at, lower)) = plan.lowered
            && at == ms
        {
            self.limit = lower;
            self.boxes.iter_mut().for_each(|b| b.set(lower));
        }
    }

    /// Delivers the messages that arrive now, unless they are lost.
    fn deliver(&mut self, ms: u64, out: &mut Vec<Message>) {
        for m in self.in_transit.remove(&ms).unwrap_or_default() {
            let crosses = self.fleet.cut[m.from.0] || self.fleet.cut[m.to.0];
            let is_down = self.down_until[m.to.0] > ms;
            if crosses || is_down || self.rng.f64() < self.plan.lost {
                continue;
            }
            self.datagrams += 1;
            self.boxes[m.to.0].receive(&self.fleet, &m, Time::from_millis(ms), out);
        }
    }

    /// Sends one request to a box, and counts it.
    fn request(&mut self, ms: u64, is_hot: bool, out: &mut Vec<Message>) {
        let (plan, now) = (self.plan, Time::from_millis(ms));
        if self.ideal >= 1.0 {
            self.ideal -= 1.0;
            self.ideal_sum += 1.0;
        }
        let priority = plan.mix.map(|mix| draw_priority(mix, &mut self.rng));
        let mut i = draw_receiver(plan, &mut self.rng);
        while plan.sorted && Some(i / plan.halls % 3) != priority {
            i = draw_receiver(plan, &mut self.rng);
        }
        let is_admitted = self.down_until[i] <= ms
            && match priority {
                Some(p) => self.boxes[i].admit_ranked(&self.fleet, p as u8, now, out),
                None => self.boxes[i].admit(&self.fleet, now, out),
            };
        if is_admitted {
            self.admitted.push(ms);
        }
        self.rejected += u32::from(!is_admitted);
        let p = priority.unwrap_or(0);
        self.asked[p] += u32::from(is_hot);
        self.taken[p] += u32::from(is_hot && is_admitted);
    }

    fn outcome(&self) -> Outcome {
        let boxes = self.plan.boxes as f64;
        Outcome {
            worst: max_ratio(&self.admitted, self.plan),
            used: self.admitted.len() as f64 / f64::max(self.ideal_sum, 1.0),
            datagrams: self.datagrams as f64 / boxes / (RUN_MS as f64 / 1e3),
            asked: self.asked,
            admitted: self.taken,
            rejected: self.rejected,
        }
    }
}

/// Draws the box that receives a request.
fn draw_receiver(plan: Plan, rng: &mut fastrand::Rng) -> usize {
    match plan.home {
        Some(home) => draw_box(plan, home, rng),
        None if rng.f64() < plan.skew => rng.usize(..(plan.boxes / 10).max(1)),
        None => rng.usize(..plan.boxes),
    }
}

/// Draws the priority of a request.
fn draw_priority(mix: [f64; 3], rng: &mut fastrand::Rng) -> usize {
    let draw = rng.f64() * mix.iter().sum::<f64>();
    if draw < mix[0] {
        0
    } else if draw < mix[0] + mix[1] {
        1
    } else {
        2
    }
}

/// Draws the box that receives a request, given the share of the first data hall.
fn draw_box(plan: Plan, home: f64, rng: &mut fastrand::Rng) -> usize {
    let is_first_hall = plan.halls < 2 || rng.f64() < home;
    let mut draw = || rng.usize(..plan.boxes);
    std::iter::repeat_with(&mut draw)
        .find(|i| (i % plan.halls == 0) == is_first_hall)
        .expect("each data hall has boxes")
}

/// Draws a Poisson-distributed number of arrivals.
fn arrivals(mean: f64, rng: &mut fastrand::Rng) -> usize {
    let (mut n, mut p, floor) = (0, rng.f64(), (-mean).exp());
    while p > floor {
        p *= rng.f64();
        n += 1;
    }
    n
}

/// Returns the maximum of admitted requests over allowed ones, over all windows.
///
/// A lowered limit is checked from one window after the change.
fn max_ratio(admitted: &[u64], plan: Plan) -> f64 {
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
