//! Runs a stand-in upstream.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use honeypulley_standin::upstream::{StandinUpstream, UpstreamConfig};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let args = Command::new("standin-upstream")
        .about("Runs a stand-in upstream with faults that can be injected")
        .arg(Arg::new("name").required(true))
        .arg(Arg::new("listen").required(true).value_parser(value_parser!(SocketAddr)))
        .arg(Arg::new("control").required(true).value_parser(value_parser!(SocketAddr)))
        .arg(number("slots", "3", "Number of requests that run concurrently"))
        .arg(number("queue", "32", "Number of requests that may wait for a slot"))
        .arg(number("connections", "220", "Number of concurrent connections"))
        .arg(number("work-ms", "10", "Time that a request takes"))
        .arg(number("cold-ms", "0", "Warm-up period"))
        .arg(number("lag-ms", "200", "Interval at which the reported load is refreshed"))
        .get_matches();
    let get = |name: &str| *args.get_one::<u64>(name).expect("has a default");
    let config = UpstreamConfig {
        name: args.get_one::<String>("name").expect("required").clone(),
        slots: get("slots") as usize,
        queue: get("queue") as usize,
        connections: get("connections") as usize,
        work_time: Duration::from_millis(get("work-ms")),
        warm_up: Duration::from_millis(get("cold-ms")),
        load_interval: Duration::from_millis(get("lag-ms")),
    };
    let listen = *args.get_one("listen").expect("required");
    let control = *args.get_one("control").expect("required");
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(StandinUpstream::new(config).serve(listen, control))
}
