//! Requests under which upstreams end: who is held, for how long, and who is not.

mod fleet;

use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{
    End, Fingerprint, Fingerprints, MOST_RECORDS, Quarantine, RequestNews, Scope, Standing,
};
use honeypulley_policy::time::Time;
use std::time::Duration;

const BAD: Fingerprints = Fingerprints { caller: Fingerprint(1), content: Fingerprint(2) };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// An end of upstream `n` under a request that was sent 60 ms before.
fn end(n: u64, ms: u64) -> End {
    End { upstream: NameId(n), began: at(ms - 60), ended: at(ms) }
}

/// A box that has seen these ends under the bad request, a second apart.
fn after(ends: u64) -> Quarantine {
    let mut q = Quarantine::default();
    for n in 1..=ends {
        q.ended(BAD, end(n, n * 1_000), at(n * 1_000));
    }
    q
}

/// A moment after which all boxes have told of an end.
const SETTLED: Duration = Duration::from_millis(50);

fn is_held(q: &mut Quarantine, now: Time) -> bool {
    matches!(q.standing(BAD, now), Standing::Held { .. })
}

#[test]
fn it_is_held_after_the_third_upstream_in_a_row() {
    let standing = |n: u64| after(n).standing(BAD, at(n * 1_000) + SETTLED);
    assert_eq!(standing(0), Standing::Clear);
    assert_eq!(standing(1), Standing::Watched);
    assert_eq!(standing(2), Standing::Single);
    assert!(matches!(standing(3), Standing::Held { .. }));
}

#[test]
fn upstreams_that_end_at_once_say_no_more_than_one() {
    let mut q = Quarantine::default();
    for n in 1..=8 {
        q.ended(BAD, end(n, 1_000 + n), at(1_010));
    }
    assert_eq!(q.standing(BAD, at(1_100)), Standing::Watched);
}

#[test]
fn one_end_that_two_boxes_saw_counts_once() {
    let mut q = after(2);
    q.ended(BAD, end(2, 2_040), at(2_040));
    assert_eq!(q.standing(BAD, at(2_100)), Standing::Single);
}

#[test]
fn an_upstream_that_is_back_and_ends_again_counts_again() {
    let mut q = after(2);
    q.ended(BAD, end(1, 4_000), at(4_000));
    assert!(is_held(&mut q, at(4_100)));
}

#[test]
fn one_good_answer_clears_it_on_all_boxes() {
    let (mut here, mut there) = (after(2), after(2));
    here.take_news();
    here.served(BAD, at(3_000));
    assert_eq!(here.standing(BAD, at(3_000)), Standing::Clear);
    for news in here.take_news() {
        there.heard(news, at(3_010));
    }
    assert_eq!(there.standing(BAD, at(3_010)), Standing::Clear);
    // What was told before and comes late changes nothing.
    for news in after(2).take_news() {
        there.heard(news, at(3_020));
    }
    assert_eq!(there.standing(BAD, at(3_020)), Standing::Watched, "two ends at once are one");
}

#[test]
fn a_request_that_was_never_suspected_is_not_told_of() {
    let mut q = after(1);
    q.take_news();
    q.served(Fingerprints { caller: Fingerprint(8), content: Fingerprint(9) }, at(2_000));
    assert_eq!(q.take_news(), []);
}

#[test]
fn news_in_any_order_hold_it() {
    let told = |n: u64| RequestNews::Ended {
        request: BAD.caller,
        scope: Scope::Caller,
        upstream: NameId(n),
        began: Duration::from_millis(10_060 - n * 1_000),
        ended: Duration::from_millis(10_000 - n * 1_000),
    };
    for order in [[1, 2, 3], [3, 2, 1], [2, 3, 1], [3, 1, 2]] {
        let mut q = Quarantine::default();
        order.iter().for_each(|&n| q.heard(told(n), at(20_000)));
        assert!(is_held(&mut q, at(20_000)), "{order:?}");
    }
}

#[test]
fn when_the_hold_lapses_it_is_sent_to_one_upstream_and_held_longer_if_that_ends() {
    let mut q = after(3);
    let mut now = at(3_000) + SETTLED;
    let mut holds = Vec::new();
    for n in 1..=4 {
        let Standing::Held { left } = q.standing(BAD, now) else { panic!("held {n}") };
        holds.push(left.as_secs() / 60);
        now = now + left + Duration::from_secs(1);
        assert_eq!(q.standing(BAD, now), Standing::Single);
        let began = now;
        now = now + Duration::from_millis(60);
        q.ended(BAD, End { upstream: NameId(90 + n), began, ended: now }, now);
    }
    assert_eq!(holds, [10, 20, 40, 24 * 60], "three trials, then none for a day");
}

#[test]
fn a_trial_that_is_answered_well_frees_it() {
    let mut q = after(3);
    assert!(is_held(&mut q, at(3_100)));
    let now = at(3_000) + Duration::from_secs(700);
    q.served(BAD, now);
    assert_eq!(q.standing(BAD, now), Standing::Clear);
    assert!(q.held(now).is_empty());
}

#[test]
fn an_end_of_a_send_from_before_the_hold_is_no_failed_trial() {
    let mut q = after(3);
    assert!(is_held(&mut q, at(3_100)));
    q.ended(BAD, End { upstream: NameId(9), began: at(2_990), ended: at(5_000) }, at(5_000));
    assert_eq!(q.held(at(5_000))[0].trials, 0);
}

#[test]
fn the_same_content_of_changing_callers_is_held_after_four() {
    let mut q = Quarantine::default();
    for n in 1..=4 {
        let request = Fingerprints { caller: Fingerprint(100 + n), ..BAD };
        q.ended(request, end(n, n * 1_000), at(n * 1_000));
    }
    assert!(is_held(&mut q, at(4_100)));
}

#[test]
fn good_answers_to_others_do_not_free_a_caller_whose_request_ends_upstreams() {
    let mut q = after(2);
    let other = Fingerprints { caller: Fingerprint(77), ..BAD };
    q.served(other, at(2_500));
    q.ended(BAD, end(3, 3_000), at(3_000));
    assert!(is_held(&mut q, at(3_100)));
    assert_eq!(q.standing(other, at(3_100)), Standing::Clear, "the end is accounted for");
}

#[test]
fn a_box_that_refuses_tells_the_others_now_and_then() {
    let mut q = after(3);
    assert!(is_held(&mut q, at(4_000)));
    q.take_news();
    q.refused(BAD, at(10_000));
    q.refused(BAD, at(10_100));
    let told = q.take_news();
    assert!(matches!(told[..], [RequestNews::Held { request, .. }] if request == BAD.caller));
    let mut newcomer = Quarantine::default();
    newcomer.heard(told[0], at(50));
    assert!(is_held(&mut newcomer, at(60)));
}

/// Two requests that were open at the same three ends, of which one is guilty.
fn rivals() -> (Quarantine, Fingerprints) {
    let other = Fingerprints { caller: Fingerprint(11), content: Fingerprint(12) };
    let mut q = Quarantine::default();
    for n in 1..=3 {
        for request in [BAD, other] {
            q.ended(request, end(n, n * 1_000), at(n * 1_000));
        }
    }
    (q, other)
}

#[test]
fn of_two_that_were_at_the_same_ends_none_is_held_yet() {
    let (mut q, other) = rivals();
    assert_eq!(q.standing(BAD, at(3_100)), Standing::Single);
    assert_eq!(q.standing(other, at(3_100)), Standing::Single);
}

#[test]
fn the_one_that_is_answered_leaves_the_other_to_be_held() {
    let (mut q, other) = rivals();
    q.served(other, at(3_200));
    assert!(is_held(&mut q, at(3_200)));
    assert_eq!(q.standing(other, at(3_200)), Standing::Clear);
}

#[test]
fn the_one_that_ends_one_more_is_held_and_accounts_for_the_others_ends() {
    let (mut q, other) = rivals();
    q.ended(BAD, end(4, 4_000), at(4_000));
    assert!(is_held(&mut q, at(4_100)));
    assert_eq!(q.standing(other, at(4_100)), Standing::Clear);
}

#[test]
fn thousands_of_suspects_take_bounded_room_and_drop_no_hold() {
    let mut q = after(3);
    assert!(is_held(&mut q, at(3_900)));
    for n in 0..3 * MOST_RECORDS as u64 {
        let request = Fingerprints {
            caller: Fingerprint(1_000 + 2 * n),
            content: Fingerprint(1_001 + 2 * n),
        };
        q.ended(request, end(1, 4_000 + n), at(4_000 + n));
    }
    assert!(q.len() <= MOST_RECORDS);
    assert!(is_held(&mut q, at(20_000)));
}

#[test]
fn suspects_are_forgotten_in_time() {
    let mut q = after(2);
    let later = at(2_000) + Duration::from_secs(3_600);
    let other = Fingerprints { caller: Fingerprint(8), content: Fingerprint(9) };
    q.ended(other, End { upstream: NameId(1), began: later, ended: later }, later);
    assert_eq!(q.len(), 2, "its own caller and content alone");
}
