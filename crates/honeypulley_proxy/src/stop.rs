//! State of a planned stop, shared by the serving path and the admin server.

use honeypulley_policy::shutdown::{PlannedStop, Unfinishable};
use honeypulley_policy::time::Time;
use honeypulley_supervisor::clock::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Time without a sign of the thread that takes signals after which a stop may be unnoticed.
///
/// Three of its ticks; less than the part of the grace period that a stop leaves unused.
const QUIET_LIMIT: Duration = Duration::from_millis(300);
/// Maximum time to wait for that thread.
const QUIET_WAIT: Duration = Duration::from_millis(100);
/// Time between two looks for it.
const QUIET_POLL: Duration = Duration::from_millis(2);

/// Maximum time between two looks at the clock during a stop.
const WAIT_SLICE: Duration = Duration::from_millis(100);

/// Whether a planned stop has begun, and what it leaves time for.
#[derive(Debug, Default)]
pub struct StopState {
    stop: watch::Sender<Option<PlannedStop>>,
    /// Number of requests that were rejected since they may outlast the process.
    rejected: AtomicU64,
    /// Last time at which no signal was pending, in microseconds; zero if nobody records it.
    quiet: AtomicU64,
}

impl StopState {
    /// Begins the stop, unless one has begun; returns the one that is in force.
    pub fn begin(&self, stop: PlannedStop) -> PlannedStop {
        let mut current = stop;
        self.stop.send_if_modified(|s| {
            let is_new = s.is_none();
            current = *s.get_or_insert(stop);
            is_new
        });
        current
    }

    /// Returns the stop, if it has begun.
    #[must_use]
    pub fn current(&self) -> Option<PlannedStop> {
        *self.stop.borrow()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.current().is_some()
    }

    /// Records that no signal was pending at `now`.
    pub fn record_quiet(&self, now: Time) {
        self.quiet.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Waits shortly if the process may have been suspended and told to stop meanwhile.
    ///
    /// After a suspension, requests may be read before the signal is. Returns at once if the
    /// thread that takes signals has run lately.
    pub async fn wait_noticed(&self, clock: Clock) {
        let waited = clock.now() + QUIET_WAIT;
        while self.may_be_unnoticed(clock.now()) && clock.now() < waited {
            tokio::time::sleep(QUIET_POLL).await;
        }
    }

    /// Returns whether a signal may be pending that nobody has noticed.
    fn may_be_unnoticed(&self, now: Time) -> bool {
        let quiet = self.quiet.load(Ordering::Relaxed);
        quiet > 0 && now.since(Time::from_micros(quiet)) > QUIET_LIMIT && !self.has_begun()
    }

    /// Returns whether a request with this deadline may be sent to its first upstream.
    ///
    /// # Errors
    /// Returns an error if the request may still run when the process ends.
    pub fn check(&self, deadline: Option<Time>, now: Time) -> Result<(), Unfinishable> {
        self.current().map_or(Ok(()), |s| s.check(deadline, now))
    }

    /// Returns when a request accepted at `accepted` must be answered, if that is known.
    #[must_use]
    pub fn answer_by(&self, accepted: Time) -> Option<Time> {
        self.current().and_then(|s| s.answer_by(accepted))
    }

    /// Waits until a request accepted at `accepted` must be answered, or forever.
    pub async fn wait_answer_by(&self, accepted: Time, clock: Clock) {
        self.wait_for(|s| s.answer_by(accepted), clock).await;
    }

    /// Waits until the process ends by itself, or forever.
    pub async fn wait_end(&self, clock: Clock) {
        self.wait_for(PlannedStop::end, clock).await;
    }

    /// Waits until a request with this deadline is not accepted any more, or forever.
    pub async fn wait_unfinishable(&self, deadline: Option<Time>, clock: Clock) -> Unfinishable {
        self.wait_for(PlannedStop::strict_from, clock).await;
        match self.check(deadline, clock.now()) {
            Ok(()) => std::future::pending().await,
            Err(e) => e,
        }
    }

    /// Counts a request that was rejected since it may outlast the process.
    pub fn record_rejection(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests were rejected since they may outlast the process.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Waits until a point in time of the stop, or forever if the stop has no such point.
    async fn wait_for(&self, point: impl Fn(&PlannedStop) -> Option<Time>, clock: Clock) {
        let mut stop = self.stop.subscribe();
        let begun = stop.wait_for(Option::is_some).await.ok().and_then(|s| *s);
        let Some(at) = begun.as_ref().and_then(point) else {
            return std::future::pending().await;
        };
        while clock.now() < at {
            // Timers don't advance while the machine is suspended, but the clock does.
            tokio::time::sleep(at.since(clock.now()).min(WAIT_SLICE)).await;
        }
    }
}
