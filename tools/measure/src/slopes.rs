//! Memory and processor time for each thing a box holds or does.

use bytes::Bytes;
use eyre::Result;
use honeypulley_bundle::model::Bundle;
use honeypulley_bundle::parts::split;
use honeypulley_peer::codec::{Body, Datagram};
use honeypulley_peer::key::FleetKey;
use honeypulley_platform::roster::{BoxEntry, Roster};
use honeypulley_policy::collector::{Collector, Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::router::{Outcome, Router};
use honeypulley_policy::spec::{Floor, Lean, Member, MemberState, ServiceSpec};
use honeypulley_policy::time::Time;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Full size: services, routes, callers (organisations).
pub const FULL: (usize, usize, usize) = (4_700, 82_000, 580_000);
/// One region: services, upstreams of each, boxes.
const REGION: (usize, usize, usize) = (671, 21, 657);

/// Prints every slope.
///
/// # Errors
/// Returns an error if a figure can't be read.
pub fn run() -> Result<()> {
    bundle()?;
    router();
    roster()?;
    collector();
    datagrams();
    Ok(())
}

/// Returns the text of a bundle with so many services, routes and callers.
pub fn text(services: usize, routes: usize, callers: usize) -> String {
    let mut t = String::new();
    for i in 0..services {
        let _ = writeln!(
            t,
            "[service s{i}]\nfloor = 70%\nrepeat = reads\ndeadline = 2s\nlean = detection"
        );
    }
    t.push_str("[routes]\n");
    for i in 0..routes {
        let _ = writeln!(t, "h{}.example/app{i} = s{}", i % 9_000, i % services);
    }
    t.push_str("[limits]\nsmall = 20/s\nlarge = 200/s\n[callers]\n");
    for i in 0..callers {
        let _ = writeln!(t, "organisation-{i} = {}", if i % 9 == 0 { "large" } else { "small" });
    }
    t
}

fn bundle() -> Result<()> {
    println!(
        "## Bundle\n\n| services, routes, organisations | text MB | parts | largest part KB | manifest KB | check and split s | memory MB | one route changed: parts moved, ms to put in force |\n|---|---|---|---|---|---|---|---|"
    );
    for share in [50, 10, 2, 1] {
        let (s, r, c) = (FULL.0 / share, FULL.1 / share, FULL.2 / share);
        let source = text(s, r, c);
        let began = Instant::now();
        let (checked, cut) = Bundle::read("full.ini", &source)?;
        let read = began.elapsed();
        drop(checked);
        // As a box holds it: from the parts, which it keeps for its peers.
        let parts: Vec<Bytes> = cut.parts.iter().map(|p| Bytes::copy_from_slice(p)).collect();
        drop(cut.parts);
        let before = crate::allocated();
        let held: Vec<Bytes> = parts.iter().map(|p| Bytes::copy_from_slice(p)).collect();
        let bundle = Bundle::compose(None, &cut.manifest, |i| held.get(i).cloned())?;
        let memory = crate::allocated() - before;
        let changed = source.replacen("h7.example/app7 = s7", "h7.example/app7 = s8", 1);
        let next = split("full.ini", &changed)?;
        let moved = next.manifest.changes_from(&cut.manifest).map_or(0, |c| c.len());
        let began = Instant::now();
        let after = Bundle::compose(Some((&bundle, &cut.manifest)), &next.manifest, |i| {
            next.parts.get(i).cloned()
        })?;
        let took = began.elapsed();
        black_box(&after);
        let largest = parts.iter().map(Bytes::len).max().unwrap_or(0);
        println!(
            "| {s}, {r}, {c} | {:.1} | {} | {:.1} | {:.0} | {:.2} | {:.1} | {moved}, {:.2} |",
            source.len() as f64 / 1e6,
            parts.len(),
            largest as f64 / 1e3,
            cut.manifest.to_bytes().len() as f64 / 1e3,
            read.as_secs_f64(),
            memory / 1e6,
            took.as_secs_f64() * 1e3,
        );
    }
    Ok(())
}

fn members(services: usize, each: usize) -> Vec<Member> {
    let member = |s: usize, i: usize| Member {
        name: format!("s{s}-u{i}"),
        service: format!("s{s}"),
        addr: format!("10.{}.{}.{}:8080", s / 250, s % 250, i + 1),
        hall: format!("hall{}", i % 4),
        state: MemberState::Live,
    };
    (0..services).flat_map(|s| (0..each).map(move |i| (s, i))).map(|(s, i)| member(s, i)).collect()
}

/// Runs `f` `n` times and returns the mean in nanoseconds.
fn nanos(n: u32, mut f: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..n).for_each(&mut f);
    began.elapsed().as_nanos() as f64 / f64::from(n)
}

fn router() {
    println!(
        "\n## Routing state\n\n| services, upstreams | memory MB | list taken ms | pick and finish us | tick us |\n|---|---|---|---|---|"
    );
    for (services, each, boxes) in [
        (3, 16, 40),
        (67, REGION.1, REGION.2),
        (REGION.0, REGION.1, REGION.2),
        (FULL.0, REGION.1, 4_600),
    ] {
        let list = members(services, each);
        let before = crate::allocated();
        let mut r = Router::new("box1", "hall1", 7);
        r.set_services((0..services).map(|i| ServiceSpec::builder().name(format!("s{i}")).build()));
        let began = Instant::now();
        r.set_members(&list, boxes, Time::ZERO);
        let taken = began.elapsed();
        let memory = crate::allocated() - before;
        let keys: Vec<_> = (0..services).filter_map(|i| r.service(&format!("s{i}"))).collect();
        let mut now = Time::ZERO;
        let pick = nanos(200_000, |i| {
            now = now + Duration::from_micros(2_700);
            if let Ok(p) = r.pick(keys[i as usize % keys.len()], true, &[], now) {
                let end = now + Duration::from_millis(50);
                r.response_started(p.attempt, true, end);
                r.finish(p.attempt, Outcome::Completed, end);
            }
        });
        let tick = nanos(2_000, |_| {
            now = now + Duration::from_millis(10);
            black_box(r.tick(now));
        });
        println!(
            "| {services} x {each} | {:.1} | {:.1} | {:.2} | {:.1} |",
            memory / 1e6,
            taken.as_secs_f64() * 1e3,
            pick / 1e3,
            tick / 1e3
        );
    }
}

fn roster() -> Result<()> {
    println!(
        "\n## The platform's list\n\n| boxes, upstreams | JSON KB | parse ms | memory MB |\n|---|---|---|---|"
    );
    for (boxes, services, each) in
        [(40, 3, 16), (REGION.2, REGION.0, REGION.1), (4_600, FULL.0, REGION.1)]
    {
        let entry = |i: usize| BoxEntry {
            name: format!("box{i}"),
            peer: format!("10.200.{}.{}:7000", i / 250, i % 250),
            hall: format!("hall{}", i % 25),
            state: MemberState::Live,
        };
        let roster =
            Roster { boxes: (0..boxes).map(entry).collect(), upstreams: members(services, each) };
        let json = serde_json::to_vec(&roster)?;
        drop(roster);
        let before = crate::allocated();
        let began = Instant::now();
        let read = Roster::from_json(&json)?;
        let took = began.elapsed();
        println!(
            "| {boxes}, {} | {:.0} | {:.1} | {:.1} |",
            read.upstreams.len(),
            json.len() as f64 / 1e3,
            took.as_secs_f64() * 1e3,
            (crate::allocated() - before) / 1e6
        );
    }
    Ok(())
}

fn collector() {
    let mut c = Collector::new("s", Lean::default(), Floor::Share(0.7));
    let up = |i: u64| NameId(i + 1);
    c.set_members((0..21).map(up), REGION.2);
    let report = |b: u32, bad: u16| Report {
        service: NameId::of("s"),
        reporter: NameId(u64::from(b % 657)),
        items: (0..4)
            .map(|i| ReportItem { upstream: up(i), successes: 2, failures: bad })
            .collect(),
    };
    let good = nanos(100_000, |i| {
        black_box(c.apply_report(&report(i, 0), Time::from_millis(u64::from(i))));
    });
    let bad = nanos(20_000, |i| {
        black_box(c.apply_report(&report(i, 10), Time::from_millis(100_000 + u64::from(i))));
    });
    println!(
        "\n## Collector\n\n{:.1} us for a report with nothing bad, {:.1} us for one with",
        good / 1e3,
        bad / 1e3
    );
}

fn datagrams() {
    let key = FleetKey::derive("a key for measuring");
    let items = |n: u64| {
        (0..n)
            .map(|i| ReportItem {
                upstream: NameId(fastrand::u64(..) | i),
                successes: 3,
                failures: 10,
            })
            .collect()
    };
    let verdict = Verdict {
        service: NameId(fastrand::u64(..)),
        upstream: NameId(fastrand::u64(..)),
        judgement: Judgement::Suspect,
        hold: Duration::from_secs(4),
        witnesses: 5,
    };
    let bodies = [
        ("ask", Body::Ask { nonce: fastrand::u64(..) }),
        (
            "tell",
            Body::Tell {
                nonce: fastrand::u64(..),
                bundle: honeypulley_bundle::head::Version(17_000),
                permits: honeypulley_policy::revision::Revision::new(1, 90_000),
                age: Some(Duration::from_millis(900)),
            },
        ),
        ("rumour", Body::Rumour { bundle: honeypulley_bundle::head::Version(17_000) }),
        (
            "report on 1 upstream",
            Body::Report { service: NameId(fastrand::u64(..)), items: items(1) },
        ),
        (
            "report on 7 upstreams",
            Body::Report { service: NameId(fastrand::u64(..)), items: items(7) },
        ),
        ("verdict", Body::Verdict(verdict)),
    ];
    println!(
        "\n## Datagrams, without 28 bytes of IP and UDP\n\n| what | bytes | seal us | open us |\n|---|---|---|---|"
    );
    for (name, body) in bodies {
        let d = Datagram { sender: NameId(fastrand::u64(..)), body };
        let bytes = d.seal(&key);
        let seal = nanos(20_000, |_| {
            black_box(d.seal(&key));
        });
        let open = nanos(20_000, |_| {
            black_box(Datagram::open(&bytes, &key));
        });
        println!("| {name} | {} | {:.2} | {:.2} |", bytes.len(), seal / 1e3, open / 1e3);
    }
}
