//! The claim that a non-idempotent request needs before it is sent.

use std::sync::Arc;

use crate::{Time, names::ServiceName};

/// Numbers the claims that the traffic threads of one daemon ask for.
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
    serde::Deserialize,
    derive_more::Display,
)]
pub struct ClaimTicket(pub u64);

/// Asks that a request id be claimed, so that no other try with the same id is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Names the claim in its answer.
    pub ticket: ClaimTicket,
    /// The service; the same id at another service is another request.
    pub service: ServiceName,
    /// The caller and the id that it chose, joined; at most 256 bytes.
    pub request_id: Arc<str>,
    /// After this time the answer is of no use.
    pub deadline: Time,
}

/// The key of a non-idempotent request: a digest of service, caller and the caller's own id.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{_0:032x}")]
pub struct ClaimKey(pub u128);

/// Distinguishes one try to claim a key from every other try.
///
/// When the store's answer to a claim is lost, the nonce in the store tells whose claim it is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct ClaimNonce(pub u64);

/// What came of a claim.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum ClaimOutcome {
    /// The id is claimed for this very request: it may be sent, once.
    Granted,
    /// The id was claimed before: the request must not be sent.
    AlreadyClaimed,
    /// The store did not say in time. The request must not be sent; it did not run, but the id may
    /// stay claimed.
    Unavailable,
}
