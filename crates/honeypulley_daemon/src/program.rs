//! Command line shared by all daemons: `run FILE` and `check FILE`.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Functions of one daemon that act on its settings.
#[derive(Clone, Copy, Debug)]
pub struct Program<S> {
    /// Reads and validates the settings.
    pub check: fn(&Path) -> Result<S>,
    /// Returns the name of the box that the settings describe.
    pub name: fn(&S) -> &str,
    /// Runs the box until its graceful shutdown is complete.
    pub run: fn(&Path, S) -> Result<()>,
}

/// Parses the command line of `command` and runs the requested subcommand.
pub fn main<S>(command: Command, program: Program<S>) -> ExitCode {
    let name = command.get_name().to_owned();
    match dispatch(command, program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch<S>(command: Command, program: Program<S>) -> Result<()> {
    let settings = || {
        Arg::new("settings")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Settings of this box, an INI file")
    };
    let check = "Validates the settings without starting the box";
    let args = command
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(HELP)
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Runs the box").arg(settings()))
        .subcommand(Command::new("check").about(check).arg(settings()))
        .get_matches();
    let (subcommand, sub) = args.subcommand().expect("a subcommand is required");
    let path = sub.get_one::<PathBuf>("settings").expect("the argument is required");
    let settings = (program.check)(path)?;
    if subcommand == "check" {
        println!("{}: settings of {} are valid", path.display(), (program.name)(&settings));
        return Ok(());
    }
    (program.run)(path, settings)
}

const HELP: &str = "\
Exit codes: 0 graceful shutdown complete, 1 invalid settings or a failed start, 2 usage.
SIGTERM or SIGINT starts a graceful shutdown; open requests and sessions are completed,
within the grace if the settings name one.";
