//! Whether an upstream that broke a connection off still runs.

use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time for the answer to one packet.
///
/// Five round trips between the farthest data halls of a region, 10 ms. A program that ended
/// is told by its machine after one; a machine that says nothing is no program that ended.
const CHECK_TIME: Duration = Duration::from_millis(50);

/// Returns whether nothing listens at an address any more.
///
/// A connection that breaks off alone says little: upstreams reset connections, lose answers
/// and close idle ones while they run on. One whose port is closed right afterwards has ended.
pub async fn has_ended(addr: &str) -> bool {
    let answer = tokio::time::timeout(CHECK_TIME, TcpStream::connect(addr)).await;
    matches!(answer, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
