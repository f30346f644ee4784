//! Updates of the balancer from tables, lists and other boxes, on the serving thread.

use crate::list::ListChange;
use crate::serving::BroadcastBalancer;
use crate::state::Mesh;
use async_trait::async_trait;
use honeypulley_policy::organisations::Organisations;
use honeypulley_policy::time::Time;
use honeypulley_proxy::shared::StateUpdater;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time for which received updates are collected while no request is decided.
///
/// Each wake-up of the serving thread costs more than what it applies.
const BATCH_TIME: Duration = Duration::from_millis(25);

/// Applies tables, lists and updates of other boxes to the policy on the serving thread.
#[derive(Debug)]
pub struct BalancerUpdater {
    /// Shared state of this box.
    pub mesh: Arc<Mesh>,
    /// Balancer and limits.
    pub policy: Arc<Mutex<BroadcastBalancer>>,
}

#[async_trait]
impl StateUpdater for BalancerUpdater {
    async fn run(&self) {
        loop {
            self.apply_updates();
            tokio::select! {
                () = self.mesh.serve_wakeup.notified() => {}
                () = self.collect_updates() => {}
                requester = self.mesh.belief_requests.recv() => {
                    let now = self.mesh.now();
                    let mut policy = self.policy.lock();
                    let mut replies = policy.balancer().retry_sums(now);
                    replies.extend(policy.balancer().belief_snapshot(now));
                    drop(policy);
                    self.mesh.belief_replies.push((requester, replies));
                }
            }
        }
    }
}

impl BalancerUpdater {
    /// Waits for updates of other boxes and applies them in batches.
    async fn collect_updates(&self) {
        self.mesh.updates_in.wait().await;
        tokio::time::sleep(BATCH_TIME).await;
        self.policy.lock().apply_received(self.mesh.now());
    }

    /// Puts a new routing table in force and applies pending changes of the list.
    fn apply_updates(&self) {
        let mut policy = self.policy.lock();
        let now = self.mesh.now();
        // Services come first, so that no route leads to a service that is not set up.
        if let Some(table) = self.mesh.take_next_table() {
            policy.balancer().set_services(&table.services, now);
            let limits = table.organisations.iter().flat_map(Organisations::limits);
            policy.limits().replace_limits(limits);
            let ranked = table.services.iter().filter(|s| s.mix.is_ranked()).count();
            let mixed = table.services.iter().filter(|s| s.mix.is_mixed()).count();
            log::info!(
                version = table.version, ranked, mixed;
                "table: version {} is in force", table.version
            );
            let is_ranked =
                |name: &str| table.services.iter().any(|s| s.name == name && s.mix.is_ranked());
            self.mesh.admission.lock().retain(is_ranked);
            self.mesh.in_force.store(Some(table));
        }
        let listed = self.mesh.list_known.load(Ordering::Acquire) && self.mesh.knows_evacuations();
        if let Some(halls) = self.mesh.take_evacuations() {
            policy.balancer().set_evacuated(halls);
        }
        for change in self.mesh.take_list_changes() {
            match change {
                ListChange::Set(l) => policy.balancer().set_upstream(l, now),
                ListChange::Gone(name) => policy.balancer().remove_upstream(&name),
            }
        }
        policy.apply_received(now);
        if listed
            && !self.mesh.startup.is_complete()
            && self.mesh.in_force.load().is_some()
            && self.mesh.startup.mark_complete()
        {
            self.log_startup();
        }
    }

    /// Logs how this box obtained what it needs to serve, and what that cost.
    fn log_startup(&self) {
        let load = self.mesh.startup.list_load();
        let took_ms = self.mesh.now().since(Time::ZERO).as_millis() as u64;
        log::info!(
            took_ms, cpu_ms = self.mesh.startup.cpu_time().as_millis() as u64,
            boxes = self.mesh.address_book().count(), upstreams = self.mesh.upstreams(),
            pages = load.pages, fruitless_pulls = load.fruitless_pulls,
            failed_pulls = load.failed_pulls, reads = load.reads, failed_reads = load.failed_reads;
            "startup: table and list are in force"
        );
    }
}
