//! Admissions of one subject, as known to one box.

use super::hall_count::{LATEST_SHARE, RemoteHall};
use super::recent::SlidingCount;
use super::reserve::{Demand, Pressure};
use super::rule::{LimitRule, LimitScope, RateLimit};
use crate::collector::NameId;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of its even share below which a data hall sends no updates.
///
/// While all halls stay below it, the limit holds without any exchange. At the usual load of
/// 5/8 of a limit, a hall may exceed its even share by a quarter before it announces.
const SILENT_SHARE: f64 = 0.8;
/// Fraction of the burst that a data hall may admit beyond that share unannounced.
const SILENT_BURST_SHARE: f64 = 0.15;
/// Minimum time between two updates of a data hall about one subject.
///
/// The excess admitted in the meantime is small compared with the allowed slack.
pub(super) const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);
/// Announcement intervals for which a data hall's level counts.
const LEVEL_INTERVALS: u32 = 6;
/// Time for which an update of another data hall makes this one announce as well.
const REPLY_TIME: Duration = Duration::from_secs(2);
/// Fraction of the burst below which a subject counts as near its limit.
const NEAR_LIMIT_SHARE: f64 = 0.25;
/// Fraction of its share that an isolated box admits of a subject near its limit.
///
/// The connected boxes still admit the whole limit. If a third of the boxes were isolated and
/// used their full share, the excess would be a third of the limit. With this factor it is a
/// ninth, which the permitted excess of a tenth plus the slack covers.
const ISOLATED_SHARE: f64 = 0.33;
/// Silence, in requests at the limit's rate, after which a box counts as isolated.
///
/// Applies to subjects near their limits. With three data halls, the peers in this hall would
/// announce a third of these requests.
const SILENCE_REQUESTS: f64 = 12.0;
/// Longest silence used for detection; for limits that need longer, silence means nothing.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which the fleet's membership has detected any isolation of this box.
///
/// If it has not, the subject has merely stopped sending requests.
const DETECTED_SILENCE: Duration = Duration::from_millis(2_000);
/// Shortest silence that counts as isolation.
const MIN_SILENCE: Duration = Duration::from_millis(200);
/// Lowest level of a box's own share.
///
/// A box may use tokens that other boxes left unused. Bounding the debt keeps it from
/// rejecting requests for long after it becomes isolated.
pub(super) const MIN_LEVEL: f64 = -1.0;

/// Admissions and remaining tokens of one subject.
#[derive(Debug)]
pub(super) struct Usage {
    pub(super) limit: RateLimit,
    pub(super) bucket: Bucket,
    /// This box's share of the limit, used while it is isolated.
    pub(super) own_share: Bucket,
    /// Cumulative admissions of this box, as announced to its peers.
    pub(super) announced: u16,
    /// Last cumulative counts announced by the peers in this data hall.
    pub(super) peer_sums: BTreeMap<NameId, u16>,
    /// Admissions in this data hall within the window.
    pub(super) hall_recent: SlidingCount,
    /// Cumulative admissions in this data hall known to this box, modulo 2^16.
    pub(super) hall_sum: u16,
    /// Last updates of the other data halls.
    pub(super) remote_halls: BTreeMap<NameId, RemoteHall>,
    /// Remaining tokens that each data hall last announced, and when.
    pub(super) hall_levels: BTreeMap<NameId, (Time, i16)>,
    /// Time at which the limit was last exhausted, as seen by this box or an announcer.
    pub(super) exhausted_at: Option<Time>,
    /// Time at which an update was last found to be due.
    pub(super) due_at: Option<Time>,
    /// Time of this data hall's last update to the others.
    pub(super) announced_at: Option<Time>,
    /// Whether there are admissions that were not announced to the other data halls.
    pub(super) unannounced: bool,
    /// Time of the last update of a peer about this subject.
    pub(super) received_at: Time,
    /// Whether the subject was near its limit when this box last received an update of another box.
    pub(super) near_limit: bool,
    /// Whether the remaining tokens are an estimate made after a start.
    pub(super) estimated: bool,
    /// Demand by priority, for subjects whose requests differ in it.
    pub(super) demand: Option<Box<Demand>>,
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl Bucket {
    pub(super) fn refill(&mut self, rate: f64, burst: f64, now: Time) {
        let added = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + added).min(burst.max(1.0));
        self.at = now;
    }

    /// Returns the time until a whole token is available.
    pub(super) fn wait(&self, rate: f64) -> Duration {
        let secs = ((1.0 - self.level) / rate.max(f64::MIN_POSITIVE)).max(0.0);
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}

impl Usage {
    pub(super) fn new(
        limit: RateLimit,
        level: f64,
        window: Duration,
        initial: u16,
        now: Time,
    ) -> Self {
        Self {
            limit,
            bucket: Bucket { level: level.max(1.0), at: now },
            own_share: Bucket { level: 1.0, at: now },
            announced: initial,
            peer_sums: BTreeMap::new(),
            hall_recent: SlidingCount::new(window),
            hall_sum: initial,
            remote_halls: BTreeMap::new(),
            hall_levels: BTreeMap::new(),
            exhausted_at: None,
            due_at: None,
            announced_at: None,
            unannounced: false,
            received_at: now,
            near_limit: false,
            estimated: false,
            demand: None,
        }
    }

    /// Lowers an estimated level to the one that a peer announced.
    pub(super) fn correct(&mut self, level: i16) {
        if self.estimated {
            self.estimated = false;
            self.bucket.level = self.bucket.level.min(level.into());
        }
    }

    /// Returns the remaining tokens in the form used for updates.
    pub(super) fn announced_level(&self) -> i16 {
        // The cast saturates at the bounds of the type.
        self.bucket.level.floor() as i16
    }

    pub(super) fn refill(&mut self, scope: LimitScope, now: Time) {
        let RateLimit { rate, burst } = self.limit;
        self.bucket.refill(rate, burst, now);
        self.own_share.refill(self.own_rate(scope), burst / scope.boxes.max(1) as f64, now);
        let is_near = self.bucket.level < NEAR_LIMIT_SHARE * burst;
        // Tokens refilled since the last update may have been spent by peers whose updates
        // this box does not receive. They must not end the state, since a small burst refills before the silence
        // counts as isolation.
        let is_known = self.max_silence().is_none()
            || scope.boxes < 2
            || now.since(self.received_at) >= DETECTED_SILENCE;
        if !scope.isolated {
            self.near_limit = is_near || (self.near_limit && !is_known);
        }
    }

    /// Records that an update of another box about this subject was applied.
    pub(super) fn record_received(&mut self, now: Time) {
        self.received_at = now;
        self.near_limit = self.bucket.level < NEAR_LIMIT_SHARE * self.limit.burst;
    }

    /// Returns the silence that counts as isolation, unless the limit is too small for that.
    fn max_silence(&self) -> Option<Duration> {
        let secs = SILENCE_REQUESTS / self.limit.rate;
        (secs <= MAX_SILENCE.as_secs_f64()).then(|| Duration::from_secs_f64(secs).max(MIN_SILENCE))
    }

    /// Returns the rate at which this box may admit requests while it is isolated.
    pub(super) fn own_rate(&self, scope: LimitScope) -> f64 {
        let share = if self.near_limit { ISOLATED_SHARE } else { 1.0 };
        self.limit.rate * share / scope.boxes.max(1) as f64
    }

    /// Returns whether this box no longer receives its peers' updates.
    ///
    /// Peers announce a subject near its limit continuously. The exception are limits so small
    /// that nothing is admitted for a while: if a box took that silence for isolation, it would
    /// admit its own share in addition to what the peers admit.
    pub(super) fn is_isolated(&self, scope: LimitScope, now: Time) -> bool {
        if scope.isolated || scope.boxes < 2 || !self.near_limit {
            return scope.isolated;
        }
        let silence = now.since(self.received_at);
        self.max_silence().is_some_and(|max| silence > max && silence < DETECTED_SILENCE)
    }

    pub(super) fn record_admitted(&mut self, n: u32, now: Time) {
        self.bucket.level -= f64::from(n);
        self.hall_recent.add(n, now);
        self.hall_sum = self.hall_sum.wrapping_add(n as u16);
        self.unannounced = true;
    }

    /// Returns the mean of the levels that the data halls lately announced.
    ///
    /// The levels of single boxes differ by updates still in transit. All boxes know the same
    /// announcements, so that they hold back the same requests. Without any, the own level counts.
    pub(super) fn shared_level(&self, now: Time) -> f64 {
        let is_current = |at: Time| now.since(at) < ANNOUNCE_INTERVAL * LEVEL_INTERVALS;
        let levels = self.hall_levels.values().filter(|(at, _)| is_current(*at));
        let (n, sum) =
            levels.fold((0, 0.0), |(n, sum), (_, level)| (n + 1, sum + f64::from(*level)));
        if n == 0 { self.bucket.level } else { sum / f64::from(n) }
    }

    /// Records the level that a data hall announces.
    pub(super) fn record_level(&mut self, hall: NameId, level: i16, now: Time) {
        self.hall_levels.insert(hall, (now, level));
        if level < 1 {
            self.exhausted_at = Some(now);
        }
    }

    /// Returns how far the demand of all boxes presses on the limit, as far as is known.
    pub(super) fn pressure(&mut self, window: Duration, now: Time) -> Pressure {
        if self.bucket.level < 1.0 {
            self.exhausted_at = Some(now);
        }
        let is_current = |f: &&RemoteHall| now.since(f.received_at) < REPLY_TIME;
        let remote = self.remote_halls.values().filter(is_current);
        let remote: f64 = remote.map(|f| f64::from(f.recent)).sum();
        // The newest of the two counted buckets is half full on average.
        let secs = 0.75 * LATEST_SHARE * window.as_secs_f64();
        Pressure {
            limit: self.limit,
            level: self.shared_level(now),
            admitted_rate: (f64::from(self.hall_recent.latest(now)) + remote) / secs,
            is_exhausted: self.exhausted_at.is_some_and(|at| now.since(at) < REPLY_TIME),
        }
    }

    /// Adjusts the fraction of the demand that is admitted, if there is a shortage.
    pub(super) fn adjust_demand(&mut self, window: Duration, now: Time) {
        if !self.demand.as_ref().is_some_and(|d| d.is_short()) {
            return;
        }
        let pressure = self.pressure(window, now);
        if let Some(demand) = &mut self.demand {
            demand.adjust(&pressure, now);
        }
    }

    /// Returns whether an update is due, at most once per [`ANNOUNCE_INTERVAL`].
    pub(super) fn is_update_due(&mut self, rule: LimitRule, scope: LimitScope, now: Time) -> bool {
        let is_too_soon = self.due_at.is_some_and(|at| now.since(at) < ANNOUNCE_INTERVAL);
        if scope.halls < 2 || !self.unannounced || is_too_soon {
            return false;
        }
        let is_near = self.is_near_limit(rule, scope, now);
        if is_near {
            self.due_at = Some(now);
        }
        is_near
    }

    /// Returns whether this data hall admits enough to affect the others.
    fn is_near_limit(&mut self, rule: LimitRule, scope: LimitScope, now: Time) -> bool {
        if self.remote_halls.values().any(|f| now.since(f.received_at) < REPLY_TIME) {
            return true;
        }
        let RateLimit { rate, burst } = self.limit;
        let (halls, secs) = (scope.halls as f64, rule.window.as_secs_f64());
        let share = |window: f64, extra: f64| (SILENT_SHARE * rate).mul_add(window, extra) / halls;
        let is_busy = f64::from(self.hall_recent.sum(now)) > share(secs, rule.slack);
        let max_recent = share(LATEST_SHARE * secs, SILENT_BURST_SHARE.mul_add(burst, rule.slack));
        is_busy || f64::from(self.hall_recent.latest(now)) > max_recent
    }
}
