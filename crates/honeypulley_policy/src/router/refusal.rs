//! Why a request is sent nowhere, and when its caller may retry.

use std::time::Duration;

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RefusalKind {
    /// The service has no live upstream.
    #[error("no live upstream")]
    NoUpstream,
    /// Every live upstream holds all the connections this box may open.
    #[error("every upstream is full")]
    Full,
    /// The whole service is so slow that requests would miss their deadline.
    #[error("the service is overloaded")]
    Overload,
    /// Every live upstream names a limit, and none of them has room.
    #[error("the limits that the upstreams name are used up")]
    Limited,
    /// Every live upstream asked this box for a backoff, or has used up its limit.
    #[error("every upstream asked for a backoff")]
    Backoff,
    /// The service's rate is used up.
    #[error("the service's rate is used up")]
    Rate,
    /// The caller's rate is used up.
    #[error("the caller's rate is used up")]
    CallerRate,
}

/// A refusal: the request was not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}; come back in {retry_after:?}")]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Earliest time at which asking again makes sense.
    pub retry_after: Duration,
}
