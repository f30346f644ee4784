//! The command line that every daemon has: `run FILE` and `check FILE`.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What one daemon does with its settings.
#[derive(Clone, Copy, Debug)]
pub struct Program<S> {
    /// Reads and checks the settings.
    pub check: fn(&Path) -> Result<S>,
    /// Returns the name of the box that the settings are of.
    pub name: fn(&S) -> &str,
    /// Runs the box until a planned stop has ended.
    pub run: fn(&Path, S) -> Result<()>,
}

/// Runs what the command line asks for, under the name and words of `command`.
pub fn main<S>(command: Command, p: Program<S>) -> ExitCode {
    let name = command.get_name().to_owned();
    match go(command, p) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn go<S>(command: Command, p: Program<S>) -> Result<()> {
    let settings = || {
        Arg::new("settings")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Settings of this box, in INI")
    };
    let check = "Checks the settings and does nothing else";
    let args = command
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(HELP)
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Runs the box").arg(settings()))
        .subcommand(Command::new("check").about(check).arg(settings()))
        .get_matches();
    let (step, sub) = args.subcommand().expect("clap asks for one");
    let path = sub.get_one::<PathBuf>("settings").expect("clap asks for it");
    let settings = (p.check)(path)?;
    if step == "check" {
        println!("{}: settings of {} are fine", path.display(), (p.name)(&settings));
        return Ok(());
    }
    (p.run)(path, settings)
}

const HELP: &str = "\
Exit codes: 0 a planned stop has ended, 1 settings or ports are wrong, 2 usage.
SIGTERM or SIGINT begins a planned stop; open requests and sessions run to their end.";
