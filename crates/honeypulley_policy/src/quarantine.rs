//! Requests under which upstreams end.
//!
//! A request may carry a fault that ends the process of whichever upstream runs it: a query
//! of death. Retry, hedge and the caller's own repeats, each right by itself, then carry it
//! from one upstream to the next, and every request that runs beside it is lost. Evidence by
//! upstream can't show that, so it is kept here by request, over all boxes.
//!
//! Whatever was open on an upstream when it ended is suspected, and one of it is guilty. A
//! request that was answered well once is cleared: a guilty one never is. One under which
//! several upstreams ended **one after the other** is held: no box sends it on until the hold
//! lapses, and then to one upstream, as a trial.

mod fingerprint;
mod record;

use crate::collector::NameId;
use crate::time::Time;
pub use fingerprint::{Fingerprint, Fingerprints, Scope};
use record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// Requests that are remembered.
///
/// An end leaves one for each request that was open, some twenty, of which all but one are
/// cleared by their next answer. At 300 bytes each they take 600 KB.
pub const MOST_RECORDS: usize = 2_048;
/// Held requests that are announced to boxes that may not know them, and stored.
///
/// What the store holds of them fits 32 KB, far below the platform's limit of a value.
pub const MOST_HELD: usize = 256;
/// Time between two times that a box tells of a hold by which it refuses.
///
/// A box that tells the others may have missed the news; half of the smallest bound within
/// which a change must be known everywhere, so that one that is lost is made good in time.
const TELL_GAP: Duration = Duration::from_secs(1);

/// How a request may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// As any other.
    Clear,
    /// One upstream ended under it: not on two at a time.
    ///
    /// Nearly all that bear this are innocent: they ran beside the guilty one. A second send
    /// after the first serves them; a hedge would let a guilty one end two for nothing.
    Watched,
    /// Upstreams ended under it: sent to one upstream, and not again.
    Single,
    /// Not sent to any.
    Held {
        /// Time until one send is allowed, as a trial.
        left: Duration,
    },
}

/// An end of an upstream under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The upstream.
    pub upstream: NameId,
    /// When the request was sent to it.
    pub began: Time,
    /// When it was seen to have ended.
    pub ended: Time,
}

/// A request that has just been put on hold, or is on hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The request.
    pub request: Fingerprint,
    /// What the fingerprint covers.
    pub scope: Scope,
    /// Upstreams that ended under it, as far as this box knows.
    pub ends: usize,
    /// Time until one send is allowed.
    pub left: Duration,
    /// Trials after which it was held again.
    pub trials: u8,
}

/// What boxes announce about requests; times are sent as spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestNews {
    /// An upstream ended under a request.
    Ended {
        /// The request.
        request: Fingerprint,
        /// What the fingerprint covers.
        scope: Scope,
        /// The upstream.
        upstream: NameId,
        /// Time since the request was sent to it.
        began: Duration,
        /// Time since it ended.
        ended: Duration,
    },
    /// A suspected request was answered well.
    Served {
        /// The request.
        request: Fingerprint,
        /// Time since.
        ago: Duration,
    },
    /// A request is held.
    Held {
        /// The request.
        request: Fingerprint,
        /// What the fingerprint covers.
        scope: Scope,
        /// Time until one send is allowed.
        left: Duration,
        /// Trials after which it was held again.
        trials: u8,
    },
}

/// One box's knowledge of suspected and held requests.
///
/// Announcements may arrive late, twice and in any order: a record keeps the crashes
/// themselves and reckons from all of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
    news: Vec<RequestNews>,
    new_holds: Vec<Hold>,
}

impl Quarantine {
    /// Returns how a request may be treated.
    pub fn standing(&mut self, request: Fingerprints, now: Time) -> Standing {
        // Nothing is known of nearly all requests, also while others are suspected.
        if !request.each().iter().any(|(_, f)| self.records.contains_key(f)) {
            return Standing::Clear;
        }
        let guilty = self.guilty_ends();
        let each = request.each();
        each.map(|(_, f)| self.judge(f, &guilty, now)).into_iter().max().unwrap_or(Standing::Clear)
    }

    /// Records that an upstream crashed during a request of this box.
    pub fn ended(&mut self, request: Fingerprints, end: End, now: Time) {
        for (scope, request) in request.each() {
            self.news.push(RequestNews::Ended {
                request,
                scope,
                upstream: end.upstream,
                began: now.since(end.began),
                ended: now.since(end.ended),
            });
            self.add_end(request, scope, end, now);
        }
    }

    /// Records that a request of this box was answered well.
    pub fn served(&mut self, request: Fingerprints, now: Time) {
        for (_, request) in request.each() {
            self.clear(request, now);
        }
    }

    /// Clears a request and broadcasts that; returns whether it was suspected.
    pub fn clear(&mut self, request: Fingerprint, now: Time) -> bool {
        let was_suspected = self.records.get_mut(&request).is_some_and(|r| r.serve(now));
        if was_suspected {
            self.news.push(RequestNews::Served { request, ago: Duration::ZERO });
        }
        was_suspected
    }

    /// Records that this box rejects a request, and rebroadcasts the hold now and then.
    pub fn refused(&mut self, request: Fingerprints, now: Time) {
        for (_, f) in request.each() {
            let Some(r) = self.records.get_mut(&f) else { continue };
            let Some(hold) = r.hold(f, now) else { continue };
            if now.since(r.told) >= TELL_GAP {
                r.told = now;
                self.news.push(hold.news());
            }
        }
    }

    /// Applies news of a peer.
    pub fn heard(&mut self, news: RequestNews, now: Time) {
        match news {
            RequestNews::Ended { request, scope, upstream, began, ended } => {
                let end = End { upstream, began: now.before(began), ended: now.before(ended) };
                self.add_end(request, scope, end, now);
            }
            RequestNews::Served { request, ago } => {
                if let Some(r) = self.records.get_mut(&request) {
                    r.serve(now.before(ago));
                }
            }
            RequestNews::Held { request, scope, left, trials } => {
                let r = self.record(request, scope, now);
                r.told = now;
                let hold = r.hold_for(left, trials, now).then(|| r.hold(request, now)).flatten();
                self.new_holds.extend(hold);
            }
        }
    }

    /// Returns the requests that are held, or that were until a trial, those with the most
    /// trials first; puts on hold first what is due.
    pub fn held(&mut self, now: Time) -> Vec<Hold> {
        self.settle(now);
        let mut held: Vec<Hold> =
            self.records.iter().filter_map(|(&f, r)| r.last_hold(f, now)).collect();
        held.sort_by_key(|h| std::cmp::Reverse((h.trials, h.left)));
        held.truncate(MOST_HELD);
        held
    }

    /// Puts on hold each request whose ends nothing else accounts for.
    fn settle(&mut self, now: Time) {
        let mut guilty = self.guilty_ends();
        let may_be_due = |r: &Record| !r.is_found_guilty() && r.ends().len() >= r.ends_needed();
        let open: Vec<Fingerprint> =
            self.records.iter().filter(|(_, r)| may_be_due(r)).map(|(&f, _)| f).collect();
        for f in open {
            if matches!(self.judge(f, &guilty, now), Standing::Held { .. }) {
                guilty = self.guilty_ends();
            }
        }
    }

    /// Returns how many requests are suspected or held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request is suspected or held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drains the news to broadcast.
    pub fn take_news(&mut self) -> Vec<RequestNews> {
        std::mem::take(&mut self.news)
    }

    /// Drains the new holds, for the log.
    pub fn take_holds(&mut self) -> Vec<Hold> {
        std::mem::take(&mut self.new_holds)
    }

    fn add_end(&mut self, request: Fingerprint, scope: Scope, end: End, now: Time) {
        let r = self.record(request, scope, now);
        let hold = r.add(end, now).then(|| r.hold(request, now)).flatten();
        self.new_holds.extend(hold);
    }

    /// Returns how one record lets a request be treated, and puts it on hold if that is due.
    fn judge(&mut self, f: Fingerprint, guilty: &[(Fingerprint, End)], now: Time) -> Standing {
        let Some(r) = self.records.get(&f) else { return Standing::Clear };
        let counted = r.counted(&explained(f, guilty));
        let is_sure = || counted.len() > r.ends_needed() || !self.has_rival(f, &counted, guilty);
        if r.is_due(&counted, now) && is_sure() {
            self.hold(f, now);
        }
        self.records.get(&f).map_or(Standing::Clear, |r| r.standing(counted.len(), now))
    }

    fn hold(&mut self, f: Fingerprint, now: Time) {
        let Some(r) = self.records.get_mut(&f) else { return };
        r.put_on_hold(now);
        let hold = r.hold(f, now);
        self.news.extend(hold.as_ref().map(Hold::news));
        self.new_holds.extend(hold);
    }

    /// Returns the ends under the requests that are found guilty.
    fn guilty_ends(&self) -> Vec<(Fingerprint, End)> {
        let guilty = self.records.iter().filter(|(_, r)| r.is_found_guilty());
        guilty.flat_map(|(&f, r)| r.ends().iter().map(move |&e| (f, e))).collect()
    }

    /// Returns whether another request was at as many ends, the last one of them the same.
    ///
    /// One of them is guilty: the other is cleared by its next answer, or the guilty one is
    /// known by its next end. Holding both held one innocent request for each third guilty
    /// one before nine upstreams.
    fn has_rival(&self, f: Fingerprint, counted: &[End], guilty: &[(Fingerprint, End)]) -> bool {
        let (Some(mine), Some(last)) = (self.records.get(&f), counted.last()) else { return false };
        self.records.iter().any(|(&g, r)| {
            g != f
                && mine.is_of_one_scope(r)
                && !r.is_found_guilty()
                && r.ends().iter().any(|e| e.is_same(last))
                && r.counted(&explained(g, guilty)).len() >= counted.len()
        })
    }

    fn record(&mut self, request: Fingerprint, scope: Scope, now: Time) -> &mut Record {
        if !self.records.contains_key(&request) {
            self.records.retain(|_, r| !r.is_old(now));
            self.make_room(now);
        }
        self.records.entry(request).or_insert_with(|| Record::new(scope, now))
    }

    /// Drops what says least while there is no room: what is not held, with the fewest ends,
    /// the oldest first.
    fn make_room(&mut self, now: Time) {
        while self.records.len() >= MOST_RECORDS {
            let least = self.records.iter().min_by_key(|(_, r)| r.weight(now)).map(|(&f, _)| f);
            let Some(f) = least else { return };
            self.records.remove(&f);
        }
    }
}

impl Hold {
    /// Returns it as news for other boxes.
    #[must_use]
    pub const fn news(&self) -> RequestNews {
        let Self { request, scope, left, trials, .. } = *self;
        RequestNews::Held { request, scope, left, trials }
    }
}

/// Returns the ends that requests found guilty account for, other than this one.
///
/// What ran beside a request that is found guilty is innocent of the ends that were its.
fn explained(f: Fingerprint, guilty: &[(Fingerprint, End)]) -> Vec<End> {
    guilty.iter().filter(|(g, _)| *g != f).map(|&(_, e)| e).collect()
}
