//! Permit objects, which record the ejection state of a service's upstreams.

use crate::api::{Expect, Object, Platform, PlatformError};
use bytes::Bytes;
use honeypulley_policy::permits::{FloorContext, PermitError, PermitRecord};
use std::time::Duration;

/// Key prefix of permit objects.
pub const PREFIX: &str = "permits/";

/// A change of a permit object.
#[derive(Clone, Debug, PartialEq)]
pub enum PermitChange {
    /// Ejects an upstream if the floor permits.
    Eject(FloorContext),
    /// Starts canary requests to an ejected upstream.
    Canary,
    /// Releases an upstream, which then receives regular requests again.
    Release,
    /// Removes the entry of a released upstream.
    Retire {
        /// Serial number of the observed release.
        serial: u64,
        /// Time for which the release has been observed.
        seen: Duration,
    },
}

/// Errors of changing a permit.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ChangeError {
    /// The record does not permit the change.
    #[error("permit refused: {0}")]
    Refused(#[from] PermitError),
    /// The call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}

/// Decodes the service name and record of a permit object.
#[must_use]
pub fn decode(o: &Object) -> Option<(String, PermitRecord)> {
    let service = o.key.strip_prefix(PREFIX)?;
    Some((service.to_owned(), serde_json::from_slice(&o.value).ok()?))
}

/// Changes the permit of an upstream by a conditional write.
///
/// The record is read first, so the floor is evaluated on the platform's current state.
/// If the answer to the write is lost, the caller learns the outcome from its watch and
/// retries if needed.
///
/// # Errors
/// Returns a [`ChangeError`] if the change is not permitted or a call fails.
pub async fn change(
    p: &dyn Platform,
    service: &str,
    upstream: &str,
    change: &PermitChange,
) -> Result<PermitRecord, ChangeError> {
    let key = format!("{PREFIX}{service}");
    let found = p.get(&key).await?;
    let expect = found.as_ref().map_or(Expect::Absent, |o| Expect::Version(o.version));
    let record = found.as_ref().and_then(decode).map(|(_, r)| r).unwrap_or_default();
    let next = match change {
        PermitChange::Eject(ctx) => record.eject(upstream, *ctx)?,
        PermitChange::Canary => record.start_canary(upstream)?,
        PermitChange::Release => record.release(upstream)?,
        PermitChange::Retire { serial, seen } => {
            record.remove_released(upstream, *serial, *seen)?
        }
    };
    let value = Bytes::from(serde_json::to_vec(&next).expect("a permit record serializes to JSON"));
    p.put(&key, value, expect).await?;
    Ok(next)
}
