//! Simulated propagation time of departures and restored lists to a whole fleet.
//!
//! The lists, reassembly, address books and catch-up logic are those of the product. The
//! transport is a model of `peers`: a reader sends to its own data hall and to three boxes of
//! each other one, which forward the datagrams. Run with `--nocapture` for the figures.

use honeypulley_mesh::book::AddressBook;
use honeypulley_mesh::catch_up::{CatchUp, LocalList, Progress, ReaderContact};
use honeypulley_mesh::list::UpstreamList;
use honeypulley_mesh::told::Reassembler;
use honeypulley_peer::codec::ListUpdate;
use honeypulley_peer::listing::{BoxAddress, Entry, EntryState};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Number of boxes that read the platform and broadcast its changes.
const READERS: usize = 3;
/// Interval between beacons of a reader, in ms.
const BEACON_MS: u64 = 500;
/// Delay from a broadcast change to its follow-up beacon, in ms.
const FOLLOW_UP_MS: u64 = 150;
/// Number of boxes per remote data hall that forward datagrams.
const FORWARDERS: usize = 3;
/// Number of upstreams that leave at once, which takes two fragments.
const LEAVING: u64 = 8;
/// Number of upstreams in a restored list, which takes eight fragments.
const RESTORED: u64 = 48;
/// Number of packets in a pull over a connection, each of which must arrive.
const PULL_PACKETS: i32 = 6;
/// Bounds of the duration of a pull, in ms.
const PULL_MS: (u64, u64) = (40, 330);
/// Version of every list at the start.
const BEFORE: u64 = 10;

/// An event at one box.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Fragment { reader: usize, fragment: usize, forward: bool },
    Beacon { reader: usize, forward: bool },
    Asked { by: usize },
    Pulled { from: usize },
    Wake,
    SendBeacon,
}

struct SimBox {
    list: UpstreamList,
    reassembler: Reassembler,
    catch_up: CatchUp,
    book: AddressBook,
}

struct Fleet {
    boxes: Vec<SimBox>,
    fragments: Vec<ListUpdate>,
    due: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    loss: f64,
    rng: fastrand::Rng,
    now_us: u64,
    sequence: u64,
    datagrams: u64,
}

fn address(i: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + i as u32), 7).into()
}

fn index(a: SocketAddr) -> usize {
    let SocketAddr::V4(a) = a else { panic!("all addresses are IPv4") };
    (u32::from(*a.ip()) - 0x0a00_0000) as usize
}

/// A revision in the only epoch of these tests.
const fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

fn entry(i: u64, version: Revision) -> Entry {
    let state = EntryState::Gone { hold: Duration::ZERO };
    Entry { name: format!("u{i}"), version, state }
}

impl Fleet {
    /// Creates a fleet of `n` boxes in `halls` data halls.
    ///
    /// All boxes start with version 10 of the list.
    /// The first three boxes, each in a data hall of its own, are the readers.
    fn new(n: usize, halls: usize, loss: f64, seed: u64) -> Self {
        let hall = |i: usize| format!("hall-{}", i % halls);
        let known: Vec<BoxAddress> = (0..n)
            .map(|i| BoxAddress { id: NameId(i as u64), addr: address(i), hall: hall(i) })
            .collect();
        let sim_box = |i: usize| {
            let mut book = AddressBook::new(NameId(i as u64), &hall(i));
            // Only readers know boxes of other data halls, to limit memory use.
            let near = |b: &&BoxAddress| i < READERS || b.hall == hall(i);
            known.iter().filter(near).for_each(|b| {
                book.upsert(b.clone());
            });
            let mut list = UpstreamList::default();
            list.replace(at(BEFORE), vec![entry(99, at(BEFORE))], Duration::ZERO, Time::ZERO);
            SimBox { list, reassembler: Reassembler::default(), catch_up: CatchUp::default(), book }
        };
        let entries: Vec<Entry> = (0..LEAVING).map(|i| entry(i, at(BEFORE + 1 + i))).collect();
        let fragments =
            ListUpdate::split(at(BEFORE), at(BEFORE + LEAVING), Duration::ZERO, &entries);
        Self {
            boxes: (0..n).map(sim_box).collect(),
            fragments: fragments.expect("the entries fit into one update"),
            due: BinaryHeap::new(),
            loss,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            sequence: 0,
            datagrams: 0,
        }
    }

    /// Makes the readers broadcast a full list of the next epoch, with lower numbers.
    fn restored(mut self) -> Self {
        let position = |number| Revision::new(2, number);
        let entries: Vec<Entry> = (0..RESTORED).map(|i| entry(i, position(i % BEFORE))).collect();
        let fragments =
            ListUpdate::split(Revision::ZERO, position(BEFORE - 1), Duration::ZERO, &entries);
        self.fragments = fragments.expect("the entries fit into one update");
        self
    }

    fn schedule(&mut self, us: u64, who: usize, event: Event) {
        self.sequence += 1;
        self.due.push(Reverse((us, self.sequence, who, event)));
    }

    /// Sends one datagram, which its receiver processes 0.5 to 20.5 ms later unless it is lost.
    fn send(&mut self, to: usize, event: Event) {
        self.datagrams += 1;
        if self.rng.f64() < self.loss {
            return;
        }
        let us = self.now_us + 500 + self.rng.u64(..20_000);
        self.schedule(us, to, event);
    }

    fn broadcast(&mut self, from: usize, event: impl Fn(bool) -> Event) {
        let now = Time::from_micros(self.now_us);
        let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let far = self.boxes[from].book.forwarders(FORWARDERS, now, &mut rng);
        let near: Vec<SocketAddr> = self.boxes[from].book.hall_addresses().collect();
        far.into_iter().for_each(|a| self.send(index(a), event(true)));
        near.into_iter().for_each(|a| self.send(index(a), event(false)));
    }

    fn forward(&mut self, from: usize, event: &Event) {
        let near: Vec<SocketAddr> = self.boxes[from].book.hall_addresses().collect();
        near.into_iter().for_each(|a| self.send(index(a), event.clone()));
    }

    fn receive_fragment(&mut self, who: usize, reader: usize, fragment: usize) {
        let now = Time::from_micros(self.now_us);
        let update = self.fragments[fragment].clone();
        let b = &mut self.boxes[who];
        let is_complete = b.reassembler.add(NameId(reader as u64), &update);
        let upto = update.upto;
        b.list.apply_entries(update.entries, now);
        if is_complete {
            b.list.mark_complete(update.since, upto, now);
        }
        self.record_announcement(who, reader, upto);
    }

    fn record_announcement(&mut self, who: usize, reader: usize, version: Revision) {
        let now = Time::from_micros(self.now_us);
        let b = &mut self.boxes[who];
        let held = b.list.version();
        if b.catch_up.record_announcement(
            version,
            held,
            NameId(reader as u64),
            address(reader),
            now,
        ) {
            self.schedule(self.now_us, who, Event::Wake);
        }
    }

    fn wake(&mut self, who: usize) {
        let now = Time::from_micros(self.now_us);
        let b = &mut self.boxes[who];
        let local = LocalList {
            version: b.list.version(),
            age: Some(Duration::ZERO),
            readers: ReaderContact::Able,
        };
        let Progress::Behind(actions) = b.catch_up.poll(local, now) else { return };
        let wait = b.catch_up.wait(local, now).as_micros() as u64;
        let near: Vec<SocketAddr> = b.book.hall_addresses().collect();
        let source = b.catch_up.source().map(|s| s.origin.0 as usize);
        if actions.ask {
            let other = near.get(self.rng.usize(..near.len().max(1))).map(|a| index(*a));
            source.into_iter().chain(other).for_each(|to| self.send(to, Event::Asked { by: who }));
        }
        if let Some(from) = source.filter(|_| actions.pull) {
            self.pull(who, from);
        }
        self.schedule(self.now_us + wait.max(5_000), who, Event::Wake);
    }

    /// Pulls the full list over a connection; a lost packet delays the pull too long to be useful.
    fn pull(&mut self, who: usize, from: usize) {
        if self.rng.f64() < (1.0 - self.loss).powi(PULL_PACKETS) {
            let us = self.now_us + 1_000 * self.rng.u64(PULL_MS.0..PULL_MS.1);
            self.schedule(us, who, Event::Pulled { from });
        }
    }

    fn apply_pulled(&mut self, who: usize, from: usize) {
        let now = Time::from_micros(self.now_us);
        let (version, entries) =
            (self.boxes[from].list.version(), self.boxes[from].list.entries(now));
        self.boxes[who].list.replace(version, entries, Duration::ZERO, now);
    }

    fn handle(&mut self, who: usize, event: Event) {
        match event {
            Event::Fragment { reader, fragment, forward } => {
                self.receive_fragment(who, reader, fragment);
                if forward {
                    self.forward(who, &Event::Fragment { reader, fragment, forward: false });
                }
            }
            Event::Beacon { reader, forward } => {
                self.record_announcement(who, reader, self.fragments[0].upto);
                if forward {
                    self.forward(who, &Event::Beacon { reader, forward: false });
                }
            }
            Event::Asked { by } => {
                let after = self.boxes[by].list.version();
                let now = Time::from_micros(self.now_us);
                let can_answer = self.boxes[who].list.version() > after
                    && self.boxes[who].list.changes_after(after, now).is_some();
                if can_answer {
                    for fragment in 0..self.fragments.len() {
                        // The answering box sends an update of its own.
                        self.send(by, Event::Fragment { reader: who, fragment, forward: false });
                    }
                }
            }
            Event::Pulled { from } => self.apply_pulled(who, from),
            Event::Wake => self.wake(who),
            Event::SendBeacon => {
                self.broadcast(who, |forward| Event::Beacon { reader: who, forward });
                self.schedule(self.now_us + BEACON_MS * 1_000, who, Event::SendBeacon);
            }
        }
    }

    /// Simulates a change that the readers receive at time zero.
    ///
    /// Returns the time in ms at which the last box has it, if within two seconds.
    fn run(&mut self) -> Option<u64> {
        for r in 0..READERS {
            for fragment in 0..self.fragments.len() {
                self.receive_fragment(r, r, fragment);
            }
            let first = if r == 0 { FOLLOW_UP_MS } else { self.rng.u64(..BEACON_MS) };
            self.schedule(first * 1_000, r, Event::SendBeacon);
        }
        for fragment in 0..self.fragments.len() {
            self.broadcast(0, |forward| Event::Fragment { reader: 0, fragment, forward });
        }
        let mut outdated = self.outdated();
        while let Some(Reverse((us, _, who, event))) = self.due.pop() {
            if us > 2_000_000 {
                return None;
            }
            self.now_us = us;
            let before = self.boxes[who].list.version();
            self.handle(who, event);
            if self.boxes[who].list.version() > before {
                outdated -= 1;
                if outdated == 0 {
                    return Some(us / 1_000);
                }
            }
        }
        None
    }

    fn outdated(&self) -> usize {
        self.boxes.iter().filter(|b| b.list.version() <= at(BEFORE)).count()
    }
}

#[rstest]
#[case::small(34, 3, 0.0, 10, 60)]
#[case::small_and_lossy(34, 3, 0.03, 10, 350)]
#[case::small_and_very_lossy(34, 3, 0.3, 10, 1_000)]
#[case::further_grown(106, 3, 0.03, 10, 400)]
#[case::further_grown_and_very_lossy(106, 3, 0.3, 10, 1_000)]
#[case::medium(150, 5, 0.03, 10, 400)]
#[case::large(300, 3, 0.03, 10, 450)]
#[case::large_and_very_lossy(300, 3, 0.3, 10, 1_200)]
#[case::full_size(4_600, 25, 0.03, 1, 600)]
fn a_departure_reaches_every_box_in_time(
    #[case] n: usize,
    #[case] halls: usize,
    #[case] loss: f64,
    #[case] seeds: u64,
    #[case] limit_ms: u64,
) {
    run_seeds(seeds, limit_ms, |seed| Fleet::new(n, halls, loss, seed));
}

/// In the strictest deployment, a table or a departure must reach every box within two seconds.
#[rstest]
#[case::small(34, 3, 0.0, 10)]
#[case::small_and_lossy(34, 3, 0.03, 10)]
#[case::small_and_very_lossy(34, 3, 0.3, 10)]
#[case::large(300, 3, 0.03, 10)]
#[case::large_and_very_lossy(300, 3, 0.3, 10)]
#[case::full_size(4_600, 25, 0.03, 1)]
fn a_restored_list_reaches_every_box_in_time(
    #[case] n: usize,
    #[case] halls: usize,
    #[case] loss: f64,
    #[case] seeds: u64,
) {
    run_seeds(seeds, 2_000, |seed| Fleet::new(n, halls, loss, seed).restored());
}

/// Simulates a fleet for each seed and checks the time of its last box.
fn run_seeds(seeds: u64, limit_ms: u64, fleet: impl Fn(u64) -> Fleet) {
    let (mut times, mut datagrams) = (Vec::new(), 0);
    let (mut n, mut loss) = (0, 0.0);
    for seed in 0..seeds {
        let mut f = fleet(seed);
        let took = f.run();
        assert!(
            took.is_some_and(|ms| ms <= limit_ms),
            "seed {seed}: took {took:?}, limit {limit_ms} ms"
        );
        times.extend(took);
        datagrams += f.datagrams;
        (n, loss) = (f.boxes.len(), f.loss);
    }
    times.sort_unstable();
    let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{n} boxes, loss {loss}: last box after {median} ms (median), {last} ms (maximum); \
         {} datagrams per box",
        datagrams / seeds / n as u64
    );
}
