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
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(10);
/// Interval at which a box repeats that it is partitioned.
///
/// Two announcements may be lost before the other boxes try it again.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(4);
/// Time for which a success shows that a box reaches upstreams.
const SUCCESS_TIME: Duration = Duration::from_secs(1);

/// Preference for a relay, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// A box of this data hall that was lately answered by an upstream.
    Proven,
    /// A box of another data hall in this region.
    Region,
    /// A box of this data hall, which may be partitioned like this one.
    Hall,
    /// A box of another region.
    Other,
    /// A box of a data hall most of whose boxes are partitioned.
    Doubtful,
}

/// What this box knows of the other boxes' paths, and of its own.
#[derive(Clone, Debug, Default)]
pub struct RelayDirectory {
    /// Until when a box is not used for a service.
    unusable: BTreeMap<(NameId, NameId), Time>,
    /// When an upstream last answered a box of this data hall.
    successes: BTreeMap<NameId, Time>,
    /// Services that this box can't reach, with the time of the last announcement.
    partitioned: BTreeMap<NameId, Time>,
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

    /// Records that an upstream answered a box of this data hall.
    pub fn record_success(&mut self, from: NameId, at: Time) {
        let last = self.successes.entry(from).or_insert(at);
        *last = at.max(*last);
    }

    /// Returns whether this box can't reach a service.
    #[must_use]
    pub fn is_partitioned(&self, service: NameId) -> bool {
        self.partitioned.contains_key(&service)
    }

    /// Records whether this box reaches a service; returns whether that is to be announced.
    pub fn set_partitioned(&mut self, service: NameId, is_partitioned: bool, now: Time) -> bool {
        if !is_partitioned {
            return self.partitioned.remove(&service).is_some();
        }
        let announced = self.partitioned.get(&service);
        let is_due = announced.is_none_or(|at| now.since(*at) >= ANNOUNCEMENT_INTERVAL);
        if is_due {
            self.partitioned.insert(service, now);
        }
        is_due
    }

    /// Returns the best usable box, drawn at random from equally good ones.
    #[must_use]
    pub fn choose(
        &self,
        book: &AddressBook,
        regions: &RegionMap,
        wanted: &RelayRequest<'_>,
        now: Time,
    ) -> Option<SocketAddr> {
        let own_region = regions.of_hall(book.hall());
        let doubtful = self.doubtful_halls(book, wanted.service, now);
        let candidate = |(id, hall, addr): (NameId, &str, SocketAddr)| {
            let region = regions.of_hall(hall);
            let is_near = hall == book.hall() || region.intersects(own_region);
            // The body of a restricted request leaves this region only for an allowed one.
            let is_allowed = is_near || wanted.regions.is_none_or(|r| r.intersects(region));
            let is_usable = is_allowed
                && !wanted.tried.contains(&addr)
                && !self.is_unusable(id, wanted.service, now);
            let is_proven = self.successes.get(&id).is_some_and(|at| now.since(*at) < SUCCESS_TIME);
            let preference = match () {
                () if hall == book.hall() && is_proven => Preference::Proven,
                () if doubtful.contains(hall) => Preference::Doubtful,
                () if hall == book.hall() => Preference::Hall,
                () if is_near => Preference::Region,
                () => Preference::Other,
            };
            is_usable.then(|| (book.is_unreachable(id, now), preference, fastrand::u64(..), addr))
        };
        book.relays().filter_map(candidate).min().map(|(.., addr)| addr)
    }

    /// Returns the data halls most of whose boxes are unusable for a service.
    fn doubtful_halls<'a>(
        &self,
        book: &'a AddressBook,
        service: NameId,
        now: Time,
    ) -> BTreeSet<&'a str> {
        let mut halls: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (id, hall, _) in book.relays() {
            let (unusable, all) = halls.entry(hall).or_default();
            *unusable += usize::from(self.is_unusable(id, service, now));
            *all += 1;
        }
        let is_doubtful = |(unusable, all): (usize, usize)| 2 * unusable > all;
        halls.into_iter().filter(|(_, n)| is_doubtful(*n)).map(|(hall, _)| hall).collect()
    }

    fn is_unusable(&self, id: NameId, service: NameId, now: Time) -> bool {
        self.unusable.get(&(id, service)).is_some_and(|until| *until > now)
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
        let now = self.now();
        let is_due = self.relay_directory().set_partitioned(service, is_partitioned, now);
        if is_due {
            self.updates_out.push(Update::Partitioned { service, is_partitioned });
        }
    }
}
