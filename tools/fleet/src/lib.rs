//! Starts a whole fleet as processes on loopback, for tests, demo and measurements.
//!
//! This is a development tool; the shipped programs never start other processes.

pub mod ports;
pub mod process;
pub mod shape;

pub use ports::{choose_port, free_port};

use eyre::{Result, WrapErr, bail, eyre};
use honeypulley_daemon::status::BoxStatus;
use honeypulley_platform::roster::{BoxEntry, Roster};
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_standin::platform::{Calls, Switches as PlatformSwitches};
use honeypulley_standin::work::{JournalSnapshot, Switches};
use process::{Process, program};
use reqwest::Client;
use shape::{FLEET_KEY, FleetConfig};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time within which a program must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One upstream process.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Entry in the platform's list.
    pub member: Member,
    /// Address of the control port.
    pub control: SocketAddr,
    /// The process itself.
    pub process: Process,
}

/// One box process.
#[derive(Debug)]
pub struct BoxProcess {
    /// Entry in the platform's list.
    pub entry: BoxEntry,
    /// Address of the callers' port.
    pub listen: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Source address of connections to upstreams.
    pub source: Ipv4Addr,
    /// The process itself.
    pub process: Process,
}

/// Fleet of processes on loopback; dropping it kills all of them.
#[derive(Debug)]
pub struct Fleet {
    /// Directory of settings, keys, bundles and logs.
    pub dir: TempDir,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Platform process.
    pub platform_process: Process,
    /// Upstreams in the order of the configured services.
    pub upstreams: Vec<UpstreamProcess>,
    /// Boxes by index.
    pub boxes: Vec<BoxProcess>,
    /// HTTP client for control and admin ports.
    pub client: Client,
    config: FleetConfig,
    public_key: String,
}

impl Fleet {
    /// Starts platform, upstreams and boxes and publishes the list.
    ///
    /// No bundle is rolled out yet, so that the boxes are not ready.
    ///
    /// # Errors
    /// Returns an error if a program can't be started.
    pub async fn start(config: FleetConfig) -> Result<Self> {
        let dir = tempfile::tempdir()?;
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(10)).build()?;
        let platform = free_port()?;
        let lag = config.list_lag.as_millis().to_string();
        let args = [platform.to_string(), "--lag-ms".to_owned(), lag];
        let platform_process = Process::start("standin-platform", &args, dir.path(), "platform")?;
        let mut fleet = Self {
            platform,
            platform_process,
            upstreams: Vec::new(),
            boxes: Vec::new(),
            client,
            public_key: String::new(),
            dir,
            config,
        };
        fleet.generate_key("alice")?;
        fleet.start_upstreams()?;
        for i in 0..fleet.config.boxes {
            let b = fleet.start_box(i, &[])?;
            fleet.boxes.push(b);
        }
        fleet.write_operator_settings()?;
        if let Err(e) = fleet.wait_platform().await {
            return Err(e.wrap_err(fleet.describe_exited()));
        }
        fleet.publish_roster().await?;
        Ok(fleet)
    }

    /// Starts a fleet, rolls out its first bundle and waits for readiness.
    ///
    /// # Errors
    /// Returns an error if a program can't be started or a box does not become ready.
    pub async fn start_ready(config: FleetConfig) -> Result<Self> {
        let mut fleet = Self::start(config).await?;
        let path = fleet.write_bundle("fleet.ini", &fleet.config.bundle_text())?;
        fleet.sign(&path, "alice")?;
        let out = fleet.run_operator(&[
            "roll-out",
            path_str(&path),
            "--settings",
            &fleet.operator_settings(),
            "--wait",
        ])?;
        if let Err(e) = check_success(&out) {
            return Err(e.wrap_err(fleet.describe_exited()));
        }
        for i in 0..fleet.boxes.len() {
            fleet.wait_ready(i).await?;
        }
        Ok(fleet)
    }

    /// Describes the processes that have exited, each with the last line of its log.
    fn describe_exited(&mut self) -> String {
        let boxes = self.boxes.iter_mut().map(|b| &mut b.process);
        let upstreams = self.upstreams.iter_mut().map(|u| &mut u.process);
        let all = boxes.chain(upstreams).chain([&mut self.platform_process]);
        let exited = all.filter_map(|p| p.ended().map(|s| (s, p.log.clone())));
        let describe = |(s, log): (std::process::ExitStatus, PathBuf)| {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            format!("{}: {s}: {}", log.display(), text.lines().last().unwrap_or_default())
        };
        let descriptions: Vec<String> = exited.map(describe).collect();
        format!("{} processes have exited: {}", descriptions.len(), descriptions.join("; "))
    }

    /// Starts a process for box `i`, either its first one or a replacement.
    ///
    /// # Errors
    /// Returns an error if the process can't be started.
    pub fn start_box(&self, i: usize, seeds: &[SocketAddr]) -> Result<BoxProcess> {
        let name = format!("box{i}");
        let hall = format!("hall{}", i % self.config.halls);
        let (listen, admin, peer) = (free_port()?, free_port()?, free_port()?);
        let source = Ipv4Addr::new(127, 0, 1, (i % 250 + 1) as u8);
        let seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let seeds = if seeds.is_empty() { seeds } else { format!("seeds = {seeds}\n") };
        let leave = self.config.leave_wait.as_millis();
        let text = format!(
            "[box]\nname = {name}\nhall = {hall}\nlisten = {listen}\npeer = {peer}\nadmin = {admin}\n\
             platform = {}\nsource = {source}\nfleet-key = {FLEET_KEY}\nleave-wait = {leave}ms\n{seeds}{}\
             [signers]\nalice = {}\n",
            self.platform, self.config.box_settings, self.public_key
        );
        let path = self.dir.path().join(format!("{name}-{}.ini", listen.port()));
        std::fs::write(&path, text)?;
        let args = ["run".to_owned(), path_str(&path).to_owned()];
        let process = Process::start("honeypulleyd", &args, self.dir.path(), &name)?;
        let entry = BoxEntry { name, peer: peer.to_string(), hall, state: MemberState::Live };
        Ok(BoxProcess { entry, listen, admin, source, process })
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for (service, n) in self.config.services.clone() {
            for i in 0..n {
                let name = format!("{service}-{i}");
                let (listen, control) = (free_port()?, free_port()?);
                let mut args = vec![name.clone(), listen.to_string(), control.to_string()];
                args.extend(self.config.upstream_args.iter().cloned());
                let process = Process::start("standin-upstream", &args, self.dir.path(), &name)?;
                let hall = format!("hall{}", i % self.config.halls);
                let (addr, state) = (listen.to_string(), MemberState::Live);
                let member = Member { name, service: service.clone(), addr, hall, state };
                self.upstreams.push(UpstreamProcess { member, control, process });
            }
        }
        Ok(())
    }

    /// Publishes the list of all boxes and upstreams on the platform.
    ///
    /// # Errors
    /// Returns an error if the platform does not accept it.
    pub async fn publish_roster(&self) -> Result<()> {
        let roster = Roster {
            boxes: self.boxes.iter().map(|b| b.entry.clone()).collect(),
            upstreams: self.upstreams.iter().map(|u| u.member.clone()).collect(),
        };
        let url = format!("http://{}/members", self.platform);
        self.client.put(url).body(serde_json::to_vec(&roster)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Sets the faults that the platform simulates.
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn set_platform_faults(&self, s: PlatformSwitches) -> Result<()> {
        let url = format!("http://{}/faults", self.platform);
        self.client.put(url).body(serde_json::to_vec(&s)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Backs up the platform's objects for [`Fleet::restore_platform`].
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn back_up_platform(&self) -> Result<()> {
        let url = format!("http://{}/backup", self.platform);
        self.client.put(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Restores the platform's objects from the last backup.
    ///
    /// # Errors
    /// Returns an error if there is no backup or the platform does not answer.
    pub async fn restore_platform(&self) -> Result<()> {
        let url = format!("http://{}/restore", self.platform);
        self.client.put(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns the number of calls that the platform received.
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn calls(&self) -> Result<Calls> {
        let url = format!("http://{}/calls", self.platform);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Sets the faults that an upstream simulates.
    ///
    /// # Errors
    /// Returns an error if the upstream does not answer.
    pub async fn set_upstream_faults(&self, upstream: usize, s: &Switches) -> Result<()> {
        let url = format!("http://{}/switches", self.upstreams[upstream].control);
        self.client.put(url).body(serde_json::to_vec(s)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns the journal of an upstream.
    ///
    /// # Errors
    /// Returns an error if the upstream does not answer.
    pub async fn journal(&self, upstream: usize) -> Result<JournalSnapshot> {
        let url = format!("http://{}/journal", self.upstreams[upstream].control);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns the status of a box from its admin port.
    ///
    /// # Errors
    /// Returns an error if the box does not answer.
    pub async fn status(&self, i: usize) -> Result<BoxStatus> {
        let url = format!("http://{}/status", self.boxes[i].admin);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns whether a box is ready, and the text of its answer.
    ///
    /// # Errors
    /// Returns an error if the box does not answer.
    pub async fn readiness(&self, i: usize) -> Result<(bool, String)> {
        let url = format!("http://{}/ready", self.boxes[i].admin);
        let answer = self.client.get(url).send().await?;
        Ok((answer.status().is_success(), answer.text().await?))
    }

    /// Waits until a box is ready.
    ///
    /// # Errors
    /// Returns an error if it does not become ready in time.
    pub async fn wait_ready(&self, i: usize) -> Result<()> {
        let what = format!("{} is ready", self.boxes[i].entry.name);
        until(&what, START_TIMEOUT, async || self.readiness(i).await.is_ok_and(|(r, _)| r)).await
    }

    async fn wait_platform(&self) -> Result<()> {
        until("the platform answers", START_TIMEOUT, async || self.calls().await.is_ok()).await
    }

    /// Writes the text of a bundle into a file of the fleet's directory.
    ///
    /// # Errors
    /// Returns an error if it can't be written.
    pub fn write_bundle(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Signs a bundle file with the key of `name`.
    ///
    /// # Errors
    /// Returns an error if the command fails.
    pub fn sign(&self, bundle: &Path, name: &str) -> Result<()> {
        let key = self.dir.path().join(format!("{name}.key"));
        let args = ["bundle", "sign", path_str(bundle), "--name", name, "--key", path_str(&key)];
        check_success(&self.run_operator(&args)?)
    }

    /// Runs the command-line tool `honeypulley`.
    ///
    /// # Errors
    /// Returns an error if it can't be started. Its exit status is in the output.
    pub fn run_operator(&self, args: &[&str]) -> Result<Output> {
        Command::new(program("honeypulley")?).args(args).output().wrap_err("run honeypulley")
    }

    /// Returns the path of the settings for the command-line tool.
    #[must_use]
    pub fn operator_settings(&self) -> String {
        path_str(&self.dir.path().join("operator.ini")).to_owned()
    }

    /// Returns the configuration that the fleet was started with.
    #[must_use]
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    fn write_operator_settings(&self) -> Result<()> {
        let seeds: Vec<&str> = self.boxes.iter().take(3).map(|b| b.entry.peer.as_str()).collect();
        let (platform, seeds) = (self.platform, seeds.join(","));
        let text = format!(
            "[operator]\nplatform = {platform}\nfleet-key = {FLEET_KEY}\nseeds = {seeds}\n"
        );
        std::fs::write(self.operator_settings(), text)?;
        Ok(())
    }

    fn generate_key(&mut self, name: &str) -> Result<()> {
        let key = self.dir.path().join(format!("{name}.key"));
        let out = self.run_operator(&["keygen", "--name", name, "--key", path_str(&key)])?;
        check_success(&out)?;
        let line = String::from_utf8_lossy(&out.stdout).trim().to_owned();
        let public =
            line.split_once(" = ").ok_or_else(|| eyre!("unexpected output of keygen: {line}"))?.1;
        public.clone_into(&mut self.public_key);
        Ok(())
    }
}

/// Polls `done` until it returns true.
///
/// # Errors
/// Returns an error with `what` if it does not do so within `timeout`.
pub async fn until(what: &str, timeout: Duration, done: impl AsyncFn() -> bool) -> Result<()> {
    let began = Instant::now();
    while !done().await {
        if began.elapsed() > timeout {
            bail!("timed out after {timeout:?}: {what}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Returns an error if a command exited unsuccessfully.
///
/// # Errors
/// Returns its standard error as the error.
pub fn check_success(out: &Output) -> Result<()> {
    if !out.status.success() {
        bail!("{}", String::from_utf8_lossy(&out.stderr).trim());
    }
    Ok(())
}

/// Returns a path as text.
///
/// # Panics
/// Panics if the path is not valid UTF-8. Paths of test fleets always are.
#[must_use]
pub fn path_str(p: &Path) -> &str {
    p.to_str().expect("paths of test fleets are valid UTF-8")
}
