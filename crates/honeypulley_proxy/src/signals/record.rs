//! Reports the signals of an answer to the policy and logs changes.

use super::InvalidSignal;
use crate::dialect::Dialect;
use crate::gate::ProxyState;
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::router::AttemptKey;
use honeypulley_policy::signals::Signals;
use honeypulley_policy::time::Time;
use http::{HeaderMap, StatusCode};
use std::time::Duration;

/// Shortest backoff that is logged as a warning, since operators should investigate it.
const WARN_BACKOFF: Duration = Duration::from_secs(60);

/// Head of an answer that is known to come from the intended upstream instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedHead<'a> {
    /// Name of the upstream.
    pub(crate) from: &'a str,
    /// Attempt that it answers.
    pub(crate) attempt: AttemptKey,
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: &'a HeaderMap,
}

impl ReceivedHead<'_> {
    /// Reads all signals and returns the valid ones, and errors for the others.
    fn read(&self, d: &Dialect) -> (Signals, Vec<InvalidSignal>) {
        let mut faults = Vec::new();
        let mut signals = Signals::default();
        match d.load(self.headers) {
            Ok(load) => signals.load = load,
            Err(fault) => faults.push(fault.into()),
        }
        match d.limit(self.headers) {
            Ok(limit) => signals.limit = limit,
            Err(fault) => faults.push(fault.into()),
        }
        match d.leaving(self.headers) {
            Ok(leaving) => signals.leaving = leaving,
            Err(fault) => faults.push(fault.into()),
        }
        match d.backoff(self.status, self.headers) {
            Ok(backoff) => signals.backoff = backoff,
            Err(fault) => faults.push(fault.into()),
        }
        (signals, faults)
    }
}

/// Records the signals of an answer's head.
pub(crate) fn record(
    gate: &ProxyState,
    policy: &mut dyn RoutingPolicy,
    head: &ReceivedHead<'_>,
    now: Time,
) {
    let upstream = head.from;
    let (signals, faults) = head.read(&gate.dialect);
    for fault in faults {
        let is_limit = matches!(fault, InvalidSignal::Limit(_));
        gate.count(if is_limit { "limits.refused" } else { "signals.ignored" });
        log::warn!(upstream, fault:% = fault; "attempt: ignored a signal of {upstream}: {fault}");
    }
    let changes = policy.record_signals(head.attempt, &signals, now);
    if signals.limit.is_some() {
        gate.count("limits.named");
    }
    if let Some(limit) = signals.limit.filter(|_| changes.limit) {
        log::info!(
            upstream, limit;
            "attempt: {upstream} advertised a fleet-wide limit of {limit} requests/s"
        );
    }
    if changes.leaving {
        gate.count("upstreams.leaving");
        log::info!(upstream; "attempt: {upstream} announced its shutdown, no new requests there");
    }
    if let Some(wait) = signals.backoff.filter(|_| changes.backoff) {
        gate.count("upstreams.backoff");
        let level = if wait >= WARN_BACKOFF { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level, upstream, backoff_ms = wait.as_millis() as u64;
            "attempt: {upstream} asked for a backoff of {wait:?}, no requests there until then"
        );
    }
}

/// Withdraws the rate limit if a complete answer does not advertise one.
///
/// Only a verified success withdraws a limit. A truncated answer or a failure may have been
/// produced by something other than the upstream.
pub(crate) fn record_complete(gate: &ProxyState, head: &ReceivedHead<'_>) {
    let d = &gate.dialect;
    let is_verified = d.proof.as_ref().is_none_or(|p| head.headers.contains_key(p));
    let is_authoritative = is_verified && head.status.is_success();
    if d.limit.is_none() || !is_authoritative || d.limit(head.headers) != Ok(None) {
        return;
    }
    if gate.policy.lock().clear_limit(head.attempt, gate.now()) {
        let upstream = head.from;
        log::info!(upstream; "attempt: {upstream} no longer advertises a limit");
    }
}
