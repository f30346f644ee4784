//! When a caller may return with a request that upstreams rejected.

use super::admit::RETRY_AFTER_BOUNDS;
use super::priority::MAX_FAULT_CHANCE;
use super::{Balancer, DEFAULT_TARGET, Service, Upstream};
use crate::chooser::RequestInfo;
use crate::router::UpstreamKey;
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
        let service_time = self.service_time(info);
        let wait = |&k: &UpstreamKey| {
            let u = &self.upstreams[k];
            u.wait(u.busy(now), service_time)
        };
        let queueing = self.likely_upstreams(s, info, now).iter().map(wait).min()?;
        if !queueing.is_zero() {
            return Some(queueing.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1));
        }
        let target = info.target.unwrap_or(DEFAULT_TARGET);
        let spare = target.saturating_sub(self.latency_quantile(info, ANSWERED_QUANTILE));
        Some(spare.mul_f64(SPARE_SHARE).clamp(SHED_WAIT_BOUNDS.0, SHED_WAIT_BOUNDS.1))
    }

    /// Returns the upstreams to which a repeated request will likely be sent.
    ///
    /// Those of other data halls count only if none is local, since their load is known late, and
    /// suspected ones only if all are.
    fn likely_upstreams(&self, s: &Service, info: &RequestInfo, now: Time) -> Vec<UpstreamKey> {
        let is_allowed = |u: &Upstream| info.regions.is_none_or(|r| u.region.intersects(r));
        let is_usable = |u: &Upstream| self.is_in_service(u) && is_allowed(u);
        let usable = s.upstreams.iter().copied();
        let usable = usable.filter(|&k| self.upstreams.get(k).is_some_and(is_usable));
        let usable = narrowed(usable.collect(), |k| self.upstreams[k].local);
        narrowed(usable, |k| self.fault_chance(k, now) < MAX_FAULT_CHANCE)
    }
}

/// Returns the upstreams that match, or all of them if none does.
fn narrowed(all: Vec<UpstreamKey>, is_match: impl Fn(UpstreamKey) -> bool) -> Vec<UpstreamKey> {
    let matching: Vec<UpstreamKey> = all.iter().copied().filter(|&k| is_match(k)).collect();
    if matching.is_empty() { all } else { matching }
}
