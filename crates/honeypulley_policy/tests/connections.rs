//! Which connections are closed when a crowd of clients takes all places or much memory.

use honeypulley_policy::connections::{
    CloseReason, Closing, ConnectionKey, ConnectionLimits, Connections, NoRoom, Protocol,
};
use honeypulley_policy::time::Time;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashMap;
use std::time::Duration;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_open: 10,
    max_headless: 4,
    head_bytes: 1_000,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(30),
};

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn connections() -> Connections {
    Connections::new(LIMITS)
}

/// Opens a connection, for which no other is closed.
fn open(all: &mut Connections, now: Time) -> ConnectionKey {
    assert_eq!(all.make_room(now), Ok(Vec::new()));
    all.open(now)
}

/// Opens a connection that rests after one request.
fn open_resting(all: &mut Connections, now: Time) -> ConnectionKey {
    let key = open(all, now);
    all.begin_request(key, Protocol::Sequential);
    all.end_request(key, now);
    key
}

fn closing(key: ConnectionKey, reason: CloseReason) -> Closing {
    Closing { key, reason }
}

#[test]
fn the_largest_unfinished_head_is_closed_first() {
    let mut all = connections();
    let [ordinary, large, larger] = [1, 2, 3].map(|ms| open(&mut all, at(ms)));
    assert_eq!(all.record_read(ordinary, 100, at(10)), []);
    assert_eq!(all.record_read(large, 400, at(10)), []);
    let closed = all.record_read(larger, 501, at(10));
    assert_eq!(closed, [closing(larger, CloseReason::HeadBytes)]);
    assert_eq!((all.count(), all.head_bytes()), (2, 500));
}

#[test]
fn a_head_that_has_ended_no_longer_counts() {
    let mut all = connections();
    let first = open(&mut all, at(0));
    all.record_read(first, 900, at(1));
    all.begin_request(first, Protocol::Sequential);
    assert_eq!((all.head_bytes(), all.headless_count()), (0, 0));
    // Bytes of a body belong to the request.
    assert_eq!(all.record_read(first, 5_000, at(2)), []);
    let second = open(&mut all, at(3));
    assert_eq!(all.record_read(second, 900, at(3)), []);
}

/// Guards against a pause of the process after which all accepted connections are new at once.
#[test]
fn new_connections_are_not_closed_for_their_number() {
    let mut all = connections();
    let keys: Vec<ConnectionKey> = (0..LIMITS.max_open).map(|_| open(&mut all, at(0))).collect();
    assert_eq!(keys.len(), all.headless_count());
}

#[test]
fn old_connections_without_a_request_are_closed_for_their_number() {
    let mut all = connections();
    let first = open(&mut all, at(0));
    for ms in 1..4 {
        open(&mut all, at(ms));
    }
    assert_eq!(all.make_room(at(1_500)), Ok(vec![closing(first, CloseReason::Headless)]));
}

/// Guards against a crowd that holds every connection: callers would not be accepted any more.
#[test]
fn a_full_box_makes_room_for_new_connections() {
    let mut all = connections();
    let busy = open(&mut all, at(0));
    all.begin_request(busy, Protocol::Sequential);
    let resting: Vec<ConnectionKey> = (1..9).map(|ms| open_resting(&mut all, at(ms))).collect();
    let silent = open(&mut all, at(10));
    assert_eq!(all.count(), LIMITS.max_open);
    // A connection that has sent nothing for a while serves nobody.
    assert_eq!(all.make_room(at(2_000)), Ok(vec![closing(silent, CloseReason::Full)]));
    let new = all.open(at(2_000));
    assert_eq!(all.make_room(at(2_001)), Ok(vec![closing(resting[0], CloseReason::Full)]));
    all.open(at(2_001));
    // A connection that is still sending its answer has not rested yet.
    all.record_write(resting[1], at(2_002));
    assert_eq!(all.make_room(at(2_003)), Ok(vec![closing(resting[2], CloseReason::Full)]));
    all.begin_request(new, Protocol::Sequential);
}

#[test]
fn a_box_with_busy_connections_rejects_new_ones() {
    let mut all = connections();
    for _ in 0..LIMITS.max_open {
        let key = open(&mut all, at(0));
        all.begin_request(key, Protocol::Sequential);
    }
    assert_eq!(all.make_room(at(60_000)), Err(NoRoom(LIMITS.max_open)));
    assert_eq!(all.expire(at(600_000)), [], "requests have time limits of their own");
}

#[test]
fn slow_heads_and_idle_connections_expire() {
    let mut all = connections();
    let silent = open(&mut all, at(0));
    let slow = open(&mut all, at(0));
    let resting = open_resting(&mut all, at(0));
    all.record_read(slow, 1, at(1_000));
    all.record_read(slow, 1, at(5_900));
    assert_eq!(all.expire(at(5_999)), []);
    assert_eq!(all.expire(at(6_000)), [closing(slow, CloseReason::SlowHead)]);
    let expired = all.expire(at(30_000));
    assert_eq!(expired.len(), 2);
    assert!(expired.contains(&closing(resting, CloseReason::Idle)));
    assert!(expired.iter().any(|c| c.key == silent));
}

/// Guards against limits that hold only for connections opened after a change of the table.
#[test]
fn changed_time_limits_apply_to_open_connections() {
    let mut all = connections();
    let slow = open(&mut all, at(0));
    all.record_read(slow, 1, at(0));
    all.set_times(Duration::from_secs(2), Duration::from_secs(60));
    assert_eq!(all.expire(at(2_000)), [closing(slow, CloseReason::SlowHead)]);
    let resting = open_resting(&mut all, at(2_000));
    assert_eq!(all.expire(at(40_000)), []);
    assert_eq!(all.expire(at(62_000)), [closing(resting, CloseReason::Idle)]);
}

#[test]
fn concurrent_requests_keep_a_connection_busy() {
    let mut all = connections();
    let key = open(&mut all, at(0));
    all.begin_request(key, Protocol::Sequential);
    all.begin_request(key, Protocol::Sequential);
    all.end_request(key, at(1));
    assert_eq!(all.expire(at(90_000)), []);
    all.end_request(key, at(90_000));
    assert_eq!(all.expire(at(120_000)), [closing(key, CloseReason::Idle)]);
}

/// Guards against frames of a connection that are taken for a head without end.
#[test]
fn frames_between_requests_are_not_a_slow_head() {
    let mut all = connections();
    let key = open(&mut all, at(0));
    all.begin_request(key, Protocol::Multiplexed);
    all.end_request(key, at(0));
    assert_eq!(all.record_read(key, 5_000, at(100)), []);
    assert_eq!(all.expire(at(29_000)), []);
    assert_eq!(all.expire(at(30_000)), [closing(key, CloseReason::Idle)]);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Open,
    Read(usize, usize),
    Begin(usize),
    End(usize),
    Write(usize),
    Close(usize),
    Expire,
}

fn event() -> impl Strategy<Value = Event> {
    let n = 0..20usize;
    prop_oneof![
        3 => Just(Event::Open),
        3 => (n.clone(), 1..600usize).prop_map(|(n, bytes)| Event::Read(n, bytes)),
        2 => n.clone().prop_map(Event::Begin),
        2 => n.clone().prop_map(Event::End),
        1 => n.clone().prop_map(Event::Write),
        1 => n.prop_map(Event::Close),
        1 => Just(Event::Expire),
    ]
}

/// A naive version, which knows what each connection does and nothing else.
#[derive(Debug, Default)]
struct Naive {
    /// Bytes of an unfinished head and requests in flight.
    open: HashMap<ConnectionKey, (usize, usize)>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(84),
        ..ProptestConfig::default()
    })]

    /// The bounds hold after any events, and no connection with a request in flight is closed.
    #[test]
    fn the_bounds_hold_and_requests_are_kept(
        events in prop::collection::vec((event(), 0..900u64), 1..200),
    ) {
        let (mut all, mut naive, mut keys) = (connections(), Naive::default(), Vec::new());
        let mut ms = 0;
        for (event, step) in events {
            ms += step;
            let now = at(ms);
            let key = |n: usize| keys.get(n % keys.len().max(1)).copied().unwrap_or_default();
            let closed = match event {
                Event::Open => match all.make_room(now) {
                    Ok(closed) => {
                        let key = all.open(now);
                        keys.push(key);
                        naive.open.insert(key, (0, 0));
                        closed
                    }
                    Err(_) => {
                        prop_assert!(naive.open.values().all(|(_, requests)| *requests > 0));
                        Vec::new()
                    }
                },
                Event::Read(n, bytes) => {
                    if let Some((head, 0)) = naive.open.get_mut(&key(n)) {
                        *head += bytes;
                    }
                    all.record_read(key(n), bytes, now)
                }
                Event::Begin(n) => {
                    all.begin_request(key(n), Protocol::Sequential);
                    if let Some((head, requests)) = naive.open.get_mut(&key(n)) {
                        (*head, *requests) = (0, *requests + 1);
                    }
                    Vec::new()
                }
                Event::End(n) => {
                    all.end_request(key(n), now);
                    if let Some((_, requests)) = naive.open.get_mut(&key(n)) {
                        *requests = requests.saturating_sub(1);
                    }
                    Vec::new()
                }
                Event::Write(n) => {
                    all.record_write(key(n), now);
                    Vec::new()
                }
                Event::Close(n) => {
                    all.close(key(n));
                    naive.open.remove(&key(n));
                    Vec::new()
                }
                Event::Expire => all.expire(now),
            };
            for c in closed {
                let known = naive.open.remove(&c.key);
                prop_assert!(known.is_some_and(|(_, requests)| requests == 0), "{c:?}: {known:?}");
            }
            prop_assert_eq!(all.count(), naive.open.len());
            prop_assert_eq!(all.head_bytes(), naive.open.values().map(|(head, _)| head).sum::<usize>());
            prop_assert!(all.count() <= LIMITS.max_open);
            prop_assert!(all.head_bytes() <= LIMITS.head_bytes);
        }
    }
}
