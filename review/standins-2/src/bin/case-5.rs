//! Requesters that keep connections, when one of two boxes is lost.

use eyre::Result;
use review_standins_2::record::{Record, finish, has_trouble};
use review_standins_2::worker::{Worker, read_answer};
use review_standins_2::{Deployment, HOST, is_ready};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Requesters of the whole deployment, as many as `glanrhyd-shops-grown` has.
const REQUESTERS: usize = 1_500;
/// Connections of a requester, which keeps one for each request that it has at a time.
const CONNECTIONS: usize = 2;
/// Rest of a kept connection, within four fifths of the manifest's `idle-timeout` of 15 s.
const REST: Duration = Duration::from_secs(9);
/// Time after which a requester gives up a daemon that has not read its request.
const UNREAD: Duration = Duration::from_secs(1);
/// `contact` of the deployments.
const CONTACT_SECS: usize = 3;
/// Requesters that must try.
const TRIES: usize = 7;
/// Seconds that are watched after the loss.
const WATCHED_SECS: usize = 20;

/// What happened at front-1 within the current second.
#[derive(Debug, Default)]
struct Counts {
    /// Requesters that tried a new connection.
    tried: Mutex<BTreeSet<usize>>,
    /// Requests on new connections that were answered.
    answered_new: AtomicUsize,
    /// Requests on kept connections that were answered.
    answered_kept: AtomicUsize,
}

/// The platform's choice of a daemon: those that answered one of the last two questions.
#[derive(Debug)]
struct Entry {
    fronts: Vec<SocketAddr>,
    is_in: Vec<AtomicBool>,
}

impl Entry {
    fn daemon_of(&self, requester: usize) -> usize {
        let own = requester % self.fronts.len();
        let ready = |i: &usize| self.is_in[*i].load(Ordering::Relaxed);
        [own].into_iter().chain(0..self.fronts.len()).find(ready).unwrap_or(own)
    }
}

#[tokio::main]
async fn main() {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let record = Record::default();
    let result = run(&args[0], &record).await;
    finish(result, &record, &args[1]);
}

async fn run(root: &Path, record: &Record) -> Result<bool> {
    let mut site = Deployment::new()?;
    site.manifest(2, &[("/pages/", "safe", "pages", 2)]).await;
    for id in ["i-1", "i-2"] {
        let w = Worker::start(id, 300, &Record::silent())?;
        site.list(id, "pages", w.addr, 300).await;
    }
    site.start_box(root).await?;
    site.start_box(root).await?;
    sleep(Duration::from_secs(4)).await;
    let fronts: Vec<SocketAddr> = site.boxes.iter().map(|b| b.listen).collect();
    let checks: Vec<SocketAddr> = site.boxes.iter().map(|b| b.ready).collect();
    let is_in = fronts.iter().map(|_| AtomicBool::new(true)).collect();
    let entry = Arc::new(Entry { fronts, is_in });
    tokio::spawn(check_readiness(Arc::clone(&entry), checks.clone()));
    let counts = Arc::new(Counts::default());
    record.add(
        &format!("{REQUESTERS} requesters connect to two boxes, {CONNECTIONS} times each"),
        "",
    );
    for n in 0..REQUESTERS * CONNECTIONS {
        let (requester, entry) = (n / CONNECTIONS, Arc::clone(&entry));
        tokio::spawn(request_forever((requester, n), entry, Arc::clone(&counts)));
        if n % 10 == 0 {
            sleep(Duration::from_millis(15)).await;
        }
    }
    sleep(Duration::from_secs(10)).await;
    if has_trouble() {
        record.add("front-2 is removed for good, without SIGTERM", "");
        site.boxes[1].child.kill()?;
    }
    let mut taken = Vec::new();
    for _ in 0..WATCHED_SECS {
        let now = |c: &AtomicUsize| c.swap(0, Ordering::Relaxed);
        take(&counts.tried);
        now(&counts.answered_new);
        now(&counts.answered_kept);
        sleep(Duration::from_secs(1)).await;
        let ready = is_ready(checks[0]).await;
        let (tried, new) = (take(&counts.tried), now(&counts.answered_new));
        record.add(
            &format!(
                "front-1: ready {ready}; requesters that try a new connection {tried}, requests \
                 answered on new ones {new}, on kept ones {}",
                now(&counts.answered_kept)
            ),
            "",
        );
        taken.push(ready && tried >= TRIES && new == 0);
    }
    let broken = taken.windows(CONTACT_SECS + 1).any(|w| w.iter().all(|t| *t));
    Ok(broken)
}

/// Returns how many requesters have tried, and begins anew.
fn take(tried: &Mutex<BTreeSet<usize>>) -> usize {
    std::mem::take(&mut *tried.lock().expect("no thread panics")).len()
}

/// Asks each daemon each second whether it is ready; two misses take it out.
async fn check_readiness(entry: Arc<Entry>, checks: Vec<SocketAddr>) {
    let mut misses = vec![0; checks.len()];
    loop {
        for (i, to) in checks.iter().enumerate() {
            misses[i] = if is_ready(*to).await { 0 } else { misses[i] + 1 };
            entry.is_in[i].store(misses[i] < 2, Ordering::Relaxed);
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Keeps a connection for many requests; after a failure, takes a new one.
async fn request_forever((requester, n): (usize, usize), entry: Arc<Entry>, counts: Arc<Counts>) {
    let mut number = 0;
    loop {
        let daemon = entry.daemon_of(requester);
        let is_first = daemon == 0;
        if is_first {
            counts.tried.lock().expect("no thread panics").insert(requester);
        }
        let connected = timeout(UNREAD, TcpStream::connect(entry.fronts[daemon])).await;
        if let Ok(Ok(mut s)) = connected {
            let mut is_new = true;
            while request(&mut s, &format!("r{n}-{number}")).await {
                let count = if is_new { &counts.answered_new } else { &counts.answered_kept };
                if is_first {
                    count.fetch_add(1, Ordering::Relaxed);
                }
                (is_new, number) = (false, number + 1);
                sleep(REST).await;
            }
        }
        number += 1;
        sleep(Duration::from_millis(500)).await;
    }
}

/// Sends one request; returns whether it was served.
async fn request(s: &mut TcpStream, id: &str) -> bool {
    let text = format!(
        "GET /pages/work-10/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 4000\r\n\r\n"
    );
    let exchange = async {
        s.write_all(text.as_bytes()).await.ok()?;
        Some(read_answer(s).await)
    };
    timeout(UNREAD, exchange).await.ok().flatten().is_some_and(|o| o.status == 200)
}
