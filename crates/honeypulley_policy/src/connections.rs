//! Which connections of callers a box keeps, and which it closes to make room.
//!
//! A connection costs memory from its first byte, long before a request is known. A limit for each
//! connection alone does not bound the memory of a box, so the limits here apply to all together.
//! What is closed first serves nobody: heads that do not end, then connections that rest.

use crate::time::Time;
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeSet;
use std::time::Duration;

/// Age up to which a connection without a request is not closed to make room, unless all are.
///
/// After a pause of the process, many connections are accepted before the first head is read.
const MIN_HEADLESS_AGE: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a connection.
    pub struct ConnectionKey;
}

/// Limits on the connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, bon::Builder)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub max_open: usize,
    /// Maximum number of connections without a request, apart from new ones.
    pub max_headless: usize,
    /// Maximum number of bytes in all heads that have not ended.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Maximum time without a byte, for a connection that waits for a request.
    pub idle_time: Duration,
}

/// Reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The heads that have not ended take too much memory.
    HeadBytes,
    /// Too many connections have no request.
    Headless,
    /// A new connection needs its place.
    Full,
    /// Its head takes too long.
    SlowHead,
    /// It has rested for too long.
    Idle,
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// Key of the connection, which is no longer valid.
    pub key: ConnectionKey,
    /// Reason.
    pub reason: CloseReason,
}

/// Error of a connection that is not admitted, as all others have requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all {0} connections have requests in flight")]
pub struct NoRoom(pub usize);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has sent no whole head since it was opened or since its last answer.
    Headless {
        /// When it was opened, or when the head began after an answer.
        since: Time,
        /// Bytes of the head so far.
        bytes: usize,
    },
    /// It has sent no request since its last answer.
    Resting { since: Time, protocol: Protocol },
    /// It has this many requests in flight.
    Busy { requests: usize, protocol: Protocol },
}

/// How requests follow each other on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// One request after the other, so that bytes between two requests are those of a head.
    Sequential,
    /// Streams at the same time, with frames of the connection between requests.
    Multiplexed,
}

/// All connections of callers to a box.
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    states: SlotMap<ConnectionKey, State>,
    /// Connections without a request, by their age.
    headless: BTreeSet<(Time, ConnectionKey)>,
    /// Connections with a part of a head, by its size.
    heads: BTreeSet<(usize, ConnectionKey)>,
    /// Resting connections, by the end of their last answer.
    resting: BTreeSet<(Time, ConnectionKey)>,
    /// Bytes of all heads that have not ended.
    head_bytes: usize,
}

impl Connections {
    /// Creates the state of a box without connections.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            states: SlotMap::with_key(),
            headless: BTreeSet::new(),
            heads: BTreeSet::new(),
            resting: BTreeSet::new(),
            head_bytes: 0,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Replaces the time limits, which also apply to open connections.
    pub const fn set_times(&mut self, head_time: Duration, idle_time: Duration) {
        self.limits.head_time = head_time;
        self.limits.idle_time = idle_time;
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.states.len()
    }

    /// Returns the number of connections without a request.
    #[must_use]
    pub fn headless_count(&self) -> usize {
        self.headless.len()
    }

    /// Returns the number of bytes in all heads that have not ended.
    #[must_use]
    pub const fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Closes others if there is no room for one more connection, and returns them.
    ///
    /// # Errors
    /// Returns [`NoRoom`] if the box has the maximum number of connections, all of them busy.
    pub fn make_room(&mut self, now: Time) -> Result<Vec<Closing>, NoRoom> {
        let mut closing = Vec::new();
        while self.states.len() >= self.limits.max_open {
            let Some(key) = self.least_useful(now) else {
                return Err(NoRoom(self.limits.max_open));
            };
            self.close(key);
            closing.push(Closing { key, reason: CloseReason::Full });
        }
        if self.headless.len() >= self.limits.max_headless
            && let Some(key) = self.oldest_headless(now, MIN_HEADLESS_AGE)
        {
            self.close(key);
            closing.push(Closing { key, reason: CloseReason::Headless });
        }
        Ok(closing)
    }

    /// Adds a new connection, for which there has to be room.
    pub fn open(&mut self, now: Time) -> ConnectionKey {
        let state = State::Headless { since: now, bytes: 0 };
        let key = self.states.insert(state);
        self.index(key, state);
        key
    }

    /// Returns the connection whose loss matters least: a slow head before one that rests.
    fn least_useful(&self, now: Time) -> Option<ConnectionKey> {
        let resting = || self.resting.first().map(|(_, key)| *key);
        self.oldest_headless(now, MIN_HEADLESS_AGE)
            .or_else(resting)
            .or_else(|| self.oldest_headless(now, Duration::ZERO))
    }

    /// Returns the oldest connection without a request, if it is at least this old.
    fn oldest_headless(&self, now: Time, age: Duration) -> Option<ConnectionKey> {
        let (since, key) = self.headless.first()?;
        (now.since(*since) >= age).then_some(*key)
    }

    /// Records received bytes; returns the connections that are closed for them.
    ///
    /// The largest heads are closed first. Bytes of a busy connection belong to its requests.
    pub fn record_read(&mut self, key: ConnectionKey, bytes: usize, now: Time) -> Vec<Closing> {
        let next = match self.states.get(key) {
            Some(State::Headless { since, bytes: before }) => {
                // A silent connection has just begun its head.
                let since = if *before == 0 { now } else { *since };
                State::Headless { since, bytes: before + bytes }
            }
            Some(State::Resting { protocol: Protocol::Sequential, .. }) => {
                State::Headless { since: now, bytes }
            }
            Some(State::Resting { .. } | State::Busy { .. }) | None => return Vec::new(),
        };
        self.change(key, next);
        let mut closing = Vec::new();
        while self.head_bytes > self.limits.head_bytes
            && let Some((_, largest)) = self.heads.last().copied()
        {
            self.close(largest);
            closing.push(Closing { key: largest, reason: CloseReason::HeadBytes });
        }
        closing
    }

    /// Records that a part of an answer was sent, which ends later than the request.
    pub fn record_write(&mut self, key: ConnectionKey, now: Time) {
        if let Some(State::Resting { protocol, .. }) = self.states.get(key).copied() {
            self.change(key, State::Resting { since: now, protocol });
        }
    }

    /// Records that a head has ended, and that its request is in flight.
    pub fn begin_request(&mut self, key: ConnectionKey, protocol: Protocol) {
        let Some(state) = self.states.get(key) else { return };
        let others = if let State::Busy { requests, .. } = state { *requests } else { 0 };
        self.change(key, State::Busy { requests: others + 1, protocol });
    }

    /// Records that the answer to a request has ended.
    pub fn end_request(&mut self, key: ConnectionKey, now: Time) {
        let Some(State::Busy { requests, protocol }) = self.states.get(key).copied() else {
            return;
        };
        let next = match requests - 1 {
            0 => State::Resting { since: now, protocol },
            requests => State::Busy { requests, protocol },
        };
        self.change(key, next);
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(state) = self.states.remove(key) {
            self.unindex(key, state);
        }
    }

    /// Closes the connections whose head or rest takes too long, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<Closing> {
        let ConnectionLimits { head_time, idle_time, .. } = self.limits;
        let mut closing = Vec::new();
        let is_due = |since: Time, limit: Duration| now.since(since) >= limit;
        // Without a byte, a connection is idle rather than slow.
        let slow = |(since, key): &&(Time, ConnectionKey)| {
            let has_begun =
                matches!(self.states.get(*key), Some(State::Headless { bytes, .. }) if *bytes > 0);
            is_due(*since, if has_begun { head_time } else { idle_time })
        };
        let shortest = head_time.min(idle_time);
        let old = self.headless.iter().take_while(|(since, _)| is_due(*since, shortest));
        closing.extend(
            old.filter(slow).map(|(_, key)| Closing { key: *key, reason: CloseReason::SlowHead }),
        );
        let idle = self.resting.iter().take_while(|(since, _)| is_due(*since, idle_time));
        closing.extend(idle.map(|(_, key)| Closing { key: *key, reason: CloseReason::Idle }));
        closing.iter().for_each(|c| self.close(c.key));
        closing
    }

    fn change(&mut self, key: ConnectionKey, next: State) {
        if let Some(state) = self.states.get_mut(key) {
            let before = std::mem::replace(state, next);
            self.unindex(key, before);
            self.index(key, next);
        }
    }

    fn index(&mut self, key: ConnectionKey, state: State) {
        match state {
            State::Headless { since, bytes } => {
                self.headless.insert((since, key));
                if bytes > 0 {
                    self.heads.insert((bytes, key));
                }
                self.head_bytes += bytes;
            }
            State::Resting { since, .. } => {
                self.resting.insert((since, key));
            }
            State::Busy { .. } => {}
        }
    }

    fn unindex(&mut self, key: ConnectionKey, state: State) {
        match state {
            State::Headless { since, bytes } => {
                self.headless.remove(&(since, key));
                self.heads.remove(&(bytes, key));
                self.head_bytes -= bytes;
            }
            State::Resting { since, .. } => {
                self.resting.remove(&(since, key));
            }
            State::Busy { .. } => {}
        }
    }
}
