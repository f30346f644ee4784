//! The limit that an upstream names in its answers: requests a second from all boxes together.

use crate::signals::{shown, text};
use http::{HeaderMap, HeaderName};

/// Most requests a second that are believed of one upstream.
const MOST_RATE: f64 = 1_000_000.0;

/// Why a named limit is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitFault {
    /// The answer names several.
    #[error("{0} limits in one answer")]
    Several(usize),
    /// It is no plain decimal number: a sign, an exponent, blanks within, or other text.
    #[error("limit '{0}' is no decimal number")]
    NotDecimal(String),
    /// An upstream that takes nothing says so otherwise: it leaves.
    #[error("limit '{0}' is zero")]
    Zero(String),
    /// No upstream takes so much.
    #[error("limit '{0}' is above a million a second")]
    Huge(String),
}

/// Reads the limit that an answer names, in requests a second; `None` if it names none.
///
/// # Errors
/// Returns a [`LimitFault`] if what it names can't be taken.
pub fn read(h: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, LimitFault> {
    let mut all = h.get_all(name).iter();
    let Some(one) = all.next() else { return Ok(None) };
    let others = all.count();
    if others > 0 {
        return Err(LimitFault::Several(others + 1));
    }
    decimal(&text(one)).map(Some)
}

fn decimal(text: &str) -> Result<f64, LimitFault> {
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    let is_decimal = match text.split_once('.') {
        Some((whole, fraction)) => is_digits(whole) && is_digits(fraction),
        None => is_digits(text),
    };
    let rate = text.parse::<f64>().ok().filter(|_| is_decimal);
    match rate {
        None => Err(LimitFault::NotDecimal(shown(text))),
        Some(0.0) => Err(LimitFault::Zero(shown(text))),
        Some(rate) if rate > MOST_RATE => Err(LimitFault::Huge(shown(text))),
        Some(rate) => Ok(rate),
    }
}
