//! Attempts at upstreams that are listed with another start by now.
//!
//! The entry alone does not show that an attempt is lost: another writer may have changed it, and
//! the earlier process may still work on the request. If that process has ended, its machine closes
//! the connection. Only a box that no packet of the machine reaches would wait until the deadline.

use super::{InFlight, Progress, Race};
use crate::liveness::is_unreachable;
use honeypulley_policy::quarantine::Crash;
use honeypulley_policy::router::UpstreamKey;
use std::time::Duration;

/// Time between two checks of an attempt, longer than one takes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Race {
    /// Checks the machines of restarted upstreams, and cancels attempts at unreachable ones.
    pub(super) fn check_restarted(&self, progress: &mut Progress) {
        let now = self.gate.now();
        let policy = self.gate.policy.lock();
        let is_due = |a: &&mut InFlight| {
            a.checked.is_none_or(|at| at + CHECK_INTERVAL <= now)
                && policy.has_restarted(a.upstream)
        };
        for a in progress.in_flight.iter_mut().filter(is_due) {
            a.checked = Some(now);
            let (addr, source, abort) = (a.addr, self.gate.source, a.abort.clone());
            tokio::spawn(async move {
                if let Some(addr) = addr
                    && is_unreachable(addr, source).await
                {
                    abort.abort();
                }
            });
        }
    }

    /// Records that the process of an upstream ended with an attempt, which was cancelled.
    pub(super) fn record_lost(&self, upstream: UpstreamKey, progress: &Progress) {
        let now = self.gate.now();
        if let Some(a) = progress.in_flight.iter().find(|a| a.upstream == upstream) {
            let crash = Crash { upstream: a.name, began: a.sent.at, ended: now };
            self.gate.suspects.record_crash(self.out.same, crash, now);
        }
    }
}
