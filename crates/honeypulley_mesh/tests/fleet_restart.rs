//! Simulated return of a whole fleet after a loss of power, at several sizes.
//!
//! Schedules and admission of transfers are those of the product. Links of boxes and of the store
//! are queues; each box has ten upstreams, 3.5 % of the boxes have fast links, and all start within
//! a second. Run with `--nocapture` for the figures.

use honeypulley_mesh::cold_load::{FleetView, PullCandidates, PullSchedule, ReadSchedule};
use honeypulley_mesh::uplink::UplinkLimiter;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::time::Duration;

const HALLS: usize = 5;
const SEEDS: usize = 5;
const READERS: Range<usize> = SEEDS..SEEDS + 3;
const UPSTREAMS_PER_BOX: usize = 10;
const SLOW_MBPS: f64 = 20.0;
const FAST_MBPS: f64 = 1_000.0;
const STORE_MBPS: f64 = 1_000.0;
/// One box in this number has a fast link, if any has.
const FAST_EVERY: usize = 28;
/// Encoded size of an upstream's entry and of a box's record at the store, in bytes.
const STORE_ENTRY_BYTES: u64 = 300;
const RECORD_BYTES: u64 = 250;
/// Compressed size of an entry and of an address in a page, in bytes.
const PAGE_ENTRY_BYTES: u64 = 50;
const PAGE_ADDRESS_BYTES: u64 = 25;
/// Entries in one page of a peer.
const PEER_PAGE: u64 = 1_000;
/// Objects in one page of the store.
const STORE_PAGE: u64 = 400;
/// Time of a call to the store without its transfer.
const STORE_CALL: Duration = Duration::from_millis(8);
/// Time for connecting to a peer, login and a request.
const PEER_CALL: Duration = Duration::from_millis(15);
/// Time of a further request over the same connection.
const NEXT_CALL: Duration = Duration::from_millis(3);
/// Time after which the first readers have been elected.
const READERS_AT: Duration = Duration::from_millis(1_500);
/// Time within which service has to be back in the strictest deployment.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

fn address(i: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + i as u32), 7000).into()
}

fn index(a: SocketAddr) -> usize {
    let SocketAddr::V4(a) = a else { panic!("all addresses are IPv4") };
    (u32::from(*a.ip()) - 0x0a00_0000) as usize
}

/// A link that sends one message after the other.
#[derive(Clone, Copy)]
struct Link {
    mbps: f64,
    free_at: Time,
}

impl Link {
    const fn new(mbps: f64) -> Self {
        Self { mbps, free_at: Time::ZERO }
    }

    /// Queues a message; returns when it has been sent.
    fn send(&mut self, bytes: u64, now: Time) -> Time {
        let start = now.max(self.free_at);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 * 8.0 / (self.mbps * 1e6));
        self.free_at
    }
}

struct SimBox {
    started: Time,
    known: Vec<usize>,
    has_book: bool,
    has_list: bool,
    /// Pages of the list received from peers.
    pages: u64,
    is_receiving: bool,
    is_reading: bool,
    reads: ReadSchedule,
    pulls: PullSchedule,
    uplink: UplinkLimiter,
    link: Link,
    down: Link,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll,
    Asked { by: usize, is_admitted: bool },
    Book,
    ListPart { left: u64, by_reader: bool },
    Page { from: usize },
}

struct Fleet {
    boxes: Vec<SimBox>,
    has_fast_links: bool,
    store: Link,
    store_bytes: u64,
    list_reads: usize,
    is_announced: bool,
    due: BinaryHeap<Reverse<(Time, u64, usize, Event)>>,
    sequence: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(boxes: usize, has_fast_links: bool, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let new_box = |i: usize| {
            let is_fast = has_fast_links && i.is_multiple_of(FAST_EVERY);
            let mbps = if is_fast { FAST_MBPS } else { SLOW_MBPS };
            SimBox {
                started: Time::from_millis(rng.u64(..1_000)),
                known: Vec::new(),
                has_book: false,
                has_list: false,
                pages: 0,
                is_receiving: false,
                is_reading: false,
                reads: ReadSchedule::default(),
                pulls: PullSchedule::default(),
                uplink: UplinkLimiter::new(Some(mbps)),
                link: Link::new(mbps),
                down: Link::new(mbps),
            }
        };
        let boxes = (0..boxes).map(new_box).collect();
        let (store, due) = (Link::new(STORE_MBPS), BinaryHeap::new());
        let mut fleet = Self {
            boxes,
            has_fast_links,
            store,
            store_bytes: 0,
            list_reads: 0,
            is_announced: false,
            due,
            sequence: 0,
            rng,
        };
        for i in 0..fleet.boxes.len() {
            fleet.schedule(fleet.boxes[i].started, i, Event::Poll);
        }
        for i in READERS {
            let left = fleet.upstreams();
            fleet.schedule(Time::ZERO + READERS_AT, i, Event::ListPart { left, by_reader: true });
        }
        fleet
    }

    fn upstreams(&self) -> u64 {
        (self.boxes.len() * UPSTREAMS_PER_BOX) as u64
    }

    fn schedule(&mut self, at: Time, who: usize, event: Event) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, who, event)));
    }

    fn send_from_store(&mut self, bytes: u64, now: Time) -> Time {
        self.store_bytes += bytes;
        self.store.send(bytes, now) + STORE_CALL
    }

    /// Runs until all boxes have the list; returns when 99 in 100 have it, and when all have.
    fn run(&mut self) -> (Duration, Duration) {
        let (mut most, total) = (None, self.boxes.len());
        let mut with_list = 0;
        while let Some(Reverse((now, _, who, event))) = self.due.pop() {
            assert!(now < Time::from_millis(120_000), "{with_list} of {total} boxes have the list");
            let before = self.boxes[who].has_list;
            self.handle(who, event, now);
            with_list += usize::from(self.boxes[who].has_list && !before);
            if with_list * 100 >= total * 99 {
                most.get_or_insert(now);
            }
            if with_list == total {
                return (most.unwrap_or(now).since(Time::ZERO), now.since(Time::ZERO));
            }
        }
        panic!("the boxes stopped asking");
    }

    fn handle(&mut self, who: usize, event: Event, now: Time) {
        match event {
            Event::Poll => self.poll(who, now),
            Event::Asked { by, is_admitted } => self.answer(who, by, is_admitted, now),
            Event::Book => self.boxes[who].has_book = true,
            Event::ListPart { left, by_reader } => self.read_page(who, left, by_reader, now),
            Event::Page { from } => self.receive_page(who, from, now),
        }
    }

    /// Lets a box act on its schedules.
    fn poll(&mut self, who: usize, now: Time) {
        let (total, upstreams, announced) = (self.boxes.len(), self.upstreams(), self.is_announced);
        let b = &mut self.boxes[who];
        if b.has_book && b.has_list {
            return;
        }
        let age = Time::ZERO + now.since(b.started);
        if who < SEEDS && now == b.started {
            let at = self.send_from_store(total as u64 * RECORD_BYTES, now);
            self.schedule(at, who, Event::Book);
        }
        let b = &mut self.boxes[who];
        let view = FleetView {
            boxes: b.has_book.then_some(total),
            fast: if self.has_fast_links { total / FAST_EVERY } else { 0 },
            has_fast_link: b.link.mbps > SLOW_MBPS,
            is_list_announced: announced,
        };
        if !b.has_list && !b.is_reading && b.reads.poll(view, self.rng.f64(), age) {
            b.is_reading = true;
            self.list_reads += 1;
            self.schedule(now, who, Event::ListPart { left: upstreams, by_reader: false });
        }
        let b = &mut self.boxes[who];
        if b.pulls.poll(self.rng.f64(), age) && !b.is_receiving {
            let peer = self.choose_peer(who);
            if peer != who {
                self.schedule(now + PEER_CALL, peer, Event::Asked { by: who, is_admitted: false });
            }
        }
        let b = &self.boxes[who];
        let wait = b.pulls.wait(age).max(Duration::from_millis(5));
        self.schedule(now + wait, who, Event::Poll);
    }

    /// Chooses the box to ask, as the product does with what the box knows.
    fn choose_peer(&mut self, who: usize) -> usize {
        let (total, hall) = (self.boxes.len(), who % HALLS);
        let in_hall = (hall..total).step_by(HALLS).filter(|i| *i != who);
        let (fast, peers): (Vec<usize>, Vec<usize>) = if self.boxes[who].has_book {
            let is_fast = |i: &usize| self.boxes[*i].link.mbps > SLOW_MBPS;
            (in_hall.clone().filter(is_fast).collect(), in_hall.collect())
        } else {
            (Vec::new(), self.boxes[who].known.iter().copied().chain(0..SEEDS).collect())
        };
        let announced = self.is_announced.then(|| self.rng.usize(READERS));
        let candidates = PullCandidates {
            boxes: if self.boxes[who].has_book { total } else { peers.len() },
            origin: announced.map(address),
            fast: fast.into_iter().map(address).collect(),
            peers: peers.into_iter().map(address).collect(),
        };
        candidates.choose(&mut self.rng).map_or(who, index)
    }

    /// Answers a box that lacks the address book or pages of the list.
    fn answer(&mut self, who: usize, by: usize, is_admitted: bool, now: Time) {
        let (total, total_pages) = (self.boxes.len(), self.total_pages());
        let sample: Vec<usize> = (0..8).map(|_| self.rng.usize(..total)).collect();
        if now < self.boxes[who].started {
            return;
        }
        let needs_book = !self.boxes[by].has_book;
        let b = &mut self.boxes[who];
        if needs_book {
            if !b.has_book || !b.uplink.admit_page(total, false, now) {
                let known = if b.has_book { sample } else { b.known.clone() };
                self.boxes[by].known.extend(known);
                return;
            }
            let at = self.transfer(who, by, total as u64 * PAGE_ADDRESS_BYTES, now);
            self.schedule(at, by, Event::Book);
            return;
        }
        let wanted = self.boxes[by].pages;
        let is_wanted = !self.boxes[by].has_list && (is_admitted || !self.boxes[by].is_receiving);
        let b = &mut self.boxes[who];
        let held = if b.has_list { total_pages } else { b.pages };
        let entries = PEER_PAGE as usize;
        if is_wanted && held > wanted && b.uplink.admit_page(entries, is_admitted, now) {
            self.boxes[by].is_receiving = true;
            let at = self.transfer(who, by, PEER_PAGE * PAGE_ENTRY_BYTES, now);
            self.schedule(at, by, Event::Page { from: who });
        } else if is_admitted {
            self.boxes[by].is_receiving = false;
        }
    }

    /// Adds a page and requests the next one from the same peer.
    fn receive_page(&mut self, who: usize, from: usize, now: Time) {
        let total_pages = self.total_pages();
        let b = &mut self.boxes[who];
        b.pages += 1;
        if b.pages == total_pages {
            (b.has_list, b.is_receiving) = (true, false);
            return;
        }
        self.schedule(now + NEXT_CALL, from, Event::Asked { by: who, is_admitted: true });
    }

    fn total_pages(&self) -> u64 {
        self.upstreams().div_ceil(PEER_PAGE)
    }

    fn transfer(&mut self, from: usize, to: usize, bytes: u64, now: Time) -> Time {
        let sent = self.boxes[from].link.send(bytes, now);
        sent.max(self.boxes[to].down.send(bytes, now))
    }

    /// Reads the next page of the list from the store.
    fn read_page(&mut self, who: usize, left: u64, by_reader: bool, now: Time) {
        if left == 0 {
            self.is_announced |= by_reader;
            self.boxes[who].has_list = true;
            return;
        }
        let bytes = left.min(STORE_PAGE) * STORE_ENTRY_BYTES;
        let sent = self.send_from_store(bytes, now);
        let at = sent.max(self.boxes[who].down.send(bytes, now));
        let left = left.saturating_sub(STORE_PAGE);
        self.schedule(at, who, Event::ListPart { left, by_reader });
    }
}

/// Guards against a recovery time that grows with the number of boxes times the upstreams.
#[rstest]
#[case(100, true)]
#[case(300, true)]
#[case(987, true)]
#[case(1_974, true)]
#[case(4_600, true)]
#[case::no_fast_links(987, false)]
fn a_fleet_of_any_size_has_its_lists_back_in_time(
    #[case] boxes: usize,
    #[case] has_fast_links: bool,
) {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(boxes, has_fast_links, seed);
        let (most, all) = fleet.run();
        println!(
            "{boxes} boxes, fast links: {has_fast_links}, seed {seed}: 99 in 100 after {most:?}, \
             all after {all:?}, {} MB from the store, {} reads beside the readers",
            fleet.store_bytes / 1_000_000,
            fleet.list_reads
        );
        assert!(most < RECOVERY_LIMIT, "{boxes} boxes, seed {seed}: {most:?}");
    }
}
