//! The operator changes the manifest; boxes drop the new version and go on with the old one.

use review_standins::client::{self, Request};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;
use review_standins::{Result, Verdict, has_trouble};
use std::thread;
use std::time::{Duration, Instant};

const BOXES: u8 = 3;
const WORK: Duration = Duration::from_millis(40);
const BUDGET: Duration = Duration::from_secs(5);
/// `config-apply` of the small deployments.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Further time before the first judged request is sent.
const MARGIN: Duration = Duration::from_millis(1_000);
/// Rounds of requests before the change, and after it.
const ROUNDS: usize = 20;
const ROUND_TIME: Duration = Duration::from_millis(250);
const HOST: &str = "vakatoro.example";

fn main() {
    review_standins::main(run)
}

/// Returns a manifest; `routes` are rows of name, prefix, kind, priority and service.
fn manifest(version: u32, routes: &[(&str, &str, &str, u32, &str)]) -> String {
    let row = |(name, prefix, kind, priority, service): &(&str, &str, &str, u32, &str)| {
        format!(
            r#"["{name}","{HOST}","{prefix}","{kind}","3000ms","1000ms",{priority},"{service}",2]"#
        )
    };
    let rows: Vec<String> = routes.iter().map(row).collect();
    let service = |s: &str| format!(r#"["{s}","/health",330,"h1",false]"#);
    let services = ["rsvp-commit", "rsvp-commit-2", "guestlist"].map(service).join(",");
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","path-prefix","kind","timeout","slo","priority","service","max-attempts"],"rows":[{}]}},"services":{{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[{services}]}},"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}}}"#,
        rows.join(",")
    )
}

/// What the requests of one phase met.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    /// Status of each request on the route that the new version adds.
    added: Vec<u16>,
    /// Status of each request on the route that the new version removes.
    removed: Vec<u16>,
    /// Status of each request on the route that the new version moves.
    moved: Vec<u16>,
}

fn run() -> Result<Verdict> {
    let priority = std::env::var("PRIORITY").ok().and_then(|p| p.parse().ok()).unwrap_or(20);
    let record = Record::create()?;
    let store = Store::default();
    let before = [
        ("rsvp", "/rsvp/", "unsafe", 1, "rsvp-commit"),
        ("archive", "/archive/", "safe", 2, "guestlist"),
    ];
    let after = [
        ("rsvp", "/rsvp/", "unsafe", 1, "rsvp-commit-2"),
        ("preview", "/preview/", "safe", priority, "guestlist"),
    ];
    store.write("config/main", &manifest(7, &before));
    let mut workers = Vec::new();
    for (n, service) in ["rsvp-commit", "rsvp-commit-2", "guestlist"].into_iter().enumerate() {
        for i in 0..2 {
            workers.push(Worker::start(&store, &record, &format!("i-{n}{i}"), service, WORK)?);
        }
    }
    let mut fleet = Fleet::start(&record, store.serve()?, BOXES)?;
    // `contact` has passed since the start of the machines, with a second to spare.
    thread::sleep(Duration::from_secs(4));
    let calm = send_rounds(&record, &fleet, "b");
    record.note(&format!("under version r7: {}", summary(&calm)));
    if calm.moved.iter().any(|s| *s != 200) {
        return Err("the fleet doesn't serve under its first manifest".into());
    }
    if has_trouble() {
        record.line("DISRUPTION config_change: the operator writes version r9");
        store.write("config/main", &manifest(9, &after));
        record.line("the store has acknowledged version r9");
    }
    thread::sleep(CONFIG_APPLY + MARGIN);
    let judged = record.now();
    let later = send_rounds(&record, &fleet, "c");
    record.note(&format!("later than config-apply after the ack: {}", summary(&later)));
    for (i, b) in fleet.boxes.iter().enumerate() {
        for line in fleet.log_lines(i, "table: not taken", 1) {
            record.line(&format!("log      {}: {line}", b.name));
        }
    }
    if !has_trouble() {
        // Version r7 is still the newest one, so its routes are the only ones allowed.
        let is_r7 = later.moved.iter().chain(&later.removed).all(|s| *s == 200)
            && later.added.iter().all(|s| *s == 404);
        return Ok(if is_r7 { Verdict::Held } else { Verdict::Broken });
    }
    let old = workers.iter().filter(|w| w.service == "rsvp-commit").flat_map(Worker::runs);
    let at_old = old.filter(|r| r.at >= judged).count();
    let dropped = later.removed.iter().filter(|s| **s == 200).count();
    let unknown = later.added.iter().filter(|s| **s == 404).count();
    record.note(&format!(
        "CONFIG: of {} requests, the old service ran {at_old}, {dropped} ran with the dropped route, {unknown} were refused with 404 though the route is there",
        later.sent
    ));
    note_later_start(&record, &mut fleet)?;
    Ok(if at_old + dropped + unknown > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Notes what a box does that starts under the new version; the verdict doesn't use it.
fn note_later_start(record: &Record, fleet: &mut Fleet) -> Result<()> {
    fleet.kill(0);
    fleet.restart(0)?;
    thread::sleep(Duration::from_secs(6));
    let front = fleet.boxes[0].front;
    let statuses: Vec<u16> = (0..10)
        .map(|n| {
            let (id, target) = (format!("d{n:03}"), format!("/rsvp/{n}"));
            let (method, body) = ("POST", "seats=2");
            let r = Request { method, host: HOST, target: &target, id: &id, budget: BUDGET, body };
            client::send(record, front, &r).status()
        })
        .collect();
    let is_ready = fleet.is_ready(0);
    record.note(&format!(
        "beside the verdict: a box started 6 s ago, ready {is_ready}, answers {statuses:?}"
    ));
    Ok(())
}

fn summary(c: &Counts) -> String {
    let count = |all: &[u16], s: u16| all.iter().filter(|x| **x == s).count();
    let part = |name: &str, all: &[u16]| {
        let (ok, missing) = (count(all, 200), count(all, 404));
        format!("{name} {ok} times 200, {missing} times 404, {} other", all.len() - ok - missing)
    };
    [part("/rsvp/", &c.moved), part("/archive/", &c.removed), part("/preview/", &c.added)]
        .join("; ")
}

/// Sends rounds of requests, in each of them one on every route to every box.
fn send_rounds(record: &Record, fleet: &Fleet, tag: &str) -> Counts {
    let mut counts = Counts::default();
    let began = Instant::now();
    for round in 0..ROUNDS {
        thread::sleep((ROUND_TIME * round as u32).saturating_sub(began.elapsed()));
        for (i, b) in fleet.boxes.iter().enumerate() {
            let send = |method: &str, prefix: &str, body: &str| {
                let id = format!("{tag}{round:03}{i}{}", &prefix[1..2]);
                let target = format!("{prefix}{round}");
                let r =
                    Request { method, host: HOST, target: &target, id: &id, budget: BUDGET, body };
                client::send(record, b.front, &r).status()
            };
            counts.moved.push(send("POST", "/rsvp/", "seats=2"));
            counts.removed.push(send("GET", "/archive/", ""));
            counts.added.push(send("GET", "/preview/", ""));
            counts.sent += 3;
        }
    }
    counts
}
