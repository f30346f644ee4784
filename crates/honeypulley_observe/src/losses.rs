//! Counts unserved requests, grouped by the decision on their first attempt.
//!
//! The groups show where a fleet loses most requests: by service, by the reason for which
//! the first upstream was selected, and by whether a retry was denied. Each row also shows
//! the load of the first upstream and the probability that it was unhealthy, as the request's
//! box estimated them at the selection.

use crate::explain::Line;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Outcome of a request, as its box recorded it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum End {
    /// No outcome was logged: the caller disconnected or the box stopped.
    #[default]
    None,
    /// An upstream answered without a failure.
    Served,
    /// An upstream answered with a failure.
    Failed,
    /// The box answered that the request was not run.
    Refused,
    /// The box answered that the request may have been run.
    Unknown,
}

/// Properties by which requests are grouped.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Class {
    /// Name of the service.
    pub service: String,
    /// Whether a retry or hedge to a second upstream was allowed.
    pub resendable: bool,
    /// Reason for which the first upstream was selected.
    pub reason: String,
    /// Number of attempts sent.
    pub sends: usize,
    /// Whether the retry budget denied a retry.
    pub denied: bool,
    /// Outcome.
    pub end: End,
}

/// Statistics of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Properties that the requests share.
    #[serde(flatten)]
    pub class: Class,
    /// Number of requests.
    pub requests: usize,
    /// Median estimated probability that the first upstream was unhealthy when selected.
    pub sick: f64,
    /// Median known number of requests in flight at the first upstream when selected.
    pub busy: f64,
    /// Median time from the first attempt to an upstream's answer, in ms.
    ///
    /// Requests without such an answer count as zero.
    pub took_ms: u64,
}

/// What the log lines of one request record.
#[derive(Clone, Debug, Default)]
struct Trace {
    class: Class,
    sick: f64,
    busy: f64,
    took_ms: u64,
}

/// Counts the requests in log lines by class, the largest class first.
pub fn count<'a>(text: impl Iterator<Item = &'a str>) -> Vec<Row> {
    let mut traces: HashMap<String, Trace> = HashMap::new();
    for line in text.filter(|l| l.contains("request=")).filter_map(Line::read) {
        let trace = traces.entry(line.field("request").to_owned()).or_default();
        trace.record(&line);
    }
    let mut by_class: BTreeMap<Class, Vec<Trace>> = BTreeMap::new();
    for trace in traces.into_values() {
        by_class.entry(trace.class.clone()).or_default().push(trace);
    }
    let mut rows: Vec<Row> = by_class.into_iter().map(|(class, all)| row(class, &all)).collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.requests));
    rows
}

fn row(class: Class, all: &[Trace]) -> Row {
    let median = |of: fn(&Trace) -> f64| {
        let mut values: Vec<f64> = all.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    Row {
        class,
        requests: all.len(),
        sick: median(|t| t.sick),
        busy: median(|t| t.busy),
        took_ms: median(|t| t.took_ms as f64) as u64,
    }
}

impl Trace {
    fn record(&mut self, line: &Line) {
        let message = line.message.as_str();
        if message.starts_with("route:") && message.contains(" sent to ") {
            self.record_send(line);
        } else if message.contains("the retry budget is spent") {
            self.class.denied = true;
        } else if message.starts_with("route: answered") {
            let is_failure = numeric_field(line, "status") >= 500.0;
            self.class.end = if is_failure { End::Failed } else { End::Served };
            self.took_ms = numeric_field(line, "took_ms") as u64;
        } else if message.starts_with("route: own answer") {
            let not_run = line.field("outcome") == "NotRun";
            self.class.end = if not_run { End::Refused } else { End::Unknown };
        }
    }

    fn record_send(&mut self, line: &Line) {
        if self.class.sends == 0 {
            self.class.service = line.field("service").to_owned();
            self.class.reason = line.field("reason").to_owned();
            let attempts = numeric_field(line, "attempts");
            self.class.resendable = line.field("repeatable") == "true" && attempts > 1.0;
            self.sick = numeric_field(line, "sick");
            self.busy = numeric_field(line, "busy");
        }
        self.class.sends += 1;
    }
}

/// Parses a numeric field; returns zero if it is missing or malformed.
///
/// Requests that were never sent lack these fields.
fn numeric_field(line: &Line, name: &str) -> f64 {
    line.field(name).parse().unwrap_or_default()
}

/// Formats a summary line, and a table of the classes that were not served.
#[must_use]
pub fn page(rows: &[Row]) -> String {
    let all: usize = rows.iter().map(|r| r.requests).sum();
    let lost: Vec<&Row> = rows.iter().filter(|r| r.class.end != End::Served).collect();
    let sum: usize = lost.iter().map(|r| r.requests).sum();
    let mut text = format!(
        "{all} requests, {sum} not served\n\
         requests  service          resend  reason      sends  denied  end      sick  busy  took_ms\n"
    );
    for r in lost {
        let c = &r.class;
        text.push_str(&format!(
            "{:>8}  {:<15}  {:<6}  {:<10}  {:>5}  {:<6}  {:<7}  {:.2}  {:>4.1}  {:>7}\n",
            r.requests,
            c.service,
            c.resendable,
            c.reason,
            c.sends,
            c.denied,
            format!("{:?}", c.end),
            r.sick,
            r.busy,
            r.took_ms
        ));
    }
    text
}
