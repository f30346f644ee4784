//! A box answers within a share of its link, whatever the number of boxes that ask.

use honeypulley_mesh::uplink::UplinkLimiter;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Size of an entry on the wire, in bytes.
const ENTRY_BYTES: f64 = 150.0;

/// Guards against a link that the answers to the whole fleet fill for seconds.
///
/// Each of 292 boxes requests 96 entries every 100 ms.
#[rstest]
#[case::slow_link(20.0)]
#[case::fast_link(200.0)]
fn answers_leave_half_of_the_link_to_broadcasts(#[case] mbps: f64) {
    let mut limiter = UplinkLimiter::new(Some(mbps));
    let mut sent = 0;
    for round in 0..20 {
        let now = Time::ZERO + Duration::from_millis(100) * round;
        sent += (0..292).filter(|_| limiter.admit(96, now)).count();
    }
    let share = sent as f64 * 96.0 * ENTRY_BYTES * 8.0 / (mbps * 1e6 * 2.0);
    assert!((0.4..0.6).contains(&share), "{share} of the link");
}

#[test]
fn a_list_larger_than_the_burst_is_sent_once_there_are_tokens() {
    let mut limiter = UplinkLimiter::new(Some(20.0));
    assert!(limiter.admit(5_000, Time::ZERO));
    assert!(!limiter.admit(1, Time::from_millis(400)), "the first answer is not paid for yet");
    assert!(limiter.admit(5_000, Time::from_millis(800)));
}

/// Guards against many transfers at a time over a slow link, of which none ends soon.
#[test]
fn a_slow_link_carries_few_transfers_at_a_time() {
    let mut limiter = UplinkLimiter::new(Some(20.0));
    let begun = (0..100).filter(|_| limiter.admit_page(1_000, false, Time::ZERO)).count();
    assert!((1..=4).contains(&begun), "{begun} transfers");
    for _ in 0..9 {
        assert!(limiter.admit_page(1_000, true, Time::ZERO), "a transfer that has begun goes on");
    }
    assert!(!limiter.admit_page(1_000, false, Time::from_millis(300)), "its pages are charged for");
    assert!(limiter.admit_page(1_000, false, Time::from_millis(600)));
}
