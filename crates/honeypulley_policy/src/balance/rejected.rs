//! When a caller may return with a request that upstreams rejected.

use super::admit::RETRY_AFTER_BOUNDS;
use super::{Balancer, DEFAULT_TARGET};
use crate::chooser::RequestInfo;
use crate::time::Time;
use std::time::Duration;

/// Share of the time that the target leaves after an answer's usual latency.
///
/// The rest covers the time until the rejection and the caller's way to another box.
const SPARE_SHARE: f64 = 0.25;
/// Latency quantile by which a repeated request is expected to be answered.
const ANSWERED_QUANTILE: f64 = 0.8;
/// Bounds of the wait while slots are free.
const SHED_WAIT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(250));

impl Balancer {
    /// Returns the wait after which a rejected request may be sent again.
    ///
    /// Upstreams that reject requests while slots are free shed them at random, so that another
    /// attempt has the same chance at any time. Otherwise the queues have to drain.
    pub(super) fn wait_after_rejection(&self, info: &RequestInfo, now: Time) -> Option<Duration> {
        let s = self.services.get(info.service).filter(|s| s.divides_budget())?;
        let usable = |k: &&_| self.upstreams.get(**k).is_some_and(|u| self.is_in_service(u));
        let queueing = s.upstreams.iter().filter(usable).map(|&k| self.wait(k, info, now)).min()?;
        if !queueing.is_zero() {
            return Some(queueing.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1));
        }
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let spare = target.saturating_sub(self.latency_quantile(info, ANSWERED_QUANTILE));
        Some(spare.mul_f64(SPARE_SHARE).clamp(SHED_WAIT_BOUNDS.0, SHED_WAIT_BOUNDS.1))
    }
}
