//! Deterministic placement by rendezvous hashing (Thaler and Ravishankar, 1998).
//!
//! Every box computes the same result from the same list, so no leader election is needed. A
//! lagging list costs some traffic but never correctness.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Purpose of a placement, hashed so that different roles select different boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Boxes that watch the platform on behalf of a data hall.
    Relay,
    /// Boxes that collect evidence for a service.
    Collector,
    /// Upstreams to which a box sends the requests of a service.
    Subset,
}

/// Number of boxes that collect evidence for one service.
pub const COLLECTORS: usize = 2;

/// Number of boxes per data hall that watch the platform.
pub const RELAYS: usize = 3;

/// Returns the `k` names with the highest weight for `subject`.
///
/// The subject is hashed only once, as the seed for hashing the names, since a box computes
/// placements for hundreds of services among hundreds of names.
#[must_use]
pub fn highest_weighted<'a>(
    role: Role,
    subject: &str,
    names: impl IntoIterator<Item = &'a str>,
    k: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), role as u64 + 1);
    let weight = |n: &str| xxh3_64_with_seed(n.as_bytes(), seed);
    let mut weighted: Vec<(u64, &str)> = names.into_iter().map(|n| (weight(n), n)).collect();
    let k = k.min(weighted.len());
    if k == 0 {
        return Vec::new();
    }
    weighted.select_nth_unstable_by(k - 1, |a, b| b.cmp(a));
    weighted.truncate(k);
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, n)| n).collect()
}

/// Returns the weight of one box for a numbered subject.
#[must_use]
pub fn weight(id: u64, subject: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), subject)
}

/// Returns the boxes that collect evidence on a service.
#[must_use]
pub fn collectors<'a>(service: &str, boxes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    highest_weighted(Role::Collector, service, boxes, COLLECTORS)
}

/// Returns the number of upstreams of a service that one box may connect to.
///
/// With one connection per box, every upstream must stay below `connections`. The number of boxes
/// per upstream follows a binomial distribution, so four standard deviations are reserved. All
/// upstreams are used where that fits, as in current deployments.
#[must_use]
pub fn subset_size(boxes: usize, upstreams: usize, connections: usize) -> usize {
    if boxes <= connections {
        return upstreams;
    }
    let fits = |size: usize| {
        let p = size as f64 / upstreams as f64;
        let mean = boxes as f64 * p;
        let deviation = (mean * (1.0 - p)).sqrt();
        mean + 4.0 * deviation <= connections as f64
    };
    (1..=upstreams).take_while(|&size| fits(size)).last().unwrap_or(1)
}

/// Returns the number of connections that one box may open to one upstream.
#[must_use]
pub fn connection_share(
    boxes: usize,
    subset: usize,
    upstreams: usize,
    connections: usize,
) -> usize {
    let boxes_per_upstream = (boxes * subset).div_ceil(upstreams.max(1)).max(1);
    (connections / boxes_per_upstream).max(1)
}
