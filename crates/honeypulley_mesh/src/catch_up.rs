//! What a box does about changes of the list that it misses, or may miss.
//!
//! A box misses changes when a peer has announced a version that it does not hold.
//! It may miss some when its list was last known to be complete some time ago and no
//! reader has been heard since that the platform answers. It then asks boxes by
//! datagram, next takes a whole list over a connection, and last reads the platform
//! itself; each way goes on beside the next, since any of them may hang. Where readers
//! are heard and say that the platform is away, it only asks: the platform may answer
//! others, but hardly this box.
//!
//! With the bound on a departure at two seconds, the smallest of the deployments: a
//! lost datagram is noticed by the next beacon, 0.5 s at most, and asked for at once;
//! with every reader lost it is noticed after 1.1 s and asked for by 1.2 s; by 1.8 s
//! the platform is read.

use crate::readers::SILENCE;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Wait before the first question, in which the other fragments may still arrive.
const GRACE: Duration = Duration::from_millis(50);
/// Time between two questions: some round trips in a region and a slow box's slot.
const ASK_GAP: Duration = Duration::from_millis(100);
/// Time of asking in vain after which the whole list is pulled, and between two pulls.
const PULL_GAP: Duration = Duration::from_millis(300);
/// Time of asking in vain after which this box reads the platform itself, and between
/// two such reads.
const READ_GAP: Duration = Duration::from_millis(600);
/// Age of the list at which a box that can reach no reader assumes that it misses changes.
///
/// A calm list is as old as a watch that waits and a beacon, 1.1 s, at the most.
const STALE_AGE: Duration = Duration::from_millis(1_150);
/// Time after which nothing is expected of asking any more and the gaps grow.
const PATIENCE: Duration = Duration::from_secs(3);
/// Factor by which the gaps grow then: the box is isolated.
const PATIENT_FACTOR: u32 = 8;

/// Time of a first start in which whole lists are pulled seldom.
///
/// All upstreams enter the list in its first seconds, so that a pulled list is outdated at once.
const FIRST_TIME: Duration = Duration::from_secs(4);
/// Factor by which the waits for a pull and a read grow then.
const FIRST_FACTOR: u32 = 4;

/// What is to be done now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Boxes are to be asked for the changes.
    pub ask: bool,
    /// The whole list is to be pulled from one.
    pub pull: bool,
    /// The list is to be read from the platform.
    pub read: bool,
}

/// How a box stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing is missed.
    Complete,
    /// Nothing is missed any more.
    CaughtUp {
        /// Time since this box took it that it misses something.
        took: Duration,
    },
    /// Something is missed, or may be.
    Behind(Step),
}

/// What a box knows of its own list.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Version up to which the list is complete.
    pub version: Revision,
    /// Time since it was last known to be complete, if it ever was.
    pub age: Option<Duration>,
    /// Readers' beacons of the last [`SILENCE`].
    pub heard: HeardOf,
}

/// What a box has received from readers lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeardOf {
    /// A reader that the platform answers.
    Able,
    /// Readers alone that the platform does not answer.
    Unable,
    /// No reader.
    Nobody,
}

/// A box that has spoken of a version that this one misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The box that holds it.
    pub origin: NameId,
    /// Address that the word of it came from, perhaps of a box that sent it on.
    pub via: SocketAddr,
}

/// State of a box that catches up, or has no need to.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    /// Whether the whole fleet starts for the first time with this box.
    first_start: bool,
    /// Newest version announced.
    wanted: Revision,
    source: Option<Source>,
    /// When this box took it that it misses something.
    since: Option<Time>,
    ask_due: Time,
    pull_due: Time,
    read_due: Time,
}

impl CatchUp {
    /// Builds the state of a box that may have started with the whole fleet.
    #[must_use]
    pub fn new(first_start: bool) -> Self {
        Self { first_start, ..Self::default() }
    }

    /// Records a version that a peer knows; returns whether it is the first one missed.
    pub fn heard(
        &mut self,
        version: Revision,
        held: Revision,
        origin: NameId,
        via: SocketAddr,
        now: Time,
    ) -> bool {
        if version <= held || version < self.wanted {
            return false;
        }
        self.wanted = version;
        self.source = Some(Source { origin, via });
        if self.since.is_some() {
            return false;
        }
        self.begin(now + GRACE, now);
        true
    }

    /// Returns whether a version is known of beyond the one held.
    #[must_use]
    pub fn misses(&self, held: Revision) -> bool {
        self.wanted > held
    }

    /// Returns the newest version announced.
    #[must_use]
    pub const fn wanted(&self) -> Revision {
        self.wanted
    }

    /// Returns the box that announced it.
    #[must_use]
    pub const fn source(&self) -> Option<Source> {
        self.source
    }

    fn begin(&mut self, ask_due: Time, now: Time) {
        self.since = Some(now);
        self.ask_due = ask_due;
        let factor = self.factor(now);
        self.pull_due = ask_due + PULL_GAP * factor;
        self.read_due = ask_due + READ_GAP * factor;
    }

    fn starts(&self, now: Time) -> bool {
        self.first_start && now.since(Time::ZERO) < FIRST_TIME
    }

    /// Returns how much longer than usual is waited for a pull or a read.
    fn factor(&self, now: Time) -> u32 {
        let is_long = self.since.is_some_and(|at| now.since(at) > PATIENCE);
        match (self.starts(now), is_long) {
            (true, _) => FIRST_FACTOR,
            (false, true) => PATIENT_FACTOR,
            (false, false) => 1,
        }
    }

    /// Decides what is to be done now.
    pub fn next(&mut self, own: Own, now: Time) -> Progress {
        let is_old = own.age.is_none_or(|a| a > STALE_AGE);
        let is_stale = is_old && own.heard != HeardOf::Able;
        let misses = self.misses(own.version);
        if !misses && !is_stale {
            let caught_up = |since| Progress::CaughtUp { took: now.since(since) };
            return self.since.take().map_or(Progress::Complete, caught_up);
        }
        if self.since.is_none() {
            self.begin(now, now);
        }
        let factor = self.factor(now);
        let is_alone = misses || own.heard == HeardOf::Nobody;
        // Some box holds what this one misses, as long as one reads.
        let may_read = is_alone && !(self.starts(now) && own.heard != HeardOf::Nobody);
        Progress::Behind(Step {
            ask: take_due(&mut self.ask_due, ASK_GAP * factor, now),
            pull: take_due(&mut self.pull_due, PULL_GAP * factor, now) && is_alone,
            read: take_due(&mut self.read_due, READ_GAP * factor, now) && may_read,
        })
    }

    /// Returns how long nothing is to be done.
    #[must_use]
    pub fn wait(&self, own: Own, now: Time) -> Duration {
        if self.since.is_some() {
            return self.ask_due.min(self.pull_due).min(self.read_due).since(now);
        }
        let left = own.age.map_or(STALE_AGE, |a| STALE_AGE.saturating_sub(a));
        left.max(SILENCE / 4)
    }
}

/// Returns whether a point has come, and sets the next one.
fn take_due(due: &mut Time, gap: Duration, now: Time) -> bool {
    let is_due = *due <= now;
    if is_due {
        *due = now + gap;
    }
    is_due
}
