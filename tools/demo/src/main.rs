//! Demonstrates a roll-out and the handling of a stalled upstream on a local fleet.
//!
//! Starts a stand-in platform, six stand-in upstreams and three boxes as processes,
//! rolls out a signed bundle and sends requests. Then one upstream stalls, and the
//! boxes stop sending requests to it.

use eyre::{Result, WrapErr, ensure};
use fleet::{Fleet, check_success, shape::FleetConfig};
use honeypulley_standin::work::{Mode, Switches};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// Requests sent per second, over all boxes.
const RATE: u64 = 150;
/// Index of the upstream that stalls.
const STALLED: usize = 2;

#[tokio::main]
async fn main() -> Result<()> {
    build_programs()?;
    println!("Starting a platform, six upstreams and three boxes on loopback.");
    let config = FleetConfig {
        services: vec![("guestlist".to_owned(), 6)],
        boxes: 3,
        halls: 3,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await?;
    let path = fleet.write_bundle("fleet.ini", &fleet.config().bundle_text())?;
    fleet.sign(&path, "alice")?;
    println!("Rolling out a bundle signed by alice:");
    let out = fleet.run_operator(&[
        "roll-out",
        fleet::path_str(&path),
        "--settings",
        &fleet.operator_settings(),
        "--wait",
    ])?;
    check_success(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    println!("\nFour seconds of {RATE} requests a second, all upstreams healthy:");
    print_result(&send_load(&fleet, Duration::from_secs(4)).await?);
    let name = &fleet.upstreams[STALLED].member.name;
    println!("\n{name} stalls: it accepts requests and never answers. Six more seconds:");
    fleet
        .set_upstream_faults(STALLED, &Switches { mode: Mode::Stall, ..Switches::default() })
        .await?;
    print_result(&send_load(&fleet, Duration::from_secs(6)).await?);
    println!("\nOutput of `honeypulley status`:");
    let out = fleet.run_operator(&["status", "--settings", &fleet.operator_settings()])?;
    check_success(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    println!("\nOutput of `honeypulley why` for {name}:");
    let out = fleet.run_operator(&[
        "why",
        "guestlist",
        name,
        "--settings",
        &fleet.operator_settings(),
    ])?;
    check_success(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    Ok(())
}

/// Builds the programs with the build profile of this one.
fn build_programs() -> Result<()> {
    let mut cargo = Command::new("cargo");
    cargo.args(["build", "--quiet", "--workspace", "--bins"]);
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    ensure!(cargo.status().wrap_err("run cargo")?.success(), "cargo build failed");
    Ok(())
}

/// Answers to the requests of one phase.
#[derive(Debug, Default)]
struct LoadResult {
    statuses: BTreeMap<u16, u32>,
    by_upstream: BTreeMap<String, u32>,
    latencies: Vec<Duration>,
}

async fn send_load(fleet: &Fleet, duration: Duration) -> Result<LoadResult> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let began = Instant::now();
    let mut tick = tokio::time::interval(Duration::from_micros(1_000_000 / RATE));
    let mut in_flight = Vec::new();
    for i in 0.. {
        tick.tick().await;
        if began.elapsed() > duration {
            break;
        }
        let to = fleet.boxes[i % fleet.boxes.len()].listen;
        let request = client.get(format!("http://{to}/list")).header("host", "guestlist.example");
        in_flight.push(tokio::spawn(async move {
            let began = Instant::now();
            let answer = request.send().await?;
            let status = answer.status().as_u16();
            let text = answer.text().await?;
            Ok::<_, reqwest::Error>((status, text, began.elapsed()))
        }));
    }
    let mut result = LoadResult::default();
    for answer in in_flight {
        let (status, text, latency) = answer.await??;
        *result.statuses.entry(status).or_default() += 1;
        let upstream = text.split('"').nth(3).unwrap_or("none").to_owned();
        *result.by_upstream.entry(upstream).or_default() += 1;
        result.latencies.push(latency);
    }
    result.latencies.sort_unstable();
    Ok(result)
}

fn print_result(result: &LoadResult) {
    let percentile_ms = |share: f64| {
        result.latencies[((result.latencies.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3
    };
    let statuses: Vec<String> = result.statuses.iter().map(|(s, n)| format!("{n} x {s}")).collect();
    let shares: Vec<String> = result.by_upstream.iter().map(|(u, n)| format!("{u} {n}")).collect();
    println!(
        "  answers: {}; median {:.1} ms, p99 {:.1} ms",
        statuses.join(", "),
        percentile_ms(0.5),
        percentile_ms(0.99)
    );
    println!("  by upstream: {}", shares.join(", "));
}
