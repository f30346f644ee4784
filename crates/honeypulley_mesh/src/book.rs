//! Addresses of the other boxes.
//!
//! An address that leads nowhere costs a datagram now and then, so entries are
//! never dropped; a box that comes back replaces its own.

use honeypulley_peer::listing::BoxAddress;
use honeypulley_policy::collector::NameId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Boxes known to one box, without itself.
#[derive(Clone, Debug)]
pub struct Book {
    me: NameId,
    hall: String,
    boxes: BTreeMap<NameId, BoxAddress>,
}

impl Book {
    /// Builds the empty book of box `me` in data hall `hall`.
    #[must_use]
    pub fn new(me: NameId, hall: &str) -> Self {
        Self { me, hall: hall.to_owned(), boxes: BTreeMap::new() }
    }

    /// Takes an address; tells whether the box or its data hall is new.
    pub fn learn(&mut self, b: BoxAddress) -> bool {
        if b.id == self.me {
            return false;
        }
        match self.boxes.get_mut(&b.id) {
            None => {
                self.boxes.insert(b.id, b);
                true
            }
            Some(known) => {
                let news = known.hall.is_empty() && !b.hall.is_empty();
                known.addr = b.addr;
                if !b.hall.is_empty() {
                    known.hall = b.hall;
                }
                news
            }
        }
    }

    /// Tells whether the data hall of a box is known.
    #[must_use]
    pub fn knows(&self, id: NameId) -> bool {
        self.boxes.get(&id).is_some_and(|b| !b.hall.is_empty())
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

    /// Returns the numbers of all boxes and of those in this data hall.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.count(), self.near().count() + 1)
    }

    /// Returns the number of boxes, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.boxes.len() + 1
    }
}
