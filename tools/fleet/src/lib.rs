//! Starts a whole fleet as processes on loopback, for tests, demo and trials.
//!
//! It is a tool of developers: the programs it starts never start any other.

pub mod process;
pub mod shape;

use eyre::{Result, WrapErr, bail, eyre};
use honeypulley_daemon::status::BoxStatus;
use honeypulley_platform::roster::{BoxEntry, Roster};
use honeypulley_policy::spec::{Member, MemberState};
use honeypulley_standin::platform::{Calls, Switches as PlatformSwitches};
use honeypulley_standin::work::{JournalPage, Switches};
use process::{Process, program};
use reqwest::Client;
use shape::{FLEET_KEY, Shape};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest wait for a program to become ready.
const START_TIME: Duration = Duration::from_secs(20);

/// One upstream process.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Its entry in the list.
    pub member: Member,
    /// Its control port.
    pub control: SocketAddr,
    /// The process.
    pub process: Process,
}

/// One box process.
#[derive(Debug)]
pub struct BoxProcess {
    /// Its entry in the list.
    pub entry: BoxEntry,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked.
    pub admin: SocketAddr,
    /// Address its connections to upstreams come from.
    pub source: Ipv4Addr,
    /// The process.
    pub process: Process,
}

/// A fleet on loopback; dropping it ends every process.
#[derive(Debug)]
pub struct Fleet {
    /// Files of the fleet: settings, bundles, logs.
    pub dir: TempDir,
    /// Platform's address.
    pub platform: SocketAddr,
    /// Platform process.
    pub platform_process: Process,
    /// Upstreams in the order of the shape.
    pub upstreams: Vec<UpstreamProcess>,
    /// Boxes by number.
    pub boxes: Vec<BoxProcess>,
    /// Client for control.
    pub client: Client,
    shape: Shape,
    public_key: String,
}

impl Fleet {
    /// Starts platform, upstreams and boxes, and gives the list to the platform.
    ///
    /// No bundle is rolled out yet.
    ///
    /// # Errors
    /// Returns an error if a program can't be started.
    pub async fn start(shape: Shape) -> Result<Self> {
        let dir = tempfile::tempdir()?;
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(10)).build()?;
        let platform = free_port()?;
        let lag = shape.list_lag.as_millis().to_string();
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
            shape,
        };
        fleet.make_key("alice")?;
        fleet.start_upstreams()?;
        for i in 0..fleet.shape.boxes {
            let b = fleet.start_box(i, &[])?;
            fleet.boxes.push(b);
        }
        fleet.write_operator()?;
        if let Err(e) = fleet.wait_platform().await {
            return Err(e.wrap_err(fleet.ended()));
        }
        fleet.publish().await?;
        Ok(fleet)
    }

    /// Starts a fleet and rolls its first bundle out everywhere.
    ///
    /// # Errors
    /// Returns an error if a program can't be started or a box does not get ready.
    pub async fn ready(shape: Shape) -> Result<Self> {
        let mut fleet = Self::start(shape).await?;
        let path = fleet.write_bundle("fleet.ini", &fleet.shape.bundle())?;
        fleet.sign(&path, "alice")?;
        let out = fleet.operator(&[
            "roll-out",
            path_str(&path),
            "--settings",
            &fleet.operator_ini(),
            "--wait",
        ])?;
        if let Err(e) = check(&out) {
            return Err(e.wrap_err(fleet.ended()));
        }
        for i in 0..fleet.boxes.len() {
            fleet.wait_ready(i).await?;
        }
        Ok(fleet)
    }

    /// Names the processes that have ended, with their last words.
    fn ended(&mut self) -> String {
        let boxes = self.boxes.iter_mut().map(|b| &mut b.process);
        let upstreams = self.upstreams.iter_mut().map(|u| &mut u.process);
        let all = boxes.chain(upstreams).chain([&mut self.platform_process]);
        let ended = all.filter_map(|p| p.ended().map(|s| (s, p.log.clone())));
        let word = |(s, log): (std::process::ExitStatus, PathBuf)| {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            format!("{}: {s}: {}", log.display(), text.lines().last().unwrap_or_default())
        };
        let words: Vec<String> = ended.map(word).collect();
        format!("{} processes have ended; {}", words.len(), words.join("; "))
    }

    /// Starts one more process for box `i`, as at first or as a replacement.
    ///
    /// # Errors
    /// Returns an error if it can't be started.
    pub fn start_box(&self, i: usize, seeds: &[SocketAddr]) -> Result<BoxProcess> {
        let name = format!("box{i}");
        let hall = format!("hall{}", i % self.shape.halls);
        let (listen, admin, peer) = (free_port()?, free_port()?, free_port()?);
        let source = Ipv4Addr::new(127, 0, 1, (i % 250 + 1) as u8);
        let seeds = seeds.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let seeds = if seeds.is_empty() { seeds } else { format!("seeds = {seeds}\n") };
        let leave = self.shape.leave_wait.as_millis();
        let text = format!(
            "[box]\nname = {name}\nhall = {hall}\nlisten = {listen}\npeer = {peer}\nadmin = {admin}\n\
             platform = {}\nsource = {source}\nfleet-key = {FLEET_KEY}\nleave-wait = {leave}ms\n{seeds}{}\
             [signers]\nalice = {}\n",
            self.platform, self.shape.box_lines, self.public_key
        );
        let path = self.dir.path().join(format!("{name}-{}.ini", listen.port()));
        std::fs::write(&path, text)?;
        let args = ["run".to_owned(), path_str(&path).to_owned()];
        let process = Process::start("honeypulleyd", &args, self.dir.path(), &name)?;
        let entry = BoxEntry { name, peer: peer.to_string(), hall, state: MemberState::Live };
        Ok(BoxProcess { entry, listen, admin, source, process })
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for (service, n) in self.shape.services.clone() {
            for i in 0..n {
                let name = format!("{service}-{i}");
                let (listen, control) = (free_port()?, free_port()?);
                let mut args = vec![name.clone(), listen.to_string(), control.to_string()];
                args.extend(self.shape.upstream_args.iter().cloned());
                let process = Process::start("standin-upstream", &args, self.dir.path(), &name)?;
                let hall = format!("hall{}", i % self.shape.halls);
                let (addr, state) = (listen.to_string(), MemberState::Live);
                let member = Member { name, service: service.clone(), addr, hall, state };
                self.upstreams.push(UpstreamProcess { member, control, process });
            }
        }
        Ok(())
    }

    /// Gives the list of all processes to the platform.
    ///
    /// # Errors
    /// Returns an error if the platform does not take it.
    pub async fn publish(&self) -> Result<()> {
        let roster = Roster {
            boxes: self.boxes.iter().map(|b| b.entry.clone()).collect(),
            upstreams: self.upstreams.iter().map(|u| u.member.clone()).collect(),
        };
        let url = format!("http://{}/members", self.platform);
        self.client.put(url).body(serde_json::to_vec(&roster)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Switches the platform's failures.
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn switch_platform(&self, s: PlatformSwitches) -> Result<()> {
        let url = format!("http://{}/faults", self.platform);
        self.client.put(url).body(serde_json::to_vec(&s)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Copies the platform's objects, for [`Fleet::restore_platform`].
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn back_up_platform(&self) -> Result<()> {
        let url = format!("http://{}/backup", self.platform);
        self.client.put(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Restores the platform's objects from the last copy.
    ///
    /// # Errors
    /// Returns an error if there is no copy, or the platform does not answer.
    pub async fn restore_platform(&self) -> Result<()> {
        let url = format!("http://{}/restore", self.platform);
        self.client.put(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns how often the platform was called.
    ///
    /// # Errors
    /// Returns an error if the platform does not answer.
    pub async fn calls(&self) -> Result<Calls> {
        let url = format!("http://{}/calls", self.platform);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Switches an upstream's failures.
    ///
    /// # Errors
    /// Returns an error if the upstream does not answer.
    pub async fn switch(&self, upstream: usize, s: &Switches) -> Result<()> {
        let url = format!("http://{}/switches", self.upstreams[upstream].control);
        self.client.put(url).body(serde_json::to_vec(s)?).send().await?.error_for_status()?;
        Ok(())
    }

    /// Returns what an upstream ran.
    ///
    /// # Errors
    /// Returns an error if the upstream does not answer.
    pub async fn journal(&self, upstream: usize) -> Result<JournalPage> {
        let url = format!("http://{}/journal", self.upstreams[upstream].control);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns a box's status over its operators' port.
    ///
    /// # Errors
    /// Returns an error if the box does not answer.
    pub async fn status(&self, i: usize) -> Result<BoxStatus> {
        let url = format!("http://{}/status", self.boxes[i].admin);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns whether a box is ready, and what it says.
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
    /// Returns an error with the box's last word if it does not get ready.
    pub async fn wait_ready(&self, i: usize) -> Result<()> {
        let what = format!("{} is ready", self.boxes[i].entry.name);
        until(&what, START_TIME, async || self.readiness(i).await.is_ok_and(|(r, _)| r)).await
    }

    async fn wait_platform(&self) -> Result<()> {
        until("the platform answers", START_TIME, async || self.calls().await.is_ok()).await
    }

    /// Writes a bundle's file.
    ///
    /// # Errors
    /// Returns an error if it can't be written.
    pub fn write_bundle(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Signs a bundle's file off.
    ///
    /// # Errors
    /// Returns an error if the operators' command fails.
    pub fn sign(&self, bundle: &Path, name: &str) -> Result<()> {
        let key = self.dir.path().join(format!("{name}.key"));
        let args = ["bundle", "sign", path_str(bundle), "--name", name, "--key", path_str(&key)];
        check(&self.operator(&args)?)
    }

    /// Runs the operators' command.
    ///
    /// # Errors
    /// Returns an error if it can't be started; its own failure is in the output.
    pub fn operator(&self, args: &[&str]) -> Result<Output> {
        Command::new(program("honeypulley")?).args(args).output().wrap_err("run honeypulley")
    }

    /// Returns the path of the operators' settings.
    #[must_use]
    pub fn operator_ini(&self) -> String {
        path_str(&self.dir.path().join("operator.ini")).to_owned()
    }

    /// Returns the shape that the fleet was started with.
    #[must_use]
    pub const fn shape(&self) -> &Shape {
        &self.shape
    }

    fn write_operator(&self) -> Result<()> {
        let seeds: Vec<&str> = self.boxes.iter().take(3).map(|b| b.entry.peer.as_str()).collect();
        let (platform, seeds) = (self.platform, seeds.join(","));
        let text = format!(
            "[operator]\nplatform = {platform}\nfleet-key = {FLEET_KEY}\nseeds = {seeds}\n"
        );
        std::fs::write(self.operator_ini(), text)?;
        Ok(())
    }

    fn make_key(&mut self, name: &str) -> Result<()> {
        let key = self.dir.path().join(format!("{name}.key"));
        let out = self.operator(&["keygen", "--name", name, "--key", path_str(&key)])?;
        check(&out)?;
        let line = String::from_utf8_lossy(&out.stdout).trim().to_owned();
        let public = line.split_once(" = ").ok_or_else(|| eyre!("keygen printed {line}"))?.1;
        public.clone_into(&mut self.public_key);
        Ok(())
    }
}

/// Waits until `done` holds.
///
/// # Errors
/// Returns an error naming `what` if it does not hold within `most`.
pub async fn until(what: &str, most: Duration, done: impl AsyncFn() -> bool) -> Result<()> {
    let began = Instant::now();
    while !done().await {
        if began.elapsed() > most {
            bail!("not within {most:?}: {what}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Turns a failed run of the operators' command into an error.
///
/// # Errors
/// Returns what it printed on standard error.
pub fn check(out: &Output) -> Result<()> {
    if !out.status.success() {
        bail!("{}", String::from_utf8_lossy(&out.stderr).trim());
    }
    Ok(())
}

/// Ports that a fleet takes, below those that the kernel gives to outgoing
/// connections, so that nobody else is given one between choice and use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports given out by this process. Tests start fleets side by side, and a port
/// is free to see until its program has bound it; the ports are the machine's,
/// so their ledger is the process's.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a port on loopback that is free for TCP and UDP just now.
///
/// # Errors
/// Returns an error if none can be bound.
pub fn free_port() -> Result<SocketAddr> {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let is_free = |port| {
        let addr = loopback(port);
        TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
    };
    let port = choose_port(&mut given, || fastrand::u16(PORTS), is_free);
    port.map(loopback).ok_or_else(|| eyre!("no free port"))
}

/// Chooses a port that was not given out before; `None` if a thousand draws find none.
///
/// A port that was given out is never tried: for that moment the program that it was given
/// to could not bind it.
pub fn choose_port(
    given: &mut BTreeSet<u16>,
    mut draw: impl FnMut() -> u16,
    mut is_free: impl FnMut(u16) -> bool,
) -> Option<u16> {
    (0..1_000).find_map(|_| {
        let port = draw();
        (given.insert(port) && is_free(port)).then_some(port)
    })
}

/// Returns a path as text.
///
/// # Panics
/// Panics if it is not UTF-8, which paths made here are.
#[must_use]
pub fn path_str(p: &Path) -> &str {
    p.to_str().expect("made here from UTF-8")
}
