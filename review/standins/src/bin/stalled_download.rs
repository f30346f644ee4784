//! Workers go dark while they send long answers; the boxes never end these requests.

use review_standins::client::{self, Request};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;
use review_standins::{Result, Verdict, has_trouble};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BOXES: u8 = 3;
const WORKERS: usize = 14;
/// Workers that go dark in each spell: 0.143 of them, where `srv_crash` has 0.15.
const DARK: usize = 2;
/// Beginnings of the spells, in seconds from the start of traffic; each lasts 5 s.
const SPELLS: [f64; 5] = [5.0, 12.0, 19.0, 26.0, 33.0];
const SPELL: f64 = 5.0;
/// Length of the traffic, in seconds.
const LENGTH: f64 = 40.0;
/// Requests a second.
const RATE: f64 = 60.0;
/// Time in which a worker sends an answer.
const WORK: Duration = Duration::from_millis(560);
/// Length of an answer, in bytes.
const DOWNLOAD: usize = 1_200_000;
/// The route's `timeout`.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after the timeout in which a machine must have given a final answer.
const FINAL: Duration = Duration::from_millis(500);
/// Time between the requester's send and the moment at which the box has read the request.
const SLACK: Duration = Duration::from_millis(100);
const BUDGET: Duration = Duration::from_secs(8);

const MANIFEST: &str = r#"{"version":"r2","routes":{"columns":["name","host","path-prefix","kind","timeout","slo","priority","service","max-attempts"],"rows":[["packs","vakatoro.example","/packs/","download","2500ms","1500ms",2,"media",2]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["media","/health",330,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}"#;

fn main() {
    review_standins::main(run)
}

fn run() -> Result<Verdict> {
    let record = Record::create()?;
    let store = Store::default();
    store.write("config/main", MANIFEST);
    let start = |i: usize| {
        let id = format!("i-{i:04x}");
        Worker::start_with(&store, &record, &id, "media", WORK, Some(DOWNLOAD))
    };
    let workers: Vec<Worker> = (0..WORKERS).map(start).collect::<Result<_>>()?;
    let fleet = Fleet::start(&record, store.serve()?, BOXES)?;
    thread::sleep(Duration::from_secs(4));
    record.line("traffic begins");
    let began = Instant::now();
    // Status, zero without a whole answer, and time of each request.
    let results: Arc<Mutex<Vec<(u16, Duration)>>> = Arc::default();
    let mut threads = Vec::new();
    let mut spell = None;
    for n in 0..(LENGTH * RATE) as usize {
        let at = Duration::from_secs_f64(n as f64 / RATE);
        thread::sleep(at.saturating_sub(began.elapsed()));
        let secs = began.elapsed().as_secs_f64();
        let current = SPELLS.iter().position(|from| (*from..from + SPELL).contains(&secs));
        if has_trouble() && current != spell {
            spell = current;
            record.line(&format!("DISRUPTION srv_crash, dark: spell {spell:?}"));
            for (i, w) in workers.iter().enumerate() {
                w.set_dark(spell.is_some_and(|s| (s * DARK..(s + 1) * DARK).contains(&i)));
            }
        }
        let (to, record) = (fleet.boxes[n % fleet.boxes.len()].front, record.clone());
        let results = Arc::clone(&results);
        threads.push(thread::spawn(move || {
            let (id, target) = (format!("a{n:05x}"), format!("/packs/{n}"));
            let request = Request {
                method: "GET",
                host: "vakatoro.example",
                target: &target,
                id: &id,
                budget: BUDGET,
                body: "",
            };
            let sent = Instant::now();
            let status = client::send(&record, to, &request).status();
            results.lock().expect("no writer panics").push((status, sent.elapsed()));
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    let results = results.lock().map_err(|_| "the requesters failed")?;
    let outlast = results.iter().filter(|(_, took)| *took > TIMEOUT).count();
    let unanswered = results.iter().filter(|(_, took)| *took > TIMEOUT + FINAL + SLACK).count();
    let whole = results.iter().filter(|(status, _)| *status == 200).count();
    record.note(&format!("requests {}, whole answers {whole}", results.len()));
    record.note(&format!(
        "CONFIG: {outlast} requests outlasted the route's timeout, {unanswered} of them without a final answer 0.5 s later; eight, and over a quarter, break the rule"
    ));
    let is_broken = unanswered >= 8 && unanswered * 4 > outlast;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
