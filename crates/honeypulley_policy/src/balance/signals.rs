//! What upstreams say of themselves in their answers, and how long it holds.
//!
//! It belongs to one incarnation of an upstream: a restart begins with nothing, while a list
//! entry that disappears and returns changes nothing.

use super::admit::WAIT_BOUNDS;
use super::{Balancer, FarLoad, News, Upstream};
use crate::chooser::Ask;
use crate::collector::NameId;
use crate::router::{AttemptKey, Refusal, RefusalKind, UpstreamKey};
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Incarnations without a list entry that are remembered.
const MOST_UNLISTED: usize = 1_024;
/// Part by which a backoff is lengthened at random, so that boxes return one after the other.
const BACKOFF_SPREAD: f64 = 0.1;

/// What one incarnation of an upstream declared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Declared {
    /// It announced its shutdown, which nothing reverts.
    pub(super) leaving: bool,
    /// When this box may send it something again.
    pub(super) backoff: Option<Time>,
}

impl Declared {
    /// Records an announced shutdown; returns whether that is new.
    const fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records a requested backoff; returns whether it ends later than one before.
    fn back_off(&mut self, until: Time) -> bool {
        let is_later = self.backoff.is_none_or(|t| t < until);
        if is_later {
            self.backoff = Some(until);
        }
        is_later
    }
}

/// Declarations of incarnations that are not listed, oldest first.
#[derive(Debug, Default)]
pub(super) struct Unlisted(VecDeque<(NameId, Declared)>);

impl Unlisted {
    /// Remembers what an incarnation declared.
    pub(super) fn keep(&mut self, id: NameId, declared: Declared) {
        if declared == Declared::default() {
            return;
        }
        self.take(id);
        self.0.push_back((id, declared));
        if self.0.len() > MOST_UNLISTED {
            self.0.pop_front();
        }
    }

    /// Removes and returns what an incarnation declared.
    pub(super) fn take(&mut self, id: NameId) -> Declared {
        let at = self.0.iter().position(|(x, _)| *x == id);
        at.and_then(|i| self.0.remove(i)).map(|(_, d)| d).unwrap_or_default()
    }
}

impl Balancer {
    /// Records the signals of an answer, and broadcasts those that concern all boxes.
    pub(super) fn record_signals(
        &mut self,
        k: AttemptKey,
        s: &Signals,
        now: Time,
    ) -> SignalChanges {
        let Some(&a) = self.attempts.get(k) else { return SignalChanges::default() };
        if let (Some(load), Some(u)) = (s.load, self.upstreams.get_mut(a.upstream)) {
            // The report counts the request that it answers.
            let count = (load.busy - u.known(now)).max(0.0);
            u.far = Some(FarLoad { count, at: now });
        }
        let rng = &mut self.rng;
        let until = s.backoff.map(|wait| now + wait.mul_f64(1.0 + rng.f64() * BACKOFF_SPREAD));
        let (leaving, backoff) =
            self.declare(a.id, |d| (s.leaving && d.leave(), until.is_some_and(|t| d.back_off(t))));
        if leaving {
            self.news.push(News::Leaving { upstream: a.id });
        }
        let limit = s.limit.is_some_and(|rate| self.named(k, rate, now));
        SignalChanges { limit, leaving, backoff }
    }

    /// Changes what an incarnation declared, whether or not it is listed.
    fn declare<T>(&mut self, id: NameId, change: impl FnOnce(&mut Declared) -> T) -> T {
        if let Some(u) = self.by_id.get(&id).and_then(|&k| self.upstreams.get_mut(k)) {
            return change(&mut u.declared);
        }
        let mut declared = self.unlisted.take(id);
        let changed = change(&mut declared);
        self.unlisted.keep(id, declared);
        changed
    }

    /// Returns the upstreams that a request may be sent to now.
    ///
    /// Every send passes here: first sends, trials, retries and hedges.
    ///
    /// # Errors
    /// Refuses the request if there is none, with when the first of them may be sent something.
    pub(super) fn sendable(
        &mut self,
        ask: &Ask,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Vec<UpstreamKey>, Refusal> {
        let listed = self.services.get(ask.service).map_or(&[][..], |s| &s.upstreams);
        let (mut open, mut wait) = (Vec::with_capacity(listed.len()), None);
        for &k in listed.iter().filter(|k| !tried.contains(k)) {
            let u = &self.upstreams[k];
            match u.backoff_left(now) {
                _ if u.is_leaving() => {}
                None => open.push(k),
                Some(left) => wait = sooner(wait, left),
            }
        }
        let is_backoff = open.is_empty() && wait.is_some();
        let (open, limited) = self.with_room(open, ask, now);
        let kind = if is_backoff { RefusalKind::Backoff } else { RefusalKind::Limited };
        match limited.map_or(wait, |w| sooner(wait, w)) {
            Some(wait) if open.is_empty() => {
                Err(self.refuse(kind, wait.clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1)))
            }
            _ => Ok(open),
        }
    }

    /// Records an announced shutdown that a peer received; returns the upstream's name if that
    /// is new.
    pub fn learn_leaving(&mut self, id: NameId) -> Option<&str> {
        let is_new = self.declare(id, Declared::leave);
        let u = self.by_id.get(&id).and_then(|&k| self.upstreams.get(k))?;
        is_new.then_some(u.name.as_str())
    }

    /// Returns the announced shutdowns that the list does not show, for a box that has just
    /// started.
    pub(super) fn announced(&self) -> impl Iterator<Item = News> {
        let unseen = self.upstreams.values().filter(|u| u.declared.leaving && !u.leaving);
        unseen.map(|u| News::Leaving { upstream: u.id })
    }
}

/// Returns the shorter of two waits.
fn sooner(a: Option<Duration>, b: Duration) -> Option<Duration> {
    Some(a.map_or(b, |a| a.min(b)))
}

impl Upstream {
    /// Returns how long this box may still send it nothing, if it asked for that.
    pub(super) fn backoff_left(&self, now: Time) -> Option<Duration> {
        self.declared.backoff.map(|until| until.since(now)).filter(|left| !left.is_zero())
    }
}
