//! Status as text and JSON.

use crate::fleet::Answer;
use honeypulley_daemon::status::BoxStatus;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::IsTerminal;

/// Status of the fleet as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct FleetPage {
    /// Version in the platform's head, if it could be asked.
    pub accepted: Option<u64>,
    /// Number of boxes by version in force.
    pub in_force: BTreeMap<u64, usize>,
    /// Boxes that answered.
    pub boxes: Vec<BoxStatus>,
    /// Boxes that did not, and why.
    pub silent: BTreeMap<String, String>,
}

impl FleetPage {
    /// Puts the answers of all boxes together.
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

    /// Returns the page for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut t = String::new();
        let accepted =
            self.accepted.map_or("unknown (platform away)".to_owned(), |v| format!("v{v}"));
        let _ = writeln!(t, "accepted: {accepted}");
        for (v, n) in &self.in_force {
            let _ = writeln!(t, "in force: v{v} on {n} boxes");
        }
        for b in &self.boxes {
            let state = if b.not_ready.is_empty() { "ready" } else { b.not_ready.as_str() };
            let relay = if b.relay { ", relay" } else { "" };
            let permits = if b.permits_valid { "" } else { ", permits lapsed" };
            let _ = writeln!(
                t,
                "box {:<10} {:<8} v{} by {}, {} open{relay}{permits}: {}",
                b.name,
                b.hall,
                b.bundle,
                b.signer,
                b.open,
                paint(state)
            );
        }
        for (name, why) in &self.silent {
            let _ = writeln!(t, "box {name:<10} {}: {why}", paint("silent"));
        }
        for ((service, upstream), states) in self.upstreams() {
            let counted: Vec<String> =
                states.iter().map(|(s, n)| format!("{} by {n}", paint(s))).collect();
            let _ = writeln!(t, "upstream {service}/{upstream}: {}", counted.join(", "));
        }
        t
    }

    /// Returns for one upstream what each box says of it.
    #[must_use]
    pub fn why(&self, service: &str, upstream: &str) -> String {
        let mut t = String::new();
        for b in &self.boxes {
            for r in b.upstreams.iter().filter(|r| r.service == service && r.upstream == upstream) {
                let why =
                    if r.reason.is_empty() { "nothing against it" } else { r.reason.as_str() };
                let (good, bad, out) = (r.good, r.bad, r.out);
                let _ = writeln!(
                    t,
                    "box {:<10} {}: {why}; own outcomes lately: {good} good, {bad} bad; {out} open",
                    b.name,
                    paint(&r.state)
                );
            }
        }
        if t.is_empty() {
            let _ = writeln!(t, "no box knows {service}/{upstream}");
        }
        t
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

/// Colours a state, on a terminal only.
fn paint(state: &str) -> String {
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
