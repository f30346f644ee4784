//! Signals that upstreams send in their answers, and their validity.
//!
//! They belong to one incarnation of an upstream: a restart clears them, while a list entry
//! that disappears and returns does not.

use super::{Balancer, RemoteLoad, Update, Upstream};
use crate::collector::NameId;
use crate::router::AttemptKey;
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of unlisted incarnations whose declarations are kept.
const MAX_UNLISTED: usize = 1_024;
/// Random extension of a backoff, as a share of it.
///
/// Otherwise boxes would return all at once.
const BACKOFF_SPREAD: f64 = 0.1;

/// Declarations of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Declared {
    /// Whether it announced its shutdown, which can't be withdrawn.
    pub(super) leaving: bool,
    /// Whether another instance answered at its address, so that it is gone for good.
    pub(super) replaced: bool,
    /// End of the backoff that it requested from this box.
    pub(super) backoff: Option<Time>,
}

impl Declared {
    /// Records an announced shutdown; returns whether it is new.
    const fn record_shutdown(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that another instance has its address; returns whether that is new.
    const fn record_replacement(&mut self) -> bool {
        !std::mem::replace(&mut self.replaced, true)
    }

    /// Records a requested backoff; returns whether it extends the current one.
    fn extend_backoff(&mut self, until: Time) -> bool {
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
    /// Stores the declarations of an incarnation.
    pub(super) fn store(&mut self, id: NameId, declared: Declared) {
        if declared == Declared::default() {
            return;
        }
        self.take(id);
        self.0.push_back((id, declared));
        if self.0.len() > MAX_UNLISTED {
            self.0.pop_front();
        }
    }

    /// Removes and returns the declarations of an incarnation.
    pub(super) fn take(&mut self, id: NameId) -> Declared {
        let at = self.0.iter().position(|(x, _)| *x == id);
        at.and_then(|i| self.0.remove(i)).map(|(_, d)| d).unwrap_or_default()
    }
}

impl Balancer {
    /// Records the signals of an answer and broadcasts those that concern all boxes.
    pub(super) fn record_signals(
        &mut self,
        k: AttemptKey,
        s: &Signals,
        now: Time,
    ) -> SignalChanges {
        let Some(&a) = self.attempts.get(k) else { return SignalChanges::default() };
        if let (Some(load), Some(u)) = (s.load, self.upstreams.get_mut(a.upstream)) {
            // The load report includes the request that it answers.
            let count = (load.busy() - u.hall_in_flight(now)).max(0.0);
            u.remote = Some(RemoteLoad { count, at: now });
        }
        let rng = &mut self.rng;
        let until = s.backoff.map(|wait| now + wait.mul_f64(1.0 + rng.f64() * BACKOFF_SPREAD));
        let (leaving, backoff) = self.update_declared(a.id, |d| {
            (s.leaving && d.record_shutdown(), until.is_some_and(|t| d.extend_backoff(t)))
        });
        if leaving {
            self.updates.push(Update::Leaving { upstream: a.id });
        }
        let limit = s.limit.is_some_and(|rate| self.record_limit(k, rate, now));
        SignalChanges { limit, leaving, backoff }
    }

    /// Updates the declarations of an incarnation, listed or not.
    fn update_declared<T>(&mut self, id: NameId, change: impl FnOnce(&mut Declared) -> T) -> T {
        if let Some(u) = self.by_id.get(&id).and_then(|&k| self.upstreams.get_mut(k)) {
            return change(&mut u.declared);
        }
        let mut declared = self.unlisted.take(id);
        let changed = change(&mut declared);
        self.unlisted.store(id, declared);
        changed
    }

    /// Records a shutdown announced by a peer; returns the upstream's name if it is new.
    pub fn record_shutdown(&mut self, id: NameId) -> Option<&str> {
        let is_new = self.update_declared(id, Declared::record_shutdown);
        self.name_of(id).filter(|_| is_new)
    }

    /// Returns the name of a listed incarnation.
    fn name_of(&self, id: NameId) -> Option<&str> {
        let u = self.by_id.get(&id).and_then(|&k| self.upstreams.get(k))?;
        Some(u.name.as_str())
    }

    /// Marks an incarnation as gone, listed or not; returns whether that is new.
    pub(super) fn mark_replaced(&mut self, id: NameId) -> bool {
        self.update_declared(id, Declared::record_replacement)
    }

    /// Records that another instance answered at the address of an incarnation.
    ///
    /// Returns the name of its upstream if this is new.
    pub fn record_replacement(&mut self, id: NameId) -> Option<&str> {
        let is_new = self.mark_replaced(id);
        self.name_of(id).filter(|_| is_new)
    }

    /// Returns the upstreams that are gone although the list still shows them.
    ///
    /// They are sent to a newly started box.
    pub(super) fn replaced_upstreams(&self) -> impl Iterator<Item = Update> {
        let replaced = self.upstreams.values().filter(|u| u.declared.replaced);
        replaced.map(|u| Update::Replaced { upstream: u.id })
    }

    /// Returns the announced shutdowns that the list does not show.
    ///
    /// They are sent to a newly started box.
    pub(super) fn announced_shutdowns(&self) -> impl Iterator<Item = Update> {
        let unlisted = self.upstreams.values().filter(|u| u.declared.leaving && !u.leaving);
        unlisted.map(|u| Update::Leaving { upstream: u.id })
    }
}

/// Returns the shorter of two waits.
pub(super) fn min_wait(a: Option<Duration>, b: Duration) -> Option<Duration> {
    Some(a.map_or(b, |a| a.min(b)))
}

impl Upstream {
    /// Returns the remaining backoff that it requested from this box.
    pub(super) fn backoff_left(&self, now: Time) -> Option<Duration> {
        self.declared.backoff.map(|until| until.since(now)).filter(|left| !left.is_zero())
    }
}
