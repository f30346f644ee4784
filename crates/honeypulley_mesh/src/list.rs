//! The list of upstreams as one box holds it.
//!
//! Changes come from the platform and from other boxes, in any order and more
//! than once. Each entry carries the version of the platform that wrote it, so
//! an older one never replaces a newer one.

use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::Listed;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Entries that went are remembered for so long, against older news of them.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(120);

/// One step for the serving thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// An entry is new or changed.
    Set(Listed),
    /// An upstream is gone and gets no new work.
    Gone(String),
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

/// The list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    known: bool,
    version: u64,
    as_of: Option<Time>,
    rows: BTreeMap<String, Row>,
}

impl UpstreamList {
    /// Returns the version of the newest change that the list is complete with.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Tells whether the whole list was taken once.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the last point at which the list was known to be complete.
    #[must_use]
    pub const fn as_of(&self) -> Option<Time> {
        self.as_of
    }

    /// Takes that the list of `version` was complete at a point; it says something
    /// of this one only if this one is as new.
    pub fn confirm(&mut self, version: u64, at: Time) {
        if self.known && self.version >= version {
            self.as_of = self.as_of.max(Some(at));
        }
    }

    /// Takes the changes that follow the one at `since`, up to the one at `upto`.
    ///
    /// The list is complete with `upto` then if it was with `since` before.
    pub fn apply(
        &mut self,
        since: u64,
        upto: u64,
        entries: Vec<Entry>,
        now: Time,
    ) -> Vec<ListChange> {
        let changes = entries.into_iter().filter_map(|e| self.take(e, now)).collect();
        if self.known && since <= self.version {
            self.version = self.version.max(upto);
        }
        changes
    }

    /// Takes the whole list as of `version`; what is missing in it has gone.
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
        let is_missing = |(name, row): (&String, &Row)| {
            let there = matches!(row.held, Held::Present(_)) && row.version <= version;
            (there && !entries.iter().any(|e| e.name == *name)).then(|| name.clone())
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
        let changes = all.into_iter().filter_map(|e| self.take(e, now)).collect();
        self.version = self.version.max(newest);
        self.known = true;
        changes
    }

    fn take(&mut self, e: Entry, now: Time) -> Option<ListChange> {
        let known = self.rows.get(&e.name);
        if known.is_some_and(|r| r.version > e.version) {
            return None;
        }
        let (held, change) = match e.state {
            EntryState::Present(l) => {
                if known.is_some_and(|r| matches!(&r.held, Held::Present(x) if *x == l)) {
                    return None;
                }
                // A version at which it went can't show it present again.
                if known
                    .is_some_and(|r| r.version == e.version && !matches!(r.held, Held::Present(_)))
                {
                    return None;
                }
                (Held::Present(l.clone()), Some(ListChange::Set(l)))
            }
            EntryState::Gone { hold } => match known.map(|r| &r.held) {
                Some(Held::Present(l)) if !hold.is_zero() => {
                    (Held::Missing { listed: l.clone(), due: now + hold }, None)
                }
                Some(Held::Missing { .. }) if !hold.is_zero() => return None,
                Some(Held::Gone { .. }) => return None,
                _ => (Held::Gone { since: now }, Some(ListChange::Gone(e.name.clone()))),
            },
        };
        self.rows.insert(e.name, Row { version: e.version, held });
        change
    }

    /// Returns entries that went and did not come back in time.
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
        self.rows.retain(|_, r| !old(&r.held));
        changes
    }

    /// Tells whether an entry is missing that may come back.
    #[must_use]
    pub fn has_missing(&self) -> bool {
        self.rows.values().any(|r| matches!(r.held, Held::Missing { .. }))
    }

    /// Returns every entry, for a box that asks.
    #[must_use]
    pub fn entries(&self, now: Time) -> Vec<Entry> {
        let entry = |(name, row): (&String, &Row)| {
            let state = match &row.held {
                Held::Present(l) => EntryState::Present(l.clone()),
                Held::Missing { due, .. } => EntryState::Gone { hold: due.since(now) },
                Held::Gone { .. } => EntryState::Gone { hold: Duration::ZERO },
            };
            Entry { name: name.clone(), version: row.version, state }
        };
        self.rows.iter().map(entry).collect()
    }

    /// Returns the upstreams that are there, or may come back.
    pub fn present(&self) -> impl Iterator<Item = &Listed> {
        self.rows.values().filter_map(|r| match &r.held {
            Held::Present(l) | Held::Missing { listed: l, .. } => Some(l),
            Held::Gone { .. } => None,
        })
    }
}
