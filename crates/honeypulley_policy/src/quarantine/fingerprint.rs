//! Identifies repeats of the same request.

use std::fmt;

/// Keyed digest of the parts of a request that repeats share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// The content and the caller's address: requests repeated by one caller.
    Caller,
    /// The content alone: equal requests of any callers.
    Content,
}

/// Both fingerprints of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Fingerprint that covers the content and the caller.
    pub caller: Fingerprint,
    /// Fingerprint that covers the content alone.
    pub content: Fingerprint,
}

impl Fingerprints {
    pub(super) const fn each(self) -> [(Scope, Fingerprint); 2] {
        [(Scope::Caller, self.caller), (Scope::Content, self.content)]
    }
}
