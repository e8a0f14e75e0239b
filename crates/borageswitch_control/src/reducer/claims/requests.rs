//! Requests to a chain and their results.

use std::time::Duration;

use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    names::DaemonName,
};

/// Where a claim request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    Local,
    Peer(DaemonName),
}

/// A claim that waits to be written to the store.
#[derive(Clone, Debug)]
pub(super) struct ChainRequest {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) window: Duration,
    /// When this daemon received the request.
    pub(super) received_at: Time,
    pub(super) deadline: Time,
    pub(super) requester: Requester,
}

/// A request to release a claim. If it is not written by its deadline, the claim remains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) window: Duration,
    pub(super) deadline: Time,
}

/// The result of a claim request.
#[derive(Clone, Debug)]
pub(super) struct ClaimResolution {
    pub(super) nonce: ClaimNonce,
    pub(super) requester: Requester,
    pub(super) outcome: ClaimOutcome,
}
