//! What an upstream says of itself in the head of an answer.

mod record;

use crate::dialect::Dialect;
use crate::headers;
use crate::named_limit::LimitFault;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
pub(crate) use record::{ReceivedHead, record, record_whole};
use std::time::Duration;

/// Longest backoff that an upstream may ask for.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Value of the header that announces a shutdown.
const LEAVING: &str = "1";
/// Characters of an odd value that its error shows, since it is logged.
const MOST_SHOWN: usize = 40;

/// Why the announcement of a shutdown is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("leaving '{0}' is not '1'")]
pub struct LeavingFault(pub String);

/// Why a requested backoff is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackoffFault {
    /// The answer asks for several.
    #[error("{0} backoffs in one answer")]
    Several(usize),
    /// It is a date, a signed number or other text.
    #[error("backoff '{0}' is no decimal number of seconds")]
    NotSeconds(String),
}

/// Why a signal is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignalFault {
    /// A rate limit.
    #[error(transparent)]
    Limit(#[from] LimitFault),
    /// The announcement of a shutdown.
    #[error(transparent)]
    Leaving(#[from] LeavingFault),
    /// A backoff.
    #[error(transparent)]
    Backoff(#[from] BackoffFault),
}

/// Reads whether an answer announces the shutdown of its upstream.
///
/// # Errors
/// Returns a [`LeavingFault`] if a value is not `1`.
pub fn read_leaving(h: &HeaderMap, name: &HeaderName) -> Result<bool, LeavingFault> {
    let all: Vec<String> = h.get_all(name).iter().map(text).collect();
    match all.iter().find(|v| *v != LEAVING) {
        Some(odd) => Err(LeavingFault(shown(odd))),
        None => Ok(!all.is_empty()),
    }
}

/// Reads a backoff; `None` if the answer asks for none, or for zero seconds.
///
/// The product's header in milliseconds takes precedence. It is at most [`MAX_BACKOFF`].
///
/// # Errors
/// Returns a [`BackoffFault`] if there are several, or if it is no decimal number.
pub fn read_backoff(h: &HeaderMap) -> Result<Option<Duration>, BackoffFault> {
    if let Some(ms) = headers::number(h, &headers::RETRY_AFTER_MS) {
        let wait = Duration::from_millis(ms).min(MAX_BACKOFF);
        return Ok(Some(wait).filter(|w| !w.is_zero()));
    }
    let all: Vec<String> = h.get_all(header::RETRY_AFTER).iter().map(text).collect();
    let [one] = all.as_slice() else {
        return if all.is_empty() { Ok(None) } else { Err(BackoffFault::Several(all.len())) };
    };
    let is_decimal = one.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let secs = one.parse::<f64>().ok().filter(|_| is_decimal);
    let secs = secs.ok_or_else(|| BackoffFault::NotSeconds(shown(one)))?;
    let wait = Duration::from_secs_f64(secs.min(MAX_BACKOFF.as_secs_f64()));
    Ok(Some(wait).filter(|w| !w.is_zero()))
}

/// Returns whether a status may ask for a backoff from its upstream.
///
/// A 429 that was run may concern its caller alone.
#[must_use]
pub fn may_ask_backoff(d: &Dialect, status: StatusCode, h: &HeaderMap) -> bool {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => true,
        StatusCode::TOO_MANY_REQUESTS => d.is_not_run(status, h),
        _ => false,
    }
}

/// Returns a header's value without blanks around it.
pub(crate) fn text(v: &HeaderValue) -> String {
    String::from_utf8_lossy(v.as_bytes()).trim().to_owned()
}

/// Returns the beginning of an odd value, for its error.
pub(crate) fn shown(text: &str) -> String {
    text.chars().take(MOST_SHOWN).collect()
}
