//! The open requests of a box.

use honeypulley_policy::shutdown::PlannedStop;
use honeypulley_policy::time::Time;
use honeypulley_proxy::open::{OpenAges, OpenKey, OpenRequests, Recipient, SentAttempt};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn sent(name: &str, ms: u64) -> SentAttempt {
    SentAttempt { to: Recipient::Upstream(name.into()), at: at(ms) }
}

#[test]
fn a_request_is_open_until_it_is_removed() {
    let open = OpenRequests::default();
    let (a, b) = (open.insert("a".into(), at(1)), open.insert("b".into(), at(2)));
    assert_eq!(open.count(), 2);
    assert_eq!(open.remove(a).map(|r| r.request), Some("a".into()));
    assert_eq!((open.count(), open.remove(a)), (1, None));
    assert_eq!(open.get(b).map(|r| r.received), Some(at(2)));
}

/// Guards against records of a request that are taken for those of a later one.
#[test]
fn the_key_of_a_removed_request_is_not_used_again() {
    let open = OpenRequests::default();
    let old = open.insert("old".into(), at(1));
    open.remove(old);
    let new = open.insert("new".into(), at(2));
    open.record_sent(old, sent("i-1", 3));
    open.record_sent(OpenKey::default(), sent("i-1", 3));
    assert_eq!(open.get(old), None);
    assert_eq!(open.get(new).map(|r| (r.attempts, r.newest)), Some((0, None)));
}

#[test]
fn the_newest_attempt_is_kept_until_another_one_is_answered() {
    let open = OpenRequests::default();
    let key = open.insert("a".into(), at(0));
    open.record_service(key, "svc".into());
    open.record_sent(key, sent("i-1", 5));
    open.record_sent(key, sent("i-2", 8));
    let r = open.get(key).expect("the request is open");
    assert_eq!((r.upstream(), r.peer(), r.attempts, r.answering), (Some("i-2"), None, 2, false));
    open.record_answer(key, sent("i-1", 5));
    let r = open.get(key).expect("the request is open");
    assert_eq!((r.upstream(), r.attempts, r.answering), (Some("i-1"), 2, true));
    assert_eq!(r.service.as_deref(), Some("svc"));
}

#[test]
fn a_relayed_request_names_the_box_and_no_upstream() {
    let open = OpenRequests::default();
    let key = open.insert("a".into(), at(0));
    let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, 7_001));
    open.record_sent(key, SentAttempt { to: Recipient::Peer(peer), at: at(5) });
    let r = open.get(key).expect("the request is open");
    assert_eq!((r.upstream(), r.peer()), (None, Some(peer)));
}

#[rstest]
#[case::no_stop(None, None)]
#[case::accepted_before_the_stop(Some(250), None)]
#[case::accepted_as_the_stop_begins(Some(200), Some(0))]
#[case::accepted_during_the_stop(Some(150), Some(50))]
#[case::received_before_and_accepted_during_the_stop(Some(120), Some(80))]
fn times_tell_when_a_request_was_accepted(
    #[case] stop_ms: Option<u64>,
    #[case] after_stop_ms: Option<u64>,
) {
    let open = OpenRequests::default();
    let key = open.insert("a".into(), at(100));
    open.record_accepted(key, at(200));
    open.record_sent(key, sent("i-1", 210));
    let stop = stop_ms.map(|ms| PlannedStop::new(at(ms), None));
    let ages = open.get(key).map(|r| r.ages(stop, at(1_000)));
    let expected =
        OpenAges { age_ms: 900, accepted_ms: Some(800), after_stop_ms, sent_ms: Some(790) };
    assert_eq!(ages, Some(expected));
}

#[test]
fn a_request_that_was_not_accepted_has_no_such_time() {
    let open = OpenRequests::default();
    let key = open.insert("a".into(), at(100));
    let stop = PlannedStop::new(at(50), None);
    let ages = open.get(key).map(|r| r.ages(Some(stop), at(130)));
    let expected = OpenAges { age_ms: 30, accepted_ms: None, after_stop_ms: None, sent_ms: None };
    assert_eq!(ages, Some(expected));
}

#[test]
fn all_requests_are_taken_in_the_order_of_their_arrival() {
    let open = OpenRequests::default();
    let keys: Vec<OpenKey> =
        (0..5).map(|n| open.insert(n.to_string().into(), at(10 * n))).collect();
    open.remove(keys[1]);
    // It takes the place of the removed one.
    open.insert("5".into(), at(50));
    let taken: Vec<String> = open.take_all().iter().map(|r| r.request.to_string()).collect();
    assert_eq!(taken, ["0", "2", "3", "4", "5"]);
    assert_eq!((open.count(), open.remove(keys[0])), (0, None));
}
