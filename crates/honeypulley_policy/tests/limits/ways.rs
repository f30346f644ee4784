//! Ways to bound what all boxes admit together: those that boxes use, and others beside them.

use crate::fleet::{BoxId, Fleet, Message};
use honeypulley_policy::balance::{News, Past};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetLimits, LimitRule, RateLimit, Scope};
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// The one organisation of these fleets.
pub fn organisation() -> NameId {
    NameId::of("acme")
}

/// What one box does about the limit.
pub trait Limiter {
    /// Tells whether a request is admitted; what is to be told goes to `out`.
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool;
    /// Takes what another box tells.
    fn heard(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>);
    /// Takes another limit.
    fn set(&mut self, limit: RateLimit);
}

/// What boxes use: admissions told in a hall, sums between halls.
pub struct Told {
    me: BoxId,
    limits: FleetLimits,
}

impl Told {
    pub fn new(me: BoxId, fleet: &Fleet, limit: RateLimit, past: Past, now: Time) -> Self {
        let mut limits =
            FleetLimits::new(&fleet.hall_name(me), LimitRule::default(), past, me.0 as u64, now);
        limits.set_limits([(organisation(), limit)]);
        Self { me, limits }
    }

    fn set_scope(&mut self, fleet: &Fleet, now: Time) {
        let alone = fleet.is_alone(self.me, now);
        self.limits.set_scope(Scope { boxes: fleet.boxes(), halls: fleet.halls(), alone });
    }

    fn tell(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) {
        for id in self.limits.due(now) {
            if let Some(rank) = fleet.teller_rank(self.me, now) {
                self.limits.tell(id, rank, now);
            }
        }
        for news in self.limits.take_news() {
            let to = match news {
                News::Admitted { .. } => fleet.hall_mates(self.me),
                _ => fleet.others(self.me),
            };
            out.extend(to.map(|to| Message { from: self.me, to, news }));
        }
    }
}

impl Limiter for Told {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        self.set_scope(fleet, now);
        let admitted = self.limits.admit(organisation(), now).is_ok();
        self.tell(fleet, now, out);
        admitted
    }

    fn heard(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>) {
        let from = fleet.id(m.from);
        self.set_scope(fleet, now);
        match m.news {
            News::Admitted { subject, sum } => {
                self.limits.heard_box(from, subject, sum, now);
            }
            News::HallAdmitted { subject, count } => {
                self.limits.heard_hall(from, subject, count, now);
            }
            _ => {}
        }
        self.tell(fleet, now, out);
    }

    fn set(&mut self, limit: RateLimit) {
        self.limits.set_limits([(organisation(), limit)]);
    }
}

/// Tokens at a rate, up to a burst.
struct Bucket {
    limit: RateLimit,
    level: f64,
    at: Time,
}

impl Bucket {
    fn take(&mut self, n: f64, now: Time) -> bool {
        let came = self.limit.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + came).min(self.limit.burst.max(1.0));
        self.at = now;
        let has = self.level >= n;
        if has {
            self.level -= n;
        }
        has
    }
}

/// Each box admits an equal share and tells nobody, as the product's own interface does.
pub struct EqualShare(Bucket, f64);

impl EqualShare {
    pub fn new(fleet: &Fleet, limit: RateLimit) -> Self {
        let n = fleet.boxes() as f64;
        let share = RateLimit { rate: limit.rate / n, burst: (limit.burst / n).max(1.0) };
        Self(Bucket { limit: share, level: share.burst, at: Time::ZERO }, n)
    }
}

impl Limiter for EqualShare {
    fn admit(&mut self, _: &Fleet, now: Time, _: &mut Vec<Message>) -> bool {
        self.0.take(1.0, now)
    }

    fn heard(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        let share = RateLimit { rate: limit.rate / self.1, burst: (limit.burst / self.1).max(1.0) };
        self.0.limit = share;
    }
}

/// Tokens that a box asks of the organisation's home for at one time.
const BATCH: u16 = 4;

/// One box, drawn by hashing, hands tokens out in batches; a box that has none refuses and
/// asks for the next request.
pub struct Batches {
    me: BoxId,
    tokens: u16,
    asked: Option<Time>,
    bucket: Bucket,
}

impl Batches {
    pub fn new(me: BoxId, limit: RateLimit) -> Self {
        let bucket = Bucket { limit, level: limit.burst.max(1.0), at: Time::ZERO };
        Self { me, tokens: 0, asked: None, bucket }
    }

    fn ask(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) {
        const ASK_GAP_MS: u64 = 50;
        if self.asked.is_some_and(|at| now.since(at).as_millis() < u128::from(ASK_GAP_MS)) {
            return;
        }
        self.asked = Some(now);
        let news = News::Admitted { subject: organisation(), sum: 0 };
        out.push(Message { from: self.me, to: fleet.home(now), news });
    }
}

impl Limiter for Batches {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        if fleet.home(now) == self.me {
            return self.bucket.take(1.0, now);
        }
        if self.tokens <= BATCH / 2 {
            self.ask(fleet, now, out);
        }
        let has = self.tokens > 0;
        self.tokens = self.tokens.saturating_sub(1);
        has
    }

    fn heard(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>) {
        let News::Admitted { sum, .. } = m.news else { return };
        if sum > 0 {
            self.tokens += sum;
            self.asked = None;
        } else if fleet.home(now) == self.me {
            let granted = (0..BATCH).take_while(|_| self.bucket.take(1.0, now)).count() as u16;
            let news = News::Admitted { subject: organisation(), sum: granted };
            if granted > 0 {
                out.push(Message { from: self.me, to: m.from, news });
            }
        }
    }

    fn set(&mut self, limit: RateLimit) {
        self.bucket.limit = limit;
    }
}

/// Each box admits the whole limit and tells nobody.
pub struct Alone(Bucket);

impl Alone {
    pub fn new(limit: RateLimit) -> Self {
        Self(Bucket { limit, level: limit.burst, at: Time::ZERO })
    }
}

impl Limiter for Alone {
    fn admit(&mut self, _: &Fleet, now: Time, _: &mut Vec<Message>) -> bool {
        self.0.take(1.0, now)
    }

    fn heard(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        self.0.limit = limit;
    }
}

/// What a data hall may admit.
#[derive(Clone, Copy)]
pub struct HallPart {
    pub limit: RateLimit,
    pub part: f64,
}

impl HallPart {
    fn limit(self) -> RateLimit {
        RateLimit { rate: self.limit.rate * self.part, burst: self.limit.burst * self.part }
    }
}

/// How limits of upstreams are kept.
const UPSTREAM_RULE: LimitRule = LimitRule { window: Duration::from_secs(4), slack: 5.0 };

/// Each data hall keeps to its part, which may be nothing; admissions are told there alone.
pub struct Hall {
    me: BoxId,
    part: HallPart,
    limits: FleetLimits,
}

impl Hall {
    pub fn new(me: BoxId, fleet: &Fleet, part: HallPart, past: Past, now: Time) -> Self {
        let mut limits =
            FleetLimits::new(&fleet.hall_name(me), UPSTREAM_RULE, past, me.0 as u64, now);
        limits.set_limits([(organisation(), part.limit())]);
        Self { me, part, limits }
    }

    fn set_scope(&mut self, fleet: &Fleet, now: Time) {
        let boxes = fleet.boxes() / fleet.halls();
        self.limits.set_scope(Scope { boxes, halls: 1, alone: fleet.is_alone(self.me, now) });
    }
}

impl Limiter for Hall {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        if self.part.part == 0.0 {
            return false;
        }
        self.set_scope(fleet, now);
        let admitted = self.limits.admit(organisation(), now).is_ok();
        for news in self.limits.take_news() {
            out.extend(fleet.hall_mates(self.me).map(|to| Message { from: self.me, to, news }));
        }
        admitted
    }

    fn heard(&mut self, fleet: &Fleet, m: &Message, now: Time, _: &mut Vec<Message>) {
        self.set_scope(fleet, now);
        if let News::Admitted { subject, sum } = m.news {
            self.limits.heard_box(fleet.id(m.from), subject, sum, now);
        }
    }

    fn set(&mut self, limit: RateLimit) {
        self.part.limit = limit;
        self.limits.set_limits([(organisation(), self.part.limit())]);
    }
}

/// Boxes that send to an upstream at all, where boxes are drawn.
const DRAWN: usize = 3;

/// Some boxes of the first data hall, drawn by hashing, have an equal share each.
pub struct Drawn(Option<Bucket>);

impl Drawn {
    pub fn new(me: BoxId, fleet: &Fleet, limit: RateLimit) -> Self {
        let mut home: Vec<BoxId> =
            fleet.others(me).chain([me]).filter(|b| fleet.is_home(*b)).collect();
        home.sort_by_key(|&b| weight(fleet.id(b).0, 7));
        let is_drawn = home.iter().take(DRAWN).any(|&b| b == me);
        let bucket = Bucket { limit: Self::share(limit), level: 1.0, at: Time::ZERO };
        Self(is_drawn.then_some(bucket))
    }

    fn share(limit: RateLimit) -> RateLimit {
        let n = DRAWN as f64;
        RateLimit { rate: limit.rate / n, burst: (limit.burst / n).max(1.0) }
    }
}

impl Limiter for Drawn {
    fn admit(&mut self, _: &Fleet, now: Time, _: &mut Vec<Message>) -> bool {
        self.0.as_mut().is_some_and(|b| b.take(1.0, now))
    }

    fn heard(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        if let Some(b) = &mut self.0 {
            b.limit = Self::share(limit);
        }
    }
}
