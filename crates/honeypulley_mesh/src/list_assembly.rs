//! Assembly of a whole list from pages, possibly of several peers.
//!
//! A transfer that fails is continued at the page that it had reached. Pages are passed on to other
//! boxes as soon as they have arrived, so that a list spreads through a fleet in little more time
//! than one box needs to receive it. Each page is complete up to
//! its own version, and therefore the whole list up to the lowest of them; what is newer follows as
//! changes.

use honeypulley_peer::list_page::ListPage;
use honeypulley_peer::listing::Entry;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;

/// A whole list, assembled from pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssembledList {
    /// Revision up to which the list is complete.
    pub version: Revision,
    /// Whether any page came from a list that is stale and unconfirmed.
    pub is_stale: bool,
    /// Number of pages.
    pub pages: u32,
    /// Entries of the list.
    pub entries: Vec<Entry>,
}

/// The pages received so far.
#[derive(Debug, Default)]
pub struct ListAssembly {
    list: Option<AssembledList>,
    /// When the last page was added.
    advanced: Option<Time>,
}

impl ListAssembly {
    /// Returns the name after which the next page begins; empty for the first page.
    #[must_use]
    pub fn cursor(&self) -> &str {
        let last = self.list.as_ref().and_then(|l| l.entries.last());
        last.map_or("", |e| e.name.as_str())
    }

    /// Returns when the last page was added, if any was.
    #[must_use]
    pub const fn advanced(&self) -> Option<Time> {
        self.advanced
    }

    /// Returns up to `limit` of the entries received so far after a name, for another box.
    ///
    /// Returns `None` if nothing after the name has been received yet.
    #[must_use]
    pub fn page(&self, after: &str, limit: usize) -> Option<ListPage> {
        let list = self.list.as_ref()?;
        let start = list.entries.partition_point(|e| e.name.as_str() <= after);
        let entries: Vec<Entry> = list.entries.iter().skip(start).take(limit).cloned().collect();
        let (version, is_stale) = (list.version, list.is_stale);
        (!entries.is_empty()).then_some(ListPage { version, is_stale, has_more: true, entries })
    }

    /// Adds the page after the name `after`; returns the list once it is whole.
    ///
    /// A page that does not continue the list is ignored. A page of another epoch starts the list
    /// anew, since a restored platform may have lost entries of earlier pages.
    pub fn add(&mut self, after: &str, page: ListPage, now: Time) -> Option<AssembledList> {
        if after != self.cursor() {
            return None;
        }
        let is_other_epoch =
            self.list.as_ref().is_some_and(|l| l.version.epoch != page.version.epoch);
        if is_other_epoch {
            *self = Self::default();
            return None;
        }
        let list = self.list.get_or_insert_with(|| AssembledList {
            version: page.version,
            is_stale: false,
            pages: 0,
            entries: Vec::new(),
        });
        list.version = list.version.min(page.version);
        list.is_stale |= page.is_stale;
        list.pages += 1;
        list.entries.extend(page.entries);
        self.advanced = Some(now);
        if page.has_more {
            return None;
        }
        self.list.take()
    }
}
