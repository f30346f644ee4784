//! The list of upstreams across restores of the platform.

use honeypulley_mesh::list::{ListChange, UpstreamList};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::UpstreamEntry;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

const NOW: Time = Time::from_millis(10_000);
/// Time by which the platform's owners expect all live upstreams to be listed again.
const RELIST_DEADLINE: Time = Time::from_millis(12_300);
/// Hold of removed entries right after a restore.
const HOLD: Duration = Duration::from_millis(2_300);

fn at(epoch: u64, number: u64) -> Revision {
    Revision::new(epoch, number)
}

fn listed(name: &str, state: MemberState, born: u64) -> UpstreamEntry {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: "10.0.0.1:80".to_owned(),
        hall: "h".to_owned(),
        state,
    };
    UpstreamEntry { member, slots: 3, warm_up: Duration::ZERO, started: Some(born) }
}

fn entry(name: &str, version: Revision, state: MemberState, born: u64) -> Entry {
    let state = EntryState::Present(listed(name, state, born));
    Entry { name: name.to_owned(), version, state }
}

fn live(name: &str, version: Revision) -> Entry {
    entry(name, version, MemberState::Live, 1)
}

fn leaving(name: &str, version: Revision) -> Entry {
    entry(name, version, MemberState::Leaving, 1)
}

fn gone(name: &str, version: Revision) -> Entry {
    Entry { name: name.to_owned(), version, state: EntryState::Gone { hold: Duration::ZERO } }
}

/// Returns a list with `a` and `b`, complete up to 87 in epoch 1.
fn list_of_two() -> UpstreamList {
    let mut l = UpstreamList::default();
    let all = vec![live("a", at(1, 30)), live("b", at(1, 87))];
    l.replace(at(1, 87), all, Duration::ZERO, NOW);
    l
}

/// Applies a full list read after a restore to 84; returns the changes.
fn restored(mut l: UpstreamList, shown: Vec<Entry>) -> (UpstreamList, Vec<ListChange>) {
    l.begin_epoch(2, RELIST_DEADLINE);
    let changes = l.replace(at(2, 84), shown, HOLD, NOW);
    (l, changes)
}

fn present_names(l: &UpstreamList) -> Vec<&str> {
    l.present().map(|x| x.member.name.as_str()).collect()
}

fn state_of(l: &UpstreamList, name: &str) -> Option<MemberState> {
    l.present().find(|x| x.member.name == name).map(|x| x.member.state)
}

/// A departure after a restore was ignored, as its number had been used before.
#[test]
fn a_change_of_a_later_epoch_is_newer_for_any_number() {
    let (mut l, _) = restored(list_of_two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let changes = l.apply(at(2, 80), at(2, 85), vec![gone("b", at(2, 85))], NOW);
    assert_eq!(changes, [ListChange::Gone("b".to_owned())]);
    assert_eq!(l.version(), at(2, 85));
}

#[test]
fn a_late_change_of_an_earlier_epoch_is_ignored() {
    let (mut l, _) = restored(list_of_two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let late = vec![gone("a", at(1, 90)), live("c", at(1, 91))];
    assert_eq!(l.apply(at(1, 87), at(1, 91), late, NOW), []);
    assert_eq!((present_names(&l), l.version()), (vec!["a", "b"], at(2, 80)));
}

#[test]
fn an_entry_absent_from_the_backup_may_return() {
    let (mut l, changes) = restored(list_of_two(), vec![live("a", at(2, 30))]);
    assert_eq!((changes, present_names(&l)), (vec![], vec!["a", "b"]));
    l.apply(at(2, 84), at(2, 85), vec![live("b", at(2, 85))], NOW);
    assert_eq!(l.expire(RELIST_DEADLINE), []);
    assert_eq!(present_names(&l), ["a", "b"]);
}

#[test]
fn an_entry_absent_from_the_backup_departs_unless_it_returns() {
    let (mut l, _) = restored(list_of_two(), vec![live("a", at(2, 30))]);
    assert_eq!(l.expire(RELIST_DEADLINE), [ListChange::Gone("b".to_owned())]);
}

/// A restored list's changes omit entries that only the receiving box holds.
#[test]
fn an_entry_absent_from_the_changes_of_a_later_epoch_departs() {
    let mut l = list_of_two();
    l.begin_epoch(2, RELIST_DEADLINE);
    l.apply(Revision::ZERO, at(2, 84), vec![live("a", at(2, 30))], NOW);
    assert_eq!((present_names(&l), l.version()), (vec!["a", "b"], at(2, 84)));
    assert_eq!(l.expire(RELIST_DEADLINE), [ListChange::Gone("b".to_owned())]);
}

#[rstest]
#[case::shutdown(leaving("a", at(1, 88)), live("a", at(2, 30)), MemberState::Leaving)]
#[case::shutdown_and_a_later_start(
    leaving("a", at(1, 88)),
    entry("a", at(2, 30), MemberState::Live, 2),
    MemberState::Live
)]
#[case::shutdown_of_a_later_start(
    entry("a", at(1, 88), MemberState::Leaving, 2),
    live("a", at(2, 30)),
    MemberState::Leaving
)]
#[case::shutdown_of_an_earlier_start(
    entry("a", at(1, 88), MemberState::Live, 2),
    leaving("a", at(2, 30)),
    MemberState::Live
)]
fn the_latest_state_of_an_upstream_overrides_the_backup(
    #[case] known: Entry,
    #[case] shown: Entry,
    #[case] kept: MemberState,
) {
    let mut before = list_of_two();
    before.apply(at(1, 87), at(1, 88), vec![known], NOW);
    let (l, _) = restored(before, vec![shown, live("b", at(2, 80))]);
    assert_eq!(state_of(&l, "a"), Some(kept));
}

#[test]
fn an_upstream_may_revert_a_shutdown_within_an_epoch() {
    let mut before = list_of_two();
    before.apply(at(1, 87), at(1, 88), vec![leaving("a", at(1, 88))], NOW);
    let (mut l, _) = restored(before, vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    l.apply(at(2, 84), at(2, 85), vec![live("a", at(2, 85))], NOW);
    assert_eq!(state_of(&l, "a"), Some(MemberState::Live));
}

/// Returns a list in which `a` departed, restored to a state that lists it.
fn departed() -> UpstreamList {
    let mut before = list_of_two();
    before.apply(at(1, 87), at(1, 88), vec![gone("a", at(1, 88))], NOW);
    let (l, changes) = restored(before, vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    assert_eq!(changes, []);
    l
}

#[test]
fn a_departed_upstream_in_the_backup_gets_no_work() {
    let mut l = departed();
    assert_eq!(present_names(&l), ["b"]);
    assert_eq!(l.apply(at(2, 84), at(2, 85), vec![gone("a", at(2, 85))], NOW), []);
    assert_eq!(l.expire(NOW + Duration::from_secs(60)), []);
}

#[test]
fn a_departed_upstream_that_stays_listed_becomes_present() {
    let mut l = departed();
    assert_eq!(l.expire(NOW + Duration::from_secs(5)), []);
    let changes = l.expire(NOW + Duration::from_secs(6));
    assert!(matches!(&changes[..], [ListChange::Set(x)] if x.member.name == "a"), "{changes:?}");
}

#[rstest]
#[case::same_start(live("a", at(2, 85)))]
#[case::later_start(entry("a", at(2, 85), MemberState::Live, 2))]
fn a_departed_upstream_that_rewrites_its_entry_becomes_present(#[case] written: Entry) {
    let mut l = departed();
    assert_eq!(l.apply(at(2, 84), at(2, 85), vec![written], NOW).len(), 1);
    assert_eq!(present_names(&l), ["a", "b"]);
}

#[test]
fn a_starting_box_receives_a_relisted_entry_as_listed() {
    let shown = departed().entries(NOW);
    let a = shown.iter().find(|e| e.name == "a").expect("the entry is listed");
    assert!(matches!(a.state, EntryState::Present(_)), "{a:?}");
}

#[test]
fn a_request_across_a_restore_returns_the_full_list() {
    let (l, _) = restored(list_of_two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let outdated = list_of_two();
    let since = outdated.version();
    assert_eq!(l.diff_base(since), Revision::ZERO);
    let changes = l.changes_after(since, NOW).expect("the list has all changes");
    assert_eq!(changes.len(), 2);
    let mut outdated = outdated;
    outdated.apply(l.diff_base(since), l.version(), changes, NOW);
    assert_eq!(outdated.version(), l.version());
    assert_eq!(outdated.entries(NOW), l.entries(NOW));
}

#[test]
fn a_list_of_an_earlier_epoch_provides_no_changes_to_a_later_one() {
    let (l, _) = restored(list_of_two(), vec![live("a", at(2, 30))]);
    assert_eq!(list_of_two().changes_after(l.version(), NOW), None);
}

#[test]
fn an_empty_backup_is_complete() {
    let mut l = UpstreamList::default();
    l.replace(at(1, 87), vec![], Duration::ZERO, NOW);
    let (l, _) = restored(l, vec![]);
    assert_eq!(l.version().epoch, 2);
}
