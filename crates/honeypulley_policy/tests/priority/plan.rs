//! Loads and faults of a simulated fleet.

use crate::fleet::{Ended, SLOTS};
use honeypulley_policy::balance::Level;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub priority: u8,
    pub repeatable: bool,
    /// Requests per second at capacity.
    pub rate: f64,
    /// Mean processing time, in ms.
    pub work: f64,
    pub target: u64,
    /// Time limit, in ms.
    pub limit: u64,
    /// Data hall of all its callers, if they are in one.
    pub hall: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub kinds: &'static [Kind],
    /// Priorities of organisations and routes whose ranks the kinds have, if organisations have any.
    pub ranked: &'static [(u8, u8)],
    /// Whether the service counts as ranked; else the rule without priorities decides.
    pub is_ranked: bool,
    /// Whether announced levels reach other boxes.
    pub announces: bool,
    pub floor: f64,
    pub halls: usize,
    /// Boxes and upstreams of each data hall.
    pub boxes: usize,
    pub upstreams: usize,
    /// Load relative to the capacity, before and after the step, and during it.
    pub usual: f64,
    pub peak: f64,
    /// Start and end of the step, in ms.
    pub step: (u64, u64),
    pub until: u64,
    /// Share of the requests that all come to the first data hall.
    pub skew: f64,
    /// Share of lost updates.
    pub loss: f64,
    /// Whether the first box is partitioned from its peers during the step.
    pub cut: bool,
    /// Whether the first box is frozen for 2 s before the end of the step.
    pub frozen: bool,
    /// One in this many upstreams crashes for the step.
    pub down: usize,
    /// Whether three in ten upstreams hang now and then.
    pub hanging: bool,
    /// Share of requests that upstreams shed during the step although slots are free.
    pub shedding: f64,
    /// Level that boxes outside of the simulated fleet announce during the step.
    pub announced: Option<Level>,
    pub seed: u64,
}

impl Plan {
    fn in_step(&self, now: u64) -> bool {
        (self.step.0..self.step.1).contains(&now)
    }

    /// Returns the load at a time, as a factor on the kinds' rates.
    pub fn load(&self, now: u64) -> f64 {
        let slots = (self.halls * self.upstreams * SLOTS) as f64;
        let busy: f64 = self.kinds.iter().map(|k| k.rate * k.work / 1e3).sum();
        // One request in 33 takes 2.5 times as long.
        let capacity = slots / (busy * 1.045);
        capacity * if self.in_step(now) { self.peak } else { self.usual }
    }

    pub fn is_frozen(&self, i: usize, now: u64) -> bool {
        self.frozen && i == 0 && (self.step.1 - 2_000..self.step.1).contains(&now)
    }

    pub fn is_cut(&self, from: usize, to: usize, now: u64) -> bool {
        self.cut && (from == 0 || to == 0) && self.in_step(now)
    }

    pub fn is_down(&self, upstream: usize, now: u64) -> bool {
        self.down > 0 && upstream.is_multiple_of(self.down) && self.in_step(now)
    }

    /// Returns whether an upstream is within an episode of hanging, of 3 s in each 9 s.
    pub fn hangs(&self, upstream: usize, now: u64) -> bool {
        self.hanging && upstream % 10 < 3 && (now + upstream as u64 * 1_700) % 9_000 < 3_000
    }

    pub fn announced_level(&self, now: u64) -> Option<Level> {
        self.announced.filter(|_| self.in_step(now))
    }

    pub fn shed_share(&self, now: u64) -> f64 {
        if self.in_step(now) { self.shedding } else { 0.0 }
    }
}

/// Numbers of requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: f64,
    pub served: f64,
    pub in_time: f64,
}

impl Counts {
    /// Counts the requests of the accepted results.
    pub fn of(plan: &Plan, ended: &[Ended], accepts: impl Fn(&Ended) -> bool) -> Self {
        let mut c = Self::default();
        for e in ended.iter().filter(|e| accepts(e)) {
            c.sent += 1.0;
            c.served += if e.took.is_some() { 1.0 } else { 0.0 };
            let in_time = e.took.is_some_and(|t| t <= plan.kinds[e.kind].target);
            c.in_time += if in_time { 1.0 } else { 0.0 };
        }
        c
    }

    pub fn served(&self) -> f64 {
        self.served / self.sent.max(1.0)
    }

    pub fn in_time(&self) -> f64 {
        self.in_time / self.sent.max(1.0)
    }

    /// Returns the mean value, of which a late answer has half.
    pub fn value(&self) -> f64 {
        (self.served + self.in_time) / 2.0 / self.sent.max(1.0)
    }
}
