//! Checks whether an upstream still runs after a broken connection.

use crate::gate::CONNECT_TIMEOUT;
use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};

/// Timeout of the connection attempt.
///
/// Five round trips of 10 ms, the longest within a region. If the process has terminated, its
/// machine refuses the connection after one round trip. A machine that does not answer at all
/// does not prove that the process has terminated.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of connections that must fail before a machine counts as unreachable.
const PATH_CHECKS: usize = 3;

/// Returns whether an address refuses connections, so that its process has terminated.
///
/// A broken connection is no sufficient evidence, since running upstreams may reset connections,
/// lose answers and close idle connections. A closed port right afterwards is.
pub async fn refuses_connections(addr: &str, source: Option<IpAddr>) -> bool {
    let result = connect(addr, source, CHECK_TIMEOUT).await;
    matches!(result, Err(e) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Returns whether no packet from the machine at an address arrives here.
///
/// A machine that refuses connections is reachable. Single packets may get lost, and errors of this
/// box say nothing of the path.
pub async fn is_unreachable(addr: SocketAddr, source: Option<IpAddr>) -> bool {
    for _ in 0..PATH_CHECKS {
        let result = connect_to(addr, source, CONNECT_TIMEOUT).await;
        let has_no_path = matches!(
            result.map_err(|e| e.kind()),
            Err(ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable)
        );
        if !has_no_path {
            return false;
        }
    }
    true
}

/// Connects to an address, from the local address `source` if it is given.
///
/// # Errors
/// Returns an error if the address is invalid or accepts no connection within `timeout`.
pub async fn connect(addr: &str, source: Option<IpAddr>, timeout: Duration) -> Result<TcpStream> {
    let to = addr.parse().map_err(|e| Error::new(ErrorKind::InvalidInput, e))?;
    connect_to(to, source, timeout).await
}

async fn connect_to(
    to: SocketAddr,
    source: Option<IpAddr>,
    timeout: Duration,
) -> Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(ip) = source {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    tokio::time::timeout(timeout, socket.connect(to)).await?
}
