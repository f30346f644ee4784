//! Ports given to programs that tests start.

use fleet::choose_port;
use std::collections::BTreeSet;

/// A box could not bind its port while another test tried whether that was free.
#[test]
fn a_port_that_was_given_out_is_not_tried_again() {
    let mut given = BTreeSet::from([10_001, 10_002]);
    let mut drawn = [10_001, 10_002, 10_003, 10_004].into_iter();
    let mut tried = Vec::new();
    let port = choose_port(
        &mut given,
        || drawn.next().expect("four draws are enough"),
        |p| {
            tried.push(p);
            p == 10_004
        },
    );
    assert_eq!(port, Some(10_004));
    assert_eq!(tried, [10_003, 10_004], "only ports that nobody has");
}
