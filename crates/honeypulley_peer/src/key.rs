//! The fleet's shared key.

use std::fmt;

/// Bytes of a digest that follow a datagram.
pub const TAG: usize = 16;

/// Key that every box and operator holds, from the settings.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Derives the key from the text in the settings.
    #[must_use]
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key("honeypulley 2026 fleet key", text.as_bytes()))
    }

    /// Returns a key for another purpose, from which this one can't be found.
    #[must_use]
    pub fn subkey(&self, purpose: &str) -> [u8; 32] {
        *blake3::keyed_hash(&self.0, purpose.as_bytes()).as_bytes()
    }

    /// Returns the tag of a datagram.
    #[must_use]
    pub fn tag(&self, message: &[u8]) -> [u8; TAG] {
        let full = blake3::keyed_hash(&self.0, message);
        let mut tag = [0; TAG];
        tag.copy_from_slice(&full.as_bytes()[..TAG]);
        tag
    }

    /// Returns the message if its tag fits.
    #[must_use]
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (message, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG)?)?;
        // blake3 compares in constant time only whole hashes, so widen both.
        let (mut a, mut b) = ([0; 32], [0; 32]);
        a[..TAG].copy_from_slice(tag);
        b[..TAG].copy_from_slice(&self.tag(message));
        (blake3::Hash::from_bytes(a) == blake3::Hash::from_bytes(b)).then_some(message)
    }

    /// Returns the proof that a login owes to a challenge.
    #[must_use]
    pub fn prove(&self, nonce: &[u8]) -> [u8; 32] {
        let mut text = b"login".to_vec();
        text.extend_from_slice(nonce);
        *blake3::keyed_hash(&self.0, &text).as_bytes()
    }

    /// Checks a login's proof, in constant time.
    #[must_use]
    pub fn check(&self, nonce: &[u8], proof: &[u8]) -> bool {
        let Ok(given) = <[u8; 32]>::try_from(proof) else { return false };
        blake3::Hash::from_bytes(self.prove(nonce)) == blake3::Hash::from_bytes(given)
    }
}
