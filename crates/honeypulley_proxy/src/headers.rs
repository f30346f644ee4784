//! Headers of the protocol with callers and upstreams.

use http::header::{self, HeaderMap, HeaderName};

/// Number of one attempt; an upstream that echoes it must echo it right.
pub const ATTEMPT: HeaderName = HeaderName::from_static("honeypulley-attempt");
/// Milliseconds left until the deadline, from caller to us and on to upstreams.
pub const DEADLINE: HeaderName = HeaderName::from_static("honeypulley-deadline-ms");
/// On an answer: the request was not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("honeypulley-not-run");
/// On an answer of ours: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("honeypulley-outcome");
/// On an upstream's answer: it will shut down.
pub const LEAVING: HeaderName = HeaderName::from_static("honeypulley-drain");
/// On an upstream's answer: busy slots over all slots, as a decimal.
pub const LOAD: HeaderName = HeaderName::from_static("honeypulley-load");
/// Who asks, for limits.
pub const CALLER: HeaderName = HeaderName::from_static("honeypulley-caller");
/// Identity of a request through all its attempts.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds after which to come back; `Retry-After` only knows seconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// Removes what concerns one connection only (RFC 9110 section 7.6.1).
pub fn strip_hop_by_hop(h: &mut HeaderMap) {
    let named: Vec<HeaderName> = h
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for n in named {
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

/// Returns a header as text.
#[must_use]
pub fn text<'a>(h: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    h.get(name).and_then(|v| v.to_str().ok())
}

/// Returns a header as a number.
#[must_use]
pub fn number<T: std::str::FromStr>(h: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(h, name).and_then(|t| t.trim().parse().ok())
}
