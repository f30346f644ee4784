//! Tests of one box with upstreams `u0`, `u1` and so on.

mod budget;
mod budget_shares;
mod choice;
mod contradicted;
mod halls;
mod hazard;
mod lives;
mod open_attempts;
mod probes;
mod rate_limits;
mod replaced;
mod restart_all;
mod restart_hall;
mod signals;
mod warm_up;

use honeypulley_policy::balance::{Balancer, RetryHistory, RetryRule, Update, UpstreamEntry};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::{LoadReport, RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Retry budget of a fifth of the requests and ten sends in ten seconds.
const RULE: RetryRule = RetryRule { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

/// Returns an upstream with three slots.
fn listed(name: &str, hall: &str, state: MemberState) -> UpstreamEntry {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: format!("10.0.0.1:{}", name.len()),
        hall: hall.to_owned(),
        state,
    };
    UpstreamEntry { member, slots: 3, warm_up: Duration::ZERO, started: None }
}

/// Returns a box in data hall `h` with `n` local upstreams.
///
/// Its fleet starts for the first time.
fn balancer(n: usize) -> Balancer {
    let mut b = Balancer::new("h", RULE, 7).with_retry_history(RetryHistory::Empty);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    for i in 0..n {
        b.set_upstream(listed(&format!("u{i}"), "h", MemberState::Live), Time::ZERO);
    }
    b
}

/// Returns a request with a latency target of one second and two seconds left.
fn info(b: &Balancer, repeatable: bool) -> RequestInfo {
    let service = b.service("s").expect("service is configured");
    RequestInfo {
        service,
        repeatable,
        priority: 0,
        large_transfer: false,
        target: Some(Duration::from_secs(1)),
        remaining: Some(Duration::from_secs(2)),
        route: NameId::of("r"),
        regions: None,
    }
}

/// Sends `n` requests, 10 ms apart from `from` ms on; returns the count for each upstream.
fn send(b: &mut Balancer, n: u64, from: u64, repeatable: bool) -> BTreeMap<String, usize> {
    let info = info(b, repeatable);
    let mut picks = BTreeMap::new();
    for i in 0..n {
        let now = Time::from_millis(from + i * 10);
        let pick = b.pick(&info, &[], now).expect("upstreams are available");
        *picks
            .entry(b.endpoint(pick.upstream).expect("upstream is known").name.to_owned())
            .or_default() += 1;
        b.response_started(pick.attempt, true, now);
        b.finish(pick.attempt, Outcome::Completed, now);
    }
    picks
}

/// Reports a load, for three slots, in the answer to an attempt.
fn report_load(b: &mut Balancer, pick: &Pick, busy: f64, now: Time) {
    let load = LoadReport::new(busy, 3.0).ok();
    b.record_signals(pick.attempt, &Signals { load, ..Signals::default() }, now);
}

/// Advertises a rate limit or none in the answer to an attempt; returns whether it changed.
fn advertise(b: &mut Balancer, pick: &Pick, limit: Option<f64>, now: Time) -> bool {
    let changes = b.record_signals(pick.attempt, &Signals { limit, ..Signals::default() }, now);
    if limit.is_none() { b.clear_limit(pick.attempt, now) } else { changes.limit }
}

/// Returns a peer's update that an upstream failed at once.
fn failure(name: &str) -> Update {
    Update::Seen { upstream: NameId::of(name), observation: Observation::Failure }
}
