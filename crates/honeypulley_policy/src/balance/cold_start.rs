//! First requests after a restart of all boxes.
//!
//! No box knows then which upstreams hang. A newly started box tries each upstream that it has
//! received no update about, and a request that must not be repeated is lost if its upstream hangs. Such
//! requests are left out of these trials where others, which a hedge can save, share the service.
//!
//! A box whose peers announced the retries before its start is not part of such a restart.

use super::{Balancer, Upstream};
use crate::chooser::RequestInfo;
use crate::time::Time;
use std::time::Duration;

/// Time after the start for which a box leaves trials to repeatable requests.
///
/// As long as newly started boxes try unknown upstreams more often.
const COLD_TIME: Duration = Duration::from_secs(5);

impl Balancer {
    /// Returns whether a request must not be used to try an upstream.
    ///
    /// Trials go to new upstreams first. Once there is none, all requests keep idle upstreams in
    /// use, as the floor requires.
    pub(super) fn is_spared(&self, info: &RequestInfo, now: Time) -> bool {
        let Some(s) = self.services.get(info.service) else { return false };
        let is_cold = !s.retries.has_history() && now.since(s.added) < COLD_TIME;
        let is_spared =
            is_cold && !info.repeatable && s.spec.mix.is_ranked() && s.spec.mix.is_mixed();
        let is_new = |u: &Upstream| u.is_new() && self.is_triable(u, info, now);
        is_spared && s.upstreams.iter().filter_map(|&k| self.upstreams.get(k)).any(is_new)
    }

    /// Returns whether a request might try an upstream of this data hall.
    fn is_triable(&self, u: &Upstream, info: &RequestInfo, now: Time) -> bool {
        let is_allowed = info.regions.is_none_or(|r| u.region.intersects(r));
        u.local && is_allowed && self.is_in_service(u) && u.busy(now) < u.slots
    }
}
