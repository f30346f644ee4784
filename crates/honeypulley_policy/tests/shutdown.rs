//! Requests that a stopping box accepts.

use honeypulley_policy::shutdown::{ANSWER_MARGIN, PlannedStop, Unfinishable, usable_grace};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// When the stops of these tests begin, in milliseconds.
const BEGAN: u64 = 10_000;
const GRACE: Duration = Duration::from_millis(5_000);

fn at(ms: u64) -> Time {
    Time::from_millis(BEGAN + ms)
}

fn stop() -> PlannedStop {
    PlannedStop::new(at(0), Some(GRACE))
}

/// Guards against rejecting callers while there is time to serve them.
#[rstest]
#[case::at_once(0, Some(60_000))]
#[case::before_the_half(2_111, Some(60_000))]
#[case::without_a_limit(2_111, None)]
#[case::expired(2_111, Some(100))]
fn the_first_half_accepts_everything(#[case] now: u64, #[case] deadline: Option<u64>) {
    assert_eq!(stop().check(deadline.map(at), at(now)), Ok(()));
}

#[rstest]
#[case::fits(2_112, 4_800, true)]
#[case::outlasts_by_a_moment(2_112, 4_801, false)]
#[case::outlasts_the_box(2_112, 5_500, false)]
#[case::late_and_short(4_700, 4_750, true)]
#[case::late_and_long(4_700, 4_900, false)]
#[case::after_the_end(5_100, 5_200, false)]
fn the_second_half_accepts_what_ends_before_the_box(
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] is_accepted: bool,
) {
    assert_eq!(stop().check(Some(at(deadline)), at(now)).is_ok(), is_accepted);
}

#[test]
fn the_second_half_rejects_requests_without_a_limit() {
    let left = Duration::from_millis(1_000);
    assert_eq!(stop().check(None, at(4_000)), Err(Unfinishable { left, limit: None }));
}

#[test]
fn a_rejection_tells_what_is_left() {
    let (left, limit) = (Duration::from_millis(2_000), Duration::from_millis(3_000));
    let rejected = stop().check(Some(at(6_000)), at(3_000));
    assert_eq!(rejected, Err(Unfinishable { left, limit: Some(limit) }));
}

#[rstest]
#[case(0)]
#[case(2_600)]
#[case(3_600_000)]
fn a_stop_without_a_bound_accepts_everything(#[case] now: u64) {
    let unbounded = PlannedStop::new(at(0), None);
    assert_eq!(unbounded.check(None, at(now)), Ok(()));
    assert_eq!(unbounded.check(Some(at(now + 60_000)), at(now)), Ok(()));
    assert_eq!((unbounded.strict_from(), unbounded.answer_by(at(now))), (None, None));
}

/// Guards against an end of a very short grace period that lies before its beginning.
#[test]
fn a_grace_below_the_margin_accepts_nothing_in_its_second_half() {
    let short = PlannedStop::new(at(0), Some(ANSWER_MARGIN / 2));
    assert!(short.check(Some(at(60)), at(60)).is_err());
    assert_eq!(short.answer_by(at(0)), Some(at(0)));
}

/// Guards against sending requests that are answered with a time-out at once.
#[rstest]
#[case::shorter_than_a_margin(100, 0)]
#[case::two_margins(400, 0)]
#[case::three_margins(600, 78)]
#[case::four_margins(800, 170)]
#[case::longer(5_000, 2_112)]
fn requests_are_accepted_two_margins_before_the_end_at_the_latest(
    #[case] grace: u64,
    #[case] strict: u64,
) {
    let stop = PlannedStop::new(at(0), Some(Duration::from_millis(grace)));
    let from = stop.strict_from().expect("the stop is bounded");
    assert!(from <= at(strict) && from + Duration::from_millis(1) > at(strict), "{from:?}");
    let least = Duration::from_millis(strict) + ANSWER_MARGIN;
    assert!(strict == 0 || stop.answer_by(at(strict)).is_some_and(|by| at(0) + least <= by));
    assert!(stop.check(None, at(strict)).is_err(), "{from:?}");
}

/// Guards against requests that are taken late in a stop and given up before their limit.
#[test]
fn requests_limited_to_half_of_the_grace_surely_end() {
    let (grace, limit) = (Duration::from_secs(6), Duration::from_secs(3));
    let stop = PlannedStop::new(at(0), Some(usable_grace(grace)));
    for ms in 0..6_000 {
        let (now, deadline) = (at(ms), at(ms) + limit);
        let is_certain = stop.answer_by(now).is_some_and(|by| deadline <= by);
        assert_eq!(stop.check(Some(deadline), now).is_ok(), is_certain, "{ms} ms");
    }
}

/// Returns a stop whose signal was noticed 2 s after it may have been sent.
fn noticed_late() -> PlannedStop {
    PlannedStop::new(at(2_000), Some(GRACE)).with_earliest(at(0))
}

/// Guards against accepting requests by a signal that may have been sent earlier.
#[rstest]
#[case::first_half(2_111, None, true)]
#[case::half_by_the_earliest_signal(2_112, None, false)]
#[case::fits(2_112, Some(4_800), true)]
#[case::outlasts_the_earliest_end(2_112, Some(4_801), false)]
#[case::ends_before_the_latest_end(2_112, Some(6_800), false)]
#[case::after_the_earliest_end(5_500, Some(5_600), false)]
fn requests_are_accepted_by_the_earliest_signal(
    #[case] now: u64,
    #[case] deadline: Option<u64>,
    #[case] is_accepted: bool,
) {
    let checked = noticed_late().check(deadline.map(at), at(now));
    assert_eq!(checked.is_ok(), is_accepted, "{checked:?}");
}

/// Guards against giving up requests in flight by a signal that may have been sent later.
#[rstest]
#[case::long_before(0, 6_800)]
#[case::at_the_notice(2_000, 4_800)]
#[case::since_then(2_400, 4_800)]
fn requests_in_flight_keep_their_time(#[case] accepted: u64, #[case] answer_by: u64) {
    assert_eq!(noticed_late().answer_by(at(accepted)), Some(at(answer_by)));
}

#[test]
fn what_is_left_counts_from_the_earliest_signal() {
    let stop = noticed_late();
    assert_eq!(stop.left(at(3_000)), Some(Duration::from_millis(2_000)));
    assert_eq!(stop.left(at(6_000)), Some(Duration::ZERO));
    let left = Duration::from_millis(2_000);
    assert_eq!(stop.check(None, at(3_000)), Err(Unfinishable { left, limit: None }));
}

#[test]
fn the_process_ends_by_the_notice() {
    assert_eq!(noticed_late().end(), Some(at(7_000)));
    assert_eq!(noticed_late().earliest(), at(0));
}

#[test]
fn a_signal_is_not_later_than_its_notice() {
    assert_eq!(stop().with_earliest(at(500)), stop());
}
