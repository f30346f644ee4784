//! Whether a request is sent at all.
//!
//! Where every upstream has so many requests waiting that an answer would come too
//! late, one more only makes all others later: the work of those that give up is lost,
//! and a fleet that could serve four fifths in time serves one fifth. Such a request
//! is refused at once, and told to come back when the queue will have drained.

use super::doubt::assumed;
use super::{Balancer, DEFAULT_AIM};
use crate::chooser::Ask;
use crate::router::{Refusal, RefusalKind, UpstreamKey};
use crate::time::Time;
use std::time::Duration;

/// Times the aim within which an answer has to be expected while a queue comes and goes.
///
/// Such a queue is worth its wait: held to the lower bound at all times, the
/// herbarium's standard days lost 0.012 of worth, most of it requests never served.
const PASSING_AIMS: f64 = 1.25;
/// Time over which it is taken whether requests have to queue.
///
/// RFC 8289 takes a tenth of it for packets; a box sees a request of a service each 100
/// to 300 ms.
const PRESSURE_TIME: Duration = Duration::from_secs(1);
/// Part of it with a queue from which on the queue counts as standing.
const STANDING_SHARE: f64 = 0.5;
/// Times the aim within which an answer has to be expected while a queue stands.
///
/// At 3.5 times the usual traffic, with callers that repeat, on the herbarium's sheet:
/// 324 requests served in time each two seconds at 0.65, 237 at 0.9, 161 at 1.25, and
/// 178 where none was refused.
const MOST_AIMS: f64 = 0.65;
/// Part of the time beyond the aim, for which the route holds a request, that is granted.
///
/// A route that holds requests for much longer than its aim still wants late answers:
/// at 0.65 of the aim alone, Vakatoro's sheet (held for 2.5 aims and more, late answers
/// worth half and more) lost 0.02 of worth in the same overload.
const LATE_SHARE: f64 = 0.5;
/// Part of that time for a second send while a queue stands: those end first.
const AGAIN_SHARE: f64 = 0.5;
/// Shortest and longest wait told to a caller that is refused.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

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
    /// Takes whether a request would have to queue; tells whether a queue stands.
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
