//! Limits per caller.

use honeypulley_policy::limits::Gcra;
use honeypulley_policy::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Callers whose limit is tracked before idle ones are forgotten.
const MAX_TRACKED: usize = 65_536;
/// Requests a caller may send at once.
const BURST: f64 = 20.0;

/// Limits of the callers that asked lately.
#[derive(Debug, Default)]
pub struct CallerLimits {
    cells: HashMap<Box<str>, (Gcra, f64, Time)>,
}

impl CallerLimits {
    /// Admits one request of `caller`, who may send at `rate` to this box.
    ///
    /// # Errors
    /// Returns the time until the next request fits.
    pub fn take(&mut self, caller: &str, rate: f64, now: Time) -> Result<(), Duration> {
        if self.cells.len() >= MAX_TRACKED {
            // One idle for a minute has its whole burst back anyway.
            self.cells.retain(|_, (_, _, seen)| now.since(*seen) < Duration::from_secs(60));
        }
        if let Some((cell, known, seen)) = self.cells.get_mut(caller)
            && *known == rate
        {
            *seen = now;
            return cell.take(BURST, now);
        }
        let mut cell = Gcra::new(rate);
        let taken = cell.take(BURST, now);
        self.cells.insert(caller.into(), (cell, rate, now));
        taken
    }
}
