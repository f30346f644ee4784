//! Tests the parsing of rate limits advertised by upstreams.

use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::named_limit::InvalidLimit;
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

const LIMIT: HeaderName = HeaderName::from_static("limit");

fn read(values: &[&str]) -> Result<Option<f64>, InvalidLimit> {
    let mut h = HeaderMap::new();
    for v in values {
        h.append(LIMIT, HeaderValue::from_str(v).expect("the value is valid in a header"));
    }
    Dialect::builder().limit(LIMIT).build().limit(&h)
}

#[rstest]
#[case::whole("3", 3.0)]
#[case::fraction("2.2", 2.2)]
#[case::small("0.05", 0.05)]
#[case::blanks_around(" 7 ", 7.0)]
fn a_decimal_number_is_accepted(#[case] text: &str, #[case] rate: f64) {
    assert_eq!(read(&[text]), Ok(Some(rate)));
}

#[test]
fn an_answer_without_a_limit_yields_none() {
    assert_eq!(read(&[]), Ok(None));
    assert_eq!(Dialect::default().limit(&HeaderMap::new()), Ok(None));
}

#[rstest]
#[case::zero("0.0", InvalidLimit::Zero("0.0".to_owned()))]
#[case::huge("1000000.5", InvalidLimit::TooLarge("1000000.5".to_owned()))]
#[case::negative("-1", InvalidLimit::NotDecimal("-1".to_owned()))]
#[case::signed("+1", InvalidLimit::NotDecimal("+1".to_owned()))]
#[case::exponent("1e3", InvalidLimit::NotDecimal("1e3".to_owned()))]
#[case::infinite("inf", InvalidLimit::NotDecimal("inf".to_owned()))]
#[case::not_a_number("NaN", InvalidLimit::NotDecimal("NaN".to_owned()))]
#[case::blank_within("1 000", InvalidLimit::NotDecimal("1 000".to_owned()))]
#[case::list("1,2", InvalidLimit::NotDecimal("1,2".to_owned()))]
#[case::empty("", InvalidLimit::NotDecimal(String::new()))]
#[case::no_fraction("2.", InvalidLimit::NotDecimal("2.".to_owned()))]
fn an_invalid_value_is_rejected_with_a_reason(#[case] text: &str, #[case] fault: InvalidLimit) {
    assert_eq!(read(&[text]), Err(fault));
}

#[test]
fn a_long_invalid_value_is_truncated_in_the_error() {
    let long = "x".repeat(4_000);
    let Err(InvalidLimit::NotDecimal(excerpt)) = read(&[&long]) else {
        panic!("the value is not a number")
    };
    assert!(excerpt.len() < 100, "{} characters are logged", excerpt.len());
}

#[test]
fn several_limits_in_one_answer_are_rejected() {
    assert_eq!(read(&["1", "2"]), Err(InvalidLimit::Multiple(2)));
}
