//! Measures lookups of client keys at the number of organisations expected at full size.
//!
//! Run with `cargo bench -p honeypulley_policy --bench keys`.

use cap::Cap;
use honeypulley_policy::organisations::{KeyDigest, OrganisationSpec, Organisations};
use std::alloc::System;
use std::hint::black_box;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Organisations at full size.
const ORGANISATIONS: usize = 580_000;
/// Timed lookups of each kind.
const LOOKUPS: usize = 1_000_000;

fn main() {
    let key = |i: usize| format!("key-of-organisation-{i:08}");
    let spec = |i: usize| {
        OrganisationSpec::builder()
            .name(format!("organisation-{i:08}"))
            .keys(vec![key(i)])
            .rate(10.0)
            .burst(10.0)
            .build()
    };
    let base_bytes = ALLOCATOR.allocated();
    let specs = (0..ORGANISATIONS).map(spec).collect();
    let start = Instant::now();
    let organisations = Organisations::new(specs).expect("keys and names are unique");
    println!("built in {:?}", start.elapsed());
    println!("{} bytes each", (ALLOCATOR.allocated() - base_bytes) / ORGANISATIONS);
    let known: Vec<String> = (0..1_000).map(|i| key(i * 500)).collect();
    let unknown: Vec<String> = (0..1_000).map(|i| key(ORGANISATIONS + i)).collect();
    for (what, keys) in [("known", &known), ("unknown", &unknown)] {
        let start = Instant::now();
        for i in 0..LOOKUPS {
            let digest = KeyDigest::of(keys[i % keys.len()].as_bytes());
            black_box(organisations.find_by_key(black_box(digest)));
        }
        println!("{what}: {:.0} ns", start.elapsed().as_nanos() as f64 / LOOKUPS as f64);
    }
}
