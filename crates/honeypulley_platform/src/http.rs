//! HTTP client of the platform's object API.
//!
//! - `GET /objects/KEY` reads an object and returns its version in `etag`.
//! - `PUT /objects/KEY` writes an object under `if-match: VERSION` or `if-none-match: *`.
//! - `GET /watch?prefix=&after=&wait_ms=` waits for changes and returns them as JSON.
//! - `GET /members` returns the list of boxes and upstreams with an `etag`.
//!
//! Each answer contains the platform's epoch in `platform-epoch`, if the platform counts epochs.

use crate::api::{Changes, Expect, Object, Platform, PlatformError};
use crate::encode;
use crate::epoch::{KnownEpoch, outdated, same_epoch};
use async_trait::async_trait;
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use honeypulley_policy::revision::Revision;
use parking_lot::Mutex;
use reqwest::header::{self, HeaderValue};
use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time-out of a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Header with the platform's epoch.
pub const EPOCH: &str = "platform-epoch";

/// An object in the JSON answer of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Key of the object.
    pub key: String,
    /// Content of the object in base64.
    pub value: String,
    /// Version of the object.
    pub version: u64,
}

/// JSON answer of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireChanges {
    /// Version up to which the changes are complete.
    pub version: u64,
    /// Changed objects.
    pub objects: Vec<WireObject>,
}

/// HTTP client of the platform's object API.
#[derive(Debug)]
pub struct HttpPlatform {
    base: String,
    client: Client,
    /// Last list of members with its entity tag, which avoids transferring an unchanged list.
    members: Mutex<Option<(HeaderValue, Bytes)>>,
    epoch: KnownEpoch,
}

impl HttpPlatform {
    /// Creates a client for the platform at `addr`, an IP address and port.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(addr: &str) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .map_err(|e| unavailable(addr, "set up", &e))?;
        Ok(Self {
            base: format!("http://{addr}"),
            client,
            members: Mutex::new(None),
            epoch: KnownEpoch::default(),
        })
    }

    /// Returns the URL of an object.
    fn url(&self, step: &'static str, key: &str) -> Result<String, PlatformError> {
        let path = encode::path(key).ok_or_else(|| PlatformError::Unavailable {
            peer: self.base.clone(),
            step,
            cause: format!("no URL can hold the key {key:?}"),
        })?;
        Ok(format!("{}/objects/{path}", self.base))
    }

    /// Classifies a failed call.
    ///
    /// Only a connection error guarantees that the call had no effect.
    fn call_error(&self, step: &'static str, e: &reqwest::Error) -> PlatformError {
        if e.is_connect() {
            return unavailable(&self.base, step, e);
        }
        PlatformError::Unknown { peer: self.base.clone(), step, cause: root_cause(e) }
    }

    /// Classifies an unexpected status.
    ///
    /// Only 503 and 429 guarantee that the call had no effect.
    fn status_error(&self, step: &'static str, status: StatusCode) -> PlatformError {
        let (peer, cause) = (self.base.clone(), format!("status {status}"));
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return PlatformError::Unavailable { peer, step, cause };
        }
        PlatformError::Unknown { peer, step, cause }
    }

    async fn read(
        &self,
        step: &'static str,
        url: String,
        timeout: Duration,
    ) -> Result<(Response, u64), PlatformError> {
        let sent = self.client.get(url).timeout(timeout).send().await;
        let answer = sent.map_err(|e| self.call_error(step, &e))?;
        let epoch = self.place(step, &answer)?;
        Ok((answer, epoch))
    }

    /// Returns the epoch of an answer and records it.
    fn place(&self, step: &'static str, answer: &Response) -> Result<u64, PlatformError> {
        let header = answer.headers().get(EPOCH).map(HeaderValue::as_bytes);
        self.epoch.place(&self.base, step, header)
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let (answer, epoch) = self.read("read", self.url("read", key)?, CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            other => return Err(self.status_error("read", other)),
        }
        let version = Revision::new(epoch, etag(&answer));
        let value = answer.bytes().await.map_err(|e| self.call_error("read", &e))?;
        Ok(Some(Object { key: key.to_owned(), value, version }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        let request = self.client.put(self.url("write", key)?).timeout(CALL_TIMEOUT).body(value);
        let request = match expect {
            Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(v) if v.epoch < self.epoch.get() => return Err(outdated(key)),
            Expect::Version(v) => request.header(header::IF_MATCH, v.number.to_string()),
        };
        let answer = request.send().await.map_err(|e| self.call_error("write", &e))?;
        let epoch = self.place("write", &answer)?;
        let version = Revision::new(epoch, etag(&answer));
        match answer.status() {
            StatusCode::OK => {
                // After a restore, the same version number may belong to another write.
                if let Expect::Version(v) = expect {
                    same_epoch(&self.base, "write", v.epoch, epoch)?;
                }
                Ok(version)
            }
            StatusCode::PRECONDITION_FAILED => {
                Err(PlatformError::Conflict { key: key.to_owned(), current: version })
            }
            other => Err(self.status_error("write", other)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let (ms, number) = (wait.as_millis(), after.number);
        let prefix = encode::query_value(prefix);
        let url = format!("{}/watch?prefix={prefix}&after={number}&wait_ms={ms}", self.base);
        if number > 0 && after.epoch < self.epoch.get() {
            same_epoch(&self.base, "watch", after.epoch, self.epoch.get())?;
        }
        let (answer, epoch) = self.read("watch", url, wait + CALL_TIMEOUT).await?;
        if number > 0 {
            same_epoch(&self.base, "watch", after.epoch, epoch)?;
        }
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::GONE => {
                return Err(PlatformError::Compacted { peer: self.base.clone(), after });
            }
            other => return Err(self.status_error("watch", other)),
        }
        let wire: WireChanges = answer.json().await.map_err(|e| self.call_error("watch", &e))?;
        let decode = |o: WireObject| {
            let value = BASE64.decode(&o.value).ok()?.into();
            Some(Object { key: o.key, value, version: Revision::new(epoch, o.version) })
        };
        let objects = wire.objects.into_iter().filter_map(decode).collect();
        let version = Revision::new(epoch, wire.version);
        Ok(Changes { version, objects, removed: Vec::new() })
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    async fn members(&self) -> Result<Bytes, PlatformError> {
        let cached = self.members.lock().clone();
        let mut request = self.client.get(format!("{}/members", self.base)).timeout(CALL_TIMEOUT);
        if let Some((tag, _)) = &cached {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let answer = request.send().await.map_err(|e| self.call_error("list", &e))?;
        match (answer.status(), cached) {
            (StatusCode::OK, _) => {}
            (StatusCode::NOT_MODIFIED, Some((_, json))) => return Ok(json),
            (other, _) => return Err(self.status_error("list", other)),
        }
        let tag = answer.headers().get(header::ETAG).cloned();
        let json = answer.bytes().await.map_err(|e| self.call_error("list", &e))?;
        *self.members.lock() = tag.map(|t| (t, json.clone()));
        Ok(json)
    }
}

fn etag(answer: &Response) -> u64 {
    let text = answer.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
    text.and_then(|t| t.trim_matches('"').parse().ok()).unwrap_or(0)
}

fn unavailable(peer: &str, step: &'static str, e: &reqwest::Error) -> PlatformError {
    PlatformError::Unavailable { peer: peer.to_owned(), step, cause: root_cause(e) }
}

/// Returns the innermost error, which is the most specific one.
fn root_cause(e: &reqwest::Error) -> String {
    let mut e: &dyn std::error::Error = e;
    while let Some(inner) = e.source() {
        e = inner;
    }
    e.to_string()
}
