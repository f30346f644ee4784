//! How much of a service's work fails at the moment.

use super::retry::Reach;
use crate::time::Time;
use std::time::Duration;

/// Time in which an event loses most of its weight: the span of the floor's rule.
const LIFE: Duration = Duration::from_secs(2);
/// Sends that must be known before a share means anything.
const LEAST_SENDS: f64 = 8.0;

/// A count that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    value: f64,
    at: Time,
}

impl Fading {
    fn now(self, now: Time) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / LIFE.as_secs_f64()).exp()
    }

    fn add(&mut self, n: f64, now: Time) {
        *self = Self { value: self.now(now) + n, at: now.max(self.at) };
    }
}

/// Sends of this data hall and failures of the fleet, of the last moments.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pulse {
    sends: Fading,
    failures: Fading,
}

impl Pulse {
    /// Takes that this box or one of its data hall sent something.
    pub(super) fn sent(&mut self, n: f64, now: Time) {
        self.sends.add(n, now);
    }

    /// Takes that something failed anywhere in the fleet.
    pub(super) fn failed(&mut self, n: f64, now: Time) {
        self.failures.add(n, now);
    }

    /// Returns the share of the fleet's sends that fail.
    ///
    /// The sends of the other data halls are taken to be as many a box as here.
    pub(super) fn failing(&self, reach: Reach, now: Time) -> f64 {
        let halls = reach.boxes.max(1) as f64 / reach.near.max(1) as f64;
        let sends = self.sends.now(now) * halls;
        if sends < LEAST_SENDS {
            return 0.0;
        }
        self.failures.now(now) / sends
    }
}
