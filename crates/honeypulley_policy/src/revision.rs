//! Positions in the change feed of the platform's store.

use std::fmt;

/// A position in the store's change feed.
///
/// The store numbers its changes. Restored from a backup, it numbers on from an earlier point, so
/// that a number says something within its epoch alone. Positions order by epoch first.
///
/// A position tells where to read on and how complete a copy is. It does not tell which of two
/// contents is newer: that is the order of their writer, which outlives a restore.
///
/// ```
/// use honeypulley_policy::revision::Revision;
///
/// let lost = Revision { epoch: 1, number: 87 };
/// let restored = Revision { epoch: 2, number: 85 };
/// assert!(restored > lost);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// How often the store was restored, as it counts.
    pub epoch: u64,
    /// Number of the change within its epoch.
    pub number: u64,
}

impl Revision {
    /// The position before every change of every epoch.
    pub const ZERO: Self = Self { epoch: 0, number: 0 };

    /// Builds a position.
    #[must_use]
    pub const fn new(epoch: u64, number: u64) -> Self {
        Self { epoch, number }
    }

    /// Returns whether this is the position before every change.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.epoch == 0 && self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}
