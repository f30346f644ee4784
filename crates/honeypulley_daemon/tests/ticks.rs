//! Bounds on the time at which a signal was sent.

use honeypulley_daemon::ticks::Ticks;
use honeypulley_policy::time::Time;
use rstest::rstest;

/// Guards against counting from the end of a suspension.
#[rstest]
#[case::no_tick_yet(&[], 1_000)]
#[case::one_tick(&[1_100], 1_000)]
#[case::on_time(&[1_100, 1_200, 1_300], 1_200)]
#[case::resumed_and_signalled(&[1_100, 1_200], 1_100)]
#[case::handler_ran_after_a_tick(&[1_100, 1_200, 9_000], 1_200)]
#[case::tick_soon_after_a_late_one(&[1_100, 1_200, 9_000, 9_010], 1_200)]
#[case::resumed_long_ago(&[1_100, 9_000, 9_100], 9_000)]
fn the_signal_was_sent_after_the_tick_before_the_last(#[case] ticks: &[u64], #[case] ms: u64) {
    let mut state = Ticks::new(Time::from_millis(1_000));
    ticks.iter().for_each(|t| state.record(Time::from_millis(*t)));
    assert_eq!(state.earliest(), Time::from_millis(ms));
}

#[rstest]
#[case::on_time(1_100, false)]
#[case::delayed(1_200, false)]
#[case::resumed(1_201, true)]
fn a_tick_after_a_suspension_is_late(#[case] now: u64, #[case] is_late: bool) {
    assert_eq!(Ticks::new(Time::from_millis(1_000)).is_late(Time::from_millis(now)), is_late);
}
