//! Runs the stand-in platform.

use clap::{Arg, Command, value_parser};
use eyre::Result;
use honeypulley_standin::platform::StandinPlatform;
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<()> {
    let args = Command::new("standin-platform")
        .about("Serves the platform's object API from memory")
        .arg(Arg::new("listen").required(true).value_parser(value_parser!(SocketAddr)))
        .arg(
            Arg::new("lag-ms").long("lag-ms").default_value("500").value_parser(value_parser!(u64)),
        )
        .get_matches();
    let listen: SocketAddr = *args.get_one("listen").expect("required");
    let list_lag = Duration::from_millis(*args.get_one("lag-ms").expect("has a default"));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        StandinPlatform::new(list_lag).serve(listener).await
    })
}
