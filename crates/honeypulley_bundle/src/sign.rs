//! Sign-off with Ed25519 (RFC 8032).

use crate::parts::Digest;
use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use ed25519_dalek::{Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Prefix of the signed text, so that a signature serves no other purpose.
const CONTEXT: &str = "honeypulley bundle 1\n";

/// A sign-off of one manifest by one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Operator's name, as in the lists of signers.
    pub signer: String,
    /// Signature bytes in base64.
    pub bytes: String,
}

/// Why a sign-off is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// The signer is not among those trusted.
    #[error("signer '{0}' is not trusted here")]
    Unknown(String),
    /// The signature does not fit the manifest.
    #[error(
        "the signature of '{0}' does not fit this bundle: it was altered, or another was signed"
    )]
    Mismatch(String),
    /// A key is not 32 bytes in base64, or not a valid one.
    #[error("not an Ed25519 key in base64")]
    Key,
}

/// An operator's secret key.
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
    /// Builds a signer from 32 secret bytes.
    #[must_use]
    pub fn from_secret(name: &str, secret: &[u8; 32]) -> Self {
        Self { name: name.to_owned(), key: SigningKey::from_bytes(secret) }
    }

    /// Reads a signer from a secret key in base64.
    ///
    /// # Errors
    /// [`SignError::Key`] unless it is 32 bytes.
    pub fn from_base64(name: &str, text: &str) -> Result<Self, SignError> {
        let secret = key_bytes(text)?;
        Ok(Self::from_secret(name, &secret))
    }

    /// Returns the public key in base64.
    #[must_use]
    pub fn public(&self) -> String {
        BASE64.encode(self.key.verifying_key().as_bytes())
    }

    /// Signs off a manifest.
    #[must_use]
    pub fn sign(&self, manifest: &Digest) -> Signature {
        let bytes = self.key.sign(message(manifest).as_bytes()).to_bytes();
        Signature { signer: self.name.clone(), bytes: BASE64.encode(bytes) }
    }
}

/// Public keys of operators, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trust {
    keys: BTreeMap<String, VerifyingKey>,
}

impl Trust {
    /// Adds an operator's public key in base64.
    ///
    /// # Errors
    /// [`SignError::Key`] if it is none.
    pub fn add(&mut self, name: &str, key: &str) -> Result<(), SignError> {
        let key = VerifyingKey::from_bytes(&key_bytes(key)?).map_err(|_| SignError::Key)?;
        self.keys.insert(name.to_owned(), key);
        Ok(())
    }

    /// Returns these keys and those of `other`, which win where a name is in both.
    #[must_use]
    pub fn with(&self, other: &Self) -> Self {
        let mut keys = self.keys.clone();
        keys.extend(other.keys.iter().map(|(k, v)| (k.clone(), *v)));
        Self { keys }
    }

    /// Checks a sign-off.
    ///
    /// # Errors
    /// [`SignError::Unknown`] or [`SignError::Mismatch`].
    pub fn verify(&self, manifest: &Digest, s: &Signature) -> Result<(), SignError> {
        let key = self.keys.get(&s.signer).ok_or_else(|| SignError::Unknown(s.signer.clone()))?;
        let mismatch = || SignError::Mismatch(s.signer.clone());
        let raw = BASE64.decode(&s.bytes).map_err(|_| mismatch())?;
        let sig = ed25519_dalek::Signature::from_slice(&raw).map_err(|_| mismatch())?;
        key.verify_strict(message(manifest).as_bytes(), &sig).map_err(|_| mismatch())
    }

    /// Returns whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn message(manifest: &Digest) -> String {
    format!("{CONTEXT}{manifest}")
}

fn key_bytes(text: &str) -> Result<[u8; 32], SignError> {
    BASE64.decode(text.trim()).ok().and_then(|v| v.try_into().ok()).ok_or(SignError::Key)
}
