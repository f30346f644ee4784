//! Readiness and liveness over HTTP, on a port of its own.

use crate::context::Context;
use crate::status;
use eyre::{Result, WrapErr};
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::writing::{Json, Text};
use std::net::TcpListener;
use std::sync::Arc;

/// Answers `/ready`, `/live` and `/status`.
#[derive(Debug)]
pub struct AdminDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
    /// Bound port; it outlives restarts of the duty.
    pub listener: TcpListener,
}

impl Duty for AdminDuty {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn run(&self, stop: &Stop) -> Result<()> {
        block_on(async {
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            let acceptor = TcpAcceptor::try_from(listener).wrap_err("admin: listen")?;
            let page = Page(Arc::clone(&self.ctx));
            let server = Server::new(acceptor).serve(Router::with_path("{name}").get(page));
            tokio::select! {
                () = server => {}
                () = stop.halt.cancelled() => {}
            }
            Ok(())
        })
    }
}

#[derive(Debug)]
struct Page(Arc<Context>);

#[async_trait]
impl Handler for Page {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match req.uri().path() {
            "/live" => res.render(Text::Plain("live\n")),
            "/status" => res.render(Json(status::collect(&self.0))),
            "/ready" => match self.0.readiness() {
                Ok(()) => res.render(Text::Plain("ready\n")),
                Err(why) => {
                    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                    res.render(Text::Plain(format!("not ready: {why}\n")));
                }
            },
            _ => {
                res.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}
