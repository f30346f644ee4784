//! Which box of its data hall another one takes a new routing table from.
//!
//! A table that every box fetched from the platform would cost as many calls as there are
//! boxes. Instead the boxes of a data hall form a tree, drawn by hashing for each table: the root
//! pulls it from the reader that announced it, each other box from its parent. A box whose parent
//! fails fetches it from the platform.

use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;

/// Boxes that one box forwards a table to.
const FANOUT: usize = 4;

/// A box of this data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// The box.
    pub id: NameId,
    /// Whether it is unreachable; it stands behind the others.
    pub silent: bool,
}

/// Returns the box that `me` takes the table of this number from; `None` if it is the
/// first, which takes it from the reader.
#[must_use]
pub fn parent(me: NameId, others: &[Neighbour], number: u64) -> Option<NameId> {
    let key = |n: &Neighbour| (n.silent, weight(n.id.0, number), n.id);
    let own = key(&Neighbour { id: me, silent: false });
    let mut before: Vec<_> = others.iter().map(key).filter(|k| *k < own).collect();
    let place = before.len();
    if place == 0 {
        return None;
    }
    let (_, found, _) = before.select_nth_unstable((place - 1) / FANOUT);
    Some(found.2)
}
