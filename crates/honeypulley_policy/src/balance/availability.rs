//! Upstreams that a request may be sent to.

use super::signals::min_wait;
use super::{Balancer, Upstream};
use crate::balance::admit::RETRY_AFTER_BOUNDS;
use crate::chooser::RequestInfo;
use crate::collector::NameId;
use crate::router::{Refusal, RefusalKind, UpstreamKey};
use crate::time::Time;
use std::collections::BTreeSet;

impl Balancer {
    /// Sets the data halls whose upstreams get no new requests.
    pub fn set_evacuated(&mut self, halls: BTreeSet<NameId>) {
        self.evacuated = halls;
    }

    /// Returns whether an upstream may get new requests of any kind.
    pub(super) fn is_in_service(&self, u: &Upstream) -> bool {
        !u.is_leaving() && !self.evacuated.contains(&u.hall)
    }

    /// Returns the upstreams that a request may be sent to now.
    ///
    /// Every send uses it: first attempts, probes, retries and hedges.
    ///
    /// # Errors
    /// Refuses the request if there is none, with the time until one becomes available.
    pub(super) fn sendable(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Vec<UpstreamKey>, Refusal> {
        let listed = self.services.get(info.service).map_or(&[][..], |s| &s.upstreams);
        let (mut open, mut wait) = (Vec::with_capacity(listed.len()), None);
        for &k in listed.iter().filter(|k| !tried.contains(k)) {
            let u = &self.upstreams[k];
            let is_allowed = info.regions.is_none_or(|r| r.intersects(u.region));
            match u.backoff_left(now) {
                _ if !is_allowed || !self.is_in_service(u) => {}
                None => open.push(k),
                Some(left) => wait = min_wait(wait, left),
            }
        }
        let is_backoff = open.is_empty() && wait.is_some();
        let (open, limited) = self.filter_limited(open, info, now);
        let kind = if is_backoff { RefusalKind::Backoff } else { RefusalKind::LimitsExhausted };
        match limited.map_or(wait, |w| min_wait(wait, w)) {
            Some(wait) if open.is_empty() => {
                Err(self.refuse(kind, wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)))
            }
            _ => Ok(open),
        }
    }
}
