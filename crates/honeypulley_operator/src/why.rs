//! Subcommands that analyse the logs of boxes: `why`, `losses` and `departures`.

use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};
use honeypulley_observe::explain::{self, Explanation};
use honeypulley_observe::{departures, losses};
use serde::Serialize;
use std::io::Read;
use std::path::PathBuf;

/// Explains a request or an upstream from log files or standard input.
///
/// # Errors
/// Returns an error if a log can't be read or no line names the request or upstream.
pub fn run(args: &ArgMatches) -> Result<()> {
    let text = read_logs(args)?;
    let explanation = match args.get_one::<String>("upstream") {
        Some(name) => explain::upstream(name, text.lines())
            .ok_or_else(|| eyre!("why: no log line names the upstream {name}")),
        None => {
            let id = args.get_one::<String>("subject").expect("the argument is required");
            explain::request(id, text.lines())
                .ok_or_else(|| eyre!("why: no log line names the request {id}"))
        }
    };
    let explanation = explanation?;
    print_result(args, &explanation, format_explanation)
}

/// Counts unserved requests by class, from log files or standard input.
///
/// # Errors
/// Returns an error if a log can't be read.
pub fn losses(args: &ArgMatches) -> Result<()> {
    let text = read_logs(args)?;
    let rows = losses::count(text.lines());
    print_result(args, &rows, |r| losses::page(r))
}

/// Prints when each box learned of departures, from log files or standard input.
///
/// # Errors
/// Returns an error if a log can't be read.
pub fn departures(args: &ArgMatches) -> Result<()> {
    let text = read_logs(args)?;
    let result = departures::read(text.lines());
    print_result(args, &result, |f| departures::page(f))
}

/// Prints a result as JSON or as formatted text.
fn print_result<T: Serialize>(
    args: &ArgMatches,
    result: &T,
    page: impl Fn(&T) -> String,
) -> Result<()> {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(result)?);
    } else {
        print!("{}", page(result));
    }
    Ok(())
}

fn read_logs(args: &ArgMatches) -> Result<String> {
    let files: Vec<&PathBuf> = args.get_many("log").into_iter().flatten().collect();
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut text).wrap_err("why: read standard input")?;
    }
    for f in files {
        let log = std::fs::read(f).wrap_err_with(|| format!("why: read {}", f.display()))?;
        text.push_str(&String::from_utf8_lossy(&log));
        text.push('\n');
    }
    Ok(text)
}

fn format_explanation(e: &Explanation) -> String {
    let lines: String = e.lines.iter().map(|l| format!("{}\n", l.text())).collect();
    format!("{lines}\n{}\n", e.verdict)
}
