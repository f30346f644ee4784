//! Whether a request is sent at all.
//!
//! Where every upstream has so many requests waiting that an answer would come too
//! late, one more only makes all others later: the work of those that give up is lost,
//! and a fleet that could serve four fifths in time serves one fifth. Such a request
//! is refused at once, and told to come back when the queue will have drained.

use super::doubt::assumed;
use super::{Balancer, DEFAULT_AIM};
use crate::chooser::Ask;
use crate::router::{Refusal, RefusalKind, UpstreamKey, jitter};
use crate::time::Time;
use std::time::Duration;

/// Times the aim within which an answer has to be expected.
const MOST_AIMS: f64 = 1.25;
/// Shortest and longest wait told to a caller that is refused.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

impl Balancer {
    /// Refuses a request that can't be expected to be answered in time anywhere.
    pub(super) fn admit(&mut self, k: UpstreamKey, ask: &Ask, now: Time) -> Result<(), Refusal> {
        let aim = ask.aim.unwrap_or(DEFAULT_AIM);
        let most = aim.mul_f64(MOST_AIMS);
        let most = ask.left.map_or(most, |left| most.min(left));
        let expected = self.wait(k, ask, now) + self.usual_within(ask, 0.5);
        let Some(excess) = expected.checked_sub(most).filter(|e| !e.is_zero()) else {
            return Ok(());
        };
        let (least, longest) = WAIT_BOUNDS;
        let drained = (excess + most / 2).clamp(least, longest);
        let retry_after = jitter(drained, self.rng());
        Err(Refusal { kind: RefusalKind::Overload, retry_after })
    }

    /// Returns how long a request would wait at an upstream before it is worked on.
    pub(super) fn wait(&self, k: UpstreamKey, ask: &Ask, now: Time) -> Duration {
        let (Some(u), Some(s)) = (self.upstreams.get(k), self.services.get(ask.service)) else {
            return Duration::ZERO;
        };
        let work = s.work.within(0.5, assumed(ask.aim.unwrap_or(DEFAULT_AIM)));
        work.mul_f64(u.ahead(u.busy(now)) / u.slots)
    }
}
