//! The side that answers pulls.

use crate::key::FleetKey;
use crate::listing::{Entry, write_entries};
use crate::peer_capnp::{gate, peer};
use bytes::Bytes;
use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use futures::future::LocalBoxFuture;
use honeypulley_bundle::parts::{Digest, Manifest};
use honeypulley_policy::revision::Revision;
use std::cell::RefCell;
use std::fmt::Debug;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Parts given out in one call.
pub const MAX_PARTS: u32 = 64;

/// Longest time for which a box that asks for a newer table is kept waiting.
///
/// Far above what the asker itself waits for; it bounds what a peer can hold open.
pub const MAX_TABLE_WAIT: Duration = Duration::from_secs(2);

/// Permits as a box holds them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldPermits {
    /// Position they are complete up to.
    pub version: Revision,
    /// Age of the platform's last confirmation, if there was one.
    pub age: Option<Duration>,
    /// All records as JSON.
    pub json: Bytes,
}

/// Something of the platform's, as a box holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held<T> {
    /// Position it is complete up to, zero if it holds nothing.
    pub version: Revision,
    /// What is held.
    pub value: T,
}

/// What a box shows to its peers and operators.
///
/// What a box does not have, it shows as empty, which is the default.
pub trait PeerView: Debug {
    /// Returns the head in force as JSON, empty if there is none.
    fn head(&self) -> Bytes {
        Bytes::new()
    }
    /// Returns the manifest in force.
    fn manifest(&self) -> Option<Manifest> {
        None
    }
    /// Returns an earlier manifest that is still remembered.
    fn remembered(&self, _: &Digest) -> Option<Manifest> {
        None
    }
    /// Returns a part.
    fn part(&self, _: &Digest) -> Option<Bytes> {
        None
    }
    /// Returns the permits held.
    fn permits(&self) -> HeldPermits {
        HeldPermits::default()
    }
    /// Returns the box's status as JSON.
    fn status(&self) -> Bytes {
        Bytes::new()
    }
    /// Returns the platform's list as last seen, as JSON, empty if it never was.
    fn roster(&self) -> Bytes {
        Bytes::new()
    }
    /// Ends once this box holds a routing table of at least this number.
    fn table_reached(&self, _: u64) -> LocalBoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
    /// Returns the routing table as the platform holds it.
    fn table(&self) -> Held<Bytes> {
        Held::default()
    }
    /// Returns every entry of the list of upstreams.
    fn upstreams(&self) -> Held<Vec<Entry>> {
        Held::default()
    }
}

/// Serves one connection to its end.
///
/// # Errors
/// Returns what ended the connection, if it did not just close.
pub async fn serve(stream: TcpStream, key: FleetKey, view: Rc<dyn PeerView>) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let network =
        VatNetwork::new(reader, writer, Side::Server, capnp::message::ReaderOptions::new());
    let gate = GateServer { key, view, nonce: RefCell::new(None) };
    let client: gate::Client = capnp_rpc::new_client(gate);
    RpcSystem::new(Box::new(network), Some(client.client)).await
}

/// Serves every connection that comes, each to its end.
///
/// # Errors
/// Returns the system's error if no more connections can be taken.
pub async fn accept_on(
    listener: &TcpListener,
    key: &FleetKey,
    view: &Rc<dyn PeerView>,
) -> std::io::Result<()> {
    loop {
        let (stream, from) = listener.accept().await?;
        let (key, view) = (key.clone(), Rc::clone(view));
        spawn_local(async move {
            if let Err(e) = serve(stream, key, view).await {
                log::debug!(peer:display = from; "peer: {from}: {e}");
            }
        });
    }
}

struct GateServer {
    key: FleetKey,
    view: Rc<dyn PeerView>,
    nonce: RefCell<Option<[u8; 32]>>,
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
        // A challenge serves one login, right or wrong.
        let nonce = self.nonce.borrow_mut().take();
        let proof = params.get()?.get_proof()?;
        if !nonce.is_some_and(|n| self.key.check(&n, proof)) {
            return Err(Error::failed("login refused: the fleet keys differ".to_owned()));
        }
        let server = PeerServer { view: Rc::clone(&self.view) };
        results.get().set_peer(capnp_rpc::new_client(server));
        Ok(())
    }
}

struct PeerServer {
    view: Rc<dyn PeerView>,
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
        let Some(now) = self.view.manifest() else { return Ok(()) };
        let have = Digest::from_slice(params.get()?.get_have()?);
        let old = have.and_then(|d| self.view.remembered(&d));
        match old.and_then(|o| now.changes_from(&o)) {
            None => results.get().set_full(&now.to_bytes()),
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
        let held = self.view.permits();
        let mut r = results.get();
        r.set_version(held.version.number);
        r.set_epoch(held.version.epoch);
        r.set_confirmed(held.age.is_some());
        r.set_age_ms(held.age.map_or(0, |a| a.as_millis() as u32 + 1));
        r.set_json(&held.json);
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
        let wanted = params.get()?;
        let wait = Duration::from_millis(wanted.get_wait_ms().into()).min(MAX_TABLE_WAIT);
        // After that time the asker gets what there is, and sees that it is older.
        let _ = tokio::time::timeout(wait, self.view.table_reached(wanted.get_number())).await;
        let held = self.view.table();
        let mut r = results.get();
        r.set_version(held.version.number);
        r.set_epoch(held.version.epoch);
        r.set_value(&held.value);
        Ok(())
    }

    async fn upstreams(
        self: Rc<Self>,
        _: peer::UpstreamsParams,
        mut results: peer::UpstreamsResults,
    ) -> Result<(), Error> {
        let held = self.view.upstreams();
        let mut r = results.get();
        r.set_version(held.version.number);
        r.set_epoch(held.version.epoch);
        write_entries(r.init_entries(held.value.len() as u32), &held.value);
        Ok(())
    }
}
