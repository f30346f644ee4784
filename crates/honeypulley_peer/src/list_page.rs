//! Pages of a list of upstreams, for a box that has no list yet.
//!
//! Entries of a list resemble each other, so that compression reduces a page to about a third.
//! All boxes may need the whole list at once, and some have slow links.

use crate::listing::{Entry, read_entries, write_entries};
use crate::peer_capnp::list_entries;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use honeypulley_policy::revision::Revision;

/// Maximum number of entries in a page.
pub const PAGE_ENTRIES: usize = 1_000;
/// Maximum size of a decompressed page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Size of the length that precedes the compressed entries, in bytes.
const LENGTH_BYTES: usize = 4;

/// One page of a list, in the order of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Revision up to which the page is complete.
    pub version: Revision,
    /// Whether the list came from a stale read and has not been confirmed since.
    pub is_stale: bool,
    /// Whether more entries follow.
    pub has_more: bool,
    /// Entries of the page.
    pub entries: Vec<Entry>,
}

/// Encodes and compresses the entries of a page.
pub(crate) fn compress(entries: &[Entry]) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<list_entries::Builder<'_>>();
    write_entries(root.init_entries(entries.len() as u32), entries);
    lz4_flex::compress_prepend_size(&serialize::write_message_to_words(&message))
}

/// Decompresses and decodes the entries of a page.
///
/// # Errors
/// Returns an error if the data is malformed or too large.
pub(crate) fn decompress(data: &[u8]) -> Result<Vec<Entry>, capnp::Error> {
    let length = data.first_chunk::<LENGTH_BYTES>().map(|b| u32::from_le_bytes(*b) as usize);
    if length.is_none_or(|n| n > MAX_PAGE_BYTES) {
        return Err(capnp::Error::failed("a page of the list exceeds its maximum size".to_owned()));
    }
    let bytes = lz4_flex::decompress_size_prepended(data)
        .map_err(|e| capnp::Error::failed(format!("a page of the list is malformed: {e}")))?;
    let message = serialize::read_message(bytes.as_slice(), ReaderOptions::new())?;
    read_entries(message.get_root::<list_entries::Reader<'_>>()?.get_entries()?)
}
