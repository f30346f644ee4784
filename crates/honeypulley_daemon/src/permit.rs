//! Writes the permits that collectors request, and frees the slots of released ones.

use crate::context::{Context, PermitRequest, RequestKind};
use eyre::Result;
use honeypulley_platform::api::Platform;
use honeypulley_platform::permits::{ChangeError, PermitChange, change};
use honeypulley_policy::permits::{CLOCK_MARGIN, FloorContext, LEASE, PermitState};
use honeypulley_policy::placement;
use honeypulley_policy::spec::MemberState;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two searches for slots to free.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for requests that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Backoff after the first failed write; it doubles with each failure and is jittered.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Applies permit requests to the platform.
#[derive(Debug)]
pub struct PermitDuty {
    /// State shared between the duties.
    pub ctx: Arc<Context>,
    /// Client of the platform.
    pub platform: Arc<dyn Platform>,
}

/// First-seen times of releases, by service, upstream and serial.
type Releases = BTreeMap<(String, String, u64), Time>;

/// Latest request for each service and upstream, until it is granted or refused.
type Pending = BTreeMap<(String, String), PendingRequest>;

/// State of a pending request.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    kind: RequestKind,
    due: Time,
    failures: u32,
}

impl Duty for PermitDuty {
    fn name(&self) -> &'static str {
        "permit"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            let (mut seen, mut pending) = (Releases::new(), Pending::new());
            let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
            let mut tick = tokio::time::interval(TICK_INTERVAL);
            loop {
                tokio::select! {
                    () = shutdown.stop.cancelled() => return Ok(()),
                    request = self.ctx.requests.recv() => {
                        // A later request for the same upstream replaces the earlier one.
                        let state = PendingRequest { kind: request.kind, due: self.ctx.now(), failures: 0 };
                        pending.insert((request.service, request.upstream), state);
                    }
                    _ = tick.tick() => self.grant_due(&mut pending).await,
                    _ = sweep.tick() => self.sweep(&mut seen).await,
                }
            }
        })
    }
}

impl PermitDuty {
    async fn grant_due(&self, pending: &mut Pending) {
        let now = self.ctx.now();
        let due: Vec<_> =
            pending.iter().filter(|(_, t)| t.due <= now).map(|(k, t)| (k.clone(), *t)).collect();
        for ((service, upstream), state) in due {
            let request = PermitRequest { service, upstream, kind: state.kind };
            let key = (request.service.clone(), request.upstream.clone());
            if self.try_grant(&request, state.failures).await {
                pending.remove(&key);
                continue;
            }
            let backoff = (INITIAL_BACKOFF * 2u32.pow(state.failures.min(5))).min(MAX_BACKOFF);
            let due = now + backoff.mul_f64(0.5 + fastrand::f64());
            pending.insert(key, PendingRequest { due, failures: state.failures + 1, ..state });
        }
    }

    /// Attempts a request; returns whether it is settled and must not be retried.
    async fn try_grant(&self, request: &PermitRequest, failures: u32) -> bool {
        let Some(operation) = self.change_for(request) else { return true };
        let (service, upstream) = (request.service.as_str(), request.upstream.as_str());
        match change(self.platform.as_ref(), service, upstream, &operation).await {
            Ok(_) => {
                log::info!(service, upstream; "permit: {:?} {upstream} of {service}", request.kind);
                true
            }
            Err(ChangeError::Refused(e)) => {
                log::info!(service, upstream; "permit: {:?} {upstream} refused: {e}", request.kind);
                true
            }
            // After a lost answer or a conflict, the retry reads the record again.
            Err(ChangeError::Platform(e)) => {
                if failures == 0 {
                    log::warn!(service, upstream; "permit: {:?} {upstream} failed, retrying: {e}", request.kind);
                }
                false
            }
        }
    }

    fn change_for(&self, request: &PermitRequest) -> Option<PermitChange> {
        Some(match request.kind {
            RequestKind::Eject => PermitChange::Eject(self.capacity(&request.service)?),
            RequestKind::Canary => PermitChange::Canary,
            RequestKind::Release => PermitChange::Release,
        })
    }

    /// Counts the live upstreams of a service, without those that announced a shutdown.
    fn capacity(&self, service: &str) -> Option<FloorContext> {
        let (roster, f) = (self.ctx.roster()?, self.ctx.bundle()?);
        let spec = f.bundle.services().find(|s| s.name == service)?;
        let listed = roster.service(service).count();
        let rows = self.ctx.shared.upstream_status.load();
        let drained = |name: &str| {
            rows.iter().any(|r| r.service == service && r.upstream == name && r.state == "leaving")
        };
        let live = roster
            .service(service)
            .filter(|m| m.state == MemberState::Live && !drained(&m.name))
            .count();
        Some(FloorContext { live, floor: spec.floor.count(listed) })
    }

    /// Frees slots whose release is older than any lease.
    async fn sweep(&self, seen: &mut Releases) {
        let Some(roster) = self.ctx.roster() else { return };
        let boxes: Vec<&str> = roster.live_boxes().map(|b| b.name.as_str()).collect();
        let now = self.ctx.now();
        let mut due = Vec::new();
        let mut present = Releases::new();
        for (service, record) in self.ctx.permits().view.records {
            let chosen = placement::collectors(&service, boxes.iter().copied());
            if !chosen.contains(&self.ctx.settings.name.as_str()) {
                continue;
            }
            for (upstream, e) in record.entries {
                let listed = roster.service(&service).any(|m| m.name == upstream);
                if e.hold == PermitState::Cooling {
                    let key = (service.clone(), upstream, e.serial);
                    let first = seen.get(&key).copied().unwrap_or(now);
                    if now.since(first) >= LEASE + CLOCK_MARGIN {
                        due.push((key.clone(), now.since(first)));
                    }
                    present.insert(key, first);
                } else if !listed {
                    // The upstream is no longer listed, so no verdict will release its permit.
                    let request = PermitRequest {
                        service: service.clone(),
                        upstream,
                        kind: RequestKind::Release,
                    };
                    self.ctx.requests.push(request);
                }
            }
        }
        *seen = present;
        for ((service, upstream, serial), age) in due {
            let operation = PermitChange::Retire { serial, seen: age };
            if change(self.platform.as_ref(), &service, &upstream, &operation).await.is_ok() {
                let (service, upstream) = (service.as_str(), upstream.as_str());
                log::info!(service, upstream; "permit: slot of {upstream} freed");
            }
        }
    }
}
