//! Data halls that the operator has evacuated, as known to one box.

use honeypulley_platform::api::Changes;
use honeypulley_policy::revision::Revision;
use std::collections::BTreeSet;

/// The evacuated data halls, as known to one box.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Revision as of which the set is complete; `None` if nothing is known.
    pub(crate) upto: Option<Revision>,
    pub(crate) halls: BTreeSet<String>,
    /// Whether the serving thread has yet to apply the set.
    pub(crate) pending: bool,
}

impl Evacuations {
    /// Replaces the set if it is of a higher revision; returns whether its halls changed.
    pub fn apply(&mut self, upto: Revision, halls: BTreeSet<String>) -> bool {
        let is_first = self.upto.is_none();
        if self.upto >= Some(upto) {
            return false;
        }
        self.upto = Some(upto);
        let is_changed = self.halls != halls;
        self.halls = halls;
        self.pending |= is_changed || is_first;
        is_changed
    }

    /// Returns the set after changes that a watch has returned.
    pub(crate) fn with_changes(&self, prefix: &str, c: &Changes) -> BTreeSet<String> {
        let mut halls = self.halls.clone();
        for r in &c.removed {
            halls.remove(hall_name(prefix, &r.key));
        }
        halls.extend(c.objects.iter().map(|o| hall_name(prefix, &o.key).to_owned()));
        halls
    }
}

/// Returns the data hall that an object names.
pub(crate) fn hall_name<'a>(prefix: &str, key: &'a str) -> &'a str {
    key.strip_prefix(prefix).unwrap_or(key)
}
