//! How long a departure, or a restored list, takes to every box of a fleet, in simulated time.
//!
//! The lists, the parts, the books and what a box asks for are the product's own; the
//! way of datagrams is a model of `peers`: a reader tells its data hall and three boxes of
//! each other one, which send on. Run with `--nocapture` for the figures.

use honeypulley_mesh::book::Book;
use honeypulley_mesh::catch_up::{CatchUp, HeardOf, Own, Progress};
use honeypulley_mesh::list::UpstreamList;
use honeypulley_mesh::told::Parts;
use honeypulley_peer::codec::Told;
use honeypulley_peer::listing::{BoxAddress, Entry, EntryState};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Boxes that read the platform and tell the others.
const READERS: usize = 3;
/// Time between two beacons of a reader, and from a change to the next beacon, in ms.
const BEACON_MS: u64 = 500;
const FOLLOW_MS: u64 = 150;
/// Boxes of each other data hall that send on.
const DELEGATES: usize = 3;
/// Upstreams that leave at once: two parts.
const LEAVING: u64 = 8;
/// Upstreams in a restored list: eight parts.
const RESTORED: u64 = 48;
/// Packets of a pull over a connection, each of which must arrive, and bounds of its time in ms.
const PULL_PACKETS: i32 = 6;
const PULL_MS: (u64, u64) = (40, 330);
/// Version of every list before.
const BEFORE: u64 = 10;

/// What one box does at a point of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    Part { reader: usize, part: usize, send_on: bool },
    Beacon { reader: usize, send_on: bool },
    Asked { by: usize },
    Pulled { from: usize },
    Wake,
    Speak,
}

struct SimBox {
    list: UpstreamList,
    parts: Parts,
    catch_up: CatchUp,
    book: Book,
}

struct Fleet {
    boxes: Vec<SimBox>,
    told: Vec<Told>,
    due: BinaryHeap<Reverse<(u64, u64, usize, Act)>>,
    loss: f64,
    rng: fastrand::Rng,
    now_us: u64,
    count: u64,
    datagrams: u64,
}

fn address(i: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + i as u32), 7).into()
}

fn index(a: SocketAddr) -> usize {
    let SocketAddr::V4(a) = a else { panic!("these are IPv4") };
    (u32::from(*a.ip()) - 0x0a00_0000) as usize
}

/// A position in the one epoch of these tests.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn entry(i: u64, version: Revision) -> Entry {
    let state = EntryState::Gone { hold: Duration::ZERO };
    Entry { name: format!("u{i}"), version, state }
}

impl Fleet {
    /// Builds a fleet that holds version 10, in data halls of so many boxes; the first
    /// three boxes of different data halls read.
    fn new(n: usize, halls: usize, loss: f64, seed: u64) -> Self {
        let hall = |i: usize| format!("hall-{}", i % halls);
        let known: Vec<BoxAddress> = (0..n)
            .map(|i| BoxAddress { id: NameId(i as u64), addr: address(i), hall: hall(i) })
            .collect();
        let sim_box = |i: usize| {
            let mut book = Book::new(NameId(i as u64), &hall(i));
            // A box of another data hall is known to readers alone, to bound the state.
            let near = |b: &&BoxAddress| i < READERS || b.hall == hall(i);
            known.iter().filter(near).for_each(|b| {
                book.learn(b.clone());
            });
            let mut list = UpstreamList::default();
            list.replace(at(BEFORE), vec![entry(99, at(BEFORE))], Duration::ZERO, Time::ZERO);
            SimBox { list, parts: Parts::default(), catch_up: CatchUp::default(), book }
        };
        let entries: Vec<Entry> = (0..LEAVING).map(|i| entry(i, at(BEFORE + 1 + i))).collect();
        let told = Told::cut(at(BEFORE), at(BEFORE + LEAVING), Duration::ZERO, &entries);
        Self {
            boxes: (0..n).map(sim_box).collect(),
            told: told.expect("they are few"),
            due: BinaryHeap::new(),
            loss,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            count: 0,
            datagrams: 0,
        }
    }

    /// Has the readers learn of a whole list of the next epoch, with lower numbers.
    fn restored(mut self) -> Self {
        let position = |number| Revision::new(2, number);
        let entries: Vec<Entry> = (0..RESTORED).map(|i| entry(i, position(i % BEFORE))).collect();
        let told = Told::cut(Revision::ZERO, position(BEFORE - 1), Duration::ZERO, &entries);
        self.told = told.expect("they are few");
        self
    }

    fn at(&mut self, us: u64, who: usize, act: Act) {
        self.count += 1;
        self.due.push(Reverse((us, self.count, who, act)));
    }

    /// Sends one datagram; the receiver gets to it within 20 ms of its arrival.
    fn send(&mut self, to: usize, act: Act) {
        self.datagrams += 1;
        if self.rng.f64() < self.loss {
            return;
        }
        let us = self.now_us + 500 + self.rng.u64(..20_000);
        self.at(us, to, act);
    }

    fn spread(&mut self, from: usize, act: impl Fn(bool) -> Act) {
        let now = Time::from_micros(self.now_us);
        let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let far = self.boxes[from].book.delegates(DELEGATES, now, &mut rng);
        let near: Vec<SocketAddr> = self.boxes[from].book.near().collect();
        far.into_iter().for_each(|a| self.send(index(a), act(true)));
        near.into_iter().for_each(|a| self.send(index(a), act(false)));
    }

    fn send_on(&mut self, from: usize, act: &Act) {
        let near: Vec<SocketAddr> = self.boxes[from].book.near().collect();
        near.into_iter().for_each(|a| self.send(index(a), act.clone()));
    }

    fn take_part(&mut self, who: usize, reader: usize, part: usize) {
        let now = Time::from_micros(self.now_us);
        let told = self.told[part].clone();
        let b = &mut self.boxes[who];
        let is_whole = b.parts.is_complete(NameId(reader as u64), &told);
        let upto = told.upto;
        b.list.take_all(told.entries, now);
        if is_whole {
            b.list.complete(told.since, upto, now);
        }
        self.hear(who, reader, upto);
    }

    fn hear(&mut self, who: usize, reader: usize, version: Revision) {
        let now = Time::from_micros(self.now_us);
        let b = &mut self.boxes[who];
        let held = b.list.version();
        if b.catch_up.heard(version, held, NameId(reader as u64), address(reader), now) {
            self.at(self.now_us, who, Act::Wake);
        }
    }

    fn wake(&mut self, who: usize) {
        let now = Time::from_micros(self.now_us);
        let b = &mut self.boxes[who];
        let own =
            Own { version: b.list.version(), age: Some(Duration::ZERO), heard: HeardOf::Able };
        let Progress::Behind(step) = b.catch_up.next(own, now) else { return };
        let wait = b.catch_up.wait(own, now).as_micros() as u64;
        let near: Vec<SocketAddr> = b.book.near().collect();
        let source = b.catch_up.source().map(|s| s.origin.0 as usize);
        if step.ask {
            let other = near.get(self.rng.usize(..near.len().max(1))).map(|a| index(*a));
            source.into_iter().chain(other).for_each(|to| self.send(to, Act::Asked { by: who }));
        }
        if let Some(from) = source.filter(|_| step.pull) {
            self.pull(who, from);
        }
        self.at(self.now_us + wait.max(5_000), who, Act::Wake);
    }

    /// Pulls the whole list over a connection, which a lost packet holds up for too long.
    fn pull(&mut self, who: usize, from: usize) {
        if self.rng.f64() < (1.0 - self.loss).powi(PULL_PACKETS) {
            let us = self.now_us + 1_000 * self.rng.u64(PULL_MS.0..PULL_MS.1);
            self.at(us, who, Act::Pulled { from });
        }
    }

    fn take_pulled(&mut self, who: usize, from: usize) {
        let now = Time::from_micros(self.now_us);
        let (version, entries) =
            (self.boxes[from].list.version(), self.boxes[from].list.entries(now));
        self.boxes[who].list.replace(version, entries, Duration::ZERO, now);
    }

    fn act(&mut self, who: usize, act: Act) {
        match act {
            Act::Part { reader, part, send_on } => {
                self.take_part(who, reader, part);
                if send_on {
                    self.send_on(who, &Act::Part { reader, part, send_on: false });
                }
            }
            Act::Beacon { reader, send_on } => {
                self.hear(who, reader, self.told[0].upto);
                if send_on {
                    self.send_on(who, &Act::Beacon { reader, send_on: false });
                }
            }
            Act::Asked { by } => {
                let after = self.boxes[by].list.version();
                let now = Time::from_micros(self.now_us);
                let can_tell = self.boxes[who].list.version() > after
                    && self.boxes[who].list.changes_after(after, now).is_some();
                if can_tell {
                    for part in 0..self.told.len() {
                        // From the box that was asked: its own telling.
                        self.send(by, Act::Part { reader: who, part, send_on: false });
                    }
                }
            }
            Act::Pulled { from } => self.take_pulled(who, from),
            Act::Wake => self.wake(who),
            Act::Speak => {
                self.spread(who, |send_on| Act::Beacon { reader: who, send_on });
                self.at(self.now_us + BEACON_MS * 1_000, who, Act::Speak);
            }
        }
    }

    /// Plays a departure that the readers learn at zero; returns when every box knows,
    /// in ms, if that is within two seconds.
    fn play(&mut self) -> Option<u64> {
        for r in 0..READERS {
            for part in 0..self.told.len() {
                self.take_part(r, r, part);
            }
            let first = if r == 0 { FOLLOW_MS } else { self.rng.u64(..BEACON_MS) };
            self.at(first * 1_000, r, Act::Speak);
        }
        for part in 0..self.told.len() {
            self.spread(0, |send_on| Act::Part { reader: 0, part, send_on });
        }
        let mut ignorant = self.ignorant();
        while let Some(Reverse((us, _, who, act))) = self.due.pop() {
            if us > 2_000_000 {
                return None;
            }
            self.now_us = us;
            let before = self.boxes[who].list.version();
            self.act(who, act);
            if self.boxes[who].list.version() > before {
                ignorant -= 1;
                if ignorant == 0 {
                    return Some(us / 1_000);
                }
            }
        }
        None
    }

    fn ignorant(&self) -> usize {
        self.boxes.iter().filter(|b| b.list.version() <= at(BEFORE)).count()
    }
}

#[rstest]
#[case::small(34, 3, 0.0, 10, 60)]
#[case::small_and_lossy(34, 3, 0.03, 10, 350)]
#[case::small_and_very_lossy(34, 3, 0.3, 10, 1_000)]
#[case::further_grown(106, 3, 0.03, 10, 400)]
#[case::further_grown_and_very_lossy(106, 3, 0.3, 10, 1_000)]
#[case::middling(150, 5, 0.03, 10, 400)]
#[case::large(300, 3, 0.03, 10, 450)]
#[case::large_and_very_lossy(300, 3, 0.3, 10, 1_200)]
#[case::full_size(4_600, 25, 0.03, 1, 600)]
fn every_box_knows_of_a_departure_in_time(
    #[case] n: usize,
    #[case] halls: usize,
    #[case] loss: f64,
    #[case] seeds: u64,
    #[case] within_ms: u64,
) {
    play_seeds(seeds, within_ms, |seed| Fleet::new(n, halls, loss, seed));
}

/// The aim is two seconds, the smallest bound on a table and a departure.
#[rstest]
#[case::small(34, 3, 0.0, 10)]
#[case::small_and_lossy(34, 3, 0.03, 10)]
#[case::small_and_very_lossy(34, 3, 0.3, 10)]
#[case::large(300, 3, 0.03, 10)]
#[case::large_and_very_lossy(300, 3, 0.3, 10)]
#[case::full_size(4_600, 25, 0.03, 1)]
fn every_box_knows_of_a_restored_list_in_time(
    #[case] n: usize,
    #[case] halls: usize,
    #[case] loss: f64,
    #[case] seeds: u64,
) {
    play_seeds(seeds, 2_000, |seed| Fleet::new(n, halls, loss, seed).restored());
}

/// Plays a fleet by each seed, holds the time of its last box against a bound, and prints it.
fn play_seeds(seeds: u64, within_ms: u64, fleet: impl Fn(u64) -> Fleet) {
    let (mut times, mut datagrams) = (Vec::new(), 0);
    let (mut n, mut loss) = (0, 0.0);
    for seed in 0..seeds {
        let mut f = fleet(seed);
        let took = f.play();
        assert!(took.is_some_and(|ms| ms <= within_ms), "seed {seed}: {took:?} of {within_ms} ms");
        times.extend(took);
        datagrams += f.datagrams;
        (n, loss) = (f.boxes.len(), f.loss);
    }
    times.sort_unstable();
    let (middle, last) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{n} boxes, {loss} lost: last box after {middle} ms, {last} ms at most; {} datagrams a box",
        datagrams / seeds / n as u64
    );
}
