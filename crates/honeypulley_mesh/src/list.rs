//! One box's replica of the list of upstreams.
//!
//! Changes arrive from the platform and from other boxes, in any order and more
//! than once. Each entry carries the revision at which it was written, so that within an epoch
//! of the platform an older entry never replaces a newer one.
//!
//! A platform restored from a backup shows an earlier state. What an upstream declared itself
//! takes precedence: a later start, a shutdown, a departure.
//!
//! The list's own version guarantees that every change up to it has been applied. It advances
//! only on proof of completeness, never because of a single newer entry: a box that considers
//! its list complete does not request missing changes.
//!
//! A full list read from the platform reflects every change up to its revision, including entries
//! that joined and left since the previous list. The difference between the two lists omits those,
//! so readers announce a digest of their list, by which peers detect that theirs differs.

mod row;

use crate::readers::RELIST_TIME;
use honeypulley_peer::listing::{Entry, EntryState, ListSummary};
use honeypulley_policy::balance::UpstreamEntry;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use row::{Order, Row, State, initial_state};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// Retention of tombstones, which reject late updates of departed entries.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);
/// Maximum number of out-of-order ranges of changes kept while a gap is open.
///
/// A gap closes within a second, and the busiest release seen brought 30 changes per second.
const MAX_OUT_OF_ORDER: usize = 64;

/// A change of one upstream, for the serving thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// An entry was added or changed.
    Set(UpstreamEntry),
    /// An upstream has departed and gets no new work.
    Gone(String),
}

impl ListChange {
    /// Returns the upstream's name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Set(l) => &l.member.name,
            Self::Gone(name) => name,
        }
    }

    /// Returns the name of the upstream's new state, for the log.
    #[must_use]
    pub const fn state(&self) -> &'static str {
        match self {
            Self::Set(UpstreamEntry {
                member: Member { state: MemberState::Live, .. }, ..
            }) => "Live",
            Self::Set(_) => "Leaving",
            Self::Gone(_) => "Gone",
        }
    }

    /// Returns whether the upstream accepts new work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        matches!(self, Self::Set(l) if l.member.state == MemberState::Live)
    }
}

/// Replica of the list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    loaded: bool,
    version: Revision,
    /// Newest known epoch of the platform, possibly newer than that of the list.
    epoch: u64,
    /// When entries absent from the list of `epoch` count as departed.
    missing_due: Time,
    /// When the list was last known to be complete.
    as_of: Option<Time>,
    /// Whether the list came from a stale read of the platform and is unconfirmed.
    is_stale: bool,
    /// Complete ranges of changes beyond a gap, as exclusive start and inclusive end.
    out_of_order: BTreeMap<Revision, Revision>,
    /// Version up to which tombstones may have been pruned.
    pruned: Revision,
    /// Revision of the platform at which the rows equal its list, as read by this box.
    ///
    /// Zero if this box has not read the list, or has missed changes since.
    read_upto: Revision,
    /// Highest revision of any row so far.
    newest: Revision,
    /// Sum of [`Row::digest`] over all rows.
    digest: u64,
    /// Lower bound of [`Row::expires_at`] over all rows.
    next_expiry: Option<Time>,
    rows: BTreeMap<String, Row>,
}

impl UpstreamList {
    /// Returns the version up to which the list is complete.
    #[must_use]
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// Records that a restore of the platform began a new epoch.
    ///
    /// Entries that the list of this epoch lacks count as departed from `due` on.
    pub fn begin_epoch(&mut self, epoch: u64, due: Time) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.missing_due = due;
        }
    }

    /// Returns whether a full list has been applied.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns when the list was last known to be complete.
    #[must_use]
    pub const fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Records that the list of `version` was complete at `at`.
    ///
    /// This confirms the local list only if it has reached that version.
    pub fn confirm(&mut self, version: Revision, at: Time) {
        if self.loaded && self.version >= version {
            self.is_stale = false;
            self.as_of = self.as_of.max(Some(at));
        }
    }

    /// Records that the list came from a stale read of the platform.
    ///
    /// Its entries may predate a restore, though the response carried the new epoch.
    pub const fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Resets the revisions of a stale list, so that any update applies.
    pub fn reset_if_stale(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let epoch = self.version.epoch;
        self.version = Revision::new(epoch, 0);
        self.read_upto = Revision::ZERO;
        self.newest = self.version;
        self.out_of_order.clear();
        self.rows.values_mut().for_each(|r| r.version = Revision::new(epoch, 0));
        self.digest = self.compute_digest();
    }

    /// Records that this box's watch has returned every change up to `upto`.
    ///
    /// This has no effect unless the watch continues a full list of the same epoch.
    pub fn record_watched(&mut self, upto: Revision) {
        if self.is_read() && self.read_upto.epoch == upto.epoch {
            self.read_upto = self.read_upto.max(upto);
        }
    }

    /// Returns whether the rows equal the platform's list at some revision.
    #[must_use]
    pub const fn is_read(&self) -> bool {
        !self.read_upto.is_zero()
    }

    /// Returns whether a full list of `version` may contain changes that this list lacks.
    fn accepts(&self, version: Revision) -> bool {
        !self.loaded || version >= self.snapshot_version()
    }

    /// Returns the version of this list as a full list.
    #[must_use]
    pub fn snapshot_version(&self) -> Revision {
        self.version.max(self.read_upto)
    }

    /// Marks an announced version as complete if this box has read the platform's list since.
    pub fn complete_from_read(&mut self, announced: Revision, now: Time) {
        if announced <= self.read_upto {
            self.mark_complete(self.version, announced, now);
        }
    }

    /// Returns a summary of the list, unless it holds changes that this box has not read itself.
    #[must_use]
    pub fn summary(&self) -> Option<ListSummary> {
        let is_current = self.is_read()
            && self.read_upto.epoch == self.version.epoch
            && self.newest <= self.read_upto;
        is_current.then_some(ListSummary { upto: self.read_upto, digest: self.digest })
    }

    /// Returns whether this list equals a reader's list, which has `version` and `summary`.
    ///
    /// Returns `None` if they can't be compared, since this list is behind, holds newer changes or
    /// was read later.
    #[must_use]
    pub fn compare(&self, version: Revision, summary: ListSummary) -> Option<bool> {
        let is_comparable = self.loaded
            && self.version.epoch == summary.upto.epoch
            && self.version >= version
            && self.newest <= summary.upto
            && self.read_upto < summary.upto;
        is_comparable.then_some(self.digest == summary.digest)
    }

    fn compute_digest(&self) -> u64 {
        self.rows.iter().fold(0, |sum, (name, row)| sum.wrapping_add(row.digest(name)))
    }

    /// Applies all changes after `since`, up to and including `upto`.
    ///
    /// The list is then complete up to `upto` if it was complete up to `since`.
    pub fn apply(
        &mut self,
        since: Revision,
        upto: Revision,
        entries: Vec<Entry>,
        now: Time,
    ) -> Vec<ListChange> {
        let changes = self.apply_entries(entries, now);
        self.mark_complete(since, upto, now);
        changes
    }

    /// Applies some changes without advancing the list's version.
    pub fn apply_entries(&mut self, entries: Vec<Entry>, now: Time) -> Vec<ListChange> {
        entries.into_iter().filter_map(|e| self.apply_entry(e, now)).collect()
    }

    /// Records that every change after `since` up to `upto` has been applied.
    ///
    /// Changes up to a later epoch include every entry of that epoch.
    pub fn mark_complete(&mut self, since: Revision, upto: Revision, now: Time) {
        if !self.loaded || upto <= self.version {
            return;
        }
        let before = self.version.epoch;
        let end = self.out_of_order.entry(since).or_insert(upto);
        *end = upto.max(*end);
        while let Some((&since, &upto)) = self.out_of_order.first_key_value()
            && since <= self.version
        {
            self.version = self.version.max(upto);
            self.out_of_order.pop_first();
        }
        while self.out_of_order.len() > MAX_OUT_OF_ORDER {
            self.out_of_order.pop_last();
        }
        if self.version.epoch > before {
            self.begin_epoch(self.version.epoch, now + RELIST_TIME);
            self.mark_earlier_missing();
        }
    }

    /// Marks entries of earlier epochs as missing.
    ///
    /// The list of the new epoch lacks them, but they may return.
    fn mark_earlier_missing(&mut self) {
        let (epoch, due) = (self.version.epoch, self.missing_due);
        for row in self.rows.values_mut().filter(|r| r.version.epoch < epoch) {
            if let State::Present(l) = &row.state {
                row.state = State::Missing { listed: l.clone(), due };
                self.next_expiry = earlier(self.next_expiry, Some(due));
            }
        }
        self.digest = self.compute_digest();
    }

    /// Returns the revision from which [`Self::changes_after`] `since` is complete.
    ///
    /// Across a restore, the changes are the full list.
    #[must_use]
    pub const fn diff_base(&self, since: Revision) -> Revision {
        if since.epoch < self.version.epoch { Revision::ZERO } else { since }
    }

    /// Returns the current entry of every upstream changed after `since`.
    ///
    /// Returns `None` if no full list has been applied, if some tombstones after `since` may have
    /// been pruned, or if this list is older than `since`.
    #[must_use]
    pub fn changes_after(&self, since: Revision, now: Time) -> Option<Vec<Entry>> {
        let may_be_pruned = since.epoch == self.version.epoch && since < self.pruned;
        if !self.loaded || may_be_pruned || since > self.version {
            return None;
        }
        let newer = self.rows.iter().filter(|(_, r)| r.version > since);
        let mut newer: Vec<Entry> = newer.map(|(name, row)| row.entry(name, now)).collect();
        newer.sort_by_key(|e| e.version);
        Some(newer)
    }

    /// Replaces the list by the full list that this box read from the platform at `version`.
    ///
    /// A list older than the changes received from peers is not applied. The rows may then lack
    /// changes that no peer has sent, until the next full list is read.
    pub fn replace_from_platform(
        &mut self,
        version: Revision,
        entries: Vec<Entry>,
        hold: Duration,
        now: Time,
    ) -> Vec<ListChange> {
        if self.loaded && version <= self.read_upto {
            return Vec::new();
        }
        self.read_upto = Revision::ZERO;
        if !self.accepts(version) {
            return Vec::new();
        }
        let changes = self.replace(version, entries, hold, now);
        self.read_upto = version;
        changes
    }

    /// Replaces the list by the full list of `version`.
    ///
    /// Entries absent from it depart after `hold`, since a platform that was unavailable may
    /// list entries late.
    pub fn replace(
        &mut self,
        version: Revision,
        entries: Vec<Entry>,
        hold: Duration,
        now: Time,
    ) -> Vec<ListChange> {
        if !self.accepts(version) {
            return Vec::new();
        }
        let shown: HashMap<&str, &Entry> = entries.iter().map(|e| (e.name.as_str(), e)).collect();
        // A tombstone older than the row belongs to an earlier entry of the same name.
        let reflects = |e: &&Entry, row: &Row| {
            matches!(e.state, EntryState::Present(_)) || e.version >= row.version
        };
        let is_missing = |(name, row): (&String, &Row)| {
            let is_listed = matches!(row.state, State::Present(_) | State::Relisted { .. });
            // Departures of earlier epochs get the new version, since peers compare revisions.
            let is_candidate = is_listed || row.version.epoch < version.epoch;
            let is_shown = shown.get(name.as_str()).is_some_and(|e| reflects(e, row));
            (is_candidate && row.version <= version && !is_shown).then(|| name.clone())
        };
        let missing: Vec<String> = self.rows.iter().filter_map(is_missing).collect();
        // An absent entry has no revision of its own; it gets the version of this list.
        let gone = missing.into_iter().map(|name| Entry {
            name,
            version,
            state: EntryState::Gone { hold },
        });
        let all: Vec<Entry> = entries.into_iter().chain(gone).collect();
        let start = Revision::new(version.epoch, 0);
        let newest = all.iter().map(|e| e.version).max().unwrap_or(start);
        let changes = self.apply_entries(all, now);
        // Later pages, and boxes that lack some changes, contain entries newer than the
        // version up to which they are complete.
        let upto = self.version.max(newest.min(version));
        self.loaded = true;
        self.mark_complete(self.version, upto, now);
        changes
    }

    /// Returns whether the rows reflect an entry or a later state of it.
    fn is_outdated(&self, e: &Entry) -> bool {
        match self.rows.get(&e.name).map(|r| r.version) {
            Some(held) if held >= e.version => held > e.version,
            // The complete list of a later epoch does not contain this entry.
            None if e.version.epoch < self.version.epoch => true,
            Some(_) | None => e.version <= self.read_upto,
        }
    }

    fn row_digest(&self, name: &str) -> u64 {
        self.rows.get(name).map_or(0, |r| r.digest(name))
    }

    fn apply_entry(&mut self, e: Entry, now: Time) -> Option<ListChange> {
        if self.is_outdated(&e) {
            return None;
        }
        let name = e.name.clone();
        self.newest = self.newest.max(e.version);
        let before = self.row_digest(&name);
        let change = self.update_row(e, now);
        let expires_at = self.rows.get(&name).and_then(Row::expires_at);
        self.next_expiry = earlier(self.next_expiry, expires_at);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(self.row_digest(&name));
        change
    }

    /// Applies an entry that is not outdated; returns the change for the serving thread.
    fn update_row(&mut self, e: Entry, now: Time) -> Option<ListChange> {
        let Some(row) = self.rows.get_mut(&e.name) else {
            let (state, change) = initial_state(&e.name, e.state, now);
            self.rows.insert(e.name, Row { version: e.version, state });
            return Some(change);
        };
        let order = Order::between(row.version, e.version);
        // Set even if nothing else changes, so that an entry with a revision between the two
        // that arrives later does not undo this one.
        row.version = e.version;
        match e.state {
            EntryState::Present(l) => row.apply_present(l, order, now),
            EntryState::Gone { hold } => row.apply_gone(e.name, hold, now),
        }
    }

    /// Returns the earliest time at which [`Self::expire`] may have something to do.
    #[must_use]
    pub const fn next_expiry(&self) -> Option<Time> {
        self.next_expiry
    }

    /// Ends expired holds and prunes old tombstones; returns the changes.
    ///
    /// Scans the list only once something is due, so that a list of any length costs nothing
    /// while it is stable.
    pub fn expire(&mut self, now: Time) -> Vec<ListChange> {
        if self.next_expiry.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let changes = self.rows.iter_mut().filter_map(|(name, row)| row.expire(name, now));
        let changes = changes.collect();
        let has_expired =
            |s: &State| matches!(s, State::Gone { since, .. } if now.since(*since) > TOMBSTONE_TTL);
        let newest_removed =
            self.rows.values().filter(|r| has_expired(&r.state)).map(|r| r.version).max();
        self.pruned = self.pruned.max(newest_removed.unwrap_or(Revision::ZERO));
        self.rows.retain(|_, r| !has_expired(&r.state));
        self.next_expiry = self.rows.values().filter_map(Row::expires_at).min();
        changes
    }

    /// Returns whether any entry is missing but may still return.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        self.rows.values().any(|r| matches!(r.state, State::Missing { .. }))
    }

    /// Returns the number of entries, departed ones included.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns every entry, for a peer that pulls the list.
    #[must_use]
    pub fn entries(&self, now: Time) -> Vec<Entry> {
        self.rows.iter().map(|(name, row)| row.entry(name, now)).collect()
    }

    /// Returns up to `limit` entries after a name, and whether more follow.
    #[must_use]
    pub fn page(&self, after: &str, limit: usize, now: Time) -> (Vec<Entry>, bool) {
        let mut rows = self.rows.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let entries = rows.by_ref().take(limit).map(|(name, row)| row.entry(name, now)).collect();
        (entries, rows.next().is_some())
    }

    /// Returns whether the list came from a stale read and has not been confirmed since.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Returns the upstreams that are listed or may still return.
    pub fn present(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.rows.values().filter_map(|r| match &r.state {
            State::Present(l) | State::Missing { listed: l, .. } => Some(l),
            State::Relisted { .. } | State::Gone { .. } => None,
        })
    }
}

/// Returns the earlier of two optional times.
fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    a.into_iter().chain(b).min()
}
