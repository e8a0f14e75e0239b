//! Who may call: keys, and the callers that they belong to.
//!
//! A key is a secret, so none is kept: a [`KeyRing`] holds salted digests. Nothing here is printed
//! but a [`Fingerprint`], by which an operator finds a key's owner and no reader of a log the key.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use borageswitch_types::names::{CallerName, QueueName};
use sha2::{Digest, Sha256};

/// The longest key that is looked up, in bytes; operators hand out keys of some twenty characters.
pub const MAX_KEY: usize = 256;

/// What a request shows of its caller.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credential<'a> {
    /// Nothing.
    None,
    /// More than one key.
    Several,
    /// Something that is no key: of another scheme, empty, or not a text.
    Unreadable,
    /// A key.
    Key(&'a str),
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Rejection {
    /// It shows no key.
    #[display("a key is needed")]
    NoKey,
    /// It shows more than one key.
    #[display("more than one key was shown")]
    SeveralKeys,
    /// What it shows is no key.
    #[display("what was shown is not a key of the expected scheme")]
    Unreadable,
    /// Nobody has this key.
    #[display("the key with fingerprint {_0} is nobody's")]
    UnknownKey(Fingerprint),
}

/// The first bytes of a key's digest: enough to tell keys apart, too little to find one.
#[derive(Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fingerprint([u8; 4]);

impl Fingerprint {
    /// That of a key, the same in every process.
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

/// Drawn anew for each ring.
pub type Salt = [u8; 16];

/// Whose key a request has shown.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeyOwner {
    /// The caller.
    pub caller: CallerName,
    /// Names the key.
    pub fingerprint: Fingerprint,
}

/// All keys of a configuration.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeyRing {
    salt: Salt,
    owners: BTreeMap<[u8; 32], KeyOwner>,
}

impl KeyRing {
    /// A ring with these callers' keys.
    ///
    /// The salt has to be drawn at random and must not leave the process. How long a search among
    /// digests takes depends on their first bytes; without a salt, whoever times refusals could
    /// choose keys by their digests and come nearer to one that is known, byte by byte.
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

    /// Whose key this is.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        if key.len() > MAX_KEY {
            return None;
        }
        self.owners.get(&digest(&self.salt, key))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether there are none.
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

/// Who may call.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Access {
    /// Whoever calls is served: the operator declares no callers.
    #[default]
    Open,
    /// Who shows a caller's key.
    Keys {
        /// The keys.
        keys: KeyRing,
        /// Queues that need none.
        public: BTreeSet<QueueName>,
    },
}

impl Access {
    /// Who calls a queue; nothing where no key is needed, whatever is shown.
    ///
    /// # Errors
    ///
    /// Why the request is not let in.
    pub fn admit(
        &self,
        queue: &QueueName,
        shown: Credential<'_>,
    ) -> Result<Option<&KeyOwner>, Rejection> {
        let Access::Keys { keys, public } = self else { return Ok(None) };
        if public.contains(queue) {
            return Ok(None);
        }
        match shown {
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
