//! How long answers are, as learnt from those that came.

use crate::collector::NameId;
use std::collections::BTreeMap;

/// Bytes assumed of a large answer, and of another, before one of its route came.
///
/// The deployments' sheets have 90 kB for downloads and 0.4 to 5 kB for the others.
const ASSUMED_BULKY: f64 = 90_000.0;
const ASSUMED: f64 = 2_000.0;
/// Part of a new answer in the mean: the last twenty answers or so count.
const GAIN: f64 = 0.05;
/// Routes whose lengths are kept; of further ones the assumed length holds.
const MOST_ROUTES: usize = 4_096;

/// Mean lengths of answers by route.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerSizes(BTreeMap<NameId, f64>);

impl AnswerSizes {
    /// Records the length of one answer.
    pub(super) fn add(&mut self, route: NameId, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.0.get_mut(&route) {
            *mean += (bytes - *mean) * GAIN;
        } else if self.0.len() < MOST_ROUTES {
            self.0.insert(route, bytes);
        }
    }

    /// Returns the length to expect.
    pub(super) fn expected(&self, route: NameId, bulky: bool) -> f64 {
        let assumed = if bulky { ASSUMED_BULKY } else { ASSUMED };
        self.0.get(&route).copied().unwrap_or(assumed)
    }
}
