//! An acceptor whose port can be closed while accepted connections are still served.
//!
//! The HTTP server keeps its acceptor until the last connection has ended. Until then the kernel
//! would go on accepting connections that nobody serves, and reset them at the end.

use crate::paced::PacedStream;
use eyre::{Result, WrapErr};
use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use std::fmt::{self, Debug};
use std::io;
use std::net::TcpListener;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Maximum time until a server notices that its port is to be closed.
///
/// A server with the maximum number of connections does not accept any.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Closes the port of one [`PortAcceptor`].
#[derive(Clone, Debug, Default)]
pub struct PortCloser {
    requested: CancellationToken,
    closed: CancellationToken,
}

impl PortCloser {
    /// Closes the port, after the connections that the kernel has accepted were taken over.
    pub async fn close(&self) {
        self.requested.cancel();
        if tokio::time::timeout(CLOSE_TIMEOUT, self.closed.cancelled()).await.is_err() {
            log::warn!("stop: the server accepts no connections, the port closes at the end");
        }
    }
}

/// Accepts connections until its port is closed.
pub struct PortAcceptor {
    /// `None` once the port is closed.
    inner: Option<TcpAcceptor>,
    holdings: Vec<Holding>,
    closer: PortCloser,
}

impl Debug for PortAcceptor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PortAcceptor").field("closer", &self.closer).finish_non_exhaustive()
    }
}

impl PortAcceptor {
    /// Accepts connections at a listener, which must be non-blocking.
    ///
    /// # Errors
    /// Returns an error if the listener can't be registered with the runtime.
    pub fn new(listener: TcpListener) -> Result<Self> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let inner = TcpAcceptor::try_from(listener).wrap_err("serve: listen")?;
        let holdings = inner.holdings().to_vec();
        Ok(Self { inner: Some(inner), holdings, closer: PortCloser::default() })
    }

    /// Returns a handle that closes the port.
    #[must_use]
    pub fn closer(&self) -> PortCloser {
        self.closer.clone()
    }
}

impl Acceptor for PortAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = PacedStream<<TcpAcceptor as Acceptor>::Stream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if let Some(inner) = &mut self.inner {
            let close = async {
                self.closer.requested.cancelled().await;
                // The runtime then reports connections that have arrived meanwhile.
                tokio::task::yield_now().await;
            };
            tokio::select! {
                biased;
                accepted = inner.accept(policy) => {
                    return Ok(accepted?.map_into(|_| TcpCoupler::new(), PacedStream));
                }
                () = close => {}
            }
        }
        self.inner = None;
        self.closer.closed.cancel();
        std::future::pending().await
    }
}
