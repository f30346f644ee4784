//! Pure decision logic of honeypulley.
//!
//! Events go in and decisions come out. Time and randomness are passed in, so a
//! seed and a list of events always give the same decisions. Nothing here does
//! I/O, starts a thread or keeps global state.
//!
//! Two ways to choose stand behind [`chooser::Chooser`]. The first is [`router`]
//! (one box's choice), [`ledger`] (evidence against an upstream), [`collector`]
//! (evidence of many boxes) and [`permits`] (the fleet-wide bound on ejections).
//! The second, for services with few requests a box, is [`balance`] over
//! [`belief`]: it ejects nothing and weighs the loss to expect of each upstream.

pub mod balance;
pub mod belief;
pub mod chooser;
pub mod collector;
pub mod fleet_limits;
pub mod join;
pub mod ledger;
pub mod limits;
pub mod naive;
pub mod organisations;
pub mod permits;
pub mod placement;
pub mod quarantine;
pub mod revision;
pub mod router;
pub mod routes;
pub mod signals;
pub mod spec;
pub mod spread;
pub mod time;

/// The names most users of this crate need.
pub mod prelude {
    pub use crate::{
        collector::{Collector, Report, ReportItem, Verdict},
        ledger::Evidence,
        limits::{Gcra, RetryBudget},
        permits::{FloorContext, PermitRecord, PermitView},
        router::{Attempt, Outcome, Pick, Refusal, Router, ServiceKey, UpstreamKey},
        spec::{Lean, Member, MemberState, Repeat, ServiceSpec},
        time::Time,
    };
}
