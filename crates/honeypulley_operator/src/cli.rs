//! The command line.

use crate::report::FleetPage;
use crate::settings::Settings;
use crate::{fleet, keys, rollout, why};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, bail};
use honeypulley_ini::parse;
use honeypulley_platform::accept::read_head;
use honeypulley_platform::http::HttpPlatform;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::time::Duration;

/// Returns the command line's shape.
#[must_use]
pub fn command() -> Command {
    Command::new("honeypulley")
        .about("Drives a fleet by signed bundles and shows what is in force")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .subcommand(bundle_command())
        .subcommand(
            Command::new("keygen")
                .about("Makes a key; prints the public part")
                .arg(name())
                .arg(file("key", "Where the secret key goes; must not exist").long("key")),
        )
        .subcommand(roll_out_command())
        .subcommand(
            Command::new("status")
                .about("Shows boxes, versions and upstreams")
                .arg(settings())
                .arg(flag("json", "Prints JSON")),
        )
        .subcommand(why_command())
        .subcommand(losses_command())
        .subcommand(departures_command())
        .subcommand(Command::new("completions").about("Prints completions").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
}

fn bundle_command() -> Command {
    let bundle = || file("bundle", "The bundle");
    Command::new("bundle")
        .about("Checks and signs bundles")
        .subcommand_required(true)
        .subcommand(
            Command::new("check").about("Checks a bundle and changes nothing").arg(bundle()),
        )
        .subcommand(
            Command::new("sign")
                .about("Signs a bundle off; writes FILE.sig beside it")
                .arg(bundle())
                .arg(name())
                .arg(file("key", "Your secret key").long("key")),
        )
}

fn logs() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("Log of a box; may be given again; without any, standard input is read")
}

fn losses_command() -> Command {
    Command::new("losses")
        .about("Counts from the boxes' logs what was not served, by what decided it")
        .after_help(
            "Columns: requests of a class, service, whether a second upstream was allowed, the \
             reason of the first choice, sends, whether a further one was denied, how it ended; \
             of the first choice the middle belief in sickness and requests known there.",
        )
        .arg(logs())
        .arg(flag("json", "Prints JSON, what was served included"))
}

fn departures_command() -> Command {
    Command::new("departures")
        .about("Says from the boxes' logs which box heard when that an upstream left")
        .after_help(
            "Times run from the first box that heard, by the boxes' clocks. Boxes that held the \
             upstream for live and have no line that it left come last in a row.",
        )
        .arg(logs())
        .arg(flag("json", "Prints JSON"))
}

fn why_command() -> Command {
    Command::new("why")
        .about("Says from the boxes' logs what decided a request, or a belief about an upstream")
        .after_help(
            "With --settings, the boxes are asked instead: honeypulley why SERVICE UPSTREAM -s FILE",
        )
        .arg(
            Arg::new("subject")
                .num_args(1..=2)
                .value_name("REQUEST-ID")
                .required_unless_present("upstream")
                .help("Id of a request"),
        )
        .arg(Arg::new("upstream").long("upstream").value_name("NAME").help("Name of an upstream"))
        .arg(logs())
        .arg(flag("json", "Prints JSON"))
        .arg(settings().required(false))
}

fn roll_out_command() -> Command {
    let timeout = Arg::new("timeout")
        .long("timeout")
        .default_value("30s")
        .value_parser(|s: &str| parse::duration(s))
        .help("Longest wait");
    Command::new("roll-out")
        .about("Has a signed bundle accepted")
        .arg(file("bundle", "The bundle, with FILE.sig beside it"))
        .arg(settings())
        .arg(flag("wait", "Waits until every live box has it in force"))
        .arg(timeout)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    let path = value_parser!(PathBuf);
    Arg::new(name).required(true).value_name("FILE").value_parser(path).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn settings() -> Arg {
    file("settings", "Operators' settings, in INI").long("settings").short('s')
}

fn name() -> Arg {
    let help = "Your name, as in the lists of signers";
    Arg::new("name").long("name").required(true).help(help)
}

const EXAMPLES: &str = "Examples:
  honeypulley keygen --name alice --key alice.key
  honeypulley bundle check fleet.ini
  honeypulley bundle sign fleet.ini --name alice --key alice.key
  honeypulley roll-out fleet.ini --settings operator.ini --wait
  honeypulley status --settings operator.ini --json
  honeypulley why guestlist u3 --settings operator.ini
  honeypulley why 9c41d07be2a35f68 --log box1.log --log box2.log
  honeypulley losses --log box1.log --log box2.log
  honeypulley departures --log box1.log --log box2.log

Exit codes: 0 done, 1 not done (the reason is on standard error), 2 usage.";

/// Runs what the command line asks for.
///
/// # Errors
/// Returns what went wrong, in one line for a person.
pub fn run(args: &ArgMatches) -> Result<()> {
    let (name, sub) = args.subcommand().expect("clap asks for one");
    match name {
        "bundle" => run_bundle(sub),
        "keygen" => {
            let public = keys::create(text(sub, "name"), path(sub, "key"))?;
            println!("{} = {public}", text(sub, "name"));
            Ok(())
        }
        "completions" => {
            let shell = *sub.get_one::<clap_complete::Shell>("shell").expect("required");
            clap_complete::generate(shell, &mut command(), "honeypulley", &mut std::io::stdout());
            Ok(())
        }
        "losses" => why::losses(sub),
        "departures" => why::departures(sub),
        "why" if sub.get_one::<PathBuf>("settings").is_none() => why::run(sub),
        _ => {
            let settings = Settings::load(path(sub, "settings"))?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_fleet(name, sub, &settings))
        }
    }
}

fn run_bundle(args: &ArgMatches) -> Result<()> {
    let (name, sub) = args.subcommand().expect("clap asks for one");
    let file = path(sub, "bundle");
    if name == "sign" {
        let off = keys::sign(file, text(sub, "name"), path(sub, "key"))?;
        println!("{}: signed off by {}", off.display(), text(sub, "name"));
        return Ok(());
    }
    let (bundle, split) = keys::read_bundle(file)?;
    let (services, parts) = (bundle.services().count(), split.parts.len());
    println!(
        "{}: fine: {services} services, {parts} parts, manifest {}",
        file.display(),
        split.manifest.digest()
    );
    Ok(())
}

async fn run_fleet(name: &str, args: &ArgMatches, s: &Settings) -> Result<()> {
    let platform = HttpPlatform::new(&s.platform.to_string())?;
    if name == "roll-out" {
        return roll_out(args, s, &platform).await;
    }
    let roster = fleet::roster(s, &platform).await?;
    let accepted = read_head(&platform).await.ok().flatten().map(|h| h.head.version.0);
    let page = FleetPage::new(accepted, fleet::ask_all(s, &roster).await);
    match name {
        "why" => {
            let named: Vec<&String> = args.get_many("subject").into_iter().flatten().collect();
            let [service, upstream] = named[..] else {
                bail!("why: name a service and one of its upstreams");
            };
            print!("{}", page.why(service, upstream));
        }
        _ if args.get_flag("json") => println!("{}", serde_json::to_string_pretty(&page)?),
        _ => print!("{}", page.text()),
    }
    Ok(())
}

async fn roll_out(args: &ArgMatches, s: &Settings, p: &HttpPlatform) -> Result<()> {
    let in_force = fleet::newest(s, p).await;
    let accepted = rollout::roll_out(p, in_force, path(args, "bundle")).await?;
    let how = if accepted.resolved { " (an answer was lost on the way and resolved)" } else { "" };
    println!("accepted as {}{how}", accepted.version);
    if !args.get_flag("wait") {
        return Ok(());
    }
    let most = *args.get_one::<Duration>("timeout").expect("has a default");
    let shown = std::io::stderr().is_terminal();
    let waited = rollout::wait(s, p, accepted.version, most, |have, all| {
        if shown {
            eprint!("\rin force on {have} of {all} boxes ");
            let _ = std::io::stderr().flush();
        }
    });
    let waited = waited.await.wrap_err("roll-out --wait")?;
    if waited > most {
        bail!("roll-out --wait: took {waited:?}");
    }
    println!("in force on every live box after {} ms", waited.as_millis());
    Ok(())
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).expect("required")
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> &'a PathBuf {
    args.get_one::<PathBuf>(name).expect("required")
}
