//! Life cycle of requests: arrival, routing, processing and answer.

use super::{
    AttemptKey, EPISODE_DURATION, EPISODE_FAILURE_SHARE, EPISODE_INTERVAL, EXTRA_HOP_US, Event,
    FAULT_AT, Fault, Location, Outcome, Policy, Request, SIGMA, Simulation, upstream_index,
};
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Reason, UpstreamKey};
use std::time::Duration;

impl Simulation<'_> {
    fn sample_exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.f64()).ln())
    }

    fn sample_normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    fn rate(&self) -> f64 {
        let size = self.scenario.size;
        let mean = size.service_time * (SIGMA * SIGMA / 2.0).exp();
        let usual_rate = self.scenario.usage * (size.upstreams * size.slots) as f64 / mean;
        let surge = self.scenario.fault == Fault::Overload
            && self.now >= FAULT_AT
            && self.now.since(FAULT_AT) < Duration::from_secs(10);
        // The surge is 1.5 times the capacity of all slots.
        if surge { usual_rate / self.scenario.usage * 1.5 } else { usual_rate }
    }

    pub(super) fn arrive(&mut self) {
        let gap = self.sample_exponential(1.0 / self.rate());
        self.schedule(gap, Event::Arrive);
        let arrival_box = self.rng.usize(..self.scenario.size.boxes);
        let b = if self.scenario.policy == Policy::Home {
            arrival_box % self.scenario.size.halls
        } else {
            arrival_box
        };
        let request = self.requests.len();
        self.requests.push(Request {
            location: Location::InNetwork,
            b,
            born: self.now,
            attempt: None,
            up: 0,
            attempts: 0,
            last_tried: None,
            done: false,
        });
        if self.now >= FAULT_AT {
            self.run.requests += 1;
        }
        let admitted = match self.scenario.policy {
            Policy::Naive | Policy::Oracle => true,
            Policy::Belief => {
                let k = self.services[b];
                self.balancers[b].record_request(k, self.now);
                true
            }
            _ => self.routers[b].admit(self.keys[b], self.now).is_ok(),
        };
        if !admitted {
            self.requests[request].done = true;
            return;
        }
        self.schedule(self.scenario.size.deadline, Event::Deadline { request });
        if self.scenario.policy == Policy::Belief {
            self.schedule(self.scenario.size.overdue_age(), Event::Overdue { request });
        }
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        let b = self.requests[request].b;
        let now = self.now;
        let Some((up, attempt, is_usual)) = self.choose(request) else {
            self.requests[request].done = true;
            return;
        };
        let r = &mut self.requests[request];
        (r.up, r.attempt) = (up, attempt);
        r.attempts += 1;
        if now >= FAULT_AT && self.is_faulty(up) {
            self.run.faulty_requests += 1;
        }
        self.recent_sends.push_back((now, self.is_faulty(up) && is_usual));
        let hop = self.hop(b, up);
        self.schedule(hop, Event::AtUpstream { request, up });
    }

    /// Chooses an upstream; the flag is false for probes and fallback choices.
    fn choose(&mut self, request: usize) -> Option<(usize, Option<AttemptKey>, bool)> {
        let (b, now) = (self.requests[request].b, self.now);
        match self.scenario.policy {
            Policy::Naive => Some((self.naive[b].pick(now, &mut self.rng)?, None, true)),
            Policy::Oracle => Some((self.best_upstream(), None, true)),
            Policy::Belief => {
                let info = RequestInfo {
                    service: self.services[b],
                    repeatable: self.scenario.repeatable,
                    priority: 0,
                    large_transfer: false,
                    target: Some(self.scenario.size.deadline / 5),
                    remaining: Some(self.scenario.size.deadline),
                    route: NameId::of("r"),
                    regions: None,
                };
                let last_tried = self.requests[request].last_tried;
                let last_tried: Vec<UpstreamKey> = last_tried.into_iter().collect();
                let p = self.balancers[b].pick(&info, &last_tried, now).ok()?;
                self.broadcast_updates(b);
                let up = upstream_index(self.balancers[b].endpoint(p.upstream)?.name);
                self.requests[request].last_tried = Some(p.upstream);
                Some((up, Some(p.attempt), p.reason == Reason::LeastLoss))
            }
            _ => {
                let p = self.routers[b].pick(self.keys[b], true, &[], now).ok()?;
                let up = upstream_index(self.routers[b].endpoint(p.upstream)?.0);
                Some((up, Some(p.attempt), p.reason == Reason::TwoChoices))
            }
        }
    }

    /// Returns the healthy upstream with the fewest requests, by full knowledge.
    fn best_upstream(&self) -> usize {
        let load_key = |i: &usize| {
            let is_unhealthy =
                self.is_faulty(*i) && self.now >= FAULT_AT || self.in_failure_episode(*i);
            (is_unhealthy, self.upstreams[*i].busy + self.upstreams[*i].queue.len())
        };
        (0..self.upstreams.len()).min_by_key(load_key).expect("there is at least one upstream")
    }

    /// Delivers the pending updates of a box to its peers after one millisecond.
    pub(super) fn broadcast_updates(&mut self, b: usize) {
        for update in self.balancers[b].take_updates() {
            let is_local = update.is_for_hall();
            for to in (0..self.scenario.size.boxes).filter(|&to| to != b) {
                if is_local && to % self.scenario.size.halls != b % self.scenario.size.halls {
                    continue;
                }
                self.run.control_bytes += 60;
                self.schedule(Duration::from_millis(1), Event::Update { from: b, to, update });
            }
        }
    }

    /// Records an overdue attempt for [`Policy::Belief`], which does not poll for them.
    pub(super) fn overdue(&mut self, request: usize) {
        let r = &self.requests[request];
        if let (false, Some(a)) = (r.done, r.attempt) {
            let b = r.b;
            self.balancers[b].record_in_flight(a, self.now);
            self.broadcast_updates(b);
        }
    }

    /// Returns whether a flaky upstream is in a failure episode.
    fn in_failure_episode(&self, up: usize) -> bool {
        let size = self.scenario.size;
        let is_flaky = (up as f64 + 0.5) / size.upstreams as f64 > 1.0 - size.flaky_share;
        let phase = (self.now.as_secs() + up as f64 * 2.3) % EPISODE_INTERVAL;
        is_flaky && phase < EPISODE_DURATION
    }

    fn hop(&self, b: usize, up: usize) -> Duration {
        let same = b % self.scenario.size.halls == up % self.scenario.size.halls;
        let extra_hop = if self.scenario.policy == Policy::Home { EXTRA_HOP_US } else { 0 };
        Duration::from_micros(
            extra_hop + if same { 100 } else { self.scenario.size.hall_latency_us },
        )
    }

    /// Returns whether the fault affects this upstream, which is always number zero.
    pub(super) fn is_faulty(&self, up: usize) -> bool {
        up == 0 && !matches!(self.scenario.fault, Fault::None | Fault::Overload)
    }

    pub(super) fn at_upstream(&mut self, request: usize, up: usize) {
        if self.requests[request].done {
            return;
        }
        if self.upstreams[up].busy < self.scenario.size.slots {
            self.begin(request, up);
        } else {
            self.requests[request].location = Location::Queued;
            self.upstreams[up].queue.push_back(request);
        }
    }

    fn begin(&mut self, request: usize, up: usize) {
        self.upstreams[up].busy += 1;
        self.requests[request].location = Location::Running;
        let b = self.requests[request].b;
        let mut secs = self.scenario.size.service_time * (SIGMA * self.sample_normal()).exp();
        let mut ok = self.rng.f64() >= self.scenario.size.failure_share;
        if self.in_failure_episode(up) && self.rng.f64() < EPISODE_FAILURE_SHARE {
            (ok, secs) = (false, secs / 10.0);
        }
        let mut kind = Outcome::Completed;
        if self.is_faulty(up) && self.now >= FAULT_AT {
            let phase = self.now.since(FAULT_AT).as_millis() / 1_000;
            match self.scenario.fault {
                // Never finishes; the slot is freed when the deadline cancels the request.
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
            self.schedule(Duration::from_secs_f64(secs), Event::Finished { request, up, ok, kind });
        }
    }

    pub(super) fn complete(&mut self, request: usize, up: usize, ok: bool, kind: Outcome) {
        let r = &self.requests[request];
        // A cancelled request has already freed its slot.
        if r.done || r.up != up {
            return;
        }
        let hop = self.hop(r.b, up);
        self.requests[request].location = Location::InNetwork;
        self.free_slot(up);
        self.schedule(hop, Event::Answer { request, ok, kind });
    }

    fn free_slot(&mut self, up: usize) {
        self.upstreams[up].busy -= 1;
        while let Some(next) = self.upstreams[up].queue.pop_front() {
            if !self.requests[next].done && self.requests[next].up == up {
                self.begin(next, up);
                return;
            }
        }
    }

    pub(super) fn answer(&mut self, request: usize, ok: bool, kind: Outcome) {
        let now = self.now;
        if self.requests[request].done {
            return;
        }
        let is_success = ok && kind == Outcome::Completed;
        self.report_outcome(request, ok, kind);
        let r = &mut self.requests[request];
        if !is_success && r.attempts < 2 && kind == Outcome::Completed && self.scenario.repeatable {
            return self.send(request);
        }
        r.done = true;
        if now >= FAULT_AT && is_success {
            self.run.successes += 1;
            let took = now.since(self.requests[request].born);
            self.run.latencies_ms.push(took.as_secs_f64() * 1e3);
        }
    }

    /// Reports the outcome of an attempt to the policy.
    fn report_outcome(&mut self, request: usize, ok: bool, kind: Outcome) {
        let r = &self.requests[request];
        let (b, up, now) = (r.b, r.up, self.now);
        match r.attempt {
            None if self.scenario.policy == Policy::Oracle => {}
            None => {
                self.naive[b].finish(up, ok && kind == Outcome::Completed, now);
            }
            Some(a) if self.scenario.policy == Policy::Belief => {
                if kind != Outcome::TimedOut {
                    self.balancers[b].response_started(a, ok, now);
                }
                self.balancers[b].finish(a, kind, now);
                self.broadcast_updates(b);
            }
            Some(a) => {
                if kind != Outcome::TimedOut {
                    self.routers[b].response_started(a, ok, now);
                }
                self.routers[b].finish(a, kind, now);
            }
        }
    }

    pub(super) fn deadline_passed(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        self.report_outcome(request, false, Outcome::TimedOut);
        let up = self.requests[request].up;
        self.requests[request].done = true;
        // Cancellation frees the slot or removes the request from the queue.
        match self.requests[request].location {
            Location::InNetwork => {}
            Location::Queued => self.upstreams[up].queue.retain(|&q| q != request),
            Location::Running => self.free_slot(up),
        }
    }
}
