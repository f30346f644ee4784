//! Interface between the serving path and a routing policy.

use crate::balance::{AdmissionState, AdvertisedLimit, BudgetUsage, RetryReason};
use crate::collector::NameId;
use crate::regions::RegionSet;
use crate::revision::Revision;
use crate::router::{AttemptKey, Outcome, Pick, Refusal, Router, ServiceKey, UpstreamKey};
use crate::signals::{SignalChanges, Signals};
use crate::time::Time;
use std::fmt::Debug;
use std::time::Duration;

/// Properties of a request that a policy takes into account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Requested service.
    pub service: ServiceKey,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Rank by the priorities of the organisation and the route; zero is the most urgent.
    ///
    /// It is the priority of the route where no organisation has one (`ranks`).
    pub priority: u8,
    /// Whether the request or the response is large.
    pub large_transfer: bool,
    /// Target latency of the route, if it has one.
    pub target: Option<Duration>,
    /// Time remaining until the deadline, if there is one.
    pub remaining: Option<Duration>,
    /// Route that matched the request.
    pub route: NameId,
    /// Regions whose upstreams may serve the request, if it is restricted.
    pub regions: Option<RegionSet>,
}

/// Load that an upstream reported in a response.
///
/// Both numbers are finite, not negative and at most [`MAX_LOAD`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    busy: f64,
    slots: f64,
}

/// Highest number of requests or slots in a load report.
pub const MAX_LOAD: f64 = 1_000_000.0;

/// Number in a load report that is negative, too high or not finite.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is not between 0 and 1,000,000")]
pub struct LoadOutOfRange(pub f64);

impl LoadReport {
    /// Creates a report of running and queued requests, and of slots.
    ///
    /// # Errors
    /// Returns [`LoadOutOfRange`] if a number is negative, above [`MAX_LOAD`] or not finite.
    pub fn new(busy: f64, slots: f64) -> Result<Self, LoadOutOfRange> {
        match [busy, slots].into_iter().find(|n| !(0.0..=MAX_LOAD).contains(n)) {
            Some(invalid) => Err(LoadOutOfRange(invalid)),
            None => Ok(Self { busy, slots }),
        }
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub const fn busy(&self) -> f64 {
        self.busy
    }

    /// Returns the number of requests that the upstream processes concurrently.
    #[must_use]
    pub const fn slots(&self) -> f64 {
        self.slots
    }
}

/// Name and address of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint<'a> {
    /// Name of the instance, which is never reused.
    pub name: &'a str,
    /// IP address and port.
    pub addr: &'a str,
}

/// State of an upstream on which a policy based its choice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PickInputs {
    /// Probability that the upstream is unhealthy, based on the observations of all boxes.
    pub unhealthy: f64,
    /// Probability that the path from this box to the upstream has failed.
    pub path: f64,
    /// Running and queued requests of the upstream, as far as this box knows.
    pub busy: f64,
    /// Whether the upstream is in the data hall of this box.
    pub same_hall: bool,
    /// Age of the last load report, if there is one.
    pub load_age: Option<Duration>,
    /// Rate limit announced by the upstream.
    pub limit: Option<AdvertisedLimit>,
    /// Version and age of the list of upstreams.
    pub list: ListStatus,
}

/// Version and age of the list of upstreams that a box holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListStatus {
    /// Revision up to which the list is complete.
    pub version: Revision,
    /// Time since the list was last confirmed complete, if it ever was.
    pub age: Option<Duration>,
}

/// A routing policy, which picks upstreams and learns from the results of attempts.
pub trait RoutingPolicy: Debug + Send {
    /// Picks an upstream for one attempt and opens the attempt, skipping the `tried` ones.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no upstream is available; nothing has been sent then.
    fn pick(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Pick, Refusal>;
    /// Returns the name and address of an upstream, if it is still known.
    fn endpoint(&self, k: UpstreamKey) -> Option<Endpoint<'_>>;
    /// Returns the addresses of up to `n` random upstreams of a service.
    ///
    /// A box connects to them to check its own network paths. After a failure of `failed`, upstreams
    /// whose connections were refused or broken are left out: they may have crashed as well.
    fn sample(&mut self, _: ServiceKey, _failed: Option<UpstreamKey>, _n: usize) -> Vec<String> {
        Vec::new()
    }
    /// Returns whether an upstream is listed with another start than before.
    ///
    /// Its earlier process may still work on attempts that were opened there.
    fn has_restarted(&self, _: UpstreamKey) -> bool {
        false
    }
    /// Returns the state of an upstream, for logging.
    fn inputs(&self, _: UpstreamKey, _: Time) -> PickInputs {
        PickInputs::default()
    }
    /// Returns the shortest expected latency, for logging a refusal.
    fn expected_latency(&self, _: &RequestInfo, _: Time) -> Option<Duration> {
        None
    }
    /// Returns the admission state of a service, if its routes differ in priority.
    fn admission(&self, _: ServiceKey, _: Time) -> Option<AdmissionState> {
        None
    }
    /// Returns the delay until an open attempt of this age is checked again.
    fn recheck_delay(&self, info: &RequestInfo, age: Duration) -> Duration;
    /// Records that an attempt is still pending.
    fn record_in_flight(&mut self, k: AttemptKey, now: Time);
    /// Returns whether a hedged attempt is worthwhile while another of this age is pending.
    ///
    /// `Some` holds the probability that the first attempt gets no response.
    fn hedge_value(&self, _: &RequestInfo, _: AttemptKey, _: Time) -> Option<f64> {
        Some(1.0)
    }
    /// Returns whether an attempt sent now could still meet the deadline.
    fn can_meet_deadline(&self, _: &RequestInfo) -> bool {
        true
    }
    /// Checks that an upstream is available, before a retry token is spent.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no upstream is available.
    fn check_available(
        &mut self,
        _: &RequestInfo,
        _: &[UpstreamKey],
        _: Time,
    ) -> Result<(), Refusal> {
        Ok(())
    }
    /// Spends one retry token and returns whether there was one.
    fn spend_retry(&mut self, k: ServiceKey, why: RetryReason, now: Time) -> bool;
    /// Spends one retry token on a request and returns whether there was one for it.
    ///
    /// Policies that rank retries take its priority and its remaining time into account.
    fn spend_retry_for(&mut self, info: &RequestInfo, why: RetryReason, now: Time) -> bool {
        self.spend_retry(info.service, why, now)
    }
    /// Returns when a request that upstreams rejected may be sent again, if the policy knows.
    fn wait_after_rejection(&self, _: &RequestInfo, _: Time) -> Option<Duration> {
        None
    }
    /// Returns the name of a service, for logging.
    fn service_name(&self, _: ServiceKey) -> Option<&str> {
        None
    }
    /// Removes the latest request from the counts, as another box sends it to an upstream.
    fn forget_request(&mut self, _: ServiceKey) {}
    /// Returns the state of the retry budget of a service, for logging.
    fn budget_use(&self, _: ServiceKey, _: Time) -> BudgetUsage {
        BudgetUsage::default()
    }
    /// Records the head of a response; `ok` is false for a failure response.
    fn response_started(&mut self, k: AttemptKey, ok: bool, now: Time);
    /// Records the length in bytes of both bodies, once the response's head states its own.
    fn record_size(&mut self, _: AttemptKey, _: u64) {}
    /// Records the signals that an upstream sent in the head of a response.
    fn record_signals(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges;
    /// Records a successful response without a rate limit; returns whether a limit was lifted.
    fn clear_limit(&mut self, _: AttemptKey, _: Time) -> bool {
        false
    }
    /// Closes an attempt.
    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time);
}

impl RoutingPolicy for Router {
    fn pick(
        &mut self,
        info: &RequestInfo,
        tried: &[UpstreamKey],
        now: Time,
    ) -> Result<Pick, Refusal> {
        Self::pick(self, info.service, info.repeatable, tried, now)
    }

    fn endpoint(&self, k: UpstreamKey) -> Option<Endpoint<'_>> {
        self.endpoint(k).map(|(name, addr)| Endpoint { name, addr })
    }

    fn recheck_delay(&self, info: &RequestInfo, _: Duration) -> Duration {
        self.stall_limit(info.service)
    }

    // The router detects overdue attempts in its own tick.
    fn record_in_flight(&mut self, _: AttemptKey, _: Time) {}

    fn spend_retry(&mut self, k: ServiceKey, _: RetryReason, _: Time) -> bool {
        Self::spend_retry(self, k)
    }

    fn response_started(&mut self, k: AttemptKey, ok: bool, now: Time) {
        Self::response_started(self, k, ok, now);
    }

    fn record_signals(&mut self, k: AttemptKey, s: &Signals, now: Time) -> SignalChanges {
        Self::record_signals(self, k, s, now)
    }

    fn finish(&mut self, k: AttemptKey, outcome: Outcome, now: Time) {
        Self::finish(self, k, outcome, now);
    }
}
