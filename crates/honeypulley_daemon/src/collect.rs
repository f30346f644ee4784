//! Judges the upstreams of services for which this box is a collector.

use crate::context::{Context, PermitRequest, RequestKind};
use eyre::Result;
use honeypulley_bundle::head::Version;
use honeypulley_platform::roster::Roster;
use honeypulley_policy::collector::{Collector, Judgement, NameId, Verdict};
use honeypulley_policy::permits::PermitState;
use honeypulley_policy::placement;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::MemberState;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two ticks of the collectors.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two checks for a changed bundle, roster or permits.
const REFRESH_TICKS: u32 = 5;
/// Ticks between two unconditional refreshes of the collected services.
///
/// A refresh adopts the permits in force again, so that releases that are overdue are
/// requested even if nothing has changed.
const FORCED_REFRESH_TICKS: u32 = 100;

/// Judges upstreams from the reports of all boxes.
#[derive(Debug)]
pub struct CollectDuty {
    /// State shared between the duties.
    pub ctx: Arc<Context>,
}

/// Inputs of the last refresh.
#[derive(Default)]
struct RefreshInputs {
    bundle: Version,
    permits: Revision,
    roster: Option<Arc<Roster>>,
}

impl RefreshInputs {
    fn matches(&self, other: &Self) -> bool {
        let roster = match (&self.roster, &other.roster) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            _ => false,
        };
        roster && self.bundle == other.bundle && self.permits == other.permits
    }
}

/// A service for which this box is a collector.
struct Collected {
    service: String,
    collector: Collector,
    names: BTreeMap<NameId, String>,
}

impl Duty for CollectDuty {
    fn name(&self) -> &'static str {
        "collect"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            tokio::select! {
                () = self.collect() => {}
                () = shutdown.stop.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl CollectDuty {
    async fn collect(&self) {
        let mut services: BTreeMap<NameId, Collected> = BTreeMap::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        let mut ticks = 0u32;
        let mut last_inputs = RefreshInputs::default();
        loop {
            tokio::select! {
                report = self.ctx.reports_in.recv() => {
                    if let Some(state) = services.get_mut(&report.service) {
                        let verdicts = state.collector.apply_report(&report, self.ctx.now());
                        verdicts.iter().for_each(|v| self.publish(state, v));
                    }
                }
                _ = tick.tick() => {
                    if ticks.is_multiple_of(FORCED_REFRESH_TICKS) {
                        last_inputs = RefreshInputs::default();
                    }
                    if ticks.is_multiple_of(REFRESH_TICKS) {
                        self.refresh(&mut services, &mut last_inputs);
                    }
                    ticks = ticks.wrapping_add(1);
                    let now = self.ctx.now();
                    for state in services.values_mut() {
                        let verdicts = state.collector.tick(now);
                        verdicts.iter().for_each(|v| self.publish(state, v));
                    }
                }
            }
        }
    }

    /// Broadcasts a verdict and requests the matching permit change.
    fn publish(&self, state: &Collected, v: &Verdict) {
        let Some(upstream) = state.names.get(&v.upstream) else { return };
        log::info!(
            service = state.service.as_str(), upstream = upstream.as_str(), witnesses = v.witnesses;
            "collect: {upstream} of {} is {:?}", state.service, v.judgement
        );
        self.ctx.shared.gate.count("verdicts");
        self.ctx.verdicts_out.push(*v);
        self.ctx.shared.feed.verdicts.push(*v);
        let kind = match v.judgement {
            Judgement::Suspect => RequestKind::Eject,
            Judgement::Probation => RequestKind::Canary,
            Judgement::Clear => RequestKind::Release,
        };
        let (service, upstream) = (state.service.clone(), upstream.clone());
        self.ctx.requests.push(PermitRequest { service, upstream, kind });
    }

    /// Updates the collected services from the bundle, the roster and the permits.
    ///
    /// The placement ranks all boxes for every service, so it is computed only when
    /// one of these inputs has changed.
    fn refresh(&self, services: &mut BTreeMap<NameId, Collected>, last_inputs: &mut RefreshInputs) {
        let (Some(roster), Some(f)) = (self.ctx.roster(), self.ctx.bundle()) else { return };
        let permits = self.ctx.permits();
        let now = RefreshInputs {
            bundle: f.head.version,
            permits: permits.version,
            roster: Some(Arc::clone(&roster)),
        };
        if now.matches(last_inputs) {
            return;
        }
        *last_inputs = now;
        let boxes: Vec<&str> = roster.live_boxes().map(|b| b.name.as_str()).collect();
        let is_placed_here = |service: &str| {
            let chosen = placement::collectors(service, boxes.iter().copied());
            chosen.contains(&self.ctx.settings.name.as_str())
        };
        let specs: BTreeMap<NameId, _> = f
            .bundle
            .services()
            .filter(|s| is_placed_here(&s.name))
            .map(|s| (NameId::of(&s.name), s))
            .collect();
        services.retain(|id, _| specs.contains_key(id));
        for (id, spec) in specs {
            let state = services.entry(id).or_insert_with(|| Collected {
                service: spec.name.clone(),
                collector: Collector::new(&spec.name, spec.lean, spec.floor),
                names: BTreeMap::new(),
            });
            state.collector.configure(spec.lean, spec.floor);
            let live = roster.service(&spec.name).filter(|m| m.state == MemberState::Live);
            state.names = live.map(|m| (NameId::of(&m.name), m.name.clone())).collect();
            state.collector.set_members(state.names.keys().copied(), boxes.len());
            // Permits that a previous collector requested are taken over.
            let record = permits.view.records.get(&spec.name);
            for (name, entry) in record.iter().flat_map(|r| &r.entries) {
                if entry.hold != PermitState::Cooling {
                    state.collector.adopt(NameId::of(name), self.ctx.now());
                }
            }
        }
    }
}
