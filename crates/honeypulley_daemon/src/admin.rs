//! Admin endpoints over HTTP on a separate port: readiness, status, metrics and holds.

use eyre::{Result, WrapErr};
use honeypulley_policy::quarantine::{Fingerprint, Hold, Scope};
use honeypulley_policy::time::Time;
use honeypulley_proxy::suspects::RequestQuarantine;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::writing::Text;
use std::fmt::Debug;
use std::net::TcpListener;
use std::sync::Arc;

/// State of a box that the admin endpoints expose.
pub trait AdminView: Debug + Send + Sync {
    /// Checks whether the box should receive new connections.
    ///
    /// # Errors
    /// Returns the reason why it is not ready.
    fn readiness(&self) -> Result<(), String>;
    /// Returns the status of the box as JSON.
    fn status(&self) -> Vec<u8>;
    /// Returns the metrics of the box in the text format of Prometheus.
    fn metrics(&self) -> String;
    /// Returns the quarantine of this box, which knows the held requests.
    fn suspects(&self) -> &dyn RequestQuarantine;
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Serves `/ready`, `/live`, `/status`, `/metrics` and `/held`, and lifts holds.
#[derive(Debug)]
pub struct AdminDuty {
    /// State that is exposed.
    pub view: Arc<dyn AdminView>,
    /// Bound listener; it stays open while the duty restarts.
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
            let page = PageHandler(Arc::clone(&self.view));
            let lift =
                Router::with_path("held/{request}").delete(LiftHandler(Arc::clone(&self.view)));
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
struct PageHandler(Arc<dyn AdminView>);

#[async_trait]
impl Handler for PageHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match req.uri().path() {
            "/live" => res.render(Text::Plain("live\n")),
            "/status" => render_json(res, self.0.status()),
            "/held" => render_json(res, held_json(&self.0.suspects().held(self.0.now()))),
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

/// Handles requests to lift the hold of one request.
#[derive(Debug)]
struct LiftHandler(Arc<dyn AdminView>);

#[async_trait]
impl Handler for LiftHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let id: String = req.param("request").unwrap_or_default();
        let request = u64::from_str_radix(&id, 16).map(Fingerprint);
        let lift = |r| self.0.suspects().clear(r, self.0.now());
        if request.is_ok_and(lift) {
            log::info!(same = id.as_str(); "quarantine: hold of request {id} lifted");
            res.render(Text::Plain("lifted\n"));
        } else {
            res.status_code(StatusCode::NOT_FOUND);
            res.render(Text::Plain("this box holds no such request\n"));
        }
    }
}

fn render_json(res: &mut Response, body: Vec<u8>) {
    res.add_header("content-type", "application/json", true).expect("the constant header is valid");
    res.body(body);
}

/// Encodes the held requests as JSON.
fn held_json(holds: &[Hold]) -> Vec<u8> {
    let row = |h: &Hold| {
        serde_json::json!({
            "request": h.request.to_string(),
            "scope": if h.scope == Scope::Caller { "caller" } else { "content" },
            "ends": h.crashes,
            "trials": h.trials,
            "left_ms": h.remaining.as_millis() as u64,
        })
    };
    serde_json::Value::from_iter(holds.iter().map(row)).to_string().into_bytes()
}
