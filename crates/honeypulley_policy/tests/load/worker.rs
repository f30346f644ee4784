//! A simulated upstream with its faults and its requests.

use crate::plan::Plan;

#[derive(Debug, Default)]
pub struct Worker {
    /// Start and end of each fault.
    pub faults: Vec<(u64, u64)>,
    /// End of each request.
    pub ends: Vec<u64>,
    pub sent: Vec<u64>,
    /// Number of rejected requests.
    pub rejected: usize,
    /// Backoffs requested from boxes.
    backoffs: Vec<Backoff>,
}

/// A backoff requested from one box by a rejection.
#[derive(Debug)]
struct Backoff {
    from: usize,
    /// Time from which attempts count, in ms.
    since: u64,
    until: u64,
    sends: usize,
}

/// Time for which requests may still be in flight after a rejection, in ms.
const IN_FLIGHT_MS: u64 = 500;

impl Worker {
    pub fn new(plan: &Plan, until: u64, rng: &mut fastrand::Rng) -> Self {
        let mut faults = Vec::new();
        if plan.prone < 1.0 && rng.f64() >= plan.prone {
            return Self::default();
        }
        let gap = |rng: &mut fastrand::Rng| (-(1.0 - rng.f64()).ln() * plan.gap_s * 1e3) as u64;
        let mut at = gap(rng);
        while at < until {
            let ends = at + (plan.fault_s * (0.4 + 1.2 * rng.f64()) * 1e3) as u64;
            faults.push((at, ends));
            at = ends + gap(rng);
        }
        Self { faults, ..Self::default() }
    }

    /// Rejects a request from a box.
    pub fn reject(&mut self, from: usize, now: u64, plan: &Plan) {
        self.rejected += 1;
        let (since, until) = (now + IN_FLIGHT_MS, now + plan.backoff_ms);
        self.backoffs.push(Backoff { from, since, until, sends: 0 });
    }

    /// Counts an attempt of a box against the backoffs requested from it.
    pub fn count_backoff(&mut self, from: usize, now: u64) {
        let bound = |b: &&mut Backoff| b.from == from && (b.since..b.until).contains(&now);
        self.backoffs.iter_mut().rev().take(4_000).filter(bound).for_each(|b| b.sends += 1);
    }

    /// Returns the most attempts within one backoff.
    pub fn most_in_backoff(&self) -> usize {
        self.backoffs.iter().map(|b| b.sends).max().unwrap_or(0)
    }

    pub fn busy(&self, now: u64) -> usize {
        self.ends.iter().filter(|&&e| e > now).count()
    }

    pub fn is_faulty(&self, now: u64) -> bool {
        self.faults.iter().any(|&(from, to)| (from..to).contains(&now))
    }

    /// Returns whether there was no fault in a window and the two seconds before it.
    pub fn was_healthy(&self, from: u64, to: u64) -> bool {
        self.faults.iter().all(|&(a, b)| b + 2_000 <= from || a >= to)
    }

    /// Returns the time at which a slot becomes free.
    pub fn free_at(&self, slots: usize, now: u64) -> u64 {
        let mut ends: Vec<u64> = self.ends.iter().copied().filter(|&e| e > now).collect();
        ends.sort_unstable();
        ends.len().checked_sub(slots).map_or(now, |i| ends[i])
    }
}
