//! Whether so many upstreams have work that the others may rest.
//!
//! The floor asks for work on a share of a service's upstreams that are well, not on all of
//! them. Those that nobody needs are left alone, since the first request that meets a spell
//! of failures is lost if it may not be repeated.

use super::Balancer;
use crate::router::UpstreamKey;
use crate::time::Time;
use std::time::Duration;

/// Time within which an upstream has to have had work.
///
/// The floor is counted over two seconds; a late datagram has some room.
pub(super) const WORK_TIME: Duration = Duration::from_millis(1_650);
/// Time after its last work from which an upstream counts as without.
///
/// It is when the first boxes have their turns to try it.
const FRESH_TIME: Duration = Duration::from_millis(1_400);
/// Time for which an upstream has to be well before the floor counts it.
const SOUND_AFTER: Duration = Duration::from_secs(2);
/// Share of the upstreams that are well by which more have work than the floor asks for.
///
/// The standard deviation of such a count comes on top, since health is known by chances alone.
const MARGIN: f64 = 0.04;

/// What the floor asks of the upstreams of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct FloorRule {
    /// Share of them that is to have work.
    pub(super) share: f64,
    /// Upstreams of the service, in all data halls.
    pub(super) upstreams: usize,
}

impl FloorRule {
    fn wanted(&self) -> f64 {
        let spread = self.share * (1.0 - self.share) / self.upstreams.max(1) as f64;
        self.share + MARGIN + spread.sqrt()
    }
}

impl Balancer {
    /// Returns whether so many upstreams of this data hall have work that the others may rest.
    pub(super) fn keeps_floor(&self, open: &[UpstreamKey], rule: FloorRule, now: Time) -> bool {
        let near = open.iter().map(|&k| &self.upstreams[k]).filter(|u| u.near);
        let (mut counted, mut working) = (0.0, 0.0);
        for u in near {
            if u.is_new() {
                return false;
            }
            // The chance that the floor counts it.
            let sound = 1.0 - u.shared.chance(now.before(SOUND_AFTER));
            counted += sound;
            if u.worked.is_some_and(|at| now.since(at) < FRESH_TIME) {
                working += sound;
            }
        }
        working >= rule.wanted() * counted
    }
}
