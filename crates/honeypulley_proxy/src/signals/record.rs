//! Hands the signals of an answer to the policy, and logs what changed.

use super::SignalFault;
use crate::dialect::Dialect;
use crate::gate::Gate;
use honeypulley_policy::chooser::Chooser;
use honeypulley_policy::router::AttemptKey;
use honeypulley_policy::signals::Signals;
use honeypulley_policy::time::Time;
use http::{HeaderMap, StatusCode};
use std::time::Duration;

/// Backoff from which on an operator should look into it.
const LONG_BACKOFF: Duration = Duration::from_secs(60);

/// The head of an answer that is known to be the asked upstream's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedHead<'a> {
    /// Name of the upstream.
    pub(crate) from: &'a str,
    /// The attempt that it answers.
    pub(crate) attempt: AttemptKey,
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers.
    pub(crate) headers: &'a HeaderMap,
}

impl ReceivedHead<'_> {
    /// Reads all signals; those that can't be read are left out and returned as faults.
    fn read(&self, d: &Dialect) -> (Signals, Vec<SignalFault>) {
        let mut faults = Vec::new();
        let mut signals = Signals { load: d.load(self.headers), ..Signals::default() };
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
    gate: &Gate,
    policy: &mut dyn Chooser,
    received: &ReceivedHead<'_>,
    now: Time,
) {
    let upstream = received.from;
    let (signals, faults) = received.read(&gate.dialect);
    for fault in faults {
        let is_limit = matches!(fault, SignalFault::Limit(_));
        gate.count(if is_limit { "limits.refused" } else { "signals.ignored" });
        log::warn!(upstream, fault:% = fault; "attempt: ignored a signal of {upstream}: {fault}");
    }
    let changes = policy.signalled(received.attempt, &signals, now);
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
        let level = if wait >= LONG_BACKOFF { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level, upstream, backoff_ms = wait.as_millis() as u64;
            "attempt: {upstream} asked for a backoff of {wait:?}, no requests there until then"
        );
    }
}

/// Records what the absence of signals on a whole answer says.
///
/// Only a proven success lifts a rate limit: an answer that is cut, or a failure, may not be the
/// upstream's own word on itself.
pub(crate) fn record_whole(gate: &Gate, received: &ReceivedHead<'_>) {
    let d = &gate.dialect;
    let is_proven = d.proof.as_ref().is_none_or(|p| received.headers.contains_key(p));
    let is_word = is_proven && received.status.is_success();
    if d.limit.is_none() || !is_word || d.limit(received.headers) != Ok(None) {
        return;
    }
    if gate.chooser.lock().limit_withdrawn(received.attempt) {
        let upstream = received.from;
        log::info!(upstream; "attempt: {upstream} no longer advertises a limit");
    }
}
