//! Uploads that wait for a worker's slot while their box is stopped.

use eyre::{Result, eyre};
use review_standins_2::record::{Record, finish, has_trouble};
use review_standins_2::worker::{Worker, call};
use review_standins_2::{Deployment, HOST, unread_bytes};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Slots of each worker, as those of `client-docs`.
const SLOTS: usize = 2;
/// Work of a view, within the 4,300 ms that `picklist-view` takes at most.
const VIEW: &str = "/view/work-4000/1";
/// Work of an upload, as that of `manifest-upload`.
const UPLOAD: &str = "/upload/work-170/1";
/// Length of an upload; `manifest-upload` has up to 360,000 bytes.
const UPLOAD_BYTES: usize = 350_000;
const UPLOADS: usize = 4;
/// Grace of the platform, after which it sends SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let record = Record::default();
    let result = run(&args[0], &record).await;
    finish(result, &record, &args[1]);
}

async fn run(root: &Path, record: &Record) -> Result<bool> {
    let mut site = Deployment::new()?;
    let routes = [("/view/", "safe", "client-docs", 1), ("/upload/", "upload", "client-docs", 1)];
    site.manifest(2, &routes).await;
    let workers = [Worker::start("i-1", SLOTS, record)?, Worker::start("i-2", SLOTS, record)?];
    for w in &workers {
        site.list(&w.id, "client-docs", w.addr, SLOTS as u64).await;
    }
    site.start_box(root).await?;
    site.start_box(root).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let listen = site.boxes[0].listen;
    let mut views = Vec::new();
    for n in 0..SLOTS * workers.len() {
        let (id, record) = (format!("view-{n}"), record.clone());
        views.push(tokio::spawn(async move {
            call(listen, HOST, ("GET", VIEW), &id, b"", &record).await
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut uploads = Vec::new();
    for n in 0..UPLOADS {
        let (id, record) = (format!("upload-{n}"), record.clone());
        uploads.push(tokio::spawn(async move {
            let body = vec![b'x'; UPLOAD_BYTES];
            call(listen, HOST, ("POST", UPLOAD), &id, &body, &record).await
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let unread = unread_bytes(listen)?;
    record.add(&format!("front-1 has read all but {unread} bytes of what its requesters sent"), "");
    if unread > 0 {
        return Err(eyre!("front-1 has not read the requests"));
    }
    let stop = has_trouble();
    if stop {
        record.add("SIGTERM to front-1", "");
        site.boxes[0].terminate()?;
    }
    let stopped = Instant::now();
    let mut failed = Vec::new();
    for (kind, calls) in [("view", views), ("upload", uploads)] {
        for (n, c) in calls.into_iter().enumerate() {
            let got = c.await??;
            if !(got.status == 200 && got.whole && !got.seal.is_empty()) {
                failed.push(format!("{kind}-{n}"));
            }
        }
    }
    if stop {
        site.boxes[0].wait_end(stopped + GRACE).await?;
        record.add("front-1 has ended", "");
    }
    record.add(&format!("without the worker's whole answer: {}", failed.join(" ")), "");
    // The rule covers requests around planned work; without the stop, none is lost by it.
    Ok(stop && !failed.is_empty())
}
