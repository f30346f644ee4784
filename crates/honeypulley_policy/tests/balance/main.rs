//! One box before upstreams called `u0` and so on: what it picks, learns and tells.

mod budget;
mod choice;
mod halls;
mod lives;
mod named;
mod open_attempts;
mod signals;
mod trials;

use honeypulley_policy::balance::{Balancer, Listed, News, Past, RetryRule};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::{Ask, Chooser, LoadReport};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::{Outcome, Pick};
use honeypulley_policy::signals::Signals;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Budget of these tests: a fifth, and ten sends in ten seconds.
const RULE: RetryRule = RetryRule { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };

/// An upstream of three slots.
fn listed(name: &str, hall: &str, state: MemberState) -> Listed {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: format!("10.0.0.1:{}", name.len()),
        hall: hall.to_owned(),
        state,
    };
    Listed { member, slots: 3, cold: Duration::ZERO, born: None }
}

/// A box in hall `h` of a fleet that starts for the first time, before `n` upstreams of
/// its hall, called `u0` and so on.
fn balancer(n: usize) -> Balancer {
    let mut b = Balancer::new("h", RULE, 7).with_past(Past::Empty);
    b.set_services(&[ServiceSpec::builder().name("s").build()], Time::ZERO);
    for i in 0..n {
        b.set_upstream(listed(&format!("u{i}"), "h", MemberState::Live), Time::ZERO);
    }
    b
}

/// A request with an aim of one second and two seconds left.
fn ask(b: &Balancer, repeatable: bool) -> Ask {
    let service = b.service("s").expect("set up");
    Ask {
        service,
        repeatable,
        priority: 0,
        bulky: false,
        aim: Some(Duration::from_secs(1)),
        left: Some(Duration::from_secs(2)),
        route: NameId::of("r"),
    }
}

/// Sends `n` requests, one each 10 ms from `from` ms on, and counts the picks.
fn send(b: &mut Balancer, n: u64, from: u64, repeatable: bool) -> BTreeMap<String, usize> {
    let ask = ask(b, repeatable);
    let mut picks = BTreeMap::new();
    for i in 0..n {
        let now = Time::from_millis(from + i * 10);
        let pick = b.pick(&ask, &[], now).expect("there are upstreams");
        *picks.entry(b.place(pick.upstream).expect("known").name.to_owned()).or_default() += 1;
        b.answered(pick.attempt, true, now);
        b.finish(pick.attempt, Outcome::Whole, now);
    }
    picks
}

/// Has the answer to an attempt report this load of three slots.
fn report_load(b: &mut Balancer, pick: &Pick, busy: f64, now: Time) {
    let load = Some(LoadReport { busy, slots: 3.0 });
    b.signalled(pick.attempt, &Signals { load, ..Signals::default() }, now);
}

/// Has a whole answer to an attempt advertise a limit or none; tells whether that is a change.
fn advertise(b: &mut Balancer, pick: &Pick, limit: Option<f64>, now: Time) -> bool {
    let changes = b.signalled(pick.attempt, &Signals { limit, ..Signals::default() }, now);
    if limit.is_none() { b.limit_withdrawn(pick.attempt) } else { changes.limit }
}

/// Word of another box that an upstream failed at once.
fn failure(name: &str) -> News {
    News::Seen { upstream: NameId::of(name), what: Observation::Failure }
}
