//! What an upstream did: every execution by the request's identity.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It does not.
    #[default]
    Healthy,
    /// Runs the request and never answers.
    Stall,
    /// Takes ten times as long.
    Slow,
    /// Runs the request and answers with status 500.
    Fail,
    /// Cuts the answer in the middle.
    Cut,
    /// Labels the answer as another request's.
    Mislabel,
    /// Refuses connections.
    Refuse,
    /// Is healthy and stalls in turn.
    Flap,
    /// Refuses before running, saying so.
    Shed,
}

/// Switches of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// How it misbehaves.
    pub mode: Mode,
    /// Callers it misbehaves to; everybody if empty.
    pub only: Vec<IpAddr>,
    /// Milliseconds of each phase while it flaps.
    pub flap_ms: u64,
    /// It is leaving and marks its answers so.
    pub drain: bool,
    /// What it claims as its load, whatever the truth.
    pub claim_load: Option<u32>,
}

/// Executions by the request's identity.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<BTreeMap<String, u32>>,
    cancelled: Mutex<u64>,
}

/// A journal as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPage {
    /// Number of executions by the request's identity.
    pub runs: BTreeMap<String, u32>,
    /// Requests whose caller left first.
    pub cancelled: u64,
}

impl Journal {
    /// Books that a request begins to run.
    pub fn run(&self, request: &str) {
        *self.runs.lock().entry(request.to_owned()).or_default() += 1;
    }

    /// Books that a caller left first.
    pub fn cancel(&self) {
        *self.cancelled.lock() += 1;
    }

    /// Returns everything booked.
    #[must_use]
    pub fn page(&self) -> JournalPage {
        JournalPage { runs: self.runs.lock().clone(), cancelled: *self.cancelled.lock() }
    }
}
