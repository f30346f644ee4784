//! Log lines of the doubts that other boxes raise, bounded whatever the fleet's size.
//!
//! Each box receives every failure of the fleet. A request's own line has the belief by which its
//! upstream was chosen, so that no explanation depends on the lines left out.

use honeypulley_policy::balance::Doubt;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::limits::Gcra;
use honeypulley_policy::time::Time;

/// Lines a second.
const LINES_PER_S: f64 = 4.0;
/// Lines that may come at once.
const BURST: f64 = 12.0;

/// Writes lines of doubts, as far as their bound goes.
#[derive(Debug)]
pub struct DoubtLog {
    quota: Gcra,
    /// Doubts without a line since the last one.
    left_out: u64,
}

impl Default for DoubtLog {
    fn default() -> Self {
        Self { quota: Gcra::new(LINES_PER_S), left_out: 0 }
    }
}

impl DoubtLog {
    /// Logs a doubt that a peer's news raised, within a rate; returns whether it did.
    pub fn note(&mut self, from: NameId, d: &Doubt, now: Time) -> bool {
        if self.quota.take(BURST, now).is_err() {
            self.left_out += 1;
            return false;
        }
        let left_out = std::mem::take(&mut self.left_out);
        log::info!(
            upstream = d.upstream.as_str(), what:debug = d.what, from = from.0,
            before = round(d.before), sick = round(d.after), left_out;
            "news: {} is in doubt", d.upstream
        );
        true
    }
}

/// Rounds a chance for the log.
fn round(x: f64) -> f64 {
    (x * 1e3).round() / 1e3
}
