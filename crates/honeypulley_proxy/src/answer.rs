//! Answers produced by the proxy itself, such as rejections and failures.

use crate::dialect::Dialect;
use crate::headers;
use honeypulley_policy::router::{Refusal, RefusalKind};
use http::{HeaderValue, StatusCode, header};
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
}

impl LocalAnswer {
    /// Creates the answer to a request that was rejected before anything was sent.
    #[must_use]
    pub fn refusal(r: Refusal) -> Self {
        let status = match r.kind {
            RefusalKind::Rate | RefusalKind::CallerRate => StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::NoUpstream
            | RefusalKind::ConnectionsExhausted
            | RefusalKind::Overload
            | RefusalKind::LimitsExhausted
            | RefusalKind::Backoff => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self::not_run(status, Some(r.retry_after), r.kind.to_string())
    }

    /// Creates the answer to a request that was not run.
    #[must_use]
    pub const fn not_run(
        status: StatusCode,
        retry_after: Option<Duration>,
        reason: String,
    ) -> Self {
        Self { status, execution: Execution::NotRun, retry_after, reason }
    }

    /// Creates the answer to a request that may have been run.
    #[must_use]
    pub const fn unknown(status: StatusCode, retry_after: Duration, reason: String) -> Self {
        Self { status, execution: Execution::Unknown, retry_after: Some(retry_after), reason }
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
