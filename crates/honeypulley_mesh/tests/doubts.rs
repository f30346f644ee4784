//! Log lines of doubts are bounded, however many boxes tell of some.

use honeypulley_mesh::doubts::DoubtLog;
use honeypulley_policy::balance::Doubt;
use honeypulley_policy::belief::Observation;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;

#[test]
fn lines_of_doubts_do_not_grow_with_the_fleet() {
    let doubt =
        Doubt { upstream: "u1".to_owned(), what: Observation::Failure, before: 0.1, after: 0.9 };
    let mut log = DoubtLog::default();
    // 293 boxes that each tell of a failure every four seconds, for ten seconds.
    let noted = |i: u64| log.note(NameId(i), &doubt, Time::from_millis(i * 14));
    let lines = (0..710).map(noted).filter(|is_noted| *is_noted).count();
    assert!((40..=60).contains(&lines), "{lines} lines in ten seconds");
}
