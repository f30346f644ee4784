//! Rate-limited log lines of doubts raised by the reports of other boxes.
//!
//! Each box receives every failure report of the fleet, so that the number of lines would grow
//! with the fleet's size. A request's own log line carries the belief by which its upstream was
//! chosen, so that explaining a decision does not depend on lines that were left out.

use honeypulley_policy::balance::Suspicion;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::limits::Gcra;
use honeypulley_policy::time::Time;

/// Sustained rate of log lines.
const LINES_PER_SECOND: f64 = 4.0;
/// Maximum burst of log lines.
const BURST: f64 = 12.0;

/// Rate-limited log of doubts.
#[derive(Debug)]
pub struct SuspicionLog {
    quota: Gcra,
    /// Doubts left out since the last log line.
    left_out: u64,
}

impl Default for SuspicionLog {
    fn default() -> Self {
        Self { quota: Gcra::new(LINES_PER_SECOND), left_out: 0 }
    }
}

impl SuspicionLog {
    /// Logs a suspicion raised by a peer's report, within the rate limit.
    ///
    /// Returns whether a line was written.
    pub fn log(&mut self, from: NameId, suspicion: &Suspicion, now: Time) -> bool {
        if self.quota.try_acquire(BURST, now).is_err() {
            self.left_out += 1;
            return false;
        }
        let left_out = std::mem::take(&mut self.left_out);
        log::info!(
            upstream = suspicion.upstream.as_str(), what:debug = suspicion.observation,
            from = from.0, before = round_probability(suspicion.before),
            sick = round_probability(suspicion.after), left_out;
            "news: {} is in doubt", suspicion.upstream
        );
        true
    }
}

/// Rounds a probability to three decimals for the log.
fn round_probability(x: f64) -> f64 {
    (x * 1e3).round() / 1e3
}
