//! Rate limits for each caller.

use honeypulley_policy::limits::Gcra;
use honeypulley_policy::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Number of tracked callers above which idle ones are dropped.
const MAX_TRACKED: usize = 65_536;
/// Requests a caller may send at once.
const BURST: f64 = 20.0;

/// Rate limits of the callers seen recently.
#[derive(Debug, Default)]
pub struct CallerLimits {
    cells: HashMap<Box<str>, (Gcra, f64, Time)>,
}

impl CallerLimits {
    /// Admits one request of `caller`, whose limit on this box is `rate` requests per second.
    ///
    /// # Errors
    /// Returns the time until the next request is allowed.
    pub fn take(&mut self, caller: &str, rate: f64, now: Time) -> Result<(), Duration> {
        if self.cells.len() >= MAX_TRACKED {
            // After a minute, an idle caller's whole burst is available again.
            self.cells.retain(|_, (_, _, seen)| now.since(*seen) < Duration::from_secs(60));
        }
        if let Some((cell, current, seen)) = self.cells.get_mut(caller)
            && *current == rate
        {
            *seen = now;
            return cell.try_acquire(BURST, now);
        }
        let mut cell = Gcra::new(rate);
        let result = cell.try_acquire(BURST, now);
        self.cells.insert(caller.into(), (cell, rate, now));
        result
    }
}
