//! Open requests, for log lines about those that end without an upstream's answer.

use crate::connections::BusyConnection;
use crate::gate::ProxyState;
use honeypulley_policy::shutdown::PlannedStop;
use honeypulley_policy::time::Time;
use log::Level;
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of open requests that are logged at the end of the process.
///
/// Half of the burst that the log admits at this level.
const MAX_LOGGED: usize = 200;

new_key_type! {
    /// Key of an open request; the default key belongs to none.
    pub struct OpenKey;
}

/// Receiver of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// An upstream, by its name.
    Upstream(Arc<str>),
    /// Another box, by the address at which it accepts relayed requests.
    Peer(SocketAddr),
}

/// An attempt that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Receiver.
    pub to: Recipient,
    /// Time of the send.
    pub at: Time,
}

/// A request or upgraded session that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Request ID.
    pub request: Arc<str>,
    /// When the head was read.
    pub received: Time,
    /// When it was decided that the request may be sent.
    pub accepted: Option<Time>,
    /// Service, once the request is routed.
    pub service: Option<Arc<str>>,
    /// Newest attempt, or the one whose answer is forwarded.
    pub newest: Option<SentAttempt>,
    /// Number of attempts.
    pub attempts: usize,
    /// Whether the head of an answer was forwarded.
    pub answering: bool,
}

/// Times of an open request relative to now, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenAges {
    /// Time since the head was read.
    pub age_ms: u64,
    /// Time since the request was accepted, if it was.
    pub accepted_ms: Option<u64>,
    /// Time from the beginning of the planned stop to the acceptance, if that came later.
    pub after_stop_ms: Option<u64>,
    /// Time since the newest attempt was sent, if there is one.
    pub sent_ms: Option<u64>,
}

/// All open requests and upgraded sessions of a box.
///
/// Only the serving thread changes them; other threads read their number.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: Mutex<SlotMap<OpenKey, OpenRequest>>,
}

impl OpenRequest {
    /// Returns the name of the upstream of the newest attempt, if it was sent to one.
    #[must_use]
    pub fn upstream(&self) -> Option<&str> {
        match &self.newest.as_ref()?.to {
            Recipient::Upstream(name) => Some(name),
            Recipient::Peer(_) => None,
        }
    }

    /// Returns the address of the box that the newest attempt was sent to, if any.
    #[must_use]
    pub fn peer(&self) -> Option<SocketAddr> {
        match self.newest.as_ref()?.to {
            Recipient::Upstream(_) => None,
            Recipient::Peer(addr) => Some(addr),
        }
    }

    /// Returns the times for a log line.
    #[must_use]
    pub fn ages(&self, stop: Option<PlannedStop>, now: Time) -> OpenAges {
        let ms = |d: Duration| d.as_millis() as u64;
        let since = |t: Time| ms(now.since(t));
        let after = |s: PlannedStop| {
            let accepted = self.accepted.filter(|t| *t >= s.noticed());
            accepted.map(|t| ms(t.since(s.noticed())))
        };
        OpenAges {
            age_ms: since(self.received),
            accepted_ms: self.accepted.map(since),
            after_stop_ms: stop.and_then(after),
            sent_ms: self.newest.as_ref().map(|a| since(a.at)),
        }
    }

    fn log(&self, gate: &ProxyState, level: Level, text: &str) {
        let stop = gate.stop.current();
        let ages = self.ages(stop, gate.now());
        let peer = self.peer().map(|addr| addr.to_string());
        log::log!(
            level,
            request = &*self.request, service = self.service.as_deref(), age_ms = ages.age_ms,
            accepted_ms = ages.accepted_ms, after_stop_ms = ages.after_stop_ms,
            sent_ms = ages.sent_ms, upstream = self.upstream(), peer = peer.as_deref(),
            attempts = self.attempts, answering = self.answering, stopping = stop.is_some();
            "{text}"
        );
    }
}

impl OpenRequests {
    /// Returns the number of open requests and upgraded sessions.
    #[must_use]
    pub fn count(&self) -> usize {
        self.requests.lock().len()
    }

    /// Adds a request whose head was just read.
    pub fn insert(&self, request: Arc<str>, now: Time) -> OpenKey {
        self.requests.lock().insert(OpenRequest {
            request,
            received: now,
            accepted: None,
            service: None,
            newest: None,
            attempts: 0,
            answering: false,
        })
    }

    /// Returns a request, if it is open.
    #[must_use]
    pub fn get(&self, key: OpenKey) -> Option<OpenRequest> {
        self.requests.lock().get(key).cloned()
    }

    /// Records the service that a request was routed to.
    pub fn record_service(&self, key: OpenKey, service: Arc<str>) {
        self.update(key, |r| r.service = Some(service));
    }

    /// Records that a request may be sent.
    pub fn record_accepted(&self, key: OpenKey, now: Time) {
        self.update(key, |r| r.accepted = Some(now));
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&self, key: OpenKey, sent: SentAttempt) {
        self.update(key, |r| {
            r.newest = Some(sent);
            r.attempts += 1;
        });
    }

    /// Records that the answer to an attempt is forwarded.
    pub fn record_answer(&self, key: OpenKey, sent: SentAttempt) {
        self.update(key, |r| {
            r.newest = Some(sent);
            r.answering = true;
        });
    }

    /// Removes a request that has ended, and returns it.
    pub fn remove(&self, key: OpenKey) -> Option<OpenRequest> {
        self.requests.lock().remove(key)
    }

    /// Removes all requests, and returns them in the order of their arrival.
    #[must_use]
    pub fn take_all(&self) -> Vec<OpenRequest> {
        let mut all: Vec<OpenRequest> = self.requests.lock().drain().map(|(_, r)| r).collect();
        all.sort_by_key(|r| r.received);
        all
    }

    fn update(&self, key: OpenKey, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(r) = self.requests.lock().get_mut(key) {
            change(r);
        }
    }
}

/// Keeps a request among the open ones while it lives.
///
/// It logs a request that is dropped before it has ended: its connection was closed.
#[derive(Debug)]
pub struct OpenGuard {
    gate: Arc<ProxyState>,
    key: OpenKey,
    has_ended: bool,
    /// Connection of the request, if connections are tracked.
    _connection: Option<BusyConnection>,
}

impl OpenGuard {
    /// Adds a request whose head was just read to the open ones.
    #[must_use]
    pub fn new(gate: &Arc<ProxyState>, request: Arc<str>) -> Self {
        let key = gate.open.insert(request, gate.now());
        Self { gate: Arc::clone(gate), key, has_ended: false, _connection: None }
    }

    /// Keeps the connection of the request busy as long as the guard lives.
    #[must_use]
    pub fn with_connection(mut self, connection: Option<BusyConnection>) -> Self {
        self._connection = connection;
        self
    }

    /// Returns the key of the request.
    #[must_use]
    pub const fn key(&self) -> OpenKey {
        self.key
    }

    /// Records that the request has ended with an answer.
    pub const fn finish(&mut self) {
        self.has_ended = true;
    }

    /// Records and logs that the answer ended before it was whole.
    pub fn fail(&mut self, why: &str) {
        self.has_ended = true;
        if let Some(r) = self.gate.open.get(self.key) {
            r.log(
                &self.gate,
                Level::Warn,
                &format!("route: answer broke off before its end, {why}"),
            );
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let Some(r) = self.gate.open.remove(self.key) else { return };
        if self.has_ended {
            return;
        }
        let part = if r.answering { "within" } else { "before" };
        self.gate.count_tagged("requests.abandoned", &[("answer", part)]);
        r.log(&self.gate, Level::Info, &format!("route: connection closed {part} the answer"));
    }
}

/// Logs the requests that are open when the process ends, oldest first.
///
/// They are not logged again when they are dropped.
pub fn log_all_open(gate: &ProxyState) {
    let open = gate.open.take_all();
    for r in open.iter().take(MAX_LOGGED) {
        r.log(gate, Level::Warn, "stop: request open at the end of the process");
    }
    let left_out = open.len().saturating_sub(MAX_LOGGED);
    if left_out > 0 {
        log::warn!(left_out; "stop: {left_out} more requests open at the end of the process");
    }
}
