//! Values with units.

use std::str::FromStr;
use std::time::Duration;

/// Parses any text that is not empty.
///
/// # Errors
/// Says that it is empty.
pub fn text(s: &str) -> Result<String, String> {
    if s.is_empty() { Err("expected some text".to_owned()) } else { Ok(s.to_owned()) }
}

/// Parses a duration with its unit, such as `250ms` or `2s`.
///
/// # Errors
/// Says what was expected.
pub fn duration(s: &str) -> Result<Duration, String> {
    humantime::parse_duration(s)
        .map_err(|_| format!("expected a time with its unit, such as 250ms or 2s, not '{s}'"))
}

/// Parses a share such as `10%`, as 0.0 to 1.0.
///
/// # Errors
/// Says what was expected.
pub fn share(s: &str) -> Result<f64, String> {
    let wrong = || format!("expected a share such as 10%, not '{s}'");
    let number: f64 = s.strip_suffix('%').ok_or_else(wrong)?.trim().parse().map_err(|_| wrong())?;
    if (0.0..=100.0).contains(&number) { Ok(number / 100.0) } else { Err(wrong()) }
}

/// Parses a rate such as `200/s`.
///
/// # Errors
/// Says what was expected.
pub fn rate(s: &str) -> Result<f64, String> {
    let wrong = || format!("expected a rate such as 200/s, not '{s}'");
    let number: f64 =
        s.strip_suffix("/s").ok_or_else(wrong)?.trim().parse().map_err(|_| wrong())?;
    if number > 0.0 && number.is_finite() { Ok(number) } else { Err(wrong()) }
}

/// Parses whatever `T` parses, naming `what` was expected otherwise.
pub fn any<T: FromStr>(what: &'static str) -> impl Fn(&str) -> Result<T, String> {
    move |s| s.parse().map_err(|_| format!("expected {what}, not '{s}'"))
}
