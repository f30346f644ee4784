//! Percent-encoding of names in URLs.
//!
//! Any writer of the platform chooses the names of its objects, so they may hold every character.

use reqwest::Url;

/// Encodes a name as the value of a query parameter.
///
/// A blank becomes `%20`, which decodes the same in URLs and in form data.
///
/// # Panics
/// Never: the URL that the library needs for it is constant.
#[must_use]
pub fn query_value(name: &str) -> String {
    let mut url = base();
    url.query_pairs_mut().append_key_only(name);
    url.query().unwrap_or_default().replace('+', "%20")
}

/// Encodes a name as one segment of a path.
///
/// Returns `None` if no path can hold the name: an empty segment is ambiguous, and URL parsers
/// resolve dot segments, even encoded ones.
#[must_use]
pub fn path_segment(name: &str) -> Option<String> {
    (!matches!(name, "" | "." | "..")).then(|| query_value(name))
}

/// Encodes a key as a path whose segments are separated by slashes.
///
/// Returns `None` if no path can hold one of the segments.
#[must_use]
pub fn path(key: &str) -> Option<String> {
    let segments: Option<Vec<String>> = key.split('/').map(path_segment).collect();
    segments.map(|s| s.join("/"))
}

/// Decodes the parameters of a query.
#[must_use]
pub fn decode_query(query: &str) -> Vec<(String, String)> {
    let mut url = base();
    url.set_query(Some(query));
    url.query_pairs().into_owned().collect()
}

/// Decodes a path, in which a plus sign stands for itself.
#[must_use]
pub fn decode_path(path: &str) -> String {
    let query = path.replace('+', "%2B").replace('&', "%26").replace('=', "%3D");
    decode_query(&query).pop().map(|(key, _)| key).unwrap_or_default()
}

/// Returns the URL whose query the library encodes and decodes.
fn base() -> Url {
    Url::parse("http://localhost/").expect("the constant URL is valid")
}
