//! How a request ended, in particular without a whole answer.

use super::Line;

/// Beginnings of the lines that tell the end of a request.
const ENDS: [&str; 5] = [
    "route: answered",
    "route: own answer",
    "route: connection closed",
    "route: answer broke off",
    "stop: request open at the end",
];

/// Returns the line that tells the end of a request at the box that its caller was connected to.
pub(super) fn find_end(lines: &[Line]) -> Option<&Line> {
    let is_end = |l: &&Line| ENDS.iter().any(|e| l.message.starts_with(e));
    let relaying = lines.iter().find(|l| l.message.contains(" relayed through "));
    let at_caller = |l: &&Line| relaying.is_none_or(|r| l.origin == r.origin);
    let mut newest = lines.iter().rev().filter(is_end);
    newest.clone().find(at_caller).or_else(|| newest.next())
}

/// Returns the verdict on a request that got no whole answer, or nothing if it got one.
pub(super) fn unanswered(end: &Line) -> Option<String> {
    let is = |text: &str| end.message.starts_with(text);
    let to = recipient(end);
    let what = match &to {
        _ if is("route: connection closed before") => {
            "the connection was closed before an answer".to_owned()
        }
        Some(to) if is("route: connection closed within") => {
            format!("the connection was closed within the answer of {to}")
        }
        Some(to) if is("route: answer broke off") => {
            let why = end.message.split_once(", ").map_or("", |(_, why)| why);
            format!("the answer of {to} broke off before its end: {why}")
        }
        Some(to) if is("stop: request open") && end.field("answering") == "true" => {
            format!("the process ended within the answer of {to}")
        }
        Some(to) if is("stop: request open") => {
            format!("the process ended while {to} had the request")
        }
        None if is("stop: request open") => {
            "the process ended before the request was sent".to_owned()
        }
        _ => return None,
    };
    Some(format!("{what}{}", times_phrase(end)))
}

/// Returns the times of a request that was given up, or nothing if it was not.
pub(super) fn given_up_phrase(lines: &[Line]) -> String {
    let given_up = lines.iter().rev().find(|l| l.message.starts_with("route: given up"));
    given_up.map_or_else(String::new, times_phrase)
}

/// Returns when a request was received, accepted and sent, as far as its line tells.
fn times_phrase(l: &Line) -> String {
    let is_stopping = l.field("stopping") == "true" || l.message.ends_with("since the box stops");
    let received = some(l, "age_ms").map(|ms| format!("received {ms} ms before"));
    let accepted = match some(l, "after_stop_ms") {
        Some(ms) => Some(format!("accepted {ms} ms after the stop began")),
        None if is_stopping && l.field("accepted_ms").is_empty() => {
            Some("not accepted by then".to_owned())
        }
        None => is_stopping.then(|| "accepted before the stop began".to_owned()),
    };
    let sent = recipient(l).zip(some(l, "sent_ms"));
    let sent = sent.map(|(to, ms)| format!("sent to {to} {ms} ms before"));
    let Some(received) = received else { return String::new() };
    let parts: Vec<String> = [Some(received), accepted, sent].into_iter().flatten().collect();
    format!(" ({})", parts.join(", "))
}

fn some<'a>(l: &'a Line, key: &str) -> Option<&'a str> {
    Some(l.field(key)).filter(|v| !v.is_empty())
}

/// Returns the upstream or box that the newest attempt was sent to.
fn recipient(l: &Line) -> Option<String> {
    let upstream = some(l, "upstream").map(str::to_owned);
    upstream.or_else(|| some(l, "peer").map(|p| format!("the box at {p}")))
}
