//! Measures the figures of docs/CAPACITY.md.
//!
//! - `overhead` compares the latency of requests through one box with direct ones.
//! - `spread` measures the time from the acceptance of a bundle until it is in force
//!   on every box.
//! - `full` rolls out a bundle of full size on three boxes.
//! - `slopes` measures memory and processor time for each route, caller, service,
//!   upstream, report and member.
//!
//! Build all programs of the workspace with `--release` first.

mod full;
mod overhead;
mod slopes;
mod spread;
mod usage;

use clap::{Arg, ArgAction, Command, value_parser};
use eyre::Result;

/// Allocator that counts allocated bytes, for exact memory figures.
#[global_allocator]
static ALLOCATOR: cap::Cap<mimalloc::MiMalloc> = cap::Cap::new(mimalloc::MiMalloc, usize::MAX);

/// Returns the number of bytes currently allocated.
fn allocated_bytes() -> f64 {
    ALLOCATOR.allocated() as f64
}

#[tokio::main]
async fn main() -> Result<()> {
    let u64_arg = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let args = Command::new("measure")
        .about("Measures the figures of docs/CAPACITY.md")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead").arg(u64_arg("seconds", "20")).arg(u64_arg("rate", "370")),
        )
        .subcommand(
            Command::new("spread").arg(u64_arg("boxes", "40")).arg(u64_arg("rounds", "10")).arg(
                Arg::new("freeze")
                    .long("freeze")
                    .action(ArgAction::SetTrue)
                    .help("Suspend two thirds of the relays"),
            ),
        )
        .subcommand(Command::new("slopes"))
        .subcommand(Command::new("full"))
        .get_matches();
    let (name, sub) = args.subcommand().expect("clap requires a subcommand");
    let number_arg = |k: &str| *sub.get_one::<u64>(k).expect("has a default");
    match name {
        "overhead" => overhead::run(number_arg("rate"), number_arg("seconds")).await,
        "spread" => {
            spread::run(number_arg("boxes") as usize, number_arg("rounds"), sub.get_flag("freeze"))
                .await
        }
        "full" => full::run().await,
        _ => slopes::run(),
    }
}
