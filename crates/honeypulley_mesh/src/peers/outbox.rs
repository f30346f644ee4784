//! Datagrams on their way out.
//!
//! Sending has a task of its own. A narrow link holds it up by some milliseconds for
//! each box of a data hall, and a box that hears nothing meanwhile loses, in its full
//! receive buffer, the very beacons that tell it what it missed.

use bytes::Bytes;
use honeypulley_peer::codec::Body;
use honeypulley_supervisor::ring::{Full, Ring};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest wait for room to send one datagram.
///
/// One that is lost by that is made good by the next beacon.
const SEND_TIME: Duration = Duration::from_millis(5);
/// Parcels that wait, of each kind.
///
/// Two seconds of a release before a full link; more would be told too late to matter.
const MAX_PARCELS: usize = 256;

/// One datagram and the boxes that it goes to.
#[derive(Clone, Debug)]
pub(super) struct Parcel {
    to: Vec<SocketAddr>,
    bytes: Bytes,
    urgency: Urgency,
}

/// Whether a datagram waits for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// It concerns tables, lists or boxes, and goes first.
    Urgent,
    /// It tells what was seen of upstreams.
    Usual,
}

impl Urgency {
    /// Returns the urgency of a datagram that says this, or sends it on.
    pub(super) const fn of(body: &Body) -> Self {
        if matches!(body, Body::News { .. }) { Self::Usual } else { Self::Urgent }
    }
}

/// Parcels that wait to be sent, the urgent ones first.
#[derive(Debug)]
pub(super) struct Outbox {
    urgent: Ring<Parcel>,
    usual: Ring<Parcel>,
}

impl Parcel {
    /// Builds the parcel of a sealed datagram.
    pub(super) const fn new(to: Vec<SocketAddr>, bytes: Bytes, urgency: Urgency) -> Self {
        Self { to, bytes, urgency }
    }
}

impl Outbox {
    /// Builds an empty outbox.
    pub(super) fn new() -> Self {
        let ring = || Ring::new(MAX_PARCELS, Full::DropOldest);
        Self { urgent: ring(), usual: ring() }
    }

    /// Enqueues a parcel; never blocks.
    pub(super) fn post(&self, p: Parcel) {
        if p.to.is_empty() {
            return;
        }
        let ring = match p.urgency {
            Urgency::Urgent => &self.urgent,
            Urgency::Usual => &self.usual,
        };
        let before = ring.dropped();
        ring.push(p);
        if ring.dropped() > before {
            log::warn!("peer: a datagram was dropped, too many wait to be sent");
        }
    }

    /// Sends what comes, for good.
    pub(super) async fn send_on(&self, socket: &UdpSocket) {
        loop {
            tokio::select! {
                biased;
                p = self.urgent.next() => send(socket, &p.bytes, &p.to).await,
                p = self.usual.next() => {
                    for to in &p.to {
                        send(socket, &p.bytes, std::slice::from_ref(to)).await;
                        self.send_urgent(socket).await;
                    }
                }
            }
        }
    }

    async fn send_urgent(&self, socket: &UdpSocket) {
        while let Some(p) = self.urgent.pop() {
            send(socket, &p.bytes, &p.to).await;
        }
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], to: &[SocketAddr]) {
    for addr in to {
        let sent = tokio::time::timeout(SEND_TIME, socket.send_to(bytes, addr)).await;
        match sent {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!(peer:display = addr; "peer: not sent to {addr}: {e}"),
            Err(_) => log::warn!(peer:display = addr; "peer: not sent to {addr}: the link is full"),
        }
    }
}
