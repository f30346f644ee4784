//! Who reads the store, played in simulated time.

use honeypulley_mesh::readers::{BEACON_GAP, Readers, WANTED};
use honeypulley_peer::codec::Beacon;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Step of the simulated time, in milliseconds.
const STEP: u64 = 50;

/// The beacon of a reader.
fn beacon(read_age: Duration, unable: bool) -> Beacon {
    let list = Revision::new(1, 1);
    Beacon {
        table: 1,
        list,
        epoch: 1,
        restored: false,
        reader: true,
        read_age,
        unable,
        list_age: read_age,
    }
}

/// A fleet whose beacons reach all boxes that are not cut off.
struct Fleet {
    boxes: Vec<Readers>,
    /// Boxes that hear nobody and are heard by nobody.
    cut: Vec<bool>,
    /// Boxes that the store answers.
    served: Vec<bool>,
    rng: fastrand::Rng,
    now: u64,
}

impl Fleet {
    fn new(n: usize, seed: u64) -> Self {
        let boxes = (0..n).map(|i| Readers::new(NameId(i as u64 + 1))).collect();
        let rng = fastrand::Rng::with_seed(seed);
        Self { boxes, cut: vec![false; n], served: vec![true; n], rng, now: 0 }
    }

    fn play(&mut self, ms: u64) {
        for _ in 0..ms / STEP {
            self.now += STEP;
            let now = Time::from_millis(self.now);
            let n = self.boxes.len();
            for i in 0..n {
                // A watch of a second, an answer each 250 ms to keep the steps even.
                if self.boxes[i].is_reading() && self.served[i] && self.now.is_multiple_of(1_000) {
                    self.boxes[i].answered(now);
                }
                let due = (self.now + i as u64 * STEP).is_multiple_of(250);
                if due {
                    let draw = self.rng.f64();
                    self.boxes[i].decide(n, draw, now);
                }
                let beacon = self.now.is_multiple_of(BEACON_GAP.as_millis() as u64);
                if beacon && self.boxes[i].is_reading() && !self.cut[i] {
                    self.beacon(i, now);
                }
            }
        }
    }

    fn beacon(&mut self, i: usize, now: Time) {
        let beacon = beacon(self.boxes[i].read_age(now), self.boxes[i].is_unable());
        for j in (0..self.boxes.len()).filter(|j| *j != i) {
            if !self.cut[j] {
                self.boxes[j].heard(NameId(i as u64 + 1), &beacon, now);
            }
        }
    }

    /// Boxes that read and that the store answers.
    fn useful(&self) -> usize {
        let is = |i: &usize| self.boxes[*i].is_reading() && self.served[*i] && !self.cut[*i];
        (0..self.boxes.len()).filter(is).count()
    }

    fn reading(&self) -> Vec<usize> {
        (0..self.boxes.len()).filter(|i| self.boxes[*i].is_reading()).collect()
    }
}

#[rstest]
#[case(36)]
#[case(136)]
fn a_few_boxes_read_whatever_the_fleets_size(#[case] n: usize) {
    for seed in 0..20 {
        let mut f = Fleet::new(n, seed);
        f.play(6_000);
        assert!((WANTED..=WANTED + 1).contains(&f.useful()), "seed {seed}: {:?}", f.reading());
    }
}

#[test]
fn readers_that_die_are_replaced_within_two_and_a_half_seconds() {
    for seed in 0..20 {
        let mut f = Fleet::new(36, seed);
        f.play(6_000);
        for i in f.reading() {
            f.cut[i] = true;
        }
        f.play(2_500);
        assert!(f.useful() >= 1, "seed {seed}: nobody reads");
        f.play(2_500);
        assert!(f.useful() >= WANTED, "seed {seed}: {} read", f.useful());
    }
}

#[test]
fn readers_that_the_store_turns_away_are_replaced_though_their_beacons_go_on() {
    for seed in 0..20 {
        let mut f = Fleet::new(36, seed);
        f.play(6_000);
        for i in f.reading() {
            f.served[i] = false;
        }
        f.play(5_000);
        assert!(f.useful() >= 1, "seed {seed}: nobody useful reads");
        f.play(5_000);
        assert!(f.useful() >= WANTED, "seed {seed}: {} read", f.useful());
    }
}

#[test]
fn a_third_of_the_boxes_turned_away_leaves_enough_readers() {
    for seed in 0..20 {
        let mut f = Fleet::new(36, seed);
        f.play(6_000);
        for i in 0..12 {
            f.served[i] = false;
        }
        f.play(8_000);
        assert!(f.useful() >= WANTED, "seed {seed}: {} read", f.useful());
    }
}

#[test]
fn a_box_that_is_cut_off_reads_for_itself() {
    let mut f = Fleet::new(36, 7);
    f.play(6_000);
    let alone = (0..36).find(|i| !f.boxes[*i].is_reading()).expect("most do not");
    f.cut[alone] = true;
    f.play(5_000);
    assert!(f.boxes[alone].is_reading());
    f.cut[alone] = false;
    f.play(4_000);
    assert!((WANTED..=WANTED + 1).contains(&f.useful()), "{:?}", f.reading());
}

#[test]
fn a_store_that_is_away_for_all_is_asked_by_few() {
    let mut f = Fleet::new(36, 7);
    f.play(6_000);
    f.served.fill(false);
    f.play(6_000);
    let during = f.reading().len();
    assert!(during <= 36, "{during}");
    f.served.fill(true);
    f.play(5_000);
    assert!((WANTED..=WANTED + 2).contains(&f.useful()), "{:?}", f.reading());
}

#[test]
fn entries_are_waited_for_while_and_after_the_store_was_away() {
    let mut r = Readers::new(NameId(1));
    r.answered(Time::from_millis(1_000));
    assert_eq!(r.hold(Time::from_millis(1_500)), Duration::ZERO, "calm");
    r.failed(true);
    assert!(r.hold(Time::from_millis(5_000)) > Duration::from_secs(2), "away");
    assert!(!r.in_touch(Time::from_millis(5_000)));
    r.answered(Time::from_millis(6_000));
    let back = r.hold(Time::from_millis(6_500));
    assert!(back > Duration::from_secs(1) && back < Duration::from_millis(2_000), "{back:?}");
    for t in 0..10 {
        r.answered(Time::from_millis(6_500 + t * 500));
    }
    assert_eq!(r.hold(Time::from_millis(11_000)), Duration::ZERO, "calm again");
}

#[test]
fn a_platform_that_readers_say_is_away_was_away() {
    let mut r = Readers::new(NameId(1));
    let at = Time::from_millis;
    let hear = |r: &mut Readers, age, unable, ms| {
        r.heard(NameId(2), &beacon(Duration::from_millis(age), unable), at(ms));
    };
    hear(&mut r, 0, false, 1_000);
    hear(&mut r, 2_000, false, 3_000);
    hear(&mut r, 3_600_000, true, 5_000);
    assert!(r.hold(at(5_100)) > Duration::from_secs(2), "away");
    hear(&mut r, 0, false, 5_500);
    assert!(r.hold(at(5_600)) > Duration::from_secs(2), "it has just returned");
}

/// A departure without a word before it was held for 2.3 s by every box, since the
/// readers had all been lost some moments before; their silence was taken for an absence
/// of the platform, after which entries that went may come back.
#[rstest]
#[case::the_next_reader_has_read(0)]
#[case::the_next_reader_has_only_begun(60_000)]
fn silence_of_all_readers_is_no_absence_of_the_platform(#[case] first_age_ms: u64) {
    let mut r = Readers::new(NameId(1));
    let at = Time::from_millis;
    r.heard(NameId(2), &beacon(Duration::ZERO, false), at(1_000));
    assert_eq!(r.hold(at(5_000)), Duration::ZERO, "nobody said that it is away");
    r.heard(NameId(3), &beacon(Duration::from_millis(first_age_ms), false), at(6_000));
    r.heard(NameId(3), &beacon(Duration::ZERO, false), at(6_050));
    assert_eq!(r.hold(at(6_100)), Duration::ZERO, "a new reader says that it answers");
}

#[rstest]
#[case(36)]
#[case(136)]
#[case(300)]
fn readers_that_all_die_at_once_are_replaced_within_the_bound_on_departures(#[case] n: usize) {
    for seed in 0..5 {
        let mut f = Fleet::new(n, seed);
        f.play(6_000);
        for i in f.reading() {
            f.cut[i] = true;
        }
        f.play(1_400);
        assert!(f.useful() >= 1, "seed {seed}: nobody reads");
        let begun = f.reading().len();
        assert!(begun < 40, "seed {seed}: {begun} of {n} began at once");
    }
}
