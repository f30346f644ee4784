//! Time added by one box, in pairs with direct requests.

use crate::usage;
use eyre::Result;
use fleet::{Fleet, shape::Shape};
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Connections left open without a request, to weigh one.
const IDLE: usize = 2_000;

/// Sends `rate` requests a second each way for `seconds`.
///
/// # Errors
/// Returns an error if the fleet does not start.
pub async fn run(rate: u64, seconds: u64) -> Result<()> {
    let args = ["--slots", "64", "--work-ms", "2", "--connections", "1000"];
    let fleet = Fleet::ready(Shape {
        services: vec![("guestlist".to_owned(), 6)],
        boxes: 1,
        halls: 1,
        upstream_args: args.map(str::to_owned).to_vec(),
        service_lines: vec![(
            "guestlist".to_owned(),
            "floor = 60%\nrepeat = reads\ndeadline = 2s\nconnections = 900\n".to_owned(),
        )],
        ..Shape::default()
    })
    .await?;
    let pid = fleet.boxes[0].process.id();
    let direct = reqwest::Client::builder().no_proxy().build()?;
    let proxied = reqwest::Client::builder().no_proxy().build()?;
    let idle = usage::cpu(pid)?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = (usage::cpu(pid)? - idle) / 5.0;
    let (cpu, began) = (usage::cpu(pid)?, Instant::now());
    let mut tick = tokio::time::interval(Duration::from_nanos(1_000_000_000 / rate));
    let mut open = Vec::new();
    for i in 0..(rate * seconds) as usize {
        tick.tick().await;
        let upstream = &fleet.upstreams[i % fleet.upstreams.len()].member.addr;
        open.push((true, tokio::spawn(time(direct.get(format!("http://{upstream}/"))))));
        let to = fleet.boxes[0].listen;
        open.push((false, tokio::spawn(time(proxied.get(format!("http://{to}/"))))));
    }
    let mut hist = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for (is_direct, o) in open {
        hist[usize::from(!is_direct)].record(o.await??.as_micros() as u64)?;
    }
    let used = (usage::cpu(pid)? - cpu) / began.elapsed().as_secs_f64();
    println!("| | median ms | p99 ms | p99.9 ms | max ms |\n|---|---|---|---|---|");
    let ms = |us: u64| us as f64 / 1e3;
    for (name, h) in ["direct", "through a box"].iter().zip(&hist) {
        let q = |x: f64| ms(h.value_at_quantile(x));
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.3} |",
            q(0.5),
            q(0.99),
            q(0.999),
            ms(h.max())
        );
    }
    let added = |x: f64| ms(hist[1].value_at_quantile(x)) - ms(hist[0].value_at_quantile(x));
    println!("| added | {:.3} | {:.3} | {:.3} | |", added(0.5), added(0.99), added(0.999));
    println!(
        "\nprocessor: {:.1}% of a core idle, {:.1}% at {rate}/s, {:.0} us a request",
        idle * 100.0,
        used * 100.0,
        (used - idle) / rate as f64 * 1e6
    );
    weigh_connections(&fleet, pid).await
}

async fn weigh_connections(fleet: &Fleet, pid: u32) -> Result<()> {
    let before = usage::memory(pid)?;
    let mut held = Vec::with_capacity(IDLE);
    for _ in 0..IDLE {
        held.push(tokio::net::TcpStream::connect(fleet.boxes[0].listen).await?);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = usage::memory(pid)?;
    println!(
        "memory: {:.1} MB under load, {:.1} KB for each idle connection of a caller",
        before as f64 / 1e6,
        (after.saturating_sub(before)) as f64 / IDLE as f64 / 1e3
    );
    Ok(())
}

async fn time(request: reqwest::RequestBuilder) -> Result<Duration> {
    let request = request.header("host", "guestlist.example");
    let began = Instant::now();
    request.send().await?.error_for_status()?.bytes().await?;
    Ok(began.elapsed())
}
