//! A single exchange with an upstream.

use crate::buffers::AnswerBuffers;
use crate::dialect::Dialect;
use crate::gate::ProxyState;
use crate::head::{self, Expected};
use crate::liveness::refuses_connections;
use crate::open::{Recipient, SentAttempt};
use crate::paths::{self, CheckedService};
use crate::signals::{self, ReceivedHead};
use bytes::{Bytes, BytesMut};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{Crash, Fingerprints};
use honeypulley_policy::router::{AttemptKey, Outcome, Pick, UpstreamKey};
use honeypulley_policy::time::Time;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Request to be sent, which is the same for all attempts.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Whether the caller requests a connection upgrade.
    pub upgrade: bool,
    /// Length of the body in bytes, or of what is known of it.
    pub body_bytes: u64,
    /// Whether short answers are buffered before they are forwarded.
    pub buffered: bool,
    /// Fingerprints, which repeats of the request share.
    pub same: Fingerprints,
    /// Address of the caller, if it is known.
    pub caller: Option<IpAddr>,
    /// The caller's key, which only boxes of the fleet receive.
    pub key: Option<HeaderValue>,
}

/// Reports the outcome of an attempt to the policy when dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    gate: Arc<ProxyState>,
    /// Key of the attempt in the policy.
    pub key: AttemptKey,
    /// Upstream that the attempt is sent to.
    pub upstream: UpstreamKey,
    service: CheckedService,
    request: Fingerprints,
    outcome: Outcome,
    /// Whether the head of the answer was accepted and is no server error.
    succeeded: bool,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that the policy has just opened.
    #[must_use]
    pub fn new(
        gate: &Arc<ProxyState>,
        pick: Pick,
        service: CheckedService,
        request: Fingerprints,
    ) -> Self {
        let (key, upstream, gate) = (pick.attempt, pick.upstream, Arc::clone(gate));
        let outcome = Outcome::Cancelled;
        Self { gate, key, upstream, service, request, outcome, succeeded: false }
    }

    /// Sets the outcome that is reported when the guard is dropped.
    pub const fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.gate.now();
        // An attempt that a partition left without an answer says nothing of the upstream.
        let is_cut = self.outcome == Outcome::Cancelled
            && self.gate.paths.lock().is_partitioned(self.service.id);
        let outcome = if is_cut { Outcome::Partitioned } else { self.outcome };
        let finish = || self.gate.policy.lock().finish(self.key, outcome, now);
        if std::thread::panicking() {
            // A second panic would abort the process, whereas the duty is restarted after one.
            if std::panic::catch_unwind(std::panic::AssertUnwindSafe(finish)).is_err() {
                log::error!("attempt: its end was not recorded, the policy panicked");
            }
            return;
        }
        finish();
        if self.succeeded && self.outcome == Outcome::Completed {
            self.gate.suspects.record_success(self.request, now);
        }
    }
}

/// Failure of an attempt, classified by whether the request may have been run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, because no connection was established.
    NotSent {
        /// What happened.
        why: String,
    },
    /// The upstream stated that it did not run the request.
    NotRun {
        /// What happened.
        why: String,
    },
    /// Data was sent, and it is unknown whether the request was run.
    Unknown {
        /// What happened.
        why: String,
    },
}

/// Body of an answer that may be forwarded.
#[derive(Debug)]
pub enum AnswerBody {
    /// Not read yet.
    Open(reqwest::Response),
    /// Completely buffered.
    Whole(Bytes),
    /// Too long to be buffered: the part read so far, and the rest.
    Begun(Bytes, reqwest::Response),
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// An answer whose head was accepted.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: AnswerBody,
    /// Guard of the attempt, to be kept until the body is forwarded.
    ///
    /// `None` if another box sent the request to the upstream.
    pub guard: Option<AttemptGuard>,
    /// Attempt that was answered.
    pub sent: SentAttempt,
}

/// Destination of an attempt.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Name of the upstream instance, which is never reused.
    pub name: Arc<str>,
    /// Address of the upstream.
    pub addr: String,
}

/// Sends one attempt and checks the head of its answer.
///
/// # Errors
/// Returns a [`Failure`], which was already reported to the policy.
pub async fn send(
    gate: Arc<ProxyState>,
    mut guard: AttemptGuard,
    to: Destination,
    out: Arc<Outgoing>,
    body: reqwest::Body,
    left: Option<Duration>,
) -> Result<Answer, (UpstreamKey, Failure)> {
    let upstream = guard.upstream;
    let began = gate.now();
    let id = attempt_id(&gate.dialect, &out);
    let request = build(&gate, &to, &out, body, left, id.as_ref());
    let response = match request.send().await {
        Ok(r) => r,
        Err(e) => {
            let (outcome, failure) = classify(&e);
            judge_failure(&gate, guard, outcome, (&to, &out), began).await;
            return Err((upstream, failure));
        }
    };
    paths::record_contact(&gate, guard.service);
    if let Err(f) = check_head(&gate, &mut guard, (&to, &out), &response, id.as_ref()) {
        return Err((upstream, f));
    }
    let head = AnswerHead { status: response.status(), headers: response.headers().clone() };
    let body = if out.buffered {
        read_body(response, &gate.buffers).await
    } else {
        Ok(AnswerBody::Open(response))
    };
    match body {
        Ok(body) => {
            if matches!(body, AnswerBody::Whole(_)) {
                let (status, headers) = (head.status, &head.headers);
                let head = ReceivedHead { from: &to.name, attempt: guard.key, status, headers };
                signals::record_complete(&gate, &head);
                guard.ended(Outcome::Completed);
            }
            let sent = SentAttempt { to: Recipient::Upstream(to.name), at: began };
            Ok(Answer { head, body, guard: Some(guard), sent })
        }
        Err(why) => {
            judge_failure(&gate, guard, Outcome::Malformed, (&to, &out), began).await;
            Err((upstream, Failure::Unknown { why: format!("the answer was cut: {why}") }))
        }
    }
}

/// Reports a failed exchange to the policy, and checks whether the upstream has crashed.
///
/// A failure that a partition of this box explains is no evidence against the upstream. All checks
/// happen before any retry, so that a request that crashes upstreams is already a suspect by then.
/// If the upstream still runs, they cost one round trip.
async fn judge_failure(
    gate: &Arc<ProxyState>,
    mut guard: AttemptGuard,
    outcome: Outcome,
    (to, out): (&Destination, &Outgoing),
    began: Time,
) {
    if paths::explains_failure(gate, guard.service, guard.upstream, began).await {
        guard.ended(Outcome::Partitioned);
        return;
    }
    guard.ended(outcome);
    drop(guard);
    if matches!(outcome, Outcome::Failed | Outcome::Malformed) {
        record_if_crashed(gate, to, out, began).await;
    }
}

/// Checks whether an upstream has crashed after a failed exchange, and records it.
async fn record_if_crashed(gate: &ProxyState, to: &Destination, out: &Outgoing, began: Time) {
    let has_ended = refuses_connections(&to.addr, gate.source).await;
    let (name, same) = (&*to.name, out.same.caller);
    let state = if has_ended { "has terminated" } else { "still runs" };
    log::warn!(
        upstream = name, same:display, content:display = out.same.content, has_ended;
        "attempt: connection broken, {name} {state}"
    );
    if has_ended {
        let now = gate.now();
        let crash = Crash { upstream: NameId::of(name), began, ended: now };
        gate.suspects.record_crash(out.same, crash, now);
    }
}

/// Returns the ID of an attempt, either the caller's or a random one.
fn attempt_id(dialect: &Dialect, out: &Outgoing) -> Option<HeaderValue> {
    if dialect.caller_attempt {
        return out.headers.get(&dialect.attempt).cloned();
    }
    let digits = format!("{:016x}", fastrand::u64(..));
    Some(HeaderValue::from_str(&digits).expect("hexadecimal digits are valid in a header"))
}

fn build(
    gate: &ProxyState,
    to: &Destination,
    out: &Outgoing,
    body: reqwest::Body,
    left: Option<Duration>,
    id: Option<&HeaderValue>,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}{}", to.addr, out.path);
    let mut h = out.headers.clone();
    if let Some(id) = id {
        h.insert(gate.dialect.attempt.clone(), id.clone());
    }
    if let Some(left) = left {
        h.insert(gate.dialect.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
    }
    if let Some(expect_instance) = &gate.dialect.expect_instance
        && let Ok(name) = HeaderValue::from_str(&to.name)
    {
        h.insert(expect_instance.clone(), name);
    }
    gate.client.request(out.method.clone(), url).headers(h).body(body)
}

fn classify(e: &reqwest::Error) -> (Outcome, Failure) {
    let why = innermost(e);
    // Only a failure to connect proves that the request was not run.
    if e.is_connect() {
        let is_refused = io_kind(e) == Some(std::io::ErrorKind::ConnectionRefused);
        let outcome = if is_refused { Outcome::Refused } else { Outcome::Unreachable };
        return (outcome, Failure::NotSent { why: format!("connect: {why}") });
    }
    (Outcome::Failed, Failure::Unknown { why: format!("exchange: {why}") })
}

/// Checks the head of an answer and reports its signals to the policy.
fn check_head(
    gate: &ProxyState,
    guard: &mut AttemptGuard,
    (to, out): (&Destination, &Outgoing),
    r: &reqwest::Response,
    id: Option<&HeaderValue>,
) -> Result<(), Failure> {
    let (now, h, d) = (gate.now(), r.headers(), &gate.dialect);
    let mut policy = gate.policy.lock();
    let received = head::Received { version: r.version(), status: r.status(), headers: h };
    let expected =
        Expected { method: &out.method, upgrade: out.upgrade, allows_unframed: d.allows_unframed };
    if let Err(e) = head::check(&received, &expected) {
        gate.count("answers.invalid");
        guard.ended(Outcome::Malformed);
        return Err(Failure::Unknown { why: format!("not an answer: {e}") });
    }
    if id.is_some_and(|id| !d.is_own_answer(r.status(), h, id)) {
        guard.ended(Outcome::Malformed);
        return Err(Failure::Unknown { why: "the answer belongs to another request".to_owned() });
    }
    if !d.is_misdirected(r.status()) {
        let head =
            ReceivedHead { from: &to.name, attempt: guard.key, status: r.status(), headers: h };
        signals::record(gate, &mut *policy, &head, now);
    }
    if d.is_not_run(r.status(), h) {
        let is_misdirected = d.is_misdirected(r.status());
        guard.ended(if is_misdirected { Outcome::Misdirected } else { Outcome::NotRun });
        let why = if is_misdirected {
            "another instance has the address"
        } else {
            "the upstream sheds load"
        };
        return Err(Failure::NotRun { why: why.to_owned() });
    }
    let lacks_proof = d.proof.as_ref().is_some_and(|p| !h.contains_key(p));
    if r.status().is_success() && lacks_proof {
        guard.ended(Outcome::Malformed);
        return Err(Failure::Unknown { why: "the answer lacks its proof".to_owned() });
    }
    guard.succeeded = !r.status().is_server_error();
    policy.response_started(guard.key, guard.succeeded, now);
    if let Some(bytes) = r.content_length().filter(|_| guard.succeeded) {
        policy.record_size(guard.key, bytes + out.body_bytes);
    }
    Ok(())
}

/// Buffers a body, unless it is too long or too much is buffered.
pub(crate) async fn read_body(
    mut r: reqwest::Response,
    buffers: &AnswerBuffers,
) -> Result<AnswerBody, String> {
    let mut held = buffers.begin();
    let length = r.content_length().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if length.is_some_and(|n| !held.add(n)) {
        return Ok(AnswerBody::Open(r));
    }
    let mut buffer = BytesMut::with_capacity(length.unwrap_or(0));
    while let Some(chunk) = r.chunk().await.map_err(|e| innermost(&e))? {
        buffer.extend_from_slice(&chunk);
        if length.is_none() && !held.add(chunk.len()) {
            return Ok(AnswerBody::Begun(held.attach(buffer.freeze()), r));
        }
    }
    Ok(AnswerBody::Whole(held.attach(buffer.freeze())))
}

/// Returns the message of the innermost cause, which is the most specific one.
pub(crate) fn innermost(e: &reqwest::Error) -> String {
    let mut e: &dyn std::error::Error = e;
    while let Some(inner) = e.source() {
        e = inner;
    }
    e.to_string()
}

/// Returns the kind of the I/O error that caused an HTTP error.
fn io_kind(e: &reqwest::Error) -> Option<std::io::ErrorKind> {
    let mut at: Option<&dyn std::error::Error> = Some(e);
    while let Some(e) = at {
        if let Some(io) = e.downcast_ref::<std::io::Error>() {
            return Some(io.kind());
        }
        at = e.source();
    }
    None
}
