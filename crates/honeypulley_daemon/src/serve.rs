//! Serves callers, and ends only when every open session has.

use crate::context::Context;
use eyre::{Result, WrapErr, eyre};
use honeypulley_proxy::handler::ProxyHandler;
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use parking_lot::Mutex;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server, Service};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Longest gap within a caller's body.
const BODY_GAP: Duration = Duration::from_secs(60);
/// Time between two looks at what is still open.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// Serves callers.
#[derive(Debug)]
pub struct ServeDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
    /// Bound port; it outlives restarts of the duty, and a planned stop closes it.
    pub listener: Mutex<Option<TcpListener>>,
}

impl Duty for ServeDuty {
    fn name(&self) -> &'static str {
        "serve"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        block_on(self.serve(stop))
    }
}

impl ServeDuty {
    async fn serve(&self, stop: &Stop) -> Result<()> {
        let shared = Arc::clone(&self.ctx.shared);
        let listener = self.listener.lock().as_ref().map(TcpListener::try_clone).transpose()?;
        let listener = listener.ok_or_else(|| eyre!("serve: the port is closed already"))?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let acceptor = TcpAcceptor::try_from(listener).wrap_err("serve: listen")?;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(Some(self.ctx.settings.head_time))
            .with_request_body_timeout(Some(BODY_GAP));
        let server =
            Server::new(acceptor).fuse_config(fuse).max_connections(self.ctx.settings.max_callers);
        let handle = server.handle();
        let proxy = ProxyHandler::new(Arc::clone(&shared));
        let service = Service::new(Router::with_path("{**rest}").goal(proxy));
        let ticking = tokio::spawn({
            let shared = Arc::clone(&shared);
            async move { shared.keep_ticking().await }
        });
        let serving = tokio::spawn(server.serve(service));
        stop.leave.cancelled().await;
        shared.leaving.store(true, Ordering::Relaxed);
        let wait = self.ctx.settings.leave_wait;
        log::info!(open = shared.open.load(Ordering::Relaxed); "stop: not ready any more, the port closes in {wait:?}");
        tokio::time::sleep(wait).await;
        handle.stop_graceful(None);
        // While any handle is open the kernel goes on taking connections that
        // nobody would serve.
        drop(self.listener.lock().take());
        serving.await.wrap_err("serve: the server died")?;
        // Upgraded sessions have left the server's own count.
        while shared.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(DRAIN_TICK).await;
        }
        log::info!("stop: nothing is open any more");
        ticking.abort();
        stop.halt.cancel();
        Ok(())
    }
}
