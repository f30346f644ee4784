//! Command line of the operators' tool.

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

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("honeypulley")
        .about("Configures a fleet by signed bundles and shows its status")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .subcommand(bundle_command())
        .subcommand(
            Command::new("keygen")
                .about("Generates a key pair and prints the public key")
                .arg(name_arg())
                .arg(
                    file_arg("key", "File to write the secret key to; must not exist").long("key"),
                ),
        )
        .subcommand(roll_out_command())
        .subcommand(
            Command::new("status")
                .about("Shows the status of boxes and upstreams and the versions in force")
                .arg(settings_arg())
                .arg(flag_arg("json", "Prints JSON")),
        )
        .subcommand(why_command())
        .subcommand(losses_command())
        .subcommand(departures_command())
        .subcommand(Command::new("completions").about("Prints shell completions").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
}

fn bundle_command() -> Command {
    let bundle = || file_arg("bundle", "Bundle file");
    Command::new("bundle")
        .about("Validates and signs bundles")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Validates a bundle without changing anything")
                .arg(bundle()),
        )
        .subcommand(
            Command::new("sign")
                .about("Signs a bundle and writes the signature to FILE.sig")
                .arg(bundle())
                .arg(name_arg())
                .arg(file_arg("key", "File of your secret key").long("key")),
        )
}

fn log_arg() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("FILE")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
        .help("Log file of a box; may be repeated; defaults to standard input")
}

fn losses_command() -> Command {
    Command::new("losses")
        .about("Counts the requests that were not served, by class, from the logs of the boxes")
        .after_help(
            "Columns: number of requests, service, whether a second upstream was allowed, why the \
             first upstream was selected, attempts, whether a retry was denied, outcome; medians \
             of the first upstream's probability of being unhealthy, its requests in flight, and time.",
        )
        .arg(log_arg())
        .arg(flag_arg("json", "Prints JSON, including served requests"))
}

fn departures_command() -> Command {
    Command::new("departures")
        .about("Shows from the logs when each box learned that an upstream left")
        .after_help(
            "Delays count from the first box that learned of it, by the clocks of the boxes. Boxes \
             that logged the upstream as live but never that it left come last in a row.",
        )
        .arg(log_arg())
        .arg(flag_arg("json", "Prints JSON"))
}

fn why_command() -> Command {
    Command::new("why")
        .about("Explains from the logs what decided a request or the state of an upstream")
        .after_help(
            "With --settings, queries the boxes instead: honeypulley why SERVICE UPSTREAM -s FILE",
        )
        .arg(
            Arg::new("subject")
                .num_args(1..=2)
                .value_name("REQUEST-ID")
                .required_unless_present("upstream")
                .help("ID of a request"),
        )
        .arg(Arg::new("upstream").long("upstream").value_name("NAME").help("Name of an upstream"))
        .arg(log_arg())
        .arg(flag_arg("json", "Prints JSON"))
        .arg(settings_arg().required(false))
}

fn roll_out_command() -> Command {
    let timeout = Arg::new("timeout")
        .long("timeout")
        .default_value("30s")
        .value_parser(|s: &str| parse::duration(s))
        .help("Maximum time to wait");
    Command::new("roll-out")
        .about("Rolls out a signed bundle")
        .arg(file_arg("bundle", "Bundle file, with its signature in FILE.sig"))
        .arg(settings_arg())
        .arg(flag_arg("wait", "Waits until the bundle is in force on every live box"))
        .arg(timeout)
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    let path = value_parser!(PathBuf);
    Arg::new(name).required(true).value_name("FILE").value_parser(path).help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn settings_arg() -> Arg {
    file_arg("settings", "Operator settings, an INI file").long("settings").short('s')
}

fn name_arg() -> Arg {
    let help = "Your name, as in the lists of trusted signers";
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

Exit codes: 0 success, 1 failure (the reason is on standard error), 2 usage.";

/// Runs the requested subcommand.
///
/// # Errors
/// Returns an error if the subcommand fails.
pub fn run(args: &ArgMatches) -> Result<()> {
    let (name, sub) = args.subcommand().expect("a subcommand is required");
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
    let (name, sub) = args.subcommand().expect("a subcommand is required");
    let file = path(sub, "bundle");
    if name == "sign" {
        let signature = keys::sign(file, text(sub, "name"), path(sub, "key"))?;
        println!("{}: signed by {}", signature.display(), text(sub, "name"));
        return Ok(());
    }
    let (bundle, split) = keys::read_bundle(file)?;
    let (services, parts) = (bundle.services().count(), split.parts.len());
    println!(
        "{}: valid: {services} services, {parts} parts, manifest {}",
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
    let page = FleetPage::new(accepted, fleet::query_all(s, &roster).await);
    match name {
        "why" => {
            let named: Vec<&String> = args.get_many("subject").into_iter().flatten().collect();
            let [service, upstream] = named[..] else {
                bail!("why: expected a service and the name of one of its upstreams");
            };
            print!("{}", page.why(service, upstream));
        }
        _ if args.get_flag("json") => println!("{}", serde_json::to_string_pretty(&page)?),
        _ => print!("{}", page.text()),
    }
    Ok(())
}

async fn roll_out(args: &ArgMatches, s: &Settings, p: &HttpPlatform) -> Result<()> {
    let in_force = fleet::newest_version(s, p).await;
    let accepted = rollout::roll_out(p, in_force, path(args, "bundle")).await?;
    let suffix =
        if accepted.resolved { " (an answer was lost on the way and resolved)" } else { "" };
    println!("accepted as {}{suffix}", accepted.version);
    if !args.get_flag("wait") {
        return Ok(());
    }
    let max_wait = *args.get_one::<Duration>("timeout").expect("has a default");
    let interactive = std::io::stderr().is_terminal();
    let waited = rollout::wait(s, p, accepted.version, max_wait, |have, all| {
        if interactive {
            eprint!("\rin force on {have} of {all} boxes ");
            let _ = std::io::stderr().flush();
        }
    });
    let waited = waited.await.wrap_err("roll-out --wait")?;
    if waited > max_wait {
        bail!("roll-out --wait: in force only after {waited:?}, past the timeout");
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
