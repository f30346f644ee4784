//! Tests which requests are held, for how long, and how they are cleared.

mod fleet;

use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{
    Crash, Fingerprint, Fingerprints, MOST_RECORDS, Quarantine, RequestUpdate, Restriction, Scope,
};
use honeypulley_policy::time::Time;
use std::time::Duration;

const BAD: Fingerprints = Fingerprints { caller: Fingerprint(1), content: Fingerprint(2) };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Returns a crash of upstream `n` at `ms`, 60 ms after the request was sent.
fn crash(n: u64, ms: u64) -> Crash {
    Crash { upstream: NameId(n), began: at(ms - 60), ended: at(ms) }
}

/// Returns a box that has recorded `ends` crashes during the bad request, 1 s apart.
fn with_crashes(crashes: u64) -> Quarantine {
    let mut q = Quarantine::default();
    for n in 1..=crashes {
        q.record_crash(BAD, crash(n, n * 1_000), at(n * 1_000));
    }
    q
}

/// Time after which all boxes have announced a crash.
const SETTLE_TIME: Duration = Duration::from_millis(50);

fn is_held(q: &mut Quarantine, now: Time) -> bool {
    matches!(q.restriction(BAD, now), Restriction::Held { .. })
}

#[test]
fn a_request_is_held_after_three_consecutive_crashes() {
    let restriction = |n: u64| with_crashes(n).restriction(BAD, at(n * 1_000) + SETTLE_TIME);
    assert_eq!(restriction(0), Restriction::Clear);
    assert_eq!(restriction(1), Restriction::NoHedge);
    assert_eq!(restriction(2), Restriction::NoRetry);
    assert!(matches!(restriction(3), Restriction::Held { .. }));
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut q = Quarantine::default();
    for n in 1..=8 {
        q.record_crash(BAD, crash(n, 1_000 + n), at(1_010));
    }
    assert_eq!(q.restriction(BAD, at(1_100)), Restriction::NoHedge);
}

#[test]
fn a_crash_reported_by_two_boxes_counts_once() {
    let mut q = with_crashes(2);
    q.record_crash(BAD, crash(2, 2_040), at(2_040));
    assert_eq!(q.restriction(BAD, at(2_100)), Restriction::NoRetry);
}

#[test]
fn a_second_crash_of_a_restarted_upstream_counts_again() {
    let mut q = with_crashes(2);
    q.record_crash(BAD, crash(1, 4_000), at(4_000));
    assert!(is_held(&mut q, at(4_100)));
}

#[test]
fn one_success_clears_a_request_on_all_boxes() {
    let (mut local, mut remote) = (with_crashes(2), with_crashes(2));
    local.take_updates();
    local.record_success(BAD, at(3_000));
    assert_eq!(local.restriction(BAD, at(3_000)), Restriction::Clear);
    for update in local.take_updates() {
        remote.apply_update(update, at(3_010));
    }
    assert_eq!(remote.restriction(BAD, at(3_010)), Restriction::Clear);
    // Delayed updates from before the success are ignored.
    for update in with_crashes(2).take_updates() {
        remote.apply_update(update, at(3_020));
    }
    assert_eq!(
        remote.restriction(BAD, at(3_020)),
        Restriction::NoHedge,
        "simultaneous crashes count once"
    );
}

#[test]
fn a_success_of_an_unsuspected_request_is_not_announced() {
    let mut q = with_crashes(1);
    q.take_updates();
    q.record_success(Fingerprints { caller: Fingerprint(8), content: Fingerprint(9) }, at(2_000));
    assert_eq!(q.take_updates(), []);
}

#[test]
fn reordered_announcements_lead_to_a_hold() {
    let announced = |n: u64| RequestUpdate::Crashed {
        request: BAD.caller,
        scope: Scope::Caller,
        upstream: NameId(n),
        since_sent: Duration::from_millis(10_060 - n * 1_000),
        since_crash: Duration::from_millis(10_000 - n * 1_000),
    };
    for order in [[1, 2, 3], [3, 2, 1], [2, 3, 1], [3, 1, 2]] {
        let mut q = Quarantine::default();
        order.iter().for_each(|&n| q.apply_update(announced(n), at(20_000)));
        assert!(is_held(&mut q, at(20_000)), "{order:?}");
    }
}

#[test]
fn an_expired_hold_allows_one_trial_and_doubles_after_a_crash() {
    let mut q = with_crashes(3);
    let mut now = at(3_000) + SETTLE_TIME;
    let mut holds = Vec::new();
    for n in 1..=4 {
        let Restriction::Held { remaining } = q.restriction(BAD, now) else {
            panic!("hold {n} is not in force")
        };
        holds.push(remaining.as_secs() / 60);
        now = now + remaining + Duration::from_secs(1);
        assert_eq!(q.restriction(BAD, now), Restriction::NoRetry);
        let began = now;
        now = now + Duration::from_millis(60);
        q.record_crash(BAD, Crash { upstream: NameId(90 + n), began, ended: now }, now);
    }
    assert_eq!(holds, [10, 20, 40, 24 * 60], "holds double for three trials, then last a day");
}

#[test]
fn a_successful_trial_clears_the_request() {
    let mut q = with_crashes(3);
    assert!(is_held(&mut q, at(3_100)));
    let now = at(3_000) + Duration::from_secs(700);
    q.record_success(BAD, now);
    assert_eq!(q.restriction(BAD, now), Restriction::Clear);
    assert!(q.active_holds(now).is_empty());
}

#[test]
fn a_crash_of_a_request_sent_before_the_hold_is_no_failed_trial() {
    let mut q = with_crashes(3);
    assert!(is_held(&mut q, at(3_100)));
    q.record_crash(
        BAD,
        Crash { upstream: NameId(9), began: at(2_990), ended: at(5_000) },
        at(5_000),
    );
    assert_eq!(q.active_holds(at(5_000))[0].trials, 0);
}

#[test]
fn the_same_content_of_changing_callers_is_held_after_four_crashes() {
    let mut q = Quarantine::default();
    for n in 1..=4 {
        let request = Fingerprints { caller: Fingerprint(100 + n), ..BAD };
        q.record_crash(request, crash(n, n * 1_000), at(n * 1_000));
    }
    assert!(is_held(&mut q, at(4_100)));
}

#[test]
fn successes_of_other_callers_do_not_clear_a_callers_request() {
    let mut q = with_crashes(2);
    let other = Fingerprints { caller: Fingerprint(77), ..BAD };
    q.record_success(other, at(2_500));
    q.record_crash(BAD, crash(3, 3_000), at(3_000));
    assert!(is_held(&mut q, at(3_100)));
    assert_eq!(
        q.restriction(other, at(3_100)),
        Restriction::Clear,
        "the held request explains the crash"
    );
}

#[test]
fn a_box_that_rejects_requests_announces_the_hold_at_intervals() {
    let mut q = with_crashes(3);
    assert!(is_held(&mut q, at(4_000)));
    q.take_updates();
    q.record_rejection(BAD, at(10_000));
    q.record_rejection(BAD, at(10_100));
    let announced = q.take_updates();
    assert!(
        matches!(announced[..], [RequestUpdate::Held { request, .. }] if request == BAD.caller)
    );
    let mut new_box = Quarantine::default();
    new_box.apply_update(announced[0], at(50));
    assert!(is_held(&mut new_box, at(60)));
}

/// Returns a box with two requests in flight at the same three crashes.
fn tied_suspects() -> (Quarantine, Fingerprints) {
    let other = Fingerprints { caller: Fingerprint(11), content: Fingerprint(12) };
    let mut q = Quarantine::default();
    for n in 1..=3 {
        for request in [BAD, other] {
            q.record_crash(request, crash(n, n * 1_000), at(n * 1_000));
        }
    }
    (q, other)
}

#[test]
fn two_requests_with_the_same_crashes_are_not_held() {
    let (mut q, other) = tied_suspects();
    assert_eq!(q.restriction(BAD, at(3_100)), Restriction::NoRetry);
    assert_eq!(q.restriction(other, at(3_100)), Restriction::NoRetry);
}

#[test]
fn a_success_of_one_tied_suspect_leads_to_a_hold_of_the_other() {
    let (mut q, other) = tied_suspects();
    q.record_success(other, at(3_200));
    assert!(is_held(&mut q, at(3_200)));
    assert_eq!(q.restriction(other, at(3_200)), Restriction::Clear);
}

#[test]
fn a_further_crash_breaks_the_tie_and_clears_the_other_suspect() {
    let (mut q, other) = tied_suspects();
    q.record_crash(BAD, crash(4, 4_000), at(4_000));
    assert!(is_held(&mut q, at(4_100)));
    assert_eq!(q.restriction(other, at(4_100)), Restriction::Clear);
}

#[test]
fn records_are_bounded_and_eviction_keeps_holds() {
    let mut q = with_crashes(3);
    assert!(is_held(&mut q, at(3_900)));
    for n in 0..3 * MOST_RECORDS as u64 {
        let request = Fingerprints {
            caller: Fingerprint(1_000 + 2 * n),
            content: Fingerprint(1_001 + 2 * n),
        };
        q.record_crash(request, crash(1, 4_000 + n), at(4_000 + n));
    }
    assert!(q.len() <= MOST_RECORDS);
    assert!(is_held(&mut q, at(20_000)));
}

#[test]
fn records_of_suspects_expire() {
    let mut q = with_crashes(2);
    let later = at(2_000) + Duration::from_secs(3_600);
    let other = Fingerprints { caller: Fingerprint(8), content: Fingerprint(9) };
    q.record_crash(other, Crash { upstream: NameId(1), began: later, ended: later }, later);
    assert_eq!(q.len(), 2, "only the new request's two records remain");
}
