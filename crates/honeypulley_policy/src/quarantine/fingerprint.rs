//! What makes two requests the same one.

use std::fmt;

/// A keyed digest of what stays when a request comes again.
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
    /// The content and the caller's address: the caller's own request.
    Caller,
    /// The content alone: the same question, whoever asks it.
    Content,
}

/// Both fingerprints of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// With the caller.
    pub caller: Fingerprint,
    /// Without the caller.
    pub content: Fingerprint,
}

impl Fingerprints {
    pub(super) const fn each(self) -> [(Scope, Fingerprint); 2] {
        [(Scope::Caller, self.caller), (Scope::Content, self.content)]
    }
}
