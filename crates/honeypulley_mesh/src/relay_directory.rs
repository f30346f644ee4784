//! Other boxes as relays for requests to services that this box can't reach.

use crate::book::AddressBook;
use crate::state::Mesh;
use honeypulley_policy::balance::Update;
use honeypulley_policy::collector::NameId;
use honeypulley_policy::regions::RegionMap;
use honeypulley_policy::time::Time;
use honeypulley_proxy::relay::{RelayPeers, RelayRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a box is not used after it could not serve a relayed request.
const UNUSABLE_TIME: Duration = Duration::from_secs(1);
/// Time for which a box is not used after it announced a partition.
///
/// The announcement of the partition's end may be lost.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(5);

/// Distance of a relay, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Hall,
    Region,
    Other,
}

/// What this box knows of the other boxes' paths, and of its own.
#[derive(Clone, Debug, Default)]
pub struct RelayDirectory {
    /// Until when a box is not used for a service.
    unusable: BTreeMap<(NameId, NameId), Time>,
    /// Services that this box can't reach.
    partitioned: BTreeSet<NameId>,
}

impl RelayDirectory {
    /// Records that a box lost its paths to a service, or has one again.
    pub fn record_announcement(
        &mut self,
        from: NameId,
        service: NameId,
        is_partitioned: bool,
        now: Time,
    ) {
        if is_partitioned {
            self.exclude((from, service), now + ANNOUNCEMENT_TIME, now);
        } else {
            self.unusable.remove(&(from, service));
        }
    }

    /// Records that a box could not serve a relayed request.
    pub fn record_unusable(&mut self, peer: NameId, service: NameId, now: Time) {
        let key = (peer, service);
        let until = now + UNUSABLE_TIME;
        let until = self.unusable.get(&key).map_or(until, |known| until.max(*known));
        self.exclude(key, until, now);
    }

    /// Returns the services that this box can't reach.
    #[must_use]
    pub const fn partitioned(&self) -> &BTreeSet<NameId> {
        &self.partitioned
    }

    /// Returns the nearest usable box, drawn at random from those at the same distance.
    #[must_use]
    pub fn choose(
        &self,
        book: &AddressBook,
        regions: &RegionMap,
        wanted: &RelayRequest<'_>,
        now: Time,
    ) -> Option<SocketAddr> {
        let own_hall = book.hall();
        let own_region = regions.of_hall(own_hall);
        let candidate = |(id, hall, addr): (NameId, &str, SocketAddr)| {
            let region = regions.of_hall(hall);
            let distance = match () {
                () if hall == own_hall => Distance::Hall,
                () if region.intersects(own_region) => Distance::Region,
                () => Distance::Other,
            };
            // The body of a restricted request leaves this region only for an allowed one.
            let is_allowed = distance == Distance::Hall
                || wanted
                    .regions
                    .is_none_or(|r| distance == Distance::Region || r.intersects(region));
            let is_usable = is_allowed
                && !wanted.tried.contains(&addr)
                && self.unusable.get(&(id, wanted.service)).is_none_or(|until| *until <= now);
            is_usable.then(|| (book.is_unreachable(id, now), distance, fastrand::u64(..), addr))
        };
        book.relays().filter_map(candidate).min().map(|(.., addr)| addr)
    }

    fn exclude(&mut self, key: (NameId, NameId), until: Time, now: Time) {
        self.unusable.retain(|_, t| *t > now);
        self.unusable.insert(key, until);
    }
}

impl RelayPeers for Mesh {
    fn choose(&self, wanted: &RelayRequest<'_>, now: Time) -> Option<SocketAddr> {
        let book = self.address_book();
        self.relay_directory().choose(&book, &self.settings.regions, wanted, now)
    }

    fn record_unusable(&self, peer: SocketAddr, service: NameId, now: Time) {
        let id = self.address_book().relay_at(peer);
        if let Some(id) = id {
            self.relay_directory().record_unusable(id, service, now);
        }
    }

    fn announce(&self, service: NameId, is_partitioned: bool) {
        let mut directory = self.relay_directory();
        if is_partitioned {
            directory.partitioned.insert(service);
        } else {
            directory.partitioned.remove(&service);
        }
        drop(directory);
        self.updates_out.push(Update::Partitioned { service, is_partitioned });
    }
}
