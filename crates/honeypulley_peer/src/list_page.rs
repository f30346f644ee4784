//! Pages of a list of upstreams or an address book, for a box that has none yet.
//!
//! Entries resemble each other, so that compression reduces a page to about a third. All boxes may
//! need everything at once, and some have slow links.

use crate::listing::{BoxAddress, Entry, read_boxes, read_entries, write_boxes, write_entries};
use crate::peer_capnp::{box_entries, list_entries};
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use honeypulley_policy::revision::Revision;

/// Maximum number of entries or addresses in a page.
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

impl ListPage {
    /// Returns whether a transfer that continues behind this page, the one after `after`, ends.
    #[must_use]
    pub fn advances(&self, after: &str) -> bool {
        !self.has_more || self.entries.last().is_some_and(|e| e.name.as_str() > after)
    }
}

/// One page of an address book, in the order of ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoxPage {
    /// Whether more addresses follow.
    pub has_more: bool,
    /// Addresses of the page.
    pub boxes: Vec<BoxAddress>,
}

/// Answer to a request for a page of an address book.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BoxAnswer {
    /// The page.
    Page(BoxPage),
    /// No page, but a few random addresses to ask instead.
    Sample {
        /// Whether the box knows the fleet, and only has no capacity for a transfer.
        is_known: bool,
        /// Addresses of other boxes.
        boxes: Vec<BoxAddress>,
    },
}

/// Encodes and compresses the entries of a page.
#[must_use]
pub fn compress_entries(entries: &[Entry]) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<list_entries::Builder<'_>>();
    write_entries(root.init_entries(entries.len() as u32), entries);
    lz4_flex::compress_prepend_size(&serialize::write_message_to_words(&message))
}

/// Decompresses and decodes the entries of a page.
///
/// # Errors
/// Returns an error if the data is malformed or too large.
pub fn decompress_entries(data: &[u8]) -> Result<Vec<Entry>, capnp::Error> {
    let bytes = decompress(data)?;
    let message = serialize::read_message(bytes.as_slice(), ReaderOptions::new())?;
    read_entries(message.get_root::<list_entries::Reader<'_>>()?.get_entries()?)
}

/// Encodes and compresses the addresses of a page.
#[must_use]
pub fn compress_boxes(boxes: &[BoxAddress]) -> Vec<u8> {
    let mut message = Builder::new_default();
    let root = message.init_root::<box_entries::Builder<'_>>();
    write_boxes(root.init_boxes(boxes.len() as u32), boxes);
    lz4_flex::compress_prepend_size(&serialize::write_message_to_words(&message))
}

/// Decompresses and decodes the addresses of a page.
///
/// # Errors
/// Returns an error if the data is malformed or too large.
pub fn decompress_boxes(data: &[u8]) -> Result<Vec<BoxAddress>, capnp::Error> {
    let bytes = decompress(data)?;
    let message = serialize::read_message(bytes.as_slice(), ReaderOptions::new())?;
    read_boxes(message.get_root::<box_entries::Reader<'_>>()?.get_boxes()?)
}

fn decompress(data: &[u8]) -> Result<Vec<u8>, capnp::Error> {
    let length = data.first_chunk::<LENGTH_BYTES>().map(|b| u32::from_le_bytes(*b) as usize);
    if length.is_none_or(|n| n > MAX_PAGE_BYTES) {
        return Err(capnp::Error::failed("a page exceeds its maximum size".to_owned()));
    }
    lz4_flex::decompress_size_prepended(data)
        .map_err(|e| capnp::Error::failed(format!("a page is malformed: {e}")))
}
