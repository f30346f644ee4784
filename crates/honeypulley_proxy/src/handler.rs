//! Request handler: validates, routes and forwards a request, and returns the answer.

use crate::answer::{Execution, LocalAnswer};
use crate::attempt::{Answer, AnswerBody, Outgoing};
use crate::body::{BodyError, Source, TrackedBody};
use crate::buffers::BodyBudget;
use crate::connections::{BusyConnection, ConnectionTracker};
use crate::fingerprint::Identity;
use crate::gate::{ProxyState, RouteRequest};
use crate::headers;
use crate::open::{OpenGuard, OpenKey};
use crate::race::Race;
use crate::relay::{RelayHead, RelayOutcome};
use crate::request_head::{check_framing, head_size, host_of, path_of, prefers_request_line};
use crate::upgrade;
use async_trait::async_trait;
use honeypulley_policy::quarantine::{Fingerprint, Fingerprints, Restriction};
use honeypulley_policy::shutdown::Unfinishable;
use honeypulley_policy::time::Time;
use http::{HeaderValue, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::upgrade::OnUpgrade;
use salvo::http::ResBody;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Timeout for reading the buffered part of a caller's body, unless the deadline is earlier.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum `Retry-After` of a request for whose body this box has no memory.
///
/// Bodies that stall hold their memory for up to [`BODY_TIMEOUT`]; another box may have more.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of relayed requests in flight.
///
/// It leaves most of the memory and connections of a box to its own callers.
const MAX_RELAYED: usize = 256;

/// `Retry-After` of a request that this box can't finish before it stops.
///
/// Another box serves the caller's next connection at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// HTTP handler for the requests of callers, or for those that other boxes relay.
#[derive(Clone, Debug)]
pub struct ProxyHandler {
    gate: Arc<ProxyState>,
    /// Limits the relayed requests in flight, if the handler serves other boxes.
    relayed: Option<Arc<Semaphore>>,
    /// Connections of the port, if they are limited.
    connections: Option<Arc<dyn ConnectionTracker>>,
    /// Memory for the bodies of requests.
    bodies: BodyBudget,
}

/// A relayed request that was accepted.
#[derive(Debug)]
struct Relayed {
    head: RelayHead,
    _permit: OwnedSemaphorePermit,
}

/// An upstream's answer to a request.
struct Answered {
    answer: Answer,
    /// The caller's half of an upgrade.
    on_upgrade: Option<OnUpgrade>,
    /// Time at which an answer that is not whole is cut.
    deadline: Option<Time>,
}

impl ProxyHandler {
    /// Creates the handler with the state of the serving path.
    #[must_use]
    pub fn new(gate: Arc<ProxyState>) -> Self {
        Self { gate, relayed: None, connections: None, bodies: BodyBudget::default() }
    }

    /// Creates the handler for requests that other boxes relay.
    #[must_use]
    pub fn for_peers(gate: Arc<ProxyState>) -> Self {
        let relayed = Some(Arc::new(Semaphore::new(MAX_RELAYED)));
        Self { relayed, ..Self::new(gate) }
    }

    /// Sets the tracker of the connections over which the requests arrive.
    #[must_use]
    pub fn with_connections(mut self, connections: Arc<dyn ConnectionTracker>) -> Self {
        self.connections = Some(connections);
        self
    }

    /// Marks the connection of a request as busy.
    fn busy_connection(&self, req: &Request) -> Option<BusyConnection> {
        let from = req.remote_addr().clone().into_std()?;
        self.connections.as_ref().map(|c| BusyConnection::new(c, from, req.version()))
    }

    /// Runs a request, and returns its answer.
    async fn run(
        &self,
        req: &mut Request,
        id: &Arc<str>,
        open: OpenKey,
    ) -> Result<Answered, LocalAnswer> {
        let began = self.gate.now();
        let dialect = &self.gate.dialect;
        check_framing(req)?;
        self.check_head_size(req)?;
        let host = host_of(req)?;
        let relayed = self.accept_relayed(req)?;
        if let Some(ready) = self.gate.routes.wait_ready() {
            ready.await;
        }
        let wanted = RouteRequest {
            request: id,
            host: &host,
            path: req.uri().path(),
            method: req.method(),
            headers: req.headers(),
            key: dialect.key_of(req.headers()),
            relayed: relayed.is_some(),
        };
        let mut decision = self.gate.routes.route(&wanted, self.gate.now())?;
        self.gate.open.record_service(open, Arc::clone(&decision.service));
        if let Some(r) = &relayed {
            decision.max_attempts = decision.max_attempts.min(r.head.attempts);
        }
        let requested =
            headers::number(req.headers(), &dialect.deadline).map(Duration::from_millis);
        let timeout = [requested, decision.timeout].into_iter().flatten().min();
        let deadline = timeout.map(|d| began + d);
        let on_upgrade = req.extensions_mut().remove::<OnUpgrade>();
        let mut out = self.outgoing(req, id);
        out.caller = relayed.as_ref().map_or_else(|| req.remote_addr().ip(), |r| r.head.caller);
        dialect.set_organisation(&decision.owner, &mut out.headers);
        out.buffered = decision.buffered && !out.upgrade;
        decision.info.repeatable &= !out.upgrade;
        let source = self.read_finishable(req, id, decision.max_body, deadline).await?;
        let accepted = self.gate.now();
        out.body_bytes = source.length().unwrap_or(source.prefix().len() as u64);
        let identity = Identity {
            method: &out.method,
            host: &host,
            path: &out.path,
            caller: out.caller,
            caller_name: headers::text(req.headers(), &dialect.caller),
        };
        out.same = self.gate.fingerprints.fingerprint(&identity, &source);
        self.check_hold(id, out.same)?;
        self.gate.open.record_accepted(open, accepted);
        let read_failure = source.failure();
        let service = Arc::clone(&decision.service);
        let answer_deadline = deadline.filter(|_| decision.limits_answer);
        let race = Race {
            gate: Arc::clone(&self.gate),
            decision,
            id: Arc::clone(id),
            out: Arc::new(out),
            source,
            deadline,
            accepted,
            relayed: relayed.is_some(),
            open,
        };
        let answer = race.run().await.map_err(|own| {
            // If the body could not be read, this is the cause of any later failure.
            let cause = read_failure.and_then(|f| f.lock().take());
            cause.map_or(own, |e| unread_body(&e))
        })?;
        let took = self.gate.now().since(began);
        self.record_answer(id, &service, answer.head.status, took);
        Ok(Answered { answer, on_upgrade, deadline: answer_deadline })
    }

    /// Rejects a head that is longer than the routing table allows.
    ///
    /// Another box has checked the head of a relayed request, to which it added fields.
    fn check_head_size(&self, req: &Request) -> Result<(), LocalAnswer> {
        let limit = self.gate.routes.caller_limits().filter(|_| self.relayed.is_none());
        match limit.filter(|l| head_size(req) > l.head_bytes) {
            None => Ok(()),
            Some(l) => {
                let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                let why = format!("the head is longer than {} bytes", l.head_bytes);
                Err(LocalAnswer::not_run(status, None, why))
            }
        }
    }

    /// Checks a request that another box relays; returns `None` if this one comes from a caller.
    fn accept_relayed(&self, req: &Request) -> Result<Option<Relayed>, LocalAnswer> {
        let Some(limit) = &self.relayed else { return Ok(None) };
        let path = path_of(req);
        let key = self.gate.relays.as_ref().map(|r| &r.key);
        let Some(head) = key.and_then(|k| k.decode(req.headers(), path)) else {
            return Err(LocalAnswer::bad_request("no box of this fleet has relayed the request"));
        };
        let reject = |why: &str| {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            LocalAnswer::not_run(status, None, why.to_owned()).with_elsewhere()
        };
        if self.gate.stop.has_begun() {
            return Err(reject("a planned stop has begun"));
        }
        let permit = Arc::clone(limit).try_acquire_owned();
        let permit = permit.map_err(|_| reject("this box relays too many requests"))?;
        self.gate.count("requests.relayed");
        Ok(Some(Relayed { head, _permit: permit }))
    }

    /// Reads a caller's body, unless the box stops before the request's time limit ends.
    ///
    /// The box decides last when the body is there, so that no upstream has seen a rejected request.
    async fn read_finishable(
        &self,
        req: &mut Request,
        id: &str,
        max_bytes: u64,
        deadline: Option<Time>,
    ) -> Result<Source, LocalAnswer> {
        let (stop, clock) = (&self.gate.stop, self.gate.clock);
        let check = || stop.check(deadline, clock.now()).map_err(|e| self.reject_at_stop(id, e));
        stop.wait_noticed(clock).await;
        check()?;
        let left = deadline.map(|d| d.since(clock.now()));
        let timeout = left.map_or(BODY_TIMEOUT, |l| l.min(BODY_TIMEOUT));
        let source = tokio::select! {
            biased;
            source = read_body(req, max_bytes, timeout, &self.bodies) => source?,
            e = stop.wait_unfinishable(deadline, clock) => return Err(self.reject_at_stop(id, e)),
        };
        stop.wait_noticed(clock).await;
        check()?;
        Ok(source)
    }

    /// Rejects a request that may still run when the process ends.
    fn reject_at_stop(&self, id: &str, e: Unfinishable) -> LocalAnswer {
        self.gate.stop.record_rejection();
        self.gate.count("requests.unfinishable");
        log::info!(
            request = id, left_ms = e.left.as_millis() as u64,
            limit_ms = e.limit.map(|l| l.as_millis() as u64);
            "route: refused, {e}"
        );
        let status = StatusCode::SERVICE_UNAVAILABLE;
        LocalAnswer::not_run(status, Some(STOP_RETRY_AFTER), e.to_string()).with_elsewhere()
    }

    /// Rejects a request that is held because it crashes upstreams.
    fn check_hold(&self, id: &str, same: Fingerprints) -> Result<(), LocalAnswer> {
        let now = self.gate.now();
        let Restriction::Held { remaining } = self.gate.suspects.restriction(same, now) else {
            return Ok(());
        };
        self.gate.suspects.record_rejection(same, now);
        self.gate.count("requests.held");
        log::warn!(
            request = id, same:display = same.caller, content:display = same.content,
            left_ms = remaining.as_millis() as u64;
            "route: refused, upstreams crashed during this request"
        );
        let wait = remaining.mul_f64(1.0 + fastrand::f64() / 10.0);
        let why = "upstreams ended while they ran this request, so it is not sent on".to_owned();
        Err(LocalAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, Some(wait), why))
    }

    /// Logs and counts an upstream's answer that is forwarded.
    fn record_answer(&self, id: &str, service: &str, status: StatusCode, took: Duration) {
        let outcome = if status.is_server_error() { "failed" } else { "served" };
        self.gate.count_tagged("requests.answered", &[("service", service), ("outcome", outcome)]);
        self.gate.time("requests.duration_ms", service, took);
        let level = if status.is_server_error() { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level,
            request = id, service, status = status.as_u16(), took_ms = took.as_millis() as u64;
            "route: answered"
        );
    }

    /// Returns the caller's request ID, or a random one.
    fn request_id(&self, req: &Request) -> Arc<str> {
        let value = headers::text(req.headers(), &self.gate.dialect.request);
        let given = value.filter(|t| t.len() <= 128);
        given.map_or_else(|| format!("{:016x}", fastrand::u64(..)).into(), Arc::from)
    }

    /// Builds the request to upstreams from the caller's request.
    fn outgoing(&self, req: &Request, id: &str) -> Outgoing {
        let dialect = &self.gate.dialect;
        let mut h = req.headers().clone();
        let upgrade = h.get(header::UPGRADE).cloned();
        headers::strip_hop_by_hop(&mut h);
        h.remove(header::CONTENT_LENGTH);
        h.remove(header::EXPECT);
        h.remove(headers::RELAY);
        if !dialect.caller_attempt {
            h.remove(&dialect.attempt);
            if let Ok(v) = HeaderValue::from_str(id) {
                h.insert(dialect.request.clone(), v);
            }
        }
        if let Some(expect_instance) = &dialect.expect_instance {
            h.remove(expect_instance);
        }
        if let Some(authority) = req.uri().authority()
            && (prefers_request_line(req) || !h.contains_key(header::HOST))
            && let Ok(host) = authority.as_str().parse()
        {
            h.insert(header::HOST, host);
        }
        let is_upgrade = upgrade.is_some() && req.version() == Version::HTTP_11;
        if let (true, Some(protocol)) = (is_upgrade, upgrade) {
            h.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
            h.insert(header::UPGRADE, protocol);
        }
        let mut key = dialect.api_key.as_ref().and_then(|name| h.get(name).cloned());
        if let Some(k) = &mut key {
            k.set_sensitive(true);
        }
        Outgoing {
            method: req.method().clone(),
            path: path_of(req).to_owned(),
            headers: h,
            upgrade: is_upgrade,
            body_bytes: 0,
            buffered: false,
            same: Fingerprints { caller: Fingerprint(0), content: Fingerprint(0) },
            caller: None,
            key,
        }
    }

    /// Logs, counts and writes an answer of the box itself.
    fn write_own(&self, id: &str, own: &LocalAnswer, res: &mut Response) {
        self.gate.count("requests.refused");
        let outcome = if own.execution == Execution::NotRun { "refused" } else { "unknown" };
        self.gate
            .count_tagged("requests.own", &[("outcome", outcome), ("status", own.status.as_str())]);
        log::warn!(
            request = id, status = own.status.as_u16(), outcome:debug = own.execution,
            retry_after_ms = own.retry_after.map(|d| d.as_millis() as u64);
            "route: own answer, {}", own.reason
        );
        own.write(&self.gate.dialect, res);
        if self.relayed.is_some() {
            own.relay_outcome().set(res.headers_mut());
            own.set_retry_after_ms(res.headers_mut());
        }
    }

    /// Forwards an upstream's answer to the caller.
    fn forward(
        &self,
        answer: Answer,
        deadline: Option<Time>,
        mut open: OpenGuard,
        res: &mut Response,
    ) {
        let Answer { head, body, guard, .. } = answer;
        let dialect = &self.gate.dialect;
        let mut h = head.headers;
        headers::strip_hop_by_hop(&mut h);
        if !dialect.keeps_headers {
            h.remove(&dialect.leaving);
            h.remove(&dialect.attempt);
            h.remove(&dialect.load);
        }
        h.remove(headers::RELAY_OUTCOME);
        if self.relayed.is_some() {
            RelayOutcome::Answered.set(&mut h);
        }
        res.status_code(head.status);
        *res.headers_mut() = h;
        let (prefix, rest) = match body {
            AnswerBody::Whole(all) => {
                open.finish();
                res.replace_body(ResBody::Once(all));
                return;
            }
            AnswerBody::Open(rest) => (None, rest),
            AnswerBody::Begun(prefix, rest) => (Some(prefix), rest),
        };
        let rest: http::Response<reqwest::Body> = rest.into();
        let body = TrackedBody::new(prefix, rest.into_body(), guard, open)
            .with_deadline(deadline, &self.gate);
        res.replace_body(ResBody::Boxed(Box::pin(body.map_err(salvo::BoxedError::from))));
    }
}

#[async_trait]
impl Handler for ProxyHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        self.gate.count("requests");
        let id = self.request_id(req);
        let busy = self.busy_connection(req);
        let mut open = OpenGuard::new(&self.gate, Arc::clone(&id)).with_connection(busy);
        match self.run(req, &id, open.key()).await {
            Ok(Answered { answer, on_upgrade, deadline }) => {
                self.gate.open.record_answer(open.key(), answer.sent.clone());
                match on_upgrade {
                    Some(caller) if answer.head.status == StatusCode::SWITCHING_PROTOCOLS => {
                        upgrade::relay(&self.gate, caller, answer, id, open, res);
                    }
                    _ => self.forward(answer, deadline, open, res),
                }
            }
            Err(own) => {
                open.finish();
                self.write_own(&id, &own, res);
            }
        }
        let is_upgraded = res.status_code == Some(StatusCode::SWITCHING_PROTOCOLS);
        if self.gate.stop.has_begun() && !is_upgraded && req.version() <= Version::HTTP_11 {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// Reads a caller's body, which is buffered if it is small.
async fn read_body(
    req: &mut Request,
    max_bytes: u64,
    timeout: Duration,
    budget: &BodyBudget,
) -> Result<Source, LocalAnswer> {
    match tokio::time::timeout(timeout, Source::read(req.take_body(), max_bytes, budget)).await {
        Ok(Ok(s)) => Ok(s),
        Ok(Err(e)) => Err(unread_body(&e)),
        Err(_) => {
            let why = "the body came too slowly".to_owned();
            Err(LocalAnswer::not_run(StatusCode::REQUEST_TIMEOUT, None, why))
        }
    }
}

/// Rejects a request whose body was not read to its end, so that no upstream got it whole.
fn unread_body(e: &BodyError) -> LocalAnswer {
    let (status, retry_after) = match e {
        BodyError::Unreadable(_) => (StatusCode::BAD_REQUEST, None),
        BodyError::TooLong(_) => (StatusCode::PAYLOAD_TOO_LARGE, None),
        BodyError::NoMemory(_) => {
            let wait = BODY_RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
            (StatusCode::SERVICE_UNAVAILABLE, Some(wait))
        }
    };
    LocalAnswer::not_run(status, retry_after, e.to_string())
}
