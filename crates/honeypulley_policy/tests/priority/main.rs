//! Simulates shortages of a service whose routes differ in priority.

mod fleet;
mod level;
mod plan;

use fleet::{Fleet, simulate};
use honeypulley_policy::balance::Level;
use plan::{Counts, Kind, Plan};
use rstest::rstest;

const READS: Kind = Kind {
    priority: 1,
    repeatable: true,
    rate: 304.0,
    work: 190.0,
    target: 800,
    limit: 1_200,
    hall: None,
};
const ORDERS: Kind = Kind {
    priority: 2,
    repeatable: false,
    rate: 754.0,
    work: 240.0,
    target: 2_000,
    limit: 1_500,
    hall: None,
};
const POSTS: Kind = Kind {
    priority: 1,
    repeatable: false,
    rate: 586.0,
    work: 230.0,
    target: 1_000,
    limit: 3_000,
    hall: None,
};
const HISTORY: Kind = Kind { priority: 2, repeatable: true, rate: 223.0, work: 180.0, ..POSTS };
const SHOPS: &[Kind] = &[READS, ORDERS];
const LEDGERS: &[Kind] = &[POSTS, HISTORY];
/// An urgent kind that few boxes see.
const RARE: &[Kind] = &[Kind { priority: 0, rate: 40.0, hall: Some(0), ..READS }, READS, ORDERS];

/// An urgent kind of one data hall, whose boxes alone know of it.
const LOCAL: &[Kind] = &[Kind { rate: 150.0, hall: Some(0), ..READS }, ORDERS];

/// Priorities of three organisations and the two routes of the shops.
const PAIRS: &[(u8, u8)] = &[(0, 1), (0, 2), (1, 1), (1, 2), (2, 1), (2, 2)];

/// The shops' requests of three organisations, ranked by organisation and route.
const ORGANISATIONS: &[Kind] = &[
    of_organisation(READS, 0),
    of_organisation(ORDERS, 1),
    of_organisation(READS, 2),
    of_organisation(ORDERS, 3),
    of_organisation(READS, 4),
    of_organisation(ORDERS, 5),
];

/// The same, ranked by organisation alone.
const ORGANISATIONS_ALONE: &[Kind] = &[
    of_organisation(READS, 0),
    of_organisation(ORDERS, 0),
    of_organisation(READS, 1),
    of_organisation(ORDERS, 1),
    of_organisation(READS, 2),
    of_organisation(ORDERS, 2),
];

/// Returns the plan with the shops' requests of three organisations.
const fn with_organisations(plan: Plan) -> Plan {
    Plan { kinds: ORGANISATIONS, ranked: PAIRS, ..plan }
}

const fn of_organisation(all: Kind, priority: u8) -> Kind {
    Kind { priority, rate: all.rate / 3.0, ..all }
}

/// Kinds of one priority.
const ALIKE: &[Kind] = &[Kind { priority: 2, ..READS }, ORDERS];

const BASE: Plan = Plan {
    kinds: SHOPS,
    ranked: &[],
    is_ranked: true,
    announces: true,
    floor: 0.1,
    halls: 3,
    boxes: 10,
    upstreams: 16,
    usual: 0.5,
    peak: 1.3,
    step: (6_000, 11_000),
    until: 16_000,
    skew: 0.0,
    loss: 0.01,
    cut: false,
    frozen: false,
    down: 0,
    hanging: false,
    shedding: 0.0,
    announced: None,
    seed: 1,
};

const LONG: Plan = Plan { step: (6_000, 26_000), until: 30_000, ..BASE };

#[test]
#[ignore = "prints the figures of the design note"]
fn figures() {
    let loads = [
        ("shops 1.3", BASE),
        ("shops 1.3 20s", LONG),
        ("shops 2", Plan { peak: 2.0, ..BASE }),
        ("shops 2 20s", Plan { peak: 2.0, ..LONG }),
        ("shops skewed", Plan { skew: 0.6, ..LONG }),
        ("shops crash", Plan { down: 3, peak: 0.9, usual: 0.6, ..LONG }),
        ("shops hangs", Plan { hanging: true, peak: 1.0, ..LONG }),
        ("shops shed", Plan { shedding: 0.45, peak: 0.5, ..BASE }),
        ("rare", Plan { kinds: RARE, ..LONG }),
        ("rare 2", Plan { kinds: RARE, peak: 2.0, ..BASE }),
        ("local", Plan { kinds: LOCAL, ..LONG }),
        ("local 2", Plan { kinds: LOCAL, peak: 2.0, ..LONG }),
        ("ledgers 1.3", Plan { kinds: LEDGERS, ..LONG }),
        ("ledgers 2", Plan { kinds: LEDGERS, peak: 2.0, ..LONG }),
        ("ledgers skewed", Plan { kinds: LEDGERS, skew: 0.6, ..LONG }),
        ("ledgers hangs", Plan { kinds: LEDGERS, hanging: true, peak: 1.0, ..LONG }),
    ];
    for (name, plan) in loads {
        for (way, is_ranked, announces) in
            [("present", false, false), ("bounds", true, false), ("level", true, true)]
        {
            print_figures(name, way, Plan { is_ranked, announces, ..plan });
        }
    }
}

#[test]
#[ignore = "prints the figures of the design note"]
fn figures_of_organisations() {
    let loads = [
        ("1.3", LONG),
        ("1.3 5s", BASE),
        ("2", Plan { peak: 2.0, ..LONG }),
        ("crash", Plan { down: 3, peak: 0.9, usual: 0.6, ..LONG }),
        ("skewed", Plan { skew: 0.6, ..LONG }),
    ];
    for (name, plan) in loads {
        print_figures(name, "alone", Plan { kinds: ORGANISATIONS_ALONE, ..plan });
        print_figures(name, "pairs", with_organisations(plan));
    }
}

fn print_figures(name: &str, way: &str, plan: Plan) {
    print!("{name:15} {way:8}");
    let runs: Vec<(Plan, Fleet)> =
        (1..=3).map(|seed| Plan { seed, ..plan }).map(|p| (p, simulate(p))).collect();
    let all: Vec<_> = runs.iter().flat_map(|(_, f)| f.ended.iter().copied()).collect();
    let in_step = |e: &fleet::Ended| (plan.step.0..plan.step.1).contains(&e.began);
    for kind in 0..plan.kinds.len() {
        let c = Counts::of(&plan, &all, |e| e.kind == kind && in_step(e));
        print!("  {:.3}/{:.3}", c.served(), c.in_time());
    }
    let c = Counts::of(&plan, &all, in_step);
    let announced: usize = runs.iter().map(|(_, f)| f.announced).sum();
    let slots = plan.halls * plan.upstreams * fleet::SLOTS;
    let used = runs.iter().flat_map(|(_, f)| f.used.iter());
    let used: Vec<f64> = used
        .filter(|(at, _)| (plan.step.0 + 500..plan.step.1).contains(at))
        .map(|&(_, n)| n as f64 / slots as f64)
        .collect();
    let used = used.iter().sum::<f64>() / used.len() as f64;
    println!("  used {used:.3} all {:.3} value {:.3} announced {announced}", c.served(), c.value());
}

/// Length of the windows in which kinds are compared, in ms.
const WINDOW_MS: u64 = 2_000;
/// Standard deviations that count as sampling.
const SAMPLING: f64 = 3.0;

/// Returns the counts of a kind over the requests that began within a span.
fn counts(fleet: &Fleet, plan: &Plan, kind: usize, from: u64, to: u64) -> Counts {
    Counts::of(plan, &fleet.ended, |e| e.kind == kind && (from..to).contains(&e.began))
}

/// Returns how much less often the first counts are served than the second, beyond sampling.
fn shortfall(first: &Counts, second: &Counts) -> f64 {
    let all = (first.served + second.served) / (first.sent + second.sent);
    let deviation = (all * (1.0 - all) * (1.0 / first.sent + 1.0 / second.sent)).sqrt();
    second.served() - first.served() - SAMPLING * deviation
}

/// Guards against a shortage that hits more urgent requests harder than less urgent ones.
#[rstest]
#[case::step(BASE)]
#[case::large_step(Plan { peak: 2.0, ..BASE })]
#[case::three_kinds(Plan { kinds: RARE, ..BASE })]
#[case::unknown_kind(Plan { kinds: LOCAL, peak: 2.0, ..BASE })]
#[case::ledgers(Plan { kinds: LEDGERS, skew: 0.6, ..BASE })]
#[case::one_hall(Plan { skew: 0.6, ..BASE })]
#[case::lost_updates(Plan { loss: 0.1, ..BASE })]
#[case::partitioned_box(Plan { cut: true, ..BASE })]
#[case::frozen_box(Plan { frozen: true, ..BASE })]
#[case::crash(Plan { down: 3, peak: 0.9, ..BASE })]
fn urgent_kinds_are_served_as_often(#[case] plan: Plan) {
    let fleet = simulate(plan);
    for from in (plan.step.0..plan.step.1).step_by(250) {
        let all = (0..plan.kinds.len()).map(|k| counts(&fleet, &plan, k, from, from + WINDOW_MS));
        let all: Vec<Counts> = all.collect();
        for pair in all.windows(2).filter(|p| p[0].sent > 0.0 && p[1].sent > 0.0) {
            assert!(shortfall(&pair[0], &pair[1]) <= 0.0, "from {from}: {all:?}");
        }
    }
}

/// Guards against urgent requests that are late although the less urgent ones could yield.
#[rstest]
#[case::step(BASE)]
#[case::large_step(Plan { peak: 2.0, ..BASE })]
#[case::crash(Plan { down: 3, peak: 0.9, ..BASE })]
#[case::hangs(Plan { hanging: true, peak: 1.0, ..LONG })]
#[case::unknown_kind(Plan { kinds: LOCAL, peak: 2.0, ..LONG })]
#[case::ledgers(Plan { kinds: LEDGERS, ..LONG })]
#[case::large_ledgers(Plan { kinds: LEDGERS, peak: 2.0, ..LONG })]
fn urgent_requests_are_in_time_more_often(#[case] plan: Plan) {
    let [present, ranked] = [false, true].map(|is_ranked| {
        let plan = Plan { is_ranked, ..plan };
        counts(&simulate(plan), &plan, 0, plan.step.0, plan.step.1).in_time()
    });
    assert!(ranked > present + 0.1, "{present:.3} by the rule without priorities, {ranked:.3}");
}

/// Guards against free slots while less urgent requests are rejected, and against less value.
#[rstest]
#[case::step(LONG)]
#[case::large_step(Plan { peak: 2.0, ..LONG })]
#[case::crash(Plan { down: 3, peak: 0.9, ..LONG })]
#[case::shedding(Plan { shedding: 0.45, peak: 0.5, ..BASE })]
fn capacity_is_not_wasted(#[case] plan: Plan) {
    let [present, ranked] = [false, true].map(|is_ranked| {
        let plan = Plan { is_ranked, ..plan };
        let in_step = |e: &fleet::Ended| (plan.step.0..plan.step.1).contains(&e.began);
        Counts::of(&plan, &simulate(plan).ended, in_step)
    });
    assert!(ranked.served() > present.served() - 0.01, "{present:?} {ranked:?}");
    assert!(ranked.value() > present.value() - 0.01, "{present:?} {ranked:?}");
}

/// Returns the counts of each kind over the step.
fn step_counts(plan: Plan) -> Vec<Counts> {
    let fleet = simulate(plan);
    (0..plan.kinds.len()).map(|k| counts(&fleet, &plan, k, plan.step.0, plan.step.1)).collect()
}

/// Guards against an organisation's priority that hides the order of its routes.
#[rstest]
#[case::step(LONG)]
#[case::large_step(Plan { peak: 2.0, ..LONG })]
fn urgent_routes_of_each_organisation_go_first(#[case] plan: Plan) {
    let alone = step_counts(Plan { kinds: ORGANISATIONS_ALONE, ..plan });
    let pairs = step_counts(with_organisations(plan));
    for (before, now) in alone.chunks(2).zip(pairs.chunks(2)) {
        assert!(shortfall(&now[0], &now[1]) <= 0.0, "{now:?}, before {before:?}");
    }
    let urgent = |all: &[Counts]| all.iter().step_by(2).map(Counts::in_time).sum::<f64>() / 3.0;
    assert!(urgent(&pairs) > urgent(&alone) + 0.02, "{pairs:?}, before {alone:?}");
}

/// Guards against routes that come before organisations, and against slots that stay free.
#[rstest]
#[case::step(LONG)]
#[case::large_step(Plan { peak: 2.0, ..LONG })]
#[case::crash(Plan { down: 3, peak: 0.9, ..LONG })]
fn organisations_go_first_and_capacity_is_used(#[case] plan: Plan) {
    let alone = step_counts(Plan { kinds: ORGANISATIONS_ALONE, ..plan });
    let pairs = step_counts(with_organisations(plan));
    for route in [0, 1] {
        let of_route: Vec<&Counts> = pairs.iter().skip(route).step_by(2).collect();
        for pair in of_route.windows(2) {
            assert!(pair[0].served() > pair[1].served(), "{pairs:?}");
        }
    }
    let all = |counts: &[Counts], of: fn(&Counts) -> f64| {
        let sent: f64 = counts.iter().map(|c| c.sent).sum();
        counts.iter().map(|c| of(c) * c.sent).sum::<f64>() / sent
    };
    for of in [Counts::served, Counts::value] {
        assert!(all(&pairs, of) > all(&alone, of) - 0.01, "{pairs:?}, before {alone:?}");
    }
}

/// Guards against an admission that is slow, overshoots or oscillates.
#[rstest]
#[case::step(1.3)]
#[case::large_step(2.0)]
fn the_admission_settles(#[case] peak: f64) {
    let plan = Plan { peak, ..LONG };
    let fleet = simulate(plan);
    let (from, to) = plan.step;
    let steady = counts(&fleet, &plan, 1, from + 5_000, to).served();
    for at in (from + 1_000..to - 1_000).step_by(250) {
        let second = counts(&fleet, &plan, 1, at, at + 1_000);
        let deviation = (steady * (1.0 - steady) / second.sent).sqrt();
        let off = (second.served() - steady).abs() - SAMPLING * deviation;
        assert!(off < 0.1, "from {at}: {:.3} instead of {steady:.3}", second.served());
    }
    for at in (to + 1_000..plan.until - 1_000).step_by(250) {
        let second = counts(&fleet, &plan, 1, at, at + 1_000).served();
        assert!(second > 0.99, "from {at}: {second:.3} after the shortage");
    }
    let after = fleet.levels.iter().filter(|(at, _)| *at >= to + 1_000);
    let most = after.flat_map(|(_, levels)| levels).max();
    assert_eq!(most, Some(&0), "the level is not released");
}

/// Guards against announcements whose cost per box grows with the number of boxes.
#[test]
fn few_boxes_announce() {
    let plan = Plan { boxes: 30, upstreams: 8, usual: 1.3, until: 11_000, ..BASE };
    let fleet = simulate(plan);
    let second = plan.until as f64 / 1e3;
    let rate = fleet.announced as f64 / second;
    assert!(fleet.announced > 10 && rate < 45.0, "{rate:.1} announcements/s of 90 boxes");
}

/// Guards against a kind that is shut out, and against a floor of all that is not judged as today.
#[test]
fn the_floor_is_kept() {
    let served = |floor: f64| {
        let plan = Plan { floor, peak: 2.0, ..BASE };
        let fleet = simulate(plan);
        [0, 1].map(|k| counts(&fleet, &plan, k, plan.step.0 + 1_000, plan.step.1).served())
    };
    let (none, all) = (served(0.0), served(1.0));
    assert!(none[0] > all[0] + 0.2, "{none:?} without a floor, {all:?} with a floor of all");
    assert!(all[1] > none[1] + 0.05, "{none:?} without a floor, {all:?} with a floor of all");
}

/// Guards against any effect on a service whose routes have one priority.
#[test]
fn a_service_that_is_not_ranked_is_unaffected() {
    let run = |kinds, floor, announced| {
        let fleet = simulate(Plan { kinds, floor, announced, until: 9_000, ..BASE });
        let results: Vec<_> = fleet.ended.iter().map(|e| (e.kind, e.began, e.took)).collect();
        (results, fleet.levels, fleet.announced)
    };
    let high = Some(Level::at(0, 1.0));
    let without = run(ALIKE, 1.0, None);
    assert!(run(ALIKE, 0.0, None) == without, "the floor has an effect");
    assert!(run(ALIKE, 0.0, high) == without, "the announced level has an effect");
    assert_eq!(without.2, 0, "a level is announced");
    // The level does have an effect where priorities differ.
    assert!(run(SHOPS, 0.0, high).0 != run(SHOPS, 0.0, None).0, "no effect to be seen");
}
