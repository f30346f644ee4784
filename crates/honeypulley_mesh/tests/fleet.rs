//! Simulated propagation time of departures and restored lists to a whole fleet.
//!
//! The lists, reassembly, address books and catch-up logic are those of the product. The
//! transport is a model of `peers`: a reader sends to its own data hall and to three boxes of
//! each other one, which forward the datagrams. Links have no limit unless a test sets one. Run with
//! `--nocapture` for the figures.

use honeypulley_mesh::book::AddressBook;
use honeypulley_mesh::catch_up::{CatchUp, LocalList, Progress, ReaderContact};
use honeypulley_mesh::list::UpstreamList;
use honeypulley_mesh::reassembly::Reassembler;
use honeypulley_mesh::uplink::UplinkLimiter;
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
/// Size of a datagram with a fragment, and of any other one, in bytes.
const FRAGMENT_BYTES: u64 = 900;
const SMALL_BYTES: u64 = 90;
/// Number of entries in a full list, and its size in bytes.
const LIST_ENTRIES: usize = 480;
const LIST_BYTES: u64 = 48_000;
/// Time within which a change must reach every box in the strictest deployment, in ms.
const PROPAGATION_LIMIT_MS: u64 = 2_000;
/// Time for which a datagram may wait for its sender's link, in ms; after that the box counts as slowed.
const MAX_LINK_WAIT_MS: u64 = 500;
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
    uplink: UplinkLimiter,
    /// When the link has sent everything queued so far.
    link_free_us: u64,
}

struct Fleet {
    boxes: Vec<SimBox>,
    fragments: Vec<ListUpdate>,
    due: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    loss: f64,
    /// Bandwidth of each box's link in Mbit/s, if limited.
    link_mbps: Option<f64>,
    /// Longest time that a datagram waited for its sender's link.
    longest_wait_us: u64,
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
            .map(|i| BoxAddress {
                id: NameId(i as u64),
                addr: address(i),
                hall: hall(i),
                relay_port: None,
                fast_link: false,
            })
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
            SimBox {
                list,
                reassembler: Reassembler::default(),
                catch_up: CatchUp::default(),
                book,
                uplink: UplinkLimiter::new(None),
                link_free_us: 0,
            }
        };
        let entries: Vec<Entry> = (0..LEAVING).map(|i| entry(i, at(BEFORE + 1 + i))).collect();
        let fragments =
            ListUpdate::split(at(BEFORE), at(BEFORE + LEAVING), Duration::ZERO, &entries);
        Self {
            boxes: (0..n).map(sim_box).collect(),
            fragments: fragments.expect("the entries fit into one update"),
            due: BinaryHeap::new(),
            loss,
            link_mbps: None,
            longest_wait_us: 0,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            sequence: 0,
            datagrams: 0,
        }
    }

    /// Limits the links, and makes the readers broadcast a change of `n` upstreams.
    fn with_links(mut self, mbps: f64, n: u64) -> Self {
        self.link_mbps = Some(mbps);
        self.boxes.iter_mut().for_each(|b| b.uplink = UplinkLimiter::new(Some(mbps)));
        let entries: Vec<Entry> = (0..n).map(|i| entry(i, at(BEFORE + 1 + i))).collect();
        let fragments = ListUpdate::split(at(BEFORE), at(BEFORE + n), Duration::ZERO, &entries);
        self.fragments = fragments.expect("the entries fit into one update");
        self
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

    /// Queues data on the link of a box; returns when it has been sent.
    fn transmit(&mut self, from: usize, bytes: u64) -> u64 {
        let Some(mbps) = self.link_mbps else { return self.now_us };
        let link = &mut self.boxes[from].link_free_us;
        let start = self.now_us.max(*link);
        *link = start + (bytes as f64 * 8.0 / mbps) as u64;
        self.longest_wait_us = self.longest_wait_us.max(start - self.now_us);
        *link
    }

    /// Sends one datagram, which its receiver processes 0.5 to 20.5 ms later unless it is lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.datagrams += 1;
        let is_fragment = matches!(event, Event::Fragment { .. });
        let sent = self.transmit(from, if is_fragment { FRAGMENT_BYTES } else { SMALL_BYTES });
        if self.rng.f64() < self.loss {
            return;
        }
        let us = sent + 500 + self.rng.u64(..20_000);
        self.schedule(us, to, event);
    }

    fn broadcast(&mut self, from: usize, event: impl Fn(bool) -> Event) {
        let now = Time::from_micros(self.now_us);
        let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let far = self.boxes[from].book.forwarders(FORWARDERS, now, &mut rng);
        let near: Vec<SocketAddr> = self.boxes[from].book.hall_addresses().collect();
        far.into_iter().for_each(|a| self.send(from, index(a), event(true)));
        near.into_iter().for_each(|a| self.send(from, index(a), event(false)));
    }

    fn forward(&mut self, from: usize, event: &Event) {
        let near: Vec<SocketAddr> = self.boxes[from].book.hall_addresses().collect();
        near.into_iter().for_each(|a| self.send(from, index(a), event.clone()));
    }

    fn receive_fragment(&mut self, who: usize, reader: usize, fragment: usize) {
        let now = Time::from_micros(self.now_us);
        let update = self.fragments[fragment].clone();
        let b = &mut self.boxes[who];
        let is_complete = b.reassembler.add(NameId(reader as u64), &update);
        let (upto, parts) = (update.upto, update.parts);
        b.list.apply_entries(update.entries, now);
        if is_complete {
            b.list.mark_complete(update.since, upto, now);
        }
        self.record_announcement(who, reader, upto);
        if !is_complete {
            self.boxes[who].catch_up.record_fragment(parts, now);
        }
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
            let to = source.into_iter().chain(other);
            to.for_each(|to| self.send(who, to, Event::Asked { by: who }));
        }
        if let Some(from) = source.filter(|_| actions.pull) {
            self.pull(who, from);
        }
        self.schedule(self.now_us + wait.max(5_000), who, Event::Wake);
    }

    /// Pulls the full list over a connection; a lost packet delays the pull too long to be useful.
    fn pull(&mut self, who: usize, from: usize) {
        let now = Time::from_micros(self.now_us);
        let is_answered = self.boxes[from].uplink.admit(LIST_ENTRIES, now);
        if is_answered && self.rng.f64() < (1.0 - self.loss).powi(PULL_PACKETS) {
            let sent = self.transmit(from, LIST_BYTES);
            let us = sent + 1_000 * self.rng.u64(PULL_MS.0..PULL_MS.1);
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
                let entries = self.fragments.iter().map(|f| f.entries.len()).sum();
                if can_answer && self.boxes[who].uplink.admit(entries, now) {
                    for fragment in 0..self.fragments.len() {
                        // The answering box sends an update of its own.
                        let event = Event::Fragment { reader: who, fragment, forward: false };
                        self.send(who, by, event);
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

/// Guards against a saturated reader's link, since the fleet requests a change that is still being sent.
#[rstest]
#[case::large_release(293, 5, 20.0, 0.0, 50)]
#[case::largest_update(293, 5, 20.0, 0.0, 96)]
#[case::largest_update_and_lossy(293, 5, 20.0, 0.03, 96)]
#[case::largest_update_of_a_smaller_fleet(106, 3, 20.0, 0.03, 96)]
fn a_large_change_does_not_fill_the_readers_link(
    #[case] n: usize,
    #[case] halls: usize,
    #[case] mbps: f64,
    #[case] loss: f64,
    #[case] changed: u64,
) {
    for seed in 0..5 {
        let mut f = Fleet::new(n, halls, loss, seed).with_links(mbps, changed);
        let took = f.run();
        let waited = f.longest_wait_us / 1_000;
        println!(
            "{n} boxes, {changed} entries, seed {seed}: {took:?} ms, a datagram waited {waited} ms"
        );
        assert!(took.is_some_and(|ms| ms <= PROPAGATION_LIMIT_MS), "seed {seed}: took {took:?}");
        assert!(waited <= MAX_LINK_WAIT_MS, "seed {seed}: a datagram waited {waited} ms");
    }
}

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
    run_seeds(seeds, PROPAGATION_LIMIT_MS, |seed| Fleet::new(n, halls, loss, seed).restored());
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
