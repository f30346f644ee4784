//! The list of upstreams as one box holds it.
//!
//! Changes come from the platform and from other boxes, in any order and more
//! than once. Each entry carries the version of the platform that wrote it, so
//! an older one never replaces a newer one.
//!
//! The list's own version is a promise: every change up to it is in. It is raised only
//! by what proves that, never by a newer entry that came alone, since a box that
//! thinks its list complete asks no one for what it misses.

use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::Listed;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Entries that went are remembered for so long, against older news of them.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(120);
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
    Gone {
        since: Time,
    },
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    held: Held,
}

impl Row {
    /// Returns the row for another box; what is waited for, for the rest of the wait.
    fn entry(&self, name: &str, now: Time) -> Entry {
        let state = match &self.held {
            Held::Present(l) => EntryState::Present(l.clone()),
            Held::Missing { due, .. } => EntryState::Gone { hold: due.since(now) },
            Held::Gone { .. } => EntryState::Gone { hold: Duration::ZERO },
        };
        Entry { name: name.to_owned(), version: self.version, state }
    }
}

/// Returns the row of an entry that is new, and the change.
fn fresh(name: &str, state: EntryState, now: Time) -> (Held, ListChange) {
    match state {
        EntryState::Present(l) => (Held::Present(l.clone()), ListChange::Set(l)),
        EntryState::Gone { .. } => (Held::Gone { since: now }, ListChange::Gone(name.to_owned())),
    }
}

/// The list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    known: bool,
    version: u64,
    as_of: Option<Time>,
    /// Changes that came whole from beyond a gap: after which version they begin, and
    /// up to which they are complete.
    beyond: BTreeMap<u64, u64>,
    /// Version up to which entries that went may be forgotten.
    pruned: u64,
    rows: BTreeMap<String, Row>,
}

impl UpstreamList {
    /// Returns the version of the newest change that the list is complete with.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
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
    pub fn confirm(&mut self, version: u64, at: Time) {
        if self.known && self.version >= version {
            self.as_of = self.as_of.max(Some(at));
        }
    }

    /// Applies the changes that follow the one at `since`, up to the one at `upto`.
    ///
    /// The list is complete with `upto` then if it was with `since` before.
    pub fn apply(
        &mut self,
        since: u64,
        upto: u64,
        entries: Vec<Entry>,
        now: Time,
    ) -> Vec<ListChange> {
        let changes = self.take_all(entries, now);
        self.complete(since, upto);
        changes
    }

    /// Applies some changes, which prove nothing about others.
    pub fn take_all(&mut self, entries: Vec<Entry>, now: Time) -> Vec<ListChange> {
        entries.into_iter().filter_map(|e| self.take(e, now)).collect()
    }

    /// Records that every change after the one at `since` and up to the one at `upto`
    /// has been taken.
    pub fn complete(&mut self, since: u64, upto: u64) {
        if !self.known || upto <= self.version {
            return;
        }
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
    }

    /// Returns every change after the one at `since` that still matters; `None` if
    /// some may be forgotten, or this list does not reach so far itself.
    #[must_use]
    pub fn changes_after(&self, since: u64, now: Time) -> Option<Vec<Entry>> {
        if !self.known || since < self.pruned || since > self.version {
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
        version: u64,
        entries: Vec<Entry>,
        hold: Duration,
        now: Time,
    ) -> Vec<ListChange> {
        if self.known && version < self.version {
            return Vec::new();
        }
        let shown: HashSet<&str> = entries.iter().map(|e| e.name.as_str()).collect();
        let is_missing = |(name, row): (&String, &Row)| {
            let there = matches!(row.held, Held::Present(_)) && row.version <= version;
            (there && !shown.contains(name.as_str())).then(|| name.clone())
        };
        let missing: Vec<String> = self.rows.iter().filter_map(is_missing).collect();
        // What went shows no version of its own, so it counts as of this list.
        let gone = missing.into_iter().map(|name| Entry {
            name,
            version,
            state: EntryState::Gone { hold },
        });
        let all: Vec<Entry> = entries.into_iter().chain(gone).collect();
        let newest = all.iter().map(|e| e.version).max().unwrap_or(0);
        let changes = self.take_all(all, now);
        // Later pages, and boxes that miss changes, show entries newer than the version
        // up to which they show all.
        let upto = self.version.max(newest.min(version));
        self.known = true;
        self.complete(self.version, upto);
        changes
    }

    fn take(&mut self, e: Entry, now: Time) -> Option<ListChange> {
        let Some(row) = self.rows.get_mut(&e.name) else {
            let (held, change) = fresh(&e.name, e.state, now);
            self.rows.insert(e.name, Row { version: e.version, held });
            return Some(change);
        };
        if row.version > e.version {
            return None;
        }
        let is_newer = row.version < e.version;
        // Also where nothing else changes: an entry between the two versions that comes
        // later must not undo this one.
        row.version = e.version;
        match (&row.held, e.state) {
            (Held::Present(known), EntryState::Present(l)) => {
                if *known == l {
                    return None;
                }
                row.held = Held::Present(l.clone());
                Some(ListChange::Set(l))
            }
            (_, EntryState::Present(l)) => {
                // A version at which it went can't show it present again.
                if !is_newer {
                    return None;
                }
                row.held = Held::Present(l.clone());
                Some(ListChange::Set(l))
            }
            (Held::Gone { .. }, EntryState::Gone { .. }) => None,
            (Held::Missing { .. }, EntryState::Gone { hold }) if !hold.is_zero() => None,
            (Held::Present(l), EntryState::Gone { hold }) if !hold.is_zero() => {
                row.held = Held::Missing { listed: l.clone(), due: now + hold };
                None
            }
            (_, EntryState::Gone { .. }) => {
                row.held = Held::Gone { since: now };
                Some(ListChange::Gone(e.name))
            }
        }
    }

    /// Returns departed entries whose hold has expired.
    pub fn expire(&mut self, now: Time) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for (name, row) in &mut self.rows {
            if matches!(row.held, Held::Missing { due, .. } if due <= now) {
                row.held = Held::Gone { since: now };
                changes.push(ListChange::Gone(name.clone()));
            }
        }
        let old =
            |h: &Held| matches!(h, Held::Gone { since } if now.since(*since) > TOMBSTONE_LIFE);
        let forgotten = self.rows.values().filter(|r| old(&r.held)).map(|r| r.version).max();
        self.pruned = self.pruned.max(forgotten.unwrap_or(0));
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
            Held::Gone { .. } => None,
        })
    }
}
