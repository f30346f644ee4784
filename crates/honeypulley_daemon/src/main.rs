//! The daemon of one box.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use std::path::PathBuf;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> std::process::ExitCode {
    match go() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("honeypulleyd: {e:#}");
            std::process::ExitCode::FAILURE
        }
    }
}

fn go() -> Result<()> {
    let settings = || {
        Arg::new("settings")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Settings of this box, in INI")
    };
    let args = Command::new("honeypulleyd")
        .about("Carries requests and sessions from callers to upstreams on one box")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Exit codes: 0 a planned stop has ended, 1 settings or ports are wrong, 2 usage.\nSIGTERM or SIGINT begins a planned stop; open requests and sessions run to their end.")
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Runs the box").arg(settings()))
        .subcommand(Command::new("check").about("Checks the settings and does nothing else").arg(settings()))
        .get_matches();
    let (name, sub) = args.subcommand().expect("clap asks for one");
    let path = sub.get_one::<PathBuf>("settings").expect("clap asks for it");
    let settings = honeypulley_daemon::start::check(path)?;
    if name == "check" {
        println!("{}: settings of {} are fine", path.display(), settings.name);
        return Ok(());
    }
    honeypulley_daemon::start::run(settings)
}
