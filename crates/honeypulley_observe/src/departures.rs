//! Reports how the departure of an upstream spread over the boxes, from their logs.
//!
//! For every upstream that left, the report distinguishes boxes that learned of the departure
//! late from boxes that never did. Times come from the clocks of the boxes, which may differ by
//! some milliseconds.

use crate::explain::Line;
use jiff::Timestamp;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How the departure of one upstream spread over the boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Departure {
    /// Name of the upstream that left.
    pub upstream: String,
    /// Timestamp at which the first box learned of the departure.
    pub at: String,
    /// Box that learned of the departure first, and the source of its update.
    pub first: (String, String),
    /// Number of boxes that learned of the departure.
    pub heard: usize,
    /// Median delay of the boxes after the first one, in ms.
    pub middle_ms: i64,
    /// Delay of the last box after the first one, in ms.
    pub last_ms: i64,
    /// Box that learned of the departure last, and the source of its update.
    pub last: (String, String),
    /// Boxes that logged the upstream as live but never that it left.
    pub never: Vec<String>,
}

/// Log line in which one box records that an upstream left.
#[derive(Clone, Debug)]
struct Sighting {
    at: Timestamp,
    at_text: String,
    origin: String,
    from: String,
}

/// What all boxes logged about one upstream.
#[derive(Clone, Debug, Default)]
struct History {
    live: BTreeSet<String>,
    departed: BTreeMap<String, Sighting>,
}

/// Extracts all departures from log lines, the slowest first.
///
/// Departures of which more boxes never learned come before all others.
pub fn read<'a>(text: impl Iterator<Item = &'a str>) -> Vec<Departure> {
    let mut upstreams: BTreeMap<String, History> = BTreeMap::new();
    for line in text.filter(|l| l.contains("list: ")).filter_map(Line::read) {
        let name = line.field("upstream");
        if !name.is_empty() {
            upstreams.entry(name.to_owned()).or_default().record(&line);
        }
    }
    let mut found: Vec<Departure> =
        upstreams.into_iter().filter_map(|(name, history)| history.summarize(name)).collect();
    found.sort_by_key(|d| std::cmp::Reverse((d.never.len(), d.last_ms)));
    found
}

impl History {
    fn record(&mut self, line: &Line) {
        let origin = line.origin.clone();
        match line.field("state") {
            "Leaving" | "Gone" => {}
            "Live" => {
                self.live.insert(origin);
                return;
            }
            // The line is truncated, since the box was killed while writing it.
            _ => return,
        }
        let Ok(at) = line.at.parse::<Timestamp>() else { return };
        let sighting = Sighting {
            at,
            at_text: line.at.clone(),
            origin: origin.clone(),
            from: line.field("from").to_owned(),
        };
        // A box may log `Leaving` and later `Gone`; the earlier line counts.
        let known = self.departed.entry(origin).or_insert_with(|| sighting.clone());
        if sighting.at < known.at {
            *known = sighting;
        }
    }

    fn summarize(self, upstream: String) -> Option<Departure> {
        let never = self.live.iter().filter(|b| !self.departed.contains_key(*b)).cloned().collect();
        let mut sightings: Vec<Sighting> = self.departed.into_values().collect();
        sightings.sort_by_key(|s| s.at);
        let (first, last) = (sightings.first()?, sightings.last()?);
        let delay_ms = |s: &Sighting| s.at.duration_since(first.at).as_millis() as i64;
        Some(Departure {
            upstream,
            at: first.at_text.clone(),
            first: (first.origin.clone(), first.from.clone()),
            heard: sightings.len(),
            middle_ms: delay_ms(&sightings[sightings.len() / 2]),
            last_ms: delay_ms(last),
            last: (last.origin.clone(), last.from.clone()),
            never,
        })
    }
}

/// Formats departures as a table, in the given order.
#[must_use]
pub fn page(all: &[Departure]) -> String {
    let slowest = all.iter().map(|d| d.last_ms).max().unwrap_or(0);
    let never = all.iter().filter(|d| !d.never.is_empty()).count();
    let mut text = format!(
        "{} departures, the slowest to the last box after {slowest} ms; {never} not heard by every box\n\
         upstream          heard  middle_ms  last_ms  last box, by whose word, boxes that never heard\n",
        all.len()
    );
    for d in all {
        let (last, from) = &d.last;
        let never = d.never.join(" ");
        text.push_str(&format!(
            "{:<16}  {:>5}  {:>9}  {:>7}  {last} from {from} {never}\n",
            d.upstream, d.heard, d.middle_ms, d.last_ms
        ));
    }
    text
}
