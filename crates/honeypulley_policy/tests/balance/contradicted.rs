//! Reports of refused connections by boxes that have lost paths of their own.

use super::{balancer, send};
use honeypulley_policy::balance::{Balancer, Update};
use honeypulley_policy::belief::Observation;
use honeypulley_policy::chooser::RoutingPolicy;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::time::Time;

const PARTITIONED: NameId = NameId(901);
const OTHER_BOX: NameId = NameId(902);

fn refuse(b: &mut Balancer, from: NameId, name: &str, ms: u64) {
    let upstream = NameId::of(name);
    let update = Update::Seen { upstream, observation: Observation::Refused };
    b.apply_update(from, update, Time::from_millis(ms));
}

/// Returns the probability that an upstream is unhealthy.
fn sick(b: &Balancer, name: &str, ms: u64) -> f64 {
    let status = b.status(Time::from_millis(ms));
    status.iter().find(|s| s.upstream == name).expect("the upstream is listed").sick
}

/// Returns a box that was answered by an upstream after another box was refused there.
fn with_contradiction() -> Balancer {
    let mut b = balancer(4);
    for n in 0..4 {
        refuse(&mut b, PARTITIONED, &format!("u{n}"), 0);
    }
    send(&mut b, 200, 10, true);
    b
}

#[test]
fn a_single_report_of_a_refused_connection_is_believed_at_once() {
    let mut b = balancer(4);
    refuse(&mut b, PARTITIONED, "u1", 0);
    assert!(sick(&b, "u1", 0) > 0.5, "{}", sick(&b, "u1", 0));
}

/// Guards against a partially partitioned box by which the others take all upstreams for ill.
#[test]
fn reports_of_a_contradicted_box_need_a_second_box() {
    let mut b = with_contradiction();
    let before = sick(&b, "u1", 2_010);
    refuse(&mut b, PARTITIONED, "u1", 2_010);
    assert!(sick(&b, "u1", 2_010) <= before);
    refuse(&mut b, OTHER_BOX, "u1", 2_020);
    assert!(sick(&b, "u1", 2_020) > 0.5, "{}", sick(&b, "u1", 2_020));
}

#[test]
fn a_contradiction_is_forgotten_after_five_seconds() {
    let mut b = with_contradiction();
    refuse(&mut b, PARTITIONED, "u1", 7_100);
    assert!(sick(&b, "u1", 7_100) > 0.5, "{}", sick(&b, "u1", 7_100));
}

/// A box checks its paths by upstreams that may be well, those slow or unreachable for others too.
#[test]
fn upstreams_that_refuse_connections_do_not_show_whether_the_path_works() {
    let mut b = balancer(3);
    let service = b.service("s").expect("service is configured");
    let failed = b.pick(&super::info(&b, true), &[], Time::ZERO).expect("available").upstream;
    assert_eq!(b.sample(service, Some(failed), 9).len(), 2);
    for n in 0..3 {
        refuse(&mut b, OTHER_BOX, &format!("u{n}"), 0);
    }
    assert!(b.sample(service, Some(failed), 9).is_empty());
    assert_eq!(b.sample(service, None, 9).len(), 3);
}
