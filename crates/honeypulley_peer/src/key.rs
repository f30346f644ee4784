//! The shared key of the fleet and the authentication based on it.

use std::fmt;

/// Length of the authentication tag that is appended to a datagram.
pub const TAG_LEN: usize = 16;

/// Secret key shared by all boxes and operators.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Derives the key from the secret in the settings.
    #[must_use]
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key("honeypulley 2026 fleet key", text.as_bytes()))
    }

    /// Derives a key for another purpose, which does not reveal this key.
    #[must_use]
    pub fn subkey(&self, purpose: &str) -> [u8; 32] {
        *blake3::keyed_hash(&self.0, purpose.as_bytes()).as_bytes()
    }

    /// Computes the authentication tag of a message.
    #[must_use]
    pub fn tag(&self, message: &[u8]) -> [u8; TAG_LEN] {
        let full = blake3::keyed_hash(&self.0, message);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&full.as_bytes()[..TAG_LEN]);
        tag
    }

    /// Verifies the tag of a datagram and returns the message.
    #[must_use]
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        let (message, tag) = bytes.split_at_checked(bytes.len().checked_sub(TAG_LEN)?)?;
        // `blake3::Hash` compares in constant time, so both tags are padded to its length.
        let (mut a, mut b) = ([0; 32], [0; 32]);
        a[..TAG_LEN].copy_from_slice(tag);
        b[..TAG_LEN].copy_from_slice(&self.tag(message));
        (blake3::Hash::from_bytes(a) == blake3::Hash::from_bytes(b)).then_some(message)
    }

    /// Computes the login proof for the nonce of a challenge.
    #[must_use]
    pub fn prove(&self, nonce: &[u8]) -> [u8; 32] {
        let mut message = b"login".to_vec();
        message.extend_from_slice(nonce);
        *blake3::keyed_hash(&self.0, &message).as_bytes()
    }

    /// Verifies a login proof in constant time.
    #[must_use]
    pub fn check(&self, nonce: &[u8], proof: &[u8]) -> bool {
        let Ok(received) = <[u8; 32]>::try_from(proof) else { return false };
        blake3::Hash::from_bytes(self.prove(nonce)) == blake3::Hash::from_bytes(received)
    }
}
