//! Admission control under overload.
//!
//! Once queues are so long that answers miss their deadline, every further request delays all
//! others, and work for callers that gave up is wasted: a fleet that could serve four fifths of
//! the requests in time serves one fifth. Such a request is rejected at once, with a
//! `Retry-After` by which the queue will have drained.

use super::in_flight::latency_prior;
use super::{Balancer, DEFAULT_TARGET};
use crate::chooser::RequestInfo;
use crate::router::{Refusal, RefusalKind, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Expected latency above which requests are rejected in a transient queue, in targets.
const TRANSIENT_TARGETS: f64 = 1.25;
/// Time constant of the moving average that tells standing queues from transient ones.
///
/// Longer than the interval of RFC 8289, since a box sees few requests of a service.
const QUEUE_TIME: Duration = Duration::from_secs(1);
/// Share of queued requests above which the queue counts as standing.
const STANDING_SHARE: f64 = 0.5;
/// Expected latency above which requests are rejected in a standing queue, in targets.
const STANDING_TARGETS: f64 = 0.65;
/// Allowed share of the time beyond the target, on routes with longer time limits.
///
/// Such routes still benefit from late answers.
const LATE_SHARE: f64 = 0.5;
/// Share of the allowed latency for retries in a standing queue.
///
/// Retries are rejected first.
const RETRY_SHARE: f64 = 0.5;
/// Bounds of the `Retry-After` of a rejected request.
pub(super) const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// Returns the highest expected latency at which a request is admitted.
fn allowed_latency(info: &RequestInfo, targets: f64) -> Duration {
    let target = info.target.unwrap_or(DEFAULT_TARGET);
    let late = info.remaining.map_or(Duration::ZERO, |left| left.saturating_sub(target));
    let allowed = target.mul_f64(targets).max(late.mul_f64(LATE_SHARE));
    info.remaining.map_or(allowed, |left| allowed.min(left))
}

/// Moving average of the share of a service's requests that have to queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueAverage {
    share: f64,
    at: Option<Time>,
}

impl QueueAverage {
    /// Records whether a request has to queue; returns whether the queue is standing.
    fn record(&mut self, is_queued: bool, now: Time) -> bool {
        let gap = self.at.map_or(Duration::ZERO, |at| now.since(at));
        let kept = (-gap.as_secs_f64() / QUEUE_TIME.as_secs_f64()).exp();
        let sample = if is_queued { 1.0 } else { 0.0 };
        self.share = self.share * kept + sample * (1.0 - kept);
        self.at = Some(now);
        self.share > STANDING_SHARE
    }
}

impl Balancer {
    /// Rejects a request that no upstream can be expected to answer in time.
    ///
    /// Returns the upstream for it, which is `k` unless more urgent requests need its slots and
    /// another one of `open` has a free slot.
    pub(super) fn admit(
        &mut self,
        k: UpstreamKey,
        open: &[UpstreamKey],
        info: &RequestInfo,
        is_first: bool,
        now: Time,
    ) -> Result<UpstreamKey, Refusal> {
        let wait = self.wait(k, info, now);
        let expected = wait + self.latency_quantile(info, 0.5);
        let least = allowed_latency(info, STANDING_TARGETS);
        let in_time = info.target.unwrap_or(DEFAULT_TARGET).mul_f64(STANDING_TARGETS);
        if is_first {
            // A retry meets the queue of the same request a second time.
            self.record_pressure(info, wait, in_time, now);
        }
        // Where routes differ in priority, a queue in which most answers are late serves nobody
        // better than a shorter one.
        let is_ranked = self.services.get(info.service).is_some_and(|s| s.spec.mix.is_ranked());
        let least = if is_ranked { least.min(in_time) } else { least };
        let service = self.services.get_mut(info.service);
        let is_standing = service.is_some_and(|s| s.queueing.record(expected > least, now));
        let most = match (is_standing, is_first) {
            (false, _) => allowed_latency(info, TRANSIENT_TARGETS),
            (true, true) => least,
            (true, false) => least.mul_f64(RETRY_SHARE),
        };
        // Only queueing delay is a reason for rejection, since the service time of this request
        // is unknown.
        let excess = expected.saturating_sub(most).min(wait);
        if excess.is_zero() {
            let refused = self.admit_by_priority(info, wait, now);
            return refused.map(|()| k).or_else(|r| self.free_upstream(open, info, now).ok_or(r));
        }
        if let Some(free) = is_ranked.then(|| self.free_upstream(open, info, now)).flatten() {
            return Ok(free);
        }
        let (shortest, longest) = RETRY_AFTER_BOUNDS;
        let drained = (excess + most / 2).clamp(shortest, longest);
        Err(self.refuse(RefusalKind::Overload, drained))
    }

    /// Returns the queueing delay to expect at an upstream.
    pub(super) fn wait(&self, k: UpstreamKey, info: &RequestInfo, now: Time) -> Duration {
        let Some(u) = self.upstreams.get(k) else { return Duration::ZERO };
        u.wait(u.busy(now), self.service_time(info))
    }

    /// Returns the usual time that an upstream takes for a request of a service.
    pub(super) fn service_time(&self, info: &RequestInfo) -> Duration {
        let prior = latency_prior(info.target.unwrap_or(DEFAULT_TARGET));
        let service = self.services.get(info.service);
        service.map_or(Duration::ZERO, |s| s.latencies.quantile(0.5, prior))
    }
}
