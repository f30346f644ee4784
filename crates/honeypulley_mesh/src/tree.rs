//! Distribution tree of new routing tables within a data hall.
//!
//! If every box fetched a table from the platform, this would cost one call per box.
//! Instead, the boxes of a data hall form a tree, derived by hashing for each table: the root
//! pulls the table from the reader that announced it, every other box from its parent. A box
//! whose parent fails fetches the table from the platform.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;
use std::time::Duration;

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

/// Time that a table takes from the reader to the second level of the tree, at most.
const FIRST_LEVELS_TIME: Duration = Duration::from_millis(400);
/// Time that a table takes for each further level.
const LEVEL_TIME: Duration = Duration::from_millis(200);

/// Position of a box in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TreePosition {
    /// The box from which it pulls the table; `None` for the root, which pulls it from the reader.
    pub parent: Option<NameId>,
    /// Number of boxes above it, up to the root.
    pub depth: u32,
}

impl TreePosition {
    /// Returns the time to wait for the table before it is fetched elsewhere.
    ///
    /// A box far from the root waits longer, since its parent has to receive the table first. If
    /// all boxes waited for the same time, most of a large hall would turn to the platform at once.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        FIRST_LEVELS_TIME + LEVEL_TIME * self.depth.saturating_sub(1)
    }
}

/// Returns the position of box `me` in the tree of the table of this number.
#[must_use]
pub fn position(me: NameId, others: &[HallPeer], number: u64) -> TreePosition {
    let key = |n: &HallPeer| (n.unreachable, weight(n.id.0, number), n.id);
    let own = key(&HallPeer { id: me, unreachable: false });
    let mut preceding: Vec<_> = others.iter().map(key).filter(|k| *k < own).collect();
    let parent_index = |index: usize| index.checked_sub(1).map(|i| i / FANOUT);
    let ancestors = std::iter::successors(parent_index(preceding.len()), |&i| parent_index(i));
    let depth = ancestors.count() as u32;
    let parent = parent_index(preceding.len()).map(|i| preceding.select_nth_unstable(i).1.2);
    TreePosition { parent, depth }
}

/// Returns the box from which `me` pulls the table of this number.
///
/// Returns `None` for the root, which pulls it from the reader.
#[must_use]
pub fn parent(me: NameId, others: &[HallPeer], number: u64) -> Option<NameId> {
    position(me, others, number).parent
}
