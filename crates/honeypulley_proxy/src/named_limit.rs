//! Parsing of the fleet-wide rate limit that upstreams advertise in their answers.

use crate::signals::{excerpt, text};
use http::{HeaderMap, HeaderName};

/// Highest accepted limit, in requests per second.
const MAX_RATE: f64 = 1_000_000.0;

/// Reason why an advertised limit is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidLimit {
    /// The answer contains several limits.
    #[error("expected one limit, got {0}")]
    Multiple(usize),
    /// The value has a sign, an exponent, inner spaces or other characters.
    #[error("limit '{0}' is no decimal number")]
    NotDecimal(String),
    /// The limit is zero; upstreams that accept no requests announce their shutdown instead.
    #[error("limit '{0}' is zero")]
    Zero(String),
    /// The limit is implausibly high.
    #[error("limit '{0}' exceeds 1,000,000 requests/s")]
    TooLarge(String),
}

/// Reads the advertised limit in requests per second, if there is one.
///
/// # Errors
/// Returns an [`InvalidLimit`] if the value is invalid.
pub fn read(h: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, InvalidLimit> {
    let mut all = h.get_all(name).iter();
    let Some(one) = all.next() else { return Ok(None) };
    let others = all.count();
    if others > 0 {
        return Err(InvalidLimit::Multiple(others + 1));
    }
    parse_decimal(&text(one)).map(Some)
}

fn parse_decimal(text: &str) -> Result<f64, InvalidLimit> {
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    let is_decimal = match text.split_once('.') {
        Some((whole, fraction)) => is_digits(whole) && is_digits(fraction),
        None => is_digits(text),
    };
    let rate = text.parse::<f64>().ok().filter(|_| is_decimal);
    match rate {
        None => Err(InvalidLimit::NotDecimal(excerpt(text))),
        Some(0.0) => Err(InvalidLimit::Zero(excerpt(text))),
        Some(rate) if rate > MAX_RATE => Err(InvalidLimit::TooLarge(excerpt(text))),
        Some(rate) => Ok(rate),
    }
}
