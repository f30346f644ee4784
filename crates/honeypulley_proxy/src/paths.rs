//! Checks whether this box still reaches the upstreams of a service.

use crate::gate::{CONNECT_TIMEOUT, ProxyState};
use crate::liveness::connect;
use futures::stream::{FuturesUnordered, StreamExt};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{ServiceKey, UpstreamKey};
use honeypulley_policy::time::Time;
use std::sync::Arc;

/// Number of upstreams to which a check connects at once.
///
/// More than one, since some of them may have crashed.
const CHECKED_UPSTREAMS: usize = 3;

/// A service whose paths are checked.
#[derive(Clone, Copy, Debug)]
pub struct CheckedService {
    /// Key in the policy.
    pub key: ServiceKey,
    /// Identifier in announcements.
    pub id: NameId,
}

/// Returns whether a partition of this box explains a failed exchange with `failed`.
///
/// The attempt began at `began`. A service without other upstreams gives no evidence of a partition.
pub async fn explains_failure(
    gate: &Arc<ProxyState>,
    service: CheckedService,
    failed: UpstreamKey,
    began: Time,
) -> bool {
    if gate.paths.lock().has_contact_since(service.id, began) {
        return false;
    }
    match accepts_connection(gate, service.key, Some(failed)).await {
        Some(true) => record_contact(gate, service),
        Some(false) => record_partition(gate, service),
        None => return false,
    }
    gate.paths.lock().is_partitioned(service.id)
}

/// Checks the paths of a partitioned box in the background, unless that was done recently.
pub fn recheck(gate: &Arc<ProxyState>, service: CheckedService) {
    if !gate.paths.lock().begin_check(service.id, gate.now()) {
        return;
    }
    let gate = Arc::clone(gate);
    tokio::spawn(async move {
        match accepts_connection(&gate, service.key, None).await {
            Some(false) => record_partition(&gate, service),
            // Without upstreams to check, the next request shows whether there is a path.
            Some(true) | None => record_contact(&gate, service),
        }
    });
}

/// Records that an upstream of a service accepted a connection.
pub fn record_contact(gate: &ProxyState, service: CheckedService) {
    let is_recovered = gate.paths.lock().record_contact(service.id, gate.now());
    if is_recovered {
        let name = name_of(gate, service);
        log::info!(service = name.as_str(); "path: {name} is reachable again");
        announce(gate, service, false);
    }
}

fn record_partition(gate: &ProxyState, service: CheckedService) {
    let is_new = gate.paths.lock().record_partition(service.id, gate.now());
    if is_new {
        gate.count("partitions");
        let name = name_of(gate, service);
        log::warn!(service = name.as_str(); "path: no upstream of {name} is reachable from this box");
    }
    announce(gate, service, true);
}

fn announce(gate: &ProxyState, service: CheckedService, is_partitioned: bool) {
    if let Some(relays) = &gate.relays {
        relays.peers.announce(service.id, is_partitioned);
    }
}

fn name_of(gate: &ProxyState, service: CheckedService) -> String {
    let policy = gate.policy.lock();
    policy.service_name(service.key).map_or_else(|| "a removed service".to_owned(), str::to_owned)
}

/// Returns whether one of some upstreams accepts a connection, or `None` if there are none.
async fn accepts_connection(
    gate: &ProxyState,
    service: ServiceKey,
    failed: Option<UpstreamKey>,
) -> Option<bool> {
    let addrs = gate.policy.lock().sample(service, failed, CHECKED_UPSTREAMS);
    if addrs.is_empty() {
        return None;
    }
    let mut open: FuturesUnordered<_> =
        addrs.iter().map(|a| connect(a, gate.source, CONNECT_TIMEOUT)).collect();
    while let Some(connected) = open.next().await {
        if connected.is_ok() {
            return Some(true);
        }
    }
    Some(false)
}
