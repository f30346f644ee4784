//! Address book of the other boxes.
//!
//! Entries are never removed, since a dead address costs only an occasional datagram. A box
//! that returns under a new address replaces its entry.

use crate::catch_up::Source;
use crate::tree::HallPeer;
use honeypulley_peer::listing::BoxAddress;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::placement::weight;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

/// Time for which a box counts as reachable after a datagram from it.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a box counts as reachable for the tables' distribution tree.
///
/// Boxes with few requests send datagrams rarely, and none before there are callers. All boxes of
/// a data hall must agree on the tree, so its silence is much longer.
const TREE_SILENCE: Duration = Duration::from_secs(60);
/// Time for which a box counts as unreachable after a failed pull.
const FAILED_PULL_TIME: Duration = Duration::from_secs(10);

/// Silence of all peers after which this box counts as isolated.
///
/// It spans three beacon intervals, in each of which three readers send a beacon.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The peers known to one box.
#[derive(Clone, Debug)]
pub struct AddressBook {
    me: NameId,
    hall: String,
    boxes: BTreeMap<NameId, BoxAddress>,
    /// When the last datagram from each peer arrived.
    last_received: BTreeMap<NameId, Time>,
    /// When a pull from each peer last failed.
    failed_pulls: BTreeMap<NameId, Time>,
    /// When the last datagram from any peer arrived.
    last_contact: Time,
    /// Number of boxes in each data hall, this one included.
    halls: BTreeMap<NameId, usize>,
}

impl AddressBook {
    /// Creates the empty address book of box `me` in data hall `hall`.
    #[must_use]
    pub fn new(me: NameId, hall: &str) -> Self {
        let (boxes, last_received) = (BTreeMap::new(), BTreeMap::new());
        let halls = BTreeMap::from([(NameId::of(hall), 1)]);
        Self {
            me,
            hall: hall.to_owned(),
            boxes,
            last_received,
            failed_pulls: BTreeMap::new(),
            last_contact: Time::ZERO,
            halls,
        }
    }

    /// Records an address; returns whether the box is new or its data hall was unknown so far.
    pub fn upsert(&mut self, b: BoxAddress) -> bool {
        if b.id == self.me {
            return false;
        }
        match self.boxes.get_mut(&b.id) {
            None => {
                move_hall(&mut self.halls, "", &b.hall);
                self.boxes.insert(b.id, b);
                true
            }
            Some(known) => {
                let is_hall_new = known.hall.is_empty() && !b.hall.is_empty();
                known.addr = b.addr;
                known.relay_port = b.relay_port.or(known.relay_port);
                known.fast_link |= b.fast_link;
                if !b.hall.is_empty() && known.hall != b.hall {
                    move_hall(&mut self.halls, &known.hall, &b.hall);
                    known.hall = b.hall;
                }
                is_hall_new
            }
        }
    }

    /// Records that a datagram from a peer arrived, directly or forwarded.
    pub fn record_contact(&mut self, id: NameId, now: Time) {
        self.last_received.insert(id, now);
        self.last_contact = self.last_contact.max(now);
    }

    /// Records that a pull from a peer failed or timed out.
    pub fn record_failed_pull(&mut self, id: NameId, now: Time) {
        self.failed_pulls.insert(id, now);
    }

    /// Returns whether this box has peers but received nothing from them for 1.5 s.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        !self.boxes.is_empty() && now.since(self.last_contact) > ISOLATION_TIMEOUT
    }

    /// Returns the number of known boxes per data hall, this one included.
    #[must_use]
    pub const fn hall_sizes(&self) -> &BTreeMap<NameId, usize> {
        &self.halls
    }

    /// Returns this box's rank among the boxes of its data hall for a subject.
    ///
    /// The order is by rendezvous hashing, with unreachable boxes last.
    #[must_use]
    pub fn rank(&self, subject: NameId, now: Time) -> usize {
        let key = |id: NameId, unreachable: bool| (unreachable, weight(id.0, subject.0), id);
        let own = key(self.me, false);
        let members = self.boxes.values().filter(|b| b.hall == self.hall);
        members.filter(|b| key(b.id, self.is_unreachable(b.id, now)) < own).count()
    }

    /// Returns whether any peer is reachable.
    #[must_use]
    pub fn has_reachable_peer(&self, now: Time) -> bool {
        self.last_received.values().any(|t| now.since(*t) < REACHABLE_TIMEOUT)
    }

    /// Returns the other boxes of this data hall, for the tables' distribution tree.
    #[must_use]
    pub fn hall_peers(&self, now: Time) -> Vec<HallPeer> {
        let members = self.boxes.values().filter(|b| b.hall == self.hall);
        members.map(|b| HallPeer { id: b.id, unreachable: self.is_no_parent(b.id, now) }).collect()
    }

    /// Returns whether a box should not be a parent in the distribution tree.
    ///
    /// A box that has sent nothing yet may be one, unlike a box that has become silent.
    fn is_no_parent(&self, id: NameId, now: Time) -> bool {
        let is_silent = |t: &Time| now.since(*t) > TREE_SILENCE;
        let has_failed = |t: &Time| now.since(*t) < FAILED_PULL_TIME;
        self.last_received.get(&id).is_some_and(is_silent)
            || self.failed_pulls.get(&id).is_some_and(has_failed)
    }

    pub(crate) fn is_unreachable(&self, id: NameId, now: Time) -> bool {
        self.last_received.get(&id).is_none_or(|t| now.since(*t) > REACHABLE_TIMEOUT)
    }

    /// Returns up to `k` boxes of each other data hall, reachable ones first.
    #[must_use]
    pub fn forwarders(&self, k: usize, now: Time, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut halls: BTreeMap<&str, Vec<(bool, u64, SocketAddr)>> = BTreeMap::new();
        for b in self.boxes.values().filter(|b| b.hall != self.hall) {
            let unreachable = self.is_unreachable(b.id, now);
            halls.entry(&b.hall).or_default().push((unreachable, rng.u64(..), b.addr));
        }
        let mut chosen = Vec::new();
        for (hall, mut candidates) in halls {
            // A box of an unknown data hall can't forward to others, so all of them are taken.
            let limit = if hall.is_empty() { candidates.len() } else { k };
            candidates.sort_unstable();
            chosen.extend(candidates.into_iter().take(limit).map(|(_, _, addr)| addr));
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

    /// Returns the address of the box that holds an announced version.
    ///
    /// A forwarder may miss it as well, but is better than no source.
    #[must_use]
    pub fn source_address(&self, s: Source) -> SocketAddr {
        self.address(s.origin).unwrap_or(s.via)
    }

    /// Returns the addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.boxes.values().map(|b| b.addr)
    }

    /// Returns the addresses of the peers in this data hall.
    pub fn hall_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.boxes.values().filter(|b| b.hall == self.hall).map(|b| b.addr)
    }

    /// Returns the number of peers with a fast link.
    #[must_use]
    pub fn fast_link_count(&self) -> usize {
        self.boxes.values().filter(|b| b.fast_link).count()
    }

    /// Returns whether a box is known, and not known to have a fast link.
    #[must_use]
    pub fn has_slow_link(&self, id: NameId) -> bool {
        self.boxes.get(&id).is_some_and(|b| !b.fast_link)
    }

    /// Returns the addresses of the peers with a fast link, of this data hall if it has any.
    #[must_use]
    pub fn fast_link_addresses(&self) -> Vec<SocketAddr> {
        let fast = || self.boxes.values().filter(|b| b.fast_link);
        let near: Vec<SocketAddr> =
            fast().filter(|b| b.hall == self.hall).map(|b| b.addr).collect();
        if near.is_empty() { fast().map(|b| b.addr).collect() } else { near }
    }

    /// Returns the data hall of this box.
    #[must_use]
    pub fn hall(&self) -> &str {
        &self.hall
    }

    /// Returns the boxes that accept relayed requests: id, data hall and address for them.
    pub fn relays(&self) -> impl Iterator<Item = (NameId, &str, SocketAddr)> {
        let known = self.boxes.values().filter(|b| !b.hall.is_empty());
        known.filter_map(|b| Some((b.id, b.hall.as_str(), b.relay_address()?)))
    }

    /// Returns the box that accepts relayed requests at an address.
    #[must_use]
    pub fn relay_at(&self, addr: SocketAddr) -> Option<NameId> {
        self.relays().find(|(.., a)| *a == addr).map(|(id, ..)| id)
    }

    /// Returns up to `limit` boxes after an id, and whether more follow.
    #[must_use]
    pub fn page(&self, after: NameId, limit: usize) -> (Vec<BoxAddress>, bool) {
        let mut rest = self.boxes.range((Bound::Excluded(after), Bound::Unbounded));
        let boxes = rest.by_ref().take(limit).map(|(_, b)| b.clone()).collect();
        (boxes, rest.next().is_some())
    }

    /// Returns up to `n` random boxes.
    #[must_use]
    pub fn sample(&self, n: usize) -> Vec<BoxAddress> {
        fastrand::choose_multiple(self.boxes.values(), n).into_iter().cloned().collect()
    }

    /// Returns the entries of all peers.
    pub fn entries(&self) -> impl Iterator<Item = &BoxAddress> {
        self.boxes.values()
    }

    /// Returns the number of boxes, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.boxes.len() + 1
    }
}

/// Moves a box between the counts of two data halls.
///
/// An empty name stands for no data hall.
fn move_hall(halls: &mut BTreeMap<NameId, usize>, from: &str, to: &str) {
    if let Some(n) = halls.get_mut(&NameId::of(from)) {
        *n = n.saturating_sub(1);
    }
    if !to.is_empty() {
        *halls.entry(NameId::of(to)).or_default() += 1;
    }
}
