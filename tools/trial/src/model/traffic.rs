//! Requests on their way: arrival, choice, work, answer.

use super::{
    AttemptKey, Event, FAULT_AT, Fault, Outcome, Place, Policy, Request, SECOND_HOP, SIGMA,
    SPELL_EVERY, SPELL_FAILS, SPELL_TIME, World, number,
};
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Reason, UpstreamKey};
use std::time::Duration;

impl World<'_> {
    fn exp(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.f64()).ln())
    }

    fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    fn rate(&self) -> f64 {
        let size = self.s.size;
        let mean = size.work * (SIGMA * SIGMA / 2.0).exp();
        let usual = self.s.usage * (size.upstreams * size.slots) as f64 / mean;
        let surge = self.s.fault == Fault::Overload
            && self.now >= FAULT_AT
            && self.now.since(FAULT_AT) < Duration::from_secs(10);
        // Half again over what all slots can do.
        if surge { usual / self.s.usage * 1.5 } else { usual }
    }

    pub(super) fn arrive(&mut self) {
        let gap = self.exp(1.0 / self.rate());
        self.plan(gap, Event::Arrive);
        let entry = self.rng.usize(..self.s.size.boxes);
        let b = if self.s.policy == Policy::Home { entry % self.s.size.halls } else { entry };
        let request = self.requests.len();
        self.requests.push(Request {
            place: Place::Flying,
            b,
            born: self.now,
            attempt: None,
            up: 0,
            tries: 0,
            tried: None,
            over: false,
        });
        if self.now >= FAULT_AT {
            self.run.asked += 1;
        }
        let admitted = match self.s.policy {
            Policy::Naive | Policy::Oracle => true,
            Policy::Belief => {
                let k = self.services[b];
                self.balancers[b].record_request(k, self.now);
                true
            }
            _ => self.routers[b].admit(self.keys[b], self.now).is_ok(),
        };
        if !admitted {
            self.requests[request].over = true;
            return;
        }
        self.plan(self.s.size.deadline, Event::Deadline { request });
        if self.s.policy == Policy::Belief {
            self.plan(self.s.size.work_limit(), Event::Overdue { request });
        }
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        let b = self.requests[request].b;
        let now = self.now;
        let Some((up, attempt, regular)) = self.choose(request) else {
            self.requests[request].over = true;
            return;
        };
        let r = &mut self.requests[request];
        (r.up, r.attempt) = (up, attempt);
        r.tries += 1;
        if now >= FAULT_AT && self.is_sick(up) {
            self.run.sick_work += 1;
        }
        self.recent.push_back((now, self.is_sick(up) && regular));
        let hop = self.hop(b, up);
        self.plan(hop, Event::AtUpstream { request, up });
    }

    /// Chooses an upstream; tells whether it was by the usual rule.
    fn choose(&mut self, request: usize) -> Option<(usize, Option<AttemptKey>, bool)> {
        let (b, now) = (self.requests[request].b, self.now);
        match self.s.policy {
            Policy::Naive => Some((self.naive[b].pick(now, &mut self.rng)?, None, true)),
            Policy::Oracle => Some((self.best(), None, true)),
            Policy::Belief => {
                let info = RequestInfo {
                    service: self.services[b],
                    repeatable: self.s.repeatable,
                    priority: 0,
                    large_response: false,
                    target: Some(self.s.size.deadline / 5),
                    remaining: Some(self.s.size.deadline),
                    route: NameId::of("r"),
                };
                let tried = self.requests[request].tried;
                let tried: Vec<UpstreamKey> = tried.into_iter().collect();
                let p = self.balancers[b].pick(&info, &tried, now).ok()?;
                self.tell(b);
                let up = number(self.balancers[b].endpoint(p.upstream)?.name);
                self.requests[request].tried = Some(p.upstream);
                Some((up, Some(p.attempt), p.reason == Reason::LeastLoss))
            }
            _ => {
                let p = self.routers[b].pick(self.keys[b], true, &[], now).ok()?;
                let up = number(self.routers[b].endpoint(p.upstream)?.0);
                Some((up, Some(p.attempt), p.reason == Reason::TwoChoices))
            }
        }
    }

    /// Returns the least busy upstream that is well, as one who knows all would.
    fn best(&self) -> usize {
        let load = |i: &usize| {
            let ill = self.is_sick(*i) && self.now >= FAULT_AT || self.in_spell(*i);
            (ill, self.ups[*i].busy + self.ups[*i].queue.len())
        };
        (0..self.ups.len()).min_by_key(load).expect("there are upstreams")
    }

    /// Hands what a box has to tell to the others, a millisecond later.
    pub(super) fn tell(&mut self, b: usize) {
        for news in self.balancers[b].take_updates() {
            let near = news.is_for_hall();
            for to in (0..self.s.size.boxes).filter(|&to| to != b) {
                if near && to % self.s.size.halls != b % self.s.size.halls {
                    continue;
                }
                self.run.bytes += 60;
                self.plan(Duration::from_millis(1), Event::Update { from: b, to, news });
            }
        }
    }

    /// Records that an attempt is overdue, for policies that do not look themselves.
    pub(super) fn overdue(&mut self, request: usize) {
        let r = &self.requests[request];
        if let (false, Some(a)) = (r.over, r.attempt) {
            let b = r.b;
            self.balancers[b].record_in_flight(a, self.now);
            self.tell(b);
        }
    }

    /// Returns whether an upstream fails most of its work just now, by itself.
    fn in_spell(&self, up: usize) -> bool {
        let size = self.s.size;
        let prone = (up as f64 + 0.5) / size.upstreams as f64 > 1.0 - size.prone;
        let phase = (self.now.as_secs() + up as f64 * 2.3) % SPELL_EVERY;
        prone && phase < SPELL_TIME
    }

    fn hop(&self, b: usize, up: usize) -> Duration {
        let same = b % self.s.size.halls == up % self.s.size.halls;
        let further = if self.s.policy == Policy::Home { SECOND_HOP } else { 0 };
        Duration::from_micros(further + if same { 100 } else { self.s.size.hall_us })
    }

    /// The upstream numbered zero is the one that turns gray.
    pub(super) fn is_sick(&self, up: usize) -> bool {
        up == 0 && !matches!(self.s.fault, Fault::None | Fault::Overload)
    }

    pub(super) fn at_upstream(&mut self, request: usize, up: usize) {
        if self.requests[request].over {
            return;
        }
        if self.ups[up].busy < self.s.size.slots {
            self.begin(request, up);
        } else {
            self.requests[request].place = Place::Queued;
            self.ups[up].queue.push_back(request);
        }
    }

    fn begin(&mut self, request: usize, up: usize) {
        self.ups[up].busy += 1;
        self.requests[request].place = Place::Running;
        let b = self.requests[request].b;
        let mut secs = self.s.size.work * (SIGMA * self.normal()).exp();
        let mut ok = self.rng.f64() >= self.s.size.background;
        if self.in_spell(up) && self.rng.f64() < SPELL_FAILS {
            (ok, secs) = (false, secs / 10.0);
        }
        let mut kind = Outcome::Completed;
        if self.is_sick(up) && self.now >= FAULT_AT {
            let phase = self.now.since(FAULT_AT).as_millis() / 1_000;
            match self.s.fault {
                // The slot comes free when the caller leaves.
                Fault::Stall => secs = 1e6,
                Fault::Partial if b.is_multiple_of(4) => secs = 1e6,
                Fault::Flap if phase.is_multiple_of(2) => secs = 1e6,
                Fault::Slow => secs *= 10.0,
                Fault::Fail => (ok, secs) = (false, secs / 10.0),
                Fault::Cut if self.rng.f64() < 0.33 => kind = Outcome::Malformed,
                _ => {}
            }
        }
        if secs < 1e5 {
            self.plan(Duration::from_secs_f64(secs), Event::Done { request, up, ok, kind });
        }
    }

    pub(super) fn done(&mut self, request: usize, up: usize, ok: bool, kind: Outcome) {
        let r = &self.requests[request];
        // A cancelled request has freed its slot already.
        if r.over || r.up != up {
            return;
        }
        let hop = self.hop(r.b, up);
        self.requests[request].place = Place::Flying;
        self.free_slot(up);
        self.plan(hop, Event::Answer { request, ok, kind });
    }

    fn free_slot(&mut self, up: usize) {
        self.ups[up].busy -= 1;
        while let Some(next) = self.ups[up].queue.pop_front() {
            if !self.requests[next].over && self.requests[next].up == up {
                self.begin(next, up);
                return;
            }
        }
    }

    pub(super) fn answer(&mut self, request: usize, ok: bool, kind: Outcome) {
        let now = self.now;
        if self.requests[request].over {
            return;
        }
        let good = ok && kind == Outcome::Completed;
        self.close(request, ok, kind);
        let r = &mut self.requests[request];
        if !good && r.tries < 2 && kind == Outcome::Completed && self.s.repeatable {
            return self.send(request);
        }
        r.over = true;
        if now >= FAULT_AT && good {
            self.run.good += 1;
            let took = now.since(self.requests[request].born);
            self.run.took.push(took.as_secs_f64() * 1e3);
        }
    }

    /// Reports to the policy how an attempt ended.
    fn close(&mut self, request: usize, ok: bool, kind: Outcome) {
        let r = &self.requests[request];
        let (b, up, now) = (r.b, r.up, self.now);
        match r.attempt {
            None if self.s.policy == Policy::Oracle => {}
            None => {
                self.naive[b].finish(up, ok && kind == Outcome::Completed, now);
            }
            Some(a) if self.s.policy == Policy::Belief => {
                if kind != Outcome::TimedOut {
                    self.balancers[b].response_started(a, ok, now);
                }
                self.balancers[b].finish(a, kind, now);
                self.tell(b);
            }
            Some(a) => {
                if kind != Outcome::TimedOut {
                    self.routers[b].response_started(a, ok, now);
                }
                self.routers[b].finish(a, kind, now);
            }
        }
    }

    pub(super) fn late(&mut self, request: usize) {
        if self.requests[request].over {
            return;
        }
        self.close(request, false, Outcome::TimedOut);
        let up = self.requests[request].up;
        self.requests[request].over = true;
        // Cancellation frees the slot, or leaves the queue.
        match self.requests[request].place {
            Place::Flying => {}
            Place::Queued => self.ups[up].queue.retain(|&q| q != request),
            Place::Running => self.free_slot(up),
        }
    }
}
