//! The stand-in upstream: slots, load, drain, and failures on command.
//!
//! `POST` or `GET` any path; `?ms=` sets the work, `?size=` the answer's length.
//! An upgrade to `echo` opens a session that sends every byte back. On the
//! control port, `PUT /switches` takes [`Switches`], `GET /journal` tells what ran.

use crate::work::{Journal, Mode, Switches};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::stream;
use honeypulley_proxy::headers;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

type Body = BoxBody<Bytes, std::io::Error>;

/// Size and speed of an upstream.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Name.
    pub name: String,
    /// Requests run at one time.
    pub slots: usize,
    /// Requests that may wait; more are shed.
    pub queue: usize,
    /// Connections at one time.
    pub connections: usize,
    /// Work of one request, if it names none.
    pub work: Duration,
    /// Time over which work falls from four times the usual after a start.
    pub cold: Duration,
    /// Time by which the reported load lags.
    pub lag: Duration,
}

/// The stand-in upstream.
#[derive(Debug)]
pub struct StandinUpstream {
    shape: Shape,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    switches: Mutex<Switches>,
    journal: Journal,
    born: Instant,
    /// Load in thousandths, as reported.
    reported: AtomicU64,
}

impl StandinUpstream {
    /// Builds an upstream.
    #[must_use]
    pub fn new(shape: Shape) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(shape.slots),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            switches: Mutex::default(),
            journal: Journal::default(),
            born: Instant::now(),
            reported: AtomicU64::new(0),
            shape,
        })
    }

    /// Serves work on `listen` and control on `control`, forever.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound.
    pub async fn serve(self: Arc<Self>, listen: SocketAddr, control: SocketAddr) -> Result<()> {
        let control = TcpListener::bind(control).await.wrap_err("bind the control port")?;
        tokio::spawn(Arc::clone(&self).serve_control(control));
        tokio::spawn(Arc::clone(&self).report_load());
        loop {
            let listener = TcpListener::bind(listen).await.wrap_err("bind the work port")?;
            while !self.refuses() {
                let accepted =
                    tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
                if let Ok(Ok((stream, from))) = accepted {
                    tokio::spawn(Arc::clone(&self).serve_one(stream, from.ip()));
                }
            }
            // Without a listener, connections are refused by the kernel.
            drop(listener);
            while self.refuses() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn refuses(&self) -> bool {
        self.switches.lock().mode == Mode::Refuse
    }

    async fn serve_one(self: Arc<Self>, stream: TcpStream, from: IpAddr) {
        let _ = stream.set_nodelay(true);
        if self.connections.fetch_add(1, Ordering::Relaxed) < self.shape.connections {
            let this = Arc::clone(&self);
            let service = service_fn(move |r| {
                let this = Arc::clone(&this);
                async move { this.answer(r, from).await }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).with_upgrades().await;
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    fn mode_for(&self, from: IpAddr) -> Mode {
        let s = self.switches.lock();
        if !s.only.is_empty() && !s.only.contains(&from) {
            return Mode::Healthy;
        }
        if s.mode != Mode::Flap {
            return s.mode;
        }
        let phase = self.born.elapsed().as_millis() as u64 / s.flap_ms.max(1);
        if phase.is_multiple_of(2) { Mode::Healthy } else { Mode::Stall }
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        from: IpAddr,
    ) -> Result<Response<Body>, std::io::Error> {
        let mode = self.mode_for(from);
        let attempt = req.headers().get(headers::ATTEMPT).cloned();
        let id = headers::text(req.headers(), &headers::REQUEST_ID).unwrap_or("none").to_owned();
        if mode == Mode::Shed {
            return Ok(self.shed(attempt));
        }
        if req.headers().contains_key(header::UPGRADE) {
            self.journal.run(&id);
            return Ok(self.echo_session(req));
        }
        let deadline =
            headers::number(req.headers(), &headers::DEADLINE).map(Duration::from_millis);
        let asked = query(req.uri(), "ms").map(Duration::from_millis);
        let size = query(req.uri(), "size").unwrap_or(0) as usize;
        let body = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let Some(_permit) = self.slot(deadline).await else { return Ok(self.shed(attempt)) };
        // From here on the request has begun to run.
        self.journal.run(&id);
        let left = CancelGuard { journal: &self.journal, armed: true };
        let mut work = asked.unwrap_or(self.shape.work).mul_f64(self.cold_factor());
        if mode == Mode::Slow {
            work *= 10;
        }
        if mode == Mode::Stall {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(work).await;
        left.disarm();
        Ok(self.result(mode, attempt, &id, &body, size))
    }

    /// Waits for a slot; `None` if too many wait or the deadline comes first.
    async fn slot(&self, deadline: Option<Duration>) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.shape.queue + self.shape.slots {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let waiting = WaitGuard(&self.waiting);
        let permit =
            tokio::time::timeout(deadline.unwrap_or(Duration::MAX), self.slots.acquire()).await;
        drop(waiting);
        permit.ok()?.ok()
    }

    fn cold_factor(&self) -> f64 {
        let age = self.born.elapsed().as_secs_f64() / self.shape.cold.as_secs_f64().max(1e-9);
        1.0 + 3.0 * (1.0 - age).max(0.0)
    }

    fn result(
        &self,
        mode: Mode,
        attempt: Option<HeaderValue>,
        id: &str,
        body: &[u8],
        size: usize,
    ) -> Response<Body> {
        let name = &self.shape.name;
        // The answer of another request, with that one's label.
        let id = if mode == Mode::Mislabel { "another" } else { id };
        let text = format!(
            "{{\"upstream\":\"{name}\",\"request\":\"{id}\",\"body\":{}}}\n{}",
            body.len(),
            "x".repeat(size)
        );
        let label = match mode {
            Mode::Mislabel => Some(HeaderValue::from_static("ffffffffffffffff")),
            _ => attempt,
        };
        let mut r = Response::new(match mode {
            Mode::Cut => cut_body(&text),
            _ => Full::new(Bytes::from(text.clone())).map_err(|e| match e {}).boxed(),
        });
        if mode == Mode::Fail {
            *r.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        r.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
        self.label(&mut r, label);
        r
    }

    fn shed(&self, attempt: Option<HeaderValue>) -> Response<Body> {
        let mut r = Response::new(Full::default().map_err(|e| match e {}).boxed());
        *r.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        r.headers_mut().insert(headers::NOT_RUN, HeaderValue::from_static("1"));
        r.headers_mut().insert(headers::RETRY_AFTER_MS, HeaderValue::from_static("200"));
        self.label(&mut r, attempt);
        r
    }

    fn label(&self, r: &mut Response<Body>, attempt: Option<HeaderValue>) {
        let s = self.switches.lock();
        if let Some(a) = attempt {
            r.headers_mut().insert(headers::ATTEMPT, a);
        }
        if s.drain {
            r.headers_mut().insert(headers::LEAVING, HeaderValue::from_static("1"));
        }
        let thousandths =
            s.claim_load.map_or_else(|| self.reported.load(Ordering::Relaxed), u64::from);
        let load = format!("{:.3}", thousandths as f64 / 1e3);
        if let Ok(v) = HeaderValue::from_str(&load) {
            r.headers_mut().insert(headers::LOAD, v);
        }
    }

    fn echo_session(&self, req: Request<Incoming>) -> Response<Body> {
        let mut r = Response::new(Full::default().map_err(|e| match e {}).boxed());
        *r.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        r.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        r.headers_mut().insert(header::UPGRADE, HeaderValue::from_static("echo"));
        tokio::spawn(async move {
            if let Ok(session) = hyper::upgrade::on(req).await {
                let (mut rx, mut tx) = tokio::io::split(TokioIo::new(session));
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            }
        });
        r
    }

    /// Renews the reported load once in each lag.
    async fn report_load(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.shape.lag.max(Duration::from_millis(1))).await;
            let busy = self.shape.slots - self.slots.available_permits();
            let waiting = self.waiting.load(Ordering::Relaxed);
            let load = (busy + waiting) as f64 / self.shape.slots as f64;
            self.reported.store((load * 1e3) as u64, Ordering::Relaxed);
        }
    }

    async fn serve_control(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = Arc::clone(&self);
            let service = service_fn(move |r: Request<Incoming>| {
                let this = Arc::clone(&this);
                async move { this.control(r).await }
            });
            tokio::spawn(async move {
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn control(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let path = req.uri().path().to_owned();
        let body = req.into_body().collect().await?.to_bytes();
        if path == "/switches" {
            let Ok(s) = serde_json::from_slice(&body) else {
                let mut r = Response::new(Full::default());
                *r.status_mut() = StatusCode::BAD_REQUEST;
                return Ok(r);
            };
            *self.switches.lock() = s;
            return Ok(Response::new(Full::default()));
        }
        let json = serde_json::to_vec(&self.journal.page()).unwrap_or_default();
        Ok(Response::new(Full::new(Bytes::from(json))))
    }
}

/// Books a request whose caller left before it was done.
struct CancelGuard<'a> {
    journal: &'a Journal,
    armed: bool,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.journal.cancel();
        }
    }
}

struct WaitGuard<'a>(&'a AtomicUsize);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends half a body and breaks off.
fn cut_body(text: &str) -> Body {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let broken = std::io::Error::other("cut on purpose");
    StreamBody::new(stream::iter([Ok(Frame::data(half)), Err(broken)])).boxed()
}

fn query(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == name).find_map(|(_, v)| v.parse().ok())
}
