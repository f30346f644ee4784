//! Roll-out of a bundle of full size on a fleet of processes.

use crate::slopes::{FULL_SIZE, bundle_text};
use crate::usage;
use eyre::Result;
use fleet::{Fleet, shape::FleetConfig, until};
use honeypulley_bundle::head::Version;
use honeypulley_operator::rollout::roll_out;
use honeypulley_platform::http::HttpPlatform;
use honeypulley_standin::platform::Switches;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time within which a bundle must be in force on every box.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Measures the roll-out of a full bundle.
///
/// Then changes one route, and replaces a box during a platform outage.
///
/// # Errors
/// Returns an error if a step fails or times out.
pub async fn run() -> Result<()> {
    let mut fleet =
        Fleet::start_ready(FleetConfig { boxes: 3, halls: 3, ..FleetConfig::default() }).await?;
    let platform = HttpPlatform::new(&fleet.platform.to_string())?;
    let max_memory_mb = |f: &Fleet| {
        f.boxes
            .iter()
            .map(|b| usage::resident_bytes(b.process.id()).unwrap_or(0))
            .max()
            .unwrap_or(0) as f64
            / 1e6
    };
    println!("memory of a box with a bundle of one route: {:.1} MB", max_memory_mb(&fleet));
    let source = bundle_text(FULL_SIZE.0, FULL_SIZE.1, FULL_SIZE.2);
    let changed = source.replacen("h7.example/app7 = s7", "h7.example/app7 = s8", 1);
    for (name, text) in [("whole bundle, first roll-out", &source), ("one route changed", &changed)]
    {
        let path = fleet.write_bundle("full.ini", text)?;
        fleet.sign(&path, "alice")?;
        let cpu_before: Vec<f64> =
            fleet.boxes.iter().map(|b| usage::cpu_seconds(b.process.id()).unwrap_or(0.0)).collect();
        let began = Instant::now();
        let version = roll_out(&platform, Version(0), &path).await?.version.0;
        let accept_time = began.elapsed();
        let in_force = async || {
            for i in 0..fleet.boxes.len() {
                if !fleet.status(i).await.is_ok_and(|s| s.bundle >= version) {
                    return false;
                }
            }
            true
        };
        until("the bundle is in force on every box", TIMEOUT, in_force).await?;
        let spread_time = began.elapsed().saturating_sub(accept_time);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let used = fleet
            .boxes
            .iter()
            .zip(&cpu_before)
            .map(|(b, c)| usage::cpu_seconds(b.process.id()).unwrap_or(0.0) - c);
        let max_cpu = used.fold(0.0, f64::max);
        println!(
            "{name}: checked, stored and accepted in {:.2} s, in force on 3 boxes {:.2} s later; {max_cpu:.2} s of processor time on the busiest box; {:.1} MB",
            accept_time.as_secs_f64(),
            spread_time.as_secs_f64(),
            max_memory_mb(&fleet)
        );
    }
    fleet.set_platform_faults(Switches { outage: true, ..Switches::default() }).await?;
    let seeds: Vec<SocketAddr> =
        fleet.boxes.iter().take(2).filter_map(|b| b.entry.peer.parse().ok()).collect();
    fleet.boxes[2].process.kill();
    let began = Instant::now();
    fleet.boxes[2] = fleet.start_box(2, &seeds)?;
    fleet.wait_ready(2).await?;
    println!(
        "replaced box during a platform outage: ready after {:.2} s",
        began.elapsed().as_secs_f64()
    );
    Ok(())
}
