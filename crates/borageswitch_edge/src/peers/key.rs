//! The key that daemons of one site share.

use std::{fmt, sync::Arc};

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The shortest key, in bytes: a shorter one could be guessed from a recorded proof.
const MIN_KEY: usize = 16;

/// A key that is too short to prove anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("a site key has at least 16 bytes")]
pub struct KeyTooShort;

impl std::error::Error for KeyTooShort {}

/// The key that daemons of one site share. It never appears in logs.
#[derive(Clone)]
pub struct SiteKey(Arc<[u8]>);

impl SiteKey {
    /// A key from the settings.
    ///
    /// # Errors
    ///
    /// When it is shorter than 16 bytes.
    pub fn new(key: &[u8]) -> Result<Self, KeyTooShort> {
        if key.len() < MIN_KEY { Err(KeyTooShort) } else { Ok(Self(Arc::from(key))) }
    }

    /// A code over parts that only a holder of the key can make.
    pub(super) fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Whether `code` was made over these parts, in a time that does not tell where it differs.
    pub(super) fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.mac(parts).verify_slice(code).is_ok()
    }

    /// Each part is preceded by its length, so that no two lists of parts give the same text.
    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.0);
        let mut mac = mac.unwrap_or_else(|_| unreachable!("a key of any length serves"));
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SiteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SiteKey(..)")
    }
}
