//! The platform's list of boxes and upstreams.

use honeypulley_policy::spec::{Member, MemberState};
use serde::{Deserialize, Serialize};

/// A box in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxEntry {
    /// Unique name.
    pub name: String,
    /// Address and port of the peer protocol.
    pub peer: String,
    /// Data hall of the box.
    pub hall: String,
    /// Whether the box is live or leaving.
    #[serde(default)]
    pub state: MemberState,
}

/// The list of boxes and upstreams, which lags by up to some seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Boxes, live and leaving.
    #[serde(default)]
    pub boxes: Vec<BoxEntry>,
    /// Upstreams, live and leaving.
    #[serde(default)]
    pub upstreams: Vec<Member>,
}

impl Roster {
    /// Parses the list from JSON.
    ///
    /// # Errors
    /// Returns the error of the JSON parser.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the live boxes.
    pub fn live_boxes(&self) -> impl Iterator<Item = &BoxEntry> {
        self.boxes.iter().filter(|b| b.state == MemberState::Live)
    }

    /// Returns the upstreams of a service, including leaving ones.
    pub fn service<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Member> {
        self.upstreams.iter().filter(move |m| m.service == name)
    }
}
