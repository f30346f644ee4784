//! Latency histogram: survival function and quantiles.

use honeypulley_policy::balance::work::{LatencyHistogram, LatencyPrior};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const PRIOR: LatencyPrior = LatencyPrior { median: 0.3 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn histogram(times: impl Iterator<Item = u64>) -> LatencyHistogram {
    let mut latencies = LatencyHistogram::default();
    times.for_each(|t| latencies.add(ms(t)));
    latencies
}

#[rstest]
#[case::median(300, 0.4, 0.6)]
#[case::three_times(900, 0.02, 0.06)]
#[case::early(30, 0.98, 1.0)]
fn survival_without_samples_follows_the_prior(
    #[case] age: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let share = LatencyHistogram::default().survival(ms(age), PRIOR);
    assert!((least..=most).contains(&share), "{share}");
}

#[test]
fn samples_outweigh_the_prior() {
    // A hundred answers between 150 and 250 ms.
    let latencies = histogram((0..100).map(|i| 150 + i));
    let (early, late) = (latencies.survival(ms(140), PRIOR), latencies.survival(ms(300), PRIOR));
    assert!(early > 0.9, "{early}");
    assert!(late < 0.05, "{late}");
    let median = latencies.quantile(0.5, PRIOR);
    assert!((ms(180)..=ms(225)).contains(&median), "{median:?}");
}

#[test]
fn old_samples_lose_weight() {
    let slow = (0..300).map(|_| 900);
    let fast = (0..1_500).map(|_| 100);
    let latencies = histogram(slow.chain(fast));
    let share = latencies.survival(ms(500), PRIOR);
    assert!(share < 0.05, "{share}");
}

proptest! {
    #[test]
    fn survival_decreases_with_age(
        times in proptest::collection::vec(1u64..5_000, 0..200),
        a in 1u64..8_000,
        b in 1u64..8_000,
    ) {
        let latencies = histogram(times.into_iter());
        let (soon, late) = (a.min(b), a.max(b));
        prop_assert!(latencies.survival(ms(soon), PRIOR) >= latencies.survival(ms(late), PRIOR));
    }

    #[test]
    fn quantile_increases_with_share(
        times in proptest::collection::vec(1u64..5_000, 0..200),
        a in 0.02f64..0.98,
        b in 0.02f64..0.98,
    ) {
        let latencies = histogram(times.into_iter());
        let (less, more) = (a.min(b), a.max(b));
        prop_assert!(latencies.quantile(less, PRIOR) <= latencies.quantile(more, PRIOR));
    }
}
