//! Choice by the loss to expect, for fleets whose boxes each see little traffic.
//!
//! Every box holds a [`Belief`] about each upstream, fed by what it sees itself
//! and by what the other boxes say at once. Each request goes where the chance of
//! failure, the wait and the distance cost least together. Nothing is ejected, so
//! no floor can be broken by it: an upstream that is thought sick is still taken
//! when the others would cost more.

mod admit;
mod choice;
mod doubt;
mod failing;
mod floor;
mod heard;
pub(crate) mod illness;
mod learn;
mod named;
mod news;
mod retry;
mod signals;
mod sizes;
mod trial;
pub mod work;

use crate::belief::Belief;
use crate::collector::NameId;
use crate::router::{AttemptKey, ServiceKey, UpstreamKey};
use crate::spec::{Member, MemberState, ServiceSpec};
use crate::time::Time;
use admit::Pressure;
use failing::Failing;
pub use heard::Doubt;
use illness::Illness;
pub use named::NamedLimit;
use named::NamedLimits;
pub use news::News;
use retry::RetryWindow;
pub use retry::{BudgetUse, Past, Reach, Resend, RetryRule};
use signals::{Declared, Unlisted};
use sizes::AnswerSizes;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use work::WorkTimes;

/// Aim taken where a route names none.
const DEFAULT_AIM: Duration = Duration::from_secs(1);

/// Requests that a megabyte is worth which leaves the data hall, where none is stated.
///
/// A download of 90 kB is then worth 0.45 of a request.
pub const DEFAULT_HALL_PRICE: f64 = 5.0;
/// Bytes of a megabyte.
const BYTES_A_MB: f64 = 1e6;
/// Lives of upstreams that are remembered as over, while attempts there may be open.
///
/// All of a service of 200 that start again together, within the time of one request.
const MOST_ENDED: usize = 256;

/// One upstream with what the list says of its size and age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name, service, address, data hall and state.
    pub member: Member,
    /// Requests it runs at one time.
    pub slots: usize,
    /// How much longer it is slow from its start.
    pub cold: Duration,
    /// When its process started, in milliseconds since 1970, if it says.
    pub born: Option<u64>,
}

impl Listed {
    /// Returns the id of this life of the upstream.
    ///
    /// One that starts again under its name knows nothing of before, and nothing that was
    /// learnt of the former life holds for it. Boxes that speak of a former life then speak of
    /// an upstream that the others do not know. The times are only compared for being the
    /// same: a clock that was set back makes a new life as well.
    #[must_use]
    pub fn life(&self) -> NameId {
        let name = &self.member.name;
        self.born.map_or_else(|| NameId::of(name), |born| NameId::of(&format!("{name} {born}")))
    }
}

/// Attempts that another box of this data hall has open.
#[derive(Clone, Copy, Debug)]
struct PeerOpen {
    from: NameId,
    count: u16,
    /// When the oldest of them began, as far as is known.
    since: Time,
    /// Whether others waited there when it began.
    queued: bool,
    /// Likelihood ratio that the peer has announced, sick against well.
    told: f64,
}

/// Another box that could not reach an upstream.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    from: NameId,
    at: Time,
}

/// Requests at an upstream that boxes of other data halls sent.
#[derive(Clone, Copy, Debug)]
struct FarLoad {
    count: f64,
    at: Time,
}

#[derive(Clone, Debug)]
struct Upstream {
    name: String,
    addr: String,
    id: NameId,
    service: ServiceKey,
    hall: NameId,
    near: bool,
    leaving: bool,
    /// Another incarnation answered at its address.
    misdirected: bool,
    /// What it says of itself in its answers.
    declared: Declared,
    slots: f64,
    cold_until: Time,
    /// Open attempts of this box.
    mine: Vec<AttemptKey>,
    peers: Vec<PeerOpen>,
    /// Requests that this data hall does not know of, by the newest report.
    far: Option<FarLoad>,
    /// What all boxes saw of it.
    shared: Belief,
    /// What only the path from this box shows.
    path: Belief,
    /// Whether anything was observed of it, by this box or a peer.
    taught: bool,
    /// Other boxes that could not reach it, since one was answered.
    unreached: Vec<Unreached>,
    /// Whether the other halls know that it is well since its last failure.
    told_well: bool,
    joined: Time,
    /// When a box of this data hall last sent it something, as far as is known.
    worked: Option<Time>,
    /// When a box of this data hall was last answered well, as far as is known.
    answered: Option<Time>,
    /// When something last failed there.
    failed: Option<Time>,
    /// Failures one after the other, with no success between.
    streak: u32,
}

#[derive(Clone, Debug)]
struct Service {
    spec: ServiceSpec,
    id: NameId,
    work: WorkTimes,
    retries: RetryWindow,
    failing: Failing,
    pressure: Pressure,
    /// When this box first learned of it.
    began: Time,
    upstreams: Vec<UpstreamKey>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    upstream: UpstreamKey,
    /// Incarnation that it went to, which may not be listed any more.
    id: NameId,
    service: ServiceKey,
    route: NameId,
    started: Time,
    aim: Duration,
    /// Time that it was given, if that is bounded.
    left: Option<Duration>,
    /// Whether others waited there when it began, so that its age says little.
    queued: bool,
    /// Likelihood ratio announced while it was in flight, sick against well.
    told: f64,
    answer: Option<AnswerKind>,
    /// Requests of other data halls, by the report that came with the answer.
    far: Option<u8>,
}

/// What the head of an answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    Good,
    Bad,
}

/// State of one upstream as an operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceStatus {
    /// Service name.
    pub service: String,
    /// Upstream name.
    pub upstream: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Chance that it is sick, by what all boxes saw.
    pub sick: f64,
    /// Chance that this box's path to it is bad.
    pub path: f64,
    /// Attempts of this box that are open.
    pub open: usize,
    /// The limit that it names.
    pub limit: Option<NamedLimit>,
    /// How long this box sends it nothing, as it asked for.
    pub backoff: Option<Duration>,
}

/// One box's routing state.
#[derive(Debug)]
pub struct Balancer {
    hall: String,
    hall_id: NameId,
    reach: Reach,
    /// Boxes of this data hall, this one included.
    hall_boxes: usize,
    /// Boxes of each data hall.
    halls: BTreeMap<NameId, usize>,
    /// Whether this box is isolated.
    alone: bool,
    rule: RetryRule,
    past: Past,
    services: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<String, ServiceKey>,
    services_by_id: BTreeMap<NameId, ServiceKey>,
    by_id: BTreeMap<NameId, UpstreamKey>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    attempts: SlotMap<AttemptKey, Attempt>,
    /// Answer times by route, for the routes that this box has served.
    routes: BTreeMap<NameId, WorkTimes>,
    /// Lengths of answers by route.
    sizes: AnswerSizes,
    /// Requests that a byte is worth which leaves the data hall.
    hall_price: f64,
    illness: Illness,
    /// Limits that upstreams name.
    limits: NamedLimits,
    unlisted: Unlisted,
    /// Boxes that did not reach an upstream which answered others, and when it did.
    contradicted: BTreeMap<NameId, Time>,
    listed: BTreeMap<String, Listed>,
    /// Upstreams that have started again since, the last of them.
    ended: VecDeque<UpstreamKey>,
    news: Vec<News>,
    rng: fastrand::Rng,
    /// What sets this box's draws apart from those of others.
    seed: u64,
}

impl Balancer {
    /// Builds the state of a box in data hall `hall`.
    #[must_use]
    pub fn new(hall: &str, rule: RetryRule, seed: u64) -> Self {
        Self {
            hall: hall.to_owned(),
            hall_id: NameId::of(hall),
            reach: Reach { boxes: 1, in_touch: true },
            hall_boxes: 1,
            halls: BTreeMap::from([(NameId::of(hall), 1)]),
            alone: false,
            limits: NamedLimits::new(hall, Past::Unknown, seed),
            rule,
            past: Past::Unknown,
            services: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            services_by_id: BTreeMap::new(),
            by_id: BTreeMap::new(),
            upstreams: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            routes: BTreeMap::new(),
            sizes: AnswerSizes::default(),
            hall_price: DEFAULT_HALL_PRICE / BYTES_A_MB,
            illness: Illness::default(),
            unlisted: Unlisted::default(),
            contradicted: BTreeMap::new(),
            listed: BTreeMap::new(),
            ended: VecDeque::new(),
            news: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            seed,
        }
    }

    /// Sets what is known of the retries before this box started.
    #[must_use]
    pub fn with_past(mut self, past: Past) -> Self {
        self.past = past;
        self.limits = NamedLimits::new(&self.hall, past, self.seed);
        self
    }

    /// Sets how many requests a megabyte costs that leaves the data hall.
    #[must_use]
    pub fn with_hall_price(mut self, requests: f64) -> Self {
        self.hall_price = requests / BYTES_A_MB;
        self
    }

    /// Sets the boxes among which the retry budget is shared.
    ///
    /// They stand in this data hall unless [`Self::set_halls`] names others.
    pub fn set_reach(&mut self, reach: Reach) {
        self.reach = reach;
        if self.halls.len() < 2 {
            self.hall_boxes = reach.boxes;
            self.halls.insert(self.hall_id, reach.boxes);
        }
    }

    /// Sets how many of those boxes each data hall has, this one included, and whether
    /// this box is isolated.
    pub fn set_halls(&mut self, halls: &BTreeMap<NameId, usize>, alone: bool) {
        self.alone = alone;
        if self.halls != *halls {
            self.halls.clone_from(halls);
            self.hall_boxes = halls.get(&self.hall_id).copied().unwrap_or(1);
        }
    }

    /// Applies the services of a table; what was learnt of kept ones stays.
    pub fn set_services(&mut self, specs: &[ServiceSpec], now: Time) {
        let mut gone: BTreeSet<String> = self.by_name.keys().cloned().collect();
        // A service of a later table had no requests before this box learned of it.
        let past = if self.by_name.is_empty() { self.past } else { Past::Empty };
        for spec in specs {
            gone.remove(&spec.name);
            if let Some(&k) = self.by_name.get(&spec.name) {
                self.services[k].spec = spec.clone();
                continue;
            }
            let k = self.services.insert(Service::new(spec.clone(), past, now));
            self.by_name.insert(spec.name.clone(), k);
            self.services_by_id.insert(NameId::of(&spec.name), k);
            let waiting: Vec<Listed> =
                self.listed.values().filter(|l| l.member.service == spec.name).cloned().collect();
            for l in waiting {
                self.add(k, &l, now);
            }
        }
        for name in gone {
            let Some(k) = self.by_name.remove(&name) else { continue };
            let Some(s) = self.services.remove(k) else { continue };
            self.services_by_id.remove(&s.id);
            for u in s.upstreams {
                self.forget(u);
            }
        }
    }

    /// Applies one new or changed entry of the list.
    pub fn set_upstream(&mut self, l: Listed, now: Time) {
        let name = l.member.name.clone();
        let former = self.listed.get(&name).map(Listed::life).filter(|&id| id != l.life());
        if let Some(k) = former.and_then(|id| self.by_id.get(&id).copied()) {
            self.end(k);
        }
        if let Some(&k) = self.by_name.get(&l.member.service) {
            self.add(k, &l, now);
        }
        self.listed.insert(name, l);
    }

    /// Removes an entry that left the list: its upstream gets no new work.
    pub fn remove_upstream(&mut self, name: &str) {
        let Some(l) = self.listed.remove(name) else { return };
        let Some(k) = self.by_id.get(&l.life()).copied() else { return };
        self.leave_service(k);
        self.forget(k);
    }

    /// Records that an upstream has restarted: what was open there is over.
    fn end(&mut self, k: UpstreamKey) {
        self.leave_service(k);
        if let Some(u) = self.upstreams.get(k) {
            self.limits.forget(u.id);
        }
        self.forget(k);
        self.ended.push_back(k);
        if self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
    }

    fn leave_service(&mut self, k: UpstreamKey) {
        if let Some(u) = self.upstreams.get(k)
            && let Some(s) = self.services.get_mut(u.service)
        {
            s.upstreams.retain(|&x| x != k);
        }
    }

    fn add(&mut self, service: ServiceKey, l: &Listed, now: Time) {
        let id = l.life();
        let leaving = l.member.state == MemberState::Leaving;
        if let Some(u) = self.by_id.get(&id).and_then(|&k| self.upstreams.get_mut(k)) {
            u.leaving = leaving;
            u.addr.clone_from(&l.member.addr);
            u.slots = l.slots.max(1) as f64;
            return;
        }
        let up = Upstream {
            name: l.member.name.clone(),
            addr: l.member.addr.clone(),
            id,
            service,
            hall: NameId::of(&l.member.hall),
            near: l.member.hall == self.hall,
            leaving,
            misdirected: false,
            declared: self.unlisted.take(id),
            slots: l.slots.max(1) as f64,
            cold_until: now + l.cold,
            mine: Vec::new(),
            peers: Vec::new(),
            far: None,
            shared: Belief::new(now),
            path: Belief::sound(now),
            taught: false,
            unreached: Vec::new(),
            told_well: true,
            joined: now,
            worked: None,
            answered: None,
            failed: None,
            streak: 0,
        };
        let k = self.upstreams.insert(up);
        self.by_id.insert(id, k);
        self.services[service].upstreams.push(k);
    }

    fn forget(&mut self, k: UpstreamKey) {
        if let Some(u) = self.upstreams.remove(k) {
            self.by_id.remove(&u.id);
            self.unlisted.keep(u.id, u.declared);
        }
    }

    /// Returns the key of a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.by_name.get(name).copied()
    }

    /// Counts one request for a service, from which its retry budget grows.
    pub fn arrived(&mut self, k: ServiceKey, now: Time) {
        if let Some(s) = self.services.get_mut(k) {
            s.retries.arrived(&self.rule, now);
        }
    }

    /// Drains the news to broadcast.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Returns the state of every upstream, for operators.
    #[must_use]
    pub fn status(&self, now: Time) -> Vec<BalanceStatus> {
        let row = |(k, u): (UpstreamKey, &Upstream)| BalanceStatus {
            service: self.services.get(u.service).map_or_else(String::new, |s| s.spec.name.clone()),
            upstream: u.name.clone(),
            leaving: u.is_leaving(),
            sick: u.shared.chance(now),
            path: u.path.chance(now),
            open: u.mine.len(),
            limit: self.limit_of(k, now),
            backoff: u.backoff_left(now),
        };
        self.upstreams.iter().map(row).collect()
    }
}

impl Upstream {
    const fn is_leaving(&self) -> bool {
        self.leaving || self.declared.leaving || self.misdirected
    }
}

impl Service {
    fn new(spec: ServiceSpec, past: Past, began: Time) -> Self {
        Self {
            id: NameId::of(&spec.name),
            work: WorkTimes::default(),
            retries: RetryWindow::new(past, began),
            failing: Failing::default(),
            pressure: Pressure::default(),
            began,
            upstreams: Vec::new(),
            spec,
        }
    }
}
