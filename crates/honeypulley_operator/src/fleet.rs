//! Queries the status of all boxes concurrently.

use crate::settings::Settings;
use eyre::{Result, eyre};
use futures::stream::{self, StreamExt};
use honeypulley_bundle::head::Version;
use honeypulley_daemon::status::BoxStatus;
use honeypulley_peer::client::{PeerClient, PeerError};
use honeypulley_platform::api::Platform;
use honeypulley_platform::roster::{BoxEntry, Roster};
use rand::seq::SliceRandom;

/// Maximum number of concurrent status queries.
const MAX_QUERIES: usize = 64;

/// Number of boxes queried to find the newest version in force.
const SAMPLE_SIZE: usize = 5;

/// Result of a status query to one box.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Roster entry of the box.
    pub entry: BoxEntry,
    /// Status of the box, or the error of the query.
    pub status: Result<BoxStatus, String>,
}

/// Fetches the roster from the platform, or else from a seed.
///
/// # Errors
/// Returns an error if neither the platform nor any seed answers.
pub async fn roster(s: &Settings, p: &dyn Platform) -> Result<Roster> {
    let error = match p.members().await {
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
    Err(eyre!("no roster: {error}; no seed answered either"))
}

/// Returns the newest version in force on sampled boxes, zero if none answers.
///
/// All boxes have the same bundle in force, so a sample suffices.
pub async fn newest_version(s: &Settings, p: &dyn Platform) -> Version {
    let Ok(mut sample) = roster(s, p).await else { return Version(0) };
    sample.boxes.shuffle(&mut rand::rng());
    sample.boxes.truncate(SAMPLE_SIZE);
    let answers = query_all(s, &sample).await;
    let versions = answers.iter().filter_map(|a| a.status.as_ref().ok()).map(|b| b.bundle);
    Version(versions.max().unwrap_or(0))
}

/// Queries the status of every box, in the order of the roster.
pub async fn query_all(s: &Settings, roster: &Roster) -> Vec<Answer> {
    let query = |entry: BoxEntry| async move {
        let status = query(s, &entry).await;
        Answer { entry, status }
    };
    stream::iter(roster.boxes.clone()).map(query).buffered(MAX_QUERIES).collect().await
}

async fn query(s: &Settings, entry: &BoxEntry) -> Result<BoxStatus, String> {
    let addr = entry
        .peer
        .parse()
        .map_err(|_| format!("invalid peer address in the roster: '{}'", entry.peer))?;
    let got: Result<_, PeerError> =
        async { PeerClient::connect(addr, &s.key).await?.status().await }.await;
    let json = got.map_err(|e| e.to_string())?;
    serde_json::from_slice(&json).map_err(|e| format!("peer {addr}: status: {e}"))
}
