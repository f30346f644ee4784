//! Follows the platform: its list, the head, and as a relay the permits.

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

/// Time that a relay's watch waits; also the age its permits have at most.
const WATCH: Duration = Duration::from_secs(1);
/// Time between two reads of the list.
const LIST_GAP: Duration = Duration::from_secs(2);
/// Reads of the list that all boxes may add up to, a second.
const LIST_RATE: f64 = 500.0;
/// The same while the list is empty, as right after a start.
const FIRST_GAP: Duration = Duration::from_millis(200);
/// Wait after a call that failed; with jitter.
const FAILED_GAP: Duration = Duration::from_millis(500);
/// Least time between two reads of the head by a box that is no relay.
const HEAD_GAP: Duration = Duration::from_secs(5);
/// Reads of the head that all boxes that are no relays may add up to, a second.
const HEAD_RATE: f64 = 200.0;

/// Follows the platform.
#[derive(Debug)]
pub struct PlatformDuty {
    /// Shared state.
    pub ctx: Arc<Context>,
    /// Client.
    pub platform: Arc<dyn Platform>,
}

impl Duty for PlatformDuty {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn run(&self, shutdown: &Shutdown) -> Result<()> {
        block_on(async {
            tokio::select! {
                () = self.follow_list() => {}
                () = self.follow_head() => {}
                () = self.follow_permits() => {}
                () = shutdown.stop.cancelled() => {}
            }
            Ok(())
        })
    }
}

impl PlatformDuty {
    async fn follow_list(&self) {
        let mut away = false;
        loop {
            match self.platform.members().await {
                Ok(json) => {
                    self.ctx.heard();
                    if std::mem::take(&mut away) {
                        log::info!("platform: answers again");
                    }
                    self.ctx.set_roster(json);
                    let boxes = self.ctx.roster().map_or(0, |r| r.live_boxes().count());
                    let gap = LIST_GAP.max(Duration::from_secs_f64(boxes as f64 / LIST_RATE));
                    sleep(jitter(if boxes > 0 { gap } else { FIRST_GAP })).await;
                }
                Err(e) => {
                    // One line for an outage, not one for each try.
                    if !std::mem::replace(&mut away, true) {
                        log::warn!("platform: away, goes on with what is held: {e}");
                    }
                    sleep(jitter(FAILED_GAP)).await;
                }
            }
        }
    }

    /// Watches the head as a relay; reads it now and then otherwise.
    async fn follow_head(&self) {
        let mut seen = Revision::ZERO;
        let mut first = true;
        loop {
            let relay = self.ctx.is_relay();
            if !relay && !std::mem::take(&mut first) {
                let boxes = self.ctx.roster().map_or(1, |r| r.live_boxes().count());
                let gap = HEAD_GAP.max(Duration::from_secs_f64(boxes as f64 / HEAD_RATE));
                self.sleep_unless_relay(jitter(gap)).await;
            }
            let turn =
                if relay { self.watch_head(&mut seen).await } else { self.read_head().await };
            if turn.is_none() {
                sleep(jitter(FAILED_GAP)).await;
            }
        }
    }

    /// Sleeps, but not past the moment at which this box becomes a relay.
    async fn sleep_unless_relay(&self, d: Duration) {
        let until = tokio::time::Instant::now() + d;
        while tokio::time::Instant::now() < until && !self.ctx.is_relay() {
            sleep(FIRST_GAP).await;
        }
    }

    async fn watch_head(&self, seen: &mut Revision) -> Option<()> {
        let changes = self.watch(HEAD, seen).await?;
        self.ctx.heard();
        if changes.objects.iter().any(|o| o.key == HEAD) {
            self.read_head().await?;
        }
        *seen = changes.version;
        Some(())
    }

    /// Watches for changes after the position seen, and resets that if the platform lost it.
    async fn watch(&self, prefix: &str, seen: &mut Revision) -> Option<Changes> {
        match self.platform.watch(prefix, *seen, WATCH).await {
            Ok(changes) => Some(changes),
            Err(e) => {
                if e.has_lost_place() {
                    log::info!(prefix, seen:display = seen; "platform: the watch begins anew: {e}");
                    *seen = Revision::ZERO;
                }
                None
            }
        }
    }

    async fn read_head(&self) -> Option<()> {
        let stored = read_head(self.platform.as_ref()).await.ok()?;
        self.ctx.heard();
        let Some(stored) = stored else { return Some(()) };
        let version = stored.head.version;
        if version > self.ctx.keeper().version()
            && let Err(e) =
                pull::from_platform(&self.ctx, self.platform.as_ref(), stored.head).await
        {
            log::warn!(bundle = version.0; "bundle: {version} not taken from the platform: {e:#}");
            return None;
        }
        self.ctx.platform_told(version);
        Some(())
    }

    async fn follow_permits(&self) {
        let mut seen = Revision::ZERO;
        loop {
            if !self.ctx.is_relay() {
                // Updates of peers meanwhile may be newer or older; start afresh.
                seen = Revision::ZERO;
                sleep(WATCH).await;
                continue;
            }
            // The answer is complete as of some moment after the question.
            let asked = self.ctx.now();
            match self.watch(PREFIX, &mut seen).await {
                Some(changes) => {
                    seen = changes.version;
                    self.ctx.merge_permits(&changes.objects, changes.version, asked);
                }
                None => sleep(jitter(FAILED_GAP)).await,
            }
        }
    }
}

fn jitter(d: Duration) -> Duration {
    d.mul_f64(0.75 + fastrand::f64() / 2.0)
}
