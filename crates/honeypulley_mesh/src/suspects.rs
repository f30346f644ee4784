//! Requests under which upstreams ended, known to all boxes.

use crate::state::Mesh;
use honeypulley_policy::quarantine::{
    End, Fingerprint, Fingerprints, Hold, Quarantine, RequestNews, Standing,
};
use honeypulley_policy::time::Time;
use honeypulley_proxy::suspects::{Suspects, log_hold};

impl Suspects for Mesh {
    fn standing(&self, request: Fingerprints, now: Time) -> Standing {
        self.update_suspects(|q| q.standing(request, now))
    }

    fn ended(&self, request: Fingerprints, end: End, now: Time) {
        self.update_suspects(|q| q.ended(request, end, now));
    }

    fn served(&self, request: Fingerprints, now: Time) {
        self.update_suspects(|q| q.served(request, now));
    }

    fn refused(&self, request: Fingerprints, now: Time) {
        self.update_suspects(|q| q.refused(request, now));
    }

    fn held(&self, now: Time) -> Vec<Hold> {
        self.update_suspects(|q| q.held(now))
    }

    fn lift(&self, request: Fingerprint, now: Time) -> bool {
        self.update_suspects(|q| q.clear(request, now))
    }
}

impl Mesh {
    /// Returns the requests that are held.
    #[must_use]
    pub fn held_requests(&self) -> Vec<Hold> {
        self.held(self.now())
    }

    /// Returns how many requests are suspected or held.
    #[must_use]
    pub fn suspected_requests(&self) -> usize {
        self.update_suspects(|q| q.len())
    }

    /// Takes what another box knows of requests.
    pub fn hear_requests(&self, items: Vec<RequestNews>) {
        let now = self.now();
        self.update_suspects(|q| items.into_iter().for_each(|news| q.heard(news, now)));
    }

    /// Changes what is known, logs new holds and hands the news to the peers' duty.
    fn update_suspects<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = self.quarantine.lock();
        let done = f(&mut quarantine);
        let (holds, news) = (quarantine.take_holds(), quarantine.take_news());
        drop(quarantine);
        holds.iter().for_each(log_hold);
        news.into_iter().for_each(|n| self.requests_out.push(n));
        done
    }
}
