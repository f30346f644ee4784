//! Which box learned of which departure, and how long after the first one.
//!
//! It distinguishes a box that never learned of it from a late one, for every upstream that
//! left. Times are those of the boxes' clocks, which may differ by some milliseconds.

use crate::explain::Line;
use jiff::Timestamp;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How one departure got round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Departure {
    /// Upstream that left.
    pub upstream: String,
    /// Time of day at which the first box learned of it.
    pub at: String,
    /// Box that learned of it first, and its source.
    pub first: (String, String),
    /// Boxes that learned of it.
    pub heard: usize,
    /// Time from the first box to the middle one, in ms.
    pub middle_ms: i64,
    /// Time from the first box to the last one, in ms.
    pub last_ms: i64,
    /// Box that learned of it last, and its source.
    pub last: (String, String),
    /// Boxes that held the upstream for live and have no line that it left.
    pub never: Vec<String>,
}

/// One box's word on one upstream.
#[derive(Clone, Debug)]
struct Word {
    at: Timestamp,
    at_text: String,
    origin: String,
    from: String,
}

/// What the boxes logged of one upstream.
#[derive(Clone, Debug, Default)]
struct Words {
    live: BTreeSet<String>,
    left: BTreeMap<String, Word>,
}

/// Reads every departure in log lines, the slowest first.
pub fn read<'a>(text: impl Iterator<Item = &'a str>) -> Vec<Departure> {
    let mut upstreams: BTreeMap<String, Words> = BTreeMap::new();
    for line in text.filter(|l| l.contains("list: ")).filter_map(Line::read) {
        let name = line.field("upstream");
        if !name.is_empty() {
            upstreams.entry(name.to_owned()).or_default().take(&line);
        }
    }
    let mut found: Vec<Departure> =
        upstreams.into_iter().filter_map(|(name, words)| words.sum_up(name)).collect();
    found.sort_by_key(|d| std::cmp::Reverse((d.never.len(), d.last_ms)));
    found
}

impl Words {
    fn take(&mut self, line: &Line) {
        let origin = line.origin.clone();
        match line.field("state") {
            "Leaving" | "Gone" => {}
            "Live" => {
                self.live.insert(origin);
                return;
            }
            // The end of the line is missing: the box was killed as it wrote.
            _ => return,
        }
        let Ok(at) = line.at.parse::<Timestamp>() else { return };
        let word = Word {
            at,
            at_text: line.at.clone(),
            origin: origin.clone(),
            from: line.field("from").to_owned(),
        };
        // The first line counts: an upstream leaves, and then its entry goes.
        let known = self.left.entry(origin).or_insert_with(|| word.clone());
        if word.at < known.at {
            *known = word;
        }
    }

    fn sum_up(self, upstream: String) -> Option<Departure> {
        let never = self.live.iter().filter(|b| !self.left.contains_key(*b)).cloned().collect();
        let mut words: Vec<Word> = self.left.into_values().collect();
        words.sort_by_key(|w| w.at);
        let (first, last) = (words.first()?, words.last()?);
        let after = |w: &Word| w.at.duration_since(first.at).as_millis() as i64;
        Some(Departure {
            upstream,
            at: first.at_text.clone(),
            first: (first.origin.clone(), first.from.clone()),
            heard: words.len(),
            middle_ms: after(&words[words.len() / 2]),
            last_ms: after(last),
            last: (last.origin.clone(), last.from.clone()),
            never,
        })
    }
}

/// Returns a table of departures, as they are ordered.
#[must_use]
pub fn page(all: &[Departure]) -> String {
    let late = all.iter().map(|d| d.last_ms).max().unwrap_or(0);
    let never = all.iter().filter(|d| !d.never.is_empty()).count();
    let mut text = format!(
        "{} departures, the slowest to the last box after {late} ms; {never} not heard by every box\n\
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
