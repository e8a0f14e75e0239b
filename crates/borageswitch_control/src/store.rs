//! Requests to the platform's key-value store, with their responses and errors.

use std::{sync::Arc, time::Duration};

/// Identifies a store call of one daemon, so that its response can be matched to it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
pub struct CallId(pub u64);

/// The version of a key's value; each write gets a higher version than all earlier writes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    derive_more::Display,
)]
pub struct Version(pub u64);

impl Version {
    /// The expected version of a write that creates its key.
    pub const ABSENT: Version = Version(0);
}

/// Identifies a lease granted by the store.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, derive_more::Display,
)]
pub struct LeaseId(pub u64);

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: Arc<str>,
    },
    /// Reads every key that begins with a prefix.
    List {
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Replaces a value if its version is still the expected one.
    CompareAndSwap {
        /// The key.
        key: Arc<str>,
        /// The version that the writer has seen; [`Version::ABSENT`] to create the key.
        expected: Version,
        /// The new value.
        value: Arc<[u8]>,
        /// The lease that the key is attached to, if any; the key is deleted when it ends.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if its version is still the expected one.
    Delete {
        /// The key.
        key: Arc<str>,
        /// The version that the writer has seen.
        expected: Version,
    },
    /// Waits until a key has a version above the given one.
    Watch {
        /// The key.
        key: Arc<str>,
        /// The version known to the watcher.
        after: Version,
        /// How long the store holds the request before it reports that nothing has changed.
        wait: Duration,
    },
    /// Requests a new lease.
    GrantLease {
        /// Time to live of the lease unless it is renewed.
        ttl: Duration,
    },
    /// Renews a lease for its full time to live.
    KeepAlive {
        /// The lease.
        lease: LeaseId,
    },
    /// Revokes a lease, which deletes its keys.
    RevokeLease {
        /// The lease.
        lease: LeaseId,
    },
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Arc<str>,
    /// The value's version.
    pub version: Version,
    /// The value.
    pub value: Arc<[u8]>,
}

/// A response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// To a read or watch: the value, or `None` if the key does not exist or did not change.
    Value(Option<KeyValue>),
    /// To a list: the keys with their values.
    Values(Vec<KeyValue>),
    /// To a write: it took effect.
    Written {
        /// The value's new version.
        version: Version,
    },
    /// To a write: the version was not the expected one, and nothing was changed.
    Conflict,
    /// To a lease call: the lease is granted or renewed.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// Its time to live, counted from when the request was sent.
        ttl: Duration,
    },
    /// To a lease call, or a write under a lease: the lease has ended.
    LeaseLost,
    /// To a delete or revoke: it is done.
    Done,
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The call was not sent: it had no effect.
    #[display("the store cannot be reached")]
    NotSent,
    /// No response arrived in time: a write may have taken effect.
    #[display("the store's answer was lost")]
    AnswerLost,
    /// The store rejected the call as invalid: it had no effect.
    #[display("the store refused the call")]
    Refused,
}

impl std::error::Error for StoreError {}
