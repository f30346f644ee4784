//! Answer times as learnt: the share still to come, and the time for a share.

use honeypulley_policy::balance::work::{Assumed, WorkTimes};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const ASSUMED: Assumed = Assumed { middle: 0.3 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn learnt(times: impl Iterator<Item = u64>) -> WorkTimes {
    let mut work = WorkTimes::default();
    times.for_each(|t| work.add(ms(t)));
    work
}

#[rstest]
#[case::middle(300, 0.4, 0.6)]
#[case::three_times(900, 0.02, 0.06)]
#[case::soon(30, 0.98, 1.0)]
fn what_was_never_seen_goes_by_the_assumed_middle(
    #[case] age: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let share = WorkTimes::default().survival(ms(age), ASSUMED);
    assert!((least..=most).contains(&share), "{share}");
}

#[test]
fn what_was_seen_outweighs_what_was_assumed() {
    // A hundred answers between 150 and 250 ms.
    let work = learnt((0..100).map(|i| 150 + i));
    let (early, late) = (work.survival(ms(140), ASSUMED), work.survival(ms(300), ASSUMED));
    assert!(early > 0.9, "{early}");
    assert!(late < 0.05, "{late}");
    let middle = work.within(0.5, ASSUMED);
    assert!((ms(180)..=ms(225)).contains(&middle), "{middle:?}");
}

#[test]
fn old_answers_fade() {
    let slow = (0..300).map(|_| 900);
    let fast = (0..1_500).map(|_| 100);
    let work = learnt(slow.chain(fast));
    let share = work.survival(ms(500), ASSUMED);
    assert!(share < 0.05, "{share}");
}

proptest! {
    #[test]
    fn fewer_answers_take_longer(
        times in proptest::collection::vec(1u64..5_000, 0..200),
        a in 1u64..8_000,
        b in 1u64..8_000,
    ) {
        let work = learnt(times.into_iter());
        let (soon, late) = (a.min(b), a.max(b));
        prop_assert!(work.survival(ms(soon), ASSUMED) >= work.survival(ms(late), ASSUMED));
    }

    #[test]
    fn a_larger_share_takes_longer(
        times in proptest::collection::vec(1u64..5_000, 0..200),
        a in 0.02f64..0.98,
        b in 0.02f64..0.98,
    ) {
        let work = learnt(times.into_iter());
        let (less, more) = (a.min(b), a.max(b));
        prop_assert!(work.within(less, ASSUMED) <= work.within(more, ASSUMED));
    }
}
