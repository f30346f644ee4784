//! Selection of the boxes that read the platform's store.
//!
//! A few boxes read and inform their peers by beacons. There is no election: a box
//! that receives too few fresh beacons starts to read with some probability, and a reader
//! that receives enough fresh beacons of lower ids stops. A reader that the store rejects or
//! that is partitioned loses its freshness, and another box replaces it. A surplus of readers
//! costs extra calls for a short time; a shortage is always corrected.

use crate::catch_up::ReaderContact;
use honeypulley_peer::codec::Beacon;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Target number of readers in a fleet.
pub const TARGET_READERS: usize = 3;
/// Interval between beacons of a reader.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a watch, short enough that an unresponsive platform is detected soon.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without any reader's beacon after which all readers count as lost.
///
/// It spans two beacons of each reader, so that packet loss alone rarely triggers it.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Time after a box's start during which silence is attributed to peers still starting.
const STARTUP_GRACE: Duration = Duration::from_secs(3);
/// Silence after which a single reader counts as lost: three beacon intervals.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the platform's last answer below which a reader is fresh.
///
/// It covers the timeout of a watch, a slow answer and a beacon interval.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_700);
/// Time without an answer to any box after which the platform counts as unavailable.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_400);
/// Time within which the platform lists lost entries again after an outage.
///
/// The platform's owners state about two seconds.
pub(crate) const RELIST_TIME: Duration = Duration::from_millis(2_300);
/// Maximum assumed age of the data in a stale read.
const STALE_READ_AGE: Duration = Duration::from_secs(15);
/// Age reported while the platform does not answer this box.
const NO_ANSWER_AGE: Duration = Duration::from_secs(3_600);
/// Consecutive failed calls after which a reader announces that it can't read.
const FAILURE_LIMIT: u32 = 2;
/// Bounds of the interval between calls of [`Readers::decide`], in milliseconds.
pub const DECIDE_INTERVAL_MS: (u64, u64) = (150, 350);
/// As [`DECIDE_INTERVAL_MS`], while no reader is reachable.
const SILENT_DECIDE_INTERVAL_MS: (u64, u64) = (60, 140);
/// Factor on the start probability of a box with a slow link.
const SLOW_LINK_FACTOR: f64 = 0.1;
/// Probability, per decision, that a box with a slow link stops if others suffice.
const SLOW_LINK_STOP_PROBABILITY: f64 = 0.3;
/// Maximum probability, per decision, of starting to read if no reader is reachable.
const MAX_START_PROBABILITY: f64 = 0.4;
/// Expected number of boxes that start to read per decision if no reader is reachable.
///
/// The first one to start announces itself at once, which keeps the rest from starting.
const EXPECTED_STARTS: f64 = 8.0;

/// The boxes among which readers are chosen, as known to one box.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReaderFleet {
    /// Number of boxes, this one included.
    pub boxes: usize,
    /// Number of other boxes that are known to have fast links.
    pub fast: usize,
    /// Those of the live readers that are not known to have fast links.
    pub slow_readers: Vec<NameId>,
}

/// The last beacon of one reader.
#[derive(Clone, Copy, Debug)]
struct ReaderBeacon {
    /// When the beacon arrived.
    at: Time,
    /// When the platform last answered that reader, as an upper bound.
    read: Time,
}

/// One box's view of the readers, and its own state as a reader.
#[derive(Clone, Debug)]
pub struct Readers {
    me: NameId,
    reading_since: Option<Time>,
    beacons: BTreeMap<NameId, ReaderBeacon>,
    /// When the last beacon of any reader, fresh or not, arrived.
    last_beacon: Option<Time>,
    last_read: Option<Time>,
    /// Failed calls since the last successful one.
    consecutive_failures: u32,
    slow_link: bool,
    /// Whether the seeds of a fleet's first start become readers before this box may.
    yields_to_seeds: bool,
    /// Latest known time at which the platform answered any box.
    last_answer: Option<Time>,
    /// When this box last received the answer of a stale read.
    stale_answer: Option<Time>,
    /// Whether the platform has failed to answer some box since it last answered any.
    has_failed: bool,
    /// When the platform last became available again.
    returned_at: Option<Time>,
    /// When this box detected a restore of the platform.
    restored_at: Option<Time>,
}

impl Readers {
    /// Creates the state of box `me`, which does not read yet.
    #[must_use]
    pub const fn new(me: NameId) -> Self {
        Self {
            me,
            reading_since: None,
            beacons: BTreeMap::new(),
            last_beacon: None,
            last_read: None,
            consecutive_failures: 0,
            slow_link: false,
            yields_to_seeds: false,
            last_answer: None,
            stale_answer: None,
            has_failed: false,
            returned_at: None,
            restored_at: None,
        }
    }

    /// Sets whether this box has a slow link.
    ///
    /// A box with a slow link leaves reading to others if they suffice.
    #[must_use]
    pub const fn with_slow_link(mut self, is_slow: bool) -> Self {
        self.slow_link = is_slow;
        self
    }

    /// Sets whether this box is none of the seeds of a fleet's first start.
    ///
    /// Boxes know few of the others then, so each of them would take itself for one of the few that
    /// may read. For a grace time it waits for a reader among the seeds.
    #[must_use]
    pub const fn with_seeds_first(mut self, yields_to_seeds: bool) -> Self {
        self.yields_to_seeds = yields_to_seeds;
        self
    }

    /// Records that a call of this box to the platform failed or timed out.
    ///
    /// Returns whether this box has now become unable to read.
    pub fn record_failure(&mut self, timed_out: bool) -> bool {
        self.has_failed = true;
        let previous = self.consecutive_failures;
        self.consecutive_failures += if timed_out { FAILURE_LIMIT } else { 1 };
        previous < FAILURE_LIMIT && self.is_read_failing()
    }

    /// Records a reader's beacon.
    pub fn record_beacon(&mut self, id: NameId, b: &Beacon, now: Time) {
        if !b.reader {
            self.beacons.remove(&id);
            return;
        }
        let read = now.before(b.read_age);
        self.last_beacon = Some(now);
        self.beacons.insert(id, ReaderBeacon { at: now, read });
        if b.read_age < MAX_FRESH_AGE {
            self.record_contact(read);
        } else if b.unable {
            // An old answer alone is no evidence: a box that has just started to read has one.
            self.has_failed = true;
        }
    }

    /// Records that the platform answered this box.
    ///
    /// Returns whether this box had been unable to read before.
    pub fn record_answer(&mut self, now: Time) -> bool {
        let was_failing = self.is_read_failing();
        self.last_read = Some(now);
        self.consecutive_failures = 0;
        self.record_contact(now);
        was_failing
    }

    /// Records the answer of a stale read, which may be some seconds old.
    ///
    /// A stale read proves that the platform is available, but not what its objects currently are.
    pub const fn record_stale_answer(&mut self, now: Time) {
        self.stale_answer = Some(now);
    }

    /// Returns when the platform was last known to be available.
    fn last_available(&self) -> Option<Time> {
        self.last_answer.max(self.stale_answer)
    }

    /// Records that the platform has just been restored from a backup.
    ///
    /// Earlier answers do not reflect the restored objects.
    pub const fn record_restore(&mut self, now: Time) {
        self.returned_at = Some(now);
        self.restored_at = Some(now);
        self.last_answer = None;
        self.last_read = None;
    }

    /// Returns whether stale reads of the platform may predate a restore.
    #[must_use]
    pub fn is_restored(&self, now: Time) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < STALE_READ_AGE)
    }

    /// Removes a reader that has not detected the platform's restore yet.
    pub fn remove_reader(&mut self, id: NameId) {
        self.beacons.remove(&id);
    }

    /// Records that the platform answered some box, and detects the end of an outage.
    fn record_contact(&mut self, at: Time) {
        let last = self.last_available().unwrap_or(at);
        if self.has_failed && at.since(last) > OUTAGE_THRESHOLD {
            self.returned_at = Some(at);
        }
        self.has_failed = false;
        self.last_answer = self.last_answer.max(Some(at));
    }

    /// Returns how long to wait for a removed entry to be listed again.
    ///
    /// The hold is zero unless the platform is, or was recently, unavailable. Silence of the
    /// readers is no evidence of an outage: if silence counted as one, every unannounced
    /// departure would take effect 2.3 s late whenever all readers had been lost.
    #[must_use]
    pub fn departure_hold(&self, now: Time) -> Duration {
        let is_unavailable = self.has_failed
            && self.last_available().is_some_and(|c| now.since(c) > OUTAGE_THRESHOLD);
        if is_unavailable {
            return RELIST_TIME;
        }
        self.returned_at.map_or(Duration::ZERO, |r| RELIST_TIME.saturating_sub(now.since(r)))
    }

    /// Returns whether the platform answered any box recently.
    #[must_use]
    pub fn in_touch(&self, now: Time) -> bool {
        self.last_answer.is_some_and(|c| now.since(c) < OUTAGE_THRESHOLD)
    }

    /// Returns the age of the platform's last answer to this box.
    #[must_use]
    pub fn read_age(&self, now: Time) -> Duration {
        let known = self.last_read.filter(|_| !self.is_read_failing());
        known.map_or(NO_ANSWER_AGE, |t| now.since(t))
    }

    /// Returns whether this box's calls to the platform keep failing.
    #[must_use]
    pub const fn is_read_failing(&self) -> bool {
        self.consecutive_failures >= FAILURE_LIMIT
    }

    /// Returns whether this box is a reader.
    #[must_use]
    pub const fn is_reading(&self) -> bool {
        self.reading_since.is_some()
    }

    /// Summarizes the readers' beacons of the last [`SILENCE_TIMEOUT`].
    ///
    /// A starting box that has received no beacon yet assumes that a reader gets answers.
    #[must_use]
    pub fn reader_contact(&self, now: Time) -> ReaderContact {
        if self.is_silent(now) {
            return ReaderContact::Nobody;
        }
        let is_able = |h: &ReaderBeacon| {
            now.since(h.at) <= SILENCE_TIMEOUT && h.at.since(h.read) < MAX_FRESH_AGE
        };
        let is_starting = self.last_beacon.is_none();
        if is_starting || self.beacons.values().any(is_able) {
            ReaderContact::Able
        } else {
            ReaderContact::Unable
        }
    }

    /// Returns the bounds of the time until the next [`Self::decide`], in milliseconds.
    ///
    /// The time is short while no reader is reachable, since departures then go undetected.
    #[must_use]
    pub fn decide_interval(&self, now: Time) -> (u64, u64) {
        let is_urgent = self.is_silent(now) && !self.is_reading();
        if is_urgent { SILENT_DECIDE_INTERVAL_MS } else { DECIDE_INTERVAL_MS }
    }

    /// Returns whether no reader's beacon has arrived for [`SILENCE_TIMEOUT`].
    ///
    /// Before the first beacon, a grace period of 3 s after the start of the box applies instead.
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        let since = |t: Time| now.since(t);
        self.last_beacon.map_or(since(Time::ZERO) > STARTUP_GRACE, |t| since(t) > SILENCE_TIMEOUT)
    }

    /// Returns whether a starting box should still leave reading to the seeds.
    #[must_use]
    pub fn is_waiting_for_seeds(&self, now: Time) -> bool {
        self.last_beacon.is_none() && now.since(Time::ZERO) < STARTUP_GRACE
    }

    /// Returns the reachable readers, whether or not the platform answers them.
    #[must_use]
    pub fn live(&self, now: Time) -> Vec<NameId> {
        let is_live = |h: &&ReaderBeacon| now.since(h.at) < READER_TIMEOUT;
        let live = self.beacons.iter().filter(|(_, h)| is_live(h));
        live.map(|(id, _)| *id).collect()
    }

    /// Returns how many fresh readers have a lower id than this box.
    #[must_use]
    pub fn rank(&self, now: Time) -> usize {
        self.fresh(now).filter(|id| *id < self.me).count()
    }

    /// Returns the readers that are reachable and that the platform answers.
    fn fresh(&self, now: Time) -> impl Iterator<Item = NameId> + '_ {
        let is_fresh = move |h: &ReaderBeacon| {
            now.since(h.at) < READER_TIMEOUT && now.since(h.read) < MAX_FRESH_AGE + BEACON_INTERVAL
        };
        self.beacons.iter().filter(move |(_, h)| is_fresh(h)).map(|(id, _)| *id)
    }

    /// Decides whether to be a reader; `draw` is uniformly random in `0.0..1.0`.
    ///
    /// Must be called at intervals of [`Readers::decide_interval`]. Returns whether the role
    /// changed.
    pub fn decide(&mut self, boxes: usize, draw: f64, now: Time) -> bool {
        self.decide_among(&ReaderFleet { boxes, ..ReaderFleet::default() }, draw, now)
    }

    /// As [`Self::decide`]; boxes with fast links are preferred if there are any.
    ///
    /// A reader broadcasts to its whole data hall and is asked for tables and lists by many boxes,
    /// so that one with a slow link falls behind itself.
    pub fn decide_among(&mut self, fleet: &ReaderFleet, draw: f64, now: Time) -> bool {
        if self.yields_to_seeds && self.is_waiting_for_seeds(now) {
            return false;
        }
        let was_reading = self.reading_since.is_some();
        let no_reader = self.is_silent(now) || self.live(now).is_empty();
        let prefers_fast = fleet.fast > 0;
        let counts = |id: &NameId| !prefers_fast || !fleet.slow_readers.contains(id);
        let fresh = if no_reader { 0 } else { self.fresh(now).filter(counts).count() };
        let rank = self.fresh(now).filter(counts).filter(|id| *id < self.me).count();
        if let Some(since) = self.reading_since {
            let is_recent = now.since(since) < MAX_FRESH_AGE && !self.is_read_failing();
            let is_trusted = is_recent || self.read_age(now) < MAX_FRESH_AGE;
            let is_surplus =
                if is_trusted { rank >= TARGET_READERS } else { fresh >= TARGET_READERS };
            let is_yielding =
                self.slow_link && fresh >= TARGET_READERS && draw < SLOW_LINK_STOP_PROBABILITY;
            if is_surplus || is_yielding {
                self.reading_since = None;
            }
        } else if fresh < TARGET_READERS {
            let missing = (TARGET_READERS - fresh) as f64;
            let is_fast = prefers_fast && !self.slow_link;
            let boxes = if is_fast { fleet.fast + 1 } else { fleet.boxes.max(1) } as f64;
            let probability = if no_reader {
                MAX_START_PROBABILITY.min(EXPECTED_STARTS / boxes)
            } else {
                1.5 * missing / boxes
            };
            let yields = self.slow_link && (prefers_fast || !no_reader);
            let link_factor = if yields { SLOW_LINK_FACTOR } else { 1.0 };
            if draw < probability * link_factor {
                self.reading_since = Some(now);
            }
        }
        was_reading != self.reading_since.is_some()
    }
}
