//! Heads of answers that are accepted or refused.

use honeypulley_proxy::dialect::Dialect;
use honeypulley_proxy::head::{Expected, InvalidHead, Received, check};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Parses lines of the form `name: value`, separated by bars.
fn headers(lines: &str) -> HeaderMap {
    let field = |line: &str| {
        let (name, value) = line.split_once(':').expect("a field has a colon");
        let name: HeaderName = name.trim().parse().expect("the name is valid");
        (name, HeaderValue::from_str(value.trim()).expect("the value is valid"))
    };
    let mut all = HeaderMap::new();
    for (name, value) in lines.split('|').filter(|l| !l.is_empty()).map(field) {
        all.append(name, value);
    }
    all
}

struct Head {
    version: Version,
    status: u16,
    method: Method,
    upgrade: bool,
    allows_unframed: bool,
}

const USUAL: Head = Head {
    version: Version::HTTP_11,
    status: 200,
    method: Method::GET,
    upgrade: false,
    allows_unframed: true,
};

fn check_head(head: &Head, lines: &str) -> Result<(), InvalidHead> {
    let headers = &headers(lines);
    let status = StatusCode::from_u16(head.status).expect("the library accepts the status");
    let expected = Expected {
        method: &head.method,
        upgrade: head.upgrade,
        allows_unframed: head.allows_unframed,
    };
    check(&Received { version: head.version, status, headers }, &expected)
}

#[rstest]
#[case::length("content-length: 5")]
#[case::chunks("transfer-encoding: chunked")]
#[case::chunks_in_capitals("transfer-encoding: Chunked")]
#[case::until_the_close("connection: close")]
#[case::until_the_close_in_a_list("connection: x, Close")]
#[case::a_similar_name("content-language: fj|connection: close")]
fn a_delimited_body_is_accepted(#[case] lines: &str) {
    assert_eq!(check_head(&USUAL, lines), Ok(()));
}

#[rstest]
#[case("content-lengt: 5", "content-lengt")]
#[case("content-lenght: 5", "content-lenght")]
#[case("contant-length: 5", "contant-length")]
#[case("transfer-encodimg: chunked", "transfer-encodimg")]
#[case("xtransfer-encoding: chunked", "xtransfer-encoding")]
fn a_misspelt_length_is_refused_before_a_close(#[case] line: &str, #[case] name: &'static str) {
    let misspelt = InvalidHead::Misspelt(HeaderName::from_static(name));
    assert_eq!(check_head(&USUAL, &format!("{line}|connection: close")), Err(misspelt));
    assert_eq!(check_head(&USUAL, line), Err(InvalidHead::Unframed));
    // The name says nothing if something else delimits the body.
    assert_eq!(check_head(&USUAL, &format!("{line}|content-length: 5")), Ok(()));
}

#[rstest]
#[case::switch(101, false, Err(InvalidHead::Upgrade))]
#[case::switch_without_a_protocol(101, true, Err(InvalidHead::Upgrade))]
#[case::interim(100, false, Err(InvalidHead::Upgrade))]
#[case::first_undefined(600, false, Err(InvalidHead::Status(600)))]
#[case::last_undefined(999, true, Err(InvalidHead::Status(999)))]
#[case::last_defined(599, false, Ok(()))]
fn a_status_is_checked(
    #[case] status: u16,
    #[case] upgrade: bool,
    #[case] expected: Result<(), InvalidHead>,
) {
    assert_eq!(check_head(&Head { status, upgrade, ..USUAL }, "content-length: 0"), expected);
}

#[test]
fn a_requested_switch_of_protocols_is_accepted() {
    let head = Head { status: 101, upgrade: true, ..USUAL };
    assert_eq!(check_head(&head, "connection: upgrade|upgrade: websocket"), Ok(()));
}

#[rstest]
#[case(Version::HTTP_10, "", Ok(()))]
#[case(Version::HTTP_10, "content-length: 5", Ok(()))]
#[case(Version::HTTP_10, "transfer-encoding: chunked", Err(InvalidHead::Coding))]
#[case(Version::HTTP_11, "", Err(InvalidHead::Unframed))]
#[case(Version::HTTP_2, "", Ok(()))]
fn the_version_decides_what_delimits_a_body(
    #[case] version: Version,
    #[case] lines: &str,
    #[case] expected: Result<(), InvalidHead>,
) {
    assert_eq!(check_head(&Head { version, ..USUAL }, lines), expected);
}

#[test]
fn a_body_until_the_close_has_to_be_allowed() {
    let head = Head { allows_unframed: false, ..USUAL };
    assert_eq!(check_head(&head, "connection: close"), Err(InvalidHead::Unframed));
    assert_eq!(check_head(&head, "content-length: 5"), Ok(()));
}

/// Answers without a body need no length; one that they state may be that of another answer.
#[rstest]
#[case::no_content(204, Method::GET, "", Ok(()))]
#[case::no_content_with_zero(204, Method::GET, "content-length: 0", Ok(()))]
#[case::no_content_with_a_body(
    204,
    Method::GET,
    "content-length: 5",
    Err(InvalidHead::UnexpectedBody)
)]
#[case::no_content_in_chunks(
    204,
    Method::GET,
    "transfer-encoding: chunked",
    Err(InvalidHead::UnexpectedBody)
)]
#[case::not_modified(304, Method::GET, "content-length: 5", Ok(()))]
#[case::head(200, Method::HEAD, "content-length: 5", Ok(()))]
#[case::head_without_a_length(200, Method::HEAD, "", Ok(()))]
#[case::head_with_two_lengths(
    200,
    Method::HEAD,
    "content-length: 5|content-length: 6",
    Err(InvalidHead::Length)
)]
fn answers_without_a_body_are_checked(
    #[case] status: u16,
    #[case] method: Method,
    #[case] lines: &str,
    #[case] expected: Result<(), InvalidHead>,
) {
    assert_eq!(check_head(&Head { status, method, ..USUAL }, lines), expected);
}

#[rstest]
#[case(200, "", false)]
#[case(500, "", true)]
#[case(200, "honeypulley-attempt: a-1", true)]
#[case(200, "honeypulley-attempt: a-1|honeypulley-attempt: a-1", true)]
#[case(200, "honeypulley-attempt: a-1|honeypulley-attempt: a-2", false)]
#[case(500, "honeypulley-attempt: a-2", false)]
fn a_success_has_to_echo_the_id(#[case] status: u16, #[case] lines: &str, #[case] expected: bool) {
    let status = StatusCode::from_u16(status).expect("the status is valid");
    let (h, id) = (headers(lines), HeaderValue::from_static("a-1"));
    let dialect = Dialect::builder().requires_echo(true).build();
    assert_eq!(dialect.is_own_answer(status, &h, &id), expected);
    if lines.is_empty() {
        assert!(Dialect::default().is_own_answer(status, &h, &id), "echoing is optional");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(84),
        ..ProptestConfig::default()
    })]

    /// A body is read only if exactly one thing delimits it.
    #[test]
    fn any_values_delimit_a_body_in_one_way_or_are_refused(
        lengths in prop::collection::vec("[0-9 ,+x-]{0,20}", 0..3),
        codings in prop::collection::vec("[a-z ,;=]{0,9}|chunked", 0..3),
    ) {
        let lengths: Vec<&str> = lengths.iter().map(|v| v.trim()).collect();
        let codings: Vec<&str> = codings.iter().map(|v| v.trim()).collect();
        let lines = lengths.iter().map(|v| format!("content-length: {v}"));
        let lines: Vec<String> =
            lines.chain(codings.iter().map(|v| format!("transfer-encoding: {v}"))).collect();
        let is_number = |v: &str| !v.is_empty()
            && v.bytes().all(|b| b.is_ascii_digit()) && v.parse::<i64>().is_ok();
        let expected = match (lengths.as_slice(), codings.as_slice()) {
            ([v], []) => is_number(v),
            ([], ["chunked"]) => true,
            _ => false,
        };
        prop_assert_eq!(check_head(&USUAL, &lines.join("|")).is_ok(), expected, "{:?}", lines);
    }
}
