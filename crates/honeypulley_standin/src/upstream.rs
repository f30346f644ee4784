//! Stand-in upstream with limited slots, load reports, draining and injected faults.
//!
//! Any path accepts `GET` and `POST`; `?ms=` sets the time that the request takes
//! and `?size=` the padding of the answer. An upgrade to `echo` opens a session
//! that echoes every byte. On the control port, `PUT /switches` sets the
//! [`Switches`] and `GET /journal` returns the executions.

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

/// Capacity and speed of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct UpstreamConfig {
    /// Name, as it appears in answers.
    pub name: String,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further ones are shed.
    pub queue: usize,
    /// Number of concurrent connections; further ones are closed at once.
    pub connections: usize,
    /// Time that a request takes if it sets none.
    pub work_time: Duration,
    /// Warm-up period after the start.
    ///
    /// Requests take four times as long at its start and the usual time at its end.
    pub warm_up: Duration,
    /// Interval at which the reported load is refreshed.
    pub load_interval: Duration,
}

/// Stand-in upstream.
#[derive(Debug)]
pub struct StandinUpstream {
    config: UpstreamConfig,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    switches: Mutex<Switches>,
    journal: Journal,
    started: Instant,
    /// Load in thousandths, as sent in answers.
    reported_load: AtomicU64,
}

impl StandinUpstream {
    /// Creates an upstream; [`StandinUpstream::serve`] starts it.
    #[must_use]
    pub fn new(config: UpstreamConfig) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(config.slots),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            switches: Mutex::default(),
            journal: Journal::default(),
            started: Instant::now(),
            reported_load: AtomicU64::new(0),
            config,
        })
    }

    /// Serves requests on `listen` and the control port on `control`, forever.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound.
    pub async fn serve(self: Arc<Self>, listen: SocketAddr, control: SocketAddr) -> Result<()> {
        let control = TcpListener::bind(control).await.wrap_err("bind the control port")?;
        tokio::spawn(Arc::clone(&self).serve_control(control));
        tokio::spawn(Arc::clone(&self).report_load());
        loop {
            let listener = TcpListener::bind(listen).await.wrap_err("bind the request port")?;
            while !self.refuses_connections() {
                let accepted =
                    tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
                if let Ok(Ok((stream, from))) = accepted {
                    tokio::spawn(Arc::clone(&self).serve_connection(stream, from.ip()));
                }
            }
            // Without a listener, the kernel refuses connections.
            drop(listener);
            while self.refuses_connections() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    fn refuses_connections(&self) -> bool {
        self.switches.lock().mode == Mode::Refuse
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, from: IpAddr) {
        let _ = stream.set_nodelay(true);
        if self.connections.fetch_add(1, Ordering::Relaxed) < self.config.connections {
            let this = Arc::clone(&self);
            let service = service_fn(move |r| {
                let this = Arc::clone(&this);
                async move { this.handle_request(r, from).await }
            });
            let http = hyper::server::conn::http1::Builder::new();
            let _ = http.serve_connection(TokioIo::new(stream), service).with_upgrades().await;
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    fn mode_for_source(&self, from: IpAddr) -> Mode {
        let s = self.switches.lock();
        if !s.only.is_empty() && !s.only.contains(&from) {
            return Mode::Healthy;
        }
        if s.mode != Mode::Flap {
            return s.mode;
        }
        let phase = self.started.elapsed().as_millis() as u64 / s.flap_ms.max(1);
        if phase.is_multiple_of(2) { Mode::Healthy } else { Mode::Stall }
    }

    async fn handle_request(
        &self,
        req: Request<Incoming>,
        from: IpAddr,
    ) -> Result<Response<Body>, std::io::Error> {
        let mode = self.mode_for_source(from);
        let attempt_id = req.headers().get(headers::ATTEMPT).cloned();
        let request_id =
            headers::text(req.headers(), &headers::REQUEST_ID).unwrap_or("none").to_owned();
        if mode == Mode::Shed {
            return Ok(self.shed_answer(attempt_id));
        }
        if req.headers().contains_key(header::UPGRADE) {
            self.journal.record_run(&request_id);
            return Ok(self.echo_session(req));
        }
        let deadline =
            headers::number(req.headers(), &headers::DEADLINE).map(Duration::from_millis);
        let requested = query_number(req.uri(), "ms").map(Duration::from_millis);
        let size = query_number(req.uri(), "size").unwrap_or(0) as usize;
        let body = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let Some(_permit) = self.acquire_slot(deadline).await else {
            return Ok(self.shed_answer(attempt_id));
        };
        // From here on the request has begun to run.
        self.journal.record_run(&request_id);
        let cancel_guard = CancelGuard { journal: &self.journal, armed: true };
        let mut work = requested.unwrap_or(self.config.work_time).mul_f64(self.warm_up_factor());
        if mode == Mode::Slow {
            work *= 10;
        }
        if mode == Mode::Stall {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(work).await;
        cancel_guard.disarm();
        Ok(self.build_answer(mode, attempt_id, &request_id, &body, size))
    }

    /// Waits for a slot.
    ///
    /// Returns `None` if the queue is full or the deadline passes first.
    async fn acquire_slot(
        &self,
        deadline: Option<Duration>,
    ) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.config.queue + self.config.slots {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let waiting = WaitingGuard(&self.waiting);
        let permit =
            tokio::time::timeout(deadline.unwrap_or(Duration::MAX), self.slots.acquire()).await;
        drop(waiting);
        permit.ok()?.ok()
    }

    fn warm_up_factor(&self) -> f64 {
        let age =
            self.started.elapsed().as_secs_f64() / self.config.warm_up.as_secs_f64().max(1e-9);
        1.0 + 3.0 * (1.0 - age).max(0.0)
    }

    fn build_answer(
        &self,
        mode: Mode,
        attempt_id: Option<HeaderValue>,
        request_id: &str,
        body: &[u8],
        size: usize,
    ) -> Response<Body> {
        let name = &self.config.name;
        // Simulates the answer to another request, with the attempt id of that request.
        let request_id = if mode == Mode::Mislabel { "another" } else { request_id };
        let text = format!(
            "{{\"upstream\":\"{name}\",\"request\":\"{request_id}\",\"body\":{}}}\n{}",
            body.len(),
            "x".repeat(size)
        );
        let attempt_id = match mode {
            Mode::Mislabel => Some(HeaderValue::from_static("ffffffffffffffff")),
            _ => attempt_id,
        };
        let mut r = Response::new(match mode {
            Mode::Cut => truncated_body(&text),
            _ => Full::new(Bytes::from(text.clone())).map_err(|e| match e {}).boxed(),
        });
        if mode == Mode::Fail {
            *r.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        r.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(text.len()));
        self.add_headers(&mut r, attempt_id);
        r
    }

    fn shed_answer(&self, attempt_id: Option<HeaderValue>) -> Response<Body> {
        let mut r = Response::new(Full::default().map_err(|e| match e {}).boxed());
        *r.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        r.headers_mut().insert(headers::NOT_RUN, HeaderValue::from_static("1"));
        r.headers_mut().insert(headers::RETRY_AFTER_MS, HeaderValue::from_static("200"));
        self.add_headers(&mut r, attempt_id);
        r
    }

    fn add_headers(&self, r: &mut Response<Body>, attempt_id: Option<HeaderValue>) {
        let s = self.switches.lock();
        if let Some(a) = attempt_id {
            r.headers_mut().insert(headers::ATTEMPT, a);
        }
        if s.drain {
            r.headers_mut().insert(headers::LEAVING, HeaderValue::from_static("1"));
        }
        let load_thousandths =
            s.claim_load.map_or_else(|| self.reported_load.load(Ordering::Relaxed), u64::from);
        let load = format!("{:.3}", load_thousandths as f64 / 1e3);
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

    /// Refreshes the reported load at each interval.
    async fn report_load(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.config.load_interval.max(Duration::from_millis(1))).await;
            let busy = self.config.slots - self.slots.available_permits();
            let waiting = self.waiting.load(Ordering::Relaxed);
            let load = (busy + waiting) as f64 / self.config.slots as f64;
            self.reported_load.store((load * 1e3) as u64, Ordering::Relaxed);
        }
    }

    async fn serve_control(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = Arc::clone(&self);
            let service = service_fn(move |r: Request<Incoming>| {
                let this = Arc::clone(&this);
                async move { this.handle_control(r).await }
            });
            tokio::spawn(async move {
                let http = hyper::server::conn::http1::Builder::new();
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn handle_control(
        &self,
        req: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, hyper::Error> {
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
        let json = serde_json::to_vec(&self.journal.snapshot()).unwrap_or_default();
        Ok(Response::new(Full::new(Bytes::from(json))))
    }
}

/// Records a cancellation if it is dropped before [`CancelGuard::disarm`].
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
            self.journal.record_cancellation();
        }
    }
}

struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns a body that fails after its first half.
fn truncated_body(text: &str) -> Body {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let error = std::io::Error::other("injected fault: answer truncated");
    StreamBody::new(stream::iter([Ok(Frame::data(half)), Err(error)])).boxed()
}

fn query_number(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(k, _)| *k == name).find_map(|(_, v)| v.parse().ok())
}
