//! Which limits of an upstream are taken from its answers.

use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::named_limit::LimitFault;
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

const LIMIT: HeaderName = HeaderName::from_static("limit");

fn read(values: &[&str]) -> Result<Option<f64>, LimitFault> {
    let mut h = HeaderMap::new();
    for v in values {
        h.append(LIMIT, HeaderValue::from_str(v).expect("it fits a header"));
    }
    Dialect::builder().limit(LIMIT).build().limit(&h)
}

#[rstest]
#[case::whole("3", 3.0)]
#[case::fraction("2.2", 2.2)]
#[case::small("0.05", 0.05)]
#[case::blanks_around(" 7 ", 7.0)]
fn a_decimal_number_is_taken(#[case] text: &str, #[case] rate: f64) {
    assert_eq!(read(&[text]), Ok(Some(rate)));
}

#[test]
fn an_answer_that_names_none_has_none() {
    assert_eq!(read(&[]), Ok(None));
    assert_eq!(Dialect::default().limit(&HeaderMap::new()), Ok(None));
}

#[rstest]
#[case::zero("0.0", LimitFault::Zero("0.0".to_owned()))]
#[case::huge("1000000.5", LimitFault::Huge("1000000.5".to_owned()))]
#[case::negative("-1", LimitFault::NotDecimal("-1".to_owned()))]
#[case::signed("+1", LimitFault::NotDecimal("+1".to_owned()))]
#[case::exponent("1e3", LimitFault::NotDecimal("1e3".to_owned()))]
#[case::infinite("inf", LimitFault::NotDecimal("inf".to_owned()))]
#[case::not_a_number("NaN", LimitFault::NotDecimal("NaN".to_owned()))]
#[case::blank_within("1 000", LimitFault::NotDecimal("1 000".to_owned()))]
#[case::list("1,2", LimitFault::NotDecimal("1,2".to_owned()))]
#[case::empty("", LimitFault::NotDecimal(String::new()))]
#[case::no_fraction("2.", LimitFault::NotDecimal("2.".to_owned()))]
fn an_odd_value_is_refused_with_its_reason(#[case] text: &str, #[case] fault: LimitFault) {
    assert_eq!(read(&[text]), Err(fault));
}

#[test]
fn an_odd_value_is_shown_by_its_beginning() {
    let long = "x".repeat(4_000);
    let Err(LimitFault::NotDecimal(shown)) = read(&[&long]) else { panic!("it is no number") };
    assert!(shown.len() < 100, "{} characters go into the log", shown.len());
}

#[test]
fn two_limits_in_one_answer_are_refused() {
    assert_eq!(read(&["1", "2"]), Err(LimitFault::Several(2)));
}
