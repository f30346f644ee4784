//! Attempts through another box, while this one is partitioned from the service.

use super::{Ended, Progress, Race, Running};
use crate::open::{Recipient, SentAttempt};
use crate::paths;
use crate::relay::{self, RelayFailure, RelayHead, RelayRequest};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Refusal, RefusalKind};
use honeypulley_policy::time::Time;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of failed connections after which a request is offered to another box.
const MAX_NOT_SENT: usize = 2;
/// `Retry-After` of a request to a service that this box can't reach by any way.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Where an attempt is sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Way {
    /// An upstream that the policy picks.
    Upstream,
    /// Another box, at this address.
    Peer(SocketAddr),
}

impl Race {
    /// Returns where the next attempt is sent.
    ///
    /// A box that reaches some of the upstreams counts as not partitioned. Its requests go through
    /// another box after failed connections to several of them. While it is partitioned and knows
    /// no usable box, one request at a time is sent to an upstream, which shows whether the
    /// partition has ended.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if the request can't be served from here.
    pub(super) fn way(&self, progress: &Progress) -> Result<Way, Refusal> {
        let (service, now) = (self.checked_service(), self.gate.now());
        let is_partitioned = self.gate.paths.lock().is_partitioned(service.id);
        if !is_partitioned && progress.not_sent < MAX_NOT_SENT {
            return Ok(Way::Upstream);
        }
        if let Some(peer) = self.choose_peer(progress, now) {
            if is_partitioned {
                paths::recheck(&self.gate, service);
            }
            return Ok(Way::Peer(peer));
        }
        if !is_partitioned {
            return Ok(Way::Upstream);
        }
        if self.relayed {
            paths::recheck(&self.gate, service);
        } else if self.gate.paths.lock().begin_check(service.id, now) {
            return Ok(Way::Upstream);
        }
        let retry_after = NO_PATH_RETRY_AFTER.mul_f64(1.0 + fastrand::f64() / 2.0);
        Err(Refusal { kind: RefusalKind::NoPath, retry_after })
    }

    /// Returns another box that may serve the request, unless it was relayed before.
    fn choose_peer(&self, progress: &Progress, now: Time) -> Option<SocketAddr> {
        let relays = self.gate.relays.as_ref()?;
        let is_allowed =
            !self.relayed && !self.out.upgrade && progress.relays.len() < relay::MAX_RELAYS;
        let wanted = RelayRequest {
            service: self.checked_service().id,
            regions: self.decision.info.regions,
            tried: &progress.relays,
        };
        if is_allowed { relays.peers.choose(&wanted, now) } else { None }
    }

    /// Sends the request to another box, with the attempts that are left.
    pub(super) fn start_at_peer(
        &mut self,
        running: &mut Running,
        progress: &mut Progress,
        kind: &str,
        peer: SocketAddr,
    ) {
        if progress.relays.is_empty() {
            self.gate.policy.lock().forget_request(self.decision.info.service);
        }
        progress.relays.push(peer);
        let service = &*self.decision.service;
        self.gate.count_tagged("relays", &[("service", service)]);
        let left = self.left();
        let attempts = self.decision.max_attempts.saturating_sub(progress.maybe_ran());
        progress.passed_on += attempts;
        log::info!(
            request = &*self.id, same:display = self.out.same.caller, service,
            peer:display, attempts, left_ms = left.map(|d| d.as_millis() as u64);
            "route: {kind} relayed through {peer}, connections from this box fail"
        );
        let sent = SentAttempt { to: Recipient::Peer(peer), at: self.gate.now() };
        self.gate.open.record_sent(self.open, sent);
        let head = RelayHead { caller: self.out.caller, attempts };
        let key = &self.gate.relays.as_ref().expect("a box was chosen").key;
        let head = key.encode(&head, &self.out.path);
        let body =
            self.source.body().expect("availability of the body is checked before each attempt");
        let (gate, out) = (Arc::clone(&self.gate), Arc::clone(&self.out));
        running.push(Box::pin(async move {
            let answer = relay::send(gate, peer, out, head, body, left).await;
            answer.map_err(|failure| Ended::Peer(peer, failure))
        }));
    }

    /// Records a failure to relay the request.
    pub(super) fn record_relay_failure(
        &self,
        peer: SocketAddr,
        failure: &RelayFailure,
        progress: &mut Progress,
    ) {
        let (request, service) = (&*self.id, &*self.decision.service);
        match failure {
            RelayFailure::Unusable { why } => {
                progress.passed_on = 0;
                log::warn!(request, service, peer:display; "attempt: not relayed by {peer}: {why}");
                progress.last_reason.clone_from(why);
                if let Some(relays) = &self.gate.relays {
                    relays.peers.record_unusable(peer, NameId::of(service), self.gate.now());
                }
            }
            RelayFailure::Rejected { retry_after, why } => {
                progress.passed_on = 0;
                log::warn!(request, service, peer:display; "attempt: rejected by {peer}: {why}");
                progress.last_reason.clone_from(why);
                progress.retry_after = *retry_after;
            }
            RelayFailure::Unknown { status, why } => {
                log::warn!(
                    request, service, peer:display;
                    "attempt: relay through {peer} failed, outcome unknown: {why}"
                );
                progress.record_unknown(*status, why);
            }
        }
    }
}
