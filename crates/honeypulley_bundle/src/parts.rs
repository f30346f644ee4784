//! Cutting a bundle into parts and putting it together.
//!
//! Each entry (a service, a route, a caller, a limit, a signer) falls into the
//! bucket its name hashes to. A part is an INI file again, holding the entries
//! of one bucket in order. A change of one entry changes one part.

use bytes::Bytes;
use honeypulley_ini::{Doc, IniError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Size that parts should have on average, in bytes.
const PART_BYTES: usize = 4_096;
/// Most buckets; keeps a manifest under the platform's megabyte.
pub const MAX_BUCKETS: usize = 8_192;

/// BLAKE3 digest; written in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digests some bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Takes the 32 bytes of a digest, as they come over the wire.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the 32 bytes.
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

/// Digests of all parts, in the order of their buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// One digest for each bucket.
    pub parts: Vec<Digest>,
}

impl Manifest {
    /// Returns the bytes that are stored and signed: the digests in a row.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.parts.iter().flat_map(|d| d.0).collect()
    }

    /// Reads a stored manifest.
    ///
    /// Returns `None` unless it has a power of two of digests, at most
    /// [`MAX_BUCKETS`].
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (rows, rest) = bytes.as_chunks::<32>();
        let fits = rest.is_empty() && rows.len().is_power_of_two() && rows.len() <= MAX_BUCKETS;
        fits.then(|| Self { parts: rows.iter().copied().map(Digest).collect() })
    }

    /// Returns the manifest's own digest.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.to_bytes())
    }

    /// Returns bucket and digest of each part that differs from `old`.
    ///
    /// Returns `None` if the number of buckets differs.
    #[must_use]
    pub fn changes_from(&self, old: &Self) -> Option<Vec<(usize, Digest)>> {
        let rows = self.parts.iter().zip(&old.parts).enumerate();
        let changed = rows.filter(|(_, (new, old))| new != old).map(|(i, (new, _))| (i, *new));
        (self.parts.len() == old.parts.len()).then(|| changed.collect())
    }
}

/// A bundle as it is stored: a manifest and its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The manifest.
    pub manifest: Manifest,
    /// The parts in the order of their buckets.
    pub parts: Vec<Bytes>,
}

/// Returns the bucket of an entry.
#[must_use]
pub fn bucket(kind: &str, name: &str, buckets: usize) -> usize {
    let key = format!("{kind}\0{name}");
    (xxh3_64(key.as_bytes()) % buckets.max(1) as u64) as usize
}

/// Cuts the text of a bundle into parts.
///
/// The number of buckets follows from the length alone, so that whoever signs a
/// file off and whoever rolls it out get the same manifest.
///
/// # Errors
/// Returns what is wrong with the INI text.
pub fn split(file: &str, text: &str) -> Result<Split, IniError> {
    let doc = Doc::read(file, text)?;
    let n = (text.len() / PART_BYTES).next_power_of_two().clamp(1, MAX_BUCKETS);
    let mut cells: Vec<BTreeMap<(String, String), String>> = vec![BTreeMap::new(); n];
    for section in doc.sections() {
        let mut entries: Vec<(&str, &str)> = section.iter().collect();
        // Whole services stay together; lists are cut line by line.
        if let Some(name) = section.name().strip_prefix("service ") {
            entries.sort_unstable();
            let body = entries.iter().fold(String::new(), |mut s, (k, v)| {
                let _ = writeln!(s, "{k} = {v}");
                s
            });
            cells[bucket("service", name.trim(), n)]
                .insert((section.name().to_owned(), String::new()), body);
            continue;
        }
        for (k, v) in entries {
            let cell = &mut cells[bucket(section.name(), k, n)];
            cell.insert((section.name().to_owned(), k.to_owned()), format!("{k} = {v}\n"));
        }
    }
    let parts: Vec<Bytes> = cells.iter().map(render).collect();
    let manifest = Manifest { parts: parts.iter().map(|p| Digest::of(p)).collect() };
    Ok(Split { manifest, parts })
}

fn render(cell: &BTreeMap<(String, String), String>) -> Bytes {
    let (mut text, mut last) = (String::new(), "");
    for ((section, _), body) in cell {
        if section != last {
            let _ = writeln!(text, "[{section}]");
            last = section;
        }
        text.push_str(body);
    }
    Bytes::from(text)
}
