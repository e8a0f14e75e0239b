//! Authentication of callers by API keys.
//!
//! Keys are secrets, so a [`KeyRing`] stores only salted digests of them. Logs and dumps show only
//! the [`Fingerprint`] of a key: an operator can find its owner by it, but it does not reveal the
//! key.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use borageswitch_types::names::{CallerName, QueueName};
use sha2::{Digest, Sha256};

/// The longest key that is accepted, in bytes; operators issue keys of about 20 characters.
pub const MAX_KEY_BYTES: usize = 256;

/// The credential that a request carries.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credential<'a> {
    /// The request carries no credential.
    None,
    /// The request carries more than one key.
    Several,
    /// The credential is not a key: another scheme, empty, or not text.
    Unreadable,
    /// The request carries one key, which may be unknown.
    Key(&'a str),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Rejection {
    /// The request carries no key.
    #[display("a key is needed")]
    NoKey,
    /// The request carries several keys.
    #[display("more than one key was shown")]
    SeveralKeys,
    /// The credential is not a key of the expected scheme.
    #[display("what was shown is not a key of the expected scheme")]
    Unreadable,
    /// The key belongs to no caller.
    #[display("the key with fingerprint {_0} is nobody's")]
    UnknownKey(Fingerprint),
}

/// The first bytes of a key's digest: enough to distinguish keys, too few to recover one.
#[derive(Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fingerprint([u8; 4]);

impl Fingerprint {
    /// Computes the fingerprint of a key. It is unsalted, so it is the same in every process.
    pub fn of(key: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(key).into();
        Self([digest[0], digest[1], digest[2], digest[3]])
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A random salt, generated for each [`KeyRing`].
pub type Salt = [u8; 16];

/// The caller that owns a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeyOwner {
    /// The caller that authenticates with the key.
    pub caller: CallerName,
    /// Identifies the key in logs.
    pub fingerprint: Fingerprint,
}

/// The salted digests of all keys of a configuration, with their owners.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeyRing {
    salt: Salt,
    owners: BTreeMap<[u8; 32], KeyOwner>,
}

impl KeyRing {
    /// Creates a key ring from pairs of callers and keys.
    ///
    /// The salt must be random and must not leave the process. The duration of a lookup depends on
    /// the first bytes of the digests that it compares. Without a salt an attacker could choose
    /// keys by their digests, measure the time until they are rejected, and so approach the digest
    /// of a known key byte by byte.
    pub fn new<'a, I>(salt: Salt, keys: I) -> Self
    where
        I: IntoIterator<Item = (&'a CallerName, &'a str)>,
    {
        let owner = |(caller, key): (&'a CallerName, &'a str)| {
            let owner = KeyOwner { caller: caller.clone(), fingerprint: Fingerprint::of(key) };
            (digest(&salt, key), owner)
        };
        Self { salt, owners: keys.into_iter().map(owner).collect() }
    }

    /// Returns the owner of a key.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.owners.get(&digest(&self.salt, key))
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether the ring has no keys.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyRing({} keys)", self.len())
    }
}

fn digest(salt: &Salt, key: &str) -> [u8; 32] {
    Sha256::new().chain_update(salt).chain_update(key).finalize().into()
}

/// How the callers of a configuration authenticate.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Access {
    /// Without authentication: the operator declares no callers.
    #[default]
    Open,
    /// With keys, except for public queues.
    Keys {
        /// The keys of all callers.
        keys: KeyRing,
        /// Queues that accept requests without a key.
        public: BTreeSet<QueueName>,
    },
}

impl Access {
    /// Authenticates a request to a queue. Returns the owner of its key, or `None` if the queue
    /// needs no key, in which case the credential is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue needs a key and the request does not carry a known one.
    pub fn admit(
        &self,
        queue: &QueueName,
        credential: Credential<'_>,
    ) -> Result<Option<&KeyOwner>, Rejection> {
        let Access::Keys { keys, public } = self else { return Ok(None) };
        if public.contains(queue) {
            return Ok(None);
        }
        match credential {
            Credential::None => Err(Rejection::NoKey),
            Credential::Several => Err(Rejection::SeveralKeys),
            Credential::Unreadable => Err(Rejection::Unreadable),
            Credential::Key(key) => match keys.owner(key) {
                Some(owner) => Ok(Some(owner)),
                None => Err(Rejection::UnknownKey(Fingerprint::of(key))),
            },
        }
    }
}

#[cfg(test)]
mod tests;
