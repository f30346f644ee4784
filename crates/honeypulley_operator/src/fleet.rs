//! Asking all boxes at once.

use crate::settings::Settings;
use eyre::{Result, eyre};
use futures::stream::{self, StreamExt};
use honeypulley_bundle::head::Version;
use honeypulley_daemon::status::BoxStatus;
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_platform::api::Platform;
use honeypulley_platform::roster::{BoxEntry, Roster};
use rand::seq::SliceRandom;

/// Boxes asked at one time.
const PARALLEL: usize = 64;

/// Boxes asked which version is in force.
const ASKED: usize = 5;

/// What one box answered.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The box as the list shows it.
    pub entry: BoxEntry,
    /// Its status, or why there is none.
    pub status: Result<BoxStatus, String>,
}

/// Returns the list, from the platform or else from a seed.
///
/// # Errors
/// Returns an error if neither answers.
pub async fn roster(s: &Settings, p: &dyn Platform) -> Result<Roster> {
    let away = match p.members().await {
        Ok(json) => return Ok(Roster::from_json(&json)?),
        Err(e) => e,
    };
    for &addr in &s.seeds {
        let got = async { PeerClient::connect(addr, &s.key).await?.roster().await };
        if let Ok(json) = got.await
            && !json.is_empty()
        {
            return Ok(Roster::from_json(&json)?);
        }
    }
    Err(eyre!("no list of boxes: {away}; and no seed answered"))
}

/// Returns the newest version that some boxes have in force, zero if none answers.
///
/// Every box has the bundle in force, so that a sample suffices.
pub async fn newest(s: &Settings, p: &dyn Platform) -> Version {
    let Ok(mut some) = roster(s, p).await else { return Version(0) };
    some.boxes.shuffle(&mut rand::rng());
    some.boxes.truncate(ASKED);
    let answers = ask_all(s, &some).await;
    let versions = answers.iter().filter_map(|a| a.status.as_ref().ok()).map(|b| b.bundle);
    Version(versions.max().unwrap_or(0))
}

/// Asks every listed box for its status, in the order of the list.
pub async fn ask_all(s: &Settings, roster: &Roster) -> Vec<Answer> {
    let ask = |entry: BoxEntry| async move {
        let status = ask(s, &entry).await;
        Answer { entry, status }
    };
    stream::iter(roster.boxes.clone()).map(ask).buffered(PARALLEL).collect().await
}

async fn ask(s: &Settings, entry: &BoxEntry) -> Result<BoxStatus, String> {
    let addr =
        entry.peer.parse().map_err(|_| format!("the list gives no address: '{}'", entry.peer))?;
    let got: Result<_, PeerError> =
        async { PeerClient::connect(addr, &s.key).await?.status().await }.await;
    let json = got.map_err(|e| e.to_string())?;
    serde_json::from_slice(&json).map_err(|e| format!("peer {addr}: status: {e}"))
}
