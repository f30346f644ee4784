//! Runs the checks of the CI pipeline: formatter, linter, documentation and tests.
//!
//! `cargo run -p ci` runs all of them, `cargo run -p ci -- test` only the tests.

use clap::{Arg, Command as Cli};
use eyre::{Result, ensure};
use std::process::Command;

/// Steps in order: name and arguments for cargo.
const STEPS: &[(&str, &[&str])] = &[
    ("format", &["fmt", "--all", "--check"]),
    ("lint", &["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"]),
    ("doc", &["doc", "--workspace", "--no-deps"]),
    // The process tests start these programs, which `cargo test` alone does not build.
    ("test", &["build", "--workspace", "--bins", "--examples"]),
    ("test", &["test", "--workspace", "--exclude", "fleet"]),
    // Each test starts a whole fleet; more in parallel overload the machine.
    ("test", &["test", "-p", "fleet", "--", "--test-threads=3"]),
];

fn main() -> Result<()> {
    let args = Cli::new("ci")
        .about("Runs the checks of the CI pipeline")
        .arg(Arg::new("step").help("Run only this step: format, lint, doc or test"))
        .get_matches();
    let selected = args.get_one::<String>("step");
    if let Some(name) = selected {
        ensure!(
            STEPS.iter().any(|(s, _)| s == name),
            "unknown step {name}; expected format, lint, doc or test"
        );
    }
    let known_failures = read_known_failures();
    for (name, step) in STEPS.iter().filter(|(s, _)| selected.is_none_or(|o| o == s)) {
        let args = with_skipped_tests(step, &known_failures);
        eprintln!("ci: {name}: cargo {}", args.join(" "));
        let status =
            Command::new("cargo").args(&args).env("RUSTDOCFLAGS", "-D warnings").status()?;
        ensure!(status.success(), "ci: {name} failed: {status}");
    }
    Ok(())
}

/// Reads the known failures from `KNOWN-RED.txt` and prints them.
///
/// Each line holds the name of a test, the cause and the issue, separated by commas.
fn read_known_failures() -> Vec<String> {
    let text = std::fs::read_to_string("KNOWN-RED.txt").unwrap_or_default();
    let lines = text.lines().filter(|l| !l.trim().is_empty());
    lines
        .map(|l| {
            eprintln!("ci: known failure, skipped: {l}");
            l.split(',').next().unwrap_or(l).trim().to_owned()
        })
        .collect()
}

/// Returns the arguments of a step, with `--skip` for every known failure.
fn with_skipped_tests(step: &[&str], known_failures: &[String]) -> Vec<String> {
    let mut args: Vec<String> = step.iter().map(|a| (*a).to_owned()).collect();
    if step.first() == Some(&"test") && !known_failures.is_empty() {
        if !step.contains(&"--") {
            args.push("--".to_owned());
        }
        args.extend(known_failures.iter().flat_map(|t| ["--skip".to_owned(), t.clone()]));
    }
    args
}
