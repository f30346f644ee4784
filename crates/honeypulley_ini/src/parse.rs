//! Parsers for values, many of them with units.

use std::str::FromStr;
use std::time::Duration;

/// Parses non-empty text.
///
/// # Errors
/// Returns a message if the text is empty.
pub fn text(s: &str) -> Result<String, String> {
    if s.is_empty() { Err("expected a non-empty value".to_owned()) } else { Ok(s.to_owned()) }
}

/// Parses a duration with its unit, such as `250ms` or `2s`.
///
/// # Errors
/// Returns a message that describes the expected format.
pub fn duration(s: &str) -> Result<Duration, String> {
    humantime::parse_duration(s)
        .map_err(|_| format!("expected a time with its unit, such as 250ms or 2s, not '{s}'"))
}

/// Parses a percentage such as `10%` as a fraction from 0.0 to 1.0.
///
/// # Errors
/// Returns a message that describes the expected format.
pub fn share(s: &str) -> Result<f64, String> {
    let invalid = || format!("expected a share such as 10%, not '{s}'");
    let number: f64 =
        s.strip_suffix('%').ok_or_else(invalid)?.trim().parse().map_err(|_| invalid())?;
    if (0.0..=100.0).contains(&number) { Ok(number / 100.0) } else { Err(invalid()) }
}

/// Parses a positive rate such as `200/s`.
///
/// # Errors
/// Returns a message that describes the expected format.
pub fn rate(s: &str) -> Result<f64, String> {
    let invalid = || format!("expected a rate such as 200/s, not '{s}'");
    let number: f64 =
        s.strip_suffix("/s").ok_or_else(invalid)?.trim().parse().map_err(|_| invalid())?;
    if number > 0.0 && number.is_finite() { Ok(number) } else { Err(invalid()) }
}

/// Parses by the [`FromStr`] of `T`; errors state that `what` was expected.
pub fn any<T: FromStr>(what: &'static str) -> impl Fn(&str) -> Result<T, String> {
    move |s| s.parse().map_err(|_| format!("expected {what}, not '{s}'"))
}
