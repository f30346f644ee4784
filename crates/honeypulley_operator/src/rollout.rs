//! Rolls out a bundle and waits until it is in force.

use crate::fleet::{self, Answer};
use crate::keys::{read_bundle, read_sign_off};
use crate::settings::Settings;
use eyre::{Result, bail};
use honeypulley_bundle::head::Version;
use honeypulley_platform::accept::{Accepted, accept, read_head};
use honeypulley_platform::api::Platform;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between two status queries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Gets a signed bundle accepted with a version above `in_force`.
///
/// # Errors
/// Returns an error if the bundle is invalid, unsigned or not accepted.
pub async fn roll_out(p: &dyn Platform, in_force: Version, bundle: &Path) -> Result<Accepted> {
    let (_, split) = read_bundle(bundle)?;
    let sign_off = read_sign_off(bundle, &split)?;
    let base = read_head(p).await?;
    let rollout = format!("{:016x}{:016x}", rand::random::<u64>(), rand::random::<u64>());
    Ok(accept(p, base.as_ref(), in_force, &split, sign_off.signature, &rollout).await?)
}

/// Waits until `version` is in force on every box, reporting the progress.
///
/// # Errors
/// Returns the boxes without the version, and the reasons, after `max_wait`.
pub async fn wait(
    s: &Settings,
    p: &dyn Platform,
    version: Version,
    max_wait: Duration,
    mut progress: impl FnMut(usize, usize),
) -> Result<Duration> {
    let began = Instant::now();
    loop {
        let roster = fleet::roster(s, p).await?;
        let answers = fleet::query_all(s, &roster).await;
        let lagging: Vec<String> = answers.iter().filter_map(|a| lag_reason(a, version)).collect();
        progress(answers.len() - lagging.len(), answers.len());
        if lagging.is_empty() && !answers.is_empty() {
            return Ok(began.elapsed());
        }
        if began.elapsed() >= max_wait {
            bail!(
                "{version} was accepted but is not in force on {} of {} boxes:\n  {}",
                lagging.len(),
                answers.len(),
                lagging.join("\n  ")
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the reason why `version` is not in force on a box, if so.
fn lag_reason(a: &Answer, version: Version) -> Option<String> {
    match &a.status {
        Err(e) => Some(format!("{}: {e}", a.entry.name)),
        Ok(s) if s.bundle >= version.0 => None,
        Ok(s) if s.not_ready.is_empty() => Some(format!("{}: has v{}", s.name, s.bundle)),
        Ok(s) => Some(format!("{}: has v{}, not ready: {}", s.name, s.bundle, s.not_ready)),
    }
}
