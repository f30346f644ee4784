//! Checks and properties of the heads of callers' requests.

use crate::answer::LocalAnswer;
use crate::headers;
use http::{Method, Version, header};
use salvo::prelude::Request;

/// Rejects CONNECT, several hosts and ambiguous framing (RFC 9112 section 6.3).
pub(crate) fn check_framing(req: &Request) -> Result<(), LocalAnswer> {
    let h = req.headers();
    let lengths = h.get_all(header::CONTENT_LENGTH).iter().count();
    let coded = h.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || (lengths == 1 && coded) {
        return Err(LocalAnswer::bad_request(
            "ambiguous framing: one length or one transfer coding, not both",
        ));
    }
    if h.get_all(header::HOST).iter().count() > 1 {
        return Err(LocalAnswer::bad_request("more than one host"));
    }
    if *req.method() == Method::CONNECT {
        return Err(LocalAnswer::bad_request("CONNECT is not served"));
    }
    Ok(())
}

/// Returns the smallest size of a request's head on the wire, in bytes.
pub(crate) fn head_size(req: &Request) -> usize {
    // Two blanks, the version, and the line ends of the request line and of the head.
    const FIXED: usize = "  HTTP/1.1\r\n\r\n".len();
    const PER_FIELD: usize = ":\r\n".len();
    let fields = req.headers().iter().map(|(k, v)| k.as_str().len() + v.len() + PER_FIELD);
    FIXED + req.method().as_str().len() + path_of(req).len() + fields.sum::<usize>()
}

/// Returns the path with its query.
pub(crate) fn path_of(req: &Request) -> &str {
    req.uri().path_and_query().map_or("/", http::uri::PathAndQuery::as_str)
}

/// Returns the host without its port, in lower case.
///
/// In HTTP/1 the request line takes precedence over the header (RFC 9112 section 3.2.2). In
/// HTTP/2 every request has an authority, so an additional host header was set on purpose and
/// takes precedence.
pub(crate) fn host_of(req: &Request) -> Result<String, LocalAnswer> {
    let value = headers::text(req.headers(), &header::HOST);
    let from_uri = req.uri().host();
    let host = if prefers_request_line(req) { from_uri.or(value) } else { value.or(from_uri) };
    let host = host.ok_or_else(|| LocalAnswer::bad_request("no host is named"))?;
    let host_only =
        if host.starts_with('[') { host } else { host.split(':').next().unwrap_or(host) };
    Ok(host_only.to_ascii_lowercase())
}

/// Returns whether a host in the request line takes precedence over the header.
pub(crate) fn prefers_request_line(req: &Request) -> bool {
    req.version() <= Version::HTTP_11
}
