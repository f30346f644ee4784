//! What the serving path asks and tells about requests under which upstreams end.

use honeypulley_policy::quarantine::{End, Fingerprint, Fingerprints, Hold, Quarantine, Standing};
use honeypulley_policy::time::Time;
use parking_lot::Mutex;
use std::fmt::Debug;

/// Knows which requests ended upstreams.
pub trait Suspects: Debug + Send + Sync {
    /// Changes what is known, logs the holds that are new by it and tells whoever is to know.
    fn update(&self, change: &mut dyn FnMut(&mut Quarantine));

    /// Returns how a request may be treated.
    fn standing(&self, request: Fingerprints, now: Time) -> Standing {
        let mut standing = Standing::Clear;
        self.update(&mut |q| standing = q.standing(request, now));
        standing
    }

    /// Records that an upstream crashed during a request.
    fn ended(&self, request: Fingerprints, end: End, now: Time) {
        self.update(&mut |q| q.ended(request, end, now));
    }

    /// Records that a request was answered well.
    fn served(&self, request: Fingerprints, now: Time) {
        self.update(&mut |q| q.served(request, now));
    }

    /// Records that a held request was rejected.
    fn refused(&self, request: Fingerprints, now: Time) {
        self.update(&mut |q| q.refused(request, now));
    }

    /// Returns the requests that are held.
    fn held(&self, now: Time) -> Vec<Hold> {
        let mut held = Vec::new();
        self.update(&mut |q| held = q.held(now));
        held
    }

    /// Clears a request that an operator takes for harmless; returns whether it was suspected.
    fn lift(&self, request: Fingerprint, now: Time) -> bool {
        let mut was_suspected = false;
        self.update(&mut |q| was_suspected = q.clear(request, now));
        was_suspected
    }
}

/// Suspects that one box knows by itself.
#[derive(Debug, Default)]
pub struct OwnSuspects(Mutex<Quarantine>);

impl Suspects for OwnSuspects {
    fn update(&self, change: &mut dyn FnMut(&mut Quarantine)) {
        let mut quarantine = self.0.lock();
        change(&mut quarantine);
        quarantine.take_holds().iter().for_each(log_hold);
        // There is nobody to tell.
        drop(quarantine.take_news());
    }
}

/// Logs that a request is held, with the evidence.
pub fn log_hold(h: &Hold) {
    let left_ms = h.left.as_millis() as u64;
    log::warn!(
        same:display = h.request, scope:debug = h.scope, ends = h.ends, trials = h.trials, left_ms;
        "quarantine: request {} is held, this box knows of {} upstreams that ended under it",
        h.request, h.ends
    );
}
