//! Starts the project's daemon as processes, as the platform does.

use crate::Result;
use crate::client::{self, Ended, Request};
use crate::record::Record;
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which the fleet may need until every box is ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Ports that are the same on every box.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    peer: u16,
    relay: u16,
}

/// A box.
#[derive(Debug)]
pub struct Box {
    /// Name.
    pub name: String,
    /// Address for requesters.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Times at which the process ended by itself.
    pub ends: Vec<Duration>,
}

/// The boxes of a fleet; dropping it ends their processes.
#[derive(Debug)]
pub struct Fleet {
    /// The boxes.
    pub boxes: Vec<Box>,
    record: Record,
    root: PathBuf,
    dir: PathBuf,
}

impl Fleet {
    /// Starts a fleet for the first time and waits until every box is ready.
    ///
    /// # Errors
    /// Returns an error if a box doesn't start.
    pub fn start(record: &Record, store: SocketAddr, count: u8) -> Result<Self> {
        let root = PathBuf::from(std::env::var("ROOT").map_err(|_| "ROOT names no folder")?);
        let dir = PathBuf::from(std::env::var("WORK_DIR").map_err(|_| "WORK_DIR names no folder")?);
        let template = fs::read_to_string(root.join("deploy/box.ini"))?;
        let ips: Vec<Ipv4Addr> = (0..count).map(|i| Ipv4Addr::new(127, 0, 1, 10 + i)).collect();
        let ports = free_ports(&ips)?;
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("{ip}:{}", ports.peer)).collect();
        let mut fleet = Self { boxes: Vec::new(), record: record.clone(), root, dir };
        for (i, ip) in ips.iter().enumerate() {
            let name = format!("front-suva-a-{}", i + 1);
            let text = fill(&template, &name, *ip, ports, store, &seeds.join(","));
            let settings = fleet.dir.join(format!("{name}.ini"));
            fs::write(&settings, text)?;
            let at = |port| SocketAddr::from((*ip, port));
            let log = fleet.dir.join(format!("{name}.log"));
            let (front, ready) = (at(ports.front), at(ports.ready));
            fleet.boxes.push(Box {
                name,
                front,
                ready,
                settings,
                log,
                child: None,
                ends: Vec::new(),
            });
            fleet.spawn(i)?;
        }
        fleet.until_ready()?;
        Ok(fleet)
    }

    /// Starts the process of a box with the command of the deploy file.
    fn spawn(&mut self, i: usize) -> Result<()> {
        let b = &mut self.boxes[i];
        let log = File::options().create(true).append(true).open(&b.log)?;
        let child = Command::new("target/release/honeypulley-edge")
            .arg("run")
            .arg(&b.settings)
            .current_dir(&self.root)
            .env_clear()
            .env("HONEYPULLEY_BOOT", &b.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("start    {} as process {}", b.name, child.id()));
        let mut pids = File::options().create(true).append(true).open(self.dir.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        b.child = Some(child);
        Ok(())
    }

    /// Notes processes that have ended by themselves; returns the boxes that have none.
    pub fn check_processes(&mut self) -> Vec<usize> {
        let (mut ended, now) = (Vec::new(), self.record.now());
        for (i, b) in self.boxes.iter_mut().enumerate() {
            if let Some(child) = &mut b.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.record.line(&format!("END      {} ended by itself: {status}", b.name));
                b.ends.push(now);
                b.child = None;
            }
            if b.child.is_none() {
                ended.push(i);
            }
        }
        ended
    }

    /// Starts a process that has ended again, with the settings of a later start.
    ///
    /// # Errors
    /// Returns an error if it can't be started.
    pub fn restart(&mut self, i: usize) -> Result<()> {
        let path = &self.boxes[i].settings;
        let text = fs::read_to_string(path)?;
        fs::write(path, text.replace("first-start = true", "first-start = false"))?;
        self.spawn(i)
    }

    /// Kills the process of a box.
    pub fn kill(&mut self, i: usize) {
        let b = &mut self.boxes[i];
        if let Some(mut child) = b.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("kill     {}", b.name));
        }
    }

    /// Returns whether a box says that it is ready.
    #[must_use]
    pub fn is_ready(&self, i: usize) -> bool {
        is_ready(self.boxes[i].ready)
    }

    fn until_ready(&self) -> Result<()> {
        let began = Instant::now();
        while !(0..self.boxes.len()).all(|i| self.is_ready(i)) {
            if began.elapsed() > READY_TIME {
                return Err("not every box became ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("ready    every box");
        Ok(())
    }

    /// Returns the last lines of a box's log that contain a text.
    #[must_use]
    pub fn log_lines(&self, i: usize, text: &str, count: usize) -> Vec<String> {
        let log = fs::read(&self.boxes[i].log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let found: Vec<&str> = log.lines().filter(|l| l.contains(text)).collect();
        found.iter().rev().take(count).rev().map(|l| (*l).to_owned()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.boxes.iter_mut().filter_map(|b| b.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns whether the daemon at this address answers its readiness check with 200.
#[must_use]
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(record) = quiet_record() else { return false };
    let request = Request {
        method: "GET",
        host: "platform",
        target: "/ready",
        id: "ready",
        budget: Duration::from_secs(1),
        body: "",
    };
    matches!(client::send(&record, addr, &request), Ended::Answer(m) if m.status() == 200)
}

/// Returns a record whose lines are dropped.
fn quiet_record() -> Result<Record> {
    Record::to("/dev/null")
}

/// Fills the gaps of the settings' template by key, as the platform fills them by name.
fn fill(
    template: &str,
    name: &str,
    ip: Ipv4Addr,
    ports: Ports,
    store: SocketAddr,
    seeds: &str,
) -> String {
    let value = |key: &str, text: &str| match key {
        "name" => name.to_owned(),
        "hall" => "suva-a".to_owned(),
        "listen" => format!("{ip}:{}", ports.front),
        "admin" => format!("{ip}:{}", ports.ready),
        "peer" => format!("{ip}:{}", ports.peer),
        "relay" => format!("{ip}:{}", ports.relay),
        "store" => store.to_string(),
        "seeds" => seeds.to_owned(),
        "retry-ratio" => "0.2".to_owned(),
        "retry-slack" => "58".to_owned(),
        "retry-window" => "10s".to_owned(),
        "first-start" => "true".to_owned(),
        "grace" => "6s".to_owned(),
        "floor-share" => "0.7".to_owned(),
        "link-mbps" => "1000.0".to_owned(),
        "regions" => "suva-a:suva,suva-b:suva,suva-c:suva".to_owned(),
        // Bounds that the small deployments don't have.
        _ if text.contains("{{") => String::new(),
        _ => text.to_owned(),
    };
    let line = |l: &str| match l.split_once('=') {
        Some((key, text)) => {
            let key = key.trim();
            format!("{key} = {}", value(key, text.trim()))
        }
        None => l.to_owned(),
    };
    template.lines().map(line).collect::<Vec<_>>().join("\n")
}

/// Finds ports that are free on all addresses.
fn free_ports(ips: &[Ipv4Addr]) -> Result<Ports> {
    for _ in 0..50 {
        let mut free = Vec::new();
        while free.len() < 4 {
            let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
            if !free.contains(&port) {
                free.push(port);
            }
        }
        let is_free = |ip: &Ipv4Addr, port: u16| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(|ip| free.iter().all(|p| is_free(ip, *p))) {
            return Ok(Ports { front: free[0], ready: free[1], peer: free[2], relay: free[3] });
        }
    }
    Err("no ports are free on all addresses".into())
}
