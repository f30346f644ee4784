//! Levels announced by other boxes, at one box.

use honeypulley_policy::balance::{
    Balancer, Level, PriorityRule, RetryHistory, RetryRule, Update, UpstreamEntry,
};
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::router::RefusalKind;
use honeypulley_policy::spec::{Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns a box with one upstream of two slots and a service with the priorities 1 and 2.
fn balancer(is_ranked: bool, seed: u64) -> Balancer {
    let mut mix = RouteMix::default();
    mix.add(2, false);
    mix.add(if is_ranked { 1 } else { 2 }, true);
    let mut b = Balancer::new("h", RetryRule::default(), seed)
        .with_retry_history(RetryHistory::Empty)
        .with_priority_rule(PriorityRule { floor: 0.0 });
    b.set_services(&[ServiceSpec::builder().name("s").mix(mix).build()], Time::ZERO);
    add_upstream(&mut b, "u");
    b
}

/// Adds an upstream of two slots.
fn add_upstream(b: &mut Balancer, name: &str) {
    let member = Member {
        name: name.to_owned(),
        service: "s".to_owned(),
        addr: format!("{name}:1"),
        hall: "h".to_owned(),
        state: MemberState::Live,
    };
    let entry = UpstreamEntry { member, slots: 2, warm_up: Duration::ZERO, started: None };
    b.set_upstream(entry, Time::ZERO);
}

fn info(b: &Balancer, priority: u8) -> RequestInfo {
    RequestInfo {
        service: b.service("s").expect("service is configured"),
        repeatable: false,
        priority,
        large_transfer: false,
        target: Some(Duration::from_secs(1)),
        remaining: Some(Duration::from_secs(2)),
        route: NameId(u64::from(priority)),
        regions: None,
    }
}

fn announce(b: &mut Balancer, from: u64, level: Level, now: Time) {
    let update = Update::Pressure { service: NameId::of("s"), level: level.to_thousandths() };
    b.apply_update(NameId(from), update, now);
}

fn level(b: &Balancer, now: Time) -> u16 {
    b.admission(b.service("s").expect("configured"), now).map_or(0, |s| s.level)
}

#[rstest]
#[case(Level::at(2, 0.5), 3, 1.0)]
#[case(Level::at(2, 0.5), 2, 0.5)]
#[case(Level::at(2, 0.5), 1, 0.0)]
#[case(Level::at(0, 1.0), 0, 1.0)]
#[case(Level::default(), 15, 0.0)]
fn a_level_rejects_less_urgent_requests_first(
    #[case] level: Level,
    #[case] priority: u8,
    #[case] share: f64,
) {
    assert!((level.rejected_share(priority) - share).abs() < 1e-9);
}

/// Guards against a level above all priorities, which no box announces.
#[test]
fn a_received_level_is_bounded() {
    assert_eq!(Level::from_thousandths(u16::MAX), Level::at(0, 1.0));
}

/// Guards against a request that is rejected by a level although a slot is free.
#[test]
fn a_free_slot_is_used_whatever_the_level() {
    let mut b = balancer(true, 7);
    let now = Time::from_millis(100);
    (1..=3).for_each(|from| announce(&mut b, from, Level::at(0, 1.0), now));
    let info = info(&b, 2);
    b.pick(&info, &[], now).expect("two slots are free");
    b.pick(&info, &[], now).expect("one slot is free");
    let refused = b.pick(&info, &[], now).expect_err("all slots are taken");
    assert_eq!(refused.kind, RefusalKind::Priority);
    assert!(refused.retry_after >= Duration::from_millis(100), "{refused:?}");
    assert!(refused.retry_after <= Duration::from_secs(3), "{refused:?}");
}

/// Guards against a box that froze, woke and acts on an old level, or that stopped announcing.
#[test]
fn an_announced_level_expires() {
    let mut b = balancer(true, 7);
    let at = Time::from_millis(100);
    (1..=3).for_each(|from| announce(&mut b, from, Level::at(2, 1.0), at));
    assert_eq!(level(&b, at), 14_000);
    assert_eq!(level(&b, at + Duration::from_secs(1)), 0);
    let info = info(&b, 2);
    let late = at + Duration::from_secs(1);
    for _ in 0..3 {
        b.pick(&info, &[], late).expect("the level has expired");
    }
}

/// Guards against one box with a wrong view that makes all others reject.
#[test]
fn one_box_does_not_move_the_level() {
    let mut b = balancer(true, 7);
    let now = Time::from_millis(100);
    announce(&mut b, 1, Level::at(0, 1.0), now);
    assert_eq!(level(&b, now), 0);
    (2..=3).for_each(|from| announce(&mut b, from, Level::at(2, 0.2), now));
    assert_eq!(level(&b, now), 13_200);
}

/// Guards against an effect of announcements on a service whose routes have one priority.
#[test]
fn a_service_that_is_not_ranked_ignores_levels() {
    let [mut with, mut without] = [balancer(false, 7), balancer(false, 7)];
    let now = Time::from_millis(100);
    (1..=3).for_each(|from| announce(&mut with, from, Level::at(0, 1.0), now));
    let info = info(&with, 2);
    for _ in 0..20 {
        assert_eq!(with.pick(&info, &[], now), without.pick(&info, &[], now));
        assert_eq!(with.take_updates(), without.take_updates());
    }
    assert_eq!(level(&with, now), 0);
}

/// Guards against boxes that all send what they would reject to the same suspect upstream.
#[test]
fn boxes_spread_what_they_would_reject() {
    const SUSPECTS: usize = 6;
    let now = Time::from_millis(100);
    let chosen = |seed: u64| {
        let mut b = balancer(true, seed);
        for i in 0..SUSPECTS {
            let name = format!("f{i}");
            add_upstream(&mut b, &name);
            // The first one is the least suspect.
            let phases = [0.55 + 0.01 * i as f64, 0.0];
            let belief = Update::Belief { upstream: NameId::of(&name), phases };
            b.apply_update(NameId(9), belief, now);
        }
        (1..=3).for_each(|from| announce(&mut b, from, Level::at(0, 1.0), now));
        let info = info(&b, 2);
        let names: Vec<String> = (0..3)
            .map(|_| {
                let pick = b.pick(&info, &[], now).expect("suspect upstreams have free slots");
                b.endpoint(pick.upstream).expect("upstream is known").name.to_owned()
            })
            .collect();
        assert_eq!(names[..2], ["u", "u"], "healthy slots are used first");
        names[2].clone()
    };
    let mut counts = BTreeMap::<String, usize>::new();
    (0..60).for_each(|seed| *counts.entry(chosen(seed)).or_default() += 1);
    let most = counts.values().max().expect("each box chose an upstream");
    // The better of two of six is the best one in 11 of 36 draws.
    assert!(*most < 30, "{counts:?}");
    assert!(!counts.contains_key("u"), "its slots are taken: {counts:?}");
}

/// Guards against one urgent caller in haste that makes the box reject less urgent requests.
#[test]
fn an_urgent_request_in_haste_leaves_the_tolerance() {
    let now = Time::from_millis(100);
    let admitted = |left: Duration| {
        let mut b = balancer(true, 7);
        let urgent = RequestInfo { remaining: Some(left), ..info(&b, 1) };
        b.pick(&urgent, &[], now).expect("two slots are free");
        let info = info(&b, 2);
        let mut admitted = 0;
        loop {
            match b.pick(&info, &[], now) {
                Ok(_) => admitted += 1,
                Err(refused) => return (admitted, refused.kind),
            }
        }
    };
    let (usual, kind) = admitted(Duration::from_secs(2));
    assert_eq!(kind, RefusalKind::Priority);
    assert!(usual > 1, "no request waits");
    assert_eq!(admitted(Duration::from_millis(100)), (usual, kind));
}
