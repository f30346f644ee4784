//! Tests that a new box never joins on an outdated version.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::join::{Join, JoinSource};
use rstest::rstest;

/// Cases: versions of the peers, of the platform and of the box, other boxes, result.
#[rstest]
#[case::no_version(&[5, 5, 5], Some(5), 0, 9, None)]
#[case::platform_alone(&[], Some(5), 5, 9, Some(JoinSource::Platform))]
#[case::older_than_platform(&[], Some(6), 5, 9, None)]
#[case::no_information(&[], None, 5, 9, None)]
#[case::too_few_peers(&[5, 5], None, 5, 9, None)]
#[case::three_peers(&[5, 5, 4], None, 5, 9, Some(JoinSource::Peers))]
#[case::one_peer_is_newer(&[5, 6, 4], None, 5, 9, None)]
#[case::a_peer_is_ahead_of_a_stale_platform(&[7], Some(5), 5, 9, None)]
#[case::all_existing_peers(&[5], None, 5, 1, Some(JoinSource::Peers))]
#[case::the_only_box(&[], None, 5, 0, None)]
fn a_box_joins_unless_a_newer_version_is_known(
    #[case] peers: &[u64],
    #[case] platform: Option<u64>,
    #[case] own: u64,
    #[case] other_boxes: usize,
    #[case] expected: Option<JoinSource>,
) {
    let mut j = Join::default();
    for (i, v) in peers.iter().enumerate() {
        j.record_peer_version(NameId(i as u64), *v);
    }
    if let Some(v) = platform {
        j.record_platform_version(v);
    }
    assert_eq!(j.try_join(own, other_boxes), expected);
    assert_eq!(j.has_joined(), expected.is_some());
    assert_eq!(j.try_join(own, other_boxes), None, "a box joins only once");
}
