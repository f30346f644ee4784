//! Ed25519 signatures of bundles (RFC 8032).

use crate::parts::Digest;
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Domain separator: a signature of a bundle is not valid in any other context.
const CONTEXT: &str = "honeypulley bundle 1\n";

/// An operator's signature of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Operator's name, as configured under `[signers]`.
    pub signer: String,
    /// Signature in base64.
    pub bytes: String,
}

/// Errors of signing and verification.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// The signer is not trusted.
    #[error("signer '{0}' is not trusted here")]
    UnknownSigner(String),
    /// The signature does not match the manifest.
    #[error(
        "the signature of '{0}' does not match this bundle: it was altered, or another one was signed"
    )]
    InvalidSignature(String),
    /// The text is not a valid 32-byte key in base64.
    #[error("not an Ed25519 key in base64")]
    InvalidKey,
}

/// An operator's signing key.
pub struct Signer {
    name: String,
    key: SigningKey,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Signer").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Signer {
    /// Creates a signer from a 32-byte secret key.
    #[must_use]
    pub fn from_secret(name: &str, secret: &[u8; 32]) -> Self {
        Self { name: name.to_owned(), key: SigningKey::from_bytes(secret) }
    }

    /// Creates a signer from a secret key in base64.
    ///
    /// # Errors
    /// Returns [`SignError::InvalidKey`] unless `text` encodes 32 bytes.
    pub fn from_base64(name: &str, text: &str) -> Result<Self, SignError> {
        let secret = key_bytes(text)?;
        Ok(Self::from_secret(name, &secret))
    }

    /// Returns the public key in base64.
    #[must_use]
    pub fn public(&self) -> String {
        BASE64.encode(self.key.verifying_key().as_bytes())
    }

    /// Signs the digest of a manifest.
    #[must_use]
    pub fn sign(&self, manifest: &Digest) -> Signature {
        let bytes = self.key.sign(message(manifest).as_bytes()).to_bytes();
        Signature { signer: self.name.clone(), bytes: BASE64.encode(bytes) }
    }
}

/// Trusted public keys, by operator name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    keys: BTreeMap<String, VerifyingKey>,
}

impl Trust {
    /// Adds an operator's public key in base64.
    ///
    /// # Errors
    /// Returns [`SignError::InvalidKey`] if `key` is not a valid key.
    pub fn add(&mut self, name: &str, key: &str) -> Result<(), SignError> {
        let key = VerifyingKey::from_bytes(&key_bytes(key)?).map_err(|_| SignError::InvalidKey)?;
        self.keys.insert(name.to_owned(), key);
        Ok(())
    }

    /// Returns the union of both sets; `other` takes precedence for equal names.
    #[must_use]
    pub fn with(&self, other: &Self) -> Self {
        let mut keys = self.keys.clone();
        keys.extend(other.keys.iter().map(|(k, v)| (k.clone(), *v)));
        Self { keys }
    }

    /// Verifies a signature of a manifest.
    ///
    /// # Errors
    /// Returns [`SignError::UnknownSigner`] or [`SignError::InvalidSignature`].
    pub fn verify(&self, manifest: &Digest, s: &Signature) -> Result<(), SignError> {
        let key =
            self.keys.get(&s.signer).ok_or_else(|| SignError::UnknownSigner(s.signer.clone()))?;
        let invalid = || SignError::InvalidSignature(s.signer.clone());
        let raw = BASE64.decode(&s.bytes).map_err(|_| invalid())?;
        let sig = ed25519_dalek::Signature::from_slice(&raw).map_err(|_| invalid())?;
        key.verify_strict(message(manifest).as_bytes(), &sig).map_err(|_| invalid())
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn message(manifest: &Digest) -> String {
    format!("{CONTEXT}{manifest}")
}

fn key_bytes(text: &str) -> Result<[u8; 32], SignError> {
    BASE64.decode(text.trim()).ok().and_then(|v| v.try_into().ok()).ok_or(SignError::InvalidKey)
}
