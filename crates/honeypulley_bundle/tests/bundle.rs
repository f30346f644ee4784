//! Parsing, routing, partitioning, signing and version order of bundles.

use bytes::Bytes;
use honeypulley_bundle::head::{Head, Version};
use honeypulley_bundle::keeper::{Keeper, OfferError};
use honeypulley_bundle::model::Bundle;
use honeypulley_bundle::parts::{Digest, Manifest, Split};
use honeypulley_bundle::sign::{SignError, Signer, Trust};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};

const SERVICE: &str = "floor = 70%\nrepeat = reads\ndeadline = 2s\n";

fn bundle_text(routes: &[(&str, &str)]) -> String {
    let lines: String = routes.iter().map(|(k, v)| format!("{k} = {v}\n")).collect();
    format!("[service a]\n{SERVICE}[service b]\n{SERVICE}[routes]\n{lines}")
}

#[rstest]
#[case(
    "[service a]\nfloor = 0\nrepeat = reads\ndeadline = 2s\n[routes]\n",
    "f.ini:2: [service a] floor: a floor of zero has no effect; expected 1 or more"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = often\ndeadline = 2s\n[routes]\n",
    "f.ini:3: [service a] repeat: expected always, reads or never, not 'often'"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2\n[routes]\n",
    "f.ini:4: [service a] deadline: expected a time with its unit, such as 250ms or 2s, not '2'"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\nlean = fast\n[routes]\n",
    "f.ini:5: [service a] lean: expected detection, exactness, balance or 0.0 to 1.0, not 'fast'"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\n[routes]\nx.example/ = b\n",
    "f.ini:6: [routes] x.example/: there is no [service b]"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\n[routes]\nx.example/p = a\nx.example/p/ = a\n",
    "f.ini:7: [routes] x.example/p/: duplicate route: it is listed with and without a trailing slash"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\n[routes]\nx = a\n",
    "f.ini:6: [routes] x: expected host/path, such as guest.example/rsvp"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\n[routes]\n[callers]\nc = gold\n[limits]\n",
    "f.ini:7: [callers] c: [limits] has no 'gold'"
)]
#[case(
    "[service a]\nfloor = 1\nrepeat = never\ndeadline = 2s\n[routes]\n[signers]\neve = short\n",
    "f.ini:7: [signers] eve: not an Ed25519 key in base64"
)]
#[case(
    "[colours]\n",
    "f.ini:1: [colours]: unknown section; known: service NAME, routes, callers, limits, signers"
)]
fn errors_report_file_line_and_key(#[case] text: &str, #[case] message: &str) {
    assert_eq!(
        Bundle::read("f.ini", text).expect_err("the bundle is invalid").to_string(),
        message
    );
}

#[rstest]
#[case("x.example", "/", Some("a"))]
#[case("x.example", "/p", Some("b"))]
#[case("x.example", "/p/deep/er", Some("b"))]
#[case("x.example", "/pq", Some("a"))]
#[case("y.example", "/p", None)]
#[case("y.example", "/only/this", Some("b"))]
#[case("", "/", None)]
fn the_longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] service: Option<&str>) {
    let text = bundle_text(&[("x.example/", "a"), ("x.example/p", "b"), ("y.example/only/", "b")]);
    let (bundle, _) = Bundle::read("f.ini", &text).expect("the bundle is valid");
    assert_eq!(bundle.route(host, path), service);
}

fn bundle_with_routes(n: usize) -> String {
    let routes: Vec<(String, &str)> =
        (0..n).map(|i| (format!("h{i}.example/"), if i % 2 == 0 { "a" } else { "b" })).collect();
    let refs: Vec<(&str, &str)> = routes.iter().map(|(k, v)| (k.as_str(), *v)).collect();
    bundle_text(&refs)
}

#[test]
fn changing_one_route_changes_one_part() {
    let (_, old) = Bundle::read("f.ini", &bundle_with_routes(2_000)).expect("the bundle is valid");
    let changed = bundle_with_routes(2_000).replace("h77.example/ = b", "h77.example/ = a");
    let (bundle, new) = Bundle::read("f.ini", &changed).expect("the bundle is valid");
    assert!(new.parts.len() >= 8, "{} parts", new.parts.len());
    assert_eq!(
        new.manifest.changes_from(&old.manifest).expect("the number of parts is the same").len(),
        1
    );
    assert!(new.parts.iter().all(|p| p.len() < 20_000));
    assert_eq!(bundle.route("h77.example", "/x"), Some("a"));
    assert_eq!(bundle.services().count(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Compares with a linear search for the longest match.
    #[test]
    fn routes_agree_with_a_naive_search(
        routes in prop::collection::btree_map("[ab]{1,2}(/[ab]{1,2}){0,3}/", prop::bool::ANY, 1..20),
        requests in prop::collection::vec(("[ab]{1,2}", "(/[ab]{1,2}){0,5}"), 1..20),
    ) {
        let trimmed: BTreeMap<String, &str> = routes.iter()
            .map(|(k, v)| (k.trim_end_matches('/').to_owned(), if *v { "a" } else { "b" })).collect();
        let written: Vec<(&str, &str)> = routes.iter().map(|(k, v)| (k.as_str(), if *v { "a" } else { "b" })).collect();
        let (bundle, _) = Bundle::read("f.ini", &bundle_text(&written)).expect("the bundle is valid");
        for (host, path) in requests {
            let url = format!("{host}{path}");
            let matches = |k: &String| url == *k || url.starts_with(&format!("{k}/"));
            let naive = trimmed.iter().filter(|(k, _)| matches(k)).max_by_key(|(k, _)| k.len()).map(|(_, v)| *v);
            prop_assert_eq!(bundle.route(&host, &path), naive);
        }
    }

    #[test]
    fn arbitrary_bundles_never_panic(text in "\\PC*") {
        let _ = Bundle::read("f.ini", &text);
    }

    #[test]
    fn arbitrary_manifests_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(m) = Manifest::from_bytes(&bytes) {
            prop_assert_eq!(&m.to_bytes()[..], &bytes[..]);
        }
    }
}

fn signer(name: &str, seed: u8) -> Signer {
    Signer::from_secret(name, &[seed; 32])
}

fn trust(signers: &[&Signer], names: &[&str]) -> Trust {
    let mut t = Trust::default();
    for (s, n) in signers.iter().zip(names) {
        t.add(n, &s.public()).expect("the key is valid");
    }
    t
}

fn head(version: u64, split: &Split, signer: &Signer) -> Head {
    let manifest = split.manifest.digest();
    Head {
        version: Version(version),
        rollout: format!("r{version}"),
        manifest,
        signature: signer.sign(&manifest),
        past: Vec::new(),
    }
}

fn part_texts(split: &Split) -> HashMap<Digest, Bytes> {
    split.manifest.parts.iter().copied().zip(split.parts.iter().cloned()).collect()
}

#[test]
fn only_complete_signed_and_newer_bundles_are_activated() {
    let (alice, eve) = (signer("alice", 1), signer("eve", 2));
    let mut k = Keeper::new(trust(&[&alice], &["alice"]));
    let (_, one) = Bundle::read("f.ini", &bundle_with_routes(10)).expect("the bundle is valid");
    let (_, two) = Bundle::read("f.ini", &bundle_with_routes(12)).expect("the bundle is valid");
    let rejected = k.offer(head(2, &two, &eve), two.manifest.clone(), &part_texts(&two));
    assert_eq!(
        rejected.expect_err("the signer is not trusted"),
        OfferError::Untrusted(Version(2), SignError::UnknownSigner("eve".into()))
    );
    let mut altered = head(2, &two, &alice);
    altered.manifest = one.manifest.digest();
    let rejected = k.offer(altered, one.manifest.clone(), &part_texts(&one));
    assert!(matches!(rejected, Err(OfferError::Untrusted(_, SignError::InvalidSignature(_)))));
    let rejected = k.offer(head(2, &two, &alice), one.manifest.clone(), &part_texts(&one));
    assert_eq!(
        rejected.expect_err("the manifest is of another bundle"),
        OfferError::Manifest(Version(2))
    );
    let rejected = k.offer(head(2, &two, &alice), two.manifest.clone(), &HashMap::new());
    assert!(matches!(rejected, Err(OfferError::Part(..))));
    let mut tampered = part_texts(&two);
    tampered.values_mut().for_each(|b| *b = Bytes::from_static(b"[service a]\n"));
    assert!(matches!(
        k.offer(head(2, &two, &alice), two.manifest.clone(), &tampered),
        Err(OfferError::Part(..))
    ));
    assert_eq!(k.version(), Version(0), "rejected bundles leave the version unchanged");
    k.offer(head(2, &two, &alice), two.manifest.clone(), &part_texts(&two))
        .expect("the bundle is valid");
    let older = k.offer(head(1, &one, &alice), one.manifest.clone(), &part_texts(&one));
    assert_eq!(
        older.expect_err("the version is older"),
        OfferError::Older { offered: Version(1), in_force: Version(2) }
    );
}

#[test]
fn a_bundle_can_add_a_trusted_signer() {
    let (alice, bob) = (signer("alice", 1), signer("bob", 2));
    let mut k = Keeper::new(trust(&[&alice], &["alice"]));
    let with_bob = bundle_with_routes(10) + &format!("[signers]\nbob = {}\n", bob.public());
    let (_, one) = Bundle::read("f.ini", &with_bob).expect("the bundle is valid");
    assert!(
        k.offer(head(1, &one, &bob), one.manifest.clone(), &part_texts(&one)).is_err(),
        "bob is not a trusted signer yet"
    );
    k.offer(head(1, &one, &alice), one.manifest.clone(), &part_texts(&one))
        .expect("alice is trusted by the settings");
    let (_, two) = Bundle::read("f.ini", &bundle_with_routes(11)).expect("the bundle is valid");
    k.offer(head(2, &two, &bob), two.manifest.clone(), &part_texts(&two))
        .expect("bob is trusted by the active bundle");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Heads may arrive out of order or repeatedly, such as from peers that lag behind;
    /// the active version must never decrease.
    #[test]
    fn versions_never_go_back(order in prop::collection::vec(1u64..12, 1..40)) {
        let alice = signer("alice", 1);
        let mut k = Keeper::new(trust(&[&alice], &["alice"]));
        let mut newest = 0;
        for v in order {
            let (_, split) = Bundle::read("f.ini", &bundle_with_routes(v as usize)).expect("the bundle is valid");
            let applied = k.offer(head(v, &split, &alice), split.manifest.clone(), &part_texts(&split)).is_ok();
            prop_assert_eq!(applied, v > newest);
            newest = newest.max(v);
            prop_assert_eq!(k.version(), Version(newest));
        }
    }
}
