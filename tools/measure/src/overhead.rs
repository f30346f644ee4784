//! Latency added by a box, from pairs of direct and proxied requests.

use crate::usage;
use eyre::Result;
use fleet::{Fleet, shape::FleetConfig};
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Number of idle connections for the memory measurement.
const IDLE_CONNECTIONS: usize = 2_000;

/// Sends `rate` requests per second directly and as many through a box.
///
/// # Errors
/// Returns an error if the fleet does not start.
pub async fn run(rate: u64, seconds: u64) -> Result<()> {
    let args = ["--slots", "64", "--work-ms", "2", "--connections", "1000"];
    let fleet = Fleet::start_ready(FleetConfig {
        services: vec![("guestlist".to_owned(), 6)],
        boxes: 1,
        halls: 1,
        upstream_args: args.map(str::to_owned).to_vec(),
        service_settings: vec![(
            "guestlist".to_owned(),
            "floor = 60%\nrepeat = reads\ndeadline = 2s\nconnections = 900\n".to_owned(),
        )],
        ..FleetConfig::default()
    })
    .await?;
    let pid = fleet.boxes[0].process.id();
    let direct = reqwest::Client::builder().no_proxy().build()?;
    let proxied = reqwest::Client::builder().no_proxy().build()?;
    let idle_cpu = usage::cpu_seconds(pid)?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle_cpu = (usage::cpu_seconds(pid)? - idle_cpu) / 5.0;
    let (cpu_before, began) = (usage::cpu_seconds(pid)?, Instant::now());
    let mut tick = tokio::time::interval(Duration::from_nanos(1_000_000_000 / rate));
    let mut in_flight = Vec::new();
    for i in 0..(rate * seconds) as usize {
        tick.tick().await;
        let upstream = &fleet.upstreams[i % fleet.upstreams.len()].member.addr;
        in_flight
            .push((true, tokio::spawn(request_time(direct.get(format!("http://{upstream}/"))))));
        let box_addr = fleet.boxes[0].listen;
        in_flight
            .push((false, tokio::spawn(request_time(proxied.get(format!("http://{box_addr}/"))))));
    }
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for (is_direct, time) in in_flight {
        histograms[usize::from(!is_direct)].record(time.await??.as_micros() as u64)?;
    }
    let cpu_load = (usage::cpu_seconds(pid)? - cpu_before) / began.elapsed().as_secs_f64();
    println!("| | median ms | p99 ms | p99.9 ms | max ms |\n|---|---|---|---|---|");
    let ms = |us: u64| us as f64 / 1e3;
    for (name, h) in ["direct", "through a box"].iter().zip(&histograms) {
        let percentile_ms = |x: f64| ms(h.value_at_quantile(x));
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.3} |",
            percentile_ms(0.5),
            percentile_ms(0.99),
            percentile_ms(0.999),
            ms(h.max())
        );
    }
    let added_ms =
        |x: f64| ms(histograms[1].value_at_quantile(x)) - ms(histograms[0].value_at_quantile(x));
    println!("| added | {:.3} | {:.3} | {:.3} | |", added_ms(0.5), added_ms(0.99), added_ms(0.999));
    println!(
        "\nprocessor: {:.1}% of a core idle, {:.1}% at {rate}/s, {:.0} us per request",
        idle_cpu * 100.0,
        cpu_load * 100.0,
        (cpu_load - idle_cpu) / rate as f64 * 1e6
    );
    measure_connections(&fleet, pid).await
}

async fn measure_connections(fleet: &Fleet, pid: u32) -> Result<()> {
    let before = usage::resident_bytes(pid)?;
    let mut connections = Vec::with_capacity(IDLE_CONNECTIONS);
    for _ in 0..IDLE_CONNECTIONS {
        connections.push(tokio::net::TcpStream::connect(fleet.boxes[0].listen).await?);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = usage::resident_bytes(pid)?;
    println!(
        "memory: {:.1} MB under load, {:.1} KB per idle connection of a caller",
        before as f64 / 1e6,
        (after.saturating_sub(before)) as f64 / IDLE_CONNECTIONS as f64 / 1e3
    );
    Ok(())
}

async fn request_time(request: reqwest::RequestBuilder) -> Result<Duration> {
    let request = request.header("host", "guestlist.example");
    let began = Instant::now();
    request.send().await?.error_for_status()?.bytes().await?;
    Ok(began.elapsed())
}
