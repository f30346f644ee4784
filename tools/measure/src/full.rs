//! A bundle of full size on real boxes.

use crate::slopes::{FULL, text};
use crate::usage;
use eyre::Result;
use fleet::{Fleet, shape::Shape, until};
use honeypulley_bundle::head::Version;
use honeypulley_operator::rollout::roll_out;
use honeypulley_platform::http::HttpPlatform;
use honeypulley_standin::platform::Switches;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest wait for one step.
const MOST: Duration = Duration::from_secs(120);

/// Rolls a full bundle out, changes one route, and replaces a box in an outage.
///
/// # Errors
/// Returns an error if a step does not end.
pub async fn run() -> Result<()> {
    let mut fleet = Fleet::ready(Shape { boxes: 3, halls: 3, ..Shape::default() }).await?;
    let platform = HttpPlatform::new(&fleet.platform.to_string())?;
    let memory = |f: &Fleet| {
        f.boxes.iter().map(|b| usage::memory(b.process.id()).unwrap_or(0)).max().unwrap_or(0) as f64
            / 1e6
    };
    println!("memory of a box with a bundle of one route: {:.1} MB", memory(&fleet));
    let source = text(FULL.0, FULL.1, FULL.2);
    let changed = source.replacen("h7.example/app7 = s7", "h7.example/app7 = s8", 1);
    for (name, text) in [("the whole bundle, first time", &source), ("one route changed", &changed)]
    {
        let path = fleet.write_bundle("full.ini", text)?;
        fleet.sign(&path, "alice")?;
        let cpu: Vec<f64> =
            fleet.boxes.iter().map(|b| usage::cpu(b.process.id()).unwrap_or(0.0)).collect();
        let began = Instant::now();
        let version = roll_out(&platform, Version(0), &path).await?.version.0;
        let accepted = began.elapsed();
        let everywhere = async || {
            for i in 0..fleet.boxes.len() {
                if !fleet.status(i).await.is_ok_and(|s| s.bundle >= version) {
                    return false;
                }
            }
            true
        };
        until("in force everywhere", MOST, everywhere).await?;
        let force = began.elapsed().saturating_sub(accepted);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let used = fleet
            .boxes
            .iter()
            .zip(&cpu)
            .map(|(b, c)| usage::cpu(b.process.id()).unwrap_or(0.0) - c);
        let most = used.fold(0.0, f64::max);
        println!(
            "{name}: check, store and accept {:.2} s, in force on 3 boxes {:.2} s later; {most:.2} s of processor on the busiest box; {:.1} MB",
            accepted.as_secs_f64(),
            force.as_secs_f64(),
            memory(&fleet)
        );
    }
    fleet.switch_platform(Switches { outage: true, ..Switches::default() }).await?;
    let seeds: Vec<SocketAddr> =
        fleet.boxes.iter().take(2).filter_map(|b| b.entry.peer.parse().ok()).collect();
    fleet.boxes[2].process.kill();
    let began = Instant::now();
    fleet.boxes[2] = fleet.start_box(2, &seeds)?;
    fleet.wait_ready(2).await?;
    println!("a replaced box, platform away: ready after {:.2} s", began.elapsed().as_secs_f64());
    Ok(())
}
