//! Tests the parsing of shutdown announcements and backoffs in answers.

use honeypulley_policy::chooser::{LoadReport, MAX_LOAD};
use honeypulley_proxy::dialect::{Dialect, LoadFormat};
use honeypulley_proxy::headers;
use honeypulley_proxy::signals::{
    InvalidBackoff, InvalidLoad, InvalidShutdown, MAX_BACKOFF, may_request_backoff, read_backoff,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::time::Duration;

fn head(name: &HeaderName, values: &[&str]) -> HeaderMap {
    let mut h = HeaderMap::new();
    for v in values {
        h.append(name, HeaderValue::from_str(v).expect("the value is valid in a header"));
    }
    h
}

fn shutdown(values: &[&str]) -> Result<bool, InvalidShutdown> {
    Dialect::default().leaving(&head(&headers::LEAVING, values))
}

fn backoff(values: &[&str]) -> Result<Option<Duration>, InvalidBackoff> {
    read_backoff(&head(&header::RETRY_AFTER, values))
}

fn load(format: LoadFormat, value: &str) -> Result<Option<LoadReport>, InvalidLoad> {
    Dialect::builder().load_format(format).build().load(&head(&headers::LOAD, &[value]))
}

#[rstest]
#[case::counts(LoadFormat::Counts, "3,1,8", 4.0, 8.0)]
#[case::blanks(LoadFormat::Counts, " 3 , 0 , 8 ", 3.0, 8.0)]
#[case::further_fields(LoadFormat::Counts, "3,1,8,7", 4.0, 8.0)]
#[case::share(LoadFormat::Share, "0.75", 0.75, 1.0)]
fn a_load_report_is_read(
    #[case] format: LoadFormat,
    #[case] value: &str,
    #[case] busy: f64,
    #[case] slots: f64,
) {
    let report = LoadReport::new(busy, slots).expect("the numbers are in range");
    assert_eq!(load(format, value), Ok(Some(report)));
}

/// Guards against numbers whose product with a duration exceeds its range.
#[rstest]
#[case::digits(LoadFormat::Counts, "9999999999999999999999993,0,8")]
#[case::sum(LoadFormat::Counts, "800000,800000,8")]
#[case::slots(LoadFormat::Counts, "3,0,99999999999999999999")]
#[case::negative(LoadFormat::Counts, "-3,4,8")]
#[case::infinite(LoadFormat::Counts, "inf,0,8")]
#[case::not_a_number(LoadFormat::Counts, "NaN,0,8")]
#[case::too_few(LoadFormat::Counts, "3,1")]
#[case::empty(LoadFormat::Counts, "")]
#[case::share_of_digits(LoadFormat::Share, "99999999999999999999")]
#[case::share_of_counts(LoadFormat::Share, "3,1,8")]
fn an_invalid_load_report_is_rejected(#[case] format: LoadFormat, #[case] value: &str) {
    assert!(load(format, value).is_err(), "{:?}", load(format, value));
}

#[test]
fn an_absent_load_report_is_no_fault() {
    assert_eq!(Dialect::default().load(&HeaderMap::new()), Ok(None));
}

#[rstest]
#[case::none(&[], false)]
#[case::one(&["1"], true)]
#[case::blanks_around(&[" 1 "], true)]
#[case::repeated(&["1", "1"], true)]
fn the_value_1_announces_a_shutdown(#[case] values: &[&str], #[case] expected: bool) {
    assert_eq!(shutdown(values), Ok(expected));
}

#[rstest]
#[case::zero(&["0"], "0")]
#[case::empty(&[""], "")]
#[case::word(&["true"], "true")]
#[case::list(&["1, 1"], "1, 1")]
#[case::contradiction(&["1", "0"], "0")]
fn an_invalid_announcement_is_rejected_with_a_reason(
    #[case] values: &[&str],
    #[case] invalid: &str,
) {
    assert_eq!(shutdown(values), Err(InvalidShutdown(invalid.to_owned())));
}

#[rstest]
#[case::none(&[], None)]
#[case::whole(&["3"], Some(Duration::from_secs(3)))]
#[case::fraction(&["0.25"], Some(Duration::from_millis(250)))]
#[case::zero(&["0"], None)]
#[case::hour(&["3600"], Some(MAX_BACKOFF))]
#[case::above_the_maximum(&["99999999999999999999"], Some(MAX_BACKOFF))]
fn a_backoff_is_a_number_of_seconds(#[case] values: &[&str], #[case] expected: Option<Duration>) {
    assert_eq!(backoff(values), Ok(expected));
}

#[rstest]
#[case::several(&["1", "3"], InvalidBackoff::Multiple(2))]
#[case::date(&["Wed, 21 Oct 2026 07:28:00 GMT"], InvalidBackoff::NotSeconds("Wed, 21 Oct 2026 07:28:00 GMT".to_owned()))]
#[case::negative(&["-1"], InvalidBackoff::NotSeconds("-1".to_owned()))]
#[case::exponent(&["1e3"], InvalidBackoff::NotSeconds("1e3".to_owned()))]
#[case::infinite(&["inf"], InvalidBackoff::NotSeconds("inf".to_owned()))]
#[case::empty(&[""], InvalidBackoff::NotSeconds(String::new()))]
#[case::dot(&["."], InvalidBackoff::NotSeconds(".".to_owned()))]
fn an_invalid_backoff_is_rejected_with_a_reason(
    #[case] values: &[&str],
    #[case] fault: InvalidBackoff,
) {
    assert_eq!(backoff(values), Err(fault));
}

#[rstest]
#[case::unavailable(503, false, true)]
#[case::unavailable_and_not_run(503, true, true)]
#[case::rate_of_the_upstream(429, true, true)]
#[case::rate_of_a_caller(429, false, false)]
#[case::failure(500, false, false)]
#[case::success(200, false, false)]
#[case::redirect(301, false, false)]
fn only_some_answers_may_request_a_backoff(
    #[case] status: u16,
    #[case] not_run: bool,
    #[case] expected: bool,
) {
    let d = Dialect::default();
    let h = if not_run { head(&d.not_run, &["1"]) } else { HeaderMap::new() };
    let status = StatusCode::from_u16(status).expect("the status code is valid");
    assert_eq!(may_request_backoff(&d, status, &h), expected);
}

#[test]
fn milliseconds_take_precedence_over_seconds() {
    let mut h = head(&headers::RETRY_AFTER_MS, &["1500"]);
    h.append(header::RETRY_AFTER, HeaderValue::from_static("2"));
    assert_eq!(read_backoff(&h), Ok(Some(Duration::from_millis(1_500))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Arbitrary header values cause no panic and yield no backoff above the maximum.
    #[test]
    fn arbitrary_bytes_are_accepted_or_rejected(values in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..40), 0..4,
    )) {
        let d = Dialect::default();
        let mut h = HeaderMap::new();
        for v in &values {
            if let Ok(v) = HeaderValue::from_bytes(v) {
                h.append(header::RETRY_AFTER, v.clone());
                h.append(&d.load, v.clone());
                h.append(&d.leaving, v);
            }
        }
        if let Ok(Some(wait)) = read_backoff(&h) {
            prop_assert!(!wait.is_zero() && wait <= MAX_BACKOFF);
        }
        let _ = d.leaving(&h);
        let _ = d.load(&h);
    }

    /// Counts of any size yield a report within its range, or none.
    #[test]
    fn arbitrary_loads_are_in_range(running in any::<f64>(), waiting in any::<f64>(), slots in any::<f64>()) {
        if let Ok(Some(report)) = load(LoadFormat::Counts, &format!("{running},{waiting},{slots}")) {
            prop_assert!((0.0..=MAX_LOAD).contains(&report.busy()));
            prop_assert!((0.0..=MAX_LOAD).contains(&report.slots()));
        }
    }

    #[test]
    fn decimal_numbers_are_always_accepted(text in "[0-9]{1,24}(\\.[0-9]{1,24})?") {
        prop_assert!(backoff(&[&text]).is_ok());
    }
}
