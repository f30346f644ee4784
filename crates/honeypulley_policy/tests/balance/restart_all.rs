//! Restart of all boxes of a data hall while callers send and upstreams hold earlier requests.

use crate::restart_hall::{ORDER, Plan, READ, SHOPS, new_box, served};
use honeypulley_policy::balance::RetryHistory;
use honeypulley_policy::chooser::{RequestInfo, RoutingPolicy};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::router::Reason;
use honeypulley_policy::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Guards against losing the requests of the first seconds at upstreams that hang.
///
/// While unrepeatable requests tried unknown upstreams, 0.83 to 0.85 were served if a third of
/// the upstreams hung and boxes heard each other after half a second.
#[rstest]
#[case::usual(Plan { deaf_ms: 500, ..SHOPS })]
#[case::more(Plan { deaf_ms: 500, surge: 1.5, ..SHOPS })]
#[case::many_hang(Plan { deaf_ms: 500, struck: 0.35, ..SHOPS })]
#[case::more_and_many_hang(Plan { deaf_ms: 500, struck: 0.35, surge: 1.5, ..SHOPS })]
fn most_requests_after_a_restart_of_all_boxes_are_served(#[case] plan: Plan) {
    let mean = (1..=2).map(|seed| served(Plan { seed, ..plan })).sum::<f64>() / 2.0;
    assert!(mean >= 0.85, "{mean:.3} served in the two seconds after the restart");
}

/// Returns why a newly started box with an unknown upstream picks one for a request.
fn reason(history: RetryHistory, repeatable: bool) -> Reason {
    let mut b = new_box(&SHOPS, 1, history, 0);
    let route = if repeatable { READ } else { ORDER };
    let info = RequestInfo {
        service: b.service("s").expect("service is configured"),
        repeatable,
        priority: route.priority,
        large_transfer: false,
        target: Some(Duration::from_millis(route.target_ms)),
        remaining: Some(Duration::from_millis(route.limit_ms)),
        route: NameId::of("r"),
        regions: None,
    };
    b.pick(&info, &[], Time::from_millis(1_000)).expect("upstreams are listed").reason
}

/// Guards against trials of unknown upstreams with requests that a hang loses.
#[rstest]
#[case::restart_unrepeatable(RetryHistory::Unknown, false, Reason::LeastLoss)]
#[case::restart_repeatable(RetryHistory::Unknown, true, Reason::Canary)]
#[case::first_start(RetryHistory::Empty, false, Reason::Canary)]
fn unrepeatable_requests_try_no_unknown_upstream_after_a_restart(
    #[case] history: RetryHistory,
    #[case] repeatable: bool,
    #[case] expected: Reason,
) {
    assert_eq!(reason(history, repeatable), expected);
}

/// Prints the served share by load and fault, to find what a restart costs.
#[test]
#[ignore = "prints measurements and takes minutes"]
fn figures_of_a_restart() {
    for surge in [1.0, 1.5, 2.2, 4.0] {
        for struck in [0.0, 0.35] {
            for deaf_ms in [0, 500, 2_000] {
                println!("surge {surge}, struck {struck}, deaf {deaf_ms} ms:");
                let plan = Plan { surge, struck, deaf_ms, ..SHOPS };
                let _ = (served(plan), served(Plan { restarts: false, ..plan }));
            }
        }
    }
}

/// Prints the served share if boxes lack processor time while they start.
///
/// Their requests wait unread, and all boxes then send them at once.
#[test]
#[ignore = "prints measurements"]
fn figures_of_stalled_boxes() {
    for stalled_ms in [500, 1_000, 1_500] {
        for (surge, struck) in [(1.0, 0.0), (1.5, 0.0), (1.0, 0.35), (1.5, 0.35)] {
            println!("stalled {stalled_ms} ms, surge {surge}, struck {struck}:");
            let (deaf_ms, ready_ms) = (stalled_ms + 300, (5, 200));
            served(Plan { surge, stalled_ms, struck, deaf_ms, ready_ms, ..SHOPS });
        }
    }
}
