//! Rolling a bundle out and waiting until it is in force.

use crate::fleet::{self, Answer};
use crate::keys::{read_bundle, read_sign_off};
use crate::settings::Settings;
use eyre::{Result, bail};
use honeypulley_bundle::head::Version;
use honeypulley_platform::accept::{Accepted, accept, read_head};
use honeypulley_platform::api::Platform;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between two looks at the boxes while waiting.
const LOOK_GAP: Duration = Duration::from_millis(150);

/// Accepts a signed bundle, above the version that boxes have in force.
///
/// # Errors
/// Returns an error if the bundle is wrong, unsigned, or not accepted.
pub async fn roll_out(p: &dyn Platform, in_force: Version, bundle: &Path) -> Result<Accepted> {
    let (_, split) = read_bundle(bundle)?;
    let off = read_sign_off(bundle, &split)?;
    let base = read_head(p).await?;
    let rollout = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
    Ok(accept(p, base.as_ref(), in_force, &split, off.signature, &rollout).await?)
}

/// Waits until every live box has `version` in force, telling progress.
///
/// # Errors
/// Names the boxes that do not have it when the time is over, and why.
pub async fn wait(
    s: &Settings,
    p: &dyn Platform,
    version: Version,
    most: Duration,
    mut progress: impl FnMut(usize, usize),
) -> Result<Duration> {
    let began = Instant::now();
    loop {
        let roster = fleet::roster(s, p).await?;
        let answers = fleet::ask_all(s, &roster).await;
        let behind: Vec<String> = answers.iter().filter_map(|a| lag(a, version)).collect();
        progress(answers.len() - behind.len(), answers.len());
        if behind.is_empty() && !answers.is_empty() {
            return Ok(began.elapsed());
        }
        if began.elapsed() >= most {
            bail!(
                "{version} was accepted but is not in force on {} of {} boxes:\n  {}",
                behind.len(),
                answers.len(),
                behind.join("\n  ")
            );
        }
        tokio::time::sleep(LOOK_GAP).await;
    }
}

/// Says why a box does not have `version`, if it doesn't.
fn lag(a: &Answer, version: Version) -> Option<String> {
    match &a.status {
        Err(e) => Some(format!("{}: {e}", a.entry.name)),
        Ok(s) if s.bundle >= version.0 => None,
        Ok(s) if s.not_ready.is_empty() => Some(format!("{}: has v{}", s.name, s.bundle)),
        Ok(s) => Some(format!("{}: has v{}, not ready: {}", s.name, s.bundle, s.not_ready)),
    }
}
