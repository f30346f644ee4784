//! Serves callers, and shuts down once every open session has ended.

use crate::connections::{ConnectionPolicy, PortConnections};
use crate::port::{PortAcceptor, PortCloser};
use eyre::{Result, WrapErr, eyre};
use futures::future::join_all;
use honeypulley_policy::connections::ConnectionLimits;
use honeypulley_policy::shutdown::PlannedStop;
use honeypulley_proxy::gate::ProxyState;
use honeypulley_proxy::handler::ProxyHandler;
use honeypulley_proxy::open::log_all_open;
use honeypulley_proxy::shared::StateUpdater;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use parking_lot::Mutex;
use salvo::conn::Acceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server, Service};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Maximum pause within a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between the close of the port and the close of idle connections.
///
/// Requests that are on their way are answered in it, with `Connection: close`.
const CLOSE_DELAY: Duration = Duration::from_millis(1_200);
/// Time between two checks for open requests and sessions during a shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Usual time between two log lines on what a graceful shutdown waits for.
pub const WAIT_LOG: Duration = Duration::from_secs(60);

/// Maximum size of the buffers of an HTTP/1 connection in bytes, and thereby of a head.
///
/// Four times the longest head that the default limits of a table allow.
const MAX_BUFFER: usize = 64 * 1_024;
/// Maximum number of bytes in all heads that have not ended.
///
/// 256 heads of the longest size that the default limits of a table allow.
const MAX_HEAD_BYTES: usize = 4 * 1_024 * 1_024;
/// One in so many connections may have no request.
const HEADLESS_SHARE: usize = 5;
/// Time after which the server itself closes a connection that waits for a request.
///
/// The limits on connections close it earlier; see [`PortConnections::expire`].
const SERVER_HEAD_TIME: Duration = Duration::from_secs(3_600);
/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 32;
/// Bytes that a caller may send over an HTTP/2 connection, or stream, before they are read.
const STREAM_WINDOW: u32 = 65_535;

/// Limits on caller connections, and the timing of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Maximum time to receive a request's header, and to wait for one.
    ///
    /// The limits of a routing table replace it.
    pub head_time: Duration,
    /// Maximum number of concurrent caller connections.
    pub max_callers: usize,
    /// Time between reporting not ready and closing the callers' port.
    pub leave_wait: Duration,
    /// Maximum duration of a graceful shutdown, if it is bounded.
    pub grace: Option<Duration>,
    /// Time between two log lines on what a graceful shutdown waits for.
    pub wait_log: Duration,
    /// Time after which a connection is closed whose caller reads nothing, if it is bounded.
    pub write_stall: Option<Duration>,
}

impl ServeLimits {
    /// Returns the limits on the connections of a port.
    fn connections(&self) -> ConnectionLimits {
        ConnectionLimits::builder()
            .max_open(self.max_callers)
            .max_headless(self.max_callers.div_ceil(HEADLESS_SHARE))
            .head_bytes(MAX_HEAD_BYTES)
            .head_time(self.head_time)
            .idle_time(self.head_time)
            .build()
    }
}

/// Serves callers.
#[derive(Debug)]
pub struct ServeDuty {
    /// State of the serving path.
    pub gate: Arc<ProxyState>,
    /// Applies updates to the state of the serving path.
    pub feeder: Arc<dyn StateUpdater>,
    /// Connection limits and shutdown timing.
    pub limits: ServeLimits,
    /// Bound listener; it stays open while the duty restarts, until a graceful shutdown.
    pub listener: Mutex<Option<TcpListener>>,
    /// Bound listener for requests that other boxes relay, if the box accepts them.
    pub relay_listener: Mutex<Option<TcpListener>>,
}

/// Creates a server whose connections are limited in number, memory and time.
pub(crate) fn limited_server<A: Acceptor + Send>(
    acceptor: A,
    connections: &Arc<PortConnections>,
    timeouts: FuseConfig,
) -> Server<A> {
    let timeouts = timeouts.with_http1_header_timeout(Some(SERVER_HEAD_TIME));
    let policy = ConnectionPolicy { connections: Arc::clone(connections), timeouts };
    let mut server = Server::new(acceptor).fuse_policy(policy);
    server.http1_mut().max_buf_size(MAX_BUFFER);
    server
        .http2_mut()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(STREAM_WINDOW)
        .max_header_list_size(MAX_BUFFER as u32)
        .max_send_buf_size(MAX_BUFFER);
    server
}

impl Duty for ServeDuty {
    fn name(&self) -> &'static str {
        "serve"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(self.serve(shutdown))
    }
}

impl ServeDuty {
    /// Creates a server on a bound listener, unless that is closed.
    fn server(
        &self,
        listener: &Mutex<Option<TcpListener>>,
        connections: &Arc<PortConnections>,
    ) -> Result<Option<(Server<PortAcceptor>, PortCloser)>> {
        let listener = listener.lock().as_ref().map(TcpListener::try_clone).transpose()?;
        let Some(listener) = listener else { return Ok(None) };
        let acceptor = PortAcceptor::new(listener)?;
        let closer = acceptor.closer();
        let timeouts = FuseConfig::default()
            .with_request_body_timeout(Some(BODY_TIMEOUT))
            .with_write_stall_timeout(self.limits.write_stall);
        let server = limited_server(acceptor, connections, timeouts);
        Ok(Some((server, closer)))
    }

    /// Closes the ports after `wait`, and returns when idle connections are to be closed.
    async fn close_ports(&self, wait: Duration, ports: impl Iterator<Item = PortCloser>) {
        tokio::time::sleep(wait).await;
        // The kernel accepts connections until the last handle of the socket is closed.
        drop(self.listener.lock().take());
        drop(self.relay_listener.lock().take());
        join_all(ports.map(|p| async move { p.close().await })).await;
        tokio::time::sleep(CLOSE_DELAY).await;
    }

    async fn serve(&self, shutdown: &Shutdown) -> Result<()> {
        let gate = Arc::clone(&self.gate);
        let limits = self.limits.connections();
        let [caller_connections, relay_connections] =
            ["callers", "relay"].map(|port| PortConnections::new(limits, gate.clock, port));
        let Some((callers, port)) = self.server(&self.listener, &caller_connections)? else {
            if !gate.stop.has_begun() {
                return Err(eyre!("serve: the listener is already closed"));
            }
            // All connections ended with the run that closed the port.
            self.complete_stop(shutdown);
            return Ok(());
        };
        let handle = callers.handle();
        let service = |handler| Service::new(Router::with_path("{**rest}").goal(handler));
        let (relayed, relay_port) = self.server(&self.relay_listener, &relay_connections)?.unzip();
        let relay_handle = relayed.as_ref().map(Server::handle);
        let relay_task = relayed.map(|server| {
            let handler =
                ProxyHandler::for_peers(Arc::clone(&gate))
                    .with_connections(Arc::<PortConnections>::clone(&relay_connections));
            tokio::spawn(server.serve(service(handler)))
        });
        let handler = ProxyHandler::new(Arc::clone(&gate))
            .with_connections(Arc::<PortConnections>::clone(&caller_connections));
        let feed_task = tokio::spawn({
            let feeder = Arc::clone(&self.feeder);
            async move { feeder.run().await }
        });
        let expire_task = tokio::spawn({
            let gate = Arc::clone(&gate);
            async move {
                let limits = || gate.routes.caller_limits();
                tokio::join!(caller_connections.expire(limits), relay_connections.expire(limits));
            }
        });
        let server_task = tokio::spawn(callers.serve(service(handler)));
        shutdown.drain.cancelled().await;
        // The signal duty has begun the stop; this one counts if nobody has.
        let stop = gate.stop.begin(PlannedStop::new(gate.now(), self.limits.grace));
        let wait = self.limits.leave_wait;
        let notice_ms = gate.now().since(stop.earliest()).as_millis() as u64;
        log::info!(open = gate.open.count(), notice_ms; "stop: reporting not ready, closing the port in {wait:?}");
        let ports = [Some(port), relay_port].into_iter().flatten();
        tokio::select! {
            () = self.close_ports(wait, ports) => {}
            () = gate.stop.wait_end(gate.clock) => {}
        }
        handle.stop_graceful(None);
        relay_handle.inspect(|h| h.stop_graceful(None));
        let wait_log = tokio::spawn(log_open(Arc::clone(&gate), self.limits.wait_log));
        let drained = async {
            server_task.await.wrap_err("serve: server task failed")?;
            if let Some(task) = relay_task {
                task.await.wrap_err("serve: task for relayed requests failed")?;
            }
            // The server does not count upgraded sessions, but the gate does.
            while gate.open.count() > 0 {
                tokio::time::sleep(DRAIN_POLL).await;
            }
            Ok::<_, eyre::Report>(())
        };
        tokio::select! {
            biased;
            drained = drained => drained?,
            () = gate.stop.wait_end(gate.clock) => {}
        }
        self.complete_stop(shutdown);
        wait_log.abort();
        feed_task.abort();
        expire_task.abort();
        Ok(())
    }

    /// Logs what is still open, and ends the process.
    fn complete_stop(&self, shutdown: &Shutdown) {
        let open = self.gate.open.count();
        log_all_open(&self.gate);
        log::info!(open; "stop: complete, {open} requests and sessions open");
        shutdown.stop.cancel();
    }
}

/// Logs at each interval how many requests and sessions are open, forever.
async fn log_open(gate: Arc<ProxyState>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        let open = gate.open.count();
        log::info!(open; "stop: waiting for {open} requests and sessions");
    }
}
