//! The supervisor: starts each duty on its own thread and restarts dead ones.

use eyre::{Result, eyre};
use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// First wait before a dead duty is started again; doubles with each death.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// A duty that ran this long starts again with the first wait.
const LONG_RUN: Duration = Duration::from_secs(30);

/// How a process is asked to stop, in two steps.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Set when a planned stop begins: no new work, open work goes on.
    pub leave: CancellationToken,
    /// Set when open work has ended and every duty may return.
    pub halt: CancellationToken,
}

/// One duty of a process; runs on a thread of its own.
///
/// What must outlive a restart lives behind shared handles that the duty holds.
pub trait Duty: Debug + Send + Sync + 'static {
    /// Name for thread and logs.
    fn name(&self) -> &'static str;

    /// Does the duty until `stop.halt` is set.
    ///
    /// # Errors
    /// An error ends this run; the supervisor starts another.
    fn run(&self, stop: &Stop) -> Result<()>;
}

/// A supervisor with its duties.
#[derive(Debug, Default)]
pub struct Tree {
    duties: Vec<Arc<dyn Duty>>,
    stop: Stop,
}

impl Tree {
    /// Builds a supervisor that obeys `stop`.
    #[must_use]
    pub const fn new(stop: Stop) -> Self {
        Self { duties: Vec::new(), stop }
    }

    /// Adds a duty.
    #[must_use]
    pub fn duty(mut self, d: impl Duty) -> Self {
        self.duties.push(Arc::new(d));
        self
    }

    /// Runs every duty until halt, restarting those that die.
    ///
    /// # Errors
    /// Returns an error if a thread can't be started.
    pub fn run(self) -> Result<()> {
        let mut threads = Vec::new();
        for duty in self.duties {
            let stop = self.stop.clone();
            let name = duty.name();
            let body = move || keep_running(duty.as_ref(), &stop);
            let thread = thread::Builder::new().name(name.to_owned()).spawn(body);
            threads.push(thread.map_err(|e| eyre!("start thread {name}: {e}"))?);
        }
        for t in threads {
            // A keeper catches its duty's panics, so this join can't fail.
            let _ = t.join();
        }
        Ok(())
    }
}

fn keep_running(duty: &dyn Duty, stop: &Stop) {
    let mut wait = FIRST_WAIT;
    while !stop.halt.is_cancelled() {
        let started = Instant::now();
        let end = catch_unwind(AssertUnwindSafe(|| duty.run(stop)));
        if stop.halt.is_cancelled() {
            return;
        }
        let why = match end {
            Ok(Ok(())) => "returned early".to_owned(),
            Ok(Err(e)) => format!("{e:#}"),
            Err(panic) => format!("panicked: {}", panic_text(panic.as_ref())),
        };
        if started.elapsed() > LONG_RUN {
            wait = FIRST_WAIT;
        }
        let (name, wait_ms) = (duty.name(), wait.as_millis() as u64);
        log::error!(
            duty = name, wait_ms;
            "supervisor: duty {name} ended ({why}); started again in {wait:?}"
        );
        thread::sleep(wait);
        wait = (wait * 2).min(MAX_WAIT);
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}

/// Runs a future to its end on this thread, with a runtime of its own.
///
/// Futures that aren't `Send`, as capnp-rpc's, may be spawned locally in it.
///
/// # Errors
/// Returns the future's error, or one if no runtime can be set up.
pub fn block_on<T>(f: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, f)
}
