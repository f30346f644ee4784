//! Answer sizes, averaged by route.

use crate::collector::NameId;
use std::collections::BTreeMap;

/// Bytes assumed for a large and for any other answer, without samples.
///
/// The traffic profiles of the deployments have 90 kB for downloads and 0.4 to 5 kB for others.
const PRIOR_LARGE: f64 = 90_000.0;
const PRIOR_OTHER: f64 = 2_000.0;
/// Weight of a new sample in the moving average, which covers about twenty answers.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of routes with an average; the assumed size is used for any others.
const MAX_ROUTES: usize = 4_096;

/// Moving averages of answer sizes by route.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerSizes(BTreeMap<NameId, f64>);

impl AnswerSizes {
    /// Records the size of one answer.
    pub(super) fn add(&mut self, route: NameId, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(mean) = self.0.get_mut(&route) {
            *mean += (bytes - *mean) * SAMPLE_WEIGHT;
        } else if self.0.len() < MAX_ROUTES {
            self.0.insert(route, bytes);
        }
    }

    /// Returns the expected size.
    pub(super) fn expected(&self, route: NameId, large_transfer: bool) -> f64 {
        let prior = if large_transfer { PRIOR_LARGE } else { PRIOR_OTHER };
        self.0.get(&route).copied().unwrap_or(prior)
    }
}
