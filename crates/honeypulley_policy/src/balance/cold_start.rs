//! First requests after a restart of all boxes.
//!
//! No box knows then which upstreams hang. A newly started box tries each upstream that it has
//! heard nothing of, and a request that must not be repeated is lost if its upstream hangs. Such
//! requests are left out of these trials where others, which a hedge can save, share the service.

use super::{Balancer, RetryHistory};
use crate::chooser::RequestInfo;
use crate::time::Time;
use std::time::Duration;

/// Time after the start for which a box leaves trials to repeatable requests.
///
/// As long as newly started boxes try unknown upstreams more often.
const COLD_TIME: Duration = Duration::from_secs(5);

impl Balancer {
    /// Returns whether a request must not be used to try an upstream.
    pub(super) fn is_spared(&self, info: &RequestInfo, now: Time) -> bool {
        let Some(s) = self.services.get(info.service) else { return false };
        let is_cold = self.history == RetryHistory::Unknown && now.since(s.added) < COLD_TIME;
        is_cold && !info.repeatable && s.spec.mix.is_ranked() && s.spec.mix.is_mixed()
    }
}
