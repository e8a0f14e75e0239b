//! What is asked of a chain, and what came of it.

use std::time::Duration;

use borageswitch_types::{
    Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    names::DaemonName,
};

/// Who asked for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    Local,
    Peer(DaemonName),
}

/// A claim that waits for the store.
#[derive(Clone, Debug)]
pub(super) struct ChainRequest {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) window: Duration,
    /// When it was asked for here.
    pub(super) received_at: Time,
    pub(super) deadline: Time,
    pub(super) requester: Requester,
}

/// A claim that is to be given back. Should it not reach the store in time, the claim stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    pub(super) key: ClaimKey,
    pub(super) nonce: ClaimNonce,
    pub(super) window: Duration,
    pub(super) deadline: Time,
}

/// What came of an ask.
#[derive(Clone, Debug)]
pub(super) struct ClaimResolution {
    pub(super) nonce: ClaimNonce,
    pub(super) requester: Requester,
    pub(super) outcome: ClaimOutcome,
}
