//! Deterministic placement by rendezvous hashing.
//!
//! Every box computes the same answer from the same list, so no election is
//! needed. A lagging list costs a little traffic and never correctness.
//! Source: Thaler and Ravishankar, 1998.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Role that a rendezvous draw is for, so that roles land on different boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watches the platform for a data hall.
    Relay,
    /// Collects evidence for a service.
    Collector,
    /// Upstreams that a box sends a service's requests to.
    Subset,
}

/// Boxes that collect evidence for one service.
pub const COLLECTORS: usize = 2;

/// Boxes of one data hall that watch the platform.
pub const RELAYS: usize = 3;

/// Returns the `k` names with the highest weight for `subject`.
///
/// The subject is hashed once and seeds the hash of each name, since a box
/// draws for hundreds of services among hundreds of names.
#[must_use]
pub fn top<'a>(
    role: Role,
    subject: &str,
    names: impl IntoIterator<Item = &'a str>,
    k: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), role as u64 + 1);
    let weight = |n: &str| xxh3_64_with_seed(n.as_bytes(), seed);
    let mut drawn: Vec<(u64, &str)> = names.into_iter().map(|n| (weight(n), n)).collect();
    let k = k.min(drawn.len());
    if k == 0 {
        return Vec::new();
    }
    drawn.select_nth_unstable_by(k - 1, |a, b| b.cmp(a));
    drawn.truncate(k);
    drawn.sort_unstable_by(|a, b| b.cmp(a));
    drawn.into_iter().map(|(_, n)| n).collect()
}

/// Returns the weight of one box in the draw for a numbered subject.
#[must_use]
pub fn weight(id: u64, subject: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), subject)
}

/// Returns the boxes that collect evidence on a service.
#[must_use]
pub fn collectors<'a>(service: &str, boxes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    top(Role::Collector, service, boxes, COLLECTORS)
}

/// Returns how many upstreams of a service one box may connect to.
///
/// `boxes` boxes with one connection each must stay under `connections` at every
/// upstream. A random draw spreads as a binomial, so four standard deviations are
/// kept free. The whole set is returned where it fits, as it does today.
#[must_use]
pub fn subset_size(boxes: usize, upstreams: usize, connections: usize) -> usize {
    if boxes <= connections {
        return upstreams;
    }
    let fits = |d: usize| {
        let p = d as f64 / upstreams as f64;
        let mean = boxes as f64 * p;
        let spread = (mean * (1.0 - p)).sqrt();
        mean + 4.0 * spread <= connections as f64
    };
    (1..=upstreams).take_while(|&d| fits(d)).last().unwrap_or(1)
}

/// Returns how many connections one box may hold to one upstream.
#[must_use]
pub fn connection_share(
    boxes: usize,
    subset: usize,
    upstreams: usize,
    connections: usize,
) -> usize {
    let sharers = (boxes * subset).div_ceil(upstreams.max(1)).max(1);
    (connections / sharers).max(1)
}
