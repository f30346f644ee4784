//! Admission levels of the services, as the serving thread last saw them, for operators.

use honeypulley_policy::balance::AdmissionState;
use honeypulley_policy::time::Time;
use std::collections::BTreeMap;

/// Latest admission state of each service whose routes differ in priority.
#[derive(Debug, Default)]
pub struct AdmissionView(BTreeMap<String, (AdmissionState, Time)>);

impl AdmissionView {
    /// Records the state of a service at `now`.
    pub fn record(&mut self, service: &str, state: AdmissionState, now: Time) {
        if let Some(entry) = self.0.get_mut(service) {
            *entry = (state, now);
        } else {
            self.0.insert(service.to_owned(), (state, now));
        }
    }

    /// Keeps only the services for which `is_listed` returns true.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|service, _| is_listed(service));
    }

    /// Returns the states at `now`; a level that has expired since then is zero.
    #[must_use]
    pub fn to_json(&self, now: Time) -> serde_json::Value {
        let row = |(service, (state, at)): (&String, &(AdmissionState, Time))| {
            let state = state.aged(now.since(*at));
            let row = serde_json::json!({
                "level": state.level,
                "pressure": (state.pressure * 100.0).round() / 100.0,
                "age_ms": state.age.as_millis() as u64,
            });
            (service.clone(), row)
        };
        self.0.iter().map(row).collect::<serde_json::Map<_, _>>().into()
    }
}
