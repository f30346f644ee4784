//! Queues of outgoing datagrams.
//!
//! Datagrams are sent by a separate task, since a slow link delays each recipient by some
//! milliseconds. If receiving had to wait for that, the receive buffer would overflow and
//! drop the very beacons that reveal missed changes.

use bytes::Bytes;
use honeypulley_peer::codec::Body;
use honeypulley_supervisor::ring::{OverflowPolicy, Ring};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Timeout for sending one datagram to one recipient.
///
/// A datagram that times out is dropped; the next beacon reveals the loss.
const SEND_TIMEOUT: Duration = Duration::from_millis(5);
/// Capacity of each queue.
///
/// It holds two seconds of a release's traffic on a saturated link; anything that waited
/// longer would arrive too late to be useful.
const QUEUE_CAPACITY: usize = 256;

/// A sealed datagram and its recipients.
#[derive(Clone, Debug)]
pub(super) struct OutgoingDatagram {
    to: Vec<SocketAddr>,
    bytes: Bytes,
    priority: Priority,
}

/// Priority of an outgoing datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// Concerns tables, lists, boxes or suspect requests; sent first.
    High,
    /// Reports observations of upstreams.
    Normal,
}

impl Priority {
    /// Returns the priority of a datagram with this body, or of its forwarded copy.
    pub(super) const fn of(body: &Body) -> Self {
        if matches!(body, Body::News { .. }) { Self::Normal } else { Self::High }
    }
}

/// Queues of datagrams to be sent, in order of priority.
#[derive(Debug)]
pub(super) struct Outbox {
    high: Ring<OutgoingDatagram>,
    normal: Ring<OutgoingDatagram>,
}

impl OutgoingDatagram {
    /// Creates an outgoing datagram from its sealed bytes.
    pub(super) const fn new(to: Vec<SocketAddr>, bytes: Bytes, priority: Priority) -> Self {
        Self { to, bytes, priority }
    }
}

impl Outbox {
    /// Creates an empty outbox.
    pub(super) fn new() -> Self {
        let ring = || Ring::new(QUEUE_CAPACITY, OverflowPolicy::DropOldest);
        Self { high: ring(), normal: ring() }
    }

    /// Enqueues a datagram without blocking.
    pub(super) fn enqueue(&self, datagram: OutgoingDatagram) {
        if datagram.to.is_empty() {
            return;
        }
        let ring = match datagram.priority {
            Priority::High => &self.high,
            Priority::Normal => &self.normal,
        };
        let dropped = ring.dropped();
        ring.push(datagram);
        if ring.dropped() > dropped {
            log::warn!("peer: the send queue is full, its oldest datagram was dropped");
        }
    }

    /// Sends queued datagrams forever.
    ///
    /// Datagrams of high priority are sent between the recipients of a normal one.
    pub(super) async fn run(&self, socket: &UdpSocket) {
        loop {
            tokio::select! {
                biased;
                datagram = self.high.recv() => send(socket, &datagram.bytes, &datagram.to).await,
                datagram = self.normal.recv() => {
                    for to in &datagram.to {
                        send(socket, &datagram.bytes, std::slice::from_ref(to)).await;
                        self.send_high(socket).await;
                    }
                }
            }
        }
    }

    async fn send_high(&self, socket: &UdpSocket) {
        while let Some(datagram) = self.high.pop() {
            send(socket, &datagram.bytes, &datagram.to).await;
        }
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], to: &[SocketAddr]) {
    for addr in to {
        let sent = tokio::time::timeout(SEND_TIMEOUT, socket.send_to(bytes, addr)).await;
        match sent {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!(peer:display = addr; "peer: not sent to {addr}: {e}"),
            Err(_) => log::warn!(peer:display = addr; "peer: not sent to {addr}: timed out"),
        }
    }
}
