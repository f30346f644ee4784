//! Addresses of the other boxes.
//!
//! An address that leads nowhere costs a datagram now and then, so entries are
//! never dropped; a box that returns replaces its own.

use crate::tree::Neighbour;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a box counts as reachable after a datagram of it.
const HEARD_LIFE: Duration = Duration::from_secs(5);

/// Silence of all other boxes after which this one goes by what it knows alone.
///
/// Three beacons of a reader, of which there are three.
const ALONE_TIME: Duration = Duration::from_millis(1_500);

/// Boxes known to one box, without itself.
#[derive(Clone, Debug)]
pub struct Book {
    me: NameId,
    hall: String,
    boxes: BTreeMap<NameId, BoxAddress>,
    heard: BTreeMap<NameId, Time>,
    /// When the last datagram of any peer arrived.
    last: Time,
    /// Boxes of each data hall, this one included.
    halls: BTreeMap<NameId, usize>,
}

impl Book {
    /// Builds the empty book of box `me` in data hall `hall`.
    #[must_use]
    pub fn new(me: NameId, hall: &str) -> Self {
        let (boxes, heard) = (BTreeMap::new(), BTreeMap::new());
        let halls = BTreeMap::from([(NameId::of(hall), 1)]);
        Self { me, hall: hall.to_owned(), boxes, heard, last: Time::ZERO, halls }
    }

    /// Records an address; returns whether the box or its data hall is new.
    pub fn learn(&mut self, b: BoxAddress) -> bool {
        if b.id == self.me {
            return false;
        }
        match self.boxes.get_mut(&b.id) {
            None => {
                move_box(&mut self.halls, "", &b.hall);
                self.boxes.insert(b.id, b);
                true
            }
            Some(known) => {
                let news = known.hall.is_empty() && !b.hall.is_empty();
                known.addr = b.addr;
                if !b.hall.is_empty() && known.hall != b.hall {
                    move_box(&mut self.halls, &known.hall, &b.hall);
                    known.hall = b.hall;
                }
                news
            }
        }
    }

    /// Records that something of a peer arrived, by whatever way.
    pub fn heard(&mut self, id: NameId, now: Time) {
        self.heard.insert(id, now);
        self.last = self.last.max(now);
    }

    /// Returns whether this box is isolated: there are peers, and none was heard for 1.5 s.
    #[must_use]
    pub fn is_alone(&self, now: Time) -> bool {
        !self.boxes.is_empty() && now.since(self.last) > ALONE_TIME
    }

    /// Returns how many boxes of each data hall are known, this one included.
    #[must_use]
    pub const fn halls(&self) -> &BTreeMap<NameId, usize> {
        &self.halls
    }

    /// Returns the place of this box in the order of its data hall's boxes for a subject.
    ///
    /// The order is drawn by hashing; boxes that are unreachable stand last.
    #[must_use]
    pub fn rank(&self, subject: NameId, now: Time) -> usize {
        let key = |id: NameId, silent: bool| (silent, weight(id.0, subject.0), id);
        let own = key(self.me, false);
        let near = self.boxes.values().filter(|b| b.hall == self.hall);
        near.filter(|b| key(b.id, self.is_silent(b.id, now)) < own).count()
    }

    /// Returns whether any peer is reachable.
    #[must_use]
    pub fn hears_others(&self, now: Time) -> bool {
        self.heard.values().any(|t| now.since(*t) < HEARD_LIFE)
    }

    /// Returns the other boxes of this data hall, for the order in which a table goes round.
    #[must_use]
    pub fn neighbours(&self, now: Time) -> Vec<Neighbour> {
        let near = self.boxes.values().filter(|b| b.hall == self.hall);
        near.map(|b| Neighbour { id: b.id, silent: self.is_silent(b.id, now) }).collect()
    }

    fn is_silent(&self, id: NameId, now: Time) -> bool {
        self.heard.get(&id).is_none_or(|t| now.since(*t) > HEARD_LIFE)
    }

    /// Returns up to `k` boxes of each other data hall, reachable ones first.
    #[must_use]
    pub fn delegates(&self, k: usize, now: Time, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut halls: BTreeMap<&str, Vec<(bool, u64, SocketAddr)>> = BTreeMap::new();
        for b in self.boxes.values().filter(|b| b.hall != self.hall) {
            let silent = self.is_silent(b.id, now);
            halls.entry(&b.hall).or_default().push((silent, rng.u64(..), b.addr));
        }
        let mut chosen = Vec::new();
        for (hall, mut all) in halls {
            // One whose data hall is not known could not send anything on.
            let most = if hall.is_empty() { all.len() } else { k };
            all.sort_unstable();
            chosen.extend(all.into_iter().take(most).map(|(_, _, addr)| addr));
        }
        chosen
    }

    /// Returns whether the data hall of a box is known.
    #[must_use]
    pub fn knows(&self, id: NameId) -> bool {
        self.boxes.get(&id).is_some_and(|b| !b.hall.is_empty())
    }

    /// Returns the address of a box, if it is known.
    #[must_use]
    pub fn address(&self, id: NameId) -> Option<SocketAddr> {
        self.boxes.get(&id).map(|b| b.addr)
    }

    /// Returns the addresses of all boxes.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.boxes.values().map(|b| b.addr)
    }

    /// Returns the addresses of the boxes in this data hall.
    pub fn near(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.boxes.values().filter(|b| b.hall == self.hall).map(|b| b.addr)
    }

    /// Returns what is known of each box.
    pub fn entries(&self) -> impl Iterator<Item = &BoxAddress> {
        self.boxes.values()
    }

    /// Returns the number of boxes, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.boxes.len() + 1
    }
}

/// Counts a box in another data hall than before; an empty name is of none.
fn move_box(halls: &mut BTreeMap<NameId, usize>, from: &str, to: &str) {
    if let Some(n) = halls.get_mut(&NameId::of(from)) {
        *n = n.saturating_sub(1);
    }
    if !to.is_empty() {
        *halls.entry(NameId::of(to)).or_default() += 1;
    }
}
