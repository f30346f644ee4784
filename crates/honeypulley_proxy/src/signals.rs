//! Parsing of the signals that upstreams send in the head of an answer.

mod record;

use crate::dialect::Dialect;
use crate::headers;
use crate::named_limit::InvalidLimit;
use honeypulley_policy::chooser::LoadOutOfRange;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
pub(crate) use record::{ReceivedHead, record, record_complete};
use std::time::Duration;

/// Longest backoff that an upstream may request; longer ones are capped.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Value of the header that announces a shutdown.
const SHUTDOWN_VALUE: &str = "1";
/// Longest excerpt of an invalid value in an error message, in characters.
///
/// Error messages are logged, so values of any length must not end up in them.
const MAX_EXCERPT: usize = 40;

/// Invalid value in the announcement of a shutdown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("leaving '{0}' is not '1'")]
pub struct InvalidShutdown(pub String);

/// Reason why a requested backoff is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBackoff {
    /// The answer contains several backoffs.
    #[error("expected one backoff, got {0}")]
    Multiple(usize),
    /// The value is a date, a signed number or other text.
    #[error("backoff '{0}' is no decimal number of seconds")]
    NotSeconds(String),
}

/// Reason why a load report is ignored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidLoad {
    /// The value is not the expected number of decimal numbers.
    #[error("load '{0}' is malformed")]
    Malformed(String),
    /// A number is out of range.
    #[error("load: {0}")]
    OutOfRange(#[from] LoadOutOfRange),
}

/// Reason why a signal is ignored.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidSignal {
    /// The load report is invalid.
    #[error(transparent)]
    Load(#[from] InvalidLoad),
    /// The rate limit is invalid.
    #[error(transparent)]
    Limit(#[from] InvalidLimit),
    /// The announcement of a shutdown is invalid.
    #[error(transparent)]
    Leaving(#[from] InvalidShutdown),
    /// The backoff is invalid.
    #[error(transparent)]
    Backoff(#[from] InvalidBackoff),
}

/// Returns whether an answer announces the shutdown of its upstream.
///
/// # Errors
/// Returns an [`InvalidShutdown`] if a value is not `1`.
pub fn read_shutdown(h: &HeaderMap, name: &HeaderName) -> Result<bool, InvalidShutdown> {
    let all: Vec<String> = h.get_all(name).iter().map(text).collect();
    match all.iter().find(|v| *v != SHUTDOWN_VALUE) {
        Some(invalid) => Err(InvalidShutdown(excerpt(invalid))),
        None => Ok(!all.is_empty()),
    }
}

/// Reads the requested backoff; returns `None` if it is absent or zero.
///
/// The product's own header in milliseconds takes precedence over `Retry-After`. Backoffs are
/// capped at [`MAX_BACKOFF`].
///
/// # Errors
/// Returns an [`InvalidBackoff`] for several values or one that is not a decimal number.
pub fn read_backoff(h: &HeaderMap) -> Result<Option<Duration>, InvalidBackoff> {
    if let Some(ms) = headers::number(h, &headers::RETRY_AFTER_MS) {
        let wait = Duration::from_millis(ms).min(MAX_BACKOFF);
        return Ok(Some(wait).filter(|w| !w.is_zero()));
    }
    let all: Vec<String> = h.get_all(header::RETRY_AFTER).iter().map(text).collect();
    let [one] = all.as_slice() else {
        return if all.is_empty() { Ok(None) } else { Err(InvalidBackoff::Multiple(all.len())) };
    };
    let is_decimal = one.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let secs = one.parse::<f64>().ok().filter(|_| is_decimal);
    let secs = secs.ok_or_else(|| InvalidBackoff::NotSeconds(excerpt(one)))?;
    let wait = Duration::from_secs_f64(secs.min(MAX_BACKOFF.as_secs_f64()));
    Ok(Some(wait).filter(|w| !w.is_zero()))
}

/// Returns whether an answer with this status may request a backoff.
///
/// If the request was run, a 429 may refer to the caller's rate instead of the upstream's.
#[must_use]
pub fn may_request_backoff(d: &Dialect, status: StatusCode, h: &HeaderMap) -> bool {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => true,
        StatusCode::TOO_MANY_REQUESTS => d.is_not_run(status, h),
        _ => false,
    }
}

/// Returns a header's value without surrounding whitespace.
pub(crate) fn text(v: &HeaderValue) -> String {
    String::from_utf8_lossy(v.as_bytes()).trim().to_owned()
}

/// Returns the beginning of an invalid value, for an error message.
pub(crate) fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT).collect()
}
