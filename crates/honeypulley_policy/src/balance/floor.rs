//! The availability floor: the share of healthy upstreams that must get requests.
//!
//! Once the floor is met, the remaining upstreams need no probes. They are then left idle,
//! since the first request that meets a fault is lost if it may not be repeated.

use super::Balancer;
use crate::router::UpstreamKey;
use crate::time::Time;
use std::time::Duration;

/// Window within which an upstream must get a request.
///
/// The floor is evaluated over two seconds; the difference allows for delayed datagrams.
pub(super) const FLOOR_WINDOW: Duration = Duration::from_millis(1_650);
/// Time since its last request after which an upstream counts as idle.
///
/// The first boxes start to probe it at this time.
const IDLE_AFTER: Duration = Duration::from_millis(1_400);
/// Time for which an upstream must be healthy before the floor includes it.
const HEALTHY_AFTER: Duration = Duration::from_secs(2);
/// Share of healthy upstreams that must get requests beyond the floor.
///
/// The standard deviation of the count is added, since health is only known as a probability.
const MARGIN: f64 = 0.04;

/// Floor of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct FloorRule {
    /// Share of the healthy upstreams that must get requests.
    pub(super) share: f64,
    /// Number of upstreams of the service, in all data halls.
    pub(super) upstreams: usize,
    /// Whether the count of active upstreams has to allow for the uncertainty of their health.
    pub(super) has_margin: bool,
}

impl FloorRule {
    /// Returns whether `rate` requests per second reach enough of `local` upstreams of a data hall.
    pub(super) fn is_attainable(&self, local: usize, rate: f64) -> bool {
        rate * FLOOR_WINDOW.as_secs_f64() >= self.required_share() * local as f64
    }

    fn required_share(&self) -> f64 {
        if !self.has_margin {
            return self.share;
        }
        let variance = self.share * (1.0 - self.share) / self.upstreams.max(1) as f64;
        self.share + MARGIN + variance.sqrt()
    }
}

impl Balancer {
    /// Returns whether enough upstreams of this data hall get requests to meet the floor.
    pub(super) fn meets_floor(&self, open: &[UpstreamKey], rule: FloorRule, now: Time) -> bool {
        let local = open.iter().map(|&k| &self.upstreams[k]).filter(|u| u.local);
        let (mut total, mut active) = (0.0, 0.0);
        for u in local {
            if u.is_new() {
                return false;
            }
            // Probability that the floor includes this upstream.
            let healthy = 1.0 - u.shared.probability(now.before(HEALTHY_AFTER));
            total += healthy;
            if u.last_sent.is_some_and(|at| now.since(at) < IDLE_AFTER) {
                active += healthy;
            }
        }
        active >= rule.required_share() * total
    }
}
