//! Tests which differences between requests change their fingerprints.

use bytes::Bytes;
use honeypulley_policy::quarantine::Fingerprints;
use honeypulley_proxy::body::Source;
use honeypulley_proxy::fingerprint::{Fingerprinter, Identity};
use http::Method;
use rstest::rstest;
use std::net::{IpAddr, Ipv4Addr};

const GET: Method = Method::GET;
const PUT: Method = Method::PUT;

fn identity(method: &Method) -> Identity<'_> {
    Identity {
        method,
        host: "x.example",
        path: "/a?b=c",
        caller: Some(IpAddr::V4(Ipv4Addr::LOCALHOST)),
        caller_name: None,
    }
}

fn fingerprints(id: &Identity<'_>, body: &'static str) -> Fingerprints {
    Fingerprinter::new([7; 32])
        .fingerprint(id, &Source::Buffered(Bytes::from_static(body.as_bytes())))
}

#[test]
fn equal_requests_have_equal_fingerprints() {
    assert_eq!(fingerprints(&identity(&GET), "x"), fingerprints(&identity(&GET), "x"));
}

#[rstest]
#[case::method(identity(&PUT), "x")]
#[case::host(Identity { host: "y.example", ..identity(&GET) }, "x")]
#[case::path(Identity { path: "/a", ..identity(&GET) }, "x")]
#[case::body(identity(&GET), "xx")]
#[case::no_body(identity(&GET), "")]
#[case::split(Identity { host: "x.example/", path: "a?b=c", ..identity(&GET) }, "x")]
fn different_requests_have_different_fingerprints(
    #[case] id: Identity<'_>,
    #[case] body: &'static str,
) {
    let (a, b) = (fingerprints(&id, body), fingerprints(&identity(&GET), "x"));
    assert_ne!(a.content, b.content);
    assert_ne!(a.caller, b.caller);
}

#[rstest]
#[case::address(Identity { caller: Some(IpAddr::V4(Ipv4Addr::BROADCAST)), ..identity(&GET) })]
#[case::no_address(Identity { caller: None, ..identity(&GET) })]
#[case::name(Identity { caller_name: Some("shop"), ..identity(&GET) })]
fn different_callers_share_only_the_content_fingerprint(#[case] id: Identity<'_>) {
    let (a, b) = (fingerprints(&id, "x"), fingerprints(&identity(&GET), "x"));
    assert_eq!(a.content, b.content);
    assert_ne!(a.caller, b.caller);
}

#[test]
fn fingerprints_depend_on_the_key() {
    let body = Source::Buffered(Bytes::new());
    let id = identity(&GET);
    assert_ne!(
        Fingerprinter::new([7; 32]).fingerprint(&id, &body),
        Fingerprinter::new([8; 32]).fingerprint(&id, &body)
    );
}
