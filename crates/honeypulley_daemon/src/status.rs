//! What operators see of one box.

use crate::context::Context;
use honeypulley_policy::permits::LEASE;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// State of one upstream as one box sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Service name.
    pub service: String,
    /// Upstream name.
    pub upstream: String,
    /// State in one word.
    pub state: String,
    /// Why it is in that state, empty if there is nothing to say.
    pub reason: String,
    /// Good outcomes lately, by this box's own evidence.
    pub good: u64,
    /// Bad outcomes lately.
    pub bad: u64,
    /// Open attempts of this box.
    pub out: usize,
}

/// State of one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its name.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Version in force, zero if there is none.
    pub bundle: u64,
    /// Who signed it off.
    pub signer: String,
    /// Why it is not ready; empty if it is.
    pub not_ready: String,
    /// Whether it watches the platform for its hall.
    pub relay: bool,
    /// Milliseconds since the last contact with platform or peers.
    pub silence_ms: u64,
    /// Whether its permits may be acted on.
    pub permits_valid: bool,
    /// Open requests and sessions.
    pub open: usize,
    /// Reports that the full ring dropped.
    pub dropped: u64,
    /// Datagram bytes sent to peers since the start.
    pub sent: u64,
    /// Upstreams.
    pub upstreams: Vec<UpstreamRow>,
}

/// Collects the state of this box.
#[must_use]
pub fn collect(ctx: &Context) -> BoxStatus {
    let f = ctx.shared.in_force();
    let (_, confirmed) = ctx.permits_mark();
    let row = |r: &honeypulley_policy::router::UpstreamStatus| UpstreamRow {
        service: r.service.clone(),
        upstream: r.upstream.clone(),
        state: r.state.to_owned(),
        reason: r.reason.clone(),
        good: r.evidence.counts.0.round() as u64,
        bad: r.evidence.counts.1.round() as u64,
        out: r.out,
    };
    BoxStatus {
        name: ctx.settings.name.clone(),
        hall: ctx.settings.hall.clone(),
        bundle: f.as_ref().map_or(0, |f| f.head.version.0),
        signer: f.map_or_else(String::new, |f| f.head.signature.signer.clone()),
        not_ready: ctx.readiness().err().unwrap_or_default(),
        relay: ctx.is_relay(),
        silence_ms: ctx.silence().as_millis() as u64,
        permits_valid: confirmed.is_some_and(|at| ctx.now().since(at) < LEASE),
        open: ctx.shared.gate.open.load(Ordering::Relaxed),
        dropped: ctx.shared.feed.reports.dropped(),
        sent: ctx.sent.load(Ordering::Relaxed),
        upstreams: ctx.shared.rows.load().iter().map(row).collect(),
    }
}
