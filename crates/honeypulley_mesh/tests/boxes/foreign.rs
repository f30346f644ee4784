//! Objects of another writer among the entries of the upstreams.

use crate::restore::{Reader, initial_platform};
use crate::support::{TestBox, at, upstream_object};
use async_trait::async_trait;
use bytes::Bytes;
use honeypulley_mesh::list::ListChange;
use honeypulley_platform::api::{Changes, Expect, Freshness, Object, Platform, PlatformError};
use honeypulley_platform::memory::MemoryPlatform;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::MemberState;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Applies objects to a box as if received from the platform's watch.
fn apply_watched(b: &TestBox, objects: Vec<Object>) {
    let version = objects.iter().map(|o| o.version).max().unwrap_or(at(0));
    b.mesh.apply_watched_changes(&Changes { version, objects, removed: Vec::new() }, "the test");
}

/// Drains the serving thread's changes; returns each upstream's state, `None` if gone.
fn pending_changes(b: &TestBox) -> BTreeMap<String, Option<MemberState>> {
    let state = |c: ListChange| match c {
        ListChange::Set(l) => (l.member.name, Some(l.member.state)),
        ListChange::Gone(name) => (name, None),
    };
    b.mesh.take_list_changes().into_iter().map(state).collect()
}

#[test]
fn an_overwritten_entry_removes_only_its_own_upstream() {
    let b = TestBox::start("box1", "hall-a");
    pending_changes(&b);
    apply_watched(&b, vec![upstream_object("u3", "{]", 11), upstream_object("u4", "leaving", 12)]);
    let expected = [("u3".to_owned(), None), ("u4".to_owned(), Some(MemberState::Leaving))];
    assert_eq!(pending_changes(&b), BTreeMap::from(expected));
    assert_eq!(
        b.mesh.list_status().version,
        at(12),
        "the list is complete up to the invalid entry"
    );
}

#[test]
fn a_repaired_entry_restores_its_upstream() {
    let b = TestBox::start("box1", "hall-a");
    apply_watched(&b, vec![upstream_object("u3", "null", 11)]);
    pending_changes(&b);
    apply_watched(&b, vec![upstream_object("u3", "live", 12)]);
    assert_eq!(pending_changes(&b), BTreeMap::from([("u3".to_owned(), Some(MemberState::Live))]));
}

#[test]
fn a_change_of_invalid_entries_advances_the_version() {
    let b = TestBox::start("box1", "hall-a");
    apply_watched(&b, vec![upstream_object("stranger", "", 11)]);
    assert_eq!(b.mesh.list_status().version, at(11));
    assert_eq!(pending_changes(&b).get("stranger"), Some(&None));
}

#[test]
fn a_full_list_applies_without_its_invalid_entries() {
    let b = TestBox::start("box1", "hall-a");
    pending_changes(&b);
    let mut objects: Vec<Object> =
        (0..10).map(|i| upstream_object(&format!("u{i}"), "live", i + 1)).collect();
    objects[5] = upstream_object("u5", "what is this", 20);
    objects.push(upstream_object("stranger", "1", 21));
    b.mesh.apply_full_list(&Changes { version: at(21), objects, removed: Vec::new() }, "the test");
    let pending_changes = pending_changes(&b);
    assert_eq!(pending_changes.get("u5"), Some(&None));
    assert!(!pending_changes.contains_key("u4"), "other upstreams are unchanged");
    assert_eq!(b.mesh.upstreams(), 9);
}

#[test]
fn invalid_entries_are_counted() {
    let b = TestBox::start("box1", "hall-a");
    apply_watched(&b, vec![upstream_object("u3", "{]", 11), upstream_object("stranger", "", 12)]);
    assert_eq!(b.mesh.invalid_entries(), 2);
}

/// A platform whose lists end early.
#[derive(Debug)]
struct EndingLists(MemoryPlatform);

#[async_trait]
impl Platform for EndingLists {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.0.get(key).await
    }

    async fn put(&self, key: &str, value: Bytes, e: Expect) -> Result<Revision, PlatformError> {
        self.0.put(key, value, e).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.0.watch(prefix, after, wait).await
    }

    async fn list(&self, prefix: &str, f: Freshness) -> Result<Changes, PlatformError> {
        let read = Box::new(self.0.list(prefix, f).await?);
        let (peer, cause) = ("memory".to_owned(), "no new object".to_owned());
        Err(PlatformError::Incomplete { peer, step: "list", cause, read })
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        self.0.members().await
    }
}

/// Guards against a box that serves nothing because a list of the platform does not end.
#[test]
fn a_box_starts_with_the_part_of_the_lists_that_it_can_read() {
    let r = Reader::start_on(Arc::new(EndingLists(initial_platform())));
    assert_eq!((r.mesh.table_version(), r.mesh.upstreams()), (1, 1));
}

#[test]
fn a_part_of_a_list_adds_entries_and_removes_none() {
    let b = TestBox::start("box1", "hall-a");
    pending_changes(&b);
    let objects = vec![upstream_object("u3", "leaving", 12), upstream_object("u77", "live", 13)];
    let part = Changes { version: at(13), objects, removed: Vec::new() };
    b.mesh.apply_partial_list(&part, "the test");
    let live = |name: &str, state| (name.to_owned(), Some(state));
    let expected = [live("u3", MemberState::Leaving), live("u77", MemberState::Live)];
    assert_eq!(pending_changes(&b), BTreeMap::from(expected));
    assert_eq!(b.mesh.list_status().version, at(10), "nothing is known of other changes");
    assert_eq!(b.mesh.upstreams(), 11);
}
