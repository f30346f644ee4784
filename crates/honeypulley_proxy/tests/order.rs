//! Tests that the serving thread never returns to an older bundle.

use cadence::{NopMetricSink, StatsdClient};
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::keeper::InForce;
use honeypulley_bundle::model::Bundle;
use honeypulley_bundle::sign::Signer;
use honeypulley_policy::router::Router;
use honeypulley_proxy::fingerprint::Fingerprinter;
use honeypulley_proxy::shared::{BundleState, ServingQueues};
use honeypulley_supervisor::clock::Clock;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

fn in_force(version: u64) -> Arc<InForce> {
    let text = format!(
        "[service s{version}]\nfloor = 1\nrepeat = reads\ndeadline = 2s\n[routes]\nx.example/ = s{version}\n"
    );
    let (bundle, split) = Bundle::read("f.ini", &text).expect("the bundle is valid");
    let manifest = split.manifest.digest();
    let signature = Signer::from_secret("alice", &[1; 32]).sign(&manifest);
    let rollout = format!("r{version}");
    let head = Head { version: Version(version), rollout, manifest, signature, past: Vec::new() };
    Arc::new(InForce { head, manifest: split.manifest, bundle, parts: HashMap::new() })
}

#[tokio::test(start_paused = true)]
async fn an_older_bundle_queued_after_a_newer_one_is_ignored() {
    // Two duties may push two versions in the wrong order.
    let metrics = Arc::new(StatsdClient::from_sink("test", NopMetricSink));
    let router = Router::new("b", "h", 7);
    let shared = Arc::new(
        BundleState::new(
            router,
            ServingQueues::default(),
            Clock::start(),
            metrics,
            None,
            Fingerprinter::new([0; 32]),
        )
        .expect("the client can be built"),
    );
    shared.feed.bundles.push(in_force(2));
    shared.feed.bundles.push(in_force(1));
    let running = shared.run();
    let _ = tokio::time::timeout(Duration::from_millis(50), running).await;
    assert_eq!(shared.version(), Version(2));
    assert!(shared.router.lock().service("s2").is_some());
    assert!(shared.router.lock().service("s1").is_none());
}
