//! Refusals of requests for which the table in force has no route.

use crate::support::{at, key, mesh, reader_beacon, table_object};
use honeypulley_mesh::prelude::*;
use honeypulley_peer::codec::Beacon;
use honeypulley_policy::balance::{Balancer, RetryHistory, RetryRule};
use honeypulley_policy::collector::NameId;
use honeypulley_policy::fleet_limits::{FleetRateLimiter, LimitRule};
use honeypulley_policy::revision::Revision;
use honeypulley_proxy::gate::{RouteRequest, Routes};
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;

/// Builds the routes of a box whose table has number 3 and no routes.
fn routes() -> TableRoutes {
    let peer: SocketAddr = ([10, 0, 0, 1], 7_000).into();
    let mesh = mesh(MeshSettings::builder().name("a").hall("h").peer(peer).key(key()).build());
    mesh.apply_table(&table_object("3", 30), "the test");
    mesh.in_force.store(mesh.take_next_table());
    let balancer = Balancer::new("h", RetryRule::default(), 1);
    let limits =
        FleetRateLimiter::new("h", LimitRule::default(), RetryHistory::Empty, 1, mesh.now());
    let policy = BroadcastBalancer::new(balancer, limits, Arc::clone(&mesh));
    TableRoutes { mesh, policy: Arc::new(Mutex::new(policy)) }
}

/// Applies the beacon of a reader that holds a table of this number.
fn announce(routes: &TableRoutes, table: u64) {
    let beacon = Beacon { table, list: Revision::ZERO, ..reader_beacon(at(0)) };
    routes.mesh.apply_beacon(NameId(7), ([10, 0, 0, 7], 7_000).into(), beacon);
}

/// Returns the status and whether a time to retry after is given.
fn refusal(routes: &TableRoutes) -> (StatusCode, bool) {
    let request = RouteRequest {
        request: "r-1",
        host: "site.example",
        path: "/new/1",
        method: &Method::GET,
        headers: &HeaderMap::new(),
        relayed: false,
        key: None,
    };
    let own = routes.route(&request, routes.mesh.now()).expect_err("there is no route");
    (own.status, own.retry_after.is_some())
}

/// Guards against 404 for a route of a table that was announced and has not been received yet.
#[test]
fn a_box_that_awaits_a_newer_table_does_not_deny_a_route() {
    let routes = routes();
    announce(&routes, 3);
    assert_eq!(refusal(&routes), (StatusCode::NOT_FOUND, false));
    announce(&routes, 4);
    assert_eq!(refusal(&routes), (StatusCode::SERVICE_UNAVAILABLE, true));
    routes.mesh.apply_table(&table_object("4", 40), "the test");
    assert_eq!(
        refusal(&routes),
        (StatusCode::SERVICE_UNAVAILABLE, true),
        "the table has been received, but the serving thread has not put it in force"
    );
    routes.mesh.in_force.store(routes.mesh.take_next_table());
    assert_eq!(refusal(&routes), (StatusCode::NOT_FOUND, false));
}
