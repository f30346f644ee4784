//! Header names and helpers of the protocol with callers and upstreams.

use http::header::{self, HeaderMap, HeaderName};

/// ID of an attempt; an upstream may echo it, and a different value is an error.
pub const ATTEMPT: HeaderName = HeaderName::from_static("honeypulley-attempt");
/// Milliseconds left until the deadline, sent by callers and forwarded to upstreams.
pub const DEADLINE: HeaderName = HeaderName::from_static("honeypulley-deadline-ms");
/// On an answer: the request was not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("honeypulley-not-run");
/// On an answer of the proxy itself: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("honeypulley-outcome");
/// On an upstream's answer: the upstream is about to shut down.
pub const LEAVING: HeaderName = HeaderName::from_static("honeypulley-drain");
/// On an upstream's answer: fraction of busy slots, as a decimal number.
pub const LOAD: HeaderName = HeaderName::from_static("honeypulley-load");
/// Name of the caller, used for its rate limit.
pub const CALLER: HeaderName = HeaderName::from_static("honeypulley-caller");
/// ID of a request, shared by all of its attempts.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds until a retry, since `Retry-After` has a resolution of one second.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// On a request that another box relays: what that box passes on, authenticated.
pub const RELAY: HeaderName = HeaderName::from_static("honeypulley-relay");
/// On an answer to a relayed request: whose answer it is.
pub const RELAY_OUTCOME: HeaderName = HeaderName::from_static("honeypulley-relay-outcome");

/// Returns the options that the `Connection` header lists.
fn connection_options(h: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = h.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).map(str::trim)
}

/// Returns whether the `Connection` header lists an option, which is case-insensitive.
#[must_use]
pub fn has_connection_option(h: &HeaderMap, option: &str) -> bool {
    connection_options(h).any(|o| o.eq_ignore_ascii_case(option))
}

/// Removes hop-by-hop headers (RFC 9110 section 7.6.1).
pub fn strip_hop_by_hop(h: &mut HeaderMap) {
    let listed: Vec<HeaderName> = connection_options(h).filter_map(|n| n.parse().ok()).collect();
    for n in listed {
        h.remove(n);
    }
    for n in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        h.remove(n);
    }
}

/// Returns the value of a header as text, if it is valid.
#[must_use]
pub fn text<'a>(h: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    h.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the value of a header as a number, if it is valid.
#[must_use]
pub fn number<T: std::str::FromStr>(h: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(h, name).and_then(|t| t.trim().parse().ok())
}
