//! Measures the computation of fingerprints and the lookup of a request without a record.
//!
//! Prints the median of several rounds in nanoseconds; run it with `cargo bench -p
//! honeypulley_proxy`. Of a body longer than 64 KiB, only the beginning is covered.

use bytes::Bytes;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::quarantine::{
    Crash, Fingerprint, Fingerprints, MOST_RECORDS, Quarantine, Restriction,
};
use honeypulley_policy::time::Time;
use honeypulley_proxy::body::{MAX_BUFFERED, Source};
use honeypulley_proxy::fingerprint::{Fingerprinter, Identity};
use http::Method;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ROUNDS: usize = 21;
const CALLS: u32 = 500;

fn median_ns(mut call: impl FnMut()) -> u128 {
    let round = |_| {
        let began = Instant::now();
        (0..CALLS).for_each(|_| call());
        (began.elapsed() / CALLS).as_nanos()
    };
    let mut took: Vec<u128> = (0..ROUNDS).map(round).collect();
    took.sort_unstable();
    took[ROUNDS / 2]
}

/// Returns a quarantine with the maximum number of records.
fn full_quarantine() -> Quarantine {
    let mut q = Quarantine::default();
    for n in 0..MOST_RECORDS as u64 / 2 {
        let request = Fingerprints { caller: Fingerprint(2 * n), content: Fingerprint(2 * n + 1) };
        let ended = Time::from_millis(n);
        q.record_crash(request, Crash { upstream: NameId(n), began: Time::ZERO, ended }, ended);
    }
    q
}

fn main() {
    let fingerprinter = Fingerprinter::new([7; 32]);
    let id = Identity {
        method: &Method::POST,
        host: "shop.example",
        path: "/orders/4711?page=3",
        caller: Some(IpAddr::V4(Ipv4Addr::LOCALHOST)),
        caller_name: None,
    };
    for bytes in [0, 1_024, MAX_BUFFERED] {
        let body = Source::Buffered(Bytes::from(vec![7; bytes]));
        let took = median_ns(|| {
            black_box(fingerprinter.fingerprint(&id, &body));
        });
        println!("fingerprints: {took} ns with a body of {bytes} bytes");
    }
    let other = Fingerprints { caller: Fingerprint(u64::MAX), content: Fingerprint(u64::MAX - 1) };
    let mut q = full_quarantine();
    let now = Time::from_millis(5_000);
    let took = median_ns(|| {
        assert_eq!(black_box(q.restriction(other, now)), Restriction::Clear);
    });
    println!("standing: {took} ns beside {} suspects", q.len());
    let took = median_ns(|| {
        black_box(q.active_holds(now + Duration::from_secs(1)));
    });
    println!("all holds: {took} ns of {} suspects", q.len());
}
