//! Checks whether an upstream still runs after a broken connection.

use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of the connection attempt.
///
/// Five round trips of 10 ms, the longest within a region. If the process has terminated, its
/// machine refuses the connection after one round trip. A machine that does not answer at all
/// does not prove that the process has terminated.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns whether an address refuses connections, so that its process has terminated.
///
/// A broken connection is no sufficient evidence, since running upstreams may reset connections,
/// lose answers and close idle connections. A closed port right afterwards is.
pub async fn refuses_connections(addr: &str) -> bool {
    let result = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(result, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
