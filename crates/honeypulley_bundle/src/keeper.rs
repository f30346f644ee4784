//! What one box has in force; the only entrance for bundles.
//!
//! Whatever the way a head came by (platform, relay, any peer), it passes
//! [`Keeper::offer`], which checks order, sign-off and digests. A box never goes
//! back within its life.

use crate::head::{Head, Version};
use crate::model::Bundle;
use crate::parts::{Digest, Manifest};
use crate::sign::{SignError, Trust};
use bytes::Bytes;
use honeypulley_ini::IniError;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Earlier manifests kept, against which peers are sent changes only.
const REMEMBERED: usize = 8;

/// A bundle in force with all that peers may pull.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its head.
    pub head: Head,
    /// Its manifest.
    pub manifest: Manifest,
    /// The checked model.
    pub bundle: Bundle,
    /// Texts of its parts.
    pub parts: HashMap<Digest, Bytes>,
}

/// Why an offered bundle was not put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// The box has this version or a later one.
    #[error("{offered} is not newer than {in_force}, which is in force")]
    Older {
        /// Version offered.
        offered: Version,
        /// Version in force.
        in_force: Version,
    },
    /// The sign-off does not hold.
    #[error("{0}: {1}")]
    Untrusted(Version, SignError),
    /// The manifest is not the one that the head names.
    #[error("{0}: the manifest does not fit the head")]
    Manifest(Version),
    /// A part is missing or does not parse.
    #[error("{0}: {1}")]
    Part(Version, IniError),
}

/// Holds the bundle in force and guards the order of versions.
#[derive(Debug)]
pub struct Keeper {
    trust: Trust,
    in_force: Option<Arc<InForce>>,
    old: VecDeque<(Digest, Manifest)>,
}

impl Keeper {
    /// Builds a keeper that trusts the signers of the settings.
    #[must_use]
    pub const fn new(trust: Trust) -> Self {
        Self { trust, in_force: None, old: VecDeque::new() }
    }

    /// Returns the bundle in force.
    #[must_use]
    pub const fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, zero if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.in_force.as_ref().map_or(Version(0), |f| f.head.version)
    }

    /// Returns an earlier manifest that is still remembered, or that in force.
    #[must_use]
    pub fn remembered(&self, d: &Digest) -> Option<&Manifest> {
        let now = self.in_force.as_ref().filter(|f| f.head.manifest == *d).map(|f| &f.manifest);
        now.or_else(|| self.old.iter().find(|(k, _)| k == d).map(|(_, m)| m))
    }

    /// Checks a head before anything is moved for it.
    ///
    /// # Errors
    /// [`OfferError::Older`] or [`OfferError::Untrusted`].
    pub fn check(&self, head: &Head) -> Result<(), OfferError> {
        if head.version <= self.version() {
            return Err(OfferError::Older { offered: head.version, in_force: self.version() });
        }
        let named = self.in_force.as_ref().map(|f| f.bundle.signers());
        let trust = named.map_or_else(|| self.trust.clone(), |n| self.trust.with(n));
        trust
            .verify(&head.manifest, &head.signature)
            .map_err(|e| OfferError::Untrusted(head.version, e))
    }

    /// Returns the parts of `manifest` that this box does not hold.
    #[must_use]
    pub fn missing(&self, manifest: &Manifest) -> Vec<Digest> {
        let held = |d: &Digest| self.in_force.as_ref().is_some_and(|f| f.parts.contains_key(d));
        manifest.parts.iter().copied().filter(|d| !held(d)).collect()
    }

    /// Puts a bundle in force, if it is newer, signed off and whole.
    ///
    /// `fresh` are the texts of the parts that [`Keeper::missing`] named.
    ///
    /// # Errors
    /// See [`OfferError`]; what was in force stays so.
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
            let checked = fresh.get(d).filter(|b| Digest::of(b) == *d);
            checked.or_else(|| before.and_then(|f| f.parts.get(d))).cloned()
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
