//! Reading and changing permit objects.

use crate::api::{Expect, Object, Platform, PlatformError};
use bytes::Bytes;
use honeypulley_policy::permits::{FloorContext, PermitError, PermitRecord};
use std::time::Duration;

/// Prefix of the permit objects.
pub const PREFIX: &str = "permits/";

/// One change of a permit object.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitChange {
    /// Eject an upstream.
    Eject(FloorContext),
    /// Send canary requests to an ejected upstream.
    Canary,
    /// Give an upstream its work back.
    Release,
    /// Free the slot of a released upstream.
    Retire {
        /// Number of the release that was seen.
        serial: u64,
        /// Time for which it was seen.
        seen: Duration,
    },
}

/// Why a permit was not changed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ChangeError {
    /// The change isn't allowed.
    #[error("permit refused: {0}")]
    Refused(#[from] PermitError),
    /// The platform did not take it.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Reads the service and record out of a permit object.
#[must_use]
pub fn decode(o: &Object) -> Option<(String, PermitRecord)> {
    let service = o.key.strip_prefix(PREFIX)?;
    Some((service.to_owned(), serde_json::from_slice(&o.value).ok()?))
}

/// Changes the permit of one upstream, by one conditional update.
///
/// The record is read afresh, so the floor is judged on what the platform
/// holds. A lost answer is left to the next watch: the change is tried again
/// from what that shows.
///
/// # Errors
/// See [`ChangeError`].
pub async fn change(
    p: &dyn Platform,
    service: &str,
    upstream: &str,
    how: &PermitChange,
) -> Result<PermitRecord, ChangeError> {
    let key = format!("{PREFIX}{service}");
    let found = p.get(&key).await?;
    let expect = found.as_ref().map_or(Expect::Absent, |o| Expect::Version(o.version));
    let record = found.as_ref().and_then(decode).map(|(_, r)| r).unwrap_or_default();
    let next = match how {
        PermitChange::Eject(ctx) => record.eject(upstream, *ctx)?,
        PermitChange::Canary => record.start_canary(upstream)?,
        PermitChange::Release => record.release(upstream)?,
        PermitChange::Retire { serial, seen } => record.retire(upstream, *serial, *seen)?,
    };
    let value = Bytes::from(serde_json::to_vec(&next).expect("a record is plain data"));
    p.put(&key, value, expect).await?;
    Ok(next)
}
