//! Stand-in platform: an object store over HTTP with injected faults.
//!
//! Besides the object API, `PUT /members` replaces the list, which becomes visible
//! after a delay. `PUT /faults` takes [`Switches`] as JSON, `GET /calls` returns
//! [`Calls`], `PUT /backup` copies the objects and `PUT /restore` restores the last
//! copy.

use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use honeypulley_platform::api::{Expect, Platform, PlatformError};
use honeypulley_platform::encode::decode_path;
use honeypulley_platform::http::{EPOCH, WireChanges, WireObject};
use honeypulley_platform::memory::{Backup, Faults, MemoryPlatform};
use honeypulley_policy::revision::Revision;
use http::{HeaderValue, Method, StatusCode, header};
use parking_lot::Mutex;
use salvo::async_trait;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::ResBody;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use salvo::writing::Json;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Faults and rate limits to simulate, set over `PUT /faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Whether every call is refused.
    pub outage: bool,
    /// Milliseconds added to each call.
    pub slow_ms: u64,
    /// Number of next writes that take effect but whose answers are lost.
    pub lost: u32,
    /// Number of next writes that have no effect and whose answers are lost.
    pub dropped: u32,
    /// Writes allowed per second; zero means no limit.
    pub write_rate: u32,
    /// Reads allowed per second; zero means no limit.
    pub read_rate: u32,
}

/// Number of calls that the platform received.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Calls {
    /// Reads, watches and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

#[derive(Debug)]
struct RateWindow {
    began: Instant,
    reads: u32,
    writes: u32,
}

/// Stand-in platform.
#[derive(Debug)]
pub struct StandinPlatform {
    store: MemoryPlatform,
    backup: Mutex<Option<Backup>>,
    switches: Mutex<Switches>,
    window: Mutex<RateWindow>,
    list_lag: Duration,
}

impl StandinPlatform {
    /// Creates an empty platform; a new list becomes visible after `list_lag`.
    #[must_use]
    pub fn new(list_lag: Duration) -> Self {
        let window = RateWindow { began: Instant::now(), reads: 0, writes: 0 };
        Self {
            store: MemoryPlatform::default(),
            backup: Mutex::default(),
            switches: Mutex::default(),
            window: Mutex::new(window),
            list_lag,
        }
    }

    /// Serves on `listener` forever.
    ///
    /// # Errors
    /// Returns an error if the port can't be served.
    pub async fn serve(self, listener: tokio::net::TcpListener) -> Result<()> {
        let acceptor = TcpAcceptor::try_from(listener).wrap_err("listen")?;
        let handler = ApiHandler(Arc::new(self));
        Server::new(acceptor).serve(Router::with_path("{**rest}").goal(handler)).await;
        Ok(())
    }

    /// Counts one call and returns whether the rate limit allows it.
    fn allow_call(&self, write: bool) -> bool {
        let s = *self.switches.lock();
        let mut w = self.window.lock();
        if w.began.elapsed() > Duration::from_secs(1) {
            *w = RateWindow { began: Instant::now(), reads: 0, writes: 0 };
        }
        let (used, limit) =
            if write { (&mut w.writes, s.write_rate) } else { (&mut w.reads, s.read_rate) };
        *used += 1;
        limit == 0 || *used <= limit
    }

    fn set_switches(&self, s: Switches) {
        *self.switches.lock() = s;
        self.store.set_faults(Faults {
            outage: s.outage,
            lost: s.lost,
            dropped: s.dropped,
            ..Faults::default()
        });
    }
}

#[derive(Clone, Debug)]
struct ApiHandler(Arc<StandinPlatform>);

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        let write = *req.method() == Method::PUT;
        match path.as_str() {
            "/faults" => return self.handle_faults(req, res).await,
            "/calls" => {
                let (reads, writes) = self.0.store.calls();
                return res.render(Json(Calls { reads, writes }));
            }
            "/members" if write => return self.handle_members(req).await,
            "/backup" if write => {
                *self.0.backup.lock() = Some(self.0.store.backup());
                return;
            }
            "/restore" if write => return self.restore(res),
            _ => {}
        }
        let slow = self.0.switches.lock().slow_ms;
        tokio::time::sleep(Duration::from_millis(slow)).await;
        if !self.0.allow_call(write) {
            res.status_code(StatusCode::TOO_MANY_REQUESTS);
            return;
        }
        let result = match path.as_str() {
            "/members" => self.list(req, res).await,
            "/watch" => self.watch(req, res).await,
            _ if write => self.put(&path, req, res).await,
            _ => self.get(&path, res).await,
        };
        if let Err(e) = result {
            set_error(&e, res);
        }
        // Epochs on the wire start at one.
        res.headers_mut().insert(EPOCH, (self.0.store.epoch() + 1).into());
    }
}

impl ApiHandler {
    fn restore(&self, res: &mut Response) {
        match self.0.backup.lock().clone() {
            Some(backup) => self.0.store.restore(backup),
            None => {
                res.status_code(StatusCode::CONFLICT);
            }
        }
    }

    async fn handle_faults(&self, req: &mut Request, res: &mut Response) {
        let body = req.payload().await.cloned().unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(s) => self.0.set_switches(s),
            Err(_) => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }

    async fn handle_members(&self, req: &mut Request) {
        let body = req.payload().await.cloned().unwrap_or_default();
        let this = Arc::clone(&self.0);
        tokio::spawn(async move {
            tokio::time::sleep(this.list_lag).await;
            this.store.set_members(body);
        });
    }

    async fn list(&self, req: &Request, res: &mut Response) -> Result<(), PlatformError> {
        let json = self.0.store.members().await?;
        let etag = xxh3_64(&json);
        set_etag(res, etag);
        let if_none_match: Option<String> = req.header(header::IF_NONE_MATCH);
        if if_none_match.is_some_and(|t| t == format!("\"{etag}\"")) {
            res.status_code(StatusCode::NOT_MODIFIED);
            return Ok(());
        }
        res.replace_body(ResBody::Once(if json.is_empty() {
            Bytes::from_static(b"{}")
        } else {
            json
        }));
        Ok(())
    }

    async fn watch(&self, req: &Request, res: &mut Response) -> Result<(), PlatformError> {
        let prefix: String = req.query("prefix").unwrap_or_default();
        let after: u64 = req.query("after").unwrap_or_default();
        let wait = Duration::from_millis(req.query("wait_ms").unwrap_or_default());
        let after = Revision::new(self.0.store.epoch(), after);
        let c = self.0.store.watch(&prefix, after, wait).await?;
        let to_wire = |o: &honeypulley_platform::api::Object| WireObject {
            key: o.key.clone(),
            value: BASE64.encode(&o.value),
            version: o.version.number,
        };
        res.render(Json(WireChanges {
            version: c.version.number,
            objects: c.objects.iter().map(to_wire).collect(),
        }));
        Ok(())
    }

    async fn get(&self, path: &str, res: &mut Response) -> Result<(), PlatformError> {
        match self.0.store.get(&object_key(path)).await? {
            None => {
                res.status_code(StatusCode::NOT_FOUND);
            }
            Some(o) => {
                set_etag(res, o.version.number);
                res.replace_body(ResBody::Once(o.value));
            }
        }
        Ok(())
    }

    async fn put(
        &self,
        path: &str,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), PlatformError> {
        let if_match: Option<u64> = req.header(header::IF_MATCH);
        let revision = |number| Revision::new(self.0.store.epoch(), number);
        let expect = if_match.map_or(Expect::Absent, |n| Expect::Version(revision(n)));
        let body = req.payload_with_max_size(2_000_000).await.cloned().unwrap_or_default();
        if body.len() > honeypulley_platform::api::MAX_VALUE {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return Ok(());
        }
        let version = self.0.store.put(&object_key(path), body, expect).await?;
        set_etag(res, version.number);
        res.status_code(StatusCode::OK);
        Ok(())
    }
}

/// Returns the key that a path names, after decoding.
fn object_key(path: &str) -> String {
    let encoded = path.strip_prefix("/objects/").unwrap_or(path);
    decode_path(encoded)
}

fn set_etag(res: &mut Response, version: u64) {
    if let Ok(v) = HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert(header::ETAG, v);
    }
}

fn set_error(e: &PlatformError, res: &mut Response) {
    match e {
        PlatformError::Conflict { current, .. } => {
            set_etag(res, current.number);
            res.status_code(StatusCode::PRECONDITION_FAILED);
        }
        PlatformError::Unavailable { .. } => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        PlatformError::Compacted { .. } | PlatformError::Restored { .. } => {
            res.status_code(StatusCode::GONE);
        }
        // A gateway time-out leaves open whether the write took effect.
        PlatformError::Unknown { .. } | PlatformError::Incomplete { .. } => {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
        }
    }
}
