//! News that come twice, and news of a box that has started again.

use honeypulley_mesh::numbers::{Numbers, SeenNumbers};
use honeypulley_policy::collector::NameId;

#[test]
fn news_that_come_by_two_ways_are_taken_once() {
    let (mut seen, sender) = (SeenNumbers::default(), NameId::of("box"));
    let mut numbers = Numbers::begin(&mut fastrand::Rng::with_seed(1));
    for _ in 0..200 {
        let n = numbers.next();
        assert!(seen.is_new(sender, n));
        assert!(!seen.is_new(sender, n));
        assert!(seen.is_new(NameId::of("another"), n), "each box has its own numbers");
    }
}

/// Numbers that began at one in each life made the others drop the first 64 news.
#[test]
fn a_box_that_starts_again_is_heard_at_once() {
    let (mut seen, sender) = (SeenNumbers::default(), NameId::of("box"));
    for life in 0..50 {
        let mut numbers = Numbers::begin(&mut fastrand::Rng::with_seed(life));
        let heard = (0..30).filter(|_| seen.is_new(sender, numbers.next())).count();
        assert_eq!(heard, 30, "life {life}");
    }
}
