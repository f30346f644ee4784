//! Validation of answer heads, before anything of an answer is used or forwarded.
//!
//! The HTTP library reads a body until its connection closes if it does not understand how the head
//! delimits it, and reports that body as complete. Such a body may contain chunk sizes, bytes that
//! follow the answer, or only a part. A head that leaves any doubt is therefore not an answer.

use crate::headers;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header};

/// Highest status that is defined, see RFC 9110, section 15.
const MAX_STATUS: u16 = 599;
/// Highest accepted body length, which signed 64-bit integers can hold.
const MAX_LENGTH: u64 = i64::MAX as u64;
/// Number of changed characters up to which a field name counts as a misspelt framing field.
const MAX_TYPOS: usize = 2;

/// What is known of an answer before it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Whether the request asks for another protocol.
    pub upgrade: bool,
    /// Whether the body may end with its connection.
    pub allows_unframed: bool,
}

/// Head of an answer as received.
#[derive(Clone, Copy, Debug)]
pub struct Received<'a> {
    /// Protocol version.
    pub version: Version,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: &'a HeaderMap,
}

/// Reason why a head is not that of an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHead {
    /// The status is none that HTTP defines.
    #[error("status {0} is not defined")]
    Status(u16),
    /// The protocol is switched, although the request did not ask for it.
    #[error("an unexpected switch of protocols")]
    Upgrade,
    /// The transfer coding is not exactly `chunked`.
    #[error("the transfer coding is not 'chunked'")]
    Coding,
    /// There are both a transfer coding and a length.
    #[error("both a transfer coding and a length")]
    Ambiguous,
    /// The length is repeated or not a decimal number in range.
    #[error("the length is not a single number in range")]
    Length,
    /// The status excludes a body, but the head announces one.
    #[error("a body is announced, which the status excludes")]
    UnexpectedBody,
    /// Nothing in the head delimits the body.
    #[error("the answer has no length, so a cut could not be told")]
    Unframed,
    /// A field resembles one that would delimit the body.
    #[error("field {0:?} resembles a misspelt length or transfer coding")]
    Misspelt(HeaderName),
}

/// Checks that a head is that of an answer whose body is delimited without doubt.
///
/// # Errors
/// Returns an [`InvalidHead`] otherwise; it is then unknown whether the request was run.
pub fn check(head: &Received<'_>, expected: &Expected<'_>) -> Result<(), InvalidHead> {
    let status = head.status;
    if status.as_u16() > MAX_STATUS {
        return Err(InvalidHead::Status(status.as_u16()));
    }
    if status.is_informational() {
        let is_switch = status == StatusCode::SWITCHING_PROTOCOLS
            && expected.upgrade
            && head.headers.contains_key(header::UPGRADE);
        return if is_switch { Ok(()) } else { Err(InvalidHead::Upgrade) };
    }
    if head.version >= Version::HTTP_2 {
        // Frames delimit the body.
        return Ok(());
    }
    let length = length(head.headers)?;
    let is_chunked = is_chunked(head)?;
    if is_chunked && length.is_some() {
        return Err(InvalidHead::Ambiguous);
    }
    if status == StatusCode::NO_CONTENT && (is_chunked || length.is_some_and(|n| n > 0)) {
        return Err(InvalidHead::UnexpectedBody);
    }
    let is_empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || *expected.method == Method::HEAD;
    if is_empty || is_chunked || length.is_some() {
        return Ok(());
    }
    check_unframed(head, expected)
}

/// Returns the body's length, if the head states one.
fn length(h: &HeaderMap) -> Result<Option<u64>, InvalidHead> {
    let Some(value) = single(h, &header::CONTENT_LENGTH).map_err(|()| InvalidHead::Length)? else {
        return Ok(None);
    };
    let digits = value.to_str().ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    let number = digits.and_then(|t| t.parse().ok()).filter(|n| *n <= MAX_LENGTH);
    number.map(Some).ok_or(InvalidHead::Length)
}

/// Returns whether the body is sent in chunks.
fn is_chunked(head: &Received<'_>) -> Result<bool, InvalidHead> {
    let value = single(head.headers, &header::TRANSFER_ENCODING);
    match value.map_err(|()| InvalidHead::Coding)? {
        None => Ok(false),
        // HTTP/1.0 has no transfer codings.
        Some(v) if head.version == Version::HTTP_11 => {
            let is_chunked = v.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked { Ok(true) } else { Err(InvalidHead::Coding) }
        }
        Some(_) => Err(InvalidHead::Coding),
    }
}

/// Returns the value of a field that may occur once.
fn single<'a>(h: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, ()> {
    let mut all = h.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() { Err(()) } else { Ok(first) }
}

/// Checks a head without length and transfer coding, whose body ends with its connection.
///
/// A server that ends the body that way knows that it will close the connection, and announces it
/// from HTTP/1.1 on. If it does not, the length was lost on the way.
fn check_unframed(head: &Received<'_>, expected: &Expected<'_>) -> Result<(), InvalidHead> {
    let is_closing =
        head.version == Version::HTTP_10 || headers::has_connection_option(head.headers, "close");
    if !expected.allows_unframed || !is_closing {
        return Err(InvalidHead::Unframed);
    }
    let misspelt = head.headers.keys().find(|n| resembles_framing(n.as_str()));
    misspelt.map_or(Ok(()), |n| Err(InvalidHead::Misspelt(n.clone())))
}

fn resembles_framing(name: &str) -> bool {
    ["content-length", "transfer-encoding"].iter().any(|f| distance(name, f) <= MAX_TYPOS)
}

/// Returns the number of characters to insert, remove or replace that turn `a` into `b`.
fn distance(a: &str, b: &str) -> usize {
    if a.len().abs_diff(b.len()) > MAX_TYPOS {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.bytes().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
