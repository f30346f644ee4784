//! Percent-encoding of names in URLs.
//!
//! Any writer of the platform chooses the names of its objects, so they may hold every character.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::borrow::Cow;

/// Characters that are encoded: all but the unreserved ones of RFC 3986, section 2.3.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a name as the value of a query parameter.
///
/// A blank becomes `%20`, which decodes the same in URLs and in form data.
#[must_use]
pub fn query_value(name: &str) -> Cow<'_, str> {
    utf8_percent_encode(name, RESERVED).into()
}

/// Encodes a name as one segment of a path.
///
/// Returns `None` if no path can hold the name: an empty segment is ambiguous, and URL parsers
/// resolve dot segments, even encoded ones.
#[must_use]
pub fn path_segment(name: &str) -> Option<Cow<'_, str>> {
    (!matches!(name, "" | "." | "..")).then(|| query_value(name))
}

/// Encodes a key as a path whose segments are separated by slashes.
///
/// Returns `None` if no path can hold one of the segments.
#[must_use]
pub fn path(key: &str) -> Option<String> {
    let segments: Option<Vec<Cow<'_, str>>> = key.split('/').map(path_segment).collect();
    segments.map(|s| s.join("/"))
}
