//! Time until an accepted bundle is in force, on fleets of processes.

use crate::usage;
use eyre::{Result, bail};
use fleet::{Fleet, shape::FleetConfig, until};
use hdrhistogram::Histogram;
use honeypulley_bundle::head::Version;
use honeypulley_operator::rollout::roll_out;
use honeypulley_platform::http::HttpPlatform;
use std::time::{Duration, Instant};

/// Time within which a bundle must be in force on every box.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Period over which the usage of an idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Rolls out `rounds` bundles on `boxes` boxes and prints the distribution of times.
///
/// # Errors
/// Returns an error if the fleet does not start or a bundle is not in force in time.
pub async fn run(boxes: usize, rounds: u64, freeze: bool) -> Result<()> {
    let halls = if boxes >= 150 { 6 } else { 3 };
    let config = FleetConfig {
        services: vec![("guestlist".to_owned(), 6)],
        boxes,
        halls,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start_ready(config).await?;
    let running = if freeze { suspend_relays(&fleet).await? } else { (0..boxes).collect() };
    measure_idle(&fleet, &running).await?;
    let platform = HttpPlatform::new(&fleet.platform.to_string())?;
    let mut histogram = Histogram::<u64>::new(3)?;
    let mut slowest = Vec::new();
    for round in 0..rounds {
        let text = fleet.config().bundle_text() + &format!("r{round}.example/ = guestlist\n");
        let path = fleet.write_bundle("round.ini", &text)?;
        fleet.sign(&path, "alice")?;
        let version = roll_out(&platform, Version(0), &path).await?.version.0;
        let accepted = Instant::now();
        let pending = running.iter().map(|&i| wait_in_force(&fleet, i, version, accepted));
        let mut last = 0;
        for took in futures::future::try_join_all(pending).await? {
            histogram.record(took.as_micros() as u64)?;
            last = last.max(took.as_millis());
        }
        slowest.push(last);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    println!(
        "| {boxes} boxes{} | {:.0} | {:.0} | {:.0} | {:.0} |",
        if freeze { ", 2/3 of relays suspended" } else { "" },
        ms(0.5),
        ms(0.9),
        ms(0.99),
        histogram.max() as f64 / 1e3
    );
    println!("slowest box of each round, ms: {slowest:?}");
    Ok(())
}

/// Polls a box until `version` is in force, and returns the time since acceptance.
async fn wait_in_force(
    fleet: &Fleet,
    i: usize,
    version: u64,
    accepted: Instant,
) -> Result<Duration> {
    loop {
        if fleet.status(i).await?.bundle >= version {
            return Ok(accepted.elapsed());
        }
        if accepted.elapsed() > TIMEOUT {
            bail!("v{version} is not in force on box{i} after {TIMEOUT:?}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Suspends two of the three relays in each hall; returns the other boxes.
async fn suspend_relays(fleet: &Fleet) -> Result<Vec<usize>> {
    let has_relays = async || {
        let mut n = 0;
        for i in 0..fleet.boxes.len() {
            n += usize::from(fleet.status(i).await.is_ok_and(|s| s.relay));
        }
        n == 3 * fleet.config().halls
    };
    until("every hall has three relays", Duration::from_secs(10), has_relays).await?;
    let mut suspended_by_hall = std::collections::BTreeMap::<usize, usize>::new();
    let mut running = Vec::new();
    for i in 0..fleet.boxes.len() {
        let suspended = suspended_by_hall.entry(i % fleet.config().halls).or_default();
        if fleet.status(i).await?.relay && *suspended < 2 {
            *suspended += 1;
            fleet.boxes[i].process.freeze()?;
        } else {
            running.push(i);
        }
    }
    Ok(running)
}

/// Measures and prints the resource usage of a fleet without requests.
async fn measure_idle(fleet: &Fleet, running: &[usize]) -> Result<()> {
    let pids: Vec<u32> = running.iter().map(|&i| fleet.boxes[i].process.id()).collect();
    let total_cpu =
        |pids: &[u32]| pids.iter().map(|&p| usage::cpu_seconds(p).unwrap_or(0.0)).sum::<f64>();
    let sent_bytes = async || {
        let mut all = 0;
        for &i in running {
            all += fleet.status(i).await.map_or(0, |s| s.sent);
        }
        all as f64
    };
    let (calls_before, bytes_before, cpu_before) =
        (fleet.calls().await?, sent_bytes().await, total_cpu(&pids));
    tokio::time::sleep(IDLE_PERIOD).await;
    let (calls_after, bytes_after, cpu_after) =
        (fleet.calls().await?, sent_bytes().await, total_cpu(&pids));
    let (n, secs) = (running.len() as f64, IDLE_PERIOD.as_secs_f64());
    let memory: u64 = pids.iter().map(|&p| usage::resident_bytes(p).unwrap_or(0)).sum();
    println!(
        "idle: {:.1} platform reads/s, {:.2} writes/s; per box: {:.0} B/s of datagrams, {:.2}% of a core, {:.1} MB",
        (calls_after.reads - calls_before.reads) as f64 / secs,
        (calls_after.writes - calls_before.writes) as f64 / secs,
        (bytes_after - bytes_before) / n / secs,
        (cpu_after - cpu_before) / n / secs * 100.0,
        memory as f64 / n / 1e6,
    );
    Ok(())
}
