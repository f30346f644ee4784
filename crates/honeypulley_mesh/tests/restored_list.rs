//! The list of upstreams across restores of the platform.

use honeypulley_mesh::list::{ListChange, UpstreamList};
use honeypulley_peer::listing::{Entry, EntryState};
use honeypulley_policy::balance::Listed;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

const NOW: Time = Time::from_millis(10_000);
/// When the platform's owners expect all that live to be listed again.
const RETURNED: Time = Time::from_millis(12_300);
/// Hold of departed entries right after a restore.
const HOLD: Duration = Duration::from_millis(2_300);

fn at(epoch: u64, number: u64) -> Revision {
    Revision::new(epoch, number)
}

fn listed(name: &str, state: MemberState, born: u64) -> Listed {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: "10.0.0.1:80".to_owned(),
        hall: "h".to_owned(),
        state,
    };
    Listed { member, slots: 3, cold: Duration::ZERO, born: Some(born) }
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

/// A list with `a` and `b`, complete up to 87 of the first epoch.
fn two() -> UpstreamList {
    let mut l = UpstreamList::default();
    let all = vec![live("a", at(1, 30)), live("b", at(1, 87))];
    l.replace(at(1, 87), all, Duration::ZERO, NOW);
    l
}

/// The same list after the platform was restored to 84, as read then.
fn restored(mut l: UpstreamList, shown: Vec<Entry>) -> (UpstreamList, Vec<ListChange>) {
    l.begin_epoch(2, RETURNED);
    let changes = l.replace(at(2, 84), shown, HOLD, NOW);
    (l, changes)
}

fn names(l: &UpstreamList) -> Vec<&str> {
    l.present().map(|x| x.member.name.as_str()).collect()
}

fn state_of(l: &UpstreamList, name: &str) -> Option<MemberState> {
    l.present().find(|x| x.member.name == name).map(|x| x.member.state)
}

/// A departure after a restore was ignored, since its revision had been given out before.
#[test]
fn a_change_of_a_later_epoch_is_newer_whatever_its_number() {
    let (mut l, _) = restored(two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let changes = l.apply(at(2, 80), at(2, 85), vec![gone("b", at(2, 85))], NOW);
    assert_eq!(changes, [ListChange::Gone("b".to_owned())]);
    assert_eq!(l.version(), at(2, 85));
}

#[test]
fn a_late_change_of_an_earlier_epoch_undoes_nothing() {
    let (mut l, _) = restored(two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let late = vec![gone("a", at(1, 90)), live("c", at(1, 91))];
    assert_eq!(l.apply(at(1, 87), at(1, 91), late, NOW), []);
    assert_eq!((names(&l), l.version()), (vec!["a", "b"], at(2, 80)));
}

#[test]
fn an_entry_that_the_copy_lacks_may_return() {
    let (mut l, changes) = restored(two(), vec![live("a", at(2, 30))]);
    assert_eq!((changes, names(&l)), (vec![], vec!["a", "b"]));
    l.apply(at(2, 84), at(2, 85), vec![live("b", at(2, 85))], NOW);
    assert_eq!(l.expire(RETURNED), []);
    assert_eq!(names(&l), ["a", "b"]);
}

#[test]
fn an_entry_that_the_copy_lacks_and_that_stays_away_is_gone() {
    let (mut l, _) = restored(two(), vec![live("a", at(2, 30))]);
    assert_eq!(l.expire(RETURNED), [ListChange::Gone("b".to_owned())]);
}

/// A box that gets the restored list as changes hears nothing of what only it held.
#[test]
fn an_entry_that_the_changes_of_a_later_epoch_lack_is_gone_in_time() {
    let mut l = two();
    l.begin_epoch(2, RETURNED);
    l.apply(Revision::ZERO, at(2, 84), vec![live("a", at(2, 30))], NOW);
    assert_eq!((names(&l), l.version()), (vec!["a", "b"], at(2, 84)));
    assert_eq!(l.expire(RETURNED), [ListChange::Gone("b".to_owned())]);
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
fn what_an_upstream_said_last_goes_before_the_copy(
    #[case] known: Entry,
    #[case] shown: Entry,
    #[case] kept: MemberState,
) {
    let mut before = two();
    before.apply(at(1, 87), at(1, 88), vec![known], NOW);
    let (l, _) = restored(before, vec![shown, live("b", at(2, 80))]);
    assert_eq!(state_of(&l, "a"), Some(kept));
}

#[test]
fn an_upstream_may_change_its_word_within_an_epoch() {
    let mut before = two();
    before.apply(at(1, 87), at(1, 88), vec![leaving("a", at(1, 88))], NOW);
    let (mut l, _) = restored(before, vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    l.apply(at(2, 84), at(2, 85), vec![live("a", at(2, 85))], NOW);
    assert_eq!(state_of(&l, "a"), Some(MemberState::Live));
}

/// A list in which `a` has departed, restored to where it had not.
fn departed() -> UpstreamList {
    let mut before = two();
    before.apply(at(1, 87), at(1, 88), vec![gone("a", at(1, 88))], NOW);
    let (l, changes) = restored(before, vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    assert_eq!(changes, []);
    l
}

#[test]
fn a_departed_upstream_that_the_copy_lists_gets_no_work() {
    let mut l = departed();
    assert_eq!(names(&l), ["b"]);
    assert_eq!(l.apply(at(2, 84), at(2, 85), vec![gone("a", at(2, 85))], NOW), []);
    assert_eq!(l.expire(NOW + Duration::from_secs(60)), []);
}

#[test]
fn a_departed_upstream_that_stays_listed_is_there() {
    let mut l = departed();
    assert_eq!(l.expire(NOW + Duration::from_secs(5)), []);
    let changes = l.expire(NOW + Duration::from_secs(6));
    assert!(matches!(&changes[..], [ListChange::Set(x)] if x.member.name == "a"), "{changes:?}");
}

#[rstest]
#[case::same_start(live("a", at(2, 85)))]
#[case::later_start(entry("a", at(2, 85), MemberState::Live, 2))]
fn a_departed_upstream_that_writes_its_entry_again_is_there(#[case] written: Entry) {
    let mut l = departed();
    assert_eq!(l.apply(at(2, 84), at(2, 85), vec![written], NOW).len(), 1);
    assert_eq!(names(&l), ["a", "b"]);
}

#[test]
fn a_box_that_starts_gets_a_doubted_entry_as_the_platform_lists_it() {
    let shown = departed().entries(NOW);
    let a = shown.iter().find(|e| e.name == "a").expect("it is listed");
    assert!(matches!(a.state, EntryState::Present(_)), "{a:?}");
}

#[test]
fn across_a_restore_a_box_that_asks_is_told_the_whole_list() {
    let (l, _) = restored(two(), vec![live("a", at(2, 30)), live("b", at(2, 80))]);
    let behind = two();
    let since = behind.version();
    assert_eq!(l.base(since), Revision::ZERO);
    let told = l.changes_after(since, NOW).expect("it can tell");
    assert_eq!(told.len(), 2);
    let mut behind = behind;
    behind.apply(l.base(since), l.version(), told, NOW);
    assert_eq!(behind.version(), l.version());
    assert_eq!(behind.entries(NOW), l.entries(NOW));
}

#[test]
fn a_list_of_an_earlier_epoch_tells_nothing_to_one_of_a_later() {
    let (l, _) = restored(two(), vec![live("a", at(2, 30))]);
    assert_eq!(two().changes_after(l.version(), NOW), None);
}

#[test]
fn an_empty_copy_is_complete_too() {
    let mut l = UpstreamList::default();
    l.replace(at(1, 87), vec![], Duration::ZERO, NOW);
    let (l, _) = restored(l, vec![]);
    assert_eq!(l.version().epoch, 2);
}
