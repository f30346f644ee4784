//! Applies the limits on callers' connections to the server of one port.

use honeypulley_policy::connections::{
    CloseReason, Closing, ConnectionKey, ConnectionLimits, Connections, Protocol,
};
use honeypulley_policy::routes::CallerLimits;
use honeypulley_proxy::connections::{BusyConnection, ConnectionTracker};
use honeypulley_supervisor::clock::Clock;
use parking_lot::Mutex;
use salvo::async_trait;
use salvo::conn::{ConnCtrl, SocketAddr as ServerAddr};
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response};
use std::collections::HashMap;
use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which slow and idle connections are closed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for a head in addition to the table's limit, since packets may be lost.
const HEAD_TIME_MARGIN: Duration = Duration::from_secs(2);
/// Factor of the table's limit after which a resting connection is closed.
///
/// Callers use a connection up to the limit, and their requests may be on their way.
const IDLE_FACTOR: u32 = 2;

/// The connections of one port, with the means to close them.
#[derive(Debug)]
pub struct PortConnections {
    state: Mutex<State>,
    clock: Clock,
    /// Name of the port in log lines.
    port: &'static str,
}

struct State {
    connections: Connections,
    controls: HashMap<ConnectionKey, ConnCtrl>,
    by_address: HashMap<SocketAddr, ConnectionKey>,
    /// Closed connections since the last log line.
    closed: HashMap<CloseReason, u64>,
    rejected: u64,
}

impl Debug for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("State").field("open", &self.connections.count()).finish_non_exhaustive()
    }
}

impl State {
    fn close(&mut self, closing: &[Closing]) {
        for c in closing {
            *self.closed.entry(c.reason).or_default() += 1;
            let Some(control) = self.controls.remove(&c.key) else { continue };
            if c.reason == CloseReason::Idle {
                // A request that has just arrived is still answered.
                control.graceful_shutdown();
            } else {
                control.abort();
            }
        }
    }
}

impl PortConnections {
    /// Creates the state of a port without connections.
    #[must_use]
    pub fn new(limits: ConnectionLimits, clock: Clock, port: &'static str) -> Arc<Self> {
        let state = State {
            connections: Connections::new(limits),
            controls: HashMap::new(),
            by_address: HashMap::new(),
            closed: HashMap::new(),
            rejected: 0,
        };
        Arc::new(Self { state: Mutex::new(state), clock, port })
    }

    /// Closes slow and idle connections, forever.
    ///
    /// `limits` returns the limits of the table in force, which may change.
    pub async fn expire(&self, limits: impl Fn() -> Option<CallerLimits>) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            let limits = limits();
            let mut state = self.state.lock();
            if let Some(l) = limits {
                let head_time = l.head_time.saturating_add(HEAD_TIME_MARGIN);
                state.connections.set_times(head_time, l.idle_time.saturating_mul(IDLE_FACTOR));
            }
            let closing = state.connections.expire(self.clock.now());
            state.close(&closing);
            self.log_closed(&mut state);
        }
    }

    /// Logs what was closed or rejected since the last line.
    fn log_closed(&self, state: &mut State) {
        let (port, open) = (self.port, state.connections.count());
        let idle = state.closed.remove(&CloseReason::Idle).unwrap_or(0);
        if idle > 0 {
            log::debug!(port, idle, open; "connections: closed {idle} that rested for too long");
        }
        for (reason, count) in state.closed.drain() {
            log::warn!(
                port, reason:?, count, open;
                "connections: closed {count} without a request in flight ({reason:?})"
            );
        }
        let rejected = std::mem::take(&mut state.rejected);
        if rejected > 0 {
            log::warn!(
                port, rejected, open;
                "connections: rejected {rejected}, all others have requests in flight"
            );
        }
    }

    fn record_read(&self, key: ConnectionKey, bytes: usize) {
        let mut state = self.state.lock();
        let closing = state.connections.record_read(key, bytes, self.clock.now());
        state.close(&closing);
    }

    fn record_write(&self, key: ConnectionKey) {
        self.state.lock().connections.record_write(key, self.clock.now());
    }

    fn remove(&self, key: ConnectionKey, from: SocketAddr) {
        let mut state = self.state.lock();
        state.connections.close(key);
        state.controls.remove(&key);
        // The address may belong to a new connection by now.
        if state.by_address.get(&from) == Some(&key) {
            state.by_address.remove(&from);
        }
    }

    fn update(&self, from: SocketAddr, change: impl FnOnce(&mut Connections, ConnectionKey)) {
        let mut state = self.state.lock();
        if let Some(key) = state.by_address.get(&from).copied() {
            change(&mut state.connections, key);
        }
    }
}

impl ConnectionTracker for PortConnections {
    fn begin_request(&self, from: SocketAddr, protocol: Protocol) {
        self.update(from, |all, key| all.begin_request(key, protocol));
    }

    fn end_request(&self, from: SocketAddr) {
        let now = self.clock.now();
        self.update(from, |all, key| all.end_request(key, now));
    }
}

/// Marks the connection of each request as busy, in front of other handlers.
#[derive(Debug)]
pub struct BusyHandler(pub Arc<PortConnections>);

#[async_trait]
impl Handler for BusyHandler {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        next: &mut FlowCtrl,
    ) {
        let tracker: Arc<dyn ConnectionTracker> = Arc::<PortConnections>::clone(&self.0);
        let from = std_address(req.remote_addr());
        let _busy = from.map(|a| BusyConnection::new(&tracker, a, req.version()));
        next.call_next(req, depot, res).await;
    }
}

/// Admits connections, and observes what they transfer.
#[derive(Debug)]
pub struct ConnectionPolicy {
    /// The connections of the port.
    pub connections: Arc<PortConnections>,
    /// Time limits that the server enforces itself.
    pub timeouts: FuseConfig,
}

#[async_trait]
impl FusePolicy for ConnectionPolicy {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        let mut state = self.connections.state.lock();
        match state.connections.make_room(self.connections.clock.now()) {
            Ok(closing) => {
                state.close(&closing);
                FuseAction::Accept(self.timeouts)
            }
            Err(_) => {
                state.rejected += 1;
                FuseAction::Reject
            }
        }
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let from = std_address(&info.remote_addr)?;
        let mut state = self.connections.state.lock();
        let key = state.connections.open(self.connections.clock.now());
        state.controls.insert(key, control.clone());
        state.by_address.insert(from, key);
        drop(state);
        let connections = Arc::clone(&self.connections);
        Some(Arc::new(ConnectionObserver { connections, key, from }))
    }
}

/// Returns an address of the HTTP server in the form of the standard library.
fn std_address(addr: &ServerAddr) -> Option<SocketAddr> {
    addr.clone().into_std()
}

/// Reports what one connection transfers, until it is dropped with the connection.
#[derive(Debug)]
struct ConnectionObserver {
    connections: Arc<PortConnections>,
    key: ConnectionKey,
    from: SocketAddr,
}

impl ConnObserver for ConnectionObserver {
    fn on_read(&self, bytes: usize) {
        self.connections.record_read(self.key, bytes);
    }

    fn on_write(&self, _: usize) {
        self.connections.record_write(self.key);
    }
}

impl Drop for ConnectionObserver {
    fn drop(&mut self) {
        self.connections.remove(self.key, self.from);
    }
}
