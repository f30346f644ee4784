//! One exchange with one upstream.

use crate::dialect::Dialect;
use crate::gate::Gate;
use crate::liveness::has_ended;
use crate::signals::{self, ReceivedHead};
use bytes::{Bytes, BytesMut};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{End, Fingerprints};
use honeypulley_policy::router::{AttemptKey, Outcome, Pick, UpstreamKey};
use honeypulley_policy::time::Time;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use std::sync::Arc;
use std::time::Duration;

/// Longest answer that is taken whole before any of it is passed on, in bytes.
///
/// Above the longest download of the deployments' sheets, 540,000 bytes.
const MAX_COLLECTED: usize = 1_024 * 1_024;

/// What is sent, the same for each attempt.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whether the caller asks to upgrade the connection.
    pub upgrade: bool,
    /// Whether a short answer is taken whole before any of it is passed on.
    pub collect: bool,
    /// What it has in common with other tries of the same request.
    pub same: Fingerprints,
}

/// Closes an attempt with the policy when it is done with, whatever the way.
#[derive(Debug)]
pub struct AttemptGuard {
    gate: Arc<Gate>,
    /// The attempt with the policy.
    pub key: AttemptKey,
    /// The upstream asked.
    pub upstream: UpstreamKey,
    request: Fingerprints,
    outcome: Outcome,
    /// Whether the head of its answer was good.
    good: bool,
}

impl AttemptGuard {
    /// Guards an attempt that was just opened.
    #[must_use]
    pub fn new(gate: &Arc<Gate>, pick: Pick, request: Fingerprints) -> Self {
        let (key, upstream, gate) = (pick.attempt, pick.upstream, Arc::clone(gate));
        Self { gate, key, upstream, request, outcome: Outcome::Abandoned, good: false }
    }

    /// Sets how the attempt ended; the guard's drop reports it to the policy.
    pub const fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.gate.now();
        self.gate.chooser.lock().finish(self.key, self.outcome, now);
        if self.good && self.outcome == Outcome::Whole {
            self.gate.suspects.served(self.request, now);
        }
    }
}

/// How an attempt failed, as far as repeating it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, since no connection came up.
    NotSent {
        /// What happened.
        why: String,
    },
    /// The upstream proved that it did not run it.
    NotRun {
        /// What happened.
        why: String,
    },
    /// Something left and nothing is proven.
    Unknown {
        /// What happened.
        why: String,
    },
}

/// Body of an answer that is fit to pass on.
#[derive(Debug)]
pub enum AnswerBody {
    /// Still coming.
    Open(reqwest::Response),
    /// Taken whole.
    Whole(Bytes),
    /// Longer than what is taken whole: its beginning, and the rest.
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

/// An answer whose head is fit to pass on.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: AnswerBody,
    /// Guard of the attempt, to be held until the body has passed.
    pub guard: AttemptGuard,
}

/// Where one attempt goes.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Name of the upstream, which no other instance ever had.
    pub name: String,
    /// Its address.
    pub addr: String,
}

/// Sends one attempt and judges the head of its answer.
///
/// # Errors
/// Returns a [`Failure`], already reported to the policy.
pub async fn send(
    gate: Arc<Gate>,
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
            let (outcome, failure) = failed(&e);
            guard.ended(outcome);
            drop(guard);
            if outcome == Outcome::Failed {
                note_if_ended(&gate, &to, &out, began).await;
            }
            return Err((upstream, failure));
        }
    };
    if let Err(f) = judge(&gate, &mut guard, (&to, &out), &response, id.as_ref()) {
        return Err((upstream, f));
    }
    let head = AnswerHead { status: response.status(), headers: response.headers().clone() };
    let body = if out.collect { collect(response).await } else { Ok(AnswerBody::Open(response)) };
    match body {
        Ok(body) => {
            if matches!(body, AnswerBody::Whole(_)) {
                let (status, headers) = (head.status, &head.headers);
                let received = ReceivedHead { from: &to.name, attempt: guard.key, status, headers };
                signals::record_whole(&gate, &received);
                guard.ended(Outcome::Whole);
            }
            Ok(Answer { head, body, guard })
        }
        Err(why) => {
            guard.ended(Outcome::Wrong);
            drop(guard);
            note_if_ended(&gate, &to, &out, began).await;
            Err((upstream, Failure::Unknown { why: format!("the answer was cut: {why}") }))
        }
    }
}

/// Finds out whether an upstream that broke an attempt off has ended, and notes it.
///
/// It comes before any retry, so that a request that crashes upstreams is known for it
/// by then. Where the upstream runs on, that costs one round trip.
async fn note_if_ended(gate: &Gate, to: &Destination, out: &Outgoing, began: Time) {
    let has_ended = has_ended(&to.addr).await;
    let (name, same) = (to.name.as_str(), out.same.caller);
    let word = if has_ended { "has ended" } else { "still runs" };
    log::warn!(
        upstream = name, same:display, content:display = out.same.content, has_ended;
        "attempt: broken off, {name} {word}"
    );
    if has_ended {
        let now = gate.now();
        let end = End { upstream: NameId::of(name), began, ended: now };
        gate.suspects.ended(out.same, end, now);
    }
}

/// Returns the identity of an attempt: the caller's, or one of our own.
fn attempt_id(dialect: &Dialect, out: &Outgoing) -> Option<HeaderValue> {
    if dialect.caller_attempt {
        return out.headers.get(&dialect.attempt).cloned();
    }
    let number = format!("{:016x}", fastrand::u64(..));
    Some(HeaderValue::from_str(&number).expect("hexadecimal fits a header"))
}

fn build(
    gate: &Gate,
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
    if let Some(expect) = &gate.dialect.expect
        && let Ok(name) = HeaderValue::from_str(&to.name)
    {
        h.insert(expect.clone(), name);
    }
    gate.client.request(out.method.clone(), url).headers(h).body(body)
}

fn failed(e: &reqwest::Error) -> (Outcome, Failure) {
    let why = innermost(e);
    // Only a connection that was never made proves that nothing was run.
    if e.is_connect() {
        let refused = io_kind(e) == Some(std::io::ErrorKind::ConnectionRefused);
        let outcome = if refused { Outcome::Refused } else { Outcome::Unreachable };
        return (outcome, Failure::NotSent { why: format!("connect: {why}") });
    }
    (Outcome::Failed, Failure::Unknown { why: format!("exchange: {why}") })
}

/// Judges the head of an answer.
fn judge(
    gate: &Gate,
    guard: &mut AttemptGuard,
    (to, out): (&Destination, &Outgoing),
    r: &reqwest::Response,
    id: Option<&HeaderValue>,
) -> Result<(), Failure> {
    let (now, h, d) = (gate.now(), r.headers(), &gate.dialect);
    let mut policy = gate.chooser.lock();
    if id.is_some() && h.get(&d.attempt).is_some_and(|echo| Some(echo) != id) {
        guard.ended(Outcome::Wrong);
        return Err(Failure::Unknown { why: "the answer belongs to another request".to_owned() });
    }
    if !d.is_misdirected(r.status()) {
        let received =
            ReceivedHead { from: &to.name, attempt: guard.key, status: r.status(), headers: h };
        signals::record(gate, &mut *policy, &received, now);
    }
    if d.is_not_run(r.status(), h) {
        let moved = d.is_misdirected(r.status());
        guard.ended(if moved { Outcome::Misdirected } else { Outcome::NotRun });
        let why =
            if moved { "another instance has the address" } else { "the upstream sheds load" };
        return Err(Failure::NotRun { why: why.to_owned() });
    }
    if !out.upgrade && !d.unbounded && !is_bounded(r, &out.method) {
        guard.ended(Outcome::Wrong);
        return Err(Failure::Unknown {
            why: "the answer has no length, so a cut could not be told".to_owned(),
        });
    }
    let unproven = d.proof.as_ref().is_some_and(|p| !h.contains_key(p));
    if r.status().is_success() && unproven {
        guard.ended(Outcome::Wrong);
        return Err(Failure::Unknown { why: "the answer lacks its proof".to_owned() });
    }
    guard.good = !r.status().is_server_error();
    policy.answered(guard.key, guard.good, now);
    if let Some(bytes) = r.content_length().filter(|_| guard.good) {
        policy.sized(guard.key, bytes);
    }
    Ok(())
}

/// Buffers a body, or its beginning if it is long.
async fn collect(mut r: reqwest::Response) -> Result<AnswerBody, String> {
    let mut taken = BytesMut::new();
    while let Some(chunk) = r.chunk().await.map_err(|e| innermost(&e))? {
        taken.extend_from_slice(&chunk);
        if taken.len() > MAX_COLLECTED {
            return Ok(AnswerBody::Begun(taken.freeze(), r));
        }
    }
    Ok(AnswerBody::Whole(taken.freeze()))
}

/// Returns whether the end of an answer can be distinguished from a cut.
fn is_bounded(r: &reqwest::Response, method: &Method) -> bool {
    let empty = r.status().is_informational()
        || matches!(r.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || *method == Method::HEAD;
    let h = r.headers();
    empty
        || r.version() == Version::HTTP_2
        || h.contains_key(header::CONTENT_LENGTH)
        || h.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the innermost cause, which says more than the outermost.
fn innermost(e: &reqwest::Error) -> String {
    let mut e: &dyn std::error::Error = e;
    while let Some(inner) = e.source() {
        e = inner;
    }
    e.to_string()
}

/// Returns the kind of the system's error behind an HTTP error.
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
