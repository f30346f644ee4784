//! Quarantine of requests suspected of crashing upstreams, shared by all boxes.

use crate::state::Mesh;
use honeypulley_policy::quarantine::{Hold, Quarantine, RequestUpdate};
use honeypulley_proxy::suspects::{RequestQuarantine, log_hold};

impl RequestQuarantine for Mesh {
    fn update(&self, change: &mut dyn FnMut(&mut Quarantine)) {
        let mut quarantine = self.quarantine.lock();
        change(&mut quarantine);
        let (holds, updates) = (quarantine.take_new_holds(), quarantine.take_updates());
        drop(quarantine);
        holds.iter().for_each(log_hold);
        updates.into_iter().for_each(|n| self.requests_out.push(n));
    }
}

impl Mesh {
    /// Returns the requests on hold.
    #[must_use]
    pub fn quarantined_requests(&self) -> Vec<Hold> {
        self.held(self.now())
    }

    /// Returns how many requests are suspected or on hold.
    #[must_use]
    pub fn suspected_requests(&self) -> usize {
        self.quarantine.lock().len()
    }

    /// Applies a peer's updates about suspect requests.
    pub fn apply_request_updates(&self, items: Vec<RequestUpdate>) {
        let now = self.now();
        self.update(&mut |q| items.iter().for_each(|&update| q.apply_update(update, now)));
    }
}
