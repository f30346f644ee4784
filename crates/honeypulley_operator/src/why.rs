//! Says from log lines what decided a request or a belief.

use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};
use honeypulley_observe::explain::{self, Explanation};
use honeypulley_observe::{departures, losses};
use serde::Serialize;
use std::io::Read;
use std::path::PathBuf;

/// Runs the command on log files, or on standard input.
///
/// # Errors
/// Returns an error if a log can't be read or no line names what is asked for.
pub fn run(args: &ArgMatches) -> Result<()> {
    let text = read(args)?;
    let explained = match args.get_one::<String>("upstream") {
        Some(name) => explain::upstream(name, text.lines())
            .ok_or_else(|| eyre!("why: no line is about the upstream {name}")),
        None => {
            let id = args.get_one::<String>("subject").expect("clap asks for it");
            explain::request(id, text.lines())
                .ok_or_else(|| eyre!("why: no line names the request {id}"))
        }
    };
    let explained = explained?;
    show(args, &explained, page)
}

/// Classes the requests that were not served, from log files or standard input.
///
/// # Errors
/// Returns an error if a log can't be read.
pub fn losses(args: &ArgMatches) -> Result<()> {
    let text = read(args)?;
    let rows = losses::count(text.lines());
    show(args, &rows, |r| losses::page(r))
}

/// Prints which box learned of which departure, from log files or standard input.
///
/// # Errors
/// Returns an error if a log can't be read.
pub fn departures(args: &ArgMatches) -> Result<()> {
    let text = read(args)?;
    let found = departures::read(text.lines());
    show(args, &found, |f| departures::page(f))
}

/// Prints what was found, as JSON or as a page for a person.
fn show<T: Serialize>(args: &ArgMatches, found: &T, page: impl Fn(&T) -> String) -> Result<()> {
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(found)?);
    } else {
        print!("{}", page(found));
    }
    Ok(())
}

fn read(args: &ArgMatches) -> Result<String> {
    let files: Vec<&PathBuf> = args.get_many("log").into_iter().flatten().collect();
    let mut text = String::new();
    if files.is_empty() {
        std::io::stdin().read_to_string(&mut text).wrap_err("why: read standard input")?;
    }
    for f in files {
        let one = std::fs::read(f).wrap_err_with(|| format!("why: read {}", f.display()))?;
        text.push_str(&String::from_utf8_lossy(&one));
        text.push('\n');
    }
    Ok(text)
}

fn page(e: &Explanation) -> String {
    let lines: String = e.lines.iter().map(|l| format!("{}\n", l.text())).collect();
    format!("{lines}\n{}\n", e.verdict)
}
