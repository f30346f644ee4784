//! Refusals of requests that are sent to no upstream.

use std::time::Duration;

/// Reason for which no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusalKind {
    /// This box reaches no upstream of the service, and knows no other box that does.
    #[error("no path to the service")]
    NoPath,
    /// The service has no live upstream.
    #[error("no live upstream")]
    NoUpstream,
    /// This box has reached its connection limit to every live upstream.
    #[error("every upstream is full")]
    ConnectionsExhausted,
    /// The whole service is so slow that requests would miss their deadline.
    #[error("the service is overloaded")]
    Overload,
    /// The request would make more urgent ones late.
    #[error("more urgent requests wait for slots")]
    Priority,
    /// The rate limits announced by the live upstreams are all exhausted.
    #[error("the limits that the upstreams name are used up")]
    LimitsExhausted,
    /// Every live upstream requested a backoff from this box or has exhausted its limit.
    #[error("every upstream asked for a backoff")]
    Backoff,
    /// The rate limit of the service is exhausted.
    #[error("the service's rate is used up")]
    Rate,
    /// The rate limit of the client is exhausted.
    #[error("the caller's rate is used up")]
    CallerRate,
}

/// Refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}; retry after {retry_after:?}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Earliest time after which a retry is useful.
    pub retry_after: Duration,
}
