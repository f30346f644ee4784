//! Tests prefix matching and validation of the routing table.

use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::routes::{
    CallerLimits, RequestKind, Route, RouteError, RouteTable, Target,
};
use honeypulley_policy::spec::ServiceSpec;
use proptest::prelude::*;
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    let targets = vec![Target { service: "s".to_owned(), weight: 1 }];
    Route::builder()
        .name(name)
        .host(host)
        .prefix(prefix)
        .kind(RequestKind::Safe)
        .targets(targets)
        .build()
}

fn table(routes: Vec<Route>) -> Result<RouteTable, RouteError> {
    let services = vec![ServiceSpec::builder().name("s").build()];
    RouteTable::new(1, services, routes, CallerLimits::default())
}

#[rstest]
#[case("a.example", "/x/1", Some("x"))]
#[case("a.example", "/x/y/1", Some("xy"))]
#[case("a.example", "/x/y/", Some("xy"))]
#[case("a.example", "/x/yy/1", Some("x"))]
#[case("a.example", "/x/y", Some("x"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/z/x/1", None)]
#[case("b.example", "/x/1", None)]
#[case("b.example", "/1", Some("b"))]
#[case("a.example", "", None)]
fn the_longest_prefix_of_whole_segments_matches(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let t = table(vec![
        route("x", "a.example", "/x/"),
        route("xy", "a.example", "/x/y/"),
        route("b", "b.example", "/"),
    ])
    .expect("table is valid");
    let found = t.find(host, path).map(|r| r.name.as_str());
    // The route of `b.example` matches every path of the host.
    let expected = if host == "b.example" { Some("b") } else { expected };
    assert_eq!(found, expected);
}

#[rstest]
#[case("x/")]
#[case("/x")]
fn prefixes_without_slashes_are_rejected(#[case] prefix: &str) {
    let rejected = table(vec![route("r", "a", prefix)]);
    assert!(matches!(rejected, Err(RouteError::Prefix { .. })));
}

#[test]
fn routes_to_unknown_services_are_rejected() {
    let mut r = route("r", "a", "/x/");
    r.targets[0].service = "other".to_owned();
    assert!(matches!(table(vec![r]), Err(RouteError::UnknownService { .. })));
    let mut r = route("r", "a", "/x/");
    r.targets.clear();
    assert!(matches!(table(vec![r]), Err(RouteError::NoTarget { .. })));
}

#[test]
fn a_split_follows_its_weights() {
    let mut r = route("r", "a", "/x/");
    r.targets = vec![
        Target { service: "s".to_owned(), weight: 90 },
        Target { service: "t".to_owned(), weight: 10 },
    ];
    let mut rng = fastrand::Rng::with_seed(7);
    let to_t = (0..10_000).filter(|_| r.target(rng.f64()) == "t").count();
    assert!((900..1_100).contains(&to_t), "{to_t}");
}

proptest! {
    /// Compares with a linear search over all routes.
    #[test]
    fn find_agrees_with_a_linear_search(
        prefixes in prop::collection::btree_set("(/[ab]{1,2}){0,3}/", 1..8),
        path in "(/[ab]{1,2}){0,5}/?",
    ) {
        let routes: Vec<Route> = prefixes.iter().map(|p| route(p, "h", p)).collect();
        let t = table(routes).expect("table is valid");
        let linear = prefixes.iter().filter(|p| path.starts_with(p.as_str())).max_by_key(|p| p.len());
        prop_assert_eq!(t.find("h", &path).map(|r| &r.name), linear);
    }
}

/// Guards against scheduling by priority on services whose routes are all alike.
#[rstest]
#[case::one_route(&[(1, RequestKind::Safe)], (false, false))]
#[case::alike(&[(1, RequestKind::Safe), (1, RequestKind::Download)], (false, false))]
#[case::priorities(&[(1, RequestKind::Safe), (2, RequestKind::Safe)], (true, false))]
#[case::kinds(&[(1, RequestKind::Safe), (1, RequestKind::Unsafe)], (false, true))]
fn the_mix_of_a_service_shows_how_its_routes_differ(
    #[case] routes: &[(u8, RequestKind)],
    #[case] (is_ranked, is_mixed): (bool, bool),
) {
    let routes = routes.iter().enumerate().map(|(i, &(priority, kind))| Route {
        priority,
        kind,
        ..route(&format!("r{i}"), "a.example", &format!("/{i}/"))
    });
    let t = table(routes.collect()).expect("table is valid");
    let mix = t.services[0].mix;
    assert_eq!((mix.is_ranked(), mix.is_mixed()), (is_ranked, is_mixed));
}

#[rstest]
fn priorities_out_of_range_are_rejected() {
    let priority = RouteMix::LOWEST_PRIORITY + 1;
    let rejected = table(vec![Route { priority, ..route("r", "a", "/") }]);
    assert_eq!(rejected.err(), Some(RouteError::Priority { route: "r".to_owned(), priority }));
}
