//! Interface between the serving path and the request quarantine.

use honeypulley_policy::quarantine::{
    Crash, Fingerprint, Fingerprints, Hold, Quarantine, Restriction,
};
use honeypulley_policy::time::Time;
use parking_lot::Mutex;
use std::fmt::Debug;

/// Access to the quarantine of requests that crash upstreams.
pub trait RequestQuarantine: Debug + Send + Sync {
    /// Applies a change, logs the holds that result from it and announces it to peers.
    fn update(&self, change: &mut dyn FnMut(&mut Quarantine));

    /// Returns the restriction on sending a request.
    fn restriction(&self, request: Fingerprints, now: Time) -> Restriction {
        let mut restriction = Restriction::Clear;
        self.update(&mut |q| restriction = q.restriction(request, now));
        restriction
    }

    /// Records that an upstream crashed during a request.
    fn record_crash(&self, request: Fingerprints, crash: Crash, now: Time) {
        self.update(&mut |q| q.record_crash(request, crash, now));
    }

    /// Records that a request succeeded.
    fn record_success(&self, request: Fingerprints, now: Time) {
        self.update(&mut |q| q.record_success(request, now));
    }

    /// Records that a held request was rejected.
    fn record_rejection(&self, request: Fingerprints, now: Time) {
        self.update(&mut |q| q.record_rejection(request, now));
    }

    /// Returns the requests that are held.
    fn held(&self, now: Time) -> Vec<Hold> {
        let mut held = Vec::new();
        self.update(&mut |q| held = q.active_holds(now));
        held
    }

    /// Clears a request on an operator's command; returns whether it was suspected.
    fn clear(&self, request: Fingerprint, now: Time) -> bool {
        let mut was_suspected = false;
        self.update(&mut |q| was_suspected = q.clear(request, now));
        was_suspected
    }
}

/// Quarantine of a single box without peers.
#[derive(Debug, Default)]
pub struct LocalQuarantine(Mutex<Quarantine>);

impl RequestQuarantine for LocalQuarantine {
    fn update(&self, change: &mut dyn FnMut(&mut Quarantine)) {
        let mut quarantine = self.0.lock();
        change(&mut quarantine);
        quarantine.take_new_holds().iter().for_each(log_hold);
        // There are no peers to send announcements to.
        drop(quarantine.take_updates());
    }
}

/// Logs that a request is held, with the evidence.
pub fn log_hold(h: &Hold) {
    let left_ms = h.remaining.as_millis() as u64;
    log::warn!(
        same:display = h.request, scope:debug = h.scope, ends = h.crashes, trials = h.trials, left_ms;
        "quarantine: request {} is held, this box knows of {} crashes of upstreams during it",
        h.request, h.crashes
    );
}
