//! Parameters of a simulated data hall and its faults.

/// Policy that picks upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy under test.
    Tested,
    /// The less busy of two upstreams drawn at random, without regard to failures.
    Naive,
    /// The least busy upstream without a fault at the time.
    Oracle,
}

/// Period in ms during which all upstreams reject a share of the requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shedding {
    pub from: u64,
    pub to: u64,
    pub share: f64,
}

/// Numbers of boxes, and of upstreams to which these boxes cannot connect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Partition {
    pub boxes: usize,
    pub upstreams: usize,
}

/// Upstreams that announce a rate limit in their responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimits {
    pub upstreams: usize,
    /// Limit of each upstream for requests from all boxes, per second.
    pub rate: f64,
    /// Time of the first announcement, in ms.
    pub from: u64,
}

impl RateLimits {
    /// Returns the rate limit in a response of an upstream, if there is one.
    pub fn limit(&self, upstream: usize, now: u64) -> Option<f64> {
        (upstream < self.upstreams && now >= self.from).then_some(self.rate)
    }
}

/// Faults of the datagrams between boxes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Datagrams {
    /// Share of the datagrams that are lost.
    pub lost: f64,
    /// Number of boxes that exchange none with the others.
    pub isolated: usize,
}

impl Datagrams {
    /// Returns whether a datagram arrives.
    pub fn arrives(&self, from: usize, to: usize, rng: &mut fastrand::Rng) -> bool {
        let is_cut = from.min(to) < self.isolated;
        !is_cut && (self.lost <= 0.0 || rng.f64() >= self.lost)
    }
}

/// An organisation that exceeds its limit, so that boxes reject most of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overuse {
    /// Requests that it sends to all boxes, per second.
    pub rate: f64,
    /// Requests of it that all boxes admit, per second.
    pub limit: f64,
    /// Time from which it sends requests, in ms.
    pub from: u64,
    /// Interval in ms in which it sends for the first half only, or zero to send at all times.
    pub period: u64,
}

impl Overuse {
    /// Returns whether the organisation sends requests.
    pub fn is_active(&self, now: u64) -> bool {
        let Some(elapsed) = now.checked_sub(self.from) else { return false };
        self.period == 0 || elapsed % self.period < self.period / 2
    }
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub policy: Policy,
    pub boxes: usize,
    pub upstreams: usize,
    pub slots: usize,
    /// Requests per second that must not be repeated (orders) and that may be (reads).
    pub orders: f64,
    pub reads: f64,
    /// Mean processing time, in ms.
    pub work_ms: f64,
    /// Share of requests that fail after processing on any upstream.
    pub base_rate: f64,
    /// Share of the upstreams that ever become faulty.
    pub prone: f64,
    /// Whether the routes of the service differ, which enables placement by hazard.
    pub mixed: bool,
    /// Mean time from the end of a fault to the next one, in seconds.
    pub gap_s: f64,
    /// Mean duration of a fault, in seconds.
    pub fault_s: f64,
    /// Share of requests that fail during a fault.
    pub fault_rate: f64,
    /// Time after which these requests fail, in ms; zero for immediate failures.
    pub fails_after_ms: u64,
    pub shedding: Shedding,
    /// Backoff requested by each rejection, in ms, or zero for none.
    pub backoff_ms: u64,
    pub partition: Partition,
    pub limits: RateLimits,
    pub datagrams: Datagrams,
    pub overuse: Overuse,
    pub seed: u64,
}
