//! Answers produced by the proxy itself, such as rejections and failures.

use crate::dialect::Dialect;
use crate::headers;
use crate::relay::RelayOutcome;
use honeypulley_policy::router::{Refusal, RefusalKind};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use salvo::http::ResBody;
use salvo::prelude::Response;
use std::time::Duration;

/// Whether a request answered by the proxy itself may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was certainly not run.
    NotRun,
    /// Data was sent to an upstream, and it is unknown whether the request was run.
    Unknown,
}

/// An answer that the proxy gives instead of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalAnswer {
    /// Status.
    pub status: StatusCode,
    /// Whether the request may have been run.
    pub execution: Execution,
    /// Value of `Retry-After`, if a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Reason, as a sentence for humans.
    pub reason: String,
    /// Whether another box may be able to serve the request.
    pub elsewhere: bool,
}

impl LocalAnswer {
    /// Creates the answer to a request that was rejected before anything was sent.
    #[must_use]
    pub fn refusal(r: Refusal) -> Self {
        let status = match r.kind {
            RefusalKind::Rate | RefusalKind::CallerRate => StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::NoPath
            | RefusalKind::NoUpstream
            | RefusalKind::ConnectionsExhausted
            | RefusalKind::Overload
            | RefusalKind::Priority
            | RefusalKind::LimitsExhausted
            | RefusalKind::Backoff => StatusCode::SERVICE_UNAVAILABLE,
        };
        let answer = Self::not_run(status, Some(r.retry_after), r.kind.to_string());
        Self { elsewhere: r.kind == RefusalKind::NoPath, ..answer }
    }

    /// Creates the answer to a request that was not run.
    #[must_use]
    pub const fn not_run(
        status: StatusCode,
        retry_after: Option<Duration>,
        reason: String,
    ) -> Self {
        Self { status, execution: Execution::NotRun, retry_after, reason, elsewhere: false }
    }

    /// Creates the answer to a malformed request.
    #[must_use]
    pub fn bad_request(why: &str) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, None, why.to_owned())
    }

    /// Marks the answer as one that holds for this box alone.
    #[must_use]
    pub const fn with_elsewhere(mut self) -> Self {
        self.elsewhere = true;
        self
    }

    /// Returns the outcome for a box that relayed the request.
    #[must_use]
    pub const fn relay_outcome(&self) -> RelayOutcome {
        match self.execution {
            Execution::NotRun if self.elsewhere => RelayOutcome::Unusable,
            Execution::NotRun => RelayOutcome::NotRun,
            Execution::Unknown => RelayOutcome::Unknown,
        }
    }

    /// Creates the answer to a request that may have been run.
    #[must_use]
    pub const fn unknown(status: StatusCode, retry_after: Duration, reason: String) -> Self {
        let (execution, retry_after) = (Execution::Unknown, Some(retry_after));
        Self { status, execution, retry_after, reason, elsewhere: false }
    }

    /// Sets when a box that relayed the request may retry.
    pub fn set_retry_after_ms(&self, h: &mut HeaderMap) {
        if let Some(d) = self.retry_after {
            h.insert(headers::RETRY_AFTER_MS, HeaderValue::from(d.as_millis() as u64));
        }
    }

    /// Writes the answer to a response.
    pub fn write(&self, dialect: &Dialect, res: &mut Response) {
        res.status_code(self.status);
        let outcome = match self.execution {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
        };
        let h = res.headers_mut();
        if dialect.reports_outcome {
            h.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
            if self.execution == Execution::NotRun {
                h.insert(dialect.not_run.clone(), HeaderValue::from_static("1"));
            }
        }
        if let Some(d) = self.retry_after {
            dialect.set_retry_after(d, h);
        }
        h.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        let text = format!("honeypulley: {} ({outcome})\n", self.reason);
        res.replace_body(ResBody::Once(text.into()));
    }
}
