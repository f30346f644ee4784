//! Runs the attempts of a request: the first one, retries and hedges, within its deadline.

mod lost;
mod relaying;
mod report;

use crate::answer::LocalAnswer;
use crate::attempt::{Answer, AttemptGuard, Destination, Failure, Outgoing, send};
use crate::body::Source;
use crate::gate::{ProxyState, RouteDecision};
use crate::open::{OpenKey, OpenRequest, Recipient, SentAttempt};
use crate::paths::CheckedService;
use crate::relay::RelayFailure;
use futures::future::{AbortHandle, Abortable, BoxFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use honeypulley_policy::balance::RetryReason;
use honeypulley_policy::chooser::RequestInfo;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::Restriction;
use honeypulley_policy::router::{AttemptKey, Refusal, UpstreamKey};
use honeypulley_policy::time::Time;
use http::StatusCode;
use relaying::Way;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts that did not run, in addition to those that may have.
const MAX_NOT_RUN: usize = 3;
/// `Retry-After` if the request may have been run.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` if no upstream has run the request.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Failure message of an attempt whose upstream has restarted.
const RESTARTED: &str = "its upstream has started again";

/// A request in flight, with all of its attempts.
#[derive(Debug)]
pub struct Race {
    /// State of the serving path.
    pub gate: Arc<ProxyState>,
    /// Result of routing.
    pub decision: RouteDecision,
    /// Request ID, for logs.
    pub id: Arc<str>,
    /// Request to be sent.
    pub out: Arc<Outgoing>,
    /// Request body.
    pub source: Source,
    /// Deadline for the answer, if the route or the caller sets one.
    pub deadline: Option<Time>,
    /// When the box accepted the request.
    pub accepted: Time,
    /// Whether another box relays the request, so that it is not relayed again.
    pub relayed: bool,
    /// The request among the open ones.
    pub open: OpenKey,
}

type Running = FuturesUnordered<BoxFuture<'static, Result<Answer, Ended>>>;

/// An attempt that ended without an answer.
#[derive(Debug)]
enum Ended {
    /// It was sent to an upstream.
    Upstream(UpstreamKey, Failure),
    /// It was sent to an upstream that has restarted since and is unreachable.
    Lost(UpstreamKey),
    /// It was sent to another box.
    Peer(SocketAddr, RelayFailure),
}

/// An attempt in flight.
#[derive(Clone, Debug)]
struct InFlight {
    key: AttemptKey,
    upstream: UpstreamKey,
    /// Name of the upstream, which is stored here because the policy may have removed it.
    name: NameId,
    /// Receiver, and time of the send.
    sent: SentAttempt,
    /// Address to which it was sent, if that is an IP address.
    addr: Option<SocketAddr>,
    /// When the upstream's machine was checked last, after a restart.
    checked: Option<Time>,
    /// Cancels the attempt.
    abort: AbortHandle,
}

/// Results of the attempts so far.
#[derive(Debug, Default)]
struct Progress {
    attempted: Vec<UpstreamKey>,
    /// Other boxes to which the request was offered.
    relays: Vec<SocketAddr>,
    /// Number of upstreams that may run the request at another box.
    passed_on: usize,
    /// Number of attempts that did not run.
    not_run: usize,
    /// Number of those for which no connection to an upstream was established.
    not_sent: usize,
    in_flight: Vec<InFlight>,
    /// Answer if it is unknown whether the request was run.
    unknown: Option<LocalAnswer>,
    last_reason: String,
    /// Failure answer of an upstream, to be forwarded if no other attempt succeeds.
    failure: Option<Answer>,
    /// `Retry-After` of the last attempt that the policy refused.
    retry_after: Option<Duration>,
}

impl Progress {
    /// Returns the number of upstreams that may have run the request.
    const fn maybe_ran(&self) -> usize {
        self.attempted.len() - self.not_run + self.passed_on
    }

    /// Records an attempt that may have run the request, and the status for the caller.
    fn record_unknown(&mut self, status: StatusCode, why: &str) {
        let answer = LocalAnswer::unknown(status, UNKNOWN_RETRY_AFTER, why.to_owned());
        self.unknown = Some(answer);
    }
}

impl Race {
    /// Runs attempts until one is answered, none is left, or the deadline passes.
    ///
    /// # Errors
    /// Returns the proxy's own answer if there is none from an upstream.
    pub async fn run(mut self) -> Result<Answer, LocalAnswer> {
        let (mut running, mut progress) = (Running::new(), Progress::default());
        self.start(&mut running, &mut progress, "first").map_err(LocalAnswer::refusal)?;
        loop {
            let check_at = self.next_check(&progress);
            let ended = tokio::select! {
                biased;
                Some(ended) = running.next() => ended,
                () = self.sleep_until(self.deadline) => return self.at_deadline(progress),
                () = self.gate.stop.wait_answer_by(self.accepted, self.gate.clock) => {
                    return self.at_deadline(progress);
                }
                () = self.sleep_until(check_at) => {
                    // Timers don't advance while the machine is suspended.
                    if self.left().is_some_and(|left| left.is_zero()) {
                        return self.at_deadline(progress);
                    }
                    self.check(&mut running, &mut progress);
                    continue;
                }
            };
            match ended {
                Ok(answer) if answer.head.status.is_server_error() => {
                    let last = self.after_server_error(answer, &mut running, &mut progress);
                    if let Some(answer) = last {
                        return Ok(answer);
                    }
                }
                Ok(answer) => return Ok(answer),
                Err(ended) => {
                    self.record_ended(&ended, &mut progress);
                    if !running.is_empty() {
                        continue;
                    }
                    if !self.should_retry_after(&ended, &mut progress)
                        || self.start(&mut running, &mut progress, "retry").is_err()
                    {
                        return progress.failure.take().ok_or_else(|| self.exhausted(&progress));
                    }
                }
            }
        }
    }

    /// Retries after a failure answer, if that is allowed.
    ///
    /// Returns the answer if no attempt is left that could succeed. The box to which a request was
    /// relayed has already retried it.
    fn after_server_error(
        &mut self,
        answer: Answer,
        running: &mut Running,
        progress: &mut Progress,
    ) -> Option<Answer> {
        let mut again = false;
        if let Some(guard) = &answer.guard {
            self.log_server_error(guard.upstream, answer.head.status);
            progress.in_flight.retain(|a| a.upstream != guard.upstream);
            again = self.should_retry(progress) && self.start(running, progress, "retry").is_ok();
        }
        if !again && running.is_empty() {
            return Some(answer);
        }
        progress.failure = Some(answer);
        None
    }

    /// Starts an attempt at an upstream, or at another box while this one is partitioned.
    fn start(
        &mut self,
        running: &mut Running,
        progress: &mut Progress,
        kind: &str,
    ) -> Result<(), Refusal> {
        match self.way(progress) {
            Ok(Way::Upstream) => self.start_at_upstream(running, progress, kind),
            Ok(Way::Peer(peer)) => {
                self.start_at_peer(running, progress, kind, peer);
                Ok(())
            }
            Err(r) => {
                self.log_refusal(kind, r, None);
                progress.retry_after = Some(r.retry_after);
                Err(r)
            }
        }
    }

    /// Picks an upstream and sends one attempt there.
    fn start_at_upstream(
        &mut self,
        running: &mut Running,
        progress: &mut Progress,
        kind: &str,
    ) -> Result<(), Refusal> {
        let (version, service) = (self.decision.version, &*self.decision.service);
        let mut policy = self.gate.policy.lock();
        let now = self.gate.now();
        // The last allowed attempt can't be repeated.
        let is_last = progress.maybe_ran() + 1 >= self.decision.max_attempts;
        let left = self.left();
        let repeatable = self.decision.info.repeatable && !is_last;
        let info = RequestInfo { repeatable, remaining: left, ..self.decision.info };
        let pick = match policy.pick(&info, &progress.attempted, now) {
            Ok(p) => p,
            Err(r) => {
                let expected = policy.expected_latency(&info, now);
                drop(policy);
                self.log_refusal(kind, r, expected);
                progress.retry_after = Some(r.retry_after);
                return Err(r);
            }
        };
        let location = policy
            .endpoint(pick.upstream)
            .expect("the policy knows an upstream that it has just picked");
        let to = Destination { name: location.name.into(), addr: location.addr.to_owned() };
        let known = policy.inputs(pick.upstream, now);
        drop(policy);
        self.gate.count_tagged("attempts", &[("service", service), ("kind", kind)]);
        log::info!(
            request = &*self.id, same:display = self.out.same.caller,
            organisation = self.decision.owner.name(), service,
            upstream = &*to.name, reason:debug = pick.reason, version,
            attempts = self.decision.max_attempts, repeatable = self.decision.info.repeatable,
            near = known.same_hall, sick = known.unhealthy as f32, path = known.path as f32, busy = known.busy as f32,
            load_age_ms = known.load_age.map(|d| d.as_millis() as u64),
            limit = known.limit.map(|l| l.rate as f32), limit_part = known.limit.map(|l| l.share as f32),
            limit_left = known.limit.and_then(|l| l.remaining).map(|left| left as f32),
            list:display = known.list.version, list_age_ms = known.list.age.map(|d| d.as_millis() as u64);
            "route: {kind} sent to {}", to.name
        );
        let guard = AttemptGuard::new(&self.gate, pick, self.checked_service(), self.out.same);
        let sent = SentAttempt { to: Recipient::Upstream(Arc::clone(&to.name)), at: now };
        self.gate.open.record_sent(self.open, sent.clone());
        progress.attempted.push(pick.upstream);
        let (abort, abort_registration) = AbortHandle::new_pair();
        progress.in_flight.push(InFlight {
            key: pick.attempt,
            upstream: pick.upstream,
            name: NameId::of(&to.name),
            sent,
            addr: to.addr.parse().ok(),
            checked: None,
            abort,
        });
        let body =
            self.source.body().expect("availability of the body is checked before each attempt");
        let attempt = send(Arc::clone(&self.gate), guard, to, Arc::clone(&self.out), body, left);
        let upstream = pick.upstream;
        running.push(Box::pin(async move {
            let done = Abortable::new(attempt, abort_registration).await;
            let answer = done.map_err(|_| Ended::Lost(upstream))?;
            answer.map_err(|(upstream, failure)| Ended::Upstream(upstream, failure))
        }));
        Ok(())
    }

    /// Returns the time of the next check of the attempts in flight.
    fn next_check(&self, progress: &Progress) -> Option<Time> {
        let policy = self.gate.policy.lock();
        let now = self.gate.now();
        let next =
            |a: &InFlight| now + policy.recheck_delay(&self.decision.info, now.since(a.sent.at));
        progress.in_flight.iter().map(next).min()
    }

    /// Reports attempts in flight to the policy and sends a hedge if advised.
    fn check(&mut self, running: &mut Running, progress: &mut Progress) {
        let now = self.gate.now();
        self.check_restarted(progress);
        let is_partitioned = self.gate.paths.lock().is_partitioned(self.checked_service().id);
        let stuck = {
            let mut policy = self.gate.policy.lock();
            // The age of an attempt behind a partition says nothing of its upstream.
            let reported = if is_partitioned { &[][..] } else { &progress.in_flight };
            reported.iter().for_each(|a| policy.record_in_flight(a.key, now));
            let newest = progress.in_flight.last();
            newest.and_then(|a| policy.hedge_value(&self.decision.info, a.key, now))
        };
        let Some(stuck) = stuck else { return };
        if self.restriction() == Restriction::Clear
            && self.can_repeat(progress)
            && self.spend_retry(RetryReason::Overdue { stuck })
        {
            self.gate.count("attempts.hedged");
            // If there is no other upstream, the first attempt simply continues.
            let _ = self.start(running, progress, "hedge");
        }
    }

    /// Returns whether a request with a failure answer should be retried on another upstream.
    fn should_retry(&self, progress: &mut Progress) -> bool {
        self.can_repeat(progress) && self.spend_retry(RetryReason::Failed)
    }

    /// Returns whether the request is repeatable and another attempt can finish in time.
    fn can_repeat(&self, progress: &mut Progress) -> bool {
        let may_repeat = self.decision.info.repeatable && self.restriction() < Restriction::NoRetry;
        may_repeat
            && self.has_attempts_left(progress)
            && self.can_meet_deadline()
            && self.has_upstream(progress)
    }

    /// Returns whether another upstream is available for the request.
    fn has_upstream(&self, progress: &mut Progress) -> bool {
        let (info, now) =
            (RequestInfo { remaining: self.left(), ..self.decision.info }, self.gate.now());
        let refused =
            self.gate.policy.lock().check_available(&info, &progress.attempted, now).err();
        if let Some(r) = refused {
            self.log_refusal("retry", r, None);
            progress.retry_after = Some(r.retry_after);
        }
        refused.is_none()
    }

    /// Returns the restriction that the quarantine sets on the request.
    fn restriction(&self) -> Restriction {
        self.gate.suspects.restriction(self.out.same, self.gate.now())
    }

    fn can_meet_deadline(&self) -> bool {
        let info = RequestInfo { remaining: self.left(), ..self.decision.info };
        self.gate.policy.lock().can_meet_deadline(&info)
    }

    fn checked_service(&self) -> CheckedService {
        CheckedService { key: self.decision.info.service, id: NameId::of(&self.decision.service) }
    }

    /// Returns the time left until the deadline, or until the box stops if that is earlier.
    fn left(&self) -> Option<Duration> {
        let end =
            [self.deadline, self.gate.stop.answer_by(self.accepted)].into_iter().flatten().min();
        end.map(|d| d.since(self.gate.now()))
    }

    fn should_retry_after(&self, ended: &Ended, progress: &mut Progress) -> bool {
        if !self.has_attempts_left(progress) || !self.can_meet_deadline() {
            return false;
        }
        let is_partitioned = self.gate.paths.lock().is_partitioned(self.checked_service().id);
        if !is_partitioned && !self.has_upstream(progress) {
            return false;
        }
        let restriction = self.restriction();
        let is_limited = restriction >= Restriction::NoRetry;
        let is_safe = self.decision.info.repeatable || progress.unknown.is_none();
        match ended {
            // Nothing was sent to an upstream, so another attempt does not count as a retry.
            Ended::Upstream(_, Failure::NotSent { .. })
            | Ended::Peer(_, RelayFailure::Unusable { .. }) => {
                is_safe && !matches!(restriction, Restriction::Held { .. })
            }
            Ended::Peer(..) => false,
            Ended::Upstream(_, Failure::NotRun { .. }) => {
                !is_limited && is_safe && self.spend_retry(RetryReason::Failed)
            }
            Ended::Upstream(_, Failure::Unknown { .. }) | Ended::Lost(_) => {
                !is_limited
                    && self.decision.info.repeatable
                    && self.spend_retry(RetryReason::Failed)
            }
        }
    }

    fn has_attempts_left(&self, progress: &Progress) -> bool {
        progress.maybe_ran() < self.decision.max_attempts
            && progress.not_run <= MAX_NOT_RUN
            && self.source.is_available()
    }

    fn spend_retry(&self, why: RetryReason) -> bool {
        let now = self.gate.now();
        let mut policy = self.gate.policy.lock();
        let info = RequestInfo { remaining: self.left(), ..self.decision.info };
        let spent = policy.spend_retry_for(&info, why, now);
        if !spent {
            let known = policy.budget_use(self.decision.info.service, now);
            drop(policy);
            self.gate.count_tagged("retries.denied", &[("service", &*self.decision.service)]);
            log::info!(
                request = &*self.id, service = &*self.decision.service, why:debug = why,
                priority = self.decision.priority.first(),
                route_priority = self.decision.priority.differing_route(), left_ms = info.remaining.map(|d| d.as_millis() as u64),
                seen = known.requests, own = known.own, others = known.others, budget = known.budget as f32,
                past_known = known.history_known;
                "route: not sent again, the retry budget is spent"
            );
        }
        spent
    }

    fn record_ended(&self, ended: &Ended, progress: &mut Progress) {
        match ended {
            Ended::Upstream(upstream, failure) => {
                progress.in_flight.retain(|a| a.upstream != *upstream);
                self.record_failure(*upstream, failure, progress);
            }
            Ended::Lost(upstream) => {
                self.record_lost(*upstream, progress);
                progress.in_flight.retain(|a| a.upstream != *upstream);
                let failure = Failure::Unknown { why: RESTARTED.to_owned() };
                self.record_failure(*upstream, &failure, progress);
            }
            Ended::Peer(peer, failure) => self.record_relay_failure(*peer, failure, progress),
        }
    }

    /// Returns the answer if no attempt is left.
    fn exhausted(&self, progress: &Progress) -> LocalAnswer {
        if let Some(answer) = &progress.unknown {
            return answer.clone();
        }
        let jitter = |wait: Duration| wait.mul_f64(1.0 + fastrand::f64() / 2.0);
        let wait = progress.retry_after.unwrap_or_else(|| jitter(self.rejected_wait()));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let answer = LocalAnswer::not_run(status, Some(wait), progress.last_reason.clone());
        let elsewhere = self.gate.paths.lock().is_partitioned(self.checked_service().id);
        LocalAnswer { elsewhere, ..answer }
    }

    /// Returns when the caller may return if upstreams rejected the request.
    fn rejected_wait(&self) -> Duration {
        let known =
            self.gate.policy.lock().wait_after_rejection(&self.decision.info, self.gate.now());
        known.unwrap_or(NOT_RUN_RETRY_AFTER)
    }

    /// Returns the result at the deadline: an upstream's failure answer, or the proxy's own.
    fn at_deadline(&self, mut progress: Progress) -> Result<Answer, LocalAnswer> {
        let late = self.deadline_exceeded(&progress);
        progress.failure.take().ok_or(late)
    }

    fn deadline_exceeded(&self, progress: &Progress) -> LocalAnswer {
        // Attempts in flight are cancelled when their futures are dropped.
        self.gate.count("requests.late");
        let (n, now) = (progress.attempted.len(), self.gate.now());
        let is_late = self.deadline.is_some_and(|d| d <= now);
        let (cause, what) = if is_late {
            ("at its deadline", "deadline passed")
        } else {
            ("since the box stops", "box stopped")
        };
        let why = format!("the {what} with {n} attempt(s) open");
        let open = self.open_request(progress);
        let ages = open.as_ref().map(|r| r.ages(self.gate.stop.current(), now));
        let peer = open.as_ref().and_then(OpenRequest::peer).map(|addr| addr.to_string());
        let late_ms = self.deadline.filter(|_| is_late).map(|d| now.since(d).as_millis() as u64);
        log::warn!(
            request = &*self.id, service = &*self.decision.service, attempts = n,
            timeout_ms = self.decision.timeout.map(|t| t.as_millis() as u64), late_ms,
            age_ms = ages.map(|a| a.age_ms), accepted_ms = ages.and_then(|a| a.accepted_ms),
            after_stop_ms = ages.and_then(|a| a.after_stop_ms),
            upstream = open.as_ref().and_then(OpenRequest::upstream), peer = peer.as_deref(),
            sent_ms = ages.and_then(|a| a.sent_ms);
            "route: given up {cause}"
        );
        LocalAnswer::unknown(StatusCode::GATEWAY_TIMEOUT, UNKNOWN_RETRY_AFTER, why)
    }

    /// Returns this request with the newest attempt in flight.
    fn open_request(&self, progress: &Progress) -> Option<OpenRequest> {
        let open = self.gate.open.get(self.open)?;
        let newest = progress.in_flight.last().map(|a| a.sent.clone()).or(open.newest);
        Some(OpenRequest { newest, ..open })
    }

    /// Waits until a point in time, or forever if there is none.
    async fn sleep_until(&self, t: Option<Time>) {
        match t {
            Some(t) => tokio::time::sleep(t.since(self.gate.now())).await,
            None => std::future::pending().await,
        }
    }
}
