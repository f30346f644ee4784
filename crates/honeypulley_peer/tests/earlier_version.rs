//! Pulls from a peer of an earlier version, which knows no pages.

use capnp::Error;
use capnp::capability::Rc;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::AsyncReadExt;
use honeypulley_peer::client::PeerClient;
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::list_page::BoxAnswer;
use honeypulley_peer::peer_capnp::{gate, peer};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::revision::Revision;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// A peer that sends its list only as a whole.
struct EarlierPeer;

impl peer::Server for EarlierPeer {
    async fn upstreams(
        self: Rc<Self>,
        _: peer::UpstreamsParams,
        mut results: peer::UpstreamsResults,
    ) -> Result<(), Error> {
        let mut r = results.get();
        r.set_version(9);
        r.set_epoch(1);
        let mut entry = r.init_entries(1).get(0);
        entry.set_name("u0");
        entry.set_gone(true);
        Ok(())
    }
}

struct OpenGate;

impl gate::Server for OpenGate {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        _: gate::ChallengeResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn login(
        self: Rc<Self>,
        _: gate::LoginParams,
        mut results: gate::LoginResults,
    ) -> Result<(), Error> {
        results.get().set_peer(capnp_rpc::new_client(EarlierPeer));
        Ok(())
    }
}

/// Guards against boxes that get no list while a fleet is being upgraded.
#[tokio::test]
async fn a_peer_of_an_earlier_version_sends_its_whole_list() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener.local_addr().expect("the socket is bound");
            tokio::task::spawn_local(async move {
                let (stream, _) = listener.accept().await.expect("the client connects");
                let (reader, writer) = stream.compat().split();
                let options = capnp::message::ReaderOptions::new();
                let network = VatNetwork::new(reader, writer, Side::Server, options);
                let client: gate::Client = capnp_rpc::new_client(OpenGate);
                RpcSystem::new(Box::new(network), Some(client.client)).await
            });
            let key = FleetKey::derive("a-key-of-the-tests-alone");
            let peer = PeerClient::connect(addr, &key).await.expect("the peer accepts");
            let page = peer.list_page("").await.expect("the peer answers").expect("it has a list");
            assert_eq!((page.version, page.has_more), (Revision::new(1, 9), false));
            assert_eq!(page.entries.len(), 1);
            assert_eq!(peer.list_page("u0").await.expect("the peer answers"), None);
            let book = peer.box_page(NameId(0)).await.expect("the peer answers");
            assert_eq!(book, BoxAnswer::Sample { is_known: false, boxes: Vec::new() });
        })
        .await;
}
