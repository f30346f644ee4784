//! The platform's object API over HTTP with JSON.
//!
//! Each answer names the platform's epoch in `platform-epoch`, if the platform counts them.
//!
//! `GET /objects/KEY` reads, with the version in `etag`. `PUT /objects/KEY`
//! writes under `if-match: VERSION` or `if-none-match: *`. `GET
//! /watch?prefix=&after=&wait_ms=` waits. `GET /members` lists, with an `etag`.

use crate::api::{Changes, Expect, Object, Platform, PlatformError};
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

/// Time for one call, beyond what a watch waits.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Header that names the platform's epoch.
pub const EPOCH: &str = "platform-epoch";

/// Object as the watch's JSON carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireObject {
    /// Its key.
    pub key: String,
    /// Its value in base64.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// Answer of a watch as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireChanges {
    /// Version up to which this is complete.
    pub version: u64,
    /// Changed objects.
    pub objects: Vec<WireObject>,
}

/// Client of the platform's object API.
#[derive(Debug)]
pub struct HttpPlatform {
    base: String,
    client: Client,
    /// The list as last read, with its tag: an unchanged one is not moved again.
    listed: Mutex<Option<(HeaderValue, Bytes)>>,
    epoch: KnownEpoch,
}

impl HttpPlatform {
    /// Builds a client for the platform at `addr`, an IP number and port.
    ///
    /// # Errors
    /// Returns an error if the HTTP client can't be set up.
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
            listed: Mutex::new(None),
            epoch: KnownEpoch::default(),
        })
    }

    fn url(&self, key: &str) -> String {
        format!("{}/objects/{key}", self.base)
    }

    /// Sorts a failed call into one that did nothing and one that may have.
    fn lost(&self, step: &'static str, e: &reqwest::Error) -> PlatformError {
        if e.is_connect() {
            return unavailable(&self.base, step, e);
        }
        PlatformError::Unknown { peer: self.base.clone(), step, cause: cause(e) }
    }

    fn refused(&self, step: &'static str, status: StatusCode) -> PlatformError {
        let (peer, cause) = (self.base.clone(), format!("status {status}"));
        // Only these two promise that nothing was done.
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            return PlatformError::Unavailable { peer, step, cause };
        }
        PlatformError::Unknown { peer, step, cause }
    }

    async fn read(
        &self,
        step: &'static str,
        url: String,
        time: Duration,
    ) -> Result<(Response, u64), PlatformError> {
        let sent = self.client.get(url).timeout(time).send().await;
        let answer = sent.map_err(|e| self.lost(step, &e))?;
        let epoch = self.place(step, &answer)?;
        Ok((answer, epoch))
    }

    /// Returns the epoch that an answer belongs to.
    fn place(&self, step: &'static str, answer: &Response) -> Result<u64, PlatformError> {
        let named = answer.headers().get(EPOCH).map(HeaderValue::as_bytes);
        self.epoch.place(&self.base, step, named)
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let (answer, epoch) = self.read("read", self.url(key), CALL_TIME).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            other => return Err(self.refused("read", other)),
        }
        let version = Revision::new(epoch, etag(&answer));
        let value = answer.bytes().await.map_err(|e| self.lost("read", &e))?;
        Ok(Some(Object { key: key.to_owned(), value, version }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<Revision, PlatformError> {
        let request = self.client.put(self.url(key)).timeout(CALL_TIME).body(value);
        let request = match expect {
            Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(v) if v.epoch < self.epoch.get() => return Err(outdated(key)),
            Expect::Version(v) => request.header(header::IF_MATCH, v.number.to_string()),
        };
        let answer = request.send().await.map_err(|e| self.lost("write", &e))?;
        let epoch = self.place("write", &answer)?;
        let version = Revision::new(epoch, etag(&answer));
        match answer.status() {
            StatusCode::OK => {
                // The number of a lost version may be another one's by now.
                if let Expect::Version(v) = expect {
                    same_epoch(&self.base, "write", v.epoch, epoch)?;
                }
                Ok(version)
            }
            StatusCode::PRECONDITION_FAILED => {
                Err(PlatformError::Conflict { key: key.to_owned(), current: version })
            }
            other => Err(self.refused("write", other)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let (ms, number) = (wait.as_millis(), after.number);
        let url = format!("{}/watch?prefix={prefix}&after={number}&wait_ms={ms}", self.base);
        if number > 0 && after.epoch < self.epoch.get() {
            same_epoch(&self.base, "watch", after.epoch, self.epoch.get())?;
        }
        let (answer, epoch) = self.read("watch", url, wait + CALL_TIME).await?;
        if number > 0 {
            same_epoch(&self.base, "watch", after.epoch, epoch)?;
        }
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::GONE => {
                return Err(PlatformError::Compacted { peer: self.base.clone(), after });
            }
            other => return Err(self.refused("watch", other)),
        }
        let wire: WireChanges = answer.json().await.map_err(|e| self.lost("watch", &e))?;
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
        let held = self.listed.lock().clone();
        let mut request = self.client.get(format!("{}/members", self.base)).timeout(CALL_TIME);
        if let Some((tag, _)) = &held {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let answer = request.send().await.map_err(|e| self.lost("list", &e))?;
        match (answer.status(), held) {
            (StatusCode::OK, _) => {}
            (StatusCode::NOT_MODIFIED, Some((_, json))) => return Ok(json),
            (other, _) => return Err(self.refused("list", other)),
        }
        let tag = answer.headers().get(header::ETAG).cloned();
        let json = answer.bytes().await.map_err(|e| self.lost("list", &e))?;
        *self.listed.lock() = tag.map(|t| (t, json.clone()));
        Ok(json)
    }
}

fn etag(answer: &Response) -> u64 {
    let text = answer.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
    text.and_then(|t| t.trim_matches('"').parse().ok()).unwrap_or(0)
}

fn unavailable(peer: &str, step: &'static str, e: &reqwest::Error) -> PlatformError {
    PlatformError::Unavailable { peer: peer.to_owned(), step, cause: cause(e) }
}

/// Returns the innermost cause, which says more than the outermost.
fn cause(e: &reqwest::Error) -> String {
    let mut e: &dyn std::error::Error = e;
    while let Some(inner) = e.source() {
        e = inner;
    }
    e.to_string()
}
