//! Reception of datagrams.

use crate::codec::{Datagram, MAX_DATAGRAM};
use crate::key::FleetKey;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Receives a datagram, or `None` if it is malformed or fails authentication.
///
/// # Errors
/// Returns socket errors, except for a refusal of an earlier datagram.
pub async fn receive(
    socket: &UdpSocket,
    key: &FleetKey,
) -> Result<(Option<Datagram>, SocketAddr), Error> {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((n, from)) => return Ok((Datagram::open(&buffer[..n], key), from)),
            // The system reports an ICMP refusal of an earlier datagram on the next receive.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(e) => return Err(e),
        }
    }
}
