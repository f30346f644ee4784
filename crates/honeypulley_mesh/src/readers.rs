//! Who reads the platform's store.
//!
//! A few boxes read and inform their peers by beacons. There is no election: a box
//! that receives too few fresh beacons begins to read by chance, and one that receives
//! enough of a lower id stops. A reader that the store turns away or that is cut
//! off stops being fresh, and another takes its place. Too many readers cost
//! calls for some moments; too few never last.

use crate::catch_up::HeardOf;
use honeypulley_peer::codec::Beacon;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Readers wanted in a fleet.
pub const WANTED: usize = 3;
/// Time between two beacons of a reader.
pub const BEACON_GAP: Duration = Duration::from_millis(500);
/// Time that a watch waits at the platform, so that its silence is noticed soon.
pub const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Time without a beacon of any reader after which all are taken for lost.
///
/// Two beacons of each reader, so that lost packets alone seldom cause it.
pub const SILENCE: Duration = Duration::from_millis(1_100);
/// Time from the start of a box in which it takes silence for the others' starts.
const START_TIME: Duration = Duration::from_secs(3);
/// Silence after which a reader counts as lost: three beacons.
const HEARD_LIFE: Duration = Duration::from_millis(1_500);
/// Age of the platform's last answer up to which a reader is fresh: a whole
/// watch, a slow answer and a beacon.
const FRESH_AGE: Duration = Duration::from_millis(1_700);
/// Time without a fresh reader after which the platform counts as having been away.
const AWAY_GAP: Duration = Duration::from_millis(2_400);
/// Time after its return within which the platform shows lost entries again.
///
/// The platform's owners say about two seconds.
pub(crate) const RETURN_TIME: Duration = Duration::from_millis(2_300);
/// Maximum age assumed of a stale read.
const STALE_READ_AGE: Duration = Duration::from_secs(15);
/// Age reported while the platform does not answer this box.
const NEVER: Duration = Duration::from_secs(3_600);
/// Failed calls in a row after which a reader says that it can't read.
const FAILURES: u32 = 2;
/// Bounds of the time between two looks at who reads, in milliseconds.
pub const LOOK_GAP: (u64, u64) = (150, 350);
/// The same while no reader is reachable.
const SILENT_LOOK_GAP: (u64, u64) = (60, 140);
/// Part of the usual chance at which a box with a narrow link begins to read.
const RELUCTANCE: f64 = 0.1;
/// Chance at one look that such a box stops when others suffice without it.
const YIELD_CHANCE: f64 = 0.3;
/// Highest chance of beginning to read at one look if no reader is reachable.
const ALONE_CHANCE: f64 = 0.4;
/// Boxes expected to begin to read in one round then; the first that does is known at once.
const ALONE_STARTS: f64 = 8.0;

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    /// Point at which the platform last answered that reader, at the latest.
    read: Time,
}

/// What one box knows of the readers.
#[derive(Clone, Debug)]
pub struct Readers {
    me: NameId,
    reading: Option<Time>,
    heard: BTreeMap<NameId, Heard>,
    /// When a reader's last beacon arrived, whether or not the platform answers it.
    last_heard: Option<Time>,
    own_read: Option<Time>,
    /// Failed calls since the last answer.
    failures: u32,
    reluctant: bool,
    /// Latest point at which the platform answered anyone.
    contact: Option<Time>,
    /// When this box last took an answer that may be seconds old.
    old_answer: Option<Time>,
    /// Whether a box was seen since then that the platform did not answer.
    refused: bool,
    returned: Option<Time>,
    /// When this box noticed a restore of the platform.
    restored: Option<Time>,
}

impl Readers {
    /// Builds the state of box `me`, which does not read yet.
    #[must_use]
    pub const fn new(me: NameId) -> Self {
        Self {
            me,
            reading: None,
            heard: BTreeMap::new(),
            last_heard: None,
            own_read: None,
            failures: 0,
            reluctant: false,
            contact: None,
            old_answer: None,
            refused: false,
            returned: None,
            restored: None,
        }
    }

    /// Leaves reading to others where they suffice, since this box's link is narrow.
    #[must_use]
    pub const fn reluctant(mut self, yes: bool) -> Self {
        self.reluctant = yes;
        self
    }

    /// Records that a call of this box to the platform failed; `lost` if it timed out.
    ///
    /// Returns whether this box has become unable to read by that.
    pub fn failed(&mut self, lost: bool) -> bool {
        self.refused = true;
        let before = self.failures;
        self.failures += if lost { FAILURES } else { 1 };
        before < FAILURES && self.is_unable()
    }

    /// Records a reader's beacon.
    pub fn heard(&mut self, id: NameId, b: &Beacon, now: Time) {
        if !b.reader {
            self.heard.remove(&id);
            return;
        }
        let read = now.before(b.read_age);
        self.last_heard = Some(now);
        self.heard.insert(id, Heard { at: now, read });
        if b.read_age < FRESH_AGE {
            self.touch(read);
        } else if b.unable {
            // An old answer alone is no sign: a box that has just begun to read has one.
            self.refused = true;
        }
    }

    /// Records that the platform answered this box.
    ///
    /// Returns whether it did not before.
    pub fn answered(&mut self, now: Time) -> bool {
        let again = self.is_unable();
        self.own_read = Some(now);
        self.failures = 0;
        self.touch(now);
        again
    }

    /// Records an answer of the platform that may be some seconds old.
    ///
    /// It says nothing of the platform's objects as they are, but the platform was there.
    pub const fn answered_old(&mut self, now: Time) {
        self.old_answer = Some(now);
    }

    /// Returns when the platform was last there, as far as is known.
    fn last_there(&self) -> Option<Time> {
        self.contact.max(self.old_answer)
    }

    /// Records that the platform was restored from a backup just now.
    ///
    /// Earlier answers do not show its present objects.
    pub const fn restored(&mut self, now: Time) {
        self.returned = Some(now);
        self.restored = Some(now);
        self.contact = None;
        self.own_read = None;
    }

    /// Returns whether stale reads of the platform may be from before a restore.
    #[must_use]
    pub fn is_restored(&self, now: Time) -> bool {
        self.restored.is_some_and(|at| now.since(at) < STALE_READ_AGE)
    }

    /// Drops a reader that has not noticed the platform's restore yet.
    pub fn fall_behind(&mut self, id: NameId) {
        self.heard.remove(&id);
    }

    fn touch(&mut self, at: Time) {
        let last = self.last_there().unwrap_or(at);
        if self.refused && at.since(last) > AWAY_GAP {
            self.returned = Some(at);
        }
        self.refused = false;
        self.contact = self.contact.max(Some(at));
    }

    /// Returns how long an entry that went must be waited for.
    ///
    /// It is zero unless the platform is or was away just now. That no reader is heard
    /// says nothing of the platform: were it taken for an outage, every departure without
    /// a word before it would be known 2.3 s late whenever all readers had been lost.
    #[must_use]
    pub fn hold(&self, now: Time) -> Duration {
        let away = self.refused && self.last_there().is_some_and(|c| now.since(c) > AWAY_GAP);
        if away {
            return RETURN_TIME;
        }
        self.returned.map_or(Duration::ZERO, |r| RETURN_TIME.saturating_sub(now.since(r)))
    }

    /// Returns whether the platform's objects are known as of some moments ago.
    #[must_use]
    pub fn in_touch(&self, now: Time) -> bool {
        self.contact.is_some_and(|c| now.since(c) < AWAY_GAP)
    }

    /// Returns the age of the platform's last answer to this box.
    #[must_use]
    pub fn read_age(&self, now: Time) -> Duration {
        let known = self.own_read.filter(|_| !self.is_unable());
        known.map_or(NEVER, |t| now.since(t))
    }

    /// Returns whether the platform fails this box's calls.
    #[must_use]
    pub const fn is_unable(&self) -> bool {
        self.failures >= FAILURES
    }

    /// Returns whether this box reads.
    #[must_use]
    pub const fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the readers' beacons of the last [`SILENCE`].
    #[must_use]
    pub fn heard_of(&self, now: Time) -> HeardOf {
        if self.is_silent(now) {
            return HeardOf::Nobody;
        }
        let is_able = |h: &Heard| now.since(h.at) <= SILENCE && h.at.since(h.read) < FRESH_AGE;
        let starts = self.last_heard.is_none();
        if starts || self.heard.values().any(is_able) { HeardOf::Able } else { HeardOf::Unable }
    }

    /// Returns the bounds of the time to the next look at who reads, in milliseconds.
    ///
    /// It is short while no reader is reachable: the bound on departures runs.
    #[must_use]
    pub fn look_gap(&self, now: Time) -> (u64, u64) {
        let urgent = self.is_silent(now) && !self.is_reading();
        if urgent { SILENT_LOOK_GAP } else { LOOK_GAP }
    }

    /// Returns whether no beacon has arrived for [`SILENCE`].
    #[must_use]
    pub fn is_silent(&self, now: Time) -> bool {
        let since = |t: Time| now.since(t);
        self.last_heard.map_or(since(Time::ZERO) > START_TIME, |t| since(t) > SILENCE)
    }

    /// Returns the reachable readers, whether or not they can read.
    #[must_use]
    pub fn live(&self, now: Time) -> Vec<NameId> {
        let is_live = |h: &&Heard| now.since(h.at) < HEARD_LIFE;
        let live = self.heard.iter().filter(|(_, h)| is_live(h));
        live.map(|(id, _)| *id).collect()
    }

    /// Returns how many fresh readers have a lower id than this box.
    #[must_use]
    pub fn rank(&self, now: Time) -> usize {
        self.fresh(now).filter(|id| *id < self.me).count()
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = NameId> + '_ {
        let is_fresh = move |h: &Heard| {
            now.since(h.at) < HEARD_LIFE && now.since(h.read) < FRESH_AGE + BEACON_GAP
        };
        self.heard.iter().filter(move |(_, h)| is_fresh(h)).map(|(id, _)| *id)
    }

    /// Decides whether to read from now on; `draw` is random from zero to one.
    ///
    /// Call it after [`Readers::look_gap`]. Returns whether that changed.
    pub fn decide(&mut self, boxes: usize, draw: f64, now: Time) -> bool {
        let before = self.reading.is_some();
        let alone = self.is_silent(now) || self.live(now).is_empty();
        let fresh = if alone { 0 } else { self.fresh(now).count() };
        if let Some(since) = self.reading {
            let new = now.since(since) < FRESH_AGE && !self.is_unable();
            let trusted = new || self.read_age(now) < FRESH_AGE;
            let spare = if trusted { self.rank(now) >= WANTED } else { fresh >= WANTED };
            let yields = self.reluctant && fresh >= WANTED && draw < YIELD_CHANCE;
            if spare || yields {
                self.reading = None;
            }
        } else if fresh < WANTED {
            let missing = (WANTED - fresh) as f64;
            let boxes = boxes.max(1) as f64;
            let chance =
                if alone { ALONE_CHANCE.min(ALONE_STARTS / boxes) } else { 1.5 * missing / boxes };
            let eager = if self.reluctant && !alone { RELUCTANCE } else { 1.0 };
            if draw < chance * eager {
                self.reading = Some(now);
            }
        }
        before != self.reading.is_some()
    }
}
