//! Tests the ranks of the priorities of organisations and routes.

use honeypulley_policy::organisations::{OrganisationSpec, Organisations};
use honeypulley_policy::ranks::{PriorityRanks, RequestPriority};
use honeypulley_policy::route_mix::RouteMix;
use honeypulley_policy::routes::{CallerLimits, RequestKind, Route, RouteTable, Target};
use honeypulley_policy::spec::ServiceSpec;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

type Pair = (Option<u8>, u8);

fn priority((organisation, route): Pair) -> RequestPriority {
    RequestPriority::new(organisation, route)
}

fn ranks(occurring: &[Pair]) -> PriorityRanks {
    PriorityRanks::new(occurring.iter().copied().map(priority))
}

/// Returns a table with routes of these priorities, the first of which is public.
fn table(routes: &[u8], organisations: &[Option<u8>]) -> RouteTable {
    let route = |(i, &priority): (usize, &u8)| {
        Route::builder()
            .name(format!("r{i}"))
            .host("a.example")
            .prefix(format!("/{i}/"))
            .kind(RequestKind::Safe)
            .priority(priority)
            .public(i == 0)
            .targets(vec![Target { service: "s".to_owned(), weight: 1 }])
            .build()
    };
    let routes = routes.iter().enumerate().map(route).collect();
    let services = vec![ServiceSpec::builder().name("s").build()];
    let specs = organisations.iter().enumerate().map(|(i, &own)| {
        let keys = vec![format!("key-{i}")];
        OrganisationSpec::builder().name(format!("o{i}")).keys(keys).maybe_priority(own).build()
    });
    let organisations = Organisations::new(specs.collect()).expect("the organisations are valid");
    let table = RouteTable::new(1, services, routes, CallerLimits::default());
    table.expect("the routes are valid").with_organisations(organisations)
}

#[rstest]
#[case::organisation_first((Some(0), 2), (Some(1), 0))]
#[case::then_route((Some(1), 0), (Some(1), 2))]
#[case::absent_takes_the_route(( Some(1), 0), (None, 1))]
#[case::absent_before_less_urgent_routes((None, 1), (Some(1), 2))]
fn organisations_are_compared_before_routes(#[case] more: Pair, #[case] less: Pair) {
    assert!(priority(more) < priority(less));
    let ranks = ranks(&[more, less]);
    assert!(ranks.rank(priority(more)) < ranks.rank(priority(less)), "{ranks:?}");
}

/// Guards against other ranks than the routes' priorities where no organisation has one.
#[test]
fn without_priorities_of_organisations_the_rank_is_that_of_the_route() {
    let table = table(&[2, 0, 5, 15], &[None, None]);
    for route in 0..=RouteMix::LOWEST_PRIORITY {
        assert_eq!(table.ranks.rank(priority((None, route))), route);
    }
    assert_eq!(table.ranks, PriorityRanks::default());
    assert!(!table.services[0].mix.differ_by_route(0, 2));
}

/// The public route has no organisation, and one organisation has no priority.
#[test]
fn a_table_ranks_the_pairs_that_occur() {
    let table = table(&[1, 0, 2], &[Some(0), Some(1), None]);
    let expected = [(Some(0), 0), (Some(0), 2), (Some(1), 0), (None, 1), (Some(1), 2), (None, 2)];
    for (rank, pair) in (0..).zip(expected) {
        assert_eq!(table.ranks.rank(priority(pair)), rank, "{pair:?} {:?}", table.ranks);
    }
    let mix = table.services[0].mix;
    assert!(mix.differ_by_route(0, 1) && mix.differ_by_route(2, 4), "{mix:?}");
    assert!(!mix.differ_by_route(1, 2) && !mix.differ_by_route(4, 5), "{mix:?}");
}

/// Guards against rank 0, which is treated as the highest priority, for a less urgent request.
#[test]
fn rank_zero_is_kept_for_the_highest_priority() {
    let ranks = ranks(&[(Some(1), 0), (Some(1), 2), (Some(2), 0)]);
    assert_eq!(ranks.rank(priority((Some(1), 0))), 1);
    assert_eq!(ranks.rank(priority((Some(2), 0))), 3);
}

/// Organisations' priorities may be above those of routes.
#[test]
fn numbers_out_of_range_count_as_the_lowest() {
    let ranks = ranks(&[(Some(200), 0), (Some(1), 0), (Some(1), 1)]);
    assert!(ranks.rank(priority((Some(200), 0))) > ranks.rank(priority((Some(1), 1))));
}

/// Guards against routes that push the order of organisations out of the ranks.
#[test]
fn too_many_pairs_merge_the_least_urgent_routes() {
    let all = (0..5).flat_map(|o| (0..5).map(move |r| (Some(o), r)));
    let ranks = ranks(&all.collect::<Vec<_>>());
    for organisation in 0..5 {
        let [a, b, c, d] = [0, 1, 2, 4].map(|r| ranks.rank(priority((Some(organisation), r))));
        assert!(a < b && b < c && c == d, "{organisation}: {a} {b} {c} {d}");
        let next = ranks.rank(priority((Some(organisation + 1), 0)));
        assert!(organisation == 4 || d < next, "{organisation}: {d} {next}");
    }
}

fn pair() -> impl Strategy<Value = Pair> {
    (prop::option::of(0_u8..20), 0_u8..=RouteMix::LOWEST_PRIORITY)
}

proptest! {
    /// Ranks never contradict the priorities, and tell organisations apart.
    #[test]
    fn ranks_keep_the_order(all in prop::collection::vec(pair(), 1..60)) {
        let ranks = ranks(&all);
        let occurring: BTreeSet<RequestPriority> = all.iter().copied().map(priority).collect();
        let pairs = occurring.iter().zip(occurring.iter().skip(1));
        for (&more, &less) in pairs {
            let (a, b) = (ranks.rank(more), ranks.rank(less));
            prop_assert!(a <= b && b <= RouteMix::LOWEST_PRIORITY, "{more:?} {a}, {less:?} {b}");
            prop_assert!(more.first() == less.first() || a < b, "{more:?} {a}, {less:?} {b}");
        }
        for &p in &occurring {
            prop_assert!(ranks.rank(p) > 0 || p.first() == 0, "{p:?}");
        }
    }
}
