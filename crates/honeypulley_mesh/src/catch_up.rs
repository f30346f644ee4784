//! Catching up on changes of the list that a box misses, or may miss.
//!
//! A box misses changes when a peer has announced a version that it does not hold.
//! It may miss some when its list has not been confirmed as complete for a while, and no
//! reader that the platform answers has been heard since. It then escalates: it requests
//! the changes from peers by datagram, pulls a full list over a connection, and finally
//! reads the platform itself. Earlier steps continue beside later ones, since any of them
//! may hang. While reachable readers report that the platform is unavailable, a box only
//! sends requests: the platform may answer other boxes, but is unlikely to answer this one.
//!
//! In the strictest deployment, a departure must be known to every box within two seconds. A lost
//! datagram is detected by the next beacon, within 0.5 s, and requested at once. The loss of every
//! reader is detected after 1.1 s; changes are requested by 1.2 s, and the platform is read by
//! 1.8 s.

use crate::readers::SILENCE_TIMEOUT;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before the first request, during which remaining fragments may still arrive.
const REASSEMBLY_GRACE: Duration = Duration::from_millis(50);
/// Maximum delay of the first request while fragments keep arriving.
///
/// A reader with a slow link needs some 25 ms for each fragment to all its recipients.
const MAX_REASSEMBLY_DELAY: Duration = Duration::from_millis(400);
/// Number of fragments that arrive within [`REASSEMBLY_GRACE`] also from a slow link.
const SHORT_UPDATE: u16 = 3;
/// Interval between requests.
///
/// It covers some round trips within a region and a scheduling delay on a slow box.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time of unanswered requests before a full list is pulled, and interval between pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(300);
/// Time of unanswered requests before the platform is read, and interval between reads.
const READ_INTERVAL: Duration = Duration::from_millis(600);
/// Age of the list above which changes are presumed missing.
///
/// This applies to a box that receives no beacon of a reader with answers from the platform.
/// In normal operation, the age is at most 1.1 s: the timeout of a watch and a beacon interval.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_150);
/// Time without success after which the intervals between actions grow.
const BACKOFF_DELAY: Duration = Duration::from_secs(3);
/// Factor by which the intervals grow after [`BACKOFF_DELAY`], since the box is probably isolated.
const BACKOFF_FACTOR: u32 = 8;

/// Period after a fleet's first start during which full lists are pulled less often.
///
/// All upstreams register within the first seconds, so that a pulled list is outdated at once.
const FIRST_START_PERIOD: Duration = Duration::from_secs(4);
/// Factor by which the intervals grow during [`FIRST_START_PERIOD`].
const FIRST_START_FACTOR: u32 = 4;

/// Expected number of calls to the platform at a time for reads of the list, in any fleet.
pub const CONCURRENT_CALLS: f64 = 20.0;
/// Number of entries that one call returns, as far as platforms promise it.
pub const ENTRIES_PER_CALL: f64 = 200.0;

/// Returns the probability with which a box that misses changes reads the platform's list.
///
/// All boxes may miss the same changes, and a long list takes many calls.
#[must_use]
pub fn read_probability(boxes: usize, entries: usize) -> f64 {
    let calls = 1.0 + entries as f64 / ENTRIES_PER_CALL;
    (CONCURRENT_CALLS / (boxes.max(1) as f64 * calls)).min(1.0)
}

/// Expected number of boxes that request a change from its origin at a time, in any fleet.
pub const ORIGIN_REQUESTS: f64 = 64.0;
/// Expected number of boxes that pull the list from its origin at a time, in any fleet.
pub const ORIGIN_PULLS: f64 = 16.0;

/// Returns the probability with which a box turns to the origin of a change.
///
/// Other boxes turn to their own data hall, so that the origin is not overloaded when the whole
/// fleet misses the change; `limit` boxes are expected to turn to it.
#[must_use]
pub fn origin_probability(boxes: usize, limit: f64) -> f64 {
    (limit / boxes.max(1) as f64).min(1.0)
}

/// Actions that are due now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Request the changes from peers.
    pub ask: bool,
    /// Pull the full list from a peer.
    pub pull: bool,
    /// Read the list from the platform.
    pub read: bool,
}

/// Whether a box's list is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The list is complete.
    Complete,
    /// The list is complete again.
    CaughtUp {
        /// Time for which the box was behind.
        elapsed: Duration,
    },
    /// Changes are, or may be, missing.
    Behind(Actions),
}

/// Status of a box's own list.
#[derive(Clone, Copy, Debug)]
pub struct LocalList {
    /// Version up to which the list is complete.
    pub version: Revision,
    /// Time since the list was last known to be complete; `None` if it never was.
    pub age: Option<Duration>,
    /// What the readers' beacons of the last [`SILENCE_TIMEOUT`] report.
    pub readers: ReaderContact,
}

/// What recent beacons report about the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderContact {
    /// At least one reader gets answers from the platform.
    Able,
    /// There are readers, but the platform answers none of them.
    Unable,
    /// No beacon of a reader has arrived.
    Nobody,
}

/// Origin of the announcement of a missed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The box that holds the version.
    pub origin: NameId,
    /// Sender of the received datagram, possibly a forwarder.
    pub via: SocketAddr,
}

/// Catch-up state of one box.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatchUp {
    /// Whether this box is part of the fleet's first start.
    first_start: bool,
    /// Newest version that a peer has announced.
    newest_announced: Revision,
    source: Option<Source>,
    /// When this box noticed that it is, or may be, behind.
    behind_since: Option<Time>,
    /// Version of the local list, and when it last advanced.
    progress: (Revision, Time),
    /// Whether the missing changes have been requested since then.
    has_asked: bool,
    ask_due: Time,
    pull_due: Time,
    read_due: Time,
}

impl CatchUp {
    /// Creates the state; `first_start` tells whether the whole fleet is starting.
    #[must_use]
    pub fn new(first_start: bool) -> Self {
        Self { first_start, ..Self::default() }
    }

    /// Records an announced version; returns whether this box falls behind by it.
    pub fn record_announcement(
        &mut self,
        version: Revision,
        held: Revision,
        origin: NameId,
        via: SocketAddr,
        now: Time,
    ) -> bool {
        if version <= held || version < self.newest_announced {
            return false;
        }
        self.newest_announced = version;
        self.source = Some(Source { origin, via });
        if self.behind_since.is_some() {
            return false;
        }
        self.start(now + REASSEMBLY_GRACE, now);
        true
    }

    /// Records a fragment of an incomplete update, which defers the first request.
    pub fn record_fragment(&mut self, fragments: u16, now: Time) {
        if fragments <= SHORT_UPDATE {
            return;
        }
        let Some(since) = self.behind_since.filter(|_| !self.has_asked) else { return };
        let due = (now + REASSEMBLY_GRACE).min(since + MAX_REASSEMBLY_DELAY);
        let delay = due.since(self.ask_due);
        self.ask_due = self.ask_due + delay;
        self.pull_due = self.pull_due + delay;
        self.read_due = self.read_due + delay;
    }

    /// Returns whether a version newer than `held` has been announced.
    #[must_use]
    pub fn is_behind(&self, held: Revision) -> bool {
        self.newest_announced > held
    }

    /// Returns the newest version that a peer has announced.
    #[must_use]
    pub const fn newest_announced(&self) -> Revision {
        self.newest_announced
    }

    /// Returns the origin of the announcement of the newest version.
    #[must_use]
    pub const fn source(&self) -> Option<Source> {
        self.source
    }

    fn start(&mut self, ask_due: Time, now: Time) {
        self.behind_since = Some(now);
        self.has_asked = false;
        self.ask_due = ask_due;
        let factor = self.interval_factor(now);
        self.pull_due = ask_due + PULL_INTERVAL * factor;
        self.read_due = ask_due + READ_INTERVAL * factor;
    }

    fn in_first_start(&self, now: Time) -> bool {
        self.first_start && now.since(Time::ZERO) < FIRST_START_PERIOD
    }

    /// Returns the factor by which intervals are extended.
    ///
    /// A box whose list advances is not isolated, however far behind it is.
    fn interval_factor(&self, now: Time) -> u32 {
        let last_success = self.behind_since.map(|at| at.max(self.progress.1));
        let is_prolonged = last_success.is_some_and(|at| now.since(at) > BACKOFF_DELAY);
        match (self.in_first_start(now), is_prolonged) {
            (true, _) => FIRST_START_FACTOR,
            (false, true) => BACKOFF_FACTOR,
            (false, false) => 1,
        }
    }

    /// Returns the progress, with the actions that are due now.
    pub fn poll(&mut self, local: LocalList, now: Time) -> Progress {
        if local.version > self.progress.0 {
            self.progress = (local.version, now);
        }
        let is_old = local.age.is_none_or(|a| a > MAX_LIST_AGE);
        let is_stale = is_old && local.readers != ReaderContact::Able;
        let is_behind = self.is_behind(local.version);
        if !is_behind && !is_stale {
            let caught_up = |since| Progress::CaughtUp { elapsed: now.since(since) };
            return self.behind_since.take().map_or(Progress::Complete, caught_up);
        }
        if self.behind_since.is_none() {
            self.start(now, now);
        }
        let factor = self.interval_factor(now);
        let needs_fallback = is_behind || local.readers == ReaderContact::Nobody;
        // In a first start, a peer has the missing changes as long as any box reads.
        let may_read =
            needs_fallback && !(self.in_first_start(now) && local.readers != ReaderContact::Nobody);
        let ask = take_due(&mut self.ask_due, ASK_INTERVAL * factor, now);
        self.has_asked |= ask;
        Progress::Behind(Actions {
            ask,
            pull: take_due(&mut self.pull_due, PULL_INTERVAL * factor, now) && needs_fallback,
            read: take_due(&mut self.read_due, READ_INTERVAL * factor, now) && may_read,
        })
    }

    /// Returns the time until [`Self::poll`] must be called again.
    #[must_use]
    pub fn wait(&self, local: LocalList, now: Time) -> Duration {
        if self.behind_since.is_some() {
            return self.ask_due.min(self.pull_due).min(self.read_due).since(now);
        }
        let left = local.age.map_or(MAX_LIST_AGE, |a| MAX_LIST_AGE.saturating_sub(a));
        left.max(SILENCE_TIMEOUT / 4)
    }
}

/// Returns whether `due` has been reached, and if so sets it to `now + interval`.
fn take_due(due: &mut Time, interval: Duration, now: Time) -> bool {
    let is_due = *due <= now;
    if is_due {
        *due = now + interval;
    }
    is_due
}
