//! Closes a port while connections arrive.

use eyre::{Report, Result, WrapErr};
use honeypulley_daemon::port::PortAcceptor;
use salvo::conn::Acceptor;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use tokio::time::timeout;

/// Time in which a connection is accepted or the port is closed.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Guards against a reset of connections that the runtime has not yet reported.
#[tokio::test]
async fn connections_in_the_queue_are_accepted_before_the_port_closes() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let mut acceptor = PortAcceptor::new(listener)?;
    let closer = acceptor.closer();
    // The thread does not turn to the runtime between these calls and the close.
    let callers = [TcpStream::connect(addr)?, TcpStream::connect(addr)?];
    let accept = async {
        for _ in &callers {
            let accepted = timeout(TIMEOUT, acceptor.accept(None)).await;
            accepted.wrap_err("the connection is not accepted")??;
        }
        // Closes the port, and waits forever.
        let more = timeout(TIMEOUT, acceptor.accept(None)).await;
        more.map_or(Ok(()), |more| more.map(drop).map_err(Report::from))
    };
    let close = async {
        closer.close().await;
        TcpStream::connect(addr)
    };
    let (next, accepted) = tokio::join!(close, accept);
    accepted?;
    assert!(next.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused));
    Ok(())
}
