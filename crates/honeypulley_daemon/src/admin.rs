//! Readiness and liveness over HTTP, on a port of its own.

use eyre::{Result, WrapErr};
use honeypulley_policy::quarantine::{Fingerprint, Hold, Scope};
use honeypulley_policy::time::Time;
use honeypulley_proxy::suspects::Suspects;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
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
    /// Returns whether the box wants new connections.
    ///
    /// # Errors
    /// Returns why it does not.
    fn readiness(&self) -> Result<(), String>;
    /// Returns the box's status as JSON.
    fn status(&self) -> Vec<u8>;
    /// Returns the box's metrics as text.
    fn metrics(&self) -> String;
    /// Returns who knows which requests are held.
    fn suspects(&self) -> &dyn Suspects;
    /// Returns the time now.
    fn now(&self) -> Time;
}

/// Answers `/ready`, `/live`, `/status`, `/metrics` and `/held`, and lifts holds.
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

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            let acceptor = TcpAcceptor::try_from(listener).wrap_err("admin: listen")?;
            let page = Page(Arc::clone(&self.view));
            let lift = Router::with_path("held/{request}").delete(Lift(Arc::clone(&self.view)));
            let pages = Router::with_path("{name}").get(page);
            let server = Server::new(acceptor).serve(Router::new().push(lift).push(pages));
            tokio::select! {
                () = server => {}
                () = shutdown.stop.cancelled() => {}
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
            "/status" => json(res, self.0.status()),
            "/held" => json(res, held_page(&self.0.suspects().held(self.0.now()))),
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

/// Lifts the hold of one request.
#[derive(Debug)]
struct Lift(Arc<dyn AdminView>);

#[async_trait]
impl Handler for Lift {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let named: String = req.param("request").unwrap_or_default();
        let request = u64::from_str_radix(&named, 16).map(Fingerprint);
        let lift = |r| self.0.suspects().lift(r, self.0.now());
        if request.is_ok_and(lift) {
            log::info!(same = named.as_str(); "quarantine: request {named} is lifted");
            res.render(Text::Plain("lifted\n"));
        } else {
            res.status_code(StatusCode::NOT_FOUND);
            res.render(Text::Plain("this box holds no such request\n"));
        }
    }
}

fn json(res: &mut Response, body: Vec<u8>) {
    res.add_header("content-type", "application/json", true).expect("a fixed header is fine");
    res.body(body);
}

/// Returns the held requests as JSON, for operators.
fn held_page(holds: &[Hold]) -> Vec<u8> {
    let row = |h: &Hold| {
        serde_json::json!({
            "request": h.request.to_string(),
            "scope": if h.scope == Scope::Caller { "caller" } else { "content" },
            "ends": h.ends,
            "trials": h.trials,
            "left_ms": h.left.as_millis() as u64,
        })
    };
    serde_json::Value::from_iter(holds.iter().map(row)).to_string().into_bytes()
}
