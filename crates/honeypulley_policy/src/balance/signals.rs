//! What upstreams say of themselves in their answers, and how long it holds.
//!
//! It belongs to one incarnation of an upstream: a restart begins with nothing, while a list
//! entry that goes and comes back changes nothing.

use super::{Balancer, FarLoad, News, Upstream};
use crate::collector::NameId;
use crate::router::AttemptKey;
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::collections::VecDeque;

/// Incarnations without a list entry that are remembered.
const MOST_UNLISTED: usize = 1_024;

/// What one incarnation of an upstream declared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Declared {
    /// It announced its shutdown, which nothing takes back.
    pub(super) leaving: bool,
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
        let upstream = self.attempts.get(k).map(|a| a.upstream);
        let Some(u) = upstream.and_then(|u| self.upstreams.get_mut(u)) else {
            return SignalChanges::default();
        };
        if let Some(load) = s.load {
            // The report counts the request that it answers.
            let count = (load.busy - u.known(now)).max(0.0);
            u.far = Some(FarLoad { count, at: now });
        }
        let leaving = s.leaving && u.declare_leaving();
        if leaving {
            self.news.push(News::Leaving { upstream: u.id });
        }
        let limit = s.limit.is_some_and(|rate| self.named(k, rate, now));
        SignalChanges { limit, leaving }
    }

    /// Records an announced shutdown that a peer received; returns the upstream's name if that
    /// is new.
    pub fn heard_leaving(&mut self, id: NameId) -> Option<&str> {
        let Some(u) = self.by_id.get(&id).and_then(|&k| self.upstreams.get_mut(k)) else {
            // Its entry may be late.
            self.unlisted.keep(id, Declared { leaving: true });
            return None;
        };
        u.declare_leaving().then_some(u.name.as_str())
    }

    /// Returns the announced shutdowns that the list does not show, for a box that has just
    /// started.
    pub(super) fn announced(&self) -> impl Iterator<Item = News> {
        let unseen = self.upstreams.values().filter(|u| u.declared.leaving && !u.leaving);
        unseen.map(|u| News::Leaving { upstream: u.id })
    }
}

impl Upstream {
    /// Records its announced shutdown; tells whether that is new.
    const fn declare_leaving(&mut self) -> bool {
        let is_new = !self.declared.leaving;
        self.declared.leaving = true;
        is_new
    }
}
