//! Log lines and counts of the attempts of a request.

use super::{Progress, Race};
use crate::attempt::Failure;
use honeypulley_policy::router::{Refusal, RefusalKind, UpstreamKey};
use http::StatusCode;
use std::time::Duration;

impl Race {
    /// Logs that an attempt was not sent; counts it if more urgent requests are the reason.
    pub(super) fn log_refusal(&self, kind: &str, r: Refusal, expected: Option<Duration>) {
        let is_outranked = r.kind == RefusalKind::Priority;
        let (info, priority) = (&self.decision.info, self.decision.priority);
        let state = is_outranked.then(|| {
            let policy = self.gate.policy.lock();
            policy.admission(info.service, self.gate.now()).unwrap_or_default()
        });
        if is_outranked {
            let (service, priority) = (&*self.decision.service, priority.first().to_string());
            let tags = [("service", service), ("priority", priority.as_str())];
            self.gate.count_tagged("priority.refused", &tags);
        }
        log::info!(
            request = &*self.id, service = &*self.decision.service,
            version = self.decision.version,
            aim_ms = self.decision.info.target.map(|d| d.as_millis() as u64),
            expected_ms = expected.map(|d| d.as_millis() as u64),
            priority = is_outranked.then_some(priority.first()),
            route_priority = priority.differing_route().filter(|_| is_outranked),
            admission_level = state.map(|s| s.level),
            pressure = state.map(|s| (s.pressure * 100.0).round() / 100.0),
            level_age_ms = state.map(|s| s.age.as_millis() as u64);
            "route: {kind} not sent, {}", r.kind
        );
    }

    /// Logs the failure answer of an upstream.
    pub(super) fn log_server_error(&self, upstream: UpstreamKey, status: StatusCode) {
        let policy = self.gate.policy.lock();
        let upstream = policy.endpoint(upstream).map_or("gone", |p| p.name);
        log::warn!(
            request = &*self.id, service = &*self.decision.service, upstream,
            status = status.as_u16();
            "attempt: {upstream} answered with a failure"
        );
    }

    /// Records and logs an attempt at an upstream that got no answer.
    pub(super) fn record_failure(
        &self,
        upstream: UpstreamKey,
        failure: &Failure,
        progress: &mut Progress,
    ) {
        let policy = self.gate.policy.lock();
        let name = policy.endpoint(upstream).map_or("gone", |p| p.name);
        let (request, service) = (&*self.id, &*self.decision.service);
        let reason = match failure {
            Failure::NotSent { .. } => "not_sent",
            Failure::NotRun { .. } => "not_run",
            Failure::Unknown { .. } => "unknown",
        };
        self.gate.count_tagged("attempts.failed", &[("service", service), ("reason", reason)]);
        match failure {
            Failure::NotSent { why } => {
                log::warn!(request, service, upstream = name; "attempt: not sent to {name}: {why}");
                progress.not_run += 1;
                progress.not_sent += 1;
                progress.last_reason.clone_from(why);
            }
            Failure::NotRun { why } => {
                log::warn!(request, service, upstream = name; "attempt: {name} did not run the request: {why}");
                progress.not_run += 1;
                progress.last_reason.clone_from(why);
            }
            Failure::Unknown { why } => {
                log::warn!(
                    request, service, upstream = name;
                    "attempt: {name} failed, outcome unknown: {why}"
                );
                progress.record_unknown(StatusCode::BAD_GATEWAY, why);
            }
        }
    }
}
