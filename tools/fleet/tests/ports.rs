//! Allocation of ports for the programs that tests start.

use fleet::choose_port;
use std::collections::BTreeSet;

/// Guards against probing an allocated port.
///
/// A box that bound its port during such a probe by another test failed to start.
#[test]
fn an_allocated_port_is_not_probed_again() {
    let mut allocated = BTreeSet::from([10_001, 10_002]);
    let mut candidates = [10_001, 10_002, 10_003, 10_004].into_iter();
    let mut probed = Vec::new();
    let port = choose_port(
        &mut allocated,
        || candidates.next().expect("chosen within four draws"),
        |p| {
            probed.push(p);
            p == 10_004
        },
    );
    assert_eq!(port, Some(10_004));
    assert_eq!(probed, [10_003, 10_004], "only unallocated ports are probed");
}
