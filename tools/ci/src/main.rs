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
    let red = known_red();
    for (name, step) in STEPS.iter().filter(|(s, _)| only.is_none_or(|o| o == s)) {
        let args = with_skips(step, &red);
        eprintln!("ci: {name}: cargo {}", args.join(" "));
        let status =
            Command::new("cargo").args(&args).env("RUSTDOCFLAGS", "-D warnings").status()?;
        ensure!(status.success(), "ci: {name} failed: {status}");
    }
    Ok(())
}

/// Returns the tests that are known to fail, and prints each with its cause.
///
/// A line of the file names a test, its cause and its issue, with commas between.
fn known_red() -> Vec<String> {
    let text = std::fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let lines = text.lines().filter(|l| !l.trim().is_empty());
    lines
        .map(|l| {
            eprintln!("ci: known red: {l}");
            l.split(',').next().unwrap_or(l).trim().to_owned()
        })
        .collect()
}

/// Returns a step's arguments, passing over the tests known to fail.
fn with_skips(step: &[&str], red: &[String]) -> Vec<String> {
    let mut args: Vec<String> = step.iter().map(|a| (*a).to_owned()).collect();
    if step.first() == Some(&"test") && !red.is_empty() {
        if !step.contains(&"--") {
            args.push("--".to_owned());
        }
        args.extend(red.iter().flat_map(|t| ["--skip".to_owned(), t.clone()]));
    }
    args
}
