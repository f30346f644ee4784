//! Limits of organisations on the way of a request through a box.

use crate::support::{key, mesh};
use honeypulley_daemon::admin::AdminView;
use honeypulley_mesh::prelude::*;
use honeypulley_policy::balance::{Balancer, RetryHistory, RetryRule};
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRule};
use honeypulley_policy::organisations::{KeyDigest, OrganisationSpec, Organisations};
use honeypulley_policy::routes::{CallerLimits, RequestKind, Route, RouteTable, Target};
use honeypulley_policy::spec::ServiceSpec;
use honeypulley_policy::time::Time;
use honeypulley_proxy::answer::LocalAnswer;
use honeypulley_proxy::gate::{RouteDecision, RouteRequest, Routes};
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

const KEY: &str = "k-acme-0123456789";
/// Requests per second that the organisation may send, which is also its burst.
const RATE: f64 = 100.0;

fn route(name: &str, priority: u8) -> Route {
    Route::builder()
        .name(name)
        .host("site.example")
        .prefix(format!("/{name}/"))
        .kind(RequestKind::Safe)
        .priority(priority)
        .targets(vec![Target { service: "s".to_owned(), weight: 1 }])
        .build()
}

/// Builds the routes of a box, with an organisation that may have a priority of its own.
fn routes(priority: Option<u8>) -> TableRoutes {
    let peer: SocketAddr = ([10, 0, 0, 1], 7_000).into();
    let settings = MeshSettings::builder().name("a").hall("h").peer(peer).key(key());
    let mesh = mesh(settings.first_start(true).build());
    let services = vec![ServiceSpec::builder().name("s").build()];
    let rows = vec![route("urgent", 0), route("usual", 2)];
    let acme = OrganisationSpec::builder()
        .name("acme")
        .keys(vec![KEY.to_owned()])
        .maybe_priority(priority)
        .rate(RATE)
        .burst(RATE);
    let organisations = Organisations::new(vec![acme.build()]).expect("the organisation is valid");
    let table = RouteTable::new(3, services.clone(), rows, CallerLimits::default())
        .expect("the routes are valid")
        .with_organisations(organisations);
    let mut balancer = Balancer::new("h", RetryRule::default(), 1);
    balancer.set_services(&services, Time::ZERO);
    let mut limits =
        FleetRateLimiter::new("h", LimitRule::default(), RetryHistory::Empty, 1, Time::ZERO);
    limits.replace_limits(table.organisations.iter().flat_map(Organisations::limits));
    mesh.in_force.store(Some(Arc::new(table)));
    let policy = BroadcastBalancer::new(balancer, limits, Arc::clone(&mesh));
    TableRoutes { mesh, policy: Arc::new(Mutex::new(policy)) }
}

fn decide(
    routes: &TableRoutes,
    path: &str,
    relayed: bool,
    ms: u64,
) -> Result<RouteDecision, LocalAnswer> {
    let request = RouteRequest {
        request: "r-1",
        host: "site.example",
        path,
        method: &Method::GET,
        headers: &HeaderMap::new(),
        relayed,
        key: Some(KeyDigest::of(KEY.as_bytes())),
    };
    routes.route(&request, Time::from_millis(ms))
}

fn ask(routes: &TableRoutes, path: &str, relayed: bool, ms: u64) -> Result<(), LocalAnswer> {
    decide(routes, path, relayed, ms).map(|_| ())
}

/// Guards against a limit that counts a relayed request at both boxes.
#[test]
fn a_relayed_request_counts_at_the_box_that_received_it_from_the_caller() {
    let routes = routes(None);
    for _ in 0..2 * RATE as usize {
        ask(&routes, "/usual/1", true, 0).expect("another box has admitted it");
    }
    let served = (0..2 * RATE as usize).filter(|_| ask(&routes, "/usual/1", false, 0).is_ok());
    assert_eq!(served.count(), RATE as usize);
    ask(&routes, "/usual/1", true, 0).expect("a used-up limit does not refuse relayed requests");
}

/// Sends 5 s of requests at five times the limit, a tenth of them urgent.
///
/// Returns the served share of both kinds, and the reasons of the refusals.
fn overload(routes: &TableRoutes) -> ([f64; 2], Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut asked, mut served, mut reasons) = ([0.0; 2], [0.0; 2], Vec::new());
    for i in 0..2_500_u64 {
        let kind = usize::from(rng.f64() >= 0.1);
        let path = ["/urgent/1", "/usual/1"][kind];
        asked[kind] += 1.0;
        match ask(routes, path, false, i * 2) {
            Ok(()) => served[kind] += 1.0,
            Err(own) => {
                assert_eq!(own.status, StatusCode::TOO_MANY_REQUESTS);
                assert!(own.retry_after.is_some());
                reasons.push(own.reason);
            }
        }
    }
    ([served[0] / asked[0], served[1] / asked[1]], reasons)
}

#[test]
fn urgent_requests_go_first_and_the_refusal_says_so() {
    let routes = routes(None);
    let ([urgent, usual], reasons) = overload(&routes);
    assert!(urgent > 0.95 && usual < 0.25, "{urgent} {usual}");
    let outranked = reasons.iter().filter(|r| r.ends_with("urgent requests first")).count();
    assert!(outranked > 0);
    let metric = format!("honeypulley_requests_outranked_total {outranked}\n");
    assert!(routes.mesh.metrics().contains(&metric));
    let status = String::from_utf8(routes.mesh.status()).expect("the status is text");
    assert!(status.contains(&format!("\"outranked\":{outranked}")), "{status}");
}

/// Guards against an organisation's priority that hides the order of its routes.
#[rstest]
#[case::most_urgent(0)]
#[case::like_one_route(2)]
#[case::least_urgent(15)]
fn urgent_requests_of_an_organisation_with_its_own_priority_go_first(#[case] priority: u8) {
    let routes = routes(Some(priority));
    let ([urgent, usual], reasons) = overload(&routes);
    assert!(urgent > 0.95 && usual < 0.25, "{urgent} {usual}");
    assert!(reasons.iter().any(|r| r.ends_with("urgent requests first")));
}

/// Guards against a limit that is used less if its organisation has a priority of its own.
#[test]
fn an_organisation_uses_its_limit_alike_with_and_without_its_own_priority() {
    let (shares, reasons) = overload(&routes(Some(1)));
    let (expected, expected_reasons) = overload(&routes(None));
    assert_eq!(shares, expected);
    assert!(reasons == expected_reasons, "the reasons of the refusals differ");
}

/// Guards against an organisation's priority that hides the order of its routes from the balancer.
#[rstest]
#[case::none(None, [0, 2], [0, 2], [None, None])]
#[case::most_urgent(Some(0), [0, 1], [0, 0], [None, Some(2)])]
#[case::own(Some(1), [1, 2], [1, 1], [Some(0), Some(2)])]
#[case::like_one_route(Some(2), [1, 2], [2, 2], [Some(0), None])]
fn requests_are_ranked_by_organisation_and_route(
    #[case] priority: Option<u8>,
    #[case] ranks: [u8; 2],
    #[case] logged: [u8; 2],
    #[case] route_priorities: [Option<u8>; 2],
) {
    let routes = routes(priority);
    let decided = ["/urgent/1", "/usual/1"]
        .map(|path| decide(&routes, path, false, 0).expect("the request is within the limit"));
    assert_eq!(decided.each_ref().map(|d| d.info.priority), ranks);
    assert_eq!(decided.each_ref().map(|d| d.priority.first()), logged);
    assert_eq!(decided.each_ref().map(|d| d.priority.differing_route()), route_priorities);
}
