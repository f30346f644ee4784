//! What the serving path asks of a policy, whichever that is.

use crate::balance::{BudgetUse, NamedLimit, Resend};
use crate::collector::NameId;
use crate::revision::Revision;
use crate::router::{AttemptKey, Outcome, Pick, Refusal, Router, ServiceKey, UpstreamKey};
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::fmt::Debug;
use std::time::Duration;

/// One request as a policy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Service asked for.
    pub service: ServiceKey,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Rank of it; zero goes first.
    pub priority: u8,
    /// Whether its answer is large.
    pub bulky: bool,
    /// Time within which an answer is wanted, if the route says.
    pub aim: Option<Duration>,
    /// Time that is left until it must be answered, if that is bounded.
    pub left: Option<Duration>,
    /// Route that it came by.
    pub route: NameId,
}

/// Load that an upstream reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests running and waiting there.
    pub busy: f64,
    /// Requests it runs at one time.
    pub slots: f64,
}

/// Where an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place<'a> {
    /// Name, which no other instance ever had.
    pub name: &'a str,
    /// Address and port by IP number.
    pub addr: &'a str,
}

/// What a policy knew of an upstream when it chose it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// Chance that it is sick, by what all boxes saw.
    pub sick: f64,
    /// Chance that this box's path to it is bad.
    pub path: f64,
    /// Requests running and waiting there, as far as this box knows.
    pub busy: f64,
    /// Whether it stands in this box's data hall.
    pub near: bool,
    /// Age of the upstream's last load report, if there was one.
    pub load_age: Option<Duration>,
    /// The limit that the upstream names.
    pub limit: Option<NamedLimit>,
    /// The list of upstreams at the choice.
    pub list: ListNow,
}

/// Which list of upstreams a box holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListNow {
    /// Position up to which it is complete.
    pub version: Revision,
    /// Time since it was last known to be complete, if it ever was.
    pub age: Option<Duration>,
}

/// A policy: chooses upstreams and learns from how attempts went.
pub trait Chooser: Debug + Send {
    /// Picks an upstream for one attempt and opens it; `tried` ones are left out.
    ///
    /// # Errors
    /// A [`Refusal`] if there is none; nothing was sent then.
    fn pick(&mut self, ask: &Ask, tried: &[UpstreamKey], now: Time) -> Result<Pick, Refusal>;
    /// Returns where an upstream is, if it is still known.
    fn place(&self, k: UpstreamKey) -> Option<Place<'_>>;
    /// Returns whether an upstream has started again, so that what was open there is over.
    fn has_restarted(&self, _: UpstreamKey) -> bool {
        false
    }
    /// Returns what is known of an upstream, for the log.
    fn inputs(&self, _: UpstreamKey, _: Time) -> Inputs {
        Inputs::default()
    }
    /// Returns when the soonest answer can be expected, for the log of a refusal.
    fn expected(&self, _: &Ask, _: Time) -> Option<Duration> {
        None
    }
    /// Returns the wait after which an open attempt of this age is looked at again.
    fn look_after(&self, ask: &Ask, age: Duration) -> Duration;
    /// Records that an attempt is still in flight.
    fn still_open(&mut self, k: AttemptKey, now: Time);
    /// Returns whether a hedge is worthwhile beside an attempt of this age.
    ///
    /// `Some` is the chance that the first one will not be answered.
    fn hedge(&self, _: &Ask, _: AttemptKey, _: Time) -> Option<f64> {
        Some(1.0)
    }
    /// Returns whether a send now could still be answered in time.
    fn is_in_time(&self, _: &Ask) -> bool {
        true
    }
    /// Checks that some upstream may be sent a request now, before a retry token is spent.
    ///
    /// # Errors
    /// A [`Refusal`] if there is none.
    fn may_send(&mut self, _: &Ask, _: &[UpstreamKey], _: Time) -> Result<(), Refusal> {
        Ok(())
    }
    /// Spends one send beyond the first of a request; returns whether there was one.
    fn spend_retry(&mut self, k: ServiceKey, why: Resend, now: Time) -> bool;
    /// Returns what is known of a service's retry budget, for the log.
    fn budget_use(&self, _: ServiceKey, _: Time) -> BudgetUse {
        BudgetUse::default()
    }
    /// Records the head of an answer; `ok` is false for a failure answer.
    fn answered(&mut self, k: AttemptKey, ok: bool, now: Time);
    /// Records the length of an answer's body in bytes, once its head says so.
    fn sized(&mut self, _: AttemptKey, _: u64) {}
    /// Records what an upstream said of itself in the head of an answer to an attempt.
    fn signalled(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges;
    /// Records that a whole, good answer carried no rate limit; returns whether one is lifted.
    fn limit_withdrawn(&mut self, _: AttemptKey) -> bool {
        false
    }
    /// Closes an attempt.
    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time);
}

impl Chooser for Router {
    fn pick(&mut self, ask: &Ask, tried: &[UpstreamKey], now: Time) -> Result<Pick, Refusal> {
        Self::pick(self, ask.service, ask.repeatable, tried, now)
    }

    fn place(&self, k: UpstreamKey) -> Option<Place<'_>> {
        self.upstream(k).map(|(name, addr)| Place { name, addr })
    }

    fn look_after(&self, ask: &Ask, _: Duration) -> Duration {
        self.stall_limit(ask.service)
    }

    // A router finds overdue attempts itself, in its tick.
    fn still_open(&mut self, _: AttemptKey, _: Time) {}

    fn spend_retry(&mut self, k: ServiceKey, _: Resend, _: Time) -> bool {
        Self::spend_retry(self, k)
    }

    fn answered(&mut self, k: AttemptKey, ok: bool, now: Time) {
        Self::answered(self, k, ok, now);
    }

    fn signalled(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        Self::signalled(self, k, s, now)
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        Self::finish(self, k, outcome, now);
    }
}
