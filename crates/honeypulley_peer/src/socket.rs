//! Receiving datagrams of the fleet.

use crate::codec::{Datagram, MAX_DATAGRAM};
use crate::key::FleetKey;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Receives one datagram; `None` stands for one whose tag does not fit.
///
/// # Errors
/// Returns the system's error, but for refusals of earlier datagrams.
pub async fn receive(
    socket: &UdpSocket,
    key: &FleetKey,
) -> Result<(Option<Datagram>, SocketAddr), Error> {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((n, from)) => return Ok((Datagram::open(&buffer[..n], key), from)),
            // An ICMP refusal of an earlier datagram shows up here.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(e) => return Err(e),
        }
    }
}
