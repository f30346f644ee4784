//! Order of requests by the priorities of their organisations and routes.

use crate::route_mix::RouteMix;
use std::collections::BTreeSet;

/// Number of priorities, and of ranks.
const RANKS: usize = RouteMix::LOWEST_PRIORITY as usize + 1;

/// Priority of a request: its organisation's first, its route's second.
///
/// Zero is the highest. The route's takes the place of an organisation's that is absent, so that
/// such a request is ordered among those of organisations with the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority {
    organisation: u8,
    route: u8,
}

impl RequestPriority {
    /// Creates the priority of a request, whose organisation may have none.
    ///
    /// Numbers above [`RouteMix::LOWEST_PRIORITY`] count as that.
    #[must_use]
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        let [organisation, route] =
            [organisation.unwrap_or(route), route].map(|n| n.min(RouteMix::LOWEST_PRIORITY));
        Self { organisation, route }
    }

    /// Returns the number that is compared first.
    #[must_use]
    pub const fn first(self) -> u8 {
        self.organisation
    }

    /// Returns the priority of the route.
    #[must_use]
    pub const fn route(self) -> u8 {
        self.route
    }

    /// Returns the priority of the route if it differs from the number that is compared first.
    #[must_use]
    pub fn differing_route(self) -> Option<u8> {
        (self.route != self.organisation).then_some(self.route)
    }

    /// Returns the priority with a limit on the number of the route.
    fn coarsened(self, max: u8) -> Self {
        Self { route: self.route.min(max), ..self }
    }
}

/// Ranks of the priorities that occur in a routing table, which fit into one number.
///
/// Without organisations that have a priority, the rank is the priority of the route. Else the
/// pairs that occur are numbered in their order. Rank 0 is kept for requests whose first number
/// is zero. If there are too many pairs, the least urgent routes of each organisation share a
/// rank. Boxes with the same table derive the same ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorityRanks {
    ranks: [[u8; RANKS]; RANKS],
    /// One bit for each rank that has the same first number as the rank before it.
    continued: u16,
}

impl Default for PriorityRanks {
    fn default() -> Self {
        Self { ranks: std::array::from_fn(|first| [first as u8; RANKS]), continued: 0 }
    }
}

impl PriorityRanks {
    /// Ranks the priorities that occur.
    #[must_use]
    pub fn new(occurring: impl IntoIterator<Item = RequestPriority>) -> Self {
        let all: BTreeSet<RequestPriority> = occurring.into_iter().collect();
        if all.iter().all(|p| p.organisation == p.route) {
            return Self::default();
        }
        let first = u8::from(all.first().is_some_and(|p| p.organisation > 0));
        let coarsened = |max: u8| -> BTreeSet<RequestPriority> {
            all.iter().map(|p| p.coarsened(max)).collect()
        };
        let fits = |s: &BTreeSet<RequestPriority>| s.len() + usize::from(first) <= RANKS;
        let fitting = (0..=RouteMix::LOWEST_PRIORITY).rev().find(|&max| fits(&coarsened(max)));
        let max = fitting.unwrap_or(0);
        Self::number(&coarsened(max), max, first)
    }

    /// Numbers the given priorities from `first` on, with `max` as the limit of the route's.
    fn number(all: &BTreeSet<RequestPriority>, max: u8, first: u8) -> Self {
        let rank = |p: RequestPriority| {
            let before = all.range(..p.coarsened(max)).count() as u8;
            (first + before).min(RouteMix::LOWEST_PRIORITY)
        };
        let ranks = std::array::from_fn(|organisation| {
            std::array::from_fn(|route| {
                rank(RequestPriority { organisation: organisation as u8, route: route as u8 })
            })
        });
        let pairs = all.iter().zip(all.iter().skip(1));
        let continuing = pairs.filter(|(a, b)| a.organisation == b.organisation);
        let continued = continuing.fold(0, |bits, (_, &p)| bits | 1 << rank(p));
        Self { ranks, continued }
    }

    /// Returns the rank of a priority; zero is the most urgent.
    #[must_use]
    pub fn rank(&self, p: RequestPriority) -> u8 {
        self.ranks[usize::from(p.organisation)][usize::from(p.route)]
    }

    /// Returns one bit for each rank that has the same first number as the rank before it.
    pub(crate) const fn continued(&self) -> u16 {
        self.continued
    }
}
