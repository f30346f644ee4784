//! Serves callers, and ends only when every open session has.

use eyre::{Result, WrapErr, eyre};
use honeypulley_proxy::gate::Gate;
use honeypulley_proxy::handler::ProxyHandler;
use honeypulley_proxy::shared::Feeder;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use parking_lot::Mutex;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server, Service};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longest gap within a caller's body.
const BODY_GAP: Duration = Duration::from_secs(60);
/// Time between two looks at what is still open.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// Limits on callers' connections, and how a planned stop goes.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Time for a request's head to come.
    pub head_time: Duration,
    /// Connections from callers at one time.
    pub max_callers: usize,
    /// Time between readiness off and the close of the callers' port.
    pub leave_wait: Duration,
    /// Longest time from the beginning of a planned stop to its end, if bounded.
    pub grace: Option<Duration>,
}

/// Serves callers.
#[derive(Debug)]
pub struct ServeDuty {
    /// State of the serving path.
    pub gate: Arc<Gate>,
    /// Keeps that state up to date.
    pub feeder: Arc<dyn Feeder>,
    /// Limits.
    pub limits: ServeLimits,
    /// Bound port; it outlives restarts of the duty, and a planned stop closes it.
    pub listener: Mutex<Option<TcpListener>>,
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
    async fn serve(&self, shutdown: &Shutdown) -> Result<()> {
        let gate = Arc::clone(&self.gate);
        let listener = self.listener.lock().as_ref().map(TcpListener::try_clone).transpose()?;
        let listener = listener.ok_or_else(|| eyre!("serve: the port is closed already"))?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let acceptor = TcpAcceptor::try_from(listener).wrap_err("serve: listen")?;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(Some(self.limits.head_time))
            .with_request_body_timeout(Some(BODY_GAP));
        let server =
            Server::new(acceptor).fuse_config(fuse).max_connections(self.limits.max_callers);
        let handle = server.handle();
        let proxy = ProxyHandler::new(Arc::clone(&gate));
        let service = Service::new(Router::with_path("{**rest}").goal(proxy));
        let feeding = tokio::spawn({
            let feeder = Arc::clone(&self.feeder);
            async move { feeder.feed().await }
        });
        let serving = tokio::spawn(server.serve(service));
        shutdown.drain.cancelled().await;
        let began = Instant::now();
        gate.leaving.store(true, Ordering::Relaxed);
        let wait = self.limits.leave_wait;
        log::info!(open = gate.open.load(Ordering::Relaxed); "stop: not ready any more, the port closes in {wait:?}");
        tokio::time::sleep(wait).await;
        handle.stop_graceful(None);
        // While any handle is open the kernel goes on taking connections that
        // nobody would serve.
        drop(self.listener.lock().take());
        let ended = async {
            serving.await.wrap_err("serve: the server died")?;
            // Upgraded sessions have left the server's own count.
            while gate.open.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(DRAIN_TICK).await;
            }
            Ok::<_, eyre::Report>(())
        };
        match self.limits.grace {
            None => ended.await?,
            Some(grace) => {
                let left = grace.saturating_sub(began.elapsed());
                if let Ok(r) = tokio::time::timeout(left, ended).await {
                    r?;
                }
            }
        }
        let open = gate.open.load(Ordering::Relaxed);
        log::info!(open; "stop: ends with {open} open");
        feeding.abort();
        shutdown.stop.cancel();
        Ok(())
    }
}
