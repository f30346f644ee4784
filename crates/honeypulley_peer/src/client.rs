//! RPC client that fetches data from a peer.

use crate::key::FleetKey;
use crate::list_page::{BoxAnswer, BoxPage, ListPage, decompress_boxes, decompress_entries};
use crate::listing::{read_boxes, read_entries};
use crate::peer_capnp::{gate, peer};
use crate::server::{HeldPermits, MAX_PARTS, PulledList, Versioned};
use bytes::Bytes;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use honeypulley_bundle::head::Head;
use honeypulley_bundle::parts::{Digest, Manifest};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Time-out of each step: connecting, logging in and each call.
pub const PULL_TIME: Duration = Duration::from_secs(3);

/// Error of a call to a peer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("peer {peer}: {step}: {cause}")]
pub struct PeerError {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Name of the step that failed.
    pub step: &'static str,
    /// Underlying error.
    pub cause: String,
}

/// An authenticated connection to a peer.
///
/// It is bound to one thread and must be used within a `LocalSet`.
pub struct PeerClient {
    addr: SocketAddr,
    peer: peer::Client,
    task: tokio::task::JoinHandle<()>,
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerClient {
    /// Connects to a peer and logs in.
    ///
    /// # Errors
    /// Returns a [`PeerError`] if the peer is unreachable or the fleet keys differ.
    pub async fn connect(addr: SocketAddr, key: &FleetKey) -> Result<Self, PeerError> {
        let stream = with_timeout(addr, "connect", TcpStream::connect(addr)).await?;
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.compat().split();
        let options = capnp::message::ReaderOptions::new();
        let network = Box::new(VatNetwork::new(reader, writer, Side::Client, options));
        let mut system = RpcSystem::new(network, None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(async move {
            let _ = system.await;
        });
        let nonce = with_timeout(addr, "challenge", async {
            let answer = gate.challenge_request().send().promise.await?;
            Ok::<_, capnp::Error>(answer.get()?.get_nonce()?.to_vec())
        });
        let nonce = nonce.await?;
        let peer = with_timeout(addr, "login", async {
            let mut request = gate.login_request();
            request.get().set_proof(&key.prove(&nonce));
            let answer = request.send().promise.await?;
            answer.get()?.get_peer()
        });
        let peer = peer.await?;
        Ok(Self { addr, peer, task })
    }

    /// Returns the head of the peer's newest accepted bundle.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn head(&self) -> Result<Option<Head>, PeerError> {
        let call = async {
            let answer = self.peer.head_request().send().promise.await?;
            Ok::<_, capnp::Error>(answer.get()?.get_json()?.to_vec())
        };
        let json = with_timeout(self.addr, "head", call).await?;
        if json.is_empty() {
            return Ok(None);
        }
        serde_json::from_slice(&json).map(Some).map_err(|e| self.error("head", &e))
    }

    /// Returns the peer's manifest, transferred as changes from `have` if possible.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn manifest(&self, have: Option<&Manifest>) -> Result<Manifest, PeerError> {
        let call = async {
            let mut request = self.peer.manifest_request();
            if let Some(m) = have {
                request.get().set_have(m.digest().as_bytes());
            }
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            if answer.has_full() {
                return Ok(Manifest::from_bytes(answer.get_full()?));
            }
            let mut parts = have.map(|m| m.parts.clone()).unwrap_or_default();
            for change in answer.get_changes()? {
                let slot = parts.get_mut(change.get_bucket() as usize);
                let digest = Digest::from_slice(change.get_digest()?);
                let (Some(slot), Some(digest)) = (slot, digest) else { return Ok(None) };
                *slot = digest;
            }
            Ok::<_, capnp::Error>(Some(Manifest { parts }))
        };
        let manifest = with_timeout(self.addr, "manifest", call).await?;
        manifest.ok_or_else(|| self.error("manifest", &"malformed answer"))
    }

    /// Returns the parts that the peer has, verified by digest.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn parts(&self, wanted: &[Digest]) -> Result<HashMap<Digest, Bytes>, PeerError> {
        let mut found = HashMap::with_capacity(wanted.len());
        for chunk in wanted.chunks(MAX_PARTS as usize) {
            let call = async {
                let mut request = self.peer.parts_request();
                let mut list = request.get().init_digests(chunk.len() as u32);
                for (i, d) in chunk.iter().enumerate() {
                    list.set(i as u32, d.as_bytes());
                }
                let answer = request.send().promise.await?;
                let parts = answer.get()?.get_parts()?;
                parts.iter().map(|p| p.map(Bytes::copy_from_slice)).collect::<Result<Vec<_>, _>>()
            };
            let parts = with_timeout(self.addr, "parts", call).await?;
            let verified = chunk.iter().zip(parts).filter(|(d, p)| Digest::of(p) == **d);
            found.extend(verified.map(|(d, p)| (*d, p)));
        }
        Ok(found)
    }

    /// Returns the permits that the peer has cached.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn permits(&self) -> Result<HeldPermits, PeerError> {
        let call = async {
            let answer = self.peer.permits_request().send().promise.await?;
            let r = answer.get()?;
            let age = r.get_confirmed().then(|| Duration::from_millis(r.get_age_ms().into()));
            let json = Bytes::copy_from_slice(r.get_json()?);
            let version = Revision::new(r.get_epoch(), r.get_version());
            Ok::<_, capnp::Error>(HeldPermits { version, age, json })
        };
        with_timeout(self.addr, "permits", call).await
    }

    /// Returns the peer's status as JSON.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn status(&self) -> Result<Bytes, PeerError> {
        let call = async {
            let answer = self.peer.status_request().send().promise.await?;
            Ok::<_, capnp::Error>(Bytes::copy_from_slice(answer.get()?.get_json()?))
        };
        with_timeout(self.addr, "status", call).await
    }

    /// Returns the platform's roster as last received by the peer, as JSON; empty if it never was.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn roster(&self) -> Result<Bytes, PeerError> {
        let call = async {
            let answer = self.peer.roster_request().send().promise.await?;
            Ok::<_, capnp::Error>(Bytes::copy_from_slice(answer.get()?.get_json()?))
        };
        with_timeout(self.addr, "roster", call).await
    }

    /// Returns the peer's routing table.
    ///
    /// The peer delays its answer by up to `wait` until its table has at least the version
    /// `number`.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn table(&self, number: u64, wait: Duration) -> Result<Versioned<Bytes>, PeerError> {
        let call = async {
            let mut request = self.peer.table_request();
            request.get().set_number(number);
            request.get().set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            let answer = request.send().promise.await?;
            let r = answer.get()?;
            let value = Bytes::copy_from_slice(r.get_value()?);
            let version = Revision::new(r.get_epoch(), r.get_version());
            Ok::<_, capnp::Error>(Versioned { version, value })
        };
        with_timeout(self.addr, "table", call).await
    }

    /// Returns the peer's list of upstreams, or its changes after a revision that is not zero.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn upstreams(&self, after: Revision) -> Result<PulledList, PeerError> {
        let call = async {
            let mut request = self.peer.upstreams_request();
            request.get().set_after(after.number);
            request.get().set_after_epoch(after.epoch);
            let answer = request.send().promise.await?;
            let r = answer.get()?;
            let entries = read_entries(r.get_entries()?)?;
            let version = Revision::new(r.get_epoch(), r.get_version());
            let since = Revision::new(r.get_since_epoch(), r.get_since());
            let since = r.get_partial().then_some(since);
            Ok::<_, capnp::Error>(PulledList { version, since, entries })
        };
        with_timeout(self.addr, "upstreams", call).await
    }

    /// Returns the page of the peer's list of upstreams that follows a name.
    ///
    /// Returns `None` if the peer has no list, or no capacity for a transfer. A peer of an earlier
    /// version sends its whole list as the first page.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn list_page(&self, after: &str) -> Result<Option<ListPage>, PeerError> {
        let call = async {
            let mut request = self.peer.list_page_request();
            request.get().set_after(after);
            let Some(answer) = supported(request.send().promise.await)? else {
                return Ok(PageAnswer::Unsupported);
            };
            let r = answer.get()?;
            if !r.get_found() {
                return Ok(PageAnswer::None);
            }
            Ok::<_, capnp::Error>(PageAnswer::Page(ListPage {
                version: Revision::new(r.get_epoch(), r.get_version()),
                is_stale: r.get_stale(),
                has_more: r.get_more(),
                entries: decompress_entries(r.get_entries()?)?,
            }))
        };
        let page = match with_timeout(self.addr, "list page", call).await? {
            PageAnswer::Page(page) => Some(page),
            PageAnswer::Unsupported if after.is_empty() => self.whole_list().await?,
            PageAnswer::Unsupported | PageAnswer::None => None,
        };
        match page {
            // The next page would begin at the same name again.
            Some(p) if p.has_more && p.entries.is_empty() => {
                Err(self.error("list page", &"an empty page is not the last"))
            }
            page => Ok(page),
        }
    }

    /// Returns the page of the peer's address book that follows an id, or a few addresses.
    ///
    /// # Errors
    /// Returns a [`PeerError`] on a time-out or a malformed answer.
    pub async fn box_page(&self, after: NameId) -> Result<BoxAnswer, PeerError> {
        let call = async {
            let mut request = self.peer.box_page_request();
            request.get().set_after(after.0);
            let Some(answer) = supported(request.send().promise.await)? else {
                return Ok(BoxAnswer::Sample { is_known: false, boxes: Vec::new() });
            };
            let r = answer.get()?;
            if !r.get_found() {
                let boxes = read_boxes(r.get_sample()?)?;
                return Ok(BoxAnswer::Sample { is_known: r.get_known(), boxes });
            }
            let page = BoxPage { has_more: r.get_more(), boxes: decompress_boxes(r.get_boxes()?)? };
            Ok::<_, capnp::Error>(BoxAnswer::Page(page))
        };
        match with_timeout(self.addr, "box page", call).await? {
            BoxAnswer::Page(p) if p.has_more && p.boxes.is_empty() => {
                Err(self.error("box page", &"an empty page is not the last"))
            }
            answer => Ok(answer),
        }
    }

    /// Returns the peer's whole list as a single page, if it has one.
    async fn whole_list(&self) -> Result<Option<ListPage>, PeerError> {
        let PulledList { version, entries, .. } = self.upstreams(Revision::ZERO).await?;
        let page = ListPage { version, is_stale: false, has_more: false, entries };
        Ok(Some(page).filter(|p| !p.version.is_zero()))
    }

    fn error(&self, step: &'static str, cause: &dyn fmt::Display) -> PeerError {
        PeerError { peer: self.addr, step, cause: cause.to_string() }
    }
}

/// Answer to a request for a page of the list.
enum PageAnswer {
    Page(ListPage),
    /// The peer has no list, or no capacity.
    None,
    /// The peer's version does not know the call.
    Unsupported,
}

/// Returns the result of a call, or `None` if the peer's version does not know the call.
fn supported<T>(answer: Result<T, capnp::Error>) -> Result<Option<T>, capnp::Error> {
    match answer {
        Err(e) if e.kind == capnp::ErrorKind::Unimplemented => Ok(None),
        answer => answer.map(Some),
    }
}

/// Runs one step with the time-out [`PULL_TIME`].
async fn with_timeout<T, E: fmt::Display>(
    peer: SocketAddr,
    step: &'static str,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, PeerError> {
    match tokio::time::timeout(PULL_TIME, call).await {
        Ok(Ok(v)) => Ok(v),
        Ok(Err(e)) => Err(PeerError { peer, step, cause: e.to_string() }),
        Err(_) => Err(PeerError { peer, step, cause: "timed out".to_owned() }),
    }
}
