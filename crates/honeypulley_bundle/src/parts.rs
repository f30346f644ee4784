//! Partitioning of a bundle.
//!
//! Each entry (a service, a route, a caller, a limit, a signer) is assigned to a
//! bucket by the hash of its name. A part is itself an INI file that holds the sorted
//! entries of one bucket, so changing an entry changes a single part.

use bytes::Bytes;
use honeypulley_ini::{Doc, IniError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Target size of a part, in bytes.
const PART_BYTES: usize = 4_096;
/// Maximum number of buckets; keeps a manifest below the platform's value limit of 1 MB.
pub const MAX_BUCKETS: usize = 8_192;

/// BLAKE3 digest, serialized as hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from its 32 bytes, as received from a peer.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for Digest {
    type Err = blake3::HexError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(s).map(|h| Self(*h.as_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = blake3::HexError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<Digest> for String {
    fn from(d: Digest) -> Self {
        d.to_string()
    }
}

/// Digests of all parts, ordered by bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// Digest of each bucket's part.
    pub parts: Vec<Digest>,
}

impl Manifest {
    /// Returns the stored form: the concatenated digests.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.parts.iter().flat_map(|d| d.0).collect()
    }

    /// Parses a stored manifest.
    ///
    /// Returns `None` unless the number of digests is a power of two and at most
    /// [`MAX_BUCKETS`].
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (digests, rest) = bytes.as_chunks::<32>();
        let valid =
            rest.is_empty() && digests.len().is_power_of_two() && digests.len() <= MAX_BUCKETS;
        valid.then(|| Self { parts: digests.iter().copied().map(Digest).collect() })
    }

    /// Returns the digest of the manifest, which operators sign.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    /// Returns the bucket and digest of each part that differs from `old`.
    ///
    /// Returns `None` if the number of buckets differs.
    #[must_use]
    pub fn changes_from(&self, old: &Self) -> Option<Vec<(usize, Digest)>> {
        let pairs = self.parts.iter().zip(&old.parts).enumerate();
        let changed = pairs.filter(|(_, (new, old))| new != old).map(|(i, (new, _))| (i, *new));
        (self.parts.len() == old.parts.len()).then(|| changed.collect())
    }
}

/// The stored form of a bundle: a manifest and its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Digests of the parts.
    pub manifest: Manifest,
    /// Text of the parts, ordered by bucket.
    pub parts: Vec<Bytes>,
}

/// Returns the bucket that an entry is assigned to.
#[must_use]
pub fn bucket(kind: &str, name: &str, buckets: usize) -> usize {
    let key = format!("{kind}\0{name}");
    (xxh3_64(key.as_bytes()) % buckets.max(1) as u64) as usize
}

/// Partitions the text of a bundle.
///
/// The number of buckets depends only on the length of the text, so that signing and
/// rolling out a file yield the same manifest.
///
/// # Errors
/// Returns an error if the INI text is malformed.
pub fn split(file: &str, text: &str) -> Result<Split, IniError> {
    let doc = Doc::read(file, text)?;
    let n = (text.len() / PART_BYTES).next_power_of_two().clamp(1, MAX_BUCKETS);
    let mut buckets: Vec<BTreeMap<(String, String), String>> = vec![BTreeMap::new(); n];
    for section in doc.sections() {
        let mut entries: Vec<(&str, &str)> = section.iter().collect();
        // A service is kept in one part; the other sections are split by entry.
        if let Some(name) = section.name().strip_prefix("service ") {
            entries.sort_unstable();
            let body = entries.iter().fold(String::new(), |mut s, (k, v)| {
                let _ = writeln!(s, "{k} = {v}");
                s
            });
            buckets[bucket("service", name.trim(), n)]
                .insert((section.name().to_owned(), String::new()), body);
            continue;
        }
        for (k, v) in entries {
            let target = &mut buckets[bucket(section.name(), k, n)];
            target.insert((section.name().to_owned(), k.to_owned()), format!("{k} = {v}\n"));
        }
    }
    let parts: Vec<Bytes> = buckets.iter().map(render).collect();
    let manifest = Manifest { parts: parts.iter().map(|p| Digest::of(p)).collect() };
    Ok(Split { manifest, parts })
}

fn render(entries: &BTreeMap<(String, String), String>) -> Bytes {
    let (mut text, mut current) = (String::new(), "");
    for ((section, _), body) in entries {
        if section != current {
            let _ = writeln!(text, "[{section}]");
            current = section;
        }
        text.push_str(body);
    }
    Bytes::from(text)
}
