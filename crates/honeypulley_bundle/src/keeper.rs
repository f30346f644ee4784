//! Verification and activation of bundles on a box.
//!
//! Every bundle, whether received from the platform, a relay or a peer, is activated
//! by [`Keeper::offer`], which verifies version order, signature and digests. The
//! active version never decreases while the process runs.

use crate::head::{Head, Version};
use crate::model::Bundle;
use crate::parts::{Digest, Manifest};
use crate::sign::{SignError, Trust};
use bytes::Bytes;
use honeypulley_ini::IniError;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Number of earlier manifests cached, so that peers can be sent the differences only.
const REMEMBERED: usize = 8;

/// An active bundle with everything that peers may fetch.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Head that names the bundle.
    pub head: Head,
    /// Manifest of the bundle.
    pub manifest: Manifest,
    /// Validated model.
    pub bundle: Bundle,
    /// Text of each part, by digest.
    pub parts: HashMap<Digest, Bytes>,
}

/// Errors that prevent a bundle from being activated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// The active version is the same or newer.
    #[error("{offered} is not newer than {in_force}, which is in force")]
    Older {
        /// Rejected version.
        offered: Version,
        /// Active version.
        in_force: Version,
    },
    /// The signature is invalid or its signer is not trusted.
    #[error("{0}: {1}")]
    Untrusted(Version, SignError),
    /// The manifest does not match the digest in the head.
    #[error("{0}: the manifest does not match the digest in the head")]
    Manifest(Version),
    /// A part is missing or cannot be parsed.
    #[error("{0}: {1}")]
    Part(Version, IniError),
}

/// Holds the active bundle and enforces increasing versions.
#[derive(Debug)]
pub struct Keeper {
    trust: Trust,
    in_force: Option<Arc<InForce>>,
    old: VecDeque<(Digest, Manifest)>,
}

impl Keeper {
    /// Creates an instance without a bundle that trusts the signers in `trust`.
    ///
    /// `trust` holds the signers of the settings.
    #[must_use]
    pub const fn new(trust: Trust) -> Self {
        Self { trust, in_force: None, old: VecDeque::new() }
    }

    /// Returns the active bundle.
    #[must_use]
    pub const fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// Returns the active version, or zero if no bundle is active.
    #[must_use]
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(Version(0), |f| f.head.version)
    }

    /// Returns the active or a cached earlier manifest with the digest `d`.
    #[must_use]
    pub fn remembered(&self, d: &Digest) -> Option<&Manifest> {
        let active = self.in_force.as_ref().filter(|f| f.head.manifest == *d).map(|f| &f.manifest);
        active.or_else(|| self.old.iter().find(|(k, _)| k == d).map(|(_, m)| m))
    }

    /// Verifies version order and signature of a head before its parts are fetched.
    ///
    /// # Errors
    /// [`OfferError::Older`] or [`OfferError::Untrusted`].
    pub fn check(&self, head: &Head) -> Result<(), OfferError> {
        if head.version <= self.version() {
            return Err(OfferError::Older { offered: head.version, in_force: self.version() });
        }
        let signers = self.in_force.as_ref().map(|f| f.bundle.signers());
        let trust = signers.map_or_else(|| self.trust.clone(), |s| self.trust.with(s));
        trust
            .verify(&head.manifest, &head.signature)
            .map_err(|e| OfferError::Untrusted(head.version, e))
    }

    /// Returns the parts of `manifest` that have to be fetched.
    #[must_use]
    pub fn missing(&self, manifest: &Manifest) -> Vec<Digest> {
        let cached = |d: &Digest| self.in_force.as_ref().is_some_and(|f| f.parts.contains_key(d));
        manifest.parts.iter().copied().filter(|d| !cached(d)).collect()
    }

    /// Activates a bundle if it is newer, signed and complete.
    ///
    /// `fresh` holds the text of the parts that [`Keeper::missing`] returned.
    ///
    /// # Errors
    /// Returns an [`OfferError`]; the active bundle is then unchanged.
    pub fn offer(
        &mut self,
        head: Head,
        manifest: Manifest,
        fresh: &HashMap<Digest, Bytes>,
    ) -> Result<Arc<InForce>, OfferError> {
        self.check(&head)?;
        if manifest.digest() != head.manifest {
            return Err(OfferError::Manifest(head.version));
        }
        let before = self.in_force.as_deref();
        let text = |d: &Digest| {
            let verified = fresh.get(d).filter(|b| Digest::of(b) == *d);
            verified.or_else(|| before.and_then(|f| f.parts.get(d))).cloned()
        };
        let old = before.map(|f| (&f.bundle, &f.manifest));
        let bundle = Bundle::compose(old, &manifest, |i| text(&manifest.parts[i]))
            .map_err(|e| OfferError::Part(head.version, e))?;
        let parts = manifest.parts.iter().filter_map(|d| Some((*d, text(d)?))).collect();
        let next = Arc::new(InForce { head, manifest, bundle, parts });
        if let Some(f) = self.in_force.replace(Arc::clone(&next)) {
            self.old.push_front((f.head.manifest, f.manifest.clone()));
            self.old.truncate(REMEMBERED);
        }
        Ok(next)
    }
}
