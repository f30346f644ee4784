//! Whether a request is sent at all.
//!
//! Where every upstream has so many requests waiting that an answer would come too
//! late, one more only makes all others later: the work of those that give up is lost,
//! and a fleet that could serve four fifths in time serves one fifth. Such a request
//! is rejected at once, with the time at which the queue will have drained.

use super::doubt::assumed;
use super::{Balancer, DEFAULT_AIM};
use crate::chooser::Ask;
use crate::router::{Refusal, RefusalKind, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Expected answer time, in aims, above which a request is rejected while queues are transient.
const PASSING_AIMS: f64 = 1.25;
/// Time constant of the average that tells a standing queue from a transient one.
///
/// Longer than the interval of RFC 8289, since a box sees few requests of a service.
const PRESSURE_TIME: Duration = Duration::from_secs(1);
/// Share of requests that had to queue above which the queue counts as standing.
const STANDING_SHARE: f64 = 0.5;
/// Expected answer time, in aims, above which a request is rejected while a queue stands.
const MOST_AIMS: f64 = 0.65;
/// Share of the time beyond the aim that is granted where a route holds requests longer.
///
/// Such a route wants late answers too.
const LATE_SHARE: f64 = 0.5;
/// Share of that time granted to a retry while a queue stands: retries are rejected first.
const AGAIN_SHARE: f64 = 0.5;
/// Bounds of the `Retry-After` of a rejected request.
pub(super) const WAIT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// Returns the time within which an answer has to be expected.
fn granted(ask: &Ask, aims: f64) -> Duration {
    let aim = ask.aim.unwrap_or(DEFAULT_AIM);
    let late = ask.left.map_or(Duration::ZERO, |left| left.saturating_sub(aim));
    let granted = aim.mul_f64(aims).max(late.mul_f64(LATE_SHARE));
    ask.left.map_or(granted, |left| granted.min(left))
}

/// How much of the time requests of a service had to queue, over the last moments.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    share: f64,
    at: Option<Time>,
}

impl Pressure {
    /// Records whether a request would have to queue; returns whether a queue stands.
    fn take(&mut self, is_queued: bool, now: Time) -> bool {
        let gap = self.at.map_or(Duration::ZERO, |at| now.since(at));
        let kept = (-gap.as_secs_f64() / PRESSURE_TIME.as_secs_f64()).exp();
        let sample = if is_queued { 1.0 } else { 0.0 };
        self.share = self.share * kept + sample * (1.0 - kept);
        self.at = Some(now);
        self.share > STANDING_SHARE
    }
}

impl Balancer {
    /// Refuses a request that can't be expected to be answered in time anywhere.
    pub(super) fn admit(
        &mut self,
        k: UpstreamKey,
        ask: &Ask,
        is_first: bool,
        now: Time,
    ) -> Result<(), Refusal> {
        let wait = self.wait(k, ask, now);
        let expected = wait + self.usual_within(ask, 0.5);
        let least = granted(ask, MOST_AIMS);
        let service = self.services.get_mut(ask.service);
        let stands = service.is_some_and(|s| s.pressure.take(expected > least, now));
        let most = match (stands, is_first) {
            (false, _) => granted(ask, PASSING_AIMS),
            (true, true) => least,
            (true, false) => least.mul_f64(AGAIN_SHARE),
        };
        // What does not wait is refused by nobody: how long its work takes isn't known.
        let excess = expected.saturating_sub(most).min(wait);
        if excess.is_zero() {
            return Ok(());
        }
        let (shortest, longest) = WAIT_BOUNDS;
        let drained = (excess + most / 2).clamp(shortest, longest);
        Err(self.refuse(RefusalKind::Overload, drained))
    }

    /// Returns how long a request would wait at an upstream before it is worked on.
    pub(super) fn wait(&self, k: UpstreamKey, ask: &Ask, now: Time) -> Duration {
        let (Some(u), Some(s)) = (self.upstreams.get(k), self.services.get(ask.service)) else {
            return Duration::ZERO;
        };
        let work = s.work.within(0.5, assumed(ask.aim.unwrap_or(DEFAULT_AIM)));
        u.wait(u.busy(now), work)
    }
}
