//! Runs a stand-in upstream.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use honeypulley_standin::upstream::{Shape, StandinUpstream};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let args = Command::new("standin-upstream")
        .about("Stands in for one upstream, with failures that can be switched on")
        .arg(Arg::new("name").required(true))
        .arg(Arg::new("listen").required(true).value_parser(value_parser!(SocketAddr)))
        .arg(Arg::new("control").required(true).value_parser(value_parser!(SocketAddr)))
        .arg(number("slots", "3", "Requests run at one time"))
        .arg(number("queue", "32", "Requests that may wait"))
        .arg(number("connections", "220", "Connections at one time"))
        .arg(number("work-ms", "10", "Work of one request"))
        .arg(number("cold-ms", "0", "Time over which a start is slow"))
        .arg(number("lag-ms", "200", "Lag of the reported load"))
        .get_matches();
    let get = |name: &str| *args.get_one::<u64>(name).expect("has a default");
    let shape = Shape {
        name: args.get_one::<String>("name").expect("required").clone(),
        slots: get("slots") as usize,
        queue: get("queue") as usize,
        connections: get("connections") as usize,
        work: Duration::from_millis(get("work-ms")),
        cold: Duration::from_millis(get("cold-ms")),
        lag: Duration::from_millis(get("lag-ms")),
    };
    let listen = *args.get_one("listen").expect("required");
    let control = *args.get_one("control").expect("required");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(StandinUpstream::new(shape).serve(listen, control))
}
