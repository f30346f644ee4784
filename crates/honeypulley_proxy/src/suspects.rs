//! What the serving path asks and tells about requests under which upstreams end.

use honeypulley_policy::quarantine::{End, Fingerprint, Fingerprints, Hold, Quarantine, Standing};
use honeypulley_policy::time::Time;
use parking_lot::Mutex;
use std::fmt::Debug;

/// Knows which requests ended upstreams.
pub trait Suspects: Debug + Send + Sync {
    /// Returns how a request may be treated.
    fn standing(&self, request: Fingerprints, now: Time) -> Standing;
    /// Takes that an upstream ended under a request.
    fn ended(&self, request: Fingerprints, end: End, now: Time);
    /// Takes that a request was answered well.
    fn served(&self, request: Fingerprints, now: Time);
    /// Takes that a held request was refused.
    fn refused(&self, request: Fingerprints, now: Time);
    /// Returns the requests that are held.
    fn held(&self, now: Time) -> Vec<Hold>;
    /// Clears a request that an operator takes for harmless; returns whether it was suspected.
    fn lift(&self, request: Fingerprint, now: Time) -> bool;
}

/// Suspects that one box knows by itself.
#[derive(Debug, Default)]
pub struct OwnSuspects(Mutex<Quarantine>);

impl OwnSuspects {
    fn update<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = self.0.lock();
        let done = f(&mut quarantine);
        quarantine.take_holds().iter().for_each(log_hold);
        // There is nobody to tell.
        drop(quarantine.take_news());
        done
    }
}

impl Suspects for OwnSuspects {
    fn standing(&self, request: Fingerprints, now: Time) -> Standing {
        self.update(|q| q.standing(request, now))
    }

    fn ended(&self, request: Fingerprints, end: End, now: Time) {
        self.update(|q| q.ended(request, end, now));
    }

    fn served(&self, request: Fingerprints, now: Time) {
        self.update(|q| q.served(request, now));
    }

    fn refused(&self, request: Fingerprints, now: Time) {
        self.update(|q| q.refused(request, now));
    }

    fn held(&self, now: Time) -> Vec<Hold> {
        self.update(|q| q.held(now))
    }

    fn lift(&self, request: Fingerprint, now: Time) -> bool {
        self.update(|q| q.clear(request, now))
    }
}

/// Logs that a request is held, with the evidence.
pub fn log_hold(h: &Hold) {
    let left_ms = h.left.as_millis() as u64;
    log::warn!(
        same:display = h.request, scope:debug = h.scope, ends = h.ends, trials = h.trials, left_ms;
        "quarantine: request {} is held, {} upstreams ended under it one after the other",
        h.request, h.ends
    );
}
