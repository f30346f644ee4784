//! Strategies for fleet-wide rate limits: the one in use, and alternatives for comparison.

use crate::fleet::{BoxId, Fleet, Message};
use honeypulley_policy::balance::{RetryHistory, Update};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRule, LimitScope, RateLimit};
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Returns the organisation used in the simulations.
pub fn organisation() -> NameId {
    NameId::of("acme")
}

/// Enforcement of the limit on one box.
pub trait Limiter {
    /// Returns whether a request is admitted, and appends updates to `out`.
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool;
    /// Returns whether a request of this priority is admitted.
    fn admit_ranked(
        &mut self,
        fleet: &Fleet,
        _priority: u8,
        now: Time,
        out: &mut Vec<Message>,
    ) -> bool {
        self.admit(fleet, now, out)
    }
    /// Applies a message of another box.
    fn receive(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>);
    /// Replaces the limit.
    fn set(&mut self, limit: RateLimit);
}

/// Strategy in use: admissions are announced within a hall, and sums between halls.
pub struct Told {
    this_box: BoxId,
    limits: FleetRateLimiter,
    /// Whether tokens are reserved for more urgent requests.
    is_ranked: bool,
}

impl Told {
    /// Returns the limiter with a reserve for more urgent requests.
    pub fn ranked(self) -> Self {
        Self { is_ranked: true, ..self }
    }

    pub fn new(
        this_box: BoxId,
        fleet: &Fleet,
        limit: RateLimit,
        past: RetryHistory,
        now: Time,
    ) -> Self {
        let mut limits = FleetRateLimiter::new(
            &fleet.hall_name(this_box),
            LimitRule::default(),
            past,
            this_box.0 as u64,
            now,
        );
        limits.replace_limits([(organisation(), limit)]);
        Self { this_box, limits, is_ranked: false }
    }

    fn set_scope(&mut self, fleet: &Fleet, now: Time) {
        let isolated = fleet.is_isolated(self.this_box, now);
        self.limits.set_scope(LimitScope { boxes: fleet.boxes(), halls: fleet.halls(), isolated });
    }

    fn announce(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) {
        for id in self.limits.due_updates(now) {
            if let Some(rank) = fleet.announcer_rank(self.this_box, now) {
                self.limits.announce(id, rank, now);
            }
        }
        for update in self.limits.take_updates() {
            let to = match update {
                Update::Admitted { .. } => fleet.hall_peers(self.this_box),
                _ => fleet.others(self.this_box),
            };
            out.extend(to.map(|to| Message { from: self.this_box, to, update }));
        }
    }
}

impl Limiter for Told {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        self.set_scope(fleet, now);
        let admitted = self.limits.admit(organisation(), now).is_ok();
        self.announce(fleet, now, out);
        admitted
    }

    fn admit_ranked(
        &mut self,
        fleet: &Fleet,
        priority: u8,
        now: Time,
        out: &mut Vec<Message>,
    ) -> bool {
        if !self.is_ranked {
            return self.admit(fleet, now, out);
        }
        self.set_scope(fleet, now);
        let admitted =
            self.limits.admit_ranked(organisation(), priority, priority == 0, now).is_ok();
        self.announce(fleet, now, out);
        admitted
    }

    fn receive(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>) {
        let from = fleet.id(m.from);
        self.set_scope(fleet, now);
        match m.update {
            Update::Admitted { subject, sum } => {
                self.limits.apply_box_count(from, subject, sum, now);
            }
            Update::HallAdmitted { subject, count } => {
                self.limits.apply_hall_count(from, subject, count, now);
            }
            _ => {}
        }
        self.announce(fleet, now, out);
    }

    fn set(&mut self, limit: RateLimit) {
        self.limits.replace_limits([(organisation(), limit)]);
    }
}

/// A token bucket.
struct Bucket {
    limit: RateLimit,
    level: f64,
    at: Time,
}

impl Bucket {
    fn take(&mut self, n: f64, now: Time) -> bool {
        let added = self.limit.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + added).min(self.limit.burst.max(1.0));
        self.at = now;
        let is_available = self.level >= n;
        if is_available {
            self.level -= n;
        }
        is_available
    }
}

/// Each box admits an equal share without updates, like the product's own interface.
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

    fn receive(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        let share = RateLimit { rate: limit.rate / self.1, burst: (limit.burst / self.1).max(1.0) };
        self.0.limit = share;
    }
}

/// Number of tokens that a box requests at a time.
const BATCH: u16 = 4;

/// One box chosen by hashing hands out tokens in batches.
///
/// A box without tokens rejects the request and asks for tokens for later ones.
pub struct Batches {
    this_box: BoxId,
    tokens: u16,
    requested_at: Option<Time>,
    bucket: Bucket,
}

impl Batches {
    pub fn new(this_box: BoxId, limit: RateLimit) -> Self {
        let bucket = Bucket { limit, level: limit.burst.max(1.0), at: Time::ZERO };
        Self { this_box, tokens: 0, requested_at: None, bucket }
    }

    fn request_tokens(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) {
        const REQUEST_INTERVAL_MS: u64 = 50;
        if self
            .requested_at
            .is_some_and(|at| now.since(at).as_millis() < u128::from(REQUEST_INTERVAL_MS))
        {
            return;
        }
        self.requested_at = Some(now);
        let update = Update::Admitted { subject: organisation(), sum: 0 };
        out.push(Message { from: self.this_box, to: fleet.token_holder(now), update });
    }
}

impl Limiter for Batches {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        if fleet.token_holder(now) == self.this_box {
            return self.bucket.take(1.0, now);
        }
        if self.tokens <= BATCH / 2 {
            self.request_tokens(fleet, now, out);
        }
        let is_available = self.tokens > 0;
        self.tokens = self.tokens.saturating_sub(1);
        is_available
    }

    fn receive(&mut self, fleet: &Fleet, m: &Message, now: Time, out: &mut Vec<Message>) {
        let Update::Admitted { sum, .. } = m.update else { return };
        if sum > 0 {
            self.tokens += sum;
            self.requested_at = None;
        } else if fleet.token_holder(now) == self.this_box {
            let granted = (0..BATCH).take_while(|_| self.bucket.take(1.0, now)).count() as u16;
            let update = Update::Admitted { subject: organisation(), sum: granted };
            if granted > 0 {
                out.push(Message { from: self.this_box, to: m.from, update });
            }
        }
    }

    fn set(&mut self, limit: RateLimit) {
        self.bucket.limit = limit;
    }
}

/// Each box admits the whole limit without updates.
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

    fn receive(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        self.0.limit = limit;
    }
}

/// Share of the limit that a data hall may admit.
#[derive(Clone, Copy)]
pub struct HallShare {
    pub limit: RateLimit,
    pub share: f64,
}

impl HallShare {
    fn limit(self) -> RateLimit {
        RateLimit { rate: self.limit.rate * self.share, burst: self.limit.burst * self.share }
    }
}

/// Window and slack for limits of upstreams.
const UPSTREAM_RULE: LimitRule = LimitRule { window: Duration::from_secs(4), slack: 5.0 };

/// Each data hall admits a share, possibly zero, and announces only within the hall.
pub struct Hall {
    this_box: BoxId,
    share: HallShare,
    limits: FleetRateLimiter,
}

impl Hall {
    pub fn new(
        this_box: BoxId,
        fleet: &Fleet,
        share: HallShare,
        past: RetryHistory,
        now: Time,
    ) -> Self {
        let mut limits = FleetRateLimiter::new(
            &fleet.hall_name(this_box),
            UPSTREAM_RULE,
            past,
            this_box.0 as u64,
            now,
        );
        limits.replace_limits([(organisation(), share.limit())]);
        Self { this_box, share, limits }
    }

    fn set_scope(&mut self, fleet: &Fleet, now: Time) {
        let boxes = fleet.boxes() / fleet.halls();
        self.limits.set_scope(LimitScope {
            boxes,
            halls: 1,
            isolated: fleet.is_isolated(self.this_box, now),
        });
    }
}

impl Limiter for Hall {
    fn admit(&mut self, fleet: &Fleet, now: Time, out: &mut Vec<Message>) -> bool {
        if self.share.share == 0.0 {
            return false;
        }
        self.set_scope(fleet, now);
        let admitted = self.limits.admit(organisation(), now).is_ok();
        for update in self.limits.take_updates() {
            out.extend(fleet.hall_peers(self.this_box).map(|to| Message {
                from: self.this_box,
                to,
                update,
            }));
        }
        admitted
    }

    fn receive(&mut self, fleet: &Fleet, m: &Message, now: Time, _: &mut Vec<Message>) {
        self.set_scope(fleet, now);
        if let Update::Admitted { subject, sum } = m.update {
            self.limits.apply_box_count(fleet.id(m.from), subject, sum, now);
        }
    }

    fn set(&mut self, limit: RateLimit) {
        self.share.limit = limit;
        self.limits.replace_limits([(organisation(), self.share.limit())]);
    }
}

/// Number of boxes that send to an upstream under [`Drawn`].
const DRAWN: usize = 3;

/// A few boxes of one data hall, chosen by hashing, have equal shares.
pub struct Drawn(Option<Bucket>);

impl Drawn {
    pub fn new(this_box: BoxId, fleet: &Fleet, limit: RateLimit) -> Self {
        let mut candidates: Vec<BoxId> =
            fleet.others(this_box).chain([this_box]).filter(|b| fleet.is_first_hall(*b)).collect();
        candidates.sort_by_key(|&b| weight(fleet.id(b).0, 7));
        let is_drawn = candidates.iter().take(DRAWN).any(|&b| b == this_box);
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

    fn receive(&mut self, _: &Fleet, _: &Message, _: Time, _: &mut Vec<Message>) {}

    fn set(&mut self, limit: RateLimit) {
        if let Some(b) = &mut self.0 {
            b.limit = Self::share(limit);
        }
    }
}
