//! Pure decision logic of honeypulley.
//!
//! The crate is deterministic: time and randomness are passed in, so a seed and a sequence of
//! events always give the same decisions. It performs no I/O, starts no threads and has no global
//! state.
//!
//! Two policies implement [`chooser::RoutingPolicy`]. [`router`] routes the requests of one box and
//! ejects upstreams, using the failure statistics of [`ledger`], the evidence that [`collector`]
//! aggregates over many boxes, and the fleet-wide limit on ejections in [`permits`]. [`balance`],
//! for services with few requests per box, ejects nothing: it picks the upstream with the lowest
//! expected loss according to [`belief`].

pub mod balance;
pub mod belief;
pub mod chooser;
pub mod collector;
pub mod connections;
pub mod fleet_limits;
pub mod join;
pub mod ledger;
pub mod limits;
pub mod naive;
pub mod organisations;
pub mod paths;
pub mod permits;
pub mod placement;
pub mod quarantine;
pub mod ranks;
pub mod regions;
pub mod revision;
pub mod route_mix;
pub mod router;
pub mod routes;
pub mod shutdown;
pub mod signals;
pub mod spec;
pub mod spread;
pub mod time;

/// Re-exports of the most commonly used types.
pub mod prelude {
    pub use crate::{
        collector::{Collector, Report, ReportItem, Verdict},
        ledger::Evidence,
        limits::{Gcra, RetryBudget},
        permits::{FloorContext, PermitRecord, PermitView},
        router::{Attempt, Outcome, Pick, Refusal, Router, ServiceKey, UpstreamKey},
        spec::{Lean, Member, MemberState, RepeatPolicy, ServiceSpec},
        time::Time,
    };
}
