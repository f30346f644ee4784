//! Priorities and kinds of the routes that share a service.

/// Priorities and kinds of the routes that lead to one service.
///
/// Scheduling by priority and placement by hazard apply only where routes differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteMix {
    /// One bit for each priority that occurs.
    priorities: u16,
    repeatable: bool,
    unrepeatable: bool,
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
