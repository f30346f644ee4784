//! Follows the platform's roster and bundle head, and on a relay the permits.

use crate::context::Context;
use crate::pull;
use eyre::Result;
use honeypulley_platform::accept::{HEAD, read_head};
use honeypulley_platform::api::{Changes, Platform};
use honeypulley_platform::permits::PREFIX;
use honeypulley_policy::revision::Revision;
use honeypulley_supervisor::tree::{Duty, Shutdown, block_on};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest wait of a watch, and so the maximum age of a relay's permits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two reads of the roster.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of roster reads per second over all boxes.
const MAX_LIST_RATE: f64 = 500.0;
/// Time between two roster reads while the roster is empty, and between two relay checks.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed call, before jitter.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum time between two head reads by a box that is not a relay.
const HEAD_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of head reads per second over all boxes that are not relays.
const MAX_HEAD_RATE: f64 = 200.0;

/// Keeps the roster, the bundle and the permits up to date.
#[derive(Debug)]
pub struct PlatformDuty {
    /// State shared between the duties.
    pub ctx: Arc<Context>,
    /// Client of the platform.
    pub platform: Arc<dyn Platform>,
}

impl Duty for PlatformDuty {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            tokio::select! {
                () = self.poll_roster() => {}
                () = self.follow_head() => {}
                () = self.follow_permits() => {}
                () = shutdown.stop.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl PlatformDuty {
    async fn poll_roster(&self) {
        let mut unreachable = false;
        loop {
            match self.platform.members().await {
                Ok(json) => {
                    self.ctx.record_contact();
                    if std::mem::take(&mut unreachable) {
                        log::info!("platform: reachable again");
                    }
                    self.ctx.set_roster(json);
                    let boxes = self.ctx.roster().map_or(0, |r| r.live_boxes().count());
                    let interval =
                        LIST_INTERVAL.max(Duration::from_secs_f64(boxes as f64 / MAX_LIST_RATE));
                    sleep(jitter(if boxes > 0 { interval } else { POLL_INTERVAL })).await;
                }
                Err(e) => {
                    // Logs once per outage, not for every failed read.
                    if !std::mem::replace(&mut unreachable, true) {
                        log::warn!("platform: unreachable, keeping the cached state: {e}");
                    }
                    sleep(jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Watches the head on a relay, and polls it on any other box.
    async fn follow_head(&self) {
        let mut seen = Revision::ZERO;
        let mut first = true;
        loop {
            let relay = self.ctx.is_relay();
            if !relay && !std::mem::take(&mut first) {
                let boxes = self.ctx.roster().map_or(1, |r| r.live_boxes().count());
                let interval =
                    HEAD_INTERVAL.max(Duration::from_secs_f64(boxes as f64 / MAX_HEAD_RATE));
                self.sleep_unless_relay(jitter(interval)).await;
            }
            let result =
                if relay { self.watch_head(&mut seen).await } else { self.read_head().await };
            if result.is_none() {
                sleep(jitter(RETRY_DELAY)).await;
            }
        }
    }

    /// Sleeps for `d`, or until this box becomes a relay.
    async fn sleep_unless_relay(&self, d: Duration) {
        let until = tokio::time::Instant::now() + d;
        while tokio::time::Instant::now() < until && !self.ctx.is_relay() {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn watch_head(&self, seen: &mut Revision) -> Option<()> {
        let changes = self.watch(HEAD, seen).await?;
        self.ctx.record_contact();
        if changes.objects.iter().any(|o| o.key == HEAD) {
            self.read_head().await?;
        }
        *seen = changes.version;
        Some(())
    }

    /// Watches for changes after `seen`; resets `seen` if the platform lost that revision.
    async fn watch(&self, prefix: &str, seen: &mut Revision) -> Option<Changes> {
        match self.platform.watch(prefix, *seen, WATCH_TIMEOUT).await {
            Ok(changes) => Some(changes),
            Err(e) => {
                if e.has_lost_place() {
                    log::info!(prefix, seen:display = seen; "platform: watch restarted from the beginning: {e}");
                    *seen = Revision::ZERO;
                }
                None
            }
        }
    }

    async fn read_head(&self) -> Option<()> {
        let stored = read_head(self.platform.as_ref()).await.ok()?;
        self.ctx.record_contact();
        let Some(stored) = stored else { return Some(()) };
        let version = stored.head.version;
        if version > self.ctx.keeper().version()
            && let Err(e) =
                pull::from_platform(&self.ctx, self.platform.as_ref(), stored.head).await
        {
            log::warn!(bundle = version.0; "bundle: {version} not accepted from the platform: {e:#}");
            return None;
        }
        self.ctx.record_platform_version(version);
        Some(())
    }

    async fn follow_permits(&self) {
        let mut seen = Revision::ZERO;
        loop {
            if !self.ctx.is_relay() {
                // Peers may replace the permits meanwhile by any other revision, so the
                // next watch starts from the beginning.
                seen = Revision::ZERO;
                sleep(WATCH_TIMEOUT).await;
                continue;
            }
            // The answer is complete as of a time after the call started; the start time
            // is a safe lower bound.
            let started_at = self.ctx.now();
            match self.watch(PREFIX, &mut seen).await {
                Some(changes) => {
                    seen = changes.version;
                    self.ctx.merge_permits(&changes.objects, changes.version, started_at);
                }
                None => sleep(jitter(RETRY_DELAY)).await,
            }
        }
    }
}

fn jitter(d: Duration) -> Duration {
    d.mul_f64(0.75 + fastrand::f64() / 2.0)
}
