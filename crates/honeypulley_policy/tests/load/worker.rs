//! An upstream of a simulated data hall, with its spells and what it was sent.

use crate::plan::Plan;

#[derive(Debug, Default)]
pub struct Worker {
    /// From when to when it is ill.
    pub spells: Vec<(u64, u64)>,
    /// When each request there ends.
    pub ends: Vec<u64>,
    pub sent: Vec<u64>,
    /// Sends that it rejected.
    pub rejected: usize,
    /// Backoffs that it asked boxes for.
    backoffs: Vec<Backoff>,
}

/// A backoff that a rejection asked one box for.
#[derive(Debug)]
struct Backoff {
    from: usize,
    /// From when a send counts, in ms.
    since: u64,
    until: u64,
    sends: usize,
}

/// Time after a rejection in which what is in flight may still come, in ms.
const IN_FLIGHT_MS: u64 = 500;

impl Worker {
    pub fn new(plan: &Plan, until: u64, rng: &mut fastrand::Rng) -> Self {
        let mut spells = Vec::new();
        let gap = |rng: &mut fastrand::Rng| (-(1.0 - rng.f64()).ln() * plan.gap_s * 1e3) as u64;
        let mut at = gap(rng);
        while at < until {
            let ends = at + (plan.spell_s * (0.4 + 1.2 * rng.f64()) * 1e3) as u64;
            spells.push((at, ends));
            at = ends + gap(rng);
        }
        Self { spells, ..Self::default() }
    }

    /// Rejects a request of a box.
    pub fn reject(&mut self, from: usize, now: u64, plan: &Plan) {
        self.rejected += 1;
        let (since, until) = (now + IN_FLIGHT_MS, now + plan.backoff_ms);
        self.backoffs.push(Backoff { from, since, until, sends: 0 });
    }

    /// Counts a send of a box against the backoffs that it was asked for.
    pub fn count_backoff(&mut self, from: usize, now: u64) {
        let bound = |b: &&mut Backoff| b.from == from && (b.since..b.until).contains(&now);
        self.backoffs.iter_mut().rev().take(4_000).filter(bound).for_each(|b| b.sends += 1);
    }

    /// Returns the most sends within one backoff.
    pub fn most_in_backoff(&self) -> usize {
        self.backoffs.iter().map(|b| b.sends).max().unwrap_or(0)
    }

    pub fn busy(&self, now: u64) -> usize {
        self.ends.iter().filter(|&&e| e > now).count()
    }

    pub fn is_ill(&self, now: u64) -> bool {
        self.spells.iter().any(|&(from, to)| (from..to).contains(&now))
    }

    /// Tells whether it was well from two seconds before a span to its end.
    pub fn is_sound(&self, from: u64, to: u64) -> bool {
        self.spells.iter().all(|&(a, b)| b + 2_000 <= from || a >= to)
    }

    /// Returns when one of its slots is free.
    pub fn free_at(&self, slots: usize, now: u64) -> u64 {
        let mut ends: Vec<u64> = self.ends.iter().copied().filter(|&e| e > now).collect();
        ends.sort_unstable();
        ends.len().checked_sub(slots).map_or(now, |i| ends[i])
    }
}
