//! Requests whose path or query a worker must get as they were sent.

use eyre::Result;
use review_standins_2::record::{Record, finish, has_trouble};
use review_standins_2::worker::{Worker, call};
use review_standins_2::{Deployment, HOST};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Requests with characters that RFC 3986 allows as they are: an apostrophe in the query, and a
/// segment of one or two dots in the path.
const SPECIAL: [(&str, &str); 6] = [
    ("POST", "/orders/new?guest=O'Brien"),
    ("POST", "/orders/new?note=that's+all&table=4"),
    ("GET", "/pages/search?q='late+arrivals'"),
    ("GET", "/pages/search?q=Tui%20d'Or"),
    ("GET", "/pages/./today"),
    ("POST", "/pages/../orders/new"),
];
/// The same requests without them.
const PLAIN: [(&str, &str); 6] = [
    ("POST", "/orders/new?guest=OBrien"),
    ("POST", "/orders/new?note=thats+all&table=4"),
    ("GET", "/pages/search?q=late+arrivals"),
    ("GET", "/pages/search?q=Tui%20dOr"),
    ("GET", "/pages/today"),
    ("POST", "/orders/new"),
];

#[tokio::main]
async fn main() {
    let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let record = Record::default();
    let result = run(&args[0], &record).await;
    finish(result, &record, &args[1]);
}

async fn run(root: &Path, record: &Record) -> Result<bool> {
    let mut site = Deployment::new()?;
    site.manifest(2, &[("/pages/", "safe", "pages", 2), ("/orders/", "unsafe", "orders", 1)]).await;
    let pages = Worker::start("i-1", 3, record)?;
    let orders = Worker::start("i-2", 3, record)?;
    site.list(&pages.id, "pages", pages.addr, 3).await;
    site.list(&orders.id, "orders", orders.addr, 3).await;
    site.start_box(root).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let requests = if has_trouble() { SPECIAL } else { PLAIN };
    let mut changed = Vec::new();
    for (n, (method, target)) in requests.into_iter().enumerate() {
        let id = format!("a-{n}");
        call(site.boxes[0].listen, HOST, (method, target), &id, b"", record).await?;
        let arrived = [&pages, &orders].into_iter().flat_map(|w| w.arrived(&id));
        for (got_method, got_target) in arrived {
            if (got_method.as_str(), got_target.as_str()) != (method, target) {
                record.add(&format!("CHANGED: sent {target}, ran {got_target}"), &id);
                changed.push(id.clone());
            }
        }
    }
    record.add(&format!("run with another path or query: {}", changed.join(" ")), "");
    Ok(!changed.is_empty())
}
