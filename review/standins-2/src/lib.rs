//! Deployment of the program under review: a store, and boxes as processes.

pub mod record;
pub mod worker;

use edge_standin::store::{Endpoint, StandinStore};
use eyre::{Result, WrapErr, eyre};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Host of every route.
pub const HOST: &str = "site.example";
/// Data hall of all boxes and workers.
pub const HALL: &str = "suva-a";

/// A running box, which is killed on drop.
#[derive(Debug)]
pub struct EdgeBox {
    /// Address for requesters.
    pub listen: SocketAddr,
    /// Address on which the box talks to the other boxes.
    pub peer: SocketAddr,
    /// Address of the readiness checks.
    pub ready: SocketAddr,
    /// The box's endpoint of the store.
    pub store: Endpoint,
    /// Process of the box.
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl EdgeBox {
    /// Sends SIGTERM to the box.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal("-TERM")
    }

    /// Sends a signal to the box, by its process id.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status()?;
        if sent.success() { Ok(()) } else { Err(eyre!("kill {signal} failed")) }
    }

    /// Waits until the box has ended; kills it at `until`, as the platform does.
    ///
    /// # Errors
    /// Returns an error if its state can't be read.
    pub async fn wait_end(&mut self, until: Instant) -> Result<()> {
        while self.child.try_wait()?.is_none() {
            if Instant::now() > until {
                self.child.kill()?;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

impl Drop for EdgeBox {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store and some boxes.
#[derive(Debug)]
pub struct Deployment {
    /// The platform's store.
    pub store: StandinStore,
    /// The boxes.
    pub boxes: Vec<EdgeBox>,
    dir: TempDir,
}

/// A free loopback address.
///
/// # Errors
/// Returns an error if no port is free.
pub fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

impl Deployment {
    /// Creates a deployment without boxes.
    ///
    /// # Errors
    /// Returns an error if no temporary folder can be created.
    pub fn new() -> Result<Self> {
        let (store, boxes, dir) = (StandinStore::default(), Vec::new(), tempfile::tempdir()?);
        Ok(Self { store, boxes, dir })
    }

    /// Writes the manifest; each route is `(prefix, kind, service, max-attempts)`.
    pub async fn manifest(&self, number: u64, routes: &[(&str, &str, &str, u64)]) {
        let row = |r: &(&str, &str, &str, u64)| {
            let name = r.0.trim_matches('/').replace('/', "-");
            json!([name, HOST, r.0, r.1, "8000ms", "1000ms", 1, r.2, r.3])
        };
        let mut services: Vec<&str> = routes.iter().map(|r| r.2).collect();
        services.sort_unstable();
        services.dedup();
        let service = |s: &&str| json!([s, "/health", 330]);
        let spec = json!({
            "version": format!("r{number}"),
            "routes": {
                "columns": ["name", "host", "path-prefix", "kind", "timeout", "slo", "priority",
                    "service", "max-attempts"],
                "rows": routes.iter().map(row).collect::<Vec<Value>>(),
            },
            "services": {
                "columns": ["name", "health-path", "max-conns"],
                "rows": services.iter().map(service).collect::<Vec<Value>>(),
            },
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 4_000_000,
                "header-timeout": "3000ms", "idle-timeout": "15000ms",
            },
        });
        self.store.put("config/main", &spec).await;
    }

    /// Writes the entry of a worker.
    pub async fn list(&self, id: &str, service: &str, addr: SocketAddr, slots: u64) {
        let spec = json!({
            "address": addr.to_string(),
            "info": {"service": service, "version": "v1", "zone": HALL, "slots": slots},
            "status": {"state": "ready", "seq": 1, "cold-left": "0ms"},
        });
        self.store.put(&format!("servers/{id}"), &spec).await;
    }

    /// Starts a box with the command of the deploy file and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the box doesn't become ready.
    pub async fn start_box(&mut self, root: &Path) -> Result<usize> {
        let seeds: Vec<SocketAddr> = self.boxes.iter().take(3).map(|b| b.peer).collect();
        self.start_box_seeded(root, &seeds).await
    }

    /// Starts a box that knows these seeds, and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the box doesn't become ready.
    pub async fn start_box_seeded(&mut self, root: &Path, seeds: &[SocketAddr]) -> Result<usize> {
        let store = self.store.endpoint().await?;
        let at = store.addr;
        self.start_box_at(root, store, at, seeds).await
    }

    /// Starts a box that reaches its endpoint of the store at `at`, such as a proxy.
    ///
    /// # Errors
    /// Returns an error if the box doesn't become ready.
    pub async fn start_box_at(
        &mut self,
        root: &Path,
        store: Endpoint,
        at: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<usize> {
        let (listen, ready, peer, relay) =
            (free_address()?, free_address()?, free_address()?, free_address()?);
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.join(",");
        let name = format!("front-{}", self.boxes.len() + 1);
        let text = format!(
            "[box]\nname = {name}\nhall = {HALL}\nlisten = {listen}\nadmin = {ready}\n\
             peer = {peer}\nrelay = {relay}\nstore = {}\nseeds = {}\n\
             fleet-key = honeypulley-fleet-of-one-installation\nhall-price = 15\n\
             retry-ratio = 0.2\nretry-slack = 58\nretry-window = 10s\nlimit-window =\n\
             limit-slack =\nfirst-start = true\ngrace = 6s\nfloor-share = 0.7\n\
             link-mbps = 1000\nwarm-up-overage =\nwarm-up-slack =\nregions = {HALL}:suva\n\
             evacuate =\n",
            at, seeds
        );
        let settings = self.dir.path().join(format!("{name}.ini"));
        let log = self.dir.path().join(format!("{name}.log"));
        std::fs::write(&settings, text)?;
        let child = run_box(root, &settings, &log)?;
        self.boxes.push(EdgeBox { listen, peer, ready, store, child, settings, log });
        let i = self.boxes.len() - 1;
        let until = Instant::now() + Duration::from_secs(15);
        while !is_ready(ready).await {
            if Instant::now() > until {
                return Err(eyre!("the box is not ready:\n{}", self.log(i)));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(i)
    }

    /// Starts a box again that has ended or is killed.
    ///
    /// # Errors
    /// Returns an error if it can't be started.
    pub fn restart_box(&mut self, i: usize, root: &Path) -> Result<()> {
        let b = &mut self.boxes[i];
        let _ = b.child.kill();
        let _ = b.child.wait();
        b.child = run_box(root, &b.settings, &b.log)?;
        Ok(())
    }

    /// Returns the log of a box.
    #[must_use]
    pub fn log(&self, i: usize) -> String {
        std::fs::read_to_string(&self.boxes[i].log).unwrap_or_default()
    }
}

fn run_box(root: &Path, settings: &Path, log: &Path) -> Result<Child> {
    let out = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(root.join("target/release/honeypulley-edge"))
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out.try_clone()?)
        .stderr(out)
        .spawn()
        .wrap_err("start target/release/honeypulley-edge")
}

/// Returns how many bytes from requesters wait in the kernel that the box has not read.
///
/// # Errors
/// Returns an error if the kernel's table of connections can't be read.
pub fn unread_bytes(listen: SocketAddr) -> Result<u64> {
    let port = format!(":{:04X}", listen.port());
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let queue = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        // Columns: local address, remote address, state (01 is established), both queues.
        let is_box = columns.get(1)?.ends_with(&port) && *columns.get(3)? == "01";
        let (_, received) = columns.get(4)?.split_once(':')?;
        u64::from_str_radix(received, 16).ok().filter(|_| is_box)
    };
    Ok(table.lines().filter_map(queue).sum())
}

/// Returns whether a box answers that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let text = format!("GET /ready HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    let Ok(mut s) = TcpStream::connect(addr).await else { return false };
    let mut got = Vec::new();
    let _ = s.write_all(text.as_bytes()).await;
    let _ = tokio::time::timeout(Duration::from_secs(1), s.read_to_end(&mut got)).await;
    got.starts_with(b"HTTP/1.1 200")
}
