//! Memory and processor time per entry that a box stores and per operation.

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

/// Full size: number of services, routes and callers (organisations).
pub const FULL_SIZE: (usize, usize, usize) = (4_700, 82_000, 580_000);
/// One region: number of services, upstreams per service and boxes.
const REGION: (usize, usize, usize) = (671, 21, 657);

/// Measures and prints all unit costs.
///
/// # Errors
/// Returns an error if the generated bundle or list is not valid.
pub fn run() -> Result<()> {
    measure_bundle()?;
    measure_router();
    measure_roster()?;
    measure_collector();
    measure_datagrams();
    Ok(())
}

/// Returns the text of a bundle with the given number of entries.
pub fn bundle_text(services: usize, routes: usize, callers: usize) -> String {
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

fn measure_bundle() -> Result<()> {
    println!(
        "## Bundle\n\n| services, routes, organisations | text MB | parts | largest part KB | manifest KB | check and split s | memory MB | one route changed: parts changed, ms to apply |\n|---|---|---|---|---|---|---|---|"
    );
    for divisor in [50, 10, 2, 1] {
        let (s, r, c) = (FULL_SIZE.0 / divisor, FULL_SIZE.1 / divisor, FULL_SIZE.2 / divisor);
        let source = bundle_text(s, r, c);
        let began = Instant::now();
        let (checked, split_bundle) = Bundle::read("full.ini", &source)?;
        let read = began.elapsed();
        drop(checked);
        // A box composes the bundle from its parts and keeps these to send to peers.
        let parts: Vec<Bytes> =
            split_bundle.parts.iter().map(|p| Bytes::copy_from_slice(p)).collect();
        drop(split_bundle.parts);
        let before = crate::allocated_bytes();
        let parts_by_index: Vec<Bytes> = parts.iter().map(|p| Bytes::copy_from_slice(p)).collect();
        let bundle =
            Bundle::compose(None, &split_bundle.manifest, |i| parts_by_index.get(i).cloned())?;
        let bytes = crate::allocated_bytes() - before;
        let changed = source.replacen("h7.example/app7 = s7", "h7.example/app7 = s8", 1);
        let next = split("full.ini", &changed)?;
        let changed_parts =
            next.manifest.changes_from(&split_bundle.manifest).map_or(0, |c| c.len());
        let began = Instant::now();
        let after =
            Bundle::compose(Some((&bundle, &split_bundle.manifest)), &next.manifest, |i| {
                next.parts.get(i).cloned()
            })?;
        let elapsed = began.elapsed();
        black_box(&after);
        let largest = parts.iter().map(Bytes::len).max().unwrap_or(0);
        println!(
            "| {s}, {r}, {c} | {:.1} | {} | {:.1} | {:.0} | {:.2} | {:.1} | {changed_parts}, {:.2} |",
            source.len() as f64 / 1e6,
            parts.len(),
            largest as f64 / 1e3,
            split_bundle.manifest.to_bytes().len() as f64 / 1e3,
            read.as_secs_f64(),
            bytes / 1e6,
            elapsed.as_secs_f64() * 1e3,
        );
    }
    Ok(())
}

fn members(services: usize, per_service: usize) -> Vec<Member> {
    let member = |s: usize, i: usize| Member {
        name: format!("s{s}-u{i}"),
        service: format!("s{s}"),
        addr: format!("10.{}.{}.{}:8080", s / 250, s % 250, i + 1),
        hall: format!("hall{}", i % 4),
        state: MemberState::Live,
    };
    (0..services)
        .flat_map(|s| (0..per_service).map(move |i| (s, i)))
        .map(|(s, i)| member(s, i))
        .collect()
}

/// Calls `f` `n` times and returns the mean duration in nanoseconds.
fn mean_nanos(n: u32, mut f: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..n).for_each(&mut f);
    began.elapsed().as_nanos() as f64 / f64::from(n)
}

fn measure_router() {
    println!(
        "\n## Routing state\n\n| services, upstreams | memory MB | list applied ms | pick and finish us | tick us |\n|---|---|---|---|---|"
    );
    for (services, per_service, boxes) in [
        (3, 16, 40),
        (67, REGION.1, REGION.2),
        (REGION.0, REGION.1, REGION.2),
        (FULL_SIZE.0, REGION.1, 4_600),
    ] {
        let list = members(services, per_service);
        let before = crate::allocated_bytes();
        let mut r = Router::new("box1", "hall1", 7);
        r.set_services((0..services).map(|i| ServiceSpec::builder().name(format!("s{i}")).build()));
        let began = Instant::now();
        r.set_members(&list, boxes, Time::ZERO);
        let apply_time = began.elapsed();
        let bytes = crate::allocated_bytes() - before;
        let keys: Vec<_> = (0..services).filter_map(|i| r.service(&format!("s{i}"))).collect();
        let mut now = Time::ZERO;
        let pick = mean_nanos(200_000, |i| {
            now = now + Duration::from_micros(2_700);
            if let Ok(p) = r.pick(keys[i as usize % keys.len()], true, &[], now) {
                let end = now + Duration::from_millis(50);
                r.response_started(p.attempt, true, end);
                r.finish(p.attempt, Outcome::Completed, end);
            }
        });
        let tick = mean_nanos(2_000, |_| {
            now = now + Duration::from_millis(10);
            black_box(r.tick(now));
        });
        println!(
            "| {services} x {per_service} | {:.1} | {:.1} | {:.2} | {:.1} |",
            bytes / 1e6,
            apply_time.as_secs_f64() * 1e3,
            pick / 1e3,
            tick / 1e3
        );
    }
}

fn measure_roster() -> Result<()> {
    println!(
        "\n## The platform's list\n\n| boxes, upstreams | JSON KB | parse ms | memory MB |\n|---|---|---|---|"
    );
    for (boxes, services, per_service) in
        [(40, 3, 16), (REGION.2, REGION.0, REGION.1), (4_600, FULL_SIZE.0, REGION.1)]
    {
        let entry = |i: usize| BoxEntry {
            name: format!("box{i}"),
            peer: format!("10.200.{}.{}:7000", i / 250, i % 250),
            hall: format!("hall{}", i % 25),
            state: MemberState::Live,
        };
        let roster = Roster {
            boxes: (0..boxes).map(entry).collect(),
            upstreams: members(services, per_service),
        };
        let json = serde_json::to_vec(&roster)?;
        drop(roster);
        let before = crate::allocated_bytes();
        let began = Instant::now();
        let read = Roster::from_json(&json)?;
        let elapsed = began.elapsed();
        println!(
            "| {boxes}, {} | {:.0} | {:.1} | {:.1} |",
            read.upstreams.len(),
            json.len() as f64 / 1e3,
            elapsed.as_secs_f64() * 1e3,
            (crate::allocated_bytes() - before) / 1e6
        );
    }
    Ok(())
}

fn measure_collector() {
    let mut c = Collector::new("s", Lean::default(), Floor::Share(0.7));
    let upstream_id = |i: u64| NameId(i + 1);
    c.set_members((0..21).map(upstream_id), REGION.2);
    let report = |b: u32, bad: u16| Report {
        service: NameId::of("s"),
        reporter: NameId(u64::from(b % 657)),
        items: (0..4)
            .map(|i| ReportItem { upstream: upstream_id(i), successes: 2, failures: bad })
            .collect(),
    };
    let good = mean_nanos(100_000, |i| {
        black_box(c.apply_report(&report(i, 0), Time::from_millis(u64::from(i))));
    });
    let bad = mean_nanos(20_000, |i| {
        black_box(c.apply_report(&report(i, 10), Time::from_millis(100_000 + u64::from(i))));
    });
    println!(
        "\n## Collector\n\n{:.1} us per report without failures, {:.1} us per report with failures",
        good / 1e3,
        bad / 1e3
    );
}

fn measure_datagrams() {
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
        "\n## Datagrams, without 28 bytes of IP and UDP headers\n\n| message | bytes | seal us | open us |\n|---|---|---|---|"
    );
    for (name, body) in bodies {
        let d = Datagram { sender: NameId(fastrand::u64(..)), body };
        let bytes = d.seal(&key);
        let seal = mean_nanos(20_000, |_| {
            black_box(d.seal(&key));
        });
        let open = mean_nanos(20_000, |_| {
            black_box(Datagram::open(&bytes, &key));
        });
        println!("| {name} | {} | {:.2} | {:.2} |", bytes.len(), seal / 1e3, open / 1e3);
    }
}
