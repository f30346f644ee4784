//! Encoding and authentication of valid, forged and malformed datagrams and logins.

use honeypulley_bundle::head::Version;
use honeypulley_peer::codec::{
    Beacon, Body, Datagram, ListUpdate, MAX_DATAGRAM, MAX_ITEMS, report_bodies,
};
use honeypulley_peer::key::FleetKey;
use honeypulley_peer::listing::{Entry, EntryState, ListSummary, MAX_ENTRIES};
use honeypulley_peer::requests::MAX_REQUESTS;
use honeypulley_policy::balance::Update;
use honeypulley_policy::belief::Observation;
use honeypulley_policy::collector::{Judgement, NameId, Report, ReportItem, Verdict};
use honeypulley_policy::fleet_limits::HallCount;
use honeypulley_policy::quarantine::{Fingerprint, RequestUpdate, Scope};
use honeypulley_policy::revision::Revision;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::time::Duration;

fn revision() -> impl Strategy<Value = Revision> {
    any::<[u64; 2]>().prop_map(|[epoch, number]| Revision::new(epoch, number))
}

fn beacon() -> impl Strategy<Value = Beacon> {
    let summary = prop::option::of((1u64.., any::<u64>()));
    (any::<[u64; 2]>(), revision(), any::<[bool; 3]>(), any::<[u32; 2]>(), summary).prop_map(
        |([table, epoch], list, [reader, unable, restored], [read, age], summary)| Beacon {
            table,
            list,
            epoch,
            restored,
            reader,
            read_age: Duration::from_millis(read.into()),
            unable,
            list_age: Duration::from_millis(age.into()),
            summary: summary.map(|(number, digest)| ListSummary {
                upto: Revision::new(list.epoch, number),
                digest,
            }),
        },
    )
}

fn list_changes() -> impl Strategy<Value = ListUpdate> {
    let entry = ("[a-z0-9-]{1,24}", revision(), any::<u32>()).prop_map(|(name, version, hold)| {
        let state = EntryState::Gone { hold: Duration::from_millis(hold.into()) };
        Entry { name, version, state }
    });
    let entries = prop::collection::vec(entry, 0..=MAX_ENTRIES);
    (revision(), revision(), any::<[u16; 2]>(), any::<u32>(), entries).prop_map(
        |(since, upto, [part, parts], age, entries)| {
            let age = Duration::from_millis(age.into());
            ListUpdate { since, upto, part, parts, age, entries }
        },
    )
}

fn body() -> impl Strategy<Value = Body> {
    let item = (any::<u64>(), any::<u16>(), any::<u16>()).prop_map(|(u, good, bad)| ReportItem {
        upstream: NameId(u),
        successes: good,
        failures: bad,
    });
    let judgement =
        prop_oneof![Just(Judgement::Suspect), Just(Judgement::Probation), Just(Judgement::Clear)];
    // Probabilities are encoded in steps of 1/255.
    let probability = || any::<u8>().prop_map(|n| f64::from(n) / 255.0);
    let observation = prop_oneof![
        Just(Observation::Success),
        Just(Observation::Failure),
        Just(Observation::FailedWork),
        Just(Observation::Refused),
        Just(Observation::Unreachable),
        Just(Observation::Overdue),
        Just(Observation::Shed),
        Just(Observation::Hung),
    ];
    let update = (any::<u64>(), observation, probability(), probability(), 0u8..15).prop_map(
        |(id, what, a, b, kind)| {
            let upstream = NameId(id);
            match kind {
                0 => Update::Seen { upstream, observation: what },
                1 => Update::Open { upstream, count: id as u16 },
                7 => Update::Ended {
                    upstream,
                    count: id as u16,
                    served: id % 2 == 0,
                    remote: (id % 3 > 0).then_some(id as u8 / 2),
                    age: Duration::from_millis(id % 60_000),
                },
                2 => Update::Recovered { upstream },
                3 => Update::Belief { upstream, phases: [a, b] },
                4 => Update::RetrySum { service: upstream, sum: id as u16 },
                10 => {
                    let rate = (id % 5 > 0).then_some(id as u16 as f32 / 8.0 + 0.125);
                    Update::Limit { upstream, rate }
                }
                8 => Update::Admitted { subject: upstream, sum: id as u16 },
                9 => {
                    let hall = NameId(id.rotate_left(7));
                    let count = HallCount {
                        hall,
                        sum: id as u16,
                        recent: (id >> 16) as u16,
                        tokens: (id >> 32) as i16,
                    };
                    Update::HallAdmitted { subject: upstream, count }
                }
                11 => Update::Leaving { upstream },
                12 => Update::Replaced { upstream },
                13 => Update::Pressure { service: upstream, level: id as u16 },
                14 => Update::Hazard { upstream, episodes: id as u8, busy_s: id as u16 },
                5 => Update::Denied { service: upstream, requests: id as u16, retries: id as u8 },
                _ => Update::Retry { service: upstream, requests: id as u16, retries: id as u8 },
            }
        },
    );
    let request_update = (any::<[u64; 2]>(), any::<[u32; 2]>(), 0u8..3, any::<u8>()).prop_map(
        |([request, upstream], [began, span], kind, trials)| {
            let scope = if trials % 2 == 0 { Scope::Caller } else { Scope::Content };
            let (request, span) = (Fingerprint(request), Duration::from_millis(span.into()));
            let began = Duration::from_millis(began.into());
            match kind {
                0 => RequestUpdate::Crashed {
                    request,
                    scope,
                    upstream: NameId(upstream),
                    since_sent: began,
                    since_crash: span,
                },
                1 => RequestUpdate::Served { request, age: span },
                _ => RequestUpdate::Held { request, scope, remaining: span, trials },
            }
        },
    );
    prop_oneof![
        (any::<u32>(), prop::collection::vec(request_update, 0..MAX_REQUESTS))
            .prop_map(|(seq, items)| Body::Requests { seq, items }),
        (any::<u32>(), prop::collection::vec(update, 0..MAX_ITEMS))
            .prop_map(|(seq, items)| Body::News { seq, items }),
        any::<u64>().prop_map(|nonce| Body::Ask { nonce }),
        (revision(), prop::collection::vec("[a-z0-9-]{1,16}", 0..8))
            .prop_map(|(upto, halls)| Body::Evacuations { upto, halls }),
        (any::<u64>(), any::<u64>(), revision(), prop::option::of(0u64..4_000_000)).prop_map(
            |(nonce, b, permits, age)| Body::Tell {
                nonce,
                bundle: Version(b),
                permits,
                age: age.map(Duration::from_millis),
            }
        ),
        beacon().prop_map(Body::Beacon),
        list_changes().prop_map(Body::Changes),
        revision().prop_map(|after| Body::Want { after }),
        any::<u64>().prop_map(|b| Body::Rumour { bundle: Version(b) }),
        (any::<u64>(), prop::collection::vec(item, 0..MAX_ITEMS))
            .prop_map(|(s, items)| Body::Report { service: NameId(s), items }),
        (any::<u64>(), any::<u64>(), judgement, 0u64..4_000_000, any::<u16>()).prop_map(
            |(s, u, judgement, hold, witnesses)| Body::Verdict(Verdict {
                service: NameId(s),
                upstream: NameId(u),
                judgement,
                hold: Duration::from_millis(hold),
                witnesses,
            })
        ),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn sealed_datagrams_open_unchanged(sender in any::<u64>(), body in body()) {
        let key = FleetKey::derive("a fleet key of tests");
        let d = Datagram { sender: NameId(sender), body };
        let bytes = d.seal(&key);
        prop_assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
        prop_assert_eq!(Datagram::open(&bytes, &key), Some(d));
    }

    #[test]
    fn a_changed_byte_or_another_key_fails_authentication(body in body(), at in any::<prop::sample::Index>(), flip in 1u8..) {
        let key = FleetKey::derive("a fleet key of tests");
        let mut bytes = Datagram { sender: NameId(1), body }.seal(&key);
        prop_assert_eq!(Datagram::open(&bytes, &FleetKey::derive("another key")), None);
        let i = at.index(bytes.len());
        bytes[i] ^= flip;
        prop_assert_eq!(Datagram::open(&bytes, &key), None);
    }

    /// Bytes with a valid tag reach the decoder, which must reject them without a panic.
    #[test]
    fn arbitrary_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let key = FleetKey::derive("a fleet key of tests");
        let _ = Datagram::open(&bytes, &key);
        let tag = key.tag(&bytes);
        bytes.extend_from_slice(&tag);
        let _ = Datagram::open(&bytes, &key);
    }
}

#[test]
fn long_reports_are_split_into_datagrams() {
    let items: Vec<ReportItem> = (0..200)
        .map(|i| ReportItem { upstream: NameId(u64::MAX - i), successes: 9, failures: 9 })
        .collect();
    let report = Report { service: NameId(1), reporter: NameId(2), items };
    let key = FleetKey::derive("a fleet key of tests");
    let sizes: Vec<usize> = report_bodies(&report)
        .map(|body| Datagram { sender: NameId(2), body }.seal(&key).len())
        .collect();
    assert_eq!(sizes.len(), 4);
    assert!(sizes.iter().all(|&n| n <= MAX_DATAGRAM), "{sizes:?}");
}

#[test]
fn a_login_proof_is_valid_for_its_nonce_and_key_only() {
    let (key, other) = (FleetKey::derive("one"), FleetKey::derive("two"));
    assert!(key.check(b"nonce", &key.prove(b"nonce")));
    assert!(!key.check(b"nonce", &key.prove(b"earlier")));
    assert!(!key.check(b"nonce", &other.prove(b"nonce")));
    assert!(!key.check(b"nonce", b"short"));
    assert!(!format!("{key:?}").contains("one"), "`Debug` does not reveal the key");
}

#[test]
fn the_largest_request_update_fits_a_forwarded_datagram() {
    let item = RequestUpdate::Crashed {
        request: Fingerprint(u64::MAX - 1),
        scope: Scope::Content,
        upstream: NameId(u64::MAX - 2),
        since_sent: Duration::from_millis(0x1234_5678),
        since_crash: Duration::from_millis(0x1234_5678),
    };
    let key = FleetKey::derive("a fleet key of tests");
    let body = Body::Requests { seq: u32::MAX - 1, items: vec![item; MAX_REQUESTS] };
    let inner = Datagram { sender: NameId(u64::MAX - 1), body }.seal(&key);
    let outer = Datagram { sender: NameId(u64::MAX - 1), body: Body::Forward(inner.into()) };
    let len = outer.seal(&key).len();
    assert!(len <= MAX_DATAGRAM, "{len}");
}

/// Returns the size of a datagram that another box forwards.
fn forwarded_size(body: Body) -> usize {
    let key = FleetKey::derive("a fleet key of tests");
    let sealed = Datagram { sender: NameId(u64::MAX), body }.seal(&key);
    let body = Body::Forward(sealed.into());
    Datagram { sender: NameId(u64::MAX), body }.seal(&key).len()
}

/// Guards against datagrams that no box accepts because a foreign entry in them is long.
#[test]
fn list_changes_with_long_names_fit_their_datagrams() {
    let upto = Revision::new(u64::MAX, u64::MAX - 7);
    let entry = |i: usize, length: usize| Entry {
        name: format!("{i:0length$}"),
        version: upto,
        state: EntryState::Gone { hold: Duration::from_millis(u64::from(u32::MAX)) },
    };
    for length in (10..1_080).step_by(107) {
        let entries: Vec<Entry> = (0..12).map(|i| entry(i, length)).collect();
        let fragments = ListUpdate::split(upto, upto, Duration::MAX, &entries).expect("they fit");
        let sent: Vec<Entry> = fragments.iter().flat_map(|f| f.entries.clone()).collect();
        assert_eq!(sent, entries);
        for f in fragments {
            let size = forwarded_size(Body::Changes(f));
            assert!(size <= MAX_DATAGRAM, "{size} bytes with names of {length}");
        }
    }
    let long = [entry(0, 20), entry(1, MAX_DATAGRAM)];
    assert_eq!(ListUpdate::split(upto, upto, Duration::MAX, &long), None, "peers pull instead");
}

/// Guards against evacuations that no box learns because a foreign object among them is long.
#[test]
fn evacuations_with_long_names_fit_a_datagram() {
    let upto = Revision::new(u64::MAX, u64::MAX);
    let halls = (0..3).map(|i| format!("hall-{i}"));
    let foreign = (0..40).map(|i| format!("{i}").repeat(10 * (i + 1)));
    let all: BTreeSet<String> = halls.clone().chain(foreign).collect();
    let body = Body::evacuations(upto, &all);
    let Body::Evacuations { halls: sent, .. } = &body else { panic!("{body:?}") };
    assert!(halls.into_iter().all(|h| sent.contains(&h)), "{sent:?}");
    let size = forwarded_size(body);
    assert!(size <= MAX_DATAGRAM, "{size} bytes");
}
