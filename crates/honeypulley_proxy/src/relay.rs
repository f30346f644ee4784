//! Relays requests through another box while this one is partitioned from the upstreams.
//!
//! The other box admits the request to an upstream as if the caller had connected to it, so that its
//! own limits, budgets and list apply there. A request is relayed once: a box that receives a
//! relayed request sends it to an upstream or rejects it. Each request uses a new connection, so
//! that an answer can't be mixed up with another one.

use crate::attempt::{Answer, AnswerBody, AnswerHead, Outgoing, innermost, read_body};
use crate::gate::ProxyState;
use crate::head::{self, Expected};
use crate::headers::{self, RELAY, RELAY_OUTCOME, RETRY_AFTER_MS};
use crate::open::{Recipient, SentAttempt};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::regions::RegionSet;
use honeypulley_policy::time::Time;
use http::{HeaderMap, HeaderValue, StatusCode};
use std::fmt::{self, Debug};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of boxes to which a request is offered.
pub const MAX_RELAYS: usize = 4;

/// A request that needs another box.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequest<'a> {
    /// Service that this box can't reach.
    pub service: NameId,
    /// Regions to which the request is restricted, if it is.
    pub regions: Option<RegionSet>,
    /// Boxes that were tried for the request.
    pub tried: &'a [SocketAddr],
}

/// The other boxes, as relays.
pub trait RelayPeers: Debug + Send + Sync {
    /// Returns the address at which a box accepts relayed requests for a service.
    fn choose(&self, wanted: &RelayRequest<'_>, now: Time) -> Option<SocketAddr>;
    /// Records that a box can't serve requests for a service at present.
    fn record_unusable(&self, peer: SocketAddr, service: NameId, now: Time);
    /// Reports whether this box is partitioned from all upstreams of a service, after each check.
    fn announce(&self, service: NameId, is_partitioned: bool);
}

/// Key that authenticates relayed requests between the boxes of a fleet.
#[derive(Clone)]
pub struct RelayKey([u8; 32]);

impl Debug for RelayKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayKey(..)")
    }
}

/// What one box passes to another about a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHead {
    /// Address of the caller, if it is known.
    pub caller: Option<IpAddr>,
    /// Number of upstreams that may still run the request.
    pub attempts: usize,
}

impl RelayKey {
    /// Creates the key from a secret that all boxes share.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    /// Encodes a head for the request with this path.
    ///
    /// # Panics
    /// Never: the encoding contains only characters that are valid in a header.
    #[must_use]
    pub fn encode(&self, head: &RelayHead, path: &str) -> HeaderValue {
        let caller = head.caller.map_or_else(|| "-".to_owned(), |ip| ip.to_string());
        let text = format!("{caller} {}", head.attempts);
        let tag = self.tag(&text, path);
        HeaderValue::from_str(&format!("{text} {tag}")).expect("digits are valid in a header")
    }

    /// Decodes the head of a relayed request; returns `None` if it is not authentic.
    #[must_use]
    pub fn decode(&self, h: &HeaderMap, path: &str) -> Option<RelayHead> {
        let (text, tag) = headers::text(h, &RELAY)?.rsplit_once(' ')?;
        // `blake3::Hash` compares in constant time.
        if blake3::Hash::from_hex(tag).ok()? != self.tag(text, path) {
            return None;
        }
        let (caller, attempts) = text.split_once(' ')?;
        Some(RelayHead { caller: caller.parse().ok(), attempts: attempts.parse().ok()? })
    }

    fn tag(&self, text: &str, path: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.0, format!("{text} {path}").as_bytes())
    }
}

/// Means of relaying requests.
#[derive(Clone, Debug)]
pub struct Relays {
    /// The other boxes.
    pub peers: Arc<dyn RelayPeers>,
    /// Authenticates relayed requests.
    pub key: RelayKey,
}

/// Outcome of a relayed request, as stated by the box that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The answer is that of an upstream.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request was not run, and another box may be able to serve it.
    Unusable,
    /// It is unknown whether the request was run.
    Unknown,
}

impl RelayOutcome {
    const ALL: [Self; 4] = [Self::Answered, Self::NotRun, Self::Unusable, Self::Unknown];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unusable => "unusable",
            Self::Unknown => "unknown",
        }
    }

    /// Sets the outcome on an answer to a relayed request.
    pub fn set(self, h: &mut HeaderMap) {
        h.insert(RELAY_OUTCOME, HeaderValue::from_static(self.as_str()));
    }

    fn of(h: &HeaderMap) -> Option<Self> {
        let text = headers::text(h, &RELAY_OUTCOME)?;
        Self::ALL.into_iter().find(|o| o.as_str() == text)
    }
}

/// Failure of a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// The box could not be reached or has no path; the request was not run.
    Unusable {
        /// What happened.
        why: String,
    },
    /// The box rejected the request, which was not run.
    Rejected {
        /// When to retry, if the box stated it.
        retry_after: Option<Duration>,
        /// What happened.
        why: String,
    },
    /// It is unknown whether the request was run.
    Unknown {
        /// Status for the caller.
        status: StatusCode,
        /// What happened.
        why: String,
    },
}

impl RelayFailure {
    /// Creates the failure of an exchange that broke off, or whose answer is not usable.
    const fn unknown(why: String) -> Self {
        Self::Unknown { status: StatusCode::BAD_GATEWAY, why }
    }
}

/// Sends a request to another box and returns the answer of the upstream there.
///
/// # Errors
/// Returns a [`RelayFailure`] if the box did not forward an upstream's answer.
pub async fn send(
    gate: Arc<ProxyState>,
    peer: SocketAddr,
    out: Arc<Outgoing>,
    relay: HeaderValue,
    body: reqwest::Body,
    left: Option<Duration>,
) -> Result<Answer, RelayFailure> {
    let began = gate.now();
    let url = format!("http://{peer}{}", out.path);
    let headers = relayed_headers(&gate, &out, relay, left);
    let request = gate.client.request(out.method.clone(), url).headers(headers).body(body);
    let response = request.send().await.map_err(|e| {
        let why = innermost(&e);
        if e.is_connect() {
            RelayFailure::Unusable { why: format!("connect: {why}") }
        } else {
            RelayFailure::unknown(format!("exchange: {why}"))
        }
    })?;
    let mut head = AnswerHead { status: response.status(), headers: response.headers().clone() };
    let received =
        head::Received { version: response.version(), status: head.status, headers: &head.headers };
    let expected = Expected { method: &out.method, upgrade: false, allows_unframed: false };
    head::check(&received, &expected)
        .map_err(|e| RelayFailure::unknown(format!("not an answer: {e}")))?;
    check_outcome(&head)?;
    head.headers.remove(RELAY_OUTCOME);
    let body = if out.buffered {
        let cut = |why| RelayFailure::unknown(format!("the answer was cut: {why}"));
        read_body(response, &gate.buffers).await.map_err(cut)?
    } else {
        AnswerBody::Open(response)
    };
    let sent = SentAttempt { to: Recipient::Peer(peer), at: began };
    Ok(Answer { head, body, guard: None, sent })
}

/// Returns the headers with which a request goes to another box.
///
/// They are those of the caller, so that the other box identifies its organisation by the key.
fn relayed_headers(
    gate: &ProxyState,
    out: &Outgoing,
    relay: HeaderValue,
    left: Option<Duration>,
) -> HeaderMap {
    let d = &gate.dialect;
    let mut h = out.headers.clone();
    if let (Some(name), Some(key)) = (&d.api_key, &out.key) {
        h.insert(name.clone(), key.clone());
    }
    if let Some(left) = left {
        h.insert(d.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
    }
    h.insert(RELAY, relay);
    h
}

/// Checks that an answer is that of an upstream.
fn check_outcome(head: &AnswerHead) -> Result<(), RelayFailure> {
    let why = || format!("the box answered with status {}", head.status.as_u16());
    match RelayOutcome::of(&head.headers) {
        Some(RelayOutcome::Answered) => Ok(()),
        Some(RelayOutcome::Unusable) => Err(RelayFailure::Unusable { why: why() }),
        Some(RelayOutcome::NotRun) => {
            let wait = headers::number(&head.headers, &RETRY_AFTER_MS);
            let retry_after = wait.map(Duration::from_millis);
            Err(RelayFailure::Rejected { retry_after, why: why() })
        }
        // The caller would get the same status without the relay.
        Some(RelayOutcome::Unknown) if head.status == StatusCode::GATEWAY_TIMEOUT => {
            Err(RelayFailure::Unknown { status: head.status, why: why() })
        }
        Some(RelayOutcome::Unknown) | None => Err(RelayFailure::unknown(why())),
    }
}
