//! Distribution tree of new routing tables within a data hall.
//!
//! If every box fetched a table from the platform, this would cost one call per box.
//! Instead, the boxes of a data hall form a tree, derived by hashing for each table: the root
//! pulls the table from the reader that announced it, every other box from its parent. A box
//! whose parent fails fetches the table from the platform.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;

/// Maximum number of boxes that pull a table from the same parent.
const FANOUT: usize = 4;

/// Another box of this data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HallPeer {
    /// Id of the box.
    pub id: NameId,
    /// Whether the box is unreachable, which places it after all others.
    pub unreachable: bool,
}

/// Returns the box from which `me` pulls the table of this number.
///
/// Returns `None` for the root, which pulls it from the reader.
#[must_use]
pub fn parent(me: NameId, others: &[HallPeer], number: u64) -> Option<NameId> {
    let key = |n: &HallPeer| (n.unreachable, weight(n.id.0, number), n.id);
    let own = key(&HallPeer { id: me, unreachable: false });
    let mut preceding: Vec<_> = others.iter().map(key).filter(|k| *k < own).collect();
    let index = preceding.len();
    if index == 0 {
        return None;
    }
    let (_, found, _) = preceding.select_nth_unstable((index - 1) / FANOUT);
    Some(found.2)
}
