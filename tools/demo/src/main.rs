//! Runs the main job on embedded stand-ins and tells what happens.
//!
//! A platform, six upstreams and three boxes run as processes. A signed bundle
//! is rolled out, requests flow, one upstream stalls and loses its work.

use eyre::{Result, WrapErr, ensure};
use fleet::{Fleet, check, shape::Shape};
use honeypulley_standin::work::{Mode, Switches};
use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// Requests sent each second, over all boxes.
const RATE: u64 = 150;
/// The upstream that turns gray.
const GRAY: usize = 2;

#[tokio::main]
async fn main() -> Result<()> {
    build()?;
    println!("Starting a platform, six upstreams and three boxes on loopback.");
    let shape = Shape {
        services: vec![("guestlist".to_owned(), 6)],
        boxes: 3,
        halls: 3,
        ..Shape::default()
    };
    let fleet = Fleet::start(shape).await?;
    let path = fleet.write_bundle("fleet.ini", &fleet.shape().bundle())?;
    fleet.sign(&path, "alice")?;
    println!("Rolling out a bundle signed by alice:");
    let out = fleet.operator(&[
        "roll-out",
        fleet::path_str(&path),
        "--settings",
        &fleet.operator_ini(),
        "--wait",
    ])?;
    check(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    println!("\nFour seconds of {RATE} requests a second, all upstreams healthy:");
    show(&load(&fleet, Duration::from_secs(4)).await?);
    let name = &fleet.upstreams[GRAY].member.name;
    println!("\n{name} turns gray: it takes requests and never answers. Six more seconds:");
    fleet.switch(GRAY, &Switches { mode: Mode::Stall, ..Switches::default() }).await?;
    show(&load(&fleet, Duration::from_secs(6)).await?);
    println!("\nWhat operators see now:");
    let out = fleet.operator(&["status", "--settings", &fleet.operator_ini()])?;
    check(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    println!("\nWhy {name} is set aside:");
    let out = fleet.operator(&["why", "guestlist", name, "--settings", &fleet.operator_ini()])?;
    check(&out)?;
    print!("{}", String::from_utf8_lossy(&out.stdout));
    Ok(())
}

/// Builds the programs, in the profile that this one was built in.
fn build() -> Result<()> {
    let mut cargo = Command::new("cargo");
    cargo.args(["build", "--quiet", "--workspace", "--bins"]);
    if !cfg!(debug_assertions) {
        cargo.arg("--release");
    }
    ensure!(cargo.status().wrap_err("run cargo")?.success(), "the programs do not build");
    Ok(())
}

/// What a stretch of load met.
#[derive(Debug, Default)]
struct Met {
    statuses: BTreeMap<u16, u32>,
    by_upstream: BTreeMap<String, u32>,
    took: Vec<Duration>,
}

async fn load(fleet: &Fleet, length: Duration) -> Result<Met> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let began = Instant::now();
    let mut tick = tokio::time::interval(Duration::from_micros(1_000_000 / RATE));
    let mut open = Vec::new();
    for i in 0.. {
        tick.tick().await;
        if began.elapsed() > length {
            break;
        }
        let to = fleet.boxes[i % fleet.boxes.len()].listen;
        let request = client.get(format!("http://{to}/list")).header("host", "guestlist.example");
        open.push(tokio::spawn(async move {
            let began = Instant::now();
            let answer = request.send().await?;
            let status = answer.status().as_u16();
            let text = answer.text().await?;
            Ok::<_, reqwest::Error>((status, text, began.elapsed()))
        }));
    }
    let mut met = Met::default();
    for o in open {
        let (status, text, took) = o.await??;
        *met.statuses.entry(status).or_default() += 1;
        let upstream = text.split('"').nth(3).unwrap_or("none").to_owned();
        *met.by_upstream.entry(upstream).or_default() += 1;
        met.took.push(took);
    }
    met.took.sort_unstable();
    Ok(met)
}

fn show(met: &Met) {
    let at =
        |share: f64| met.took[((met.took.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    let statuses: Vec<String> = met.statuses.iter().map(|(s, n)| format!("{n} x {s}")).collect();
    let shares: Vec<String> = met.by_upstream.iter().map(|(u, n)| format!("{u} {n}")).collect();
    println!(
        "  answers: {}; median {:.1} ms, p99 {:.1} ms",
        statuses.join(", "),
        at(0.5),
        at(0.99)
    );
    println!("  by upstream: {}", shares.join(", "));
}
