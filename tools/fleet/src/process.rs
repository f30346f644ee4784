//! Child processes of a fleet.

use eyre::{Result, WrapErr, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// File that receives its standard output and standard error.
    pub log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace with its output in `LOG.log` in `dir`.
    ///
    /// # Errors
    /// Returns an error if the program isn't built or can't be started.
    pub fn start(name: &str, args: &[String], dir: &Path, log: &str) -> Result<Self> {
        let log = dir.join(format!("{log}.log"));
        let out = OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new(program(name)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()
            .wrap_err_with(|| format!("start {name}"))?;
        Ok(Self { child, log })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn signal(&self, s: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), s).wrap_err("send a signal")
    }

    /// Suspends the process with `SIGSTOP`.
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with `SIGCONT`.
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    /// Returns an error if the process no longer exists.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// Returns an error if the process still runs after `timeout`.
    pub async fn wait_end(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let began = Instant::now();
        loop {
            if let Some(s) = self.ended() {
                return Ok(s);
            }
            if began.elapsed() > timeout {
                return Err(eyre!("process {} still runs after {timeout:?}", self.id()));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program that was built from this workspace.
///
/// # Errors
/// Returns an error if it isn't built.
pub fn program(name: &str) -> Result<PathBuf> {
    let current = std::env::current_exe()?;
    // Cargo puts tests and examples into a directory below that of the programs.
    let path = current.ancestors().skip(1).take(2).map(|d| d.join(name)).find(|p| p.is_file());
    path.ok_or_else(|| eyre!("{name} is not built; run `cargo build --workspace --bins` first"))
}
