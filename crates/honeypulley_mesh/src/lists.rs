//! The list of upstreams, shared by the threads of one box.
//!
//! One lock guards both the list and the queue of changes for the serving thread. Two
//! threads change the list, and their changes must be queued in the order in which they
//! were applied. Otherwise an upstream's shutdown could be silently undone by the entry
//! that it replaced.

use crate::catch_up::Source;
use crate::list::{ListChange, UpstreamList};
use crate::list_assembly::AssembledList;
use crate::pending_broadcast::PendingBroadcast;
use crate::reassembly::Reassembler;
use crate::state::Mesh;
use honeypulley_peer::codec::{Beacon, ListUpdate};
use honeypulley_peer::list_page::{ListPage, PAGE_ENTRIES};
use honeypulley_peer::listing::{Entry, EntryState, ListSummary};
use honeypulley_peer::server::{PulledList, Versioned};
use honeypulley_platform::api::Changes;
use honeypulley_policy::chooser::ListStatus;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::limits::Gcra;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The list, incomplete fragmented updates, and changes to be passed on.
#[derive(Debug)]
pub(crate) struct Lists {
    pub(crate) list: UpstreamList,
    reassembler: Reassembler,
    /// Pending changes for the serving thread; only the newest of each upstream is kept.
    pending: BTreeMap<String, ListChange>,
    broadcasts: Vec<PendingBroadcast>,
    /// Rate limit of the lines about live upstreams.
    live_lines: Gcra,
    /// Highest version up to which peers have sent complete changes.
    peer_complete: Revision,
}

/// Number of live upstreams that are logged individually at once; more are only counted.
const LIVE_LOG_BURST: usize = 16;
/// Sustained rate of the lines about live upstreams.
///
/// All upstreams of a large fleet join within seconds, in many small changes.
const LIVE_LINES_PER_SECOND: f64 = 8.0;

/// Origin of a full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListOrigin {
    /// Read from the platform, as of its current revision.
    Platform,
    /// Pulled from a peer, or a stale read of the platform.
    Other,
}

impl Default for Lists {
    fn default() -> Self {
        Self {
            list: UpstreamList::default(),
            reassembler: Reassembler::default(),
            pending: BTreeMap::new(),
            broadcasts: Vec::new(),
            live_lines: Gcra::new(LIVE_LINES_PER_SECOND),
            peer_complete: Revision::ZERO,
        }
    }
}

impl Lists {
    /// Logs changes and queues them for the serving thread.
    fn enqueue(&mut self, changes: Vec<ListChange>, from: &str, now: Time) {
        let list = self.list.version();
        let live = changes.iter().filter(|c| c.is_live()).count();
        let burst = LIVE_LOG_BURST as f64;
        let is_logged = live <= LIVE_LOG_BURST
            && (0..live).all(|_| self.live_lines.try_acquire(burst, now).is_ok());
        if live > 0 && !is_logged {
            log::info!(live, list:display, from; "list: {live} upstreams are Live");
        }
        for c in changes {
            if is_logged || !c.is_live() {
                let (name, state) = (c.name(), c.state());
                log::info!(upstream = name, state, list:display, from; "list: {name} is {state}");
            }
            self.pending.insert(c.name().to_owned(), c);
        }
    }
}

/// Caps the hold of departed entries at the hold that this box would apply.
///
/// A peer that was isolated takes its isolation for an outage of the platform and sends longer
/// holds, with which this box would keep sending work to departed upstreams.
fn cap_holds(mut entries: Vec<Entry>, max: Duration) -> Vec<Entry> {
    for e in &mut entries {
        if let EntryState::Gone { hold } = &mut e.state {
            *hold = max.min(*hold);
        }
    }
    entries
}

impl Mesh {
    /// Returns the version and the age of this box's list.
    #[must_use]
    pub fn list_status(&self) -> ListStatus {
        let now = self.now();
        let lists = self.lists.lock();
        let age = lists.list.as_of().map(|at| now.since(at));
        ListStatus { version: lists.list.version(), age }
    }

    /// Records that this box has received all changes of the platform up to now.
    pub fn confirm_list(&self) {
        let now = self.now();
        let list = &mut self.lists.lock().list;
        list.confirm(list.version(), now);
    }

    /// Returns the pending list changes for the serving thread, and clears them.
    #[must_use]
    pub fn take_list_changes(&self) -> Vec<ListChange> {
        std::mem::take(&mut self.lists.lock().pending).into_values().collect()
    }

    /// Applies changes from this box's own watch, which leaves no gap before them.
    pub fn apply_watched_changes(&self, c: &Changes, from: &str) {
        let hold = self.readers().departure_hold(self.now());
        let entries = self.decode_entries(c, hold);
        let mut lists = self.lists.lock();
        let Some(upto) = entries.iter().map(|e| e.version).max() else {
            lists.list.record_watched(c.version);
            return;
        };
        let since = lists.list.version();
        let changes = lists.list.apply(since, upto, entries.clone(), self.now());
        lists.list.record_watched(c.version);
        lists.enqueue(changes, from, self.now());
        lists.broadcasts.push(PendingBroadcast { since, upto, entries });
        drop(lists);
        self.serve_wakeup.notify_one();
        self.broadcast_wakeup.notify_one();
    }

    /// Applies list changes, or one fragment of them, received from a peer.
    pub fn apply_peer_changes(&self, sender: NameId, update: ListUpdate, from: SocketAddr) {
        let now = self.now();
        let (upto, parts) = (update.upto, update.parts);
        self.observe_epoch(upto.epoch, "a peer");
        let hold = self.readers().departure_hold(now);
        let mut lists = self.lists.lock();
        let is_complete = lists.reassembler.add(sender, &update);
        let changes = lists.list.apply_entries(cap_holds(update.entries, hold), now);
        if is_complete {
            lists.list.mark_complete(update.since, upto, now);
            lists.list.confirm(upto, now.before(update.age));
            lists.peer_complete = lists.peer_complete.max(upto);
        }
        let has_changed = !changes.is_empty();
        lists.enqueue(changes, &from.to_string(), now);
        drop(lists);
        if has_changed {
            self.serve_wakeup.notify_one();
        }
        self.record_list_version(upto, sender, from);
        if !is_complete {
            self.catch_up().record_fragment(parts, now);
        }
    }

    /// Resets a list from a stale read if the platform was recently restored.
    pub(crate) fn check_stale_list(&self, b: &Beacon) {
        if b.reader && b.restored {
            self.lists.lock().list.reset_if_stale();
        }
    }

    /// Records that a peer has or knows of a version of the list.
    pub(crate) fn record_list_version(&self, version: Revision, origin: NameId, via: SocketAddr) {
        let held = {
            let list = &mut self.lists.lock().list;
            list.complete_from_read(version, self.now());
            list.version()
        };
        if self.catch_up().record_announcement(version, held, origin, via, self.now()) {
            log::info!(peer:display = via, version:display, held:display; "list: version {version} is missed");
            self.query_wakeup.notify_one();
        }
    }

    /// Returns a summary of the list, unless it holds changes that this box has not read itself.
    pub(crate) fn list_summary(&self) -> Option<ListSummary> {
        self.lists.lock().list.summary()
    }

    /// Returns whether this box has read the platform's list without missing a change since.
    #[must_use]
    pub fn has_read_list(&self) -> bool {
        self.lists.lock().list.is_read()
    }

    /// Compares the list with that of a reader, and schedules a pull if they differ.
    pub(crate) fn compare_list(&self, b: &Beacon, origin: NameId, via: SocketAddr) {
        let Some(summary) = b.summary.filter(|_| b.reader) else { return };
        let (is_equal, held) = {
            let list = &self.lists.lock().list;
            (list.compare(b.list, summary), list.version())
        };
        let mut repair = self.repair.lock();
        match is_equal {
            None => {}
            Some(true) => repair.record_match(),
            Some(false) if repair.record_difference(Source { origin, via }, self.now()) => {
                log::warn!(
                    peer:display = via, held:display, upto:display = summary.upto;
                    "list: differs from a reader's list at {}, pulling it", summary.upto
                );
                self.repair_wakeup.notify_one();
            }
            Some(false) => {}
        }
    }

    /// Returns the reader whose list differs and is to be pulled, and clears it.
    #[must_use]
    pub fn take_repair_source(&self) -> Option<Source> {
        self.repair.lock().take_pending()
    }

    /// Applies a full list read from the platform.
    ///
    /// A reader broadcasts the resulting changes, like those from its watch.
    pub fn apply_full_list(&self, c: &Changes, from: &str) {
        let hold = self.readers().departure_hold(self.now());
        let entries = self.decode_entries(c, hold);
        let before = {
            let list = &mut self.lists.lock().list;
            if c.version < list.version() {
                list.reset_if_stale();
            }
            list.version()
        };
        self.replace_list(ListOrigin::Platform, c.version, entries, from);
        let announced = self.catch_up().newest_announced();
        let mut lists = self.lists.lock();
        // The platform's list is complete up to its version, which includes changes that only
        // a lost box announced. The version stays within what peers have announced, since
        // they would have to pull anything newer.
        let held = lists.list.version();
        lists.list.mark_complete(held, announced.min(c.version), self.now());
        let upto = lists.list.version();
        let is_broadcast = !before.is_zero() && upto > before && self.readers().is_reading();
        // Changes with a gap are not broadcast; the beacon announces their version.
        if is_broadcast && let Some(entries) = lists.list.changes_after(before, self.now()) {
            let since = lists.list.diff_base(before);
            lists.broadcasts.push(PendingBroadcast { since, upto, entries });
        }
    }

    /// Applies a full list from a stale read, which may be some seconds old.
    ///
    /// The list is complete up to its version; the readers broadcast newer changes.
    pub fn apply_stale_list(&self, c: &Changes, from: &str) {
        let hold = self.readers().departure_hold(self.now());
        let entries = self.decode_entries(c, hold);
        self.replace(c.version, entries, from);
        self.lists.lock().list.mark_stale();
    }

    /// Applies the entries of a list that ended early.
    ///
    /// Nothing is known of the others, so none departs. A box without a list starts with these.
    pub fn apply_partial_list(&self, c: &Changes, from: &str) {
        let hold = self.readers().departure_hold(self.now());
        let entries = self.decode_entries(c, hold);
        log::warn!(from, entries = entries.len(); "list: {from} sent only a part of the list");
        if !self.has_list() {
            // The lowest revision, so that the changes and lists of peers apply.
            self.replace(Revision::new(c.version.epoch, 1), entries, from);
            self.lists.lock().list.mark_stale();
            return;
        }
        let mut lists = self.lists.lock();
        let changes = lists.list.apply_entries(cap_holds(entries, hold), self.now());
        lists.enqueue(changes, from, self.now());
        drop(lists);
        self.serve_wakeup.notify_one();
    }

    /// Replaces the list by the full list of `version`.
    pub fn replace(&self, version: Revision, entries: Vec<Entry>, from: &str) {
        self.replace_list(ListOrigin::Other, version, entries, from);
    }

    fn replace_list(&self, origin: ListOrigin, version: Revision, entries: Vec<Entry>, from: &str) {
        self.observe_epoch(version.epoch, from);
        let hold = self.readers().departure_hold(self.now());
        let n = entries.len();
        let mut lists = self.lists.lock();
        let (entries, now) = (cap_holds(entries, hold), self.now());
        let changes = match origin {
            ListOrigin::Platform => lists.list.replace_from_platform(version, entries, hold, now),
            ListOrigin::Other => lists.list.replace(version, entries, hold, now),
        };
        log::info!(from, version:display, entries = n, hold_ms = hold.as_millis() as u64; "list: taken whole");
        lists.enqueue(changes, from, self.now());
        drop(lists);
        if !self.list_known.swap(true, Ordering::AcqRel) {
            self.hello_wakeup.notify_one();
        }
        self.serve_wakeup.notify_one();
        self.broadcast_wakeup.notify_one();
    }

    /// Decodes the platform's changes into entries.
    fn decode_entries(&self, c: &Changes, hold: Duration) -> Vec<Entry> {
        let prefix = &self.decoder.keys().upstream_prefix;
        let name = |key: &str| key.strip_prefix(prefix.as_str()).unwrap_or(key).to_owned();
        // An object of another writer may not describe an upstream. It is broadcast as a
        // removed entry, so that every box is complete up to the object's version.
        let present = c.objects.iter().map(|o| {
            let state = match self.decoder.upstream(o) {
                Ok(l) => EntryState::Present(l),
                Err(e) => {
                    self.invalid_entries.fetch_add(1, Ordering::Relaxed);
                    log::warn!("list: the entry describes no upstream: {e}");
                    EntryState::Gone { hold: Duration::ZERO }
                }
            };
            Entry { name: name(&o.key), version: o.version, state }
        });
        let gone = c.removed.iter().map(|r| Entry {
            name: name(&r.key),
            version: r.version,
            state: EntryState::Gone { hold },
        });
        present.chain(gone).collect()
    }

    /// Returns how many entries read by this box did not describe an upstream.
    #[must_use]
    pub fn invalid_entries(&self) -> u64 {
        self.invalid_entries.load(Ordering::Relaxed)
    }

    /// Applies the changes of entries whose hold has expired.
    pub fn expire_list(&self) {
        let mut lists = self.lists.lock();
        let changes = lists.list.expire(self.now());
        if changes.is_empty() {
            return;
        }
        lists.enqueue(changes, "its hold ran out", self.now());
        drop(lists);
        self.serve_wakeup.notify_one();
    }

    /// Returns the changes that are yet to be broadcast, and clears them.
    #[must_use]
    pub fn take_pending_broadcasts(&self) -> Vec<PendingBroadcast> {
        std::mem::take(&mut self.lists.lock().broadcasts)
    }

    /// Returns the highest version up to which peers have sent complete changes.
    #[must_use]
    pub fn peer_broadcast_version(&self) -> Revision {
        self.lists.lock().peer_complete
    }

    /// Returns the changes after a version, for a peer that requests them.
    ///
    /// Returns `None` if this box may not have all of them, or if they are too many.
    #[must_use]
    pub fn changes_after(&self, since: Revision) -> Option<Vec<ListUpdate>> {
        let now = self.now();
        let lists = self.lists.lock();
        let entries = lists.list.changes_after(since, now)?;
        let age = lists.list.as_of().map_or(Duration::MAX, |at| now.since(at));
        ListUpdate::split(lists.list.diff_base(since), lists.list.version(), age, &entries)
    }

    /// Returns whether this box's link has capacity for an answer with this number of entries.
    pub(crate) fn admit_answer(&self, entries: usize) -> bool {
        let is_admitted = self.uplink.lock().admit(entries, self.now());
        if !is_admitted {
            log::debug!(entries; "list: request rejected, the link's share for answers is used up");
        }
        is_admitted
    }

    /// Returns the number of entries of the list, departed ones included.
    pub(crate) fn entry_count(&self) -> usize {
        self.lists.lock().list.entry_count()
    }

    /// Returns the changes after a revision for a peer, or the full list if `after` is zero.
    ///
    /// The result is empty if this list is not newer, or if the link has no capacity for it.
    pub(crate) fn list_for_peer(&self, after: Revision) -> PulledList {
        if !after.is_zero() && self.lists.lock().list.version() <= after {
            return PulledList::default();
        }
        let changes = if after.is_zero() { None } else { self.pulled_changes(after) };
        let entries = changes.as_ref().map_or_else(|| self.entry_count(), |c| c.entries.len());
        if !self.admit_answer(entries) {
            return PulledList::default();
        }
        changes.unwrap_or_else(|| {
            let Versioned { version, value } = self.list_snapshot();
            PulledList { version, since: None, entries: value }
        })
    }

    /// Returns the changes after a revision, or `None` if this box may not have all of them.
    fn pulled_changes(&self, after: Revision) -> Option<PulledList> {
        let list = &self.lists.lock().list;
        let entries = list.changes_after(after, self.now())?;
        Some(PulledList { version: list.version(), since: Some(list.diff_base(after)), entries })
    }

    /// Applies all changes after `since` up to `upto`, pulled from a peer.
    pub(crate) fn apply_pulled_changes(
        &self,
        since: Revision,
        upto: Revision,
        entries: Vec<Entry>,
        from: &str,
    ) {
        self.observe_epoch(upto.epoch, from);
        let (now, count) = (self.now(), entries.len());
        let hold = self.readers().departure_hold(now);
        let mut lists = self.lists.lock();
        let changes = lists.list.apply(since, upto, cap_holds(entries, hold), now);
        lists.peer_complete = lists.peer_complete.max(upto);
        log::info!(from, since:display, upto:display, entries = count; "list: changes pulled");
        lists.enqueue(changes, from, now);
        drop(lists);
        self.serve_wakeup.notify_one();
    }

    /// Returns the full list.
    #[must_use]
    pub fn list_snapshot(&self) -> Versioned<Vec<Entry>> {
        let lists = self.lists.lock();
        Versioned { version: lists.list.snapshot_version(), value: lists.list.entries(self.now()) }
    }

    /// Returns a page of the list for a peer that pulls the whole list.
    ///
    /// While this box is receiving a list, it passes on the pages that it has. Returns `None` if it
    /// has none after the name, or if the link has no capacity for a transfer. A transfer that
    /// `is_admitted` continues.
    pub(crate) fn list_page(&self, after: &str, is_admitted: bool) -> Option<ListPage> {
        let now = self.now();
        let lists = self.lists.lock();
        let list = &lists.list;
        let page = if list.is_loaded() {
            let (entries, has_more) = list.page(after, PAGE_ENTRIES, now);
            let (version, is_stale) = (list.snapshot_version(), list.is_stale());
            ListPage { version, is_stale, has_more, entries }
        } else {
            self.assembly.lock().page(after, PAGE_ENTRIES)?
        };
        self.admit_page(page.entries.len(), is_admitted, now).then_some(page)
    }

    /// Returns whether the link has capacity for a page with this number of entries, and counts it.
    pub(crate) fn admit_page(&self, entries: usize, is_admitted: bool, now: Time) -> bool {
        let is_sent = self.uplink.lock().admit_page(entries, is_admitted, now);
        self.startup.record_page_request(is_sent);
        is_sent
    }

    /// Applies a full list that was assembled from pages of peers.
    pub(crate) fn apply_assembled_list(&self, list: AssembledList, from: &str) {
        self.replace(list.version, list.entries, from);
        if list.is_stale {
            self.lists.lock().list.mark_stale();
        }
    }

    /// Returns whether a full list has been applied.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.lists.lock().list.is_loaded()
    }

    /// Returns the number of upstreams that are listed or may still return.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.lists.lock().list.present().count()
    }
}
