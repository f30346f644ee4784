//! Detects and holds requests that crash the upstreams which run them.
//!
//! A request may trigger a fault that terminates any upstream that runs it (a "query of
//! death"). Retries, hedges and the caller's own repeats then take it from one upstream to the
//! next, and all requests that run concurrently on these upstreams fail as well. Evidence per
//! upstream can't reveal this, so evidence is collected here per request, over all boxes.
//!
//! All requests in flight on an upstream when it crashes become suspects. One of them caused
//! the crash. A success clears a suspect, since a request that causes crashes never succeeds. A
//! request during which several upstreams crashed **one after the other** is held: no box
//! forwards it until the hold expires, and then it is sent to a single upstream as a trial.

mod fingerprint;
mod record;

use crate::collector::NameId;
use crate::time::Time;
pub use fingerprint::{Fingerprint, Fingerprints, Scope};
use record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of tracked requests.
///
/// A crash adds a record for each request in flight, about twenty. All but one of them are
/// cleared by their next answer. At 300 bytes each, the records take 600 KB.
pub const MOST_RECORDS: usize = 2_048;
/// Maximum number of held requests that are stored and announced to new boxes.
///
/// They fit into 32 KB in the store, far below the platform's size limit for a value.
pub const MOST_HELD: usize = 256;
/// Minimum time between two announcements of a hold that leads to rejections.
///
/// Holds are announced again because peers may have missed the first announcement. The interval
/// is half of the shortest time within which a change must be known on all boxes, so that a
/// lost announcement is repeated in time.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Restriction on sending a request to upstreams, from none to a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Restriction {
    /// No restriction.
    Clear,
    /// One upstream crashed during the request: it is retried, but not hedged.
    ///
    /// Nearly all such requests merely ran concurrently with the cause, and a retry serves them.
    /// A hedge could crash a second upstream at the same time without any benefit.
    NoHedge,
    /// Several upstreams crashed during the request: it is sent once, without retries.
    NoRetry,
    /// The request is rejected.
    Held {
        /// Time until it may be sent once, as a trial.
        remaining: Duration,
    },
}

/// A crash of an upstream during a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The upstream.
    pub upstream: NameId,
    /// When the request was sent to it.
    pub began: Time,
    /// When the crash was detected.
    pub ended: Time,
}

/// Hold on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The request.
    pub request: Fingerprint,
    /// What the fingerprint covers.
    pub scope: Scope,
    /// Number of crashes during the request that are known to this box.
    pub crashes: usize,
    /// Time until a trial is allowed.
    pub remaining: Duration,
    /// Number of failed trials.
    pub trials: u8,
}

/// Announcement about a request; points in time are sent as durations before the present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestUpdate {
    /// An upstream crashed during a request.
    Crashed {
        /// The request.
        request: Fingerprint,
        /// What the fingerprint covers.
        scope: Scope,
        /// The upstream.
        upstream: NameId,
        /// Time since the request was sent to it.
        since_sent: Duration,
        /// Time since the crash.
        since_crash: Duration,
    },
    /// A suspected request succeeded.
    Served {
        /// The request.
        request: Fingerprint,
        /// Time since the success.
        age: Duration,
    },
    /// A request is held.
    Held {
        /// The request.
        request: Fingerprint,
        /// What the fingerprint covers.
        scope: Scope,
        /// Time until a trial is allowed.
        remaining: Duration,
        /// Number of failed trials.
        trials: u8,
    },
}

/// Suspected and held requests, as known to one box.
///
/// Announcements may be delayed, duplicated and reordered. Records therefore store the crashes
/// themselves, and the restriction is derived from all of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
    updates: Vec<RequestUpdate>,
    new_holds: Vec<Hold>,
}

impl Quarantine {
    /// Returns the restriction on sending a request.
    pub fn restriction(&mut self, request: Fingerprints, now: Time) -> Restriction {
        // Fast path: nearly all requests have no record, even while others are suspected.
        if !request.each().iter().any(|(_, f)| self.records.contains_key(f)) {
            return Restriction::Clear;
        }
        let explained = self.explained_crashes();
        let each = request.each();
        each.map(|(_, f)| self.evaluate(f, &explained, now))
            .into_iter()
            .max()
            .unwrap_or(Restriction::Clear)
    }

    /// Records that an upstream crashed during a request of this box.
    pub fn record_crash(&mut self, request: Fingerprints, crash: Crash, now: Time) {
        for (scope, request) in request.each() {
            self.updates.push(RequestUpdate::Crashed {
                request,
                scope,
                upstream: crash.upstream,
                since_sent: now.since(crash.began),
                since_crash: now.since(crash.ended),
            });
            self.add_crash(request, scope, crash, now);
        }
    }

    /// Records that a request of this box succeeded.
    pub fn record_success(&mut self, request: Fingerprints, now: Time) {
        for (_, request) in request.each() {
            self.clear(request, now);
        }
    }

    /// Clears a request and announces this; returns whether it was suspected.
    pub fn clear(&mut self, request: Fingerprint, now: Time) -> bool {
        let was_suspected = self.records.get_mut(&request).is_some_and(|r| r.record_success(now));
        if was_suspected {
            self.updates.push(RequestUpdate::Served { request, age: Duration::ZERO });
        }
        was_suspected
    }

    /// Records that this box rejects a request, and announces the hold again at intervals.
    pub fn record_rejection(&mut self, request: Fingerprints, now: Time) {
        for (_, f) in request.each() {
            let Some(r) = self.records.get_mut(&f) else { continue };
            let Some(hold) = r.hold(f, now) else { continue };
            if now.since(r.announced_at) >= ANNOUNCE_INTERVAL {
                r.announced_at = now;
                self.updates.push(hold.to_update());
            }
        }
    }

    /// Applies an update of a peer.
    pub fn apply_update(&mut self, update: RequestUpdate, now: Time) {
        match update {
            RequestUpdate::Crashed { request, scope, upstream, since_sent, since_crash } => {
                let crash = Crash {
                    upstream,
                    began: now.before(since_sent),
                    ended: now.before(since_crash),
                };
                self.add_crash(request, scope, crash, now);
            }
            RequestUpdate::Served { request, age } => {
                if let Some(r) = self.records.get_mut(&request) {
                    r.record_success(now.before(age));
                }
            }
            RequestUpdate::Held { request, scope, remaining, trials } => {
                let r = self.record(request, scope, now);
                r.announced_at = now;
                let hold =
                    r.apply_hold(remaining, trials, now).then(|| r.hold(request, now)).flatten();
                self.new_holds.extend(hold);
            }
        }
    }

    /// Returns the holds, including expired ones that await a trial.
    ///
    /// Starts the holds that are due first. Requests with the most failed trials come first, and
    /// at most [`MOST_HELD`] are returned.
    pub fn active_holds(&mut self, now: Time) -> Vec<Hold> {
        self.start_due_holds(now);
        let mut held: Vec<Hold> =
            self.records.iter().filter_map(|(&f, r)| r.latest_hold(f, now)).collect();
        held.sort_by_key(|h| std::cmp::Reverse((h.trials, h.remaining)));
        held.truncate(MOST_HELD);
        held
    }

    /// Starts a hold on each request whose crashes no other request explains.
    fn start_due_holds(&mut self, now: Time) {
        let mut explained = self.explained_crashes();
        let may_be_due = |r: &Record| !r.is_cause() && r.crashes().len() >= r.threshold();
        let suspects: Vec<Fingerprint> =
            self.records.iter().filter(|(_, r)| may_be_due(r)).map(|(&f, _)| f).collect();
        for f in suspects {
            if matches!(self.evaluate(f, &explained, now), Restriction::Held { .. }) {
                explained = self.explained_crashes();
            }
        }
    }

    /// Returns the number of suspected and held requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is suspected or held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drains the queued updates.
    pub fn take_updates(&mut self) -> Vec<RequestUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Drains the holds added since the last call, for the log.
    pub fn take_new_holds(&mut self) -> Vec<Hold> {
        std::mem::take(&mut self.new_holds)
    }

    fn add_crash(&mut self, request: Fingerprint, scope: Scope, crash: Crash, now: Time) {
        let r = self.record(request, scope, now);
        let hold = r.add(crash, now).then(|| r.hold(request, now)).flatten();
        self.new_holds.extend(hold);
    }

    /// Returns the restriction by one fingerprint, and starts a hold if one is due.
    fn evaluate(
        &mut self,
        f: Fingerprint,
        explained: &[(Fingerprint, Crash)],
        now: Time,
    ) -> Restriction {
        let Some(r) = self.records.get(&f) else { return Restriction::Clear };
        let crashes = r.crash_sequence(&explained_by_others(f, explained));
        let is_certain = || crashes.len() > r.threshold() || !self.is_tied(f, &crashes, explained);
        if r.is_due(&crashes, now) && is_certain() {
            self.start_hold(f, now);
        }
        self.records.get(&f).map_or(Restriction::Clear, |r| r.restriction(crashes.len(), now))
    }

    fn start_hold(&mut self, f: Fingerprint, now: Time) {
        let Some(r) = self.records.get_mut(&f) else { return };
        r.start_hold(now);
        let hold = r.hold(f, now);
        self.updates.extend(hold.as_ref().map(Hold::to_update));
        self.new_holds.extend(hold);
    }

    /// Returns the crashes during requests that were held as their cause.
    fn explained_crashes(&self) -> Vec<(Fingerprint, Crash)> {
        let explained = self.records.iter().filter(|(_, r)| r.is_cause());
        explained.flat_map(|(&f, r)| r.crashes().iter().map(move |&e| (f, e))).collect()
    }

    /// Returns whether another suspect shares the last crash and has at least as many crashes.
    ///
    /// Only one of the two causes the crashes. Either the other one is cleared by its next
    /// answer, or the next crash tells them apart. When both were held, one harmless request was
    /// held for every three harmful ones with nine upstreams.
    fn is_tied(
        &self,
        f: Fingerprint,
        crashes: &[Crash],
        explained: &[(Fingerprint, Crash)],
    ) -> bool {
        let (Some(own), Some(last)) = (self.records.get(&f), crashes.last()) else { return false };
        self.records.iter().any(|(&g, r)| {
            g != f
                && own.has_same_scope(r)
                && !r.is_cause()
                && r.crashes().iter().any(|e| e.is_same(last))
                && r.crash_sequence(&explained_by_others(g, explained)).len() >= crashes.len()
        })
    }

    fn record(&mut self, request: Fingerprint, scope: Scope, now: Time) -> &mut Record {
        if !self.records.contains_key(&request) {
            self.records.retain(|_, r| !r.is_expired(now));
            self.evict(now);
        }
        self.records.entry(request).or_insert_with(|| Record::new(scope, now))
    }

    /// Evicts records while the table is full.
    ///
    /// Requests that are not held, have the fewest crashes and are the oldest go first.
    fn evict(&mut self, now: Time) {
        while self.records.len() >= MOST_RECORDS {
            let victim =
                self.records.iter().min_by_key(|(_, r)| r.retention_rank(now)).map(|(&f, _)| f);
            let Some(f) = victim else { return };
            self.records.remove(&f);
        }
    }
}

impl Hold {
    /// Returns an update about this hold.
    #[must_use]
    pub const fn to_update(&self) -> RequestUpdate {
        let Self { request, scope, remaining, trials, .. } = *self;
        RequestUpdate::Held { request, scope, remaining, trials }
    }
}

/// Returns the crashes that are explained by held requests other than `f`.
///
/// A request that merely ran concurrently with a held one did not cause these crashes.
fn explained_by_others(f: Fingerprint, explained: &[(Fingerprint, Crash)]) -> Vec<Crash> {
    explained.iter().filter(|(g, _)| *g != f).map(|&(_, e)| e).collect()
}
