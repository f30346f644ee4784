//! RPC server that answers the calls of peers and operators.

use crate::key::FleetKey;
use crate::list_page::{BoxAnswer, ListPage, compress_boxes, compress_entries};
use crate::listing::{Entry, write_boxes, write_entries};
use crate::peer_capnp::{gate, peer};
use bytes::Bytes;
use capnp::Error;
use capnp::capability::Rc;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use futures::future::LocalBoxFuture;
use honeypulley_bundle::parts::{Digest, Manifest};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Debug;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

/// Maximum number of parts returned by one call.
pub const MAX_PARTS: u32 = 64;

/// Maximum size of a call in words of eight bytes; the longest names 64 digests.
///
/// The memory for a call is allocated by its announced size, before a login.
const MAX_CALL_WORDS: usize = 4_096;

/// Maximum number of connections without a login.
const MAX_STRANGERS: usize = 512;

/// Maximum time until a login.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Maximum time for which a request for a newer routing table is delayed.
///
/// Well above the time that clients wait; it bounds how long a peer can keep a call open.
pub const MAX_TABLE_WAIT: Duration = Duration::from_secs(2);

/// Permits as cached by a box.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldPermits {
    /// Revision up to which the permits are complete.
    pub version: Revision,
    /// Time since the platform last confirmed the permits, if it ever did.
    pub age: Option<Duration>,
    /// All permit records as JSON.
    pub json: Bytes,
}

/// A value of the platform as cached by a box.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Revision up to which the value is complete, zero if nothing is cached.
    pub version: Revision,
    /// Cached value.
    pub value: T,
}

/// The list of upstreams of a box, or its changes after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PulledList {
    /// Revision up to which the list is complete, zero if there is nothing newer.
    pub version: Revision,
    /// Revision after which the entries are all changes; `None` if they are the whole list.
    pub since: Option<Revision>,
    /// Entries of the list.
    pub entries: Vec<Entry>,
}

/// Data that a box serves to peers and operators.
///
/// The default implementations return empty values, which represent missing data.
pub trait PeerView: Debug {
    /// Returns the head of the newest accepted bundle as JSON, empty if there is none.
    fn head(&self) -> Bytes {
        Bytes::new()
    }
    /// Returns the manifest of the newest accepted bundle.
    fn manifest(&self) -> Option<Manifest> {
        None
    }
    /// Returns a cached earlier manifest by its digest.
    fn remembered(&self, _: &Digest) -> Option<Manifest> {
        None
    }
    /// Returns the text of a part by its digest.
    fn part(&self, _: &Digest) -> Option<Bytes> {
        None
    }
    /// Returns the cached permits.
    fn permits(&self) -> HeldPermits {
        HeldPermits::default()
    }
    /// Returns the box's status as JSON.
    fn status(&self) -> Bytes {
        Bytes::new()
    }
    /// Returns the platform's roster as last received, as JSON; empty if it never was.
    fn roster(&self) -> Bytes {
        Bytes::new()
    }
    /// Waits until the routing table has at least this version.
    fn table_reached(&self, _: u64) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
    /// Returns the routing table in the platform's encoding.
    fn table(&self) -> Versioned<Bytes> {
        Versioned::default()
    }
    /// Returns the list of upstreams, or its changes after a revision that is not zero.
    fn upstreams(&self, _: Revision) -> PulledList {
        PulledList::default()
    }
    /// Returns the page of the list of upstreams that follows a name.
    ///
    /// Returns `None` if there is no list, or no capacity for another transfer. Further pages of an
    /// admitted transfer (`is_admitted`) need no capacity.
    fn list_page(&self, _after: &str, _is_admitted: bool) -> Option<ListPage> {
        None
    }
    /// Returns the page of the address book that follows an id, or a few addresses.
    ///
    /// Further pages of an admitted transfer (`is_admitted`) need no capacity.
    fn box_page(&self, _after: NameId, _is_admitted: bool) -> BoxAnswer {
        BoxAnswer::Sample { is_known: false, boxes: Vec::new() }
    }
}

/// Serves a connection until it closes.
///
/// # Errors
/// Returns an error unless the connection is closed normally.
pub async fn serve(stream: TcpStream, key: FleetKey, view: Rc<dyn PeerView>) -> Result<(), Error> {
    serve_with_login(stream, key, view, CancellationToken::new()).await
}

/// Serves a connection until it closes, and cancels `login` once the peer has logged in.
async fn serve_with_login(
    stream: TcpStream,
    key: FleetKey,
    view: Rc<dyn PeerView>,
    login: CancellationToken,
) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_CALL_WORDS));
    let network = VatNetwork::new(reader, writer, Side::Server, options);
    let gate = GateServer { key, view, nonce: RefCell::new(None), login };
    let client: gate::Client = capnp_rpc::new_client(gate);
    RpcSystem::new(Box::new(network), Some(client.client)).await
}

/// Accepts connections and serves each on its own task.
///
/// A connection without a login is closed after a few seconds, or earlier if there are many.
///
/// # Errors
/// Never returns: an error of one connection, or a lack of descriptors, passes.
pub async fn accept_on(
    listener: &TcpListener,
    key: &FleetKey,
    view: &Rc<dyn PeerView>,
) -> std::io::Result<()> {
    let mut strangers = VecDeque::new();
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("peer: a connection was not accepted: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        strangers.retain(|s: &Stranger| !s.is_settled());
        if strangers.len() >= MAX_STRANGERS
            && let Some(oldest) = strangers.pop_front()
        {
            oldest.closed.cancel();
        }
        let stranger = Stranger::default();
        strangers.push_back(stranger.clone());
        let (key, view) = (key.clone(), Rc::clone(view));
        spawn_local(async move {
            let login = stranger.login.clone();
            tokio::select! {
                result = serve_with_login(stream, key, view, login) => {
                    if let Err(e) = result {
                        log::debug!(peer:display = from; "peer: {from}: {e}");
                    }
                }
                () = stranger.wait_rejected() => {
                    log::debug!(peer:display = from; "peer: {from} closed without a login");
                }
            }
            stranger.closed.cancel();
        });
    }
}

/// A connection that has to log in.
#[derive(Clone, Debug, Default)]
struct Stranger {
    /// Cancelled once the peer has logged in.
    login: CancellationToken,
    /// Cancelled to close the connection before a login, and once it is closed.
    closed: CancellationToken,
}

impl Stranger {
    /// Returns whether the peer has logged in or the connection is closed.
    fn is_settled(&self) -> bool {
        self.login.is_cancelled() || self.closed.is_cancelled()
    }

    /// Returns once the connection is to be closed for lack of a login.
    async fn wait_rejected(&self) {
        tokio::select! {
            () = self.login.cancelled() => std::future::pending().await,
            () = self.closed.cancelled() => {}
            () = tokio::time::sleep(LOGIN_TIMEOUT) => {}
        }
    }
}

/// Serves unauthenticated connections: a login returns the authenticated interface.
struct GateServer {
    key: FleetKey,
    view: Rc<dyn PeerView>,
    nonce: RefCell<Option<[u8; 32]>>,
    /// Cancelled by a login.
    login: CancellationToken,
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        let nonce: [u8; 32] = rand::random();
        results.get().set_nonce(&nonce);
        *self.nonce.borrow_mut() = Some(nonce);
        Ok(())
    }

    async fn login(
        self: Rc<Self>,
        params: gate::LoginParams,
        mut results: gate::LoginResults,
    ) -> Result<(), Error> {
        // A nonce is consumed by one login attempt, whether it succeeds or fails.
        let nonce = self.nonce.borrow_mut().take();
        let proof = params.get()?.get_proof()?;
        if !nonce.is_some_and(|n| self.key.check(&n, proof)) {
            return Err(Error::failed("login refused: the fleet keys differ".to_owned()));
        }
        self.login.cancel();
        let server = PeerServer { view: Rc::clone(&self.view), has_transfer: Cell::new(false) };
        results.get().set_peer(capnp_rpc::new_client(server));
        Ok(())
    }
}

/// Serves authenticated peers from a [`PeerView`].
struct PeerServer {
    view: Rc<dyn PeerView>,
    /// Whether a transfer of the list over this connection has been admitted.
    has_transfer: Cell<bool>,
}

impl peer::Server for PeerServer {
    async fn head(
        self: Rc<Self>,
        _: peer::HeadParams,
        mut r: peer::HeadResults,
    ) -> Result<(), Error> {
        r.get().set_json(&self.view.head());
        Ok(())
    }

    async fn manifest(
        self: Rc<Self>,
        params: peer::ManifestParams,
        mut results: peer::ManifestResults,
    ) -> Result<(), Error> {
        let Some(current) = self.view.manifest() else { return Ok(()) };
        let have = Digest::from_slice(params.get()?.get_have()?);
        let old = have.and_then(|d| self.view.remembered(&d));
        match old.and_then(|o| current.changes_from(&o)) {
            None => results.get().set_full(&current.to_bytes()),
            Some(changes) => {
                let mut list = results.get().init_changes(changes.len() as u32);
                for (i, (bucket, digest)) in changes.iter().enumerate() {
                    let mut row = list.reborrow().get(i as u32);
                    row.set_bucket(*bucket as u32);
                    row.set_digest(digest.as_bytes());
                }
            }
        }
        Ok(())
    }

    async fn parts(
        self: Rc<Self>,
        params: peer::PartsParams,
        mut results: peer::PartsResults,
    ) -> Result<(), Error> {
        let digests = params.get()?.get_digests()?;
        let n = digests.len().min(MAX_PARTS);
        let mut list = results.get().init_parts(n);
        for i in 0..n {
            let part = Digest::from_slice(digests.get(i)?).and_then(|d| self.view.part(&d));
            list.set(i, &part.unwrap_or_default());
        }
        Ok(())
    }

    async fn permits(
        self: Rc<Self>,
        _: peer::PermitsParams,
        mut results: peer::PermitsResults,
    ) -> Result<(), Error> {
        let cached = self.view.permits();
        let mut r = results.get();
        r.set_version(cached.version.number);
        r.set_epoch(cached.version.epoch);
        r.set_confirmed(cached.age.is_some());
        r.set_age_ms(cached.age.map_or(0, |a| a.as_millis() as u32 + 1));
        r.set_json(&cached.json);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: peer::StatusParams,
        mut r: peer::StatusResults,
    ) -> Result<(), Error> {
        r.get().set_json(&self.view.status());
        Ok(())
    }

    async fn roster(
        self: Rc<Self>,
        _: peer::RosterParams,
        mut r: peer::RosterResults,
    ) -> Result<(), Error> {
        r.get().set_json(&self.view.roster());
        Ok(())
    }

    async fn table(
        self: Rc<Self>,
        params: peer::TableParams,
        mut results: peer::TableResults,
    ) -> Result<(), Error> {
        let request = params.get()?;
        let wait = Duration::from_millis(request.get_wait_ms().into()).min(MAX_TABLE_WAIT);
        // After the time-out the current table is returned; its version shows that it is older.
        let _ = tokio::time::timeout(wait, self.view.table_reached(request.get_number())).await;
        let cached = self.view.table();
        let mut r = results.get();
        r.set_version(cached.version.number);
        r.set_epoch(cached.version.epoch);
        r.set_value(&cached.value);
        Ok(())
    }

    async fn upstreams(
        self: Rc<Self>,
        params: peer::UpstreamsParams,
        mut results: peer::UpstreamsResults,
    ) -> Result<(), Error> {
        let wanted = params.get()?;
        let after = Revision::new(wanted.get_after_epoch(), wanted.get_after());
        let list = self.view.upstreams(after);
        let mut r = results.get();
        r.set_version(list.version.number);
        r.set_epoch(list.version.epoch);
        r.set_partial(list.since.is_some());
        let since = list.since.unwrap_or(Revision::ZERO);
        r.set_since(since.number);
        r.set_since_epoch(since.epoch);
        write_entries(r.init_entries(list.entries.len() as u32), &list.entries);
        Ok(())
    }

    async fn list_page(
        self: Rc<Self>,
        params: peer::ListPageParams,
        mut results: peer::ListPageResults,
    ) -> Result<(), Error> {
        let after = params.get()?.get_after()?.to_str()?;
        let Some(page) = self.view.list_page(after, self.has_transfer.get()) else {
            return Ok(());
        };
        self.has_transfer.set(true);
        let mut r = results.get();
        r.set_found(true);
        r.set_version(page.version.number);
        r.set_epoch(page.version.epoch);
        r.set_stale(page.is_stale);
        r.set_more(page.has_more);
        r.set_entries(&compress_entries(&page.entries));
        Ok(())
    }

    async fn box_page(
        self: Rc<Self>,
        params: peer::BoxPageParams,
        mut results: peer::BoxPageResults,
    ) -> Result<(), Error> {
        let after = NameId(params.get()?.get_after());
        let answer = self.view.box_page(after, self.has_transfer.get());
        let mut r = results.get();
        match answer {
            BoxAnswer::Page(page) => {
                self.has_transfer.set(true);
                r.set_found(true);
                r.set_known(true);
                r.set_more(page.has_more);
                r.set_boxes(&compress_boxes(&page.boxes));
            }
            BoxAnswer::Sample { is_known, boxes } => {
                r.set_known(is_known);
                write_boxes(r.init_sample(boxes.len() as u32), &boxes);
            }
        }
        Ok(())
    }
}
