//! Workers spoil some of their answers; daemons that read the spoiled load report abort.

use review_standins::client::{self, Request};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Worker;
use review_standins::{Result, Verdict, has_trouble};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BOXES: u8 = 4;
const WORKERS: usize = 6;
/// Workers that spoil answers: half of them, the largest share of `garble`.
const SPOILING: usize = WORKERS / 2;
/// One in fifty answers is spoiled, the largest part of `garble`.
const SPOILED_EACH: usize = 50;
/// Spells of the disruption, in seconds from the start of traffic; each lasts 5 s.
const SPELLS: [(f64, f64); 3] = [(6.0, 11.0), (16.0, 21.0), (26.0, 31.0)];
/// Length of the traffic, in seconds.
const LENGTH: f64 = 36.0;
/// Requests a second.
const RATE: f64 = 200.0;
const WORK: Duration = Duration::from_millis(40);
const BUDGET: Duration = Duration::from_secs(6);
/// Delay after which the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of a process by itself from which a machine counts for the rule.
const ENDS: usize = 3;
/// Machines that must count: a tenth of those in use, but two at least.
const MACHINES: usize = 2;

const MANIFEST: &str = r#"{"version":"r2","routes":{"columns":["name","host","path-prefix","kind","timeout","slo","priority","service","max-attempts"],"rows":[["rsvp","vakatoro.example","/rsvp/","unsafe","3000ms","1000ms",1,"rsvp-commit",2]]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],"rows":[["rsvp-commit","/health",330,"h1",false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}"#;

fn main() {
    review_standins::main(run)
}

/// Overwrites the beginning of a load report with 24 wrong bytes, in every fiftieth answer.
fn spoil(report: &str, answer: usize) -> String {
    if answer.is_multiple_of(SPOILED_EACH) {
        format!("{}{report}", "9".repeat(24))
    } else {
        report.to_owned()
    }
}

fn run() -> Result<Verdict> {
    let record = Record::create()?;
    let store = Store::default();
    store.write("config/main", MANIFEST);
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|i| Worker::start(&store, &record, &format!("i-{i:04x}"), "rsvp-commit", WORK))
        .collect::<Result<_>>()?;
    let mut fleet = Fleet::start(&record, store.serve()?, BOXES)?;
    thread::sleep(Duration::from_secs(4));
    record.line("traffic begins");
    let began = Instant::now();
    let fronts: Vec<_> = fleet.boxes.iter().map(|b| b.front).collect();
    // Whether the platform gives new connections to a box: until two readiness checks have failed.
    let is_in: Arc<Vec<AtomicBool>> = Arc::new(fronts.iter().map(|_| true.into()).collect());
    let results: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let sender = thread::spawn({
        let (record, results, is_in) = (record.clone(), Arc::clone(&results), Arc::clone(&is_in));
        move || send_all(&record, began, &fronts, &is_in, &results)
    });
    let mut due: Vec<Option<Instant>> = vec![None; fleet.boxes.len()];
    let mut misses = vec![0; fleet.boxes.len()];
    let mut next_check = Instant::now();
    let mut is_spoiling = false;
    while !sender.is_finished() {
        let at = began.elapsed().as_secs_f64();
        let wanted = has_trouble() && SPELLS.iter().any(|(from, to)| (*from..*to).contains(&at));
        if wanted != is_spoiling {
            is_spoiling = wanted;
            record.line(&format!("DISRUPTION garble at {SPOILING} workers: {wanted}"));
            for w in workers.iter().take(SPOILING) {
                w.set_load_report(wanted.then(|| Box::new(spoil) as Box<_>));
            }
        }
        for i in fleet.check_processes() {
            let at = *due[i].get_or_insert(Instant::now() + RESTART_DELAY);
            if Instant::now() >= at {
                due[i] = None;
                fleet.restart(i)?;
            }
        }
        if Instant::now() >= next_check {
            next_check += Duration::from_secs(1);
            for (i, missed) in misses.iter_mut().enumerate() {
                *missed = if fleet.is_ready(i) { 0 } else { *missed + 1 };
                is_in[i].store(*missed < 2, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    sender.join().map_err(|_| "the requesters failed")?;
    let ends: Vec<usize> = fleet.boxes.iter().map(|b| b.ends.len()).collect();
    for (i, b) in fleet.boxes.iter().enumerate() {
        record.note(&format!("{}: its process ended by itself {} times", b.name, ends[i]));
        for line in fleet.log_lines(i, "panicked at", 1) {
            record.line(&format!("log      {}: {line}", b.name));
        }
    }
    let results = results.lock().map_err(|_| "the requesters failed")?;
    record.note(&format!("answers by status, 0 for requests without an answer: {results:?}"));
    let machines = ends.iter().filter(|n| **n >= ENDS).count();
    record.note(&format!(
        "Fault: {machines} machines whose process ended by itself {ENDS} times; {MACHINES} break the rule"
    ));
    Ok(if machines >= MACHINES { Verdict::Broken } else { Verdict::Held })
}

/// Sends all requests, each on a thread of its own, and counts their ends by status.
fn send_all(
    record: &Record,
    began: Instant,
    fronts: &[std::net::SocketAddr],
    is_in: &Arc<Vec<AtomicBool>>,
    results: &Arc<Mutex<BTreeMap<u16, usize>>>,
) {
    let mut threads = Vec::new();
    for n in 0..(LENGTH * RATE) as usize {
        let at = Duration::from_secs_f64(n as f64 / RATE);
        thread::sleep(at.saturating_sub(began.elapsed()));
        let open: Vec<usize> =
            (0..fronts.len()).filter(|i| is_in[*i].load(Ordering::SeqCst)).collect();
        let choice = if open.is_empty() { n % fronts.len() } else { open[n % open.len()] };
        let (to, record, results) = (fronts[choice], record.clone(), Arc::clone(results));
        threads.push(thread::spawn(move || {
            let (id, target) = (format!("a{n:07x}"), format!("/rsvp/{n}"));
            let request = Request {
                method: "POST",
                host: "vakatoro.example",
                target: &target,
                id: &id,
                budget: BUDGET,
                body: "seats=2",
            };
            let status = client::send(&record, to, &request).status();
            *results.lock().expect("no writer panics").entry(status).or_default() += 1;
        }));
        if threads.len() > 400 {
            threads.drain(..200).for_each(|t| drop(t.join()));
        }
    }
    threads.into_iter().for_each(|t| drop(t.join()));
}
