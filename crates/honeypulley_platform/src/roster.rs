//! The lagging list of live and leaving boxes and upstreams.

use honeypulley_policy::spec::{Member, MemberState};
use serde::{Deserialize, Serialize};

/// One of our own boxes as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Name, unique within the list.
    pub name: String,
    /// Address and port of the peers' protocol.
    pub peer: String,
    /// Data hall.
    pub hall: String,
    /// Live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// The list at one moment, late by up to some seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Our boxes.
    #[serde(default)]
    pub boxes: Vec<BoxEntry>,
    /// Upstreams.
    #[serde(default)]
    pub upstreams: Vec<Member>,
}

impl Roster {
    /// Reads the list from JSON.
    ///
    /// # Errors
    /// Returns what the JSON parser says.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the live boxes.
    pub fn live_boxes(&self) -> impl Iterator<Item = &BoxEntry> {
        self.boxes.iter().filter(|b| b.state == MemberState::Live)
    }

    /// Returns the upstreams of a service, leaving ones included.
    pub fn service<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Member> {
        self.upstreams.iter().filter(move |m| m.service == name)
    }
}
