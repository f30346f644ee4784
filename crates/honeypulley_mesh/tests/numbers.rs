//! Detection of duplicate datagrams, also across restarts of the sender.

use honeypulley_mesh::numbers::{DuplicateFilter, SequenceCounter};
use honeypulley_policy::collector::NameId;

#[test]
fn datagrams_received_twice_are_accepted_once() {
    let (mut seen, sender) = (DuplicateFilter::default(), NameId::of("box"));
    let mut counter = SequenceCounter::random_start(&mut fastrand::Rng::with_seed(1));
    for _ in 0..200 {
        let seq = counter.next();
        assert!(seen.is_new(sender, seq));
        assert!(!seen.is_new(sender, seq));
        assert!(seen.is_new(NameId::of("another"), seq), "each box has its own sequence numbers");
    }
}

/// Sequence numbers that restarted at one made peers drop the first 64 datagrams.
#[test]
fn datagrams_of_a_restarted_box_are_accepted_at_once() {
    let (mut seen, sender) = (DuplicateFilter::default(), NameId::of("box"));
    for run in 0..50 {
        let mut counter = SequenceCounter::random_start(&mut fastrand::Rng::with_seed(run));
        let accepted = (0..30).filter(|_| seen.is_new(sender, counter.next())).count();
        assert_eq!(accepted, 30, "run {run}");
    }
}
