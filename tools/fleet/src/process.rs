//! One started program.

use eyre::{Result, WrapErr, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A started program; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where its output goes.
    pub log: PathBuf,
}

impl Process {
    /// Starts a program of this workspace, its output going to `NAME.log` in `dir`.
    ///
    /// # Errors
    /// Returns an error if it isn't built or can't be started.
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

    /// Returns the process's number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns an error if the process is gone.
    pub fn signal(&self, s: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), s).wrap_err("send a signal")
    }

    /// Freezes the process.
    ///
    /// # Errors
    /// Returns an error if the process is gone.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// Returns an error if the process is gone.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    /// Returns an error if the process is gone.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process's end.
    ///
    /// # Errors
    /// Returns an error if it goes on for longer than `most`.
    pub async fn wait_end(&mut self, most: Duration) -> Result<ExitStatus> {
        let began = Instant::now();
        loop {
            if let Some(s) = self.ended() {
                return Ok(s);
            }
            if began.elapsed() > most {
                return Err(eyre!("process {} goes on after {most:?}", self.id()));
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

/// Returns where a program of this workspace was built.
///
/// # Errors
/// Returns an error if it isn't built.
pub fn program(name: &str) -> Result<PathBuf> {
    let me = std::env::current_exe()?;
    // Tests and examples lie in a folder below the programs.
    let found = me.ancestors().skip(1).take(2).map(|d| d.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| eyre!("{name} is not built; run `cargo build --workspace --bins` first"))
}
