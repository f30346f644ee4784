//! The list of upstreams as one box holds it.
//!
//! Changes come from the platform and from other boxes, in any order and more
//! than once. Each entry carries the position at which it was written, so that within an epoch
//! of the platform an older one never replaces a newer one.
//!
//! A platform restored from a backup shows an earlier state. What an upstream declared itself
//! takes precedence: a later start, a shutdown, a departure.
//!
//! The list's own version is a promise: every change up to it is in. It is raised only
//! by what proves that, never by a newer entry that came alone, since a box that
//! thinks its list complete asks no one for what it misses.

use crate::readers::RETURN_TIME;
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::Listed;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Entries that went are remembered for so long, against older news of them.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(120);
/// Time for which a departed upstream that a restored platform lists again gets no work.
///
/// The entry of one that is down expires within three heartbeats of 1.5 s.
const DOUBT_TIME: Duration = Duration::from_secs(6);
/// Ranges of changes that are kept beyond a gap.
///
/// A gap is closed within a second; the busiest release seen told thirty changes in one.
const MAX_BEYOND: usize = 64;

/// One step for the serving thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// An entry is new or changed.
    Set(Listed),
    /// An upstream is gone and gets no new work.
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

    /// Returns the state that it is in now, for the log.
    #[must_use]
    pub const fn state(&self) -> &'static str {
        match self {
            Self::Set(Listed { member: Member { state: MemberState::Live, .. }, .. }) => "Live",
            Self::Set(_) => "Leaving",
            Self::Gone(_) => "Gone",
        }
    }

    /// Returns whether the upstream takes new work.
    #[must_use]
    pub fn is_live(&self) -> bool {
        matches!(self, Self::Set(l) if l.member.state == MemberState::Live)
    }
}

#[derive(Clone, Debug)]
enum Held {
    Present(Listed),
    /// Gone from the platform, and taken for gone from `due` on.
    Missing {
        listed: Listed,
        due: Time,
    },
    /// Listed by a restored platform after its departure; present from `due` on.
    Doubted {
        listed: Listed,
        due: Time,
    },
    Gone {
        since: Time,
        /// Start of the incarnation that left, if known.
        born: Option<u64>,
    },
}

/// How an entry follows the one that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Written at the same position.
    Same,
    /// Written later in the same epoch.
    Newer,
    /// Of a later epoch; it may have been written earlier.
    Restored,
}

impl Step {
    const fn between(held: Revision, shown: Revision) -> Self {
        if shown.epoch > held.epoch {
            Self::Restored
        } else if shown.number > held.number {
            Self::Newer
        } else {
            Self::Same
        }
    }
}

#[derive(Clone, Debug)]
struct Row {
    version: Revision,
    held: Held,
}

impl Row {
    /// Returns the row for another box; what is waited for, for the rest of the wait.
    fn entry(&self, name: &str, now: Time) -> Entry {
        let state = match &self.held {
            Held::Present(l) | Held::Doubted { listed: l, .. } => EntryState::Present(l.clone()),
            Held::Missing { due, .. } => EntryState::Gone { hold: due.since(now) },
            Held::Gone { .. } => EntryState::Gone { hold: Duration::ZERO },
        };
        Entry { name: name.to_owned(), version: self.version, state }
    }

    /// Applies an entry that shows the upstream; returns the change for the serving thread.
    fn show(&mut self, shown: Listed, step: Step, now: Time) -> Option<ListChange> {
        let present = match (&self.held, step) {
            (Held::Present(_), Step::Newer) => shown,
            (Held::Present(known), _) => later(known, shown),
            // A version at which it went can't show it present again.
            (_, Step::Same) => return None,
            (_, Step::Newer) => shown,
            (Held::Missing { listed, .. }, Step::Restored) => later(listed, shown),
            (Held::Gone { born, .. }, Step::Restored) if is_restart(&shown, *born) => shown,
            (Held::Gone { .. }, Step::Restored) => {
                self.held = Held::Doubted { listed: shown, due: now + DOUBT_TIME };
                return None;
            }
            (Held::Doubted { listed, due }, Step::Restored) => {
                self.held = Held::Doubted { listed: later(listed, shown), due: *due };
                return None;
            }
        };
        if matches!(&self.held, Held::Present(known) if *known == present) {
            return None;
        }
        self.held = Held::Present(present.clone());
        Some(ListChange::Set(present))
    }

    /// Applies an entry that went; returns the change for the serving thread.
    fn depart(&mut self, name: String, hold: Duration, now: Time) -> Option<ListChange> {
        let (held, change) = match &self.held {
            Held::Gone { .. } => return None,
            Held::Missing { .. } if !hold.is_zero() => return None,
            Held::Present(l) if !hold.is_zero() => {
                (Held::Missing { listed: l.clone(), due: now + hold }, None)
            }
            // Its departure was handed on already.
            Held::Doubted { listed, .. } => (Held::Gone { since: now, born: listed.born }, None),
            Held::Present(l) | Held::Missing { listed: l, .. } => {
                (Held::Gone { since: now, born: l.born }, Some(ListChange::Gone(name)))
            }
        };
        self.held = held;
        change
    }

    /// Ends a wait that is over; returns the change for the serving thread.
    fn expire(&mut self, name: &str, now: Time) -> Option<ListChange> {
        let (held, change) = match &self.held {
            Held::Missing { listed, due } if *due <= now => {
                let change = ListChange::Gone(name.to_owned());
                (Held::Gone { since: now, born: listed.born }, change)
            }
            Held::Doubted { listed, due } if *due <= now => {
                (Held::Present(listed.clone()), ListChange::Set(listed.clone()))
            }
            _ => return None,
        };
        self.held = held;
        Some(change)
    }
}

/// Returns the row of an entry that is new, and the change.
fn fresh(name: &str, state: EntryState, now: Time) -> (Held, ListChange) {
    match state {
        EntryState::Present(l) => (Held::Present(l.clone()), ListChange::Set(l)),
        EntryState::Gone { .. } => {
            (Held::Gone { since: now, born: None }, ListChange::Gone(name.to_owned()))
        }
    }
}

/// Returns the later of two descriptions of an upstream, in the upstream's own order.
///
/// A later start follows an earlier one, and no incarnation reverts its shutdown.
fn later(known: &Listed, shown: Listed) -> Listed {
    let is_earlier = matches!((shown.born, known.born), (Some(s), Some(k)) if s < k);
    let is_same = shown.born == known.born && shown.member.addr == known.member.addr;
    let reverts =
        known.member.state == MemberState::Leaving && shown.member.state == MemberState::Live;
    if is_earlier || (is_same && reverts) { known.clone() } else { shown }
}

/// Returns whether an upstream started after the incarnation that left.
fn is_restart(shown: &Listed, left: Option<u64>) -> bool {
    matches!((shown.born, left), (Some(s), Some(l)) if s > l)
}

/// The list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    known: bool,
    version: Revision,
    /// Newest known epoch of the platform; the list may still be of an earlier one.
    epoch: u64,
    /// When entries that the list of that epoch does not show are taken for gone.
    return_due: Time,
    as_of: Option<Time>,
    /// Whether it came from a stale read of the platform and is unconfirmed.
    is_stale: bool,
    /// Changes that came whole from beyond a gap: after which version they begin, and
    /// up to which they are complete.
    beyond: BTreeMap<Revision, Revision>,
    /// Version up to which entries that went may be forgotten.
    pruned: Revision,
    rows: BTreeMap<String, Row>,
}

impl UpstreamList {
    /// Returns the version of the newest change that the list is complete with.
    #[must_use]
    pub const fn version(&self) -> Revision {
        self.version
    }

    /// Records that the platform was restored, as of an epoch.
    ///
    /// Entries that its list does not show are taken for gone from `due` on.
    pub fn begin_epoch(&mut self, epoch: u64, due: Time) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.return_due = due;
        }
    }

    /// Returns whether the whole list was taken once.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the last point at which the list was known to be complete.
    #[must_use]
    pub const fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Records that the list of `version` was complete at a point; it says something
    /// of this one only if this one is as new.
    pub fn confirm(&mut self, version: Revision, at: Time) {
        if self.known && self.version >= version {
            self.is_stale = false;
            self.as_of = self.as_of.max(Some(at));
        }
    }

    /// Records that the list came from a stale read of the platform.
    ///
    /// Its entries may be from before a restore, though the answer carried the new epoch.
    pub const fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Resets the positions of a list that came from a stale read, so that any update applies.
    pub fn reset_stale(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let epoch = self.version.epoch;
        self.version = Revision::new(epoch, 0);
        self.beyond.clear();
        self.rows.values_mut().for_each(|r| r.version = Revision::new(epoch, 0));
    }

    /// Applies the changes that follow the one at `since`, up to the one at `upto`.
    ///
    /// The list is complete with `upto` then if it was with `since` before.
    pub fn apply(
        &mut self,
        since: Revision,
        upto: Revision,
        entries: Vec<Entry>,
        now: Time,
    ) -> Vec<ListChange> {
        let changes = self.take_all(entries, now);
        self.complete(since, upto, now);
        changes
    }

    /// Applies some changes, which prove nothing about others.
    pub fn take_all(&mut self, entries: Vec<Entry>, now: Time) -> Vec<ListChange> {
        entries.into_iter().filter_map(|e| self.take(e, now)).collect()
    }

    /// Records that every change after the one at `since` and up to the one at `upto`
    /// has been taken.
    ///
    /// Changes up to a later epoch include every entry of that epoch.
    pub fn complete(&mut self, since: Revision, upto: Revision, now: Time) {
        if !self.known || upto <= self.version {
            return;
        }
        let before = self.version.epoch;
        let reach = self.beyond.entry(since).or_insert(upto);
        *reach = upto.max(*reach);
        while let Some((&since, &upto)) = self.beyond.first_key_value()
            && since <= self.version
        {
            self.version = self.version.max(upto);
            self.beyond.pop_first();
        }
        while self.beyond.len() > MAX_BEYOND {
            self.beyond.pop_last();
        }
        if self.version.epoch > before {
            self.begin_epoch(self.version.epoch, now + RETURN_TIME);
            self.miss_earlier();
        }
    }

    /// Waits for the return of entries that the list of a new epoch does not show.
    fn miss_earlier(&mut self) {
        let (epoch, due) = (self.version.epoch, self.return_due);
        for row in self.rows.values_mut().filter(|r| r.version.epoch < epoch) {
            if let Held::Present(l) = &row.held {
                row.held = Held::Missing { listed: l.clone(), due };
            }
        }
    }

    /// Returns the position after which [`Self::changes_after`] a position is complete.
    ///
    /// Across a restore they are the whole list.
    #[must_use]
    pub const fn base(&self, since: Revision) -> Revision {
        if since.epoch < self.version.epoch { Revision::ZERO } else { since }
    }

    /// Returns every change after the one at `since` that still matters; `None` if
    /// some may be forgotten, or this list does not reach so far itself.
    #[must_use]
    pub fn changes_after(&self, since: Revision, now: Time) -> Option<Vec<Entry>> {
        let is_forgotten = since.epoch == self.version.epoch && since < self.pruned;
        if !self.known || is_forgotten || since > self.version {
            return None;
        }
        let newer = self.rows.iter().filter(|(_, r)| r.version > since);
        let mut newer: Vec<Entry> = newer.map(|(name, row)| row.entry(name, now)).collect();
        newer.sort_by_key(|e| e.version);
        Some(newer)
    }

    /// Replaces the list by the one of `version`; missing entries have departed.
    ///
    /// It is taken for gone after `hold`, since a platform that was away may
    /// show entries late.
    pub fn replace(
        &mut self,
        version: Revision,
        entries: Vec<Entry>,
        hold: Duration,
        now: Time,
    ) -> Vec<ListChange> {
        if self.known && version < self.version {
            return Vec::new();
        }
        let shown: HashSet<&str> = entries.iter().map(|e| e.name.as_str()).collect();
        let is_missing = |(name, row): (&String, &Row)| {
            let there = matches!(row.held, Held::Present(_) | Held::Doubted { .. });
            // Restamps departures of earlier epochs, since peers compare positions.
            let is_due = there || row.version.epoch < version.epoch;
            (is_due && row.version <= version && !shown.contains(name.as_str()))
                .then(|| name.clone())
        };
        let missing: Vec<String> = self.rows.iter().filter_map(is_missing).collect();
        // What went shows no version of its own, so it counts as of this list.
        let gone = missing.into_iter().map(|name| Entry {
            name,
            version,
            state: EntryState::Gone { hold },
        });
        let all: Vec<Entry> = entries.into_iter().chain(gone).collect();
        let none = Revision::new(version.epoch, 0);
        let newest = all.iter().map(|e| e.version).max().unwrap_or(none);
        let changes = self.take_all(all, now);
        // Later pages, and boxes that miss changes, show entries newer than the version
        // up to which they show all.
        let upto = self.version.max(newest.min(version));
        self.known = true;
        self.complete(self.version, upto, now);
        changes
    }

    fn take(&mut self, e: Entry, now: Time) -> Option<ListChange> {
        let Some(row) = self.rows.get_mut(&e.name) else {
            // The complete list of a later epoch lacks it.
            if e.version.epoch < self.version.epoch {
                return None;
            }
            let (held, change) = fresh(&e.name, e.state, now);
            self.rows.insert(e.name, Row { version: e.version, held });
            return Some(change);
        };
        if row.version > e.version {
            return None;
        }
        let step = Step::between(row.version, e.version);
        // Also where nothing else changes: an entry between the two versions that comes
        // later must not undo this one.
        row.version = e.version;
        match e.state {
            EntryState::Present(l) => row.show(l, step, now),
            EntryState::Gone { hold } => row.depart(e.name, hold, now),
        }
    }

    /// Returns entries whose hold has expired: departed ones, and doubted ones that are there.
    pub fn expire(&mut self, now: Time) -> Vec<ListChange> {
        let changes = self.rows.iter_mut().filter_map(|(name, row)| row.expire(name, now));
        let changes = changes.collect();
        let old =
            |h: &Held| matches!(h, Held::Gone { since, .. } if now.since(*since) > TOMBSTONE_LIFE);
        let forgotten = self.rows.values().filter(|r| old(&r.held)).map(|r| r.version).max();
        self.pruned = self.pruned.max(forgotten.unwrap_or(Revision::ZERO));
        self.rows.retain(|_, r| !old(&r.held));
        changes
    }

    /// Returns whether an entry is missing that may return.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        self.rows.values().any(|r| matches!(r.held, Held::Missing { .. }))
    }

    /// Returns every entry, for a box that asks.
    #[must_use]
    pub fn entries(&self, now: Time) -> Vec<Entry> {
        self.rows.iter().map(|(name, row)| row.entry(name, now)).collect()
    }

    /// Returns the upstreams that are listed, or may return.
    pub fn present(&self) -> impl Iterator<Item = &Listed> {
        self.rows.values().filter_map(|r| match &r.held {
            Held::Present(l) | Held::Missing { listed: l, .. } => Some(l),
            Held::Doubted { .. } | Held::Gone { .. } => None,
        })
    }
}
