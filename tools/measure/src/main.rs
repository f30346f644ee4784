//! Prints the figures of docs/CAPACITY.md anew.
//!
//! `overhead` pairs requests through one box with direct ones. `spread` times a
//! bundle from acceptance to in force on every box. `full` puts a bundle of full size on boxes. `slopes` gives memory and
//! processor time for each route, caller, service, upstream, report and member.
//! Build with `--release`, programs first.

mod full;
mod overhead;
mod slopes;
mod spread;
mod usage;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::Result;

/// Counts allocations, so that memory is reported exactly.
#[global_allocator]
static ALLOCATOR: cap::Cap<mimalloc::MiMalloc> = cap::Cap::new(mimalloc::MiMalloc, usize::MAX);

/// Returns the bytes that are allocated now.
fn allocated() -> f64 {
    ALLOCATOR.allocated() as f64
}

#[tokio::main]
async fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let args = Command::new("measure")
        .about("Prints the figures of docs/CAPACITY.md anew")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead").arg(number("seconds", "20")).arg(number("rate", "370")),
        )
        .subcommand(
            Command::new("spread").arg(number("boxes", "40")).arg(number("rounds", "10")).arg(
                Arg::new("freeze")
                    .long("freeze")
                    .action(ArgAction::SetTrue)
                    .help("Freezes two thirds of the relays"),
            ),
        )
        .subcommand(Command::new("slopes"))
        .subcommand(Command::new("full"))
        .get_matches();
    let (name, sub) = args.subcommand().expect("clap asks for one");
    let get = |k: &str| *sub.get_one::<u64>(k).expect("has a default");
    match name {
        "overhead" => overhead::run(get("rate"), get("seconds")).await,
        "spread" => spread::run(get("boxes") as usize, get("rounds"), sub.get_flag("freeze")).await,
        "full" => full::run().await,
        _ => slopes::run(),
    }
}
