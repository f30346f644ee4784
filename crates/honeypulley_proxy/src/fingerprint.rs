//! Fingerprints that identify repeats of the same request.
//!
//! When a caller repeats a request, its ID, deadline, source port and box may change. Method,
//! host, path with query, body and the caller's address stay the same. The digest is keyed, so
//! that callers can't construct a request with the fingerprint of another one. Computing both
//! fingerprints takes 0.4 us without a body, 1.6 us with 1 KiB and 25 us with 64 KiB, the longest
//! buffered body (`benches/fingerprint.rs`).

use crate::body::Source;
use honeypulley_policy::quarantine::{Fingerprint, Fingerprints};
use http::Method;
use std::fmt;
use std::net::IpAddr;

/// Parts of a request that its fingerprints cover, besides the body.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Method.
    pub method: &'a Method,
    /// Host without its port, in lower case.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Address of the caller, if it is known.
    pub caller: Option<IpAddr>,
    /// Name sent by the caller, if any.
    pub caller_name: Option<&'a str>,
}

/// Computes fingerprints with the fleet's key, so that they are the same on all boxes.
#[derive(Clone, PartialEq, Eq)]
pub struct Fingerprinter([u8; 32]);

impl fmt::Debug for Fingerprinter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Fingerprinter(..)")
    }
}

impl Fingerprinter {
    /// Creates a fingerprinter with a secret key shared by all boxes of the fleet.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    /// Returns the fingerprints of a request.
    ///
    /// Of a streamed body, only the beginning and the length, if known, are covered.
    #[must_use]
    pub fn fingerprint(&self, id: &Identity<'_>, body: &Source) -> Fingerprints {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hash_part(&mut hasher, id.method.as_str().as_bytes());
        hash_part(&mut hasher, id.host.as_bytes());
        hash_part(&mut hasher, id.path.as_bytes());
        hasher.update(&body.length().unwrap_or(u64::MAX).to_le_bytes());
        hash_part(&mut hasher, body.prefix());
        let content = finish(&hasher);
        let address = id.caller.map_or_else(String::new, |ip| ip.to_string());
        hash_part(&mut hasher, address.as_bytes());
        hash_part(&mut hasher, id.caller_name.unwrap_or_default().as_bytes());
        Fingerprints { caller: finish(&hasher), content }
    }
}

/// Hashes a part prefixed with its length, so that the boundaries between parts matter.
fn hash_part(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

fn finish(hasher: &blake3::Hasher) -> Fingerprint {
    let digest = hasher.finalize();
    let (first, _) = digest.as_bytes().split_first_chunk().expect("a digest has 32 bytes");
    Fingerprint(u64::from_le_bytes(*first))
}
