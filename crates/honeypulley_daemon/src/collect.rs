//! Judges upstreams for the services this box collects evidence on.

use crate::context::{Context, PermitRequest, RequestKind};
use eyre::Result;
use honeypulley_bundle::head::Version;
use honeypulley_platform::roster::Roster;
use honeypulley_policy::collector::{Collector, Judgement, NameId, Verdict};
use honeypulley_policy::permits::Hold;
use honeypulley_policy::placement;
use honeypulley_policy::revision::Revision;
use honeypulley_policy::spec::MemberState;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks for holds that ended.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two looks at bundle and list.
const REFRESH_TICKS: u32 = 5;
/// Ticks after which the judged services are set up anew even if nothing has changed, for
/// releases that are overdue.
const AFRESH_TICKS: u32 = 100;

/// Judges upstreams.
#[derive(Debug)]
pub struct CollectDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
}

/// What the judged services were last set up by.
#[derive(Default)]
struct Known {
    bundle: Version,
    permits: Revision,
    roster: Option<Arc<Roster>>,
}

impl Known {
    fn same(&self, other: &Self) -> bool {
        let roster = match (&self.roster, &other.roster) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            _ => false,
        };
        roster && self.bundle == other.bundle && self.permits == other.permits
    }
}

/// One service that this box collects on.
struct Judged {
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
        let mut judged: BTreeMap<NameId, Judged> = BTreeMap::new();
        let mut tick = tokio::time::interval(TICK);
        let mut turns = 0u32;
        let mut known = Known::default();
        loop {
            tokio::select! {
                report = self.ctx.reports_in.recv() => {
                    if let Some(d) = judged.get_mut(&report.service) {
                        let verdicts = d.collector.report(&report, self.ctx.now());
                        verdicts.iter().for_each(|v| self.publish(d, v));
                    }
                }
                _ = tick.tick() => {
                    if turns.is_multiple_of(AFRESH_TICKS) {
                        known = Known::default();
                    }
                    if turns.is_multiple_of(REFRESH_TICKS) {
                        self.refresh(&mut judged, &mut known);
                    }
                    turns = turns.wrapping_add(1);
                    let now = self.ctx.now();
                    for d in judged.values_mut() {
                        let verdicts = d.collector.tick(now);
                        verdicts.iter().for_each(|v| self.publish(d, v));
                    }
                }
            }
        }
    }

    /// Sends a verdict out and asks for the permit that goes with it.
    fn publish(&self, d: &Judged, v: &Verdict) {
        let Some(upstream) = d.names.get(&v.upstream) else { return };
        log::info!(
            service = d.service.as_str(), upstream = upstream.as_str(), witnesses = v.witnesses;
            "collect: {upstream} of {} is {:?}", d.service, v.judgement
        );
        self.ctx.shared.gate.count("verdicts");
        self.ctx.verdicts_out.push(*v);
        self.ctx.shared.feed.verdicts.push(*v);
        let kind = match v.judgement {
            Judgement::Suspect => RequestKind::Eject,
            Judgement::Probation => RequestKind::Canary,
            Judgement::Clear => RequestKind::Release,
        };
        let (service, upstream) = (d.service.clone(), upstream.clone());
        self.ctx.requests.push(PermitRequest { service, upstream, kind });
    }

    /// Acquires and releases services by bundle and list.
    ///
    /// Placing every service costs a draw among all boxes, so it is done only
    /// when bundle, list or permits have changed.
    fn refresh(&self, judged: &mut BTreeMap<NameId, Judged>, known: &mut Known) {
        let (Some(roster), Some(f)) = (self.ctx.roster(), self.ctx.held()) else { return };
        let permits = self.ctx.permits();
        let now = Known {
            bundle: f.head.version,
            permits: permits.version,
            roster: Some(Arc::clone(&roster)),
        };
        if now.same(known) {
            return;
        }
        *known = now;
        let boxes: Vec<&str> = roster.live_boxes().map(|b| b.name.as_str()).collect();
        let mine = |service: &str| {
            let chosen = placement::collectors(service, boxes.iter().copied());
            chosen.contains(&self.ctx.settings.name.as_str())
        };
        let specs: BTreeMap<NameId, _> = f
            .bundle
            .services()
            .filter(|s| mine(&s.name))
            .map(|s| (NameId::of(&s.name), s))
            .collect();
        judged.retain(|id, _| specs.contains_key(id));
        for (id, spec) in specs {
            let d = judged.entry(id).or_insert_with(|| Judged {
                service: spec.name.clone(),
                collector: Collector::new(&spec.name, spec.lean, spec.floor),
                names: BTreeMap::new(),
            });
            d.collector.configure(spec.lean, spec.floor);
            let live = roster.service(&spec.name).filter(|m| m.state == MemberState::Live);
            d.names = live.map(|m| (NameId::of(&m.name), m.name.clone())).collect();
            d.collector.set_members(d.names.keys().copied(), boxes.len());
            // What a collector before this one ejected is taken over.
            let record = permits.view.records.get(&spec.name);
            for (name, entry) in record.iter().flat_map(|r| &r.entries) {
                if entry.hold != Hold::Cooling {
                    d.collector.adopt(NameId::of(name), self.ctx.now());
                }
            }
        }
    }
}
