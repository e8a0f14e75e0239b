//! Calls to the platform's key-value service and what may come of them.

use std::{sync::Arc, time::Duration};

/// Numbers the calls of one daemon, so that an answer finds its question.
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

/// The version of a key's value; the store gives each write a higher one than all before.
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
    /// Expected by a write that creates its key.
    pub const ABSENT: Version = Version(0);
}

/// A lease that the store has granted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, derive_more::Display,
)]
pub struct LeaseId(pub u64);

/// A call to the store.
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
        /// The version that the writer has seen, [`Version::ABSENT`] to create the key.
        expected: Version,
        /// The new value.
        value: Arc<[u8]>,
        /// The lease with which the key ends.
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
        /// The version that the watcher has.
        after: Version,
        /// How long the store holds the call before it answers that nothing has changed.
        wait: Duration,
    },
    /// Asks for a lease.
    GrantLease {
        /// How long it lasts without being kept alive.
        ttl: Duration,
    },
    /// Keeps a lease alive for its whole time again.
    KeepAlive {
        /// The lease.
        lease: LeaseId,
    },
    /// Gives a lease back; its keys end.
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

/// What the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// To a read or watch; nothing if the key does not exist, or did not change.
    Value(Option<KeyValue>),
    /// To a list.
    Values(Vec<KeyValue>),
    /// To a write: it took effect.
    Written {
        /// The value's new version.
        version: Version,
    },
    /// To a write: the version was another one, and nothing was changed.
    Conflict,
    /// To a lease call: the lease lasts.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// For how long, from when the call was sent.
        ttl: Duration,
    },
    /// To a lease call, or a write under a lease: the lease has ended.
    LeaseLost,
    /// To a delete or revoke.
    Done,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The call was not sent: it had no effect.
    #[display("the store cannot be reached")]
    NotSent,
    /// The call was sent and not answered in time: a write may have taken effect.
    #[display("the store's answer was lost")]
    AnswerLost,
    /// The store refused the call as such: it had no effect.
    #[display("the store refused the call")]
    Refused,
}

impl std::error::Error for StoreError {}
