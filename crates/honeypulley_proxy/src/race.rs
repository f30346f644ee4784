//! The attempts of one request: first, retry, hedge, and the deadline over all.

use crate::answer::OwnAnswer;
use crate::attempt::{Answer, AttemptGuard, Failure, Outgoing, send};
use crate::body::Source;
use crate::shared::Shared;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use honeypulley_policy::router::{Refusal, ServiceKey, UpstreamKey};
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Most attempts for one request.
const MAX_ATTEMPTS: usize = 3;
/// When to come back after an outcome that isn't known.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// One request on its way.
#[derive(Debug)]
pub struct Race {
    /// State of the serving thread.
    pub shared: Arc<Shared>,
    /// Service asked for.
    pub service: ServiceKey,
    /// Its name, for logs.
    pub name: String,
    /// The request's id, for logs.
    pub id: String,
    /// What is sent.
    pub out: Arc<Outgoing>,
    /// Body.
    pub source: Source,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// When it must be answered.
    pub deadline: Instant,
}

type Running = FuturesUnordered<BoxFuture<'static, Result<Answer, (UpstreamKey, Failure)>>>;

/// What the attempts so far have shown.
#[derive(Debug, Default)]
struct Tally {
    tried: Vec<UpstreamKey>,
    unknown: Option<String>,
    last: String,
    retry_after: Option<Duration>,
}

impl Race {
    /// Runs attempts until one answers, none is left, or the deadline passes.
    ///
    /// # Errors
    /// Returns our own answer, to be given at once.
    pub async fn run(mut self) -> Result<Answer, OwnAnswer> {
        let (mut running, mut tally) = (Running::new(), Tally::default());
        self.start(&mut running, &mut tally, "first").map_err(OwnAnswer::refusal)?;
        let mut hedge_at = Instant::now() + self.shared.router.lock().stall_limit(self.service);
        loop {
            let may_hedge = self.repeatable && tally.tried.len() < MAX_ATTEMPTS;
            let ended = tokio::select! {
                biased;
                Some(ended) = running.next() => ended,
                () = tokio::time::sleep_until(self.deadline) => return Err(self.late(&tally)),
                () = tokio::time::sleep_until(hedge_at), if may_hedge => {
                    self.hedge(&mut running, &mut tally);
                    hedge_at = self.deadline;
                    continue;
                }
            };
            let (upstream, failure) = match ended {
                Ok(answer) if self.should_retry(&answer, &tally) => {
                    // The upstream's own failure answer; it is passed on if no
                    // other attempt can be made.
                    if self.start(&mut running, &mut tally, "retry").is_err() {
                        return Ok(answer);
                    }
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            self.book(upstream, &failure, &mut tally);
            if !running.is_empty() {
                continue;
            }
            if !self.may_repeat(&failure, &tally)
                || self.start(&mut running, &mut tally, "retry").is_err()
            {
                return Err(self.given_up(&tally));
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
        let bundle = self.shared.version().0;
        let mut router = self.shared.router.lock();
        let now = self.shared.now();
        let pick = match router.pick(self.service, self.repeatable, &tally.tried, now) {
            Ok(p) => p,
            Err(r) => {
                log::info!(
                    request = self.id.as_str(), service = self.name.as_str(), bundle;
                    "route: {kind} not sent, {}", r.kind
                );
                return Err(r);
            }
        };
        let (name, addr) = router.upstream(pick.upstream).expect("just picked");
        log::info!(
            request = self.id.as_str(), service = self.name.as_str(), upstream = name,
            reason:debug = pick.reason, bundle;
            "route: {kind} sent to {name}"
        );
        let addr = addr.to_owned();
        drop(router);
        let guard = AttemptGuard::new(&self.shared, pick);
        tally.tried.push(pick.upstream);
        let body = self.source.take().expect("checked before each attempt");
        let left = self.deadline.saturating_duration_since(Instant::now());
        let attempt =
            send(Arc::clone(&self.shared), guard, addr, Arc::clone(&self.out), body, left);
        running.push(Box::pin(attempt));
        Ok(())
    }

    fn hedge(&mut self, running: &mut Running, tally: &mut Tally) {
        if self.source.is_there() && self.shared.router.lock().spend_retry(self.service) {
            self.shared.count("attempts.hedged");
            // Finding no other upstream is no loss: the first attempt still runs.
            let _ = self.start(running, tally, "hedge");
        }
    }

    /// Tells whether a failure answer of an upstream should be tried elsewhere.
    fn should_retry(&self, answer: &Answer, tally: &Tally) -> bool {
        answer.response.status().is_server_error() && self.repeatable && self.has_retry(tally)
    }

    fn may_repeat(&self, failure: &Failure, tally: &Tally) -> bool {
        let safe = match failure {
            Failure::NotRun { .. } => tally.unknown.is_none(),
            Failure::Unknown { .. } => false,
        };
        (safe || self.repeatable) && self.has_retry(tally)
    }

    fn has_retry(&self, tally: &Tally) -> bool {
        tally.tried.len() < MAX_ATTEMPTS
            && self.source.is_there()
            && self.shared.router.lock().spend_retry(self.service)
    }

    fn book(&self, upstream: UpstreamKey, failure: &Failure, tally: &mut Tally) {
        let router = self.shared.router.lock();
        let name = router.upstream(upstream).map_or("gone", |(n, _)| n);
        let (request, service) = (self.id.as_str(), self.name.as_str());
        match failure {
            Failure::NotRun { why, retry_after } => {
                log::info!(request, service, upstream = name; "attempt: {name} did not run it: {why}");
                tally.last.clone_from(why);
                tally.retry_after = retry_after.or(tally.retry_after);
            }
            Failure::Unknown { why } => {
                log::info!(
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
        let wait = tally.retry_after.unwrap_or(UNKNOWN_WAIT).mul_f64(1.0 + fastrand::f64() / 2.0);
        OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, Some(wait), tally.last.clone())
    }

    fn late(&self, tally: &Tally) -> OwnAnswer {
        // Whatever still runs is cancelled by the drop of its future.
        self.shared.count("requests.late");
        let n = tally.tried.len();
        let why = format!("the deadline passed with {n} attempt(s) open");
        OwnAnswer::unknown(StatusCode::GATEWAY_TIMEOUT, UNKNOWN_WAIT, why)
    }
}
