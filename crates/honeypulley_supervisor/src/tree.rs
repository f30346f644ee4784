//! Supervisor that runs each duty on its own thread and restarts it after a failure.

use eyre::{Result, eyre};
use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Initial backoff before a failed duty is restarted; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the restart backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Run time after which a failed duty is restarted with the initial backoff.
const BACKOFF_RESET: Duration = Duration::from_secs(30);

/// Two-phase shutdown signal of a process.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Set when a planned shutdown begins: no new work is accepted, open work continues.
    pub drain: CancellationToken,
    /// Set when open work has ended and every duty is to return.
    pub stop: CancellationToken,
}

/// A long-running duty of a process, with a thread of its own.
///
/// State that must survive a restart is kept behind shared handles that the duty owns.
pub trait Duty: Debug + Send + Sync + 'static {
    /// Returns the name of the duty, for its thread and log lines.
    fn name(&self) -> &'static str;

    /// Runs the duty until `shutdown.stop` is set.
    ///
    /// # Errors
    /// Returns an error if the run failed; the supervisor then restarts the duty.
    fn run(&self, shutdown: &Shutdown) -> Result<()>;
}

/// A supervisor and its duties.
#[derive(Debug, Default)]
pub struct Supervisor {
    duties: Vec<Arc<dyn Duty>>,
    shutdown: Shutdown,
}

impl Supervisor {
    /// Builds a supervisor without duties, which shuts down on `shutdown`.
    #[must_use]
    pub const fn new(shutdown: Shutdown) -> Self {
        Self { duties: Vec::new(), shutdown }
    }

    /// Adds a duty.
    #[must_use]
    pub fn duty(mut self, d: impl Duty) -> Self {
        self.duties.push(Arc::new(d));
        self
    }

    /// Runs all duties until `stop` is set, restarting those that fail.
    ///
    /// # Errors
    /// Returns an error if a thread can't be spawned.
    pub fn run(self) -> Result<()> {
        let mut threads = Vec::new();
        for duty in self.duties {
            let shutdown = self.shutdown.clone();
            let name = duty.name();
            let main = move || supervise(duty.as_ref(), &shutdown);
            let thread = thread::Builder::new().name(name.to_owned()).spawn(main);
            threads.push(thread.map_err(|e| eyre!("failed to spawn thread {name}: {e}"))?);
        }
        for t in threads {
            // `supervise` catches the panics of its duty, so this join can't fail.
            let _ = t.join();
        }
        Ok(())
    }
}

/// Runs a duty until `stop` is set, with a backoff between its runs.
fn supervise(duty: &dyn Duty, shutdown: &Shutdown) {
    let mut wait = MIN_BACKOFF;
    while !shutdown.stop.is_cancelled() {
        let started = Instant::now();
        let result = catch_unwind(AssertUnwindSafe(|| duty.run(shutdown)));
        if shutdown.stop.is_cancelled() {
            return;
        }
        let why = match result {
            Ok(Ok(())) => "returned early".to_owned(),
            Ok(Err(e)) => format!("{e:#}"),
            Err(panic) => format!("panicked: {}", panic_message(panic.as_ref())),
        };
        if started.elapsed() > BACKOFF_RESET {
            wait = MIN_BACKOFF;
        }
        let (name, wait_ms) = (duty.name(), wait.as_millis() as u64);
        log::error!(
            duty = name, wait_ms;
            "supervisor: duty {name} ended ({why}); restarting in {wait:?}"
        );
        thread::sleep(wait);
        wait = (wait * 2).min(MAX_BACKOFF);
    }
}

/// Returns the message of a panic's payload.
fn panic_message(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}

/// Runs a future to completion on the current thread, with a runtime of its own.
///
/// The future may spawn local tasks that aren't `Send`, such as those of capnp-rpc.
///
/// # Errors
/// Returns the future's error, or an error if the runtime can't be built.
pub fn block_on<T>(f: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, f)
}
