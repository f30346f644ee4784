//! One row of the list: the state of an upstream's entry, and how a received entry changes it.

use super::{ListChange, TOMBSTONE_TTL};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::UpstreamEntry;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::MemberState;
use honeypulley_policy::time::Time;
use std::time::Duration;

/// Time during which a departed upstream relisted by a restored platform gets no work.
///
/// The platform expires the entry of a dead upstream within three heartbeats of 1.5 s.
const RELISTED_HOLD: Duration = Duration::from_secs(6);
/// State of one entry.
#[derive(Clone, Debug)]
pub(super) enum State {
    Present(UpstreamEntry),
    /// No longer listed by the platform; departs at `due` unless it is listed again.
    Missing {
        listed: UpstreamEntry,
        due: Time,
    },
    /// Departed, then listed again by a restored platform; present from `due` on.
    Relisted {
        listed: UpstreamEntry,
        due: Time,
    },
    Gone {
        since: Time,
        /// Start of the departed incarnation, if known.
        born: Option<u64>,
    },
}

/// Order of a received entry relative to the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// Written at the same revision.
    Same,
    /// Written later in the same epoch.
    Newer,
    /// Of a later epoch, in which a restore may have brought back an earlier write.
    Restored,
}

impl Order {
    pub(super) const fn between(current: Revision, shown: Revision) -> Self {
        if shown.epoch > current.epoch {
            Self::Restored
        } else if shown.number > current.number {
            Self::Newer
        } else {
            Self::Same
        }
    }
}

/// An entry and the revision at which it was written.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) version: Revision,
    pub(super) state: State,
}

impl Row {
    /// Returns this row's share of the list's digest, which is zero unless the entry is listed.
    pub(super) fn digest(&self, name: &str) -> u64 {
        match &self.state {
            State::Present(_) | State::Relisted { .. } => {
                weight(NameId::of(name).0, self.version.number)
            }
            State::Missing { .. } | State::Gone { .. } => 0,
        }
    }

    /// Returns the entry for a peer, with the remaining hold of a missing one.
    pub(super) fn entry(&self, name: &str, now: Time) -> Entry {
        let state = match &self.state {
            State::Present(l) | State::Relisted { listed: l, .. } => EntryState::Present(l.clone()),
            State::Missing { due, .. } => EntryState::Gone { hold: due.since(now) },
            State::Gone { .. } => EntryState::Gone { hold: Duration::ZERO },
        };
        Entry { name: name.to_owned(), version: self.version, state }
    }

    /// Applies an entry that lists the upstream; returns the change for the serving thread.
    pub(super) fn apply_present(
        &mut self,
        shown: UpstreamEntry,
        order: Order,
        now: Time,
    ) -> Option<ListChange> {
        let present = match (&self.state, order) {
            (State::Present(_), Order::Newer) => shown,
            (State::Present(known), _) => latest(known, shown),
            // The upstream departed at this very revision, so it can't be present at it.
            (_, Order::Same) => return None,
            (_, Order::Newer) => shown,
            (State::Missing { listed, .. }, Order::Restored) => latest(listed, shown),
            (State::Gone { born, .. }, Order::Restored) if started_after(&shown, *born) => shown,
            (State::Gone { .. }, Order::Restored) => {
                self.state = State::Relisted { listed: shown, due: now + RELISTED_HOLD };
                return None;
            }
            (State::Relisted { listed, due }, Order::Restored) => {
                self.state = State::Relisted { listed: latest(listed, shown), due: *due };
                return None;
            }
        };
        if matches!(&self.state, State::Present(known) if *known == present) {
            return None;
        }
        self.state = State::Present(present.clone());
        Some(ListChange::Set(present))
    }

    /// Applies the removal of an entry; returns the change for the serving thread.
    pub(super) fn apply_gone(
        &mut self,
        name: String,
        hold: Duration,
        now: Time,
    ) -> Option<ListChange> {
        let (next, change) = match &self.state {
            State::Gone { .. } => return None,
            State::Missing { .. } if !hold.is_zero() => return None,
            State::Present(l) if !hold.is_zero() => {
                (State::Missing { listed: l.clone(), due: now + hold }, None)
            }
            // The serving thread has already received the departure.
            State::Relisted { listed, .. } => {
                (State::Gone { since: now, born: listed.started }, None)
            }
            State::Present(l) | State::Missing { listed: l, .. } => {
                (State::Gone { since: now, born: l.started }, Some(ListChange::Gone(name)))
            }
        };
        self.state = next;
        change
    }

    /// Returns when a hold or the retention of the tombstone ends, if this row has one.
    pub(super) fn expires_at(&self) -> Option<Time> {
        match &self.state {
            State::Present(_) => None,
            State::Missing { due, .. } | State::Relisted { due, .. } => Some(*due),
            State::Gone { since, .. } => Some(*since + TOMBSTONE_TTL),
        }
    }

    /// Ends an expired hold; returns the change for the serving thread.
    pub(super) fn expire(&mut self, name: &str, now: Time) -> Option<ListChange> {
        let (next, change) = match &self.state {
            State::Missing { listed, due } if *due <= now => {
                let change = ListChange::Gone(name.to_owned());
                (State::Gone { since: now, born: listed.started }, change)
            }
            State::Relisted { listed, due } if *due <= now => {
                (State::Present(listed.clone()), ListChange::Set(listed.clone()))
            }
            _ => return None,
        };
        self.state = next;
        Some(change)
    }
}

/// Returns the state of a new entry, and the change for the serving thread.
pub(super) fn initial_state(name: &str, state: EntryState, now: Time) -> (State, ListChange) {
    match state {
        EntryState::Present(l) => (State::Present(l.clone()), ListChange::Set(l)),
        EntryState::Gone { .. } => {
            (State::Gone { since: now, born: None }, ListChange::Gone(name.to_owned()))
        }
    }
}

/// Returns the later of two descriptions of an upstream, by the upstream's lifecycle.
///
/// A later start supersedes an earlier one, and no incarnation reverts its shutdown.
fn latest(known: &UpstreamEntry, shown: UpstreamEntry) -> UpstreamEntry {
    let is_earlier = matches!((shown.started, known.started), (Some(s), Some(k)) if s < k);
    let is_same = shown.started == known.started && shown.member.addr == known.member.addr;
    let reverts =
        known.member.state == MemberState::Leaving && shown.member.state == MemberState::Live;
    if is_earlier || (is_same && reverts) { known.clone() } else { shown }
}

/// Returns whether an upstream started after its departed incarnation.
fn started_after(shown: &UpstreamEntry, left: Option<u64>) -> bool {
    matches!((shown.started, left), (Some(s), Some(l)) if s > l)
}
