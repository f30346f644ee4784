//! Which requests were lost, by what decided their first send.
//!
//! It answers where a fleet loses most: by kind, by the reason of the first choice, by
//! what was believed of the upstream then, and by whether a retry was denied.

use crate::explain::Line;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// How a request ended, as its box saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum End {
    /// No end is on record: its caller left, or the box ended.
    #[default]
    None,
    /// An upstream's answer that is no failure.
    Served,
    /// An upstream's own failure.
    Failed,
    /// Our answer that it was not run.
    Refused,
    /// Our answer that nothing is known of it.
    Unknown,
}

/// Which requests are counted together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Class {
    /// Service.
    pub service: String,
    /// Whether it might be sent to a second upstream.
    pub resendable: bool,
    /// Reason of the first choice.
    pub reason: String,
    /// Upstreams that it was sent to.
    pub sends: usize,
    /// Whether a further send was denied by the retry budget.
    pub denied: bool,
    /// How it ended.
    pub end: End,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Class.
    #[serde(flatten)]
    pub class: Class,
    /// How many.
    pub requests: usize,
    /// Middle of the chance of sickness that was believed at the first choice.
    pub sick: f64,
    /// Middle of the requests known to be at the upstream at the first choice.
    pub busy: f64,
    /// Middle of the time from the first send to the end, in ms.
    pub took_ms: u64,
}

/// What the lines of one request say.
#[derive(Clone, Debug, Default)]
struct Walk {
    class: Class,
    sick: f64,
    busy: f64,
    took_ms: u64,
}

/// Counts the requests in log lines, by class, the largest first.
pub fn count<'a>(text: impl Iterator<Item = &'a str>) -> Vec<Row> {
    let mut walks: HashMap<String, Walk> = HashMap::new();
    for line in text.filter(|l| l.contains("request=")).filter_map(Line::read) {
        let walk = walks.entry(line.field("request").to_owned()).or_default();
        walk.take(&line);
    }
    let mut by_class: BTreeMap<Class, Vec<Walk>> = BTreeMap::new();
    for walk in walks.into_values() {
        by_class.entry(walk.class.clone()).or_default().push(walk);
    }
    let mut rows: Vec<Row> = by_class.into_iter().map(|(class, all)| row(class, &all)).collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.requests));
    rows
}

fn row(class: Class, all: &[Walk]) -> Row {
    let middle = |of: fn(&Walk) -> f64| {
        let mut values: Vec<f64> = all.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    Row {
        class,
        requests: all.len(),
        sick: middle(|w| w.sick),
        busy: middle(|w| w.busy),
        took_ms: middle(|w| w.took_ms as f64) as u64,
    }
}

impl Walk {
    fn take(&mut self, line: &Line) {
        let message = line.message.as_str();
        if message.starts_with("route:") && message.contains(" sent to ") {
            self.sent(line);
        } else if message.contains("the retry budget is spent") {
            self.class.denied = true;
        } else if message.starts_with("route: answered") {
            let is_failure = number(line, "status") >= 500.0;
            self.class.end = if is_failure { End::Failed } else { End::Served };
            self.took_ms = number(line, "took_ms") as u64;
        } else if message.starts_with("route: own answer") {
            let not_run = line.field("outcome") == "NotRun";
            self.class.end = if not_run { End::Refused } else { End::Unknown };
        }
    }

    fn sent(&mut self, line: &Line) {
        if self.class.sends == 0 {
            self.class.service = line.field("service").to_owned();
            self.class.reason = line.field("reason").to_owned();
            let attempts = number(line, "attempts");
            self.class.resendable = line.field("repeatable") == "true" && attempts > 1.0;
            self.sick = number(line, "sick");
            self.busy = number(line, "busy");
        }
        self.class.sends += 1;
    }
}

/// Returns a field as a number; zero where the line has none, as for unsent requests.
fn number(line: &Line, name: &str) -> f64 {
    line.field(name).parse().unwrap_or_default()
}

/// Returns a table of what was not served, and one line on all requests.
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
