//! Writes the permits that collectors ask for, and frees their slots.

use crate::context::{Context, PermitRequest, RequestKind};
use eyre::Result;
use honeypulley_platform::api::Platform;
use honeypulley_platform::permits::{ChangeError, PermitChange, change};
use honeypulley_policy::permits::{FloorContext, Hold, LEASE, MARGIN};
use honeypulley_policy::placement;
use honeypulley_policy::spec::MemberState;
use honeypulley_policy::time::Time;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks for slots to free.
const SWEEP: Duration = Duration::from_secs(1);
/// Time between two looks at requests that are due.
const TICK: Duration = Duration::from_millis(50);
/// First wait after a write that failed; doubles, with jitter.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Longest wait.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Writes permits.
#[derive(Debug)]
pub struct PermitDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
    /// Client.
    pub platform: Arc<dyn Platform>,
}

/// Releases by service, upstream and serial, with the time they were first seen.
type Seen = BTreeMap<(String, String, u64), Time>;

/// Latest request for each upstream of a service, until it is granted or refused.
type Pending = BTreeMap<(String, String), Turn>;

/// One pending request.
#[derive(Clone, Copy, Debug)]
struct Turn {
    kind: RequestKind,
    due: Time,
    tries: u32,
}

impl Duty for PermitDuty {
    fn name(&self) -> &'static str {
        "permit"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            let (mut seen, mut pending) = (Seen::new(), Pending::new());
            let mut sweep = tokio::time::interval(SWEEP);
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = shutdown.stop.cancelled() => return Ok(()),
                    w = self.ctx.requests.recv() => {
                        // A later request for the same upstream replaces the earlier.
                        let turn = Turn { kind: w.kind, due: self.ctx.now(), tries: 0 };
                        pending.insert((w.service, w.upstream), turn);
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
        for ((service, upstream), turn) in due {
            let w = PermitRequest { service, upstream, kind: turn.kind };
            let key = (w.service.clone(), w.upstream.clone());
            if self.grant(&w, turn.tries).await {
                pending.remove(&key);
                continue;
            }
            let wait = (FIRST_WAIT * 2u32.pow(turn.tries.min(5))).min(MAX_WAIT);
            let due = now + wait.mul_f64(0.5 + fastrand::f64());
            pending.insert(key, Turn { due, tries: turn.tries + 1, ..turn });
        }
    }

    /// Tries to grant a request; tells whether it is done with.
    async fn grant(&self, w: &PermitRequest, tries: u32) -> bool {
        let Some(how) = self.change_for(w) else { return true };
        let (service, upstream) = (w.service.as_str(), w.upstream.as_str());
        match change(self.platform.as_ref(), service, upstream, &how).await {
            Ok(_) => {
                log::info!(service, upstream; "permit: {:?} {upstream} of {service}", w.kind);
                true
            }
            Err(ChangeError::Refused(e)) => {
                log::info!(service, upstream; "permit: {:?} {upstream} refused: {e}", w.kind);
                true
            }
            // Lost answers and conflicts: the next try reads afresh.
            Err(ChangeError::Platform(e)) => {
                if tries == 0 {
                    log::warn!(service, upstream; "permit: {:?} {upstream} waits: {e}", w.kind);
                }
                false
            }
        }
    }

    fn change_for(&self, w: &PermitRequest) -> Option<PermitChange> {
        Some(match w.kind {
            RequestKind::Eject => PermitChange::Eject(self.capacity(&w.service)?),
            RequestKind::Canary => PermitChange::Canary,
            RequestKind::Release => PermitChange::Release,
        })
    }

    /// Counts what is live, by the list and by the upstreams' own drain marks.
    fn capacity(&self, service: &str) -> Option<FloorContext> {
        let (roster, f) = (self.ctx.roster()?, self.ctx.held()?);
        let spec = f.bundle.services().find(|s| s.name == service)?;
        let listed = roster.service(service).count();
        let rows = self.ctx.shared.rows.load();
        let drained = |name: &str| {
            rows.iter().any(|r| r.service == service && r.upstream == name && r.state == "leaving")
        };
        let live = roster
            .service(service)
            .filter(|m| m.state == MemberState::Live && !drained(&m.name))
            .count();
        Some(FloorContext { live, floor: spec.floor.count(listed) })
    }

    /// Frees slots whose releases are older than any lease.
    async fn sweep(&self, seen: &mut Seen) {
        let Some(roster) = self.ctx.roster() else { return };
        let boxes: Vec<&str> = roster.live_boxes().map(|b| b.name.as_str()).collect();
        let now = self.ctx.now();
        let mut due = Vec::new();
        let mut standing = Seen::new();
        for (service, record) in self.ctx.permits().view.records {
            let chosen = placement::collectors(&service, boxes.iter().copied());
            if !chosen.contains(&self.ctx.settings.name.as_str()) {
                continue;
            }
            for (upstream, e) in record.entries {
                let listed = roster.service(&service).any(|m| m.name == upstream);
                if e.hold == Hold::Cooling {
                    let key = (service.clone(), upstream, e.serial);
                    let first = seen.get(&key).copied().unwrap_or(now);
                    if now.since(first) >= LEASE + MARGIN {
                        due.push((key.clone(), now.since(first)));
                    }
                    standing.insert(key, first);
                } else if !listed {
                    // It left for good; nobody will judge it again.
                    let request = PermitRequest {
                        service: service.clone(),
                        upstream,
                        kind: RequestKind::Release,
                    };
                    self.ctx.requests.push(request);
                }
            }
        }
        *seen = standing;
        for ((service, upstream, serial), age) in due {
            let how = PermitChange::Retire { serial, seen: age };
            if change(self.platform.as_ref(), &service, &upstream, &how).await.is_ok() {
                let (service, upstream) = (service.as_str(), upstream.as_str());
                log::info!(service, upstream; "permit: slot of {upstream} is free");
            }
        }
    }
}
