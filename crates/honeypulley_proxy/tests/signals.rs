//! Tests the parsing of shutdown announcements and backoffs in answers.

use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::headers;
use honeypulley_proxy::signals::{
    InvalidBackoff, InvalidShutdown, MAX_BACKOFF, may_request_backoff, read_backoff,
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
                h.append(&d.leaving, v);
            }
        }
        if let Ok(Some(wait)) = read_backoff(&h) {
            prop_assert!(!wait.is_zero() && wait <= MAX_BACKOFF);
        }
        let _ = d.leaving(&h);
    }

    #[test]
    fn decimal_numbers_are_always_accepted(text in "[0-9]{1,24}(\\.[0-9]{1,24})?") {
        prop_assert!(backoff(&[&text]).is_ok());
    }
}
