//! Readiness and liveness over HTTP, on a port of its own.

use eyre::{Result, WrapErr};
use honeypulley_supervisor::tree::{Duty, Stop, block_on};
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::writing::Text;
use std::fmt::Debug;
use std::net::TcpListener;
use std::sync::Arc;

/// What the admin port shows of a box.
pub trait AdminView: Debug + Send + Sync {
    /// Tells whether the box wants new connections.
    ///
    /// # Errors
    /// Returns why it does not.
    fn readiness(&self) -> Result<(), String>;
    /// Returns the box's status as JSON.
    fn status(&self) -> Vec<u8>;
    /// Returns the box's metrics as text.
    fn metrics(&self) -> String;
}

/// Answers `/ready`, `/live`, `/status` and `/metrics`.
#[derive(Debug)]
pub struct AdminDuty {
    /// What is shown.
    pub view: Arc<dyn AdminView>,
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
            let page = Page(Arc::clone(&self.view));
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
struct Page(Arc<dyn AdminView>);

#[async_trait]
impl Handler for Page {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match req.uri().path() {
            "/live" => res.render(Text::Plain("live\n")),
            "/status" => {
                res.add_header("content-type", "application/json", true)
                    .expect("a fixed header is fine");
                res.body(self.0.status());
            }
            "/metrics" => res.render(Text::Plain(self.0.metrics())),
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
