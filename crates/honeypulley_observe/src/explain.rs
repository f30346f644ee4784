//! Explains requests and upstreams from the logs of many boxes.

mod ends;

use serde::Serialize;
use std::collections::BTreeMap;

/// Value of a field that a line has no value for.
const NO_VALUE: &str = "<none>";

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Timestamp, as written.
    pub at: String,
    /// Box that wrote the line, empty if unknown.
    pub origin: String,
    /// Message text.
    pub message: String,
    /// Remaining fields by key.
    pub fields: BTreeMap<String, String>,
}

/// Matching log lines and the conclusion drawn from them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Conclusion in one sentence.
    pub verdict: String,
    /// Matching lines, oldest first.
    pub lines: Vec<Line>,
}

impl Line {
    /// Parses a line in logfmt; returns `None` if it has no message.
    ///
    /// Text before the first field, such as the prefix of a log collector, is ignored.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let mut fields = parse_fields(text);
        let message = fields.remove("message")?;
        let at = fields.remove("timestamp").unwrap_or_default();
        let origin = fields.remove("box").unwrap_or_default();
        for omitted in ["level", "module", "position"] {
            fields.remove(omitted);
        }
        fields.retain(|_, v| v != NO_VALUE);
        Some(Self { at, origin, message, fields })
    }

    /// Returns the value of a field, empty if the line has no such field.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Formats the line for display.
    #[must_use]
    pub fn text(&self) -> String {
        let mut s = format!("{} {} {}", self.at, self.origin, self.message);
        for (k, v) in self.fields.iter().filter(|(k, _)| *k != "request") {
            s.push_str(&format!(" {k}={v}"));
        }
        s
    }
}

/// Parses `key=value` pairs; values may be quoted.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(char::is_whitespace).next().unwrap_or(before).to_owned();
        let (value, remaining) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let (v, remaining) = after.split_once(char::is_whitespace).unwrap_or((after, ""));
                (v.to_owned(), remaining)
            }
        };
        found.insert(key, value);
        rest = remaining;
    }
    found
}

fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return (value, &text[i + 1..]),
            '\\' => value.extend(chars.next().map(|(_, c)| c)),
            other => value.push(other),
        }
    }
    (value, "")
}

/// Explains what decided a request; returns `None` if no line has its id.
#[must_use]
pub fn request<'a>(id: &str, text: impl Iterator<Item = &'a str>) -> Option<Explanation> {
    let matching = text.filter(|l| l.contains(id)).filter_map(Line::read);
    let mut lines: Vec<Line> = matching.filter(|l| l.field("request") == id).collect();
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let verdict = request_verdict(&lines)?;
    Some(Explanation { verdict, lines })
}

/// Explains an upstream's state over time; returns `None` if no line names it.
#[must_use]
pub fn upstream<'a>(name: &str, text: impl Iterator<Item = &'a str>) -> Option<Explanation> {
    let matching = text.filter(|l| l.contains(name)).filter_map(Line::read);
    let is_relevant =
        |l: &Line| ["list:", "news:", "attempt:"].iter().any(|p| l.message.starts_with(p));
    let mut lines: Vec<Line> =
        matching.filter(|l| l.field("upstream") == name && is_relevant(l)).collect();
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let last = lines.last()?;
    let listed = lines.iter().rev().find(|l| l.message.starts_with("list:"));
    let state = listed.map_or("not listed", |l| l.field("state"));
    let failed = lines.iter().filter(|l| l.message.starts_with("attempt:")).count();
    let updates = lines.iter().filter(|l| l.message.starts_with("news:")).count();
    let verdict = format!(
        "{name} was last listed as {state}; {failed} attempts failed on it and boxes heard {updates} times of trouble; the last line is of {}",
        last.at
    );
    Some(Explanation { verdict, lines })
}

fn request_verdict(lines: &[Line]) -> Option<String> {
    lines.first()?;
    let sent = lines.iter().filter(|l| l.message.contains(" sent to ")).count();
    let failed: Vec<&Line> = lines.iter().filter(|l| l.message.starts_with("attempt:")).collect();
    let upstream = last_upstream(lines);
    let Some(end) = ends::find_end(lines) else {
        return Some(format!(
            "sent {sent} times, last to {upstream}; no end is on record: the caller left, the box ended, or the line was left out"
        ));
    };
    if let Some(verdict) = ends::unanswered(end) {
        return Some(verdict);
    }
    let status = end.field("status");
    if end.message.starts_with("route: answered") {
        let took = end.field("took_ms");
        let retried = if failed.is_empty() { "" } else { ", after another attempt failed" };
        let phrase = if status.starts_with('2') { "answered" } else { "failed it:" };
        let relayed = relay_phrase(lines);
        return Some(format!(
            "{upstream} {phrase} with {status} after {took} ms{retried}{relayed}"
        ));
    }
    let why = end.message.trim_start_matches("route: own answer, ");
    let execution = match end.field("outcome") {
        "NotRun" => "it was not run",
        _ => "it may have been run, and is not sent again",
    };
    let wait = end.field("retry_after_ms");
    let advice = if wait.is_empty() {
        String::new()
    } else {
        format!("; the caller was told to come back after {wait} ms")
    };
    let advice = format!("{}{advice}", denied_phrase(lines));
    let attempt = failed.last().map(|l| format!(" ({})", l.message));
    let cause = stop_cause(lines).or(attempt).unwrap_or_default();
    let given_up = ends::given_up_phrase(lines);
    let rank = format!("{}{}", rank_phrase(lines, end), reserve_phrase(lines));
    Some(format!("answered {status} by the box: {why}{cause}{given_up}{rank}; {execution}{advice}"))
}

/// Returns how the admission by priority decided, or nothing if it did not.
///
/// An attempt that it stopped does not explain the answer to a request that may have run.
fn rank_phrase(lines: &[Line], end: &Line) -> String {
    let is_decisive = end.field("outcome") == "NotRun";
    let mut latest = lines.iter().rev().filter(|_| is_decisive);
    let outranked = latest.find(|l| !l.field("admission_level").is_empty());
    outranked.map_or_else(String::new, |l| {
        format!(
            " (its priority is {}, the admission level was {} thousandths as of {} ms before, and the wait was {} times what requests of lower priority may meet)",
            l.field("priority"),
            l.field("admission_level"),
            l.field("level_age_ms"),
            l.field("pressure")
        )
    })
}

/// Returns why the request was not sent again, or nothing if the retry budget did not decide.
///
/// A request whose hedge was denied may have been sent again after its first attempt failed.
fn denied_phrase(lines: &[Line]) -> String {
    let is_send = |l: &Line| l.message.starts_with("route:") && l.message.contains(" sent to ");
    let mut since_sent = lines.iter().rev().take_while(|l| !is_send(l));
    let denied = since_sent.find(|l| l.message.starts_with("route: not sent again"));
    let Some(denied) = denied else { return String::new() };
    let priority = denied.field("priority");
    let rank = if priority.is_empty() { String::new() } else { format!(" at priority {priority}") };
    format!("; the retry budget allowed no further attempt{rank}")
}

/// Returns how the request went through another box, or nothing if it did not.
fn relay_phrase(lines: &[Line]) -> String {
    let relayed = lines.iter().rev().find(|l| l.message.contains(" relayed through "));
    relayed.map_or_else(String::new, |l| {
        format!(
            ", through the box at {}, since connections from {} failed",
            l.field("peer"),
            l.origin
        )
    })
}

/// Returns the times that decided that a stopping box rejects the request, if it did.
fn stop_cause(lines: &[Line]) -> Option<String> {
    let refused =
        lines.iter().rev().find(|l| l.message.starts_with("route: refused, the box stops"))?;
    let limit = match refused.field("limit_ms") {
        "" => "the request had no time limit".to_owned(),
        ms => format!("the request might have taken {ms} ms"),
    };
    Some(format!(" (it was to end within {} ms, and {limit})", refused.field("left_ms")))
}

/// Returns what was reserved for more urgent requests, if that is why the request was refused.
fn reserve_phrase(lines: &[Line]) -> String {
    let refused = lines.iter().rev().find(|l| !l.field("reserved").is_empty());
    refused.map_or_else(String::new, |l| {
        format!(
            ", as {} requests of the limit were reserved for priorities above its own ({})",
            l.field("reserved"),
            l.field("priority")
        )
    })
}

fn last_upstream(lines: &[Line]) -> &str {
    let named = lines.iter().rev().find(|l| l.message.contains(" sent to "));
    named.map_or("no upstream", |l| l.field("upstream"))
}
