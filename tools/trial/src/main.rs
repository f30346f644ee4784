//! Compares the routing policies in a simulation of the users' deployments.
//!
//! Time is simulated and seeds are fixed, so that the same command prints the same
//! figures. The policy library is the one that the daemons use; upstreams, network
//! and the permit object of the platform are simulated.

mod model;
mod report;
mod sizes;

use clap::{Arg, ArgAction, Command, value_parser};
use model::{Fault, Policy, Run, Scenario};
use report::Table;
use sizes::SIZES;

/// Policies in the order in which the table lists them.
const POLICIES: [Policy; 6] =
    [Policy::Naive, Policy::Alone, Policy::Home, Policy::Shared, Policy::Belief, Policy::Oracle];

fn main() {
    let args = Command::new("trial")
        .about("Compares the routing policies in a simulation, paired by seed")
        .arg(Arg::new("seeds").long("seeds").default_value("20").value_parser(value_parser!(u64)))
        .arg(Arg::new("size").long("size").help("Run only this size, such as guestlist"))
        .arg(
            Arg::new("explain")
                .long("explain")
                .action(ArgAction::SetTrue)
                .help("Print when and why healthy upstreams were suspected"),
        )
        .get_matches();
    let explain = args.get_flag("explain");
    let seeds = *args.get_one::<u64>("seeds").expect("has a default");
    let selected = args.get_one::<String>("size");
    for size in SIZES.iter().filter(|s| selected.is_none_or(|o| o == s.name)) {
        println!(
            "\n## {} ({} boxes, {} upstreams of {} slots, lean {})",
            size.name, size.boxes, size.upstreams, size.slots, size.lean
        );
        let mut table = Table::new();
        // The deployments on the platform use a third of their slots, according to
        // their data sheets, and their requests must not be repeated.
        let on_platform = size.flaky_share > 0.0;
        let usual_usage = if on_platform { 0.32 } else { 0.6 };
        let gray = Fault::GRAY.map(|f| (f, usual_usage));
        let healthy = [0.3, 0.6, 0.85].map(|u| (Fault::None, u));
        let rows = gray.into_iter().chain(healthy).chain([(Fault::Overload, usual_usage)]);
        for (fault, usage) in rows {
            for policy in POLICIES {
                let scenario = Scenario { size, fault, policy, usage, repeatable: !on_platform };
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
