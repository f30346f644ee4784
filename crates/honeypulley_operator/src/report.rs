//! Formats the status of the fleet as text and JSON.

use crate::fleet::Answer;
use honeypulley_daemon::status::BoxStatus;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::IsTerminal;

/// Status of the fleet, serialized as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct FleetPage {
    /// Bundle version in the platform's head, if the platform is reachable.
    pub accepted: Option<u64>,
    /// Number of boxes by the version that they have in force.
    pub in_force: BTreeMap<u64, usize>,
    /// Status of the boxes that answered.
    pub boxes: Vec<BoxStatus>,
    /// Errors of the boxes that did not answer, by name.
    pub silent: BTreeMap<String, String>,
}

impl FleetPage {
    /// Aggregates the answers of all boxes.
    #[must_use]
    pub fn new(accepted: Option<u64>, answers: Vec<Answer>) -> Self {
        let mut page = Self {
            accepted,
            in_force: BTreeMap::new(),
            boxes: Vec::new(),
            silent: BTreeMap::new(),
        };
        for a in answers {
            match a.status {
                Ok(s) => {
                    *page.in_force.entry(s.bundle).or_default() += 1;
                    page.boxes.push(s);
                }
                Err(e) => {
                    page.silent.insert(a.entry.name, e);
                }
            }
        }
        page
    }

    /// Formats the status for display.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let accepted =
            self.accepted.map_or("unknown (platform away)".to_owned(), |v| format!("v{v}"));
        let _ = writeln!(text, "accepted: {accepted}");
        for (v, n) in &self.in_force {
            let _ = writeln!(text, "in force: v{v} on {n} boxes");
        }
        for b in &self.boxes {
            let state = if b.not_ready.is_empty() { "ready" } else { b.not_ready.as_str() };
            let relay = if b.relay { ", relay" } else { "" };
            let permits = if b.permits_valid { "" } else { ", permits lapsed" };
            let _ = writeln!(
                text,
                "box {:<10} {:<8} v{} by {}, {} open{relay}{permits}: {}",
                b.name,
                b.hall,
                b.bundle,
                b.signer,
                b.open,
                coloured(state)
            );
        }
        for (name, why) in &self.silent {
            let _ = writeln!(text, "box {name:<10} {}: {why}", coloured("silent"));
        }
        for ((service, upstream), states) in self.upstreams() {
            let counts: Vec<String> =
                states.iter().map(|(s, n)| format!("{} by {n}", coloured(s))).collect();
            let _ = writeln!(text, "upstream {service}/{upstream}: {}", counts.join(", "));
        }
        text
    }

    /// Formats the state of one upstream on each box.
    #[must_use]
    pub fn why(&self, service: &str, upstream: &str) -> String {
        let mut text = String::new();
        for b in &self.boxes {
            for r in b.upstreams.iter().filter(|r| r.service == service && r.upstream == upstream) {
                let why =
                    if r.reason.is_empty() { "nothing against it" } else { r.reason.as_str() };
                let (good, bad, out) = (r.good, r.bad, r.out);
                let _ = writeln!(
                    text,
                    "box {:<10} {}: {why}; own outcomes lately: {good} good, {bad} bad; {out} open",
                    b.name,
                    coloured(&r.state)
                );
            }
        }
        if text.is_empty() {
            let _ = writeln!(text, "no box knows {service}/{upstream}");
        }
        text
    }

    fn upstreams(&self) -> BTreeMap<(&str, &str), BTreeMap<&str, usize>> {
        let mut all: BTreeMap<(&str, &str), BTreeMap<&str, usize>> = BTreeMap::new();
        for r in self.boxes.iter().flat_map(|b| &b.upstreams) {
            let states = all.entry((&r.service, &r.upstream)).or_default();
            *states.entry(&r.state).or_default() += 1;
        }
        all
    }
}

/// Colours a state if standard output is a terminal.
fn coloured(state: &str) -> String {
    if !std::io::stdout().is_terminal() {
        return state.to_owned();
    }
    let colour = match state {
        "ready" | "preferred" => 32,
        "probation" | "avoided" | "leaving" => 33,
        _ => 31,
    };
    format!("\u{1b}[{colour}m{state}\u{1b}[0m")
}
