//! Requesters use characters of their paths and queries that the daemon rewrites.

use review_standins::client::{self, Request};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;
use review_standins::{Result, Verdict, has_trouble};
use std::thread;
use std::time::Duration;

const BOXES: u8 = 2;
const WORK: Duration = Duration::from_millis(20);
const BUDGET: Duration = Duration::from_secs(5);
const ROUNDS: usize = 10;
const HOST: &str = "vakatoro.example";

/// The route `guests` needs no key; the route `orders` does.
const MANIFEST: &str = r#"{"version":"r2","routes":{"columns":["name","host","path-prefix","kind","timeout","slo","priority","service","max-attempts","public"],"rows":[["guests","vakatoro.example","/guests/","safe","3000ms","1000ms",1,"guestlist",2,true],["orders","vakatoro.example","/orders/","unsafe","3000ms","1000ms",1,"guestlist",1,null]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["guestlist","/health",330,"h1",false]]},"tenants":{"columns":["name","api-keys"],"rows":[["board",["key-of-the-board"]]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}"#;

/// Method, path with query, and body of each request.
const REQUESTS: [(&str, &str, &str); 4] = [
    ("GET", "/guests/find?name=O'Brien", ""),
    ("GET", "/guests/2026/../seating", ""),
    ("GET", "/guests/%2e%2e/seating", ""),
    ("POST", "/guests/../orders/7", "seats=2"),
];

/// The same without the characters in question.
const PLAIN: [(&str, &str, &str); 4] = [
    ("GET", "/guests/find?name=O%27Brien", ""),
    ("GET", "/guests/seating", ""),
    ("GET", "/guests/2026/seating", ""),
    ("POST", "/guests/orders/7", "seats=2"),
];

fn main() {
    review_standins::main(run)
}

fn run() -> Result<Verdict> {
    let record = Record::create()?;
    let store = Store::default();
    store.write("config/main", MANIFEST);
    let workers: Vec<Worker> = (0..2)
        .map(|i| Worker::start(&store, &record, &format!("i-{i}"), "guestlist", WORK))
        .collect::<Result<_>>()?;
    let fleet = Fleet::start(&record, store.serve()?, BOXES)?;
    thread::sleep(Duration::from_secs(4));
    let requests = if has_trouble() { REQUESTS } else { PLAIN };
    let mut sent = Vec::new();
    for round in 0..ROUNDS {
        for (i, b) in fleet.boxes.iter().enumerate() {
            for (k, (method, target, body)) in requests.into_iter().enumerate() {
                let id = format!("a{round:02}{i}{k}");
                let r = Request { method, host: HOST, target, id: &id, budget: BUDGET, body };
                let status = client::send(&record, b.front, &r).status();
                sent.push((id, format!("{method} {target} HTTP/1.1"), status));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let (mut changed, mut unkeyed) = (0, 0);
    for r in &runs {
        let Some((_, start, _)) = sent.iter().find(|(id, ..)| *id == r.id) else { continue };
        if *start != r.start {
            changed += 1;
            record.line(&format!("CHANGED  {}: sent '{start}', run as '{}'", r.id, r.start));
        }
        unkeyed += usize::from(r.start.contains(" /orders/"));
    }
    if !sent.iter().any(|(_, _, status)| *status == 200) {
        return Err("no request was served".into());
    }
    record.note(&format!("requests {}, runs {}", sent.len(), runs.len()));
    record.note(&format!(
        "UNASKED: {changed} runs with a changed path or query; {unkeyed} of them on /orders/, which needs a key that nobody sent"
    ));
    Ok(if changed > 0 { Verdict::Broken } else { Verdict::Held })
}
