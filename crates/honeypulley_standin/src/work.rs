//! Faults of a stand-in upstream and the journal of its executions.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Fault that an upstream simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// None.
    #[default]
    Healthy,
    /// Runs the request and never answers.
    Stall,
    /// Takes ten times as long to run a request.
    Slow,
    /// Runs the request and answers with status 500.
    Fail,
    /// Closes the connection halfway through the answer's body.
    Cut,
    /// Sends the answer with the attempt id of another request.
    Mislabel,
    /// Refuses connections.
    Refuse,
    /// Alternates between healthy and stalled phases.
    Flap,
    /// Refuses requests before running them, with a header that says so.
    Shed,
}

/// Fault injection settings of one upstream, set over its control port.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Switches {
    /// Fault to simulate.
    pub mode: Mode,
    /// Source addresses that see the fault; all if empty.
    pub only: Vec<IpAddr>,
    /// Length of each phase of [`Mode::Flap`] in milliseconds.
    pub flap_ms: u64,
    /// Whether answers carry the header of a draining upstream.
    pub drain: bool,
    /// Load to report in thousandths, in place of the actual load.
    pub claim_load: Option<u32>,
}

/// Counts executions by request id.
#[derive(Debug, Default)]
pub struct Journal {
    runs: Mutex<BTreeMap<String, u32>>,
    cancelled: Mutex<u64>,
}

/// Contents of a [`Journal`], as the control port returns them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalSnapshot {
    /// Number of executions by request id.
    pub runs: BTreeMap<String, u32>,
    /// Requests whose caller disconnected before the answer.
    pub cancelled: u64,
}

impl Journal {
    /// Records that a request starts to run.
    pub fn record_run(&self, request_id: &str) {
        *self.runs.lock().entry(request_id.to_owned()).or_default() += 1;
    }

    /// Records that a caller disconnected before the answer.
    pub fn record_cancellation(&self) {
        *self.cancelled.lock() += 1;
    }

    /// Returns the current contents.
    #[must_use]
    pub fn snapshot(&self) -> JournalSnapshot {
        JournalSnapshot { runs: self.runs.lock().clone(), cancelled: *self.cancelled.lock() }
    }
}
