//! Admin endpoints over HTTP on a separate port: readiness, status, metrics and holds.

use crate::connections::{BusyHandler, PortConnections};
use crate::port::PortAcceptor;
use crate::serve::limited_server;
use eyre::{Result, WrapErr};
use honeypulley_policy::connections::ConnectionLimits;
use honeypulley_policy::quarantine::{Fingerprint, Hold, Scope};
use honeypulley_policy::time::Time;
use honeypulley_proxy::suspects::RequestQuarantine;
use honeypulley_supervisor::clock::Clock;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use salvo::async_trait;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::writing::Text;
use std::fmt::Debug;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of connections to the admin port.
const MAX_CONNECTIONS: usize = 256;
/// Maximum number of bytes in all heads that have not ended.
const MAX_HEAD_BYTES: usize = 512 * 1_024;
/// Maximum time for the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Maximum time for which a connection rests; monitoring asks at least as often.
const IDLE_TIME: Duration = Duration::from_secs(90);

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
            let acceptor =
                PortAcceptor::new(self.listener.try_clone()?).wrap_err("admin: listen")?;
            let connections = PortConnections::new(connection_limits(), Clock::start(), "admin");
            let busy = BusyHandler(Arc::clone(&connections));
            let page = PageHandler(Arc::clone(&self.view));
            let lift =
                Router::with_path("held/{request}").delete(LiftHandler(Arc::clone(&self.view)));
            let pages = Router::with_path("{name}").get(page);
            let server = limited_server(acceptor, &connections, FuseConfig::default());
            tokio::select! {
                () = server.serve(Router::new().hoop(busy).push(lift).push(pages)) => {}
                () = connections.expire(|| None) => {}
                () = shutdown.stop.cancelled() => {}
            }
            Ok(())
        })
    }
}

fn connection_limits() -> ConnectionLimits {
    ConnectionLimits::builder()
        .max_open(MAX_CONNECTIONS)
        .max_headless(MAX_CONNECTIONS / 2)
        .head_bytes(MAX_HEAD_BYTES)
        .head_time(HEAD_TIME)
        .idle_time(IDLE_TIME)
        .build()
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
