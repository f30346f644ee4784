//! A new box starts on nothing older than what it could ask about.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::join::{Join, JoinedBy};
use rstest::rstest;

/// What a box is told, and on which version it may start with which held.
#[rstest]
#[case::nothing_held(&[5, 5, 5], Some(5), 0, 9, None)]
#[case::platform_alone(&[], Some(5), 5, 9, Some(JoinedBy::Platform))]
#[case::older_than_platform(&[], Some(6), 5, 9, None)]
#[case::nobody_heard(&[], None, 5, 9, None)]
#[case::too_few_peers(&[5, 5], None, 5, 9, None)]
#[case::three_peers(&[5, 5, 4], None, 5, 9, Some(JoinedBy::Peers))]
#[case::one_peer_has_a_later_one(&[5, 6, 4], None, 5, 9, None)]
#[case::a_peer_is_ahead_of_a_stale_platform(&[7], Some(5), 5, 9, None)]
#[case::all_peers_there_are(&[5], None, 5, 1, Some(JoinedBy::Peers))]
#[case::the_only_box(&[], None, 5, 0, None)]
fn joins_when_nobody_has_a_later_version(
    #[case] peers: &[u64],
    #[case] platform: Option<u64>,
    #[case] held: u64,
    #[case] others: usize,
    #[case] by: Option<JoinedBy>,
) {
    let mut j = Join::default();
    for (i, v) in peers.iter().enumerate() {
        j.peer_told(NameId(i as u64), *v);
    }
    if let Some(v) = platform {
        j.platform_told(v);
    }
    assert_eq!(j.decide(held, others), by);
    assert_eq!(j.is_done(), by.is_some());
    assert_eq!(j.decide(held, others), None, "it joins once");
}
