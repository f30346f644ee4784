//! Status of one box for operators.

use crate::context::Context;
use honeypulley_policy::permits::LEASE;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// Status of one upstream on one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Name of the service.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// State in one word, such as `preferred`.
    pub state: String,
    /// Reason for the state, may be empty.
    pub reason: String,
    /// Recent successful outcomes, by this box's own evidence.
    pub good: u64,
    /// Recent failed outcomes, by this box's own evidence.
    pub bad: u64,
    /// Attempts of this box in flight.
    pub out: usize,
}

/// Status of one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Name of the box.
    pub name: String,
    /// Data hall of the box.
    pub hall: String,
    /// Version of the bundle in force, zero if there is none.
    pub bundle: u64,
    /// Signer of the bundle in force.
    pub signer: String,
    /// Reason why the box is not ready; empty if it is.
    pub not_ready: String,
    /// Whether the box is a relay, which watches the platform for its hall.
    pub relay: bool,
    /// Milliseconds since the last contact with the platform or a peer.
    pub silence_ms: u64,
    /// Whether the cached permits are recent enough to act on.
    pub permits_valid: bool,
    /// Number of open requests and sessions.
    pub open: usize,
    /// Reports dropped because the ring was full.
    pub dropped: u64,
    /// Bytes sent to peers in datagrams since the start.
    pub sent: u64,
    /// Status of each upstream.
    pub upstreams: Vec<UpstreamRow>,
}

/// Returns the current status of this box.
#[must_use]
pub fn collect(ctx: &Context) -> BoxStatus {
    let f = ctx.shared.in_force();
    let (_, confirmed) = ctx.permits_revision();
    let row = |r: &honeypulley_policy::router::UpstreamStatus| UpstreamRow {
        service: r.service.clone(),
        upstream: r.upstream.clone(),
        state: r.state.to_owned(),
        reason: r.reason.clone(),
        good: r.evidence.counts.0.round() as u64,
        bad: r.evidence.counts.1.round() as u64,
        out: r.in_flight,
    };
    BoxStatus {
        name: ctx.settings.name.clone(),
        hall: ctx.settings.hall.clone(),
        bundle: f.as_ref().map_or(0, |f| f.head.version.0),
        signer: f.map_or_else(String::new, |f| f.head.signature.signer.clone()),
        not_ready: ctx.readiness().err().unwrap_or_default(),
        relay: ctx.is_relay(),
        silence_ms: ctx.since_contact().as_millis() as u64,
        permits_valid: confirmed.is_some_and(|at| ctx.now().since(at) < LEASE),
        open: ctx.shared.gate.open.count(),
        dropped: ctx.shared.feed.reports.dropped(),
        sent: ctx.sent_bytes.load(Ordering::Relaxed),
        upstreams: ctx.shared.upstream_status.load().iter().map(row).collect(),
    }
}
