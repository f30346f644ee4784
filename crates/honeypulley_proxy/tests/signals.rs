//! Which announcements and backoffs are read from an answer, and why others are ignored.

use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::headers;
use honeypulley_proxy::signals::{
    BackoffFault, LeavingFault, MAX_BACKOFF, may_ask_backoff, read_backoff,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::time::Duration;

fn head(name: &HeaderName, values: &[&str]) -> HeaderMap {
    let mut h = HeaderMap::new();
    for v in values {
        h.append(name, HeaderValue::from_str(v).expect("it fits a header"));
    }
    h
}

fn leaving(values: &[&str]) -> Result<bool, LeavingFault> {
    Dialect::default().leaving(&head(&headers::LEAVING, values))
}

fn backoff(values: &[&str]) -> Result<Option<Duration>, BackoffFault> {
    read_backoff(&head(&header::RETRY_AFTER, values))
}

#[rstest]
#[case::none(&[], false)]
#[case::one(&["1"], true)]
#[case::blanks_around(&[" 1 "], true)]
#[case::twice_the_same(&["1", "1"], true)]
fn an_announcement_is_a_one(#[case] values: &[&str], #[case] expected: bool) {
    assert_eq!(leaving(values), Ok(expected));
}

#[rstest]
#[case::zero(&["0"], "0")]
#[case::empty(&[""], "")]
#[case::word(&["true"], "true")]
#[case::list(&["1, 1"], "1, 1")]
#[case::contradiction(&["1", "0"], "0")]
fn an_odd_announcement_is_ignored_with_its_reason(#[case] values: &[&str], #[case] odd: &str) {
    assert_eq!(leaving(values), Err(LeavingFault(odd.to_owned())));
}

#[rstest]
#[case::none(&[], None)]
#[case::whole(&["3"], Some(Duration::from_secs(3)))]
#[case::fraction(&["0.25"], Some(Duration::from_millis(250)))]
#[case::zero(&["0"], None)]
#[case::hour(&["3600"], Some(MAX_BACKOFF))]
#[case::beyond_the_most(&["99999999999999999999"], Some(MAX_BACKOFF))]
fn a_backoff_is_a_number_of_seconds(#[case] values: &[&str], #[case] expected: Option<Duration>) {
    assert_eq!(backoff(values), Ok(expected));
}

#[rstest]
#[case::several(&["1", "3"], BackoffFault::Several(2))]
#[case::date(&["Wed, 21 Oct 2026 07:28:00 GMT"], BackoffFault::NotSeconds("Wed, 21 Oct 2026 07:28:00 GMT".to_owned()))]
#[case::negative(&["-1"], BackoffFault::NotSeconds("-1".to_owned()))]
#[case::exponent(&["1e3"], BackoffFault::NotSeconds("1e3".to_owned()))]
#[case::infinite(&["inf"], BackoffFault::NotSeconds("inf".to_owned()))]
#[case::empty(&[""], BackoffFault::NotSeconds(String::new()))]
#[case::dot(&["."], BackoffFault::NotSeconds(".".to_owned()))]
fn an_odd_backoff_is_ignored_with_its_reason(#[case] values: &[&str], #[case] fault: BackoffFault) {
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
fn only_some_answers_ask_for_a_backoff(
    #[case] status: u16,
    #[case] not_run: bool,
    #[case] expected: bool,
) {
    let d = Dialect::default();
    let h = if not_run { head(&d.not_run, &["1"]) } else { HeaderMap::new() };
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(may_ask_backoff(&d, status, &h), expected);
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

    /// No value makes reading panic, or yields a backoff beyond the longest one.
    #[test]
    fn any_bytes_are_read_or_refused(values in prop::collection::vec(
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
    fn digits_are_always_read(text in "[0-9]{1,24}(\\.[0-9]{1,24})?") {
        prop_assert!(backoff(&[&text]).is_ok());
    }
}
