//! The list of upstreams as the duties of one box share it.
//!
//! One lock holds the list and what the serving thread is still to take of it. Two
//! duties change the list, so the order in which they changed it has to be the order
//! in which their changes are handed on: else a leaving could be undone by the entry
//! that it replaced, and nothing would show it.

use crate::list::{ListChange, UpstreamList};
use crate::state::Mesh;
use crate::told::Parts;
use honeypulley_peer::codec::{Beacon, Told};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_peer::server::Held;
use honeypulley_platform::api::Changes;
use honeypulley_policy::chooser::ListNow;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Changes that a reader watched and has not broadcast yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Untold {
    /// Position after which they begin.
    pub since: Revision,
    /// Position up to which they are complete.
    pub upto: Revision,
    /// The changes.
    pub entries: Vec<Entry>,
}

/// The list, received fragments of changes, and pending work on both.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    pub(crate) list: UpstreamList,
    parts: Parts,
    /// Changes for the serving thread, the newest of each upstream.
    next: BTreeMap<String, ListChange>,
    untold: Vec<Untold>,
    /// Highest version up to which a peer sent complete changes.
    told: Revision,
}

/// Live upstreams of one change that have a line each in the log; more are counted.
const MAX_LIVE_LINES: usize = 16;

impl Lists {
    fn hand_on(&mut self, changes: Vec<ListChange>, from: &str) {
        let list = self.list.version();
        let live = changes.iter().filter(|c| c.is_live()).count();
        if live > MAX_LIVE_LINES {
            log::info!(live, list:display, from; "list: {live} upstreams are Live");
        }
        for c in changes {
            if live <= MAX_LIVE_LINES || !c.is_live() {
                let (name, state) = (c.name(), c.state());
                log::info!(upstream = name, state, list:display, from; "list: {name} is {state}");
            }
            self.next.insert(c.name().to_owned(), c);
        }
    }
}

/// Bounds the hold of departed entries by the hold that this box would apply.
///
/// A box that was isolated takes that for an outage of the platform, and would have its peers
/// keep departed upstreams at work.
fn held_for(mut entries: Vec<Entry>, most: Duration) -> Vec<Entry> {
    for e in &mut entries {
        if let EntryState::Gone { hold } = &mut e.state {
            *hold = most.min(*hold);
        }
    }
    entries
}

impl Mesh {
    /// Returns which version of the list this box holds, and how old that is.
    #[must_use]
    pub fn list_now(&self) -> ListNow {
        let now = self.now();
        let lists = self.lists.lock();
        let age = lists.list.as_of().map(|at| now.since(at));
        ListNow { version: lists.list.version(), age }
    }

    /// Records that this box has received all changes of the platform up to now.
    pub fn confirm_list(&self) {
        let now = self.now();
        let list = &mut self.lists.lock().list;
        list.confirm(list.version(), now);
    }

    /// Returns the changes of the list that the serving thread is to take.
    #[must_use]
    pub fn next_list(&self) -> Vec<ListChange> {
        std::mem::take(&mut self.lists.lock().next).into_values().collect()
    }

    /// Applies changes that this box watched; its list is complete before them.
    pub fn take_changes(&self, c: &Changes, from: &str) {
        let hold = self.readers().hold(self.now());
        let entries = self.entries(c, hold);
        let Some(upto) = entries.iter().map(|e| e.version).max() else { return };
        let mut lists = self.lists.lock();
        let since = lists.list.version();
        let changes = lists.list.apply(since, upto, entries.clone(), self.now());
        lists.hand_on(changes, from);
        lists.untold.push(Untold { since, upto, entries });
        drop(lists);
        self.serving.notify_one();
        self.telling.notify_one();
    }

    /// Applies list changes, possibly one fragment of them, received from a peer.
    pub fn hear_changes(&self, sender: NameId, t: Told, from: SocketAddr) {
        let now = self.now();
        let upto = t.upto;
        self.learn_epoch(upto.epoch, "a peer");
        let hold = self.readers().hold(now);
        let mut lists = self.lists.lock();
        let is_whole = lists.parts.is_complete(sender, &t);
        let changes = lists.list.take_all(held_for(t.entries, hold), now);
        if is_whole {
            lists.list.complete(t.since, upto, now);
            lists.list.confirm(upto, now.before(t.age));
            lists.told = lists.told.max(upto);
        }
        let has_changed = !changes.is_empty();
        lists.hand_on(changes, &from.to_string());
        drop(lists);
        if has_changed {
            self.serving.notify_one();
        }
        self.heard_of_list(upto, sender, from);
    }

    /// Resets a list that came from a stale read, if the platform was restored lately.
    pub(crate) fn check_stale_list(&self, b: &Beacon) {
        if b.reader && b.restored {
            self.lists.lock().list.reset_stale();
        }
    }

    /// Records that a peer has a version of the list, or knows of it.
    pub(crate) fn heard_of_list(&self, version: Revision, origin: NameId, via: SocketAddr) {
        let held = self.lists.lock().list.version();
        if self.catch_up().heard(version, held, origin, via, self.now()) {
            log::info!(peer:display = via, version:display, held:display; "list: version {version} is missed");
            self.asking.notify_one();
        }
    }

    /// Applies the whole list as read from the platform.
    ///
    /// A reader broadcasts what changed by that, as it does with changes that it watched.
    pub fn take_list(&self, c: &Changes, from: &str) {
        let hold = self.readers().hold(self.now());
        let entries = self.entries(c, hold);
        let before = {
            let list = &mut self.lists.lock().list;
            if c.version < list.version() {
                list.reset_stale();
            }
            list.version()
        };
        self.replace(c.version, entries, from);
        let wanted = self.catch_up().wanted();
        let mut lists = self.lists.lock();
        // The platform shows all up to its version, also what only a lost box spoke of.
        // No version is claimed that peers have not received: they would have to pull it.
        let held = lists.list.version();
        lists.list.complete(held, wanted.min(c.version), self.now());
        let upto = lists.list.version();
        let tells = !before.is_zero() && upto > before && self.readers().is_reading();
        // Changes with a gap are not broadcast; the beacon announces the version.
        if tells && let Some(entries) = lists.list.changes_after(before, self.now()) {
            let since = lists.list.base(before);
            lists.untold.push(Untold { since, upto, entries });
        }
    }

    /// Applies a whole list that may be some seconds old.
    ///
    /// It is as complete as its version says; what is newer, the readers tell.
    pub fn take_old_list(&self, c: &Changes, from: &str) {
        let hold = self.readers().hold(self.now());
        let entries = self.entries(c, hold);
        self.replace(c.version, entries, from);
        self.lists.lock().list.mark_stale();
    }

    /// Replaces the list by the one of `version`.
    pub fn replace(&self, version: Revision, entries: Vec<Entry>, from: &str) {
        self.learn_epoch(version.epoch, from);
        let hold = self.readers().hold(self.now());
        let n = entries.len();
        let mut lists = self.lists.lock();
        let changes = lists.list.replace(version, held_for(entries, hold), hold, self.now());
        log::info!(from, version:display, entries = n, hold_ms = hold.as_millis() as u64; "list: taken whole");
        lists.hand_on(changes, from);
        drop(lists);
        if !self.listed.swap(true, Ordering::AcqRel) {
            self.greeting.notify_one();
        }
        self.serving.notify_one();
        self.telling.notify_one();
    }

    fn entries(&self, c: &Changes, hold: Duration) -> Vec<Entry> {
        let prefix = &self.decoder.keys().upstreams;
        let name = |key: &str| key.strip_prefix(prefix.as_str()).unwrap_or(key).to_owned();
        // What another writer left there names no upstream to use. It is told like a gone
        // one, so that every box knows as much by that version.
        let present = c.objects.iter().map(|o| {
            let state = match self.decoder.upstream(o) {
                Ok(l) => EntryState::Present(l),
                Err(e) => {
                    self.foreign.fetch_add(1, Ordering::Relaxed);
                    log::warn!("list: the entry names no upstream, {e}");
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

    /// Returns how many entries this box read that name no upstream.
    #[must_use]
    pub fn foreign_entries(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }

    /// Removes entries whose hold has expired.
    pub fn expire_list(&self) {
        let mut lists = self.lists.lock();
        let changes = lists.list.expire(self.now());
        if changes.is_empty() {
            return;
        }
        lists.hand_on(changes, "its hold ran out");
        drop(lists);
        self.serving.notify_one();
    }

    /// Returns what this box watched and has not broadcast yet.
    #[must_use]
    pub fn take_untold(&self) -> Vec<Untold> {
        std::mem::take(&mut self.lists.lock().untold)
    }

    /// Returns the highest version up to which a peer sent complete changes.
    #[must_use]
    pub fn told_by_others(&self) -> Revision {
        self.lists.lock().told
    }

    /// Returns the changes after a version, for a box that asks; `None` if this box
    /// can't tell all of them.
    #[must_use]
    pub fn changes_after(&self, since: Revision) -> Option<Vec<Told>> {
        let now = self.now();
        let lists = self.lists.lock();
        let entries = lists.list.changes_after(since, now)?;
        let age = lists.list.as_of().map_or(Duration::MAX, |at| now.since(at));
        Told::cut(lists.list.base(since), lists.list.version(), age, &entries)
    }

    /// Returns the list for a box that asks.
    #[must_use]
    pub fn held_list(&self) -> Held<Vec<Entry>> {
        let lists = self.lists.lock();
        Held { version: lists.list.version(), value: lists.list.entries(self.now()) }
    }

    /// Returns whether the whole list was taken once.
    #[must_use]
    pub fn knows_list(&self) -> bool {
        self.lists.lock().list.is_known()
    }

    /// Returns the number of upstreams that are listed, or may return.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.lists.lock().list.present().count()
    }
}
