//! Simulates the load of typical deployments in one data hall.
//!
//! Each load is run with the policy under test, with a naive policy and with an oracle that knows
//! every fault, so that the results can be compared with the attainable ones.

mod hall;
mod plan;
mod worker;

use hall::{Report, play};
use plan::{Cut, Need, Plan, Policy, Sheds};
use rstest::rstest;

/// Simulated seconds per run.
const SECS: u64 = 30;
/// Number of seeds per result.
const SEEDS: u64 = 4;

/// Thirty seconds of low load in one data hall of a large fleet.
///
/// 58 boxes send requests to 57 upstreams with three slots each, a fifth of which are busy.
/// Processing takes 320 ms, after which 1.2 % of all requests fail on any upstream. In the logs of
/// a fleet of 293 boxes, each upstream becomes faulty once in 27 s of processing time. Three
/// quarters of the requests to it then fail at once, and 81 %, 59 % and 25 % of the faulty
/// upstreams are still faulty after 3 s, 4 s and 6 s.
const CALM: Plan = Plan {
    policy: Policy::Ours,
    boxes: 58,
    upstreams: 57,
    slots: 3,
    orders: 110.0,
    reads: 6.0,
    work_ms: 320.0,
    base: 0.012,
    gap_s: 25.0,
    spell_s: 5.0,
    fails: 0.75,
    fails_ms: 0,
    sheds: Sheds { from: 0, to: 0, share: 0.0 },
    backoff_ms: 0,
    cut: Cut { boxes: 0, upstreams: 0 },
    need: Need { upstreams: 0, rate: 0.0, from: 0 },
    seed: 1,
};
/// Low load in a data hall of a small fleet, where the floor needs nearly all upstreams.
const SMALL: Plan = Plan { boxes: 12, upstreams: 6, orders: 21.0, reads: 3.0, ..CALM };
/// Low load with upstreams that become faulty twice as often.
const PRONE: Plan = Plan { gap_s: 13.0, ..CALM };
/// Low load with upstreams that become faulty every twelve seconds, so that many requests fail.
const ILL: Plan = Plan { gap_s: 7.0, ..CALM };
/// Low load where a fifth of the boxes cannot connect to two fifths of the upstreams.
///
/// The boxes retry on other upstreams at once, so no requests are lost.
const CUT: Plan = Plan { cut: Cut { boxes: 12, upstreams: 23 }, ..CALM };
/// Low load with half of the slots busy.
const BUSY: Plan = Plan { orders: 200.0, ..CALM };
/// Low load where all upstreams reject 45 % of the requests for ten seconds.
///
/// The upstreams have free slots, so the retry budget is the limiting factor.
const SHEDDING: Plan = Plan { sheds: Sheds { from: 10_000, to: 20_000, share: 0.45 }, ..CALM };

/// Load of a fleet whose faulty upstreams leave requests pending.
///
/// 38 boxes send 156 orders per second of 240 ms to 40 upstreams with three slots each, a third of
/// which are busy. Three quarters of the requests to a faulty upstream hang until the route's
/// timeout of 3 s. Modelled on the deployment whose orders grew to 40 % of all requests.
const HANGING: Plan = Plan {
    boxes: 38,
    upstreams: 40,
    orders: 156.0,
    reads: 4.0,
    work_ms: 240.0,
    fails_ms: 3_000,
    ..CALM
};

/// Downloads on a route without a timeout, which hang until the client gives up.
///
/// 113 boxes send 77 downloads per second of 200 ms to 16 upstreams with three slots each, a third
/// of which are busy. Three quarters of the requests to a faulty upstream hang for eight seconds.
/// Modelled on the deployment whose faulty upstreams leave requests pending.
const DOWNLOADS: Plan = Plan {
    boxes: 113,
    upstreams: 16,
    orders: 0.0,
    reads: 77.0,
    work_ms: 200.0,
    fails_ms: 8_000,
    ..CALM
};

/// A small data hall where two upstreams announce a limit of 2.2 requests per second.
///
/// The limit is somewhat over half of their usual traffic. On a fleet of forty boxes, upstreams
/// that announced limits of 2 and 3.1 requests per second were sent 6 and 10.
const IN_NEED: Plan = Plan {
    boxes: 12,
    upstreams: 10,
    orders: 30.0,
    reads: 6.0,
    need: Need { upstreams: 2, rate: 2.2, from: 10_000 },
    ..CALM
};
/// The same with limits of one request per second.
const IN_GREAT_NEED: Plan =
    Plan { need: Need { upstreams: 2, rate: 1.0, from: 10_000 }, ..IN_NEED };
/// A large fleet where all upstreams announce a limit of half of their usual traffic.
const ALL_IN_NEED: Plan = Plan { need: Need { upstreams: 57, rate: 1.0, from: 10_000 }, ..CALM };
/// The same with a tenth of the traffic, or nearly one minute per box and upstream.
const ALL_IN_GREAT_NEED: Plan =
    Plan { need: Need { upstreams: 57, rate: 0.2, from: 10_000 }, ..CALM };

/// Means over all seeds, except for the floor, which is the minimum.
struct Means {
    /// Share of orders that were not served.
    lost: f64,
    floor: f64,
}

fn means(plan: Plan) -> Means {
    let reports: Vec<Report> = (1..=SEEDS).map(|seed| play(Plan { seed, ..plan }, SECS)).collect();
    let lost = reports.iter().map(|r| r.orders.lost()).sum::<f64>() / SEEDS as f64;
    let in_aim = reports.iter().map(|r| r.orders.in_aim()).sum::<f64>() / SEEDS as f64;
    let floor = reports.iter().map(|r| r.floor).fold(1.0, f64::min);
    let (orders, trials) = reports
        .iter()
        .fold((0, 0), |(sent, trials), r| (sent + r.orders.sent, trials + r.orders.trials));
    println!(
        "{:?}: lost {lost:.4}, in aim {in_aim:.4}, trials {:.3}, floor {floor:.2}; {:?}",
        plan.policy,
        trials as f64 / orders as f64,
        reports[0],
    );
    Means { lost, floor }
}

/// Guards against sending requests to faulty upstreams only to keep the floor.
///
/// When each upstream had to receive a request every 1.65 s, 0.046, 0.021 and 0.076 of the orders
/// were lost (mean of sixteen seeds). The bounds allow for the variance of four seeds.
#[rstest]
#[case::calm(CALM, 0.031)]
#[case::small(SMALL, 0.025)]
#[case::prone(PRONE, 0.045)]
#[case::ill(ILL, 0.080)]
#[case::busy(BUSY, 0.0235)]
#[case::cut(CUT, 0.031)]
#[case::hanging(HANGING, 0.031)]
fn orders_are_seldom_lost_to_spells_and_the_floor_is_kept(#[case] plan: Plan, #[case] most: f64) {
    let ours = means(plan);
    assert!(ours.lost <= most, "{} of the orders were lost", ours.lost);
    assert!(ours.floor >= 0.7, "{} of the upstreams that were well had work", ours.floor);
}

#[test]
fn the_calm_load_tells_policies_apart() {
    let naive = means(Plan { policy: Policy::Naive, ..CALM });
    let oracle = means(Plan { policy: Policy::Oracle, ..CALM });
    assert!(naive.lost >= 0.15, "{} of the orders were lost", naive.lost);
    assert!(oracle.lost <= 0.015, "{} of the orders were lost", oracle.lost);
}

#[test]
fn where_all_turn_requests_away_what_is_lost_is_near_what_the_budget_costs() {
    let ours = means(SHEDDING);
    let oracle = means(Plan { policy: Policy::Oracle, ..SHEDDING });
    assert!(ours.lost <= oracle.lost + 0.035, "{} and {}", ours.lost, oracle.lost);
}

/// The operators' bound is 1.5 times the limit over four seconds, plus five requests.
///
/// The limits must also be used up to a minimum, since an upstream that announces a limit is not
/// faulty.
#[rstest]
#[case::two(IN_NEED, SECS, 0.6)]
#[case::two_more(IN_GREAT_NEED, SECS, 0.6)]
#[case::all(ALL_IN_NEED, SECS, 0.9)]
#[case::all_more(ALL_IN_GREAT_NEED, 2 * SECS, 0.9)]
fn upstreams_that_name_a_limit_get_it_and_no_more(
    #[case] plan: Plan,
    #[case] secs: u64,
    #[case] least: f64,
) {
    for seed in 1..=SEEDS {
        let r = play(Plan { seed, ..plan }, secs);
        let allowed = plan.need.rate.mul_add(1.5 * 4.0, 5.0) as usize;
        println!("{:?} {} of {allowed}, used {:.2}", plan.need, r.most_sent, r.limit_used);
        assert!(r.most_sent <= allowed, "{} in four seconds, {allowed} allowed", r.most_sent);
        assert!(r.limit_used >= least, "{} of what the limits allow", r.limit_used);
    }
}

#[test]
fn upstreams_in_need_cost_the_others_callers_next_to_nothing() {
    let plan = Plan { need: Need::default(), ..IN_NEED };
    let (calm, need) = (means(plan), means(IN_NEED));
    assert!(need.lost <= calm.lost + 0.01, "{} and {}", need.lost, calm.lost);
}

/// Guards against starving recovered upstreams of downloads while many requests are lost.
///
/// Clients wait for eight seconds, so two or three requests from the fault still hang on each
/// upstream with few slots after it has recovered. An upstream with a free slot is avoided for two
/// to four seconds from when the hang was detected, which is seconds after the request was sent. An
/// upstream whose slots all hang gets no probe. Upstreams that had been healthy for over two
/// seconds then received no request for two seconds, while more than a tenth of the requests were
/// lost.
#[rstest]
#[case::every_18_s(13.0, 1)]
#[case::every_12_s(7.0, 3)]
fn downloads_that_hang_leave_the_floor(#[case] gap_s: f64, #[case] seed: u64) {
    let r = play(Plan { gap_s, seed, ..DOWNLOADS }, SECS + 10);
    assert!(r.floor_in_trouble >= 0.7, "{} of those that were well had work", r.floor_in_trouble);
}

/// Returns the requests per second that all upstreams of a plan can process.
fn capacity(plan: &Plan) -> f64 {
    // One request in 33 takes 2.5 times as long.
    (plan.upstreams * plan.slots) as f64 * 1e3 / (plan.work_ms * 1.045)
}

/// Prints the served requests where rejections request a backoff, by load and duration.
#[test]
#[ignore = "prints figures, and plays for minutes"]
fn figures_of_backoffs() {
    const MANY: u64 = 3;
    for (name, base) in [("hall of 58", CALM), ("hall of 12", SMALL)] {
        for load in [0.9, 1.0, 1.5, 2.0, 4.0] {
            for backoff_ms in [0, 200, 1_000, 3_000, 10_000] {
                let rate = capacity(&base) * load;
                let plan = Plan { orders: rate * 0.5, reads: rate * 0.5, backoff_ms, ..base };
                let reports: Vec<Report> =
                    (1..=MANY).map(|seed| play(Plan { seed, ..plan }, SECS)).collect();
                let mean = |f: fn(&Report) -> f64| reports.iter().map(f).sum::<f64>() / MANY as f64;
                let served = mean(|r| {
                    (r.orders.in_aim + r.reads.in_aim + r.orders.late + r.reads.late) as f64
                });
                let in_aim = mean(|r| (r.orders.in_aim + r.reads.in_aim) as f64);
                let owed = capacity(&base).min(rate) * (SECS - 8) as f64;
                let rejected = mean(|r| r.rejected as f64) / (rate * SECS as f64);
                let most = reports.iter().map(|r| r.most_in_backoff).max().unwrap_or(0);
                println!(
                    "{name} x{load} backoff {backoff_ms}: served {:.3} in aim {:.3} of what could be, rejected {rejected:.3}, most in one {most}",
                    served / owed,
                    in_aim / owed
                );
            }
        }
    }
}

/// Prints the lost requests of each load over twelve seeds, to compare policies.
#[test]
#[ignore = "prints figures, and plays for half a minute"]
fn figures_of_the_loads() {
    const MANY: u64 = 12;
    let hanging_prone = Plan { gap_s: 13.0, ..HANGING };
    let loads = [CALM, PRONE, ILL, BUSY, SMALL, HANGING, hanging_prone];
    let names = ["calm", "prone", "ill", "busy", "small", "hanging", "hanging and prone"];
    for (name, plan) in names.into_iter().zip(loads) {
        let reports: Vec<Report> =
            (1..=MANY).map(|seed| play(Plan { seed, ..plan }, SECS)).collect();
        let mean = |f: fn(&Report) -> f64| reports.iter().map(f).sum::<f64>() / MANY as f64;
        let lost = mean(|r| r.orders.lost());
        let in_aim = mean(|r| r.orders.in_aim());
        let floor = reports.iter().map(|r| r.floor).fold(1.0, f64::min);
        println!("{name}: lost {lost:.4}, in aim {in_aim:.4}, floor {floor:.2}");
    }
}

/// Prints the minimum floor of hanging downloads while many requests are lost.
#[test]
#[ignore = "prints figures"]
fn figures_of_downloads() {
    for gap_s in [13.0, 7.0] {
        let floors: Vec<String> = (1..=12)
            .map(|seed| play(Plan { gap_s, seed, ..DOWNLOADS }, SECS + 10))
            .map(|r| format!("{:.2}/{:.3}", r.floor_in_trouble, r.reads.lost()))
            .collect();
        println!("gap {gap_s}: {}", floors.join(" "));
    }
}
