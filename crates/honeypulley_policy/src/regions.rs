//! Regions of data halls, and the sets of regions to which requests are restricted.

use std::collections::BTreeMap;

/// Maximum number of regions of a fleet.
const MAX_REGIONS: usize = 64;

/// A set of regions of one fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Returns whether the two sets have a region in common.
    #[must_use]
    pub const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns the regions that are in both sets.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }
}

/// Error in the names of regions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegionError {
    /// A name is none of the fleet's regions.
    #[error("region '{0}' is not known")]
    Unknown(String),
    /// A request may be served in no region.
    #[error("the list of regions is empty")]
    Empty,
    /// The fleet has too many regions.
    #[error("{0} regions, expected at most {MAX_REGIONS}")]
    TooMany(usize),
}

/// The regions of a fleet and their data halls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: BTreeMap<String, RegionSet>,
    halls: BTreeMap<String, RegionSet>,
}

impl RegionMap {
    /// Creates a map from data halls to the names of their regions.
    ///
    /// # Errors
    /// Returns an error if there are more than 64 regions.
    pub fn new(halls: &BTreeMap<String, String>) -> Result<Self, RegionError> {
        let mut map = Self::default();
        for (hall, region) in halls {
            let next = RegionSet(1u64.checked_shl(map.regions.len() as u32).unwrap_or(0));
            let set = *map.regions.entry(region.clone()).or_insert(next);
            map.halls.insert(hall.clone(), set);
        }
        if map.regions.len() > MAX_REGIONS {
            return Err(RegionError::TooMany(map.regions.len()));
        }
        Ok(map)
    }

    /// Returns the region of a data hall; the set is empty if the hall is unknown.
    #[must_use]
    pub fn of_hall(&self, hall: &str) -> RegionSet {
        self.halls.get(hall).copied().unwrap_or_default()
    }

    /// Returns the set of the regions with these names.
    ///
    /// # Errors
    /// Returns an error if there are no names, or if one is unknown.
    pub fn set(&self, names: &[String]) -> Result<RegionSet, RegionError> {
        if names.is_empty() {
            return Err(RegionError::Empty);
        }
        names.iter().try_fold(RegionSet::default(), |all, name| {
            let found = self.regions.get(name);
            let one = found.ok_or_else(|| RegionError::Unknown(name.clone()))?;
            Ok(RegionSet(all.0 | one.0))
        })
    }
}
