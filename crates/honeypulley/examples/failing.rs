//! The policy library alone: a failing upstream is reported, judged and avoided.
//!
//! Events go in and decisions come out; time is a number that this program
//! moves on, and nothing is sent anywhere.

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
    let mut work: BTreeMap<String, usize> = BTreeMap::new();
    for turn in 0..4_000 {
        now = now + Duration::from_millis(2);
        let sick = turn >= 2_000;
        let b = &mut boxes[turn % BOXES];
        let service = b.service("guestlist").expect("set above");
        let pick = b.pick(service, true, &[], now)?;
        let (name, _) = b.upstream(pick.upstream).expect("just picked");
        let fails = sick && name == FAILING;
        if sick {
            *work.entry(name.to_owned()).or_default() += 1;
        }
        // Answered after 40 ms of the model's time.
        let end = now + Duration::from_millis(40);
        b.answered(pick.attempt, !fails, end);
        b.finish(pick.attempt, Outcome::Whole, end);
        let reports: Vec<Report> = boxes.iter_mut().flat_map(|b| b.tick(now)).collect();
        for v in reports.iter().flat_map(|r| collector.report(r, now)) {
            println!(
                "{:.3} s: {FAILING} is {:?}, {} boxes bear witness",
                now.as_secs(),
                v.judgement,
                v.witnesses
            );
            for b in &mut boxes {
                b.set_verdict(&v, now);
            }
        }
    }
    println!("requests in the four seconds after it began to fail: {work:?}");
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
