//! Admission level of a service, measured by this box and announced between boxes.

use crate::collector::NameId;
use crate::route_mix::RouteMix;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of the requests of a kind that is judged by its own target alone, by default.
const DEFAULT_FLOOR: f64 = 0.1;
/// Time constant of the moving average over the requests that meet too long a wait.
const LEVEL_TIME: Duration = Duration::from_millis(250);
/// Highest weight of one request in that average, on a box with few requests.
const MAX_WEIGHT: f64 = 0.2;
/// Rejected share of a kind below which it counts as admitted.
///
/// Above [`MAX_WEIGHT`], so that a single long wait at usual load is no shortage.
const LEAST_SHARE: f64 = 0.25;
/// Time after which an announced level expires; a box that froze acts on none after it.
pub(super) const LEVEL_TTL: Duration = Duration::from_secs(1);
/// Interval at which a level is renewed; one of two renewals may be lost.
const RENEWAL: Duration = Duration::from_millis(450);
/// Shortest interval between two announcements.
const LEAST_GAP: Duration = Duration::from_millis(200);
/// Difference from which a level counts as changed, in thousandths.
const LEVEL_STEP: u16 = 250;
/// Number of recent announcements of the same level from which a box stays silent.
///
/// A few announcements serve all boxes, so that the cost per box doesn't grow with the fleet.
const ENOUGH_ANNOUNCERS: usize = 3;
/// Number of recent announcements of any level from which a box stays silent.
const MANY_ANNOUNCERS: usize = 8;
/// Maximum number of received levels that are kept.
const MAX_RECEIVED: usize = 32;
/// Thousandths per priority.
const PER_PRIORITY: u16 = 1_000;

/// How requests are admitted by priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityRule {
    /// Share of the requests of each priority that is judged by its own target alone.
    pub floor: f64,
}

impl Default for PriorityRule {
    fn default() -> Self {
        Self { floor: DEFAULT_FLOOR }
    }
}

/// An admission level: which priorities are rejected, and which share of the marginal one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(u16);

impl Level {
    /// Creates a level at which a share of one priority and all less urgent ones are rejected.
    #[must_use]
    pub fn at(priority: u8, share: f64) -> Self {
        let above = u16::from(RouteMix::LOWEST_PRIORITY.saturating_sub(priority)) * PER_PRIORITY;
        Self(above + (share.clamp(0.0, 1.0) * f64::from(PER_PRIORITY)).round() as u16)
    }

    /// Creates a level from thousandths, as announced; a higher one than possible is the highest.
    #[must_use]
    pub fn from_thousandths(level: u16) -> Self {
        Self(level.min((u16::from(RouteMix::LOWEST_PRIORITY) + 1) * PER_PRIORITY))
    }

    /// Returns the level in thousandths, as announced.
    #[must_use]
    pub const fn to_thousandths(self) -> u16 {
        self.0
    }

    /// Returns the share of the requests of a priority that is rejected.
    #[must_use]
    pub fn rejected_share(self, priority: u8) -> f64 {
        let above = u16::from(RouteMix::LOWEST_PRIORITY.saturating_sub(priority)) * PER_PRIORITY;
        (f64::from(self.0.saturating_sub(above)) / f64::from(PER_PRIORITY)).min(1.0)
    }

    /// Returns whether another level is equivalent for announcements.
    const fn is_near(self, other: Self) -> bool {
        self.0.abs_diff(other.0) < LEVEL_STEP && (self.0 == 0) == (other.0 == 0)
    }
}

/// A level announced by another box.
#[derive(Clone, Copy, Debug)]
struct Received {
    from: NameId,
    level: Level,
    at: Time,
}

/// Levels of one service, as measured by this box and as received.
#[derive(Clone, Debug, Default)]
pub(super) struct LevelState {
    /// Share of recent requests whose wait was above the bound, by priority.
    shares: BTreeMap<u8, f64>,
    /// Latest measurement.
    measured: Time,
    received: Vec<Received>,
    /// Latest own announcement.
    announced: Option<(Level, Time)>,
    /// Start of the present shortage.
    shortage: Option<Time>,
}

impl LevelState {
    /// Records for each kind with a bound whether a request met a longer wait.
    pub(super) fn record(&mut self, kinds: impl Iterator<Item = (u8, bool)>, now: Time) {
        let kept = Self::kept(now.since(self.measured));
        let weight = (1.0 - kept).min(MAX_WEIGHT);
        // Kinds whose traffic has ended count as admitted.
        self.shares.values_mut().for_each(|share| *share *= kept);
        for (priority, is_above) in kinds {
            *self.shares.entry(priority).or_default() += if is_above { weight } else { 0.0 };
        }
        self.measured = now;
        let is_short = self.in_force(now) > Level::default();
        self.shortage = is_short.then(|| self.shortage.unwrap_or(now));
    }

    /// Returns the weight of a share that was measured some time ago.
    fn kept(age: Duration) -> f64 {
        (-age.as_secs_f64() / LEVEL_TIME.as_secs_f64()).exp()
    }

    /// Returns the level that this box has measured.
    fn own(&self, now: Time) -> Level {
        let kept = Self::kept(now.since(self.measured));
        let shares = self.shares.iter().map(|(&p, share)| (p, share * kept));
        let marginal = shares.into_iter().find(|&(_, share)| share >= LEAST_SHARE);
        marginal.map_or_else(Level::default, |(p, share)| Level::at(p, share))
    }

    fn fresh(&self, now: Time, age: Duration) -> impl Iterator<Item = &Received> {
        self.received.iter().filter(move |r| now.since(r.at) < age)
    }

    /// Returns the level that applies: the median of the own and the received ones.
    ///
    /// A single box with a wrong view doesn't move it while three or more boxes announce theirs.
    pub(super) fn in_force(&self, now: Time) -> Level {
        let received = self.fresh(now, LEVEL_TTL).map(|r| r.level);
        let mut levels: Vec<Level> = received.chain([self.own(now)]).collect();
        levels.sort_unstable();
        levels[(levels.len() - 1) / 2]
    }

    /// Returns the age of the newest measurement or announcement.
    pub(super) fn age(&self, now: Time) -> Duration {
        let newest = self.received.iter().map(|r| r.at).max().unwrap_or_default();
        now.since(newest.max(self.measured))
    }

    /// Returns the time since the present shortage began.
    pub(super) fn shortage_age(&self, now: Time) -> Duration {
        self.shortage.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns the level that this box has to announce now, if any.
    ///
    /// A box stays silent if enough others have just announced the same level.
    pub(super) fn due_announcement(&mut self, now: Time) -> Option<Level> {
        let level = self.own(now);
        let (last, at) = self.announced.unwrap_or_default();
        let since = self.announced.map_or(Duration::MAX, |_| now.since(at));
        let is_changed = !level.is_near(last) && since >= LEAST_GAP;
        let is_renewal = level > Level::default() && since >= RENEWAL;
        if !is_changed && !is_renewal {
            return None;
        }
        let agreeing = self.fresh(now, RENEWAL).filter(|r| r.level.is_near(level)).count();
        if agreeing >= ENOUGH_ANNOUNCERS || self.fresh(now, RENEWAL).count() >= MANY_ANNOUNCERS {
            return None;
        }
        self.announced = Some((level, now));
        Some(level)
    }

    /// Records a level announced by another box.
    pub(super) fn receive(&mut self, from: NameId, level: Level, now: Time) {
        self.received.retain(|r| r.from != from && now.since(r.at) < LEVEL_TTL);
        if self.received.len() >= MAX_RECEIVED {
            self.received.remove(0);
        }
        self.received.push(Received { from, level, at: now });
    }
}
