//! Runs what CI runs.
//!
//! `cargo run -p ci` runs everything; `cargo run -p ci -- test` only the tests.

use clap::{Arg, Command as Cli};
use eyre::{Result, ensure};
use std::process::Command;

/// One step: its name and the arguments for cargo.
const STEPS: &[(&str, &[&str])] = &[
    ("format", &["fmt", "--all", "--check"]),
    ("lint", &["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"]),
    ("doc", &["doc", "--workspace", "--no-deps"]),
    // Process tests start the programs, so these are built first.
    ("test", &["build", "--workspace", "--bins", "--examples"]),
    ("test", &["test", "--workspace", "--exclude", "fleet"]),
    // Each of these starts a fleet; more at once would test the machine.
    ("test", &["test", "-p", "fleet", "--", "--test-threads=3"]),
];

fn main() -> Result<()> {
    let args = Cli::new("ci")
        .about("Runs what CI runs")
        .arg(Arg::new("step").help("Only this step: format, lint, doc or test"))
        .get_matches();
    let only = args.get_one::<String>("step");
    if let Some(name) = only {
        ensure!(STEPS.iter().any(|(s, _)| s == name), "no step is called {name}");
    }
    for (name, step) in STEPS.iter().filter(|(s, _)| only.is_none_or(|o| o == s)) {
        eprintln!("ci: {name}: cargo {}", step.join(" "));
        let status =
            Command::new("cargo").args(*step).env("RUSTDOCFLAGS", "-D warnings").status()?;
        ensure!(status.success(), "ci: {name} failed: {status}");
    }
    Ok(())
}
