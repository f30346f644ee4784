//! Requests under which upstreams end.

use std::fmt;

/// What makes two requests the same one, as a keyed digest.
///
/// A caller that comes again gives its request a new id; this stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
