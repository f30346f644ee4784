//! Positions in the change feed of the platform's store.

use std::fmt;

/// A position in the store's change feed.
///
/// The store numbers its changes. After a restore from a backup it continues from an earlier
/// number, so numbers are comparable within one epoch only. Positions are ordered by epoch first.
///
/// A position indicates where to continue reading and how complete a copy is. It does not
/// indicate which of two contents is newer: this is defined by the order of their writer, which
/// a restore does not affect.
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
    /// Number of restores, as counted by the store.
    pub epoch: u64,
    /// Number of the change within its epoch.
    pub number: u64,
}

impl Revision {
    /// The position before every change of every epoch.
    pub const ZERO: Self = Self { epoch: 0, number: 0 };

    /// Creates a position.
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
