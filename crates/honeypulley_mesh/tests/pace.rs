//! Ends of attempts wait to go with other news, but not for long.

use honeypulley_mesh::pace::Pacer;
use honeypulley_policy::balance::News;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

const UPSTREAM: NameId = NameId(7);
/// Other boxes of a hall of the largest deployment.
const LARGE: usize = 60;

fn ended(ago: u64) -> News {
    let ago = Duration::from_millis(ago);
    News::Ended { upstream: UPSTREAM, count: 0, served: true, far: None, ago }
}

fn open() -> News {
    News::Open { upstream: UPSTREAM, count: 1 }
}

#[test]
fn what_begins_is_told_at_once_and_takes_with_it_what_ended() {
    let mut pacer = Pacer::default();
    let (first, next) = (Time::from_millis(100), Time::from_millis(140));
    pacer.add(ended(0), first);
    assert!(pacer.due(LARGE) > Some(next));
    pacer.add(open(), next);
    assert!(pacer.due(LARGE) <= Some(next));
    assert_eq!(pacer.take(next), [ended(40), open()]);
    assert_eq!(pacer.due(LARGE), None);
}

/// In a small hall the end is told nearly at once, in none does it wait for long.
#[rstest]
#[case::small(11, 30)]
#[case::large(LARGE, 150)]
#[case::huge(184, 150)]
fn an_end_alone_is_told_soon(#[case] boxes: usize, #[case] most: u64) {
    let mut pacer = Pacer::default();
    pacer.add(ended(0), Time::from_millis(100));
    let due = pacer.due(boxes).expect("something waits");
    assert!(due <= Time::from_millis(100 + most), "{due:?}");
}

/// A box of 4 requests a second and one of 40, in a hall of 61: both told twice a request.
#[rstest]
#[case::few_requests(4, 6)]
#[case::many_requests(40, 40)]
fn a_hall_is_told_less_often_than_twice_a_request(#[case] rate: u64, #[case] most: usize) {
    let mut pacer = Pacer::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let secs = 30;
    let mut made: Vec<(u64, News)> = Vec::new();
    for _ in 0..rate * secs {
        let at = rng.u64(..secs * 1_000);
        made.push((at, open()));
        made.push((at + 200 + rng.u64(..300), ended(0)));
    }
    made.sort_by_key(|&(at, _)| at);
    let mut made = made.into_iter().peekable();
    let mut datagrams = 0;
    for now in 0..(secs + 1) * 1_000 {
        while let Some((at, news)) = made.next_if(|&(at, _)| at <= now) {
            pacer.add(news, Time::from_millis(at));
        }
        let now = Time::from_millis(now);
        while pacer.due(LARGE).is_some_and(|at| at <= now) {
            pacer.take(now);
            datagrams += 1;
        }
    }
    let a_second = datagrams / secs as usize;
    assert!(a_second <= most, "{a_second} datagrams a second to each");
}
