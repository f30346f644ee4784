//! Measures the policy against the naive one on a model of the users' systems.
//!
//! Simulated time and fixed seeds: the same command prints the same figures.
//! The policy library is the one the daemons run; upstreams, network and the
//! platform's object are small fakes here.

mod model;
mod report;
mod sizes;

use clap::{Arg, ArgAction, Command, value_parser};
use model::{Fault, Policy, Run, Scenario};
use report::Table;
use sizes::SIZES;

/// Policies in the order of the table's rows.
const POLICIES: [Policy; 6] =
    [Policy::Naive, Policy::Alone, Policy::Home, Policy::Shared, Policy::Belief, Policy::Oracle];

fn main() {
    let args = Command::new("trial")
        .about("Measures the policy against the naive one, paired by seed")
        .arg(Arg::new("seeds").long("seeds").default_value("20").value_parser(value_parser!(u64)))
        .arg(Arg::new("size").long("size").help("Only this size, such as guestlist"))
        .arg(
            Arg::new("explain")
                .long("explain")
                .action(ArgAction::SetTrue)
                .help("Tells when and why healthy upstreams were suspected"),
        )
        .get_matches();
    let explain = args.get_flag("explain");
    let seeds = *args.get_one::<u64>("seeds").expect("has a default");
    let only = args.get_one::<String>("size");
    for size in SIZES.iter().filter(|s| only.is_none_or(|o| o == s.name)) {
        println!(
            "\n## {} ({} boxes, {} upstreams of {} slots, lean {})",
            size.name, size.boxes, size.upstreams, size.slots, size.lean
        );
        let mut table = Table::new();
        // The deployments' sheets say a third, and requests that may run once.
        let platform = size.prone > 0.0;
        let use_of = if platform { 0.32 } else { 0.6 };
        let gray = Fault::GRAY.map(|f| (f, use_of));
        let healthy = [0.3, 0.6, 0.85].map(|u| (Fault::None, u));
        let rows = gray.into_iter().chain(healthy).chain([(Fault::Overload, use_of)]);
        for (fault, usage) in rows {
            for policy in POLICIES {
                let scenario = Scenario { size, fault, policy, usage, repeatable: !platform };
                let runs: Vec<Run> = (0..seeds).map(|seed| model::run(&scenario, seed)).collect();
                if explain {
                    runs.iter()
                        .flat_map(|r| &r.notes)
                        .for_each(|n| println!("{fault:?} {policy:?}: {n}"));
                }
                table.add(&scenario, &runs);
            }
        }
        table.print();
    }
}
