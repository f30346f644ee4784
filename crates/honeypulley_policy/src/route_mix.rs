//! Priorities and kinds of the routes that share a service.

use crate::ranks::PriorityRanks;

/// Priorities and kinds of the routes that lead to one service.
///
/// Scheduling by priority and placement by hazard apply only where routes differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteMix {
    /// One bit for each priority that occurs.
    priorities: u16,
    repeatable: bool,
    unrepeatable: bool,
    /// One bit for each rank that has the same first number as the rank before it.
    continued: u16,
}

impl RouteMix {
    /// Lowest priority that a route or an organisation may have.
    pub const LOWEST_PRIORITY: u8 = 15;

    /// Adds a route of the service.
    ///
    /// # Panics
    /// Panics if the priority is above [`Self::LOWEST_PRIORITY`].
    pub fn add(&mut self, priority: u8, is_repeatable: bool) {
        assert!(priority <= Self::LOWEST_PRIORITY, "priorities are checked with the table");
        self.priorities |= 1 << priority;
        self.repeatable |= is_repeatable;
        self.unrepeatable |= !is_repeatable;
    }

    /// Sets the ranks of the table's priorities.
    pub const fn set_ranks(&mut self, ranks: &PriorityRanks) {
        self.continued = ranks.continued();
    }

    /// Returns whether the requests of two ranks differ in the priority of the route alone.
    ///
    /// `less` is the less urgent rank. Ranks are priorities unless organisations have their own.
    #[must_use]
    pub fn differ_by_route(self, more: u8, less: u8) -> bool {
        (more + 1..=less).all(|rank| self.continued & 1 << rank != 0)
    }

    /// Returns whether routes of different priorities share the service.
    #[must_use]
    pub const fn is_ranked(self) -> bool {
        self.priorities.count_ones() > 1
    }

    /// Returns whether no route is more urgent than `priority`.
    #[must_use]
    pub const fn is_most_urgent(self, priority: u8) -> bool {
        priority as u32 <= self.priorities.trailing_zeros()
    }

    /// Returns whether repeatable and unrepeatable requests share the service.
    #[must_use]
    pub const fn is_mixed(self) -> bool {
        self.repeatable && self.unrepeatable
    }

    /// Returns whether a route of the highest priority leads to the service.
    #[must_use]
    pub const fn has_highest(self) -> bool {
        self.priorities & 1 != 0
    }
}
