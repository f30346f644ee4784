//! One exchange with one upstream.

use crate::headers;
use crate::shared::Shared;
use honeypulley_policy::router::{AttemptKey, Outcome, Pick, UpstreamKey};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use std::sync::Arc;
use std::time::Duration;

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
}

/// Closes an attempt with the policy when it is done with, whatever the way.
#[derive(Debug)]
pub struct AttemptGuard {
    shared: Arc<Shared>,
    key: AttemptKey,
    /// The upstream asked.
    pub upstream: UpstreamKey,
    outcome: Outcome,
}

impl AttemptGuard {
    /// Guards an attempt that was just opened.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, pick: Pick) -> Self {
        let (key, upstream) = (pick.attempt, pick.upstream);
        Self { shared: Arc::clone(shared), key, upstream, outcome: Outcome::Abandoned }
    }

    /// Says how the attempt ended; the guard's drop tells the policy.
    pub const fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.router.lock().finish(self.key, self.outcome, now);
    }
}

/// How an attempt failed, as far as repeating it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Proven not to have been run; when the upstream said to come back.
    NotRun {
        /// What happened.
        why: String,
        /// When the upstream said to come back.
        retry_after: Option<Duration>,
    },
    /// Something left and nothing is proven.
    Unknown {
        /// What happened.
        why: String,
    },
}

/// An answer whose head is fit to pass on.
#[derive(Debug)]
pub struct Answer {
    /// The answer.
    pub response: reqwest::Response,
    /// Guard of the attempt, to be held until the body has passed.
    pub guard: AttemptGuard,
}

/// Sends one attempt and judges the head of its answer.
///
/// # Errors
/// Returns a [`Failure`], already told to the policy.
pub async fn send(
    shared: Arc<Shared>,
    mut guard: AttemptGuard,
    addr: String,
    out: Arc<Outgoing>,
    body: reqwest::Body,
    left: Duration,
) -> Result<Answer, (UpstreamKey, Failure)> {
    let upstream = guard.upstream;
    let number = format!("{:016x}", fastrand::u64(..));
    let request = build(&shared, &addr, &out, body, left, &number);
    let response = match request.send().await {
        Ok(r) => r,
        Err(e) => {
            guard.ended(Outcome::Failed);
            return Err((upstream, failed(&e)));
        }
    };
    match judge(&shared, &mut guard, &out, &response, &number) {
        None => Ok(Answer { response, guard }),
        Some(f) => Err((upstream, f)),
    }
}

fn build(
    shared: &Shared,
    addr: &str,
    out: &Outgoing,
    body: reqwest::Body,
    left: Duration,
    number: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{addr}{}", out.path);
    let mut h = out.headers.clone();
    h.insert(headers::ATTEMPT, HeaderValue::from_str(number).expect("hexadecimal fits a header"));
    h.insert(headers::DEADLINE, HeaderValue::from(left.as_millis() as u64));
    shared.client.request(out.method.clone(), url).headers(h).body(body)
}

fn failed(e: &reqwest::Error) -> Failure {
    let why = innermost(e);
    // Only a connection that was never made proves that nothing was run.
    if e.is_connect() {
        return Failure::NotRun { why: format!("connect: {why}"), retry_after: None };
    }
    Failure::Unknown { why: format!("exchange: {why}") }
}

/// Judges the head of an answer; `None` if it is fit to pass on.
fn judge(
    shared: &Shared,
    guard: &mut AttemptGuard,
    out: &Outgoing,
    r: &reqwest::Response,
    number: &str,
) -> Option<Failure> {
    let (now, h) = (shared.now(), r.headers());
    let mut router = shared.router.lock();
    if h.contains_key(headers::DRAIN) {
        router.drained(guard.upstream, now);
    }
    if let Some(load) = headers::number::<f64>(h, &headers::LOAD).filter(|l| l.is_finite()) {
        router.reported_load(guard.upstream, load, now);
    }
    if headers::text(h, &headers::ATTEMPT).is_some_and(|echo| echo != number) {
        guard.ended(Outcome::Wrong);
        return Some(Failure::Unknown { why: "the answer belongs to another request".to_owned() });
    }
    if r.status() == StatusCode::SERVICE_UNAVAILABLE && h.contains_key(headers::NOT_RUN) {
        guard.ended(Outcome::NotRun);
        let ms = headers::number(h, &headers::RETRY_AFTER_MS).map(Duration::from_millis);
        let secs = headers::number(h, &header::RETRY_AFTER).map(Duration::from_secs);
        return Some(Failure::NotRun {
            why: "the upstream sheds load".to_owned(),
            retry_after: ms.or(secs),
        });
    }
    if !out.upgrade && !is_bounded(r, &out.method) {
        guard.ended(Outcome::Wrong);
        return Some(Failure::Unknown {
            why: "the answer has no length, so a cut could not be told".to_owned(),
        });
    }
    router.answered(guard.key, !r.status().is_server_error(), now);
    None
}

/// Tells whether the end of an answer can be told from a cut.
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
