//! Runs the policy library alone: a failing upstream is reported, judged and avoided.
//!
//! The library turns events into decisions without any I/O. The program simulates time
//! and sends nothing over the network.

use honeypulley::policy::collector::NameId;
use honeypulley::policy::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const BOXES: usize = 5;
const UPSTREAMS: usize = 6;
const FAILING: &str = "g2";

fn main() -> Result<(), Refusal> {
    let floor = honeypulley::policy::spec::Floor::Share(0.6);
    let spec = ServiceSpec::builder().name("guestlist").floor(floor).lean(Lean::DETECTION).build();
    let members: Vec<Member> = (0..UPSTREAMS).map(member).collect();
    let mut boxes: Vec<Router> =
        (0..BOXES as u64).map(|i| Router::new(&format!("box{i}"), "suva", i)).collect();
    for b in &mut boxes {
        b.set_services([spec.clone()]);
        b.set_members(&members, BOXES, Time::ZERO);
    }
    let mut collector = Collector::new("guestlist", spec.lean, floor);
    collector.set_members(members.iter().map(|m| NameId::of(&m.name)), BOXES);

    let mut now = Time::ZERO;
    let mut requests: BTreeMap<String, usize> = BTreeMap::new();
    for step in 0..4_000 {
        now = now + Duration::from_millis(2);
        let failing = step >= 2_000;
        let b = &mut boxes[step % BOXES];
        let service = b.service("guestlist").expect("the service was set above");
        let pick = b.pick(service, true, &[], now)?;
        let (name, _) = b.endpoint(pick.upstream).expect("the upstream was just picked");
        let fails = failing && name == FAILING;
        if failing {
            *requests.entry(name.to_owned()).or_default() += 1;
        }
        // The upstream answers after 40 ms of simulated time.
        let end = now + Duration::from_millis(40);
        b.response_started(pick.attempt, !fails, end);
        b.finish(pick.attempt, Outcome::Completed, end);
        let reports: Vec<Report> = boxes.iter_mut().flat_map(|b| b.tick(now)).collect();
        for v in reports.iter().flat_map(|r| collector.apply_report(r, now)) {
            println!(
                "{:.3} s: {FAILING} is {:?}, reported by {} boxes",
                now.as_secs(),
                v.judgement,
                v.witnesses
            );
            for b in &mut boxes {
                b.apply_verdict(&v, now);
            }
        }
    }
    println!(
        "requests by upstream in the four seconds after {FAILING} began to fail: {requests:?}"
    );
    Ok(())
}

fn member(i: usize) -> Member {
    Member {
        name: format!("g{i}"),
        service: "guestlist".into(),
        addr: format!("10.0.0.{i}:80"),
        hall: "suva".into(),
        state: MemberState::Live,
    }
}
