//! Time from acceptance to in force, on fleets of real processes.

use crate::usage;
use eyre::{Result, bail};
use fleet::{Fleet, shape::Shape, until};
use hdrhistogram::Histogram;
use honeypulley_bundle::head::Version;
use honeypulley_operator::rollout::roll_out;
use honeypulley_platform::http::HttpPlatform;
use std::time::{Duration, Instant};

/// Longest wait for one bundle.
const MOST: Duration = Duration::from_secs(30);
/// Time over which idle traffic is counted.
const IDLE: Duration = Duration::from_secs(10);

/// Rolls `rounds` bundles out over `boxes` boxes.
///
/// # Errors
/// Returns an error if the fleet does not start or a bundle does not arrive.
pub async fn run(boxes: usize, rounds: u64, freeze: bool) -> Result<()> {
    let halls = if boxes >= 150 { 6 } else { 3 };
    let shape =
        Shape { services: vec![("guestlist".to_owned(), 6)], boxes, halls, ..Shape::default() };
    let fleet = Fleet::ready(shape).await?;
    let live = if freeze { freeze_relays(&fleet).await? } else { (0..boxes).collect() };
    idle(&fleet, &live).await?;
    let platform = HttpPlatform::new(&fleet.platform.to_string())?;
    let mut hist = Histogram::<u64>::new(3)?;
    let mut slowest = Vec::new();
    for round in 0..rounds {
        let text = fleet.shape().bundle() + &format!("r{round}.example/ = guestlist\n");
        let path = fleet.write_bundle("round.ini", &text)?;
        fleet.sign(&path, "alice")?;
        let version = roll_out(&platform, Version(0), &path).await?.version.0;
        let accepted = Instant::now();
        let waits = live.iter().map(|&i| in_force(&fleet, i, version, accepted));
        let mut last = 0;
        for took in futures::future::try_join_all(waits).await? {
            hist.record(took.as_micros() as u64)?;
            last = last.max(took.as_millis());
        }
        slowest.push(last);
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    let ms = |q: f64| hist.value_at_quantile(q) as f64 / 1e3;
    println!(
        "| {boxes} boxes{} | {:.0} | {:.0} | {:.0} | {:.0} |",
        if freeze { ", 2/3 of relays frozen" } else { "" },
        ms(0.5),
        ms(0.9),
        ms(0.99),
        hist.max() as f64 / 1e3
    );
    println!("slowest box of each round, ms: {slowest:?}");
    Ok(())
}

/// Asks a box again and again until it has `version` in force.
async fn in_force(fleet: &Fleet, i: usize, version: u64, accepted: Instant) -> Result<Duration> {
    loop {
        if fleet.status(i).await?.bundle >= version {
            return Ok(accepted.elapsed());
        }
        if accepted.elapsed() > MOST {
            bail!("box{i} has not got v{version}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Freezes two of each hall's three relays; returns the boxes that run on.
async fn freeze_relays(fleet: &Fleet) -> Result<Vec<usize>> {
    let settled = async || {
        let mut n = 0;
        for i in 0..fleet.boxes.len() {
            n += usize::from(fleet.status(i).await.is_ok_and(|s| s.relay));
        }
        n == 3 * fleet.shape().halls
    };
    until("the relays are settled", Duration::from_secs(10), settled).await?;
    let mut by_hall = std::collections::BTreeMap::<usize, usize>::new();
    let mut live = Vec::new();
    for i in 0..fleet.boxes.len() {
        let frozen = by_hall.entry(i % fleet.shape().halls).or_default();
        if fleet.status(i).await?.relay && *frozen < 2 {
            *frozen += 1;
            fleet.boxes[i].process.freeze()?;
        } else {
            live.push(i);
        }
    }
    Ok(live)
}

/// Prints what a fleet without work costs.
async fn idle(fleet: &Fleet, live: &[usize]) -> Result<()> {
    let pids: Vec<u32> = live.iter().map(|&i| fleet.boxes[i].process.id()).collect();
    let cpu = |pids: &[u32]| pids.iter().map(|&p| usage::cpu(p).unwrap_or(0.0)).sum::<f64>();
    let sent = async || {
        let mut all = 0;
        for &i in live {
            all += fleet.status(i).await.map_or(0, |s| s.sent);
        }
        all as f64
    };
    let (calls, bytes, used) = (fleet.calls().await?, sent().await, cpu(&pids));
    tokio::time::sleep(IDLE).await;
    let (calls2, bytes2, used2) = (fleet.calls().await?, sent().await, cpu(&pids));
    let (n, secs) = (live.len() as f64, IDLE.as_secs_f64());
    let memory: u64 = pids.iter().map(|&p| usage::memory(p).unwrap_or(0)).sum();
    println!(
        "idle: {:.1} platform reads/s, {:.2} writes/s; a box: {:.0} B/s of datagrams, {:.2}% of a core, {:.1} MB",
        (calls2.reads - calls.reads) as f64 / secs,
        (calls2.writes - calls.writes) as f64 / secs,
        (bytes2 - bytes) / n / secs,
        (used2 - used) / n / secs * 100.0,
        memory as f64 / n / 1e6,
    );
    Ok(())
}
