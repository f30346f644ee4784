//! The attempts of one request: first, retry, hedge, and the deadline over all.

use crate::answer::OwnAnswer;
use crate::attempt::{Answer, AttemptGuard, Destination, Failure, Outgoing, send};
use crate::body::Source;
use crate::gate::{Gate, Routed};
use futures::future::{AbortHandle, Abortable, BoxFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use honeypulley_policy::balance::Resend;
use honeypulley_policy::chooser::Ask;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{End, Standing};
use honeypulley_policy::router::{AttemptKey, Refusal, UpstreamKey};
use honeypulley_policy::time::Time;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// Most sends of one request beyond those that may have run.
const MAX_UNRUN: usize = 3;
/// `Retry-After` of an unknown outcome.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);
/// `Retry-After` where every upstream tried has proven that it did not run the request.
const UNRUN_WAIT: Duration = Duration::from_millis(250);

/// What is said of an attempt whose upstream started again meanwhile.
const RESTARTED: &str = "its upstream has started again";

/// One request on its way.
#[derive(Debug)]
pub struct Race {
    /// State of the serving path.
    pub gate: Arc<Gate>,
    /// Where it goes and how it may be treated.
    pub routed: Routed,
    /// The request's id, for logs.
    pub id: String,
    /// What is sent.
    pub out: Arc<Outgoing>,
    /// Body.
    pub source: Source,
    /// When it must be answered, if route or caller say.
    pub deadline: Option<Time>,
}

type Running = FuturesUnordered<BoxFuture<'static, Result<Answer, (UpstreamKey, Failure)>>>;

/// An attempt that was sent, and when.
#[derive(Clone, Debug)]
struct OpenAttempt {
    key: AttemptKey,
    upstream: UpstreamKey,
    /// The upstream's name, which may not be known any more.
    name: NameId,
    began: Time,
    /// Breaks it off.
    abort: AbortHandle,
}

/// What the attempts so far have shown.
#[derive(Debug, Default)]
struct Tally {
    tried: Vec<UpstreamKey>,
    /// Sends that were proven not to have run.
    unrun: usize,
    open: Vec<OpenAttempt>,
    unknown: Option<String>,
    last: String,
    /// An upstream's failure answer, to be passed on if nothing better comes.
    failure: Option<Answer>,
    /// `Retry-After` of the last refused send.
    wait: Option<Duration>,
}

impl Tally {
    /// Returns how many upstreams may have run the request.
    const fn ran(&self) -> usize {
        self.tried.len() - self.unrun
    }
}

impl Race {
    /// Runs attempts until one answers, none is left, or the deadline passes.
    ///
    /// # Errors
    /// Returns our own answer, to be given at once.
    pub async fn run(mut self) -> Result<Answer, OwnAnswer> {
        let (mut running, mut tally) = (Running::new(), Tally::default());
        self.start(&mut running, &mut tally, "first").map_err(OwnAnswer::refusal)?;
        loop {
            let look_at = self.next_look(&tally);
            let ended = tokio::select! {
                biased;
                Some(ended) = running.next() => ended,
                () = self.at(self.deadline) => return self.out_of_time(tally),
                () = self.at(look_at) => {
                    // Timers do not count a suspension of the machine.
                    if self.left().is_some_and(|left| left.is_zero()) {
                        return self.out_of_time(tally);
                    }
                    self.look(&mut running, &mut tally);
                    continue;
                }
            };
            let (upstream, failure) = match ended {
                Ok(answer) if answer.head.status.is_server_error() => {
                    self.log_failure_answer(&answer);
                    tally.open.retain(|a| a.upstream != answer.guard.upstream);
                    // The upstream's own failure answer; it is passed on if no
                    // other attempt is open or can be made.
                    let again = self.should_retry(&mut tally)
                        && self.start(&mut running, &mut tally, "retry").is_ok();
                    if !again && running.is_empty() {
                        return Ok(answer);
                    }
                    tally.failure = Some(answer);
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            tally.open.retain(|a| a.upstream != upstream);
            self.book(upstream, &failure, &mut tally);
            if !running.is_empty() {
                continue;
            }
            if !self.may_repeat(&failure, &mut tally)
                || self.start(&mut running, &mut tally, "retry").is_err()
            {
                return tally.failure.take().ok_or_else(|| self.given_up(&tally));
            }
        }
    }

    /// Picks an upstream and sends one attempt there.
    fn start(
        &mut self,
        running: &mut Running,
        tally: &mut Tally,
        kind: &str,
    ) -> Result<(), Refusal> {
        let (version, service) = (self.routed.version, self.routed.service.as_str());
        let mut policy = self.gate.chooser.lock();
        let now = self.gate.now();
        // The last send allowed can't be made good by another.
        let is_last = tally.ran() + 1 >= self.routed.attempts;
        let left = self.left();
        let repeatable = self.routed.ask.repeatable && !is_last;
        let ask = Ask { repeatable, left, ..self.routed.ask };
        let pick = match policy.pick(&ask, &tally.tried, now) {
            Ok(p) => p,
            Err(r) => {
                let expected = policy.expected(&ask, now);
                drop(policy);
                self.log_refusal(kind, r, expected);
                tally.wait = Some(r.retry_after);
                return Err(r);
            }
        };
        let place = policy.place(pick.upstream).expect("just picked");
        let to = Destination { name: place.name.to_owned(), addr: place.addr.to_owned() };
        let known = policy.inputs(pick.upstream, now);
        drop(policy);
        self.gate.count_for("attempts", &[("service", service), ("kind", kind)]);
        log::info!(
            request = self.id.as_str(), same:display = self.out.same.caller,
            organisation = self.routed.belongs.name(), service,
            upstream = to.name.as_str(), reason:debug = pick.reason, version,
            attempts = self.routed.attempts, repeatable = self.routed.ask.repeatable,
            near = known.near, sick = known.sick as f32, path = known.path as f32, busy = known.busy as f32,
            load_age_ms = known.load_age.map(|d| d.as_millis() as u64),
            limit = known.limit.map(|l| l.rate as f32), limit_part = known.limit.map(|l| l.part as f32),
            limit_left = known.limit.and_then(|l| l.left).map(|left| left as f32),
            list:display = known.list.version, list_age_ms = known.list.age.map(|d| d.as_millis() as u64);
            "route: {kind} sent to {}", to.name
        );
        let guard = AttemptGuard::new(&self.gate, pick, self.out.same);
        tally.tried.push(pick.upstream);
        let (abort, registration) = AbortHandle::new_pair();
        tally.open.push(OpenAttempt {
            key: pick.attempt,
            upstream: pick.upstream,
            name: NameId::of(&to.name),
            began: now,
            abort,
        });
        let body = self.source.take().expect("checked before each attempt");
        let attempt = send(Arc::clone(&self.gate), guard, to, Arc::clone(&self.out), body, left);
        let upstream = pick.upstream;
        running.push(Box::pin(async move {
            let done = Abortable::new(attempt, registration).await;
            done.unwrap_or_else(|_| Err((upstream, Failure::Unknown { why: RESTARTED.to_owned() })))
        }));
        Ok(())
    }

    /// Returns when the attempts are to be looked at again.
    fn next_look(&self, tally: &Tally) -> Option<Time> {
        let policy = self.gate.chooser.lock();
        let now = self.gate.now();
        let next = |a: &OpenAttempt| now + policy.look_after(&self.routed.ask, now.since(a.began));
        tally.open.iter().map(next).min()
    }

    /// Reports attempts in flight to the policy and sends a hedge if that is worthwhile.
    fn look(&mut self, running: &mut Running, tally: &mut Tally) {
        let now = self.gate.now();
        self.end_lost(tally);
        let stuck = {
            let mut policy = self.gate.chooser.lock();
            tally.open.iter().for_each(|a| policy.still_open(a.key, now));
            let newest = tally.open.last();
            newest.and_then(|a| policy.hedge(&self.routed.ask, a.key, now))
        };
        let Some(stuck) = stuck else { return };
        if self.standing() == Standing::Clear
            && self.may_send_again(tally)
            && self.spend(Resend::Overdue { stuck })
        {
            self.gate.count("attempts.hedged");
            // Finding no other upstream is no loss: the first attempt still runs.
            let _ = self.start(running, tally, "hedge");
        }
    }

    /// Breaks off the attempts whose upstreams have started again: they are not answered.
    ///
    /// Behind a cut no packet says so, and each would wait for its deadline.
    fn end_lost(&self, tally: &Tally) {
        let policy = self.gate.chooser.lock();
        let lost: Vec<&OpenAttempt> =
            tally.open.iter().filter(|a| policy.has_restarted(a.upstream)).collect();
        drop(policy);
        let now = self.gate.now();
        for a in lost {
            let end = End { upstream: a.name, began: a.began, ended: now };
            self.gate.suspects.ended(self.out.same, end, now);
            a.abort.abort();
        }
    }

    /// Returns whether a request that got a failure answer should be tried elsewhere.
    fn should_retry(&self, tally: &mut Tally) -> bool {
        self.may_send_again(tally) && self.spend(Resend::Failed)
    }

    /// Returns whether a repeatable request may be sent once more, and still in time.
    fn may_send_again(&self, tally: &mut Tally) -> bool {
        let may_repeat = self.routed.ask.repeatable && self.standing() < Standing::Single;
        may_repeat && self.has_retry(tally) && self.is_in_time() && self.has_upstream(tally)
    }

    /// Returns whether another upstream may be sent the request now.
    fn has_upstream(&self, tally: &mut Tally) -> bool {
        let (ask, now) = (Ask { left: self.left(), ..self.routed.ask }, self.gate.now());
        let refused = self.gate.chooser.lock().may_send(&ask, &tally.tried, now).err();
        if let Some(r) = refused {
            self.log_refusal("retry", r, None);
            tally.wait = Some(r.retry_after);
        }
        refused.is_none()
    }

    /// Returns how the request may be treated, by the upstreams that ended under it.
    fn standing(&self) -> Standing {
        self.gate.suspects.standing(self.out.same, self.gate.now())
    }

    fn is_in_time(&self) -> bool {
        let ask = Ask { left: self.left(), ..self.routed.ask };
        self.gate.chooser.lock().is_in_time(&ask)
    }

    /// Returns the time until the request must be answered.
    fn left(&self) -> Option<Duration> {
        self.deadline.map(|d| d.since(self.gate.now()))
    }

    fn may_repeat(&self, failure: &Failure, tally: &mut Tally) -> bool {
        if !self.has_retry(tally) || !self.is_in_time() || !self.has_upstream(tally) {
            return false;
        }
        let standing = self.standing();
        let is_single = standing >= Standing::Single;
        let safe = self.routed.ask.repeatable || tally.unknown.is_none();
        match failure {
            // Nothing reached an upstream, so this is no retry to it.
            Failure::NotSent { .. } => safe && !matches!(standing, Standing::Held { .. }),
            Failure::NotRun { .. } => !is_single && safe && self.spend(Resend::Failed),
            Failure::Unknown { .. } => {
                !is_single && self.routed.ask.repeatable && self.spend(Resend::Failed)
            }
        }
    }

    fn has_retry(&self, tally: &Tally) -> bool {
        tally.ran() < self.routed.attempts && tally.unrun <= MAX_UNRUN && self.source.is_there()
    }

    fn spend(&self, why: Resend) -> bool {
        let now = self.gate.now();
        let mut policy = self.gate.chooser.lock();
        let spent = policy.spend_retry(self.routed.ask.service, why, now);
        if !spent {
            let known = policy.budget_use(self.routed.ask.service, now);
            drop(policy);
            self.gate.count_for("retries.denied", &[("service", self.routed.service.as_str())]);
            log::info!(
                request = self.id.as_str(), service = self.routed.service.as_str(), why:debug = why,
                seen = known.seen, own = known.own, others = known.others, budget = known.budget as f32,
                past_known = known.past_known;
                "route: not sent again, the retry budget is spent"
            );
        }
        spent
    }

    fn log_refusal(&self, kind: &str, r: Refusal, expected: Option<Duration>) {
        log::info!(
            request = self.id.as_str(), service = self.routed.service.as_str(),
            version = self.routed.version,
            aim_ms = self.routed.ask.aim.map(|d| d.as_millis() as u64),
            expected_ms = expected.map(|d| d.as_millis() as u64);
            "route: {kind} not sent, {}", r.kind
        );
    }

    fn log_failure_answer(&self, answer: &Answer) {
        let policy = self.gate.chooser.lock();
        let upstream = policy.place(answer.guard.upstream).map_or("gone", |p| p.name);
        log::warn!(
            request = self.id.as_str(), service = self.routed.service.as_str(), upstream,
            status = answer.head.status.as_u16();
            "attempt: {upstream} answered with a failure"
        );
    }

    fn book(&self, upstream: UpstreamKey, failure: &Failure, tally: &mut Tally) {
        let policy = self.gate.chooser.lock();
        let name = policy.place(upstream).map_or("gone", |p| p.name);
        let (request, service) = (self.id.as_str(), self.routed.service.as_str());
        let reason = match failure {
            Failure::NotSent { .. } => "not_sent",
            Failure::NotRun { .. } => "not_run",
            Failure::Unknown { .. } => "unknown",
        };
        self.gate.count_for("attempts.failed", &[("service", service), ("reason", reason)]);
        match failure {
            Failure::NotSent { why } => {
                log::warn!(request, service, upstream = name; "attempt: not sent to {name}: {why}");
                tally.unrun += 1;
                tally.last.clone_from(why);
            }
            Failure::NotRun { why } => {
                log::warn!(request, service, upstream = name; "attempt: {name} did not run it: {why}");
                tally.unrun += 1;
                tally.last.clone_from(why);
            }
            Failure::Unknown { why } => {
                log::warn!(
                    request, service, upstream = name;
                    "attempt: {name} failed, outcome unknown: {why}"
                );
                tally.unknown = Some(why.clone());
            }
        }
    }

    /// Returns the answer when no attempt is left.
    fn given_up(&self, tally: &Tally) -> OwnAnswer {
        if let Some(why) = &tally.unknown {
            return OwnAnswer::unknown(StatusCode::BAD_GATEWAY, UNKNOWN_WAIT, why.clone());
        }
        let usual = || UNRUN_WAIT.mul_f64(1.0 + fastrand::f64() / 2.0);
        let wait = tally.wait.unwrap_or_else(usual);
        OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, Some(wait), tally.last.clone())
    }

    /// Returns what there is at the deadline: an upstream's failure, or our own.
    fn out_of_time(&self, mut tally: Tally) -> Result<Answer, OwnAnswer> {
        let late = self.late(&tally);
        tally.failure.take().ok_or(late)
    }

    fn late(&self, tally: &Tally) -> OwnAnswer {
        // Whatever still runs is cancelled by the drop of its future.
        self.gate.count("requests.late");
        let n = tally.tried.len();
        let why = format!("the deadline passed with {n} attempt(s) open");
        log::warn!(
            request = self.id.as_str(), service = self.routed.service.as_str(), attempts = n;
            "route: given up at its deadline"
        );
        OwnAnswer::unknown(StatusCode::GATEWAY_TIMEOUT, UNKNOWN_WAIT, why)
    }

    /// Waits until a point, or forever if there is none.
    async fn at(&self, t: Option<Time>) {
        match t {
            Some(t) => tokio::time::sleep(t.since(self.gate.now())).await,
            None => std::future::pending().await,
        }
    }
}
