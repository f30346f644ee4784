//! Simulates whole fleets that receive a request which crashes its upstreams.
//!
//! Each upstream runs about twenty requests of many boxes, which all fail in a crash and become
//! suspects. Callers of failed requests retry a few times. The caller of the bad request retries
//! forever, on any box. Some updates between boxes are lost.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Crash, Fingerprint, Fingerprints, Quarantine, Restriction};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
/// Delay of updates to the other boxes, in steps.
const ANNOUNCE_STEPS: u64 = 1;
/// Upper bound of the random duration of a request, in steps.
const MAX_WORK: u64 = 80;
/// Steps from the start of the bad request to the crash of its upstream.
const CRASH_STEPS: u64 = 16;
/// Steps that an upstream takes to restart after a crash.
const RESTART_STEPS: u64 = 500;
/// Steps after which a caller retries.
const RETRY_STEPS: u64 = 140;
/// Retries of a caller whose request failed.
const CALLER_RETRIES: u8 = 3;
/// Attempts that a box makes for one request of a caller.
const MAX_ATTEMPTS: u8 = 2;
/// Number of the bad request; every other request has its own number.
const BAD: u64 = 0;

/// Parameters of one simulated run.
#[derive(Clone, Copy)]
struct Params {
    boxes: usize,
    upstreams: usize,
    /// Requests that arrive in each step.
    arrivals: usize,
    /// Share of updates that each box loses.
    loss_rate: f64,
    has_bad: bool,
    /// Crashes that are unrelated to requests, spread evenly over the run.
    crashes: u64,
}

/// A request in flight.
#[derive(Clone, Copy)]
struct InFlight {
    number: u64,
    at_box: usize,
    upstream: usize,
    began: u64,
    done: u64,
    attempts: u8,
    retries_left: u8,
}

/// An arrival of a request at a given step.
#[derive(Clone, Copy)]
struct Arrival {
    number: u64,
    step: u64,
    retries_left: u8,
}

struct Fleet {
    params: Params,
    rng: fastrand::Rng,
    boxes: Vec<Quarantine>,
    back_at: Vec<u64>,
    in_flight: Vec<InFlight>,
    arrivals_due: Vec<Arrival>,
    crashes_caused: usize,
    held: BTreeSet<u64>,
    last_number: u64,
}

/// Result of one simulated run.
struct RunResult {
    /// Crashes caused by the bad request.
    crashes_caused: usize,
    /// Harmless requests that were rejected.
    innocent: usize,
}

fn request(number: u64) -> Fingerprints {
    Fingerprints { caller: Fingerprint(2 * number), content: Fingerprint(2 * number + 1) }
}

fn time(step: u64) -> Time {
    Time::from_millis(1_000 + step * STEP.as_millis() as u64)
}

impl Fleet {
    fn run(params: Params, seed: u64) -> RunResult {
        let mut f = Self {
            params,
            rng: fastrand::Rng::with_seed(seed),
            boxes: (0..params.boxes).map(|_| Quarantine::default()).collect(),
            back_at: vec![0; params.upstreams],
            in_flight: Vec::new(),
            arrivals_due: Vec::new(),
            crashes_caused: 0,
            held: BTreeSet::new(),
            last_number: BAD,
        };
        if params.has_bad {
            f.arrivals_due.push(Arrival { number: BAD, step: 200, retries_left: 0 });
        }
        let steps = 6_000;
        for step in 0..steps {
            for _ in 0..params.arrivals {
                f.last_number += 1;
                f.arrivals_due.push(Arrival {
                    number: f.last_number,
                    step,
                    retries_left: CALLER_RETRIES,
                });
            }
            f.step(step);
            if params.crashes > 0 && step % (steps / params.crashes) == 100 {
                let upstream = f.rng.usize(..params.upstreams);
                f.crash(upstream, step);
            }
        }
        let innocent = f.held.iter().filter(|&&n| n != BAD).count();
        RunResult { crashes_caused: f.crashes_caused, innocent }
    }

    fn step(&mut self, step: u64) {
        let (due, later) =
            std::mem::take(&mut self.arrivals_due).into_iter().partition(|c| c.step <= step);
        self.arrivals_due = later;
        let due: Vec<Arrival> = due;
        due.into_iter().for_each(|c| self.arrive(c, step));
        let is_crashing = |o: &&InFlight| o.number == BAD && step >= o.began + CRASH_STEPS;
        while let Some(upstream) = self.in_flight.iter().find(is_crashing).map(|o| o.upstream) {
            self.crashes_caused += 1;
            self.crash(upstream, step);
        }
        let (done, in_flight): (Vec<InFlight>, Vec<InFlight>) =
            self.in_flight.iter().partition(|o| o.number != BAD && step >= o.done);
        self.in_flight = in_flight;
        for o in done {
            self.boxes[o.at_box].record_success(request(o.number), time(step));
            self.broadcast(o.at_box, step);
        }
    }

    fn arrive(&mut self, c: Arrival, step: u64) {
        let at_box = self.rng.usize(..self.boxes.len());
        let restriction = self.boxes[at_box].restriction(request(c.number), time(step));
        self.broadcast(at_box, step);
        if matches!(restriction, Restriction::Held { .. }) {
            self.held.insert(c.number);
            self.boxes[at_box].record_rejection(request(c.number), time(step));
            self.broadcast(at_box, step);
            self.retry_later(c.number, c.retries_left, step);
            return;
        }
        self.send(InFlight {
            number: c.number,
            at_box,
            upstream: 0,
            began: step,
            done: 0,
            attempts: 0,
            retries_left: c.retries_left,
        });
    }

    /// Sends a request to a random running upstream.
    fn send(&mut self, o: InFlight) {
        let running: Vec<usize> =
            (0..self.back_at.len()).filter(|&u| self.back_at[u] <= o.began).collect();
        if running.is_empty() {
            self.retry_later(o.number, o.retries_left, o.began);
            return;
        }
        let upstream = running[self.rng.usize(..running.len())];
        let done = o.began + self.rng.u64(10..MAX_WORK);
        self.in_flight.push(InFlight { upstream, done, attempts: o.attempts + 1, ..o });
    }

    fn retry_later(&mut self, number: u64, retries_left: u8, step: u64) {
        if number == BAD || retries_left > 0 {
            let retries_left = retries_left.saturating_sub(1);
            self.arrivals_due.push(Arrival { number, step: step + RETRY_STEPS, retries_left });
        }
    }

    fn crash(&mut self, upstream: usize, step: u64) {
        self.back_at[upstream] = step + RESTART_STEPS;
        let (lost, in_flight): (Vec<InFlight>, Vec<InFlight>) =
            self.in_flight.iter().partition(|o| o.upstream == upstream);
        self.in_flight = in_flight;
        for o in lost {
            let end = Crash {
                upstream: NameId(upstream as u64),
                began: time(o.began),
                ended: time(step),
            };
            let now = time(step);
            self.boxes[o.at_box].record_crash(request(o.number), end, now);
            let restriction = self.boxes[o.at_box].restriction(request(o.number), now);
            if restriction < Restriction::NoRetry && o.attempts < MAX_ATTEMPTS {
                self.send(InFlight { began: step, ..o });
            } else {
                self.retry_later(o.number, o.retries_left, step);
            }
            self.broadcast(o.at_box, step);
        }
    }

    /// Delivers the updates of a box to the others.
    fn broadcast(&mut self, from: usize, step: u64) {
        let now = time(step + ANNOUNCE_STEPS);
        for update in self.boxes[from].take_updates() {
            for (i, b) in self.boxes.iter_mut().enumerate() {
                if i != from && self.rng.f64() >= self.params.loss_rate {
                    b.apply_update(update, now);
                }
            }
        }
    }
}

/// A small site: nine upstreams with about twenty requests each.
const SMALL: Params =
    Params { boxes: 36, upstreams: 9, arrivals: 4, loss_rate: 0.0, has_bad: true, crashes: 0 };
/// One service of a fleet with hundreds of boxes.
const LARGE: Params = Params { boxes: 293, upstreams: 40, ..SMALL };
const SEEDS: u64 = 10;

#[rstest]
#[case::small(SMALL, 4)]
#[case::large(LARGE, 4)]
#[case::datagrams_lost(Params { loss_rate: 0.1, ..SMALL }, 5)]
#[case::a_third_lost(Params { loss_rate: 0.3, ..SMALL }, 6)]
fn the_bad_request_crashes_few_upstreams_and_no_other_is_held(
    #[case] params: Params,
    #[case] most: usize,
) {
    let mut innocent = 0;
    for seed in 0..SEEDS {
        let result = Fleet::run(params, seed);
        assert!(
            result.crashes_caused <= most,
            "seed {seed}: {} upstreams crashed",
            result.crashes_caused
        );
        innocent += result.innocent;
    }
    // About 60 requests run concurrently with the bad one in each run.
    assert_eq!(innocent, 0, "harmless requests were held in {SEEDS} runs");
}

#[rstest]
#[case::calm(0)]
#[case::crashes(12)]
#[case::many_crashes(60)]
fn no_request_is_held_without_a_bad_one(#[case] crashes: u64) {
    for seed in 0..SEEDS {
        let result = Fleet::run(Params { has_bad: false, crashes, ..SMALL }, seed);
        assert_eq!(result.innocent, 0, "seed {seed}");
    }
}
