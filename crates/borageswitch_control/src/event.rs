//! Everything that can happen to a daemon's control state.

use std::{collections::BTreeMap, sync::Arc};

use borageswitch_types::{
    agent::{AgentError, AgentStatus},
    claim::{ClaimRequest, ClaimTicket},
    fleet::Revision,
    names::{DaemonName, HostName},
    time::UnixMillis,
};
use borageswitch_wire::{PeerMessage, operator::OperatorRequest, peer::Member};

use crate::store::{CallId, StoreError, StoreResponse};

/// Numbers the requests of operators at one daemon.
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
pub struct OperatorCallId(pub u64);

/// A host as the platform's list shows it, which lags.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostName,
    /// Whether the platform says that the host is about to leave.
    pub leaving: bool,
}

/// What the traffic threads report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficReport {
    /// The revision of the view by which every traffic thread sends.
    pub applied: Revision,
    /// Requests in flight on each host that takes no new work by that view.
    pub draining: BTreeMap<HostName, u32>,
    /// Share of failed requests of each host that had any, in thousandths, as last measured.
    pub failing: BTreeMap<HostName, u16>,
    /// Requests in flight or waiting in all.
    pub unfinished: u64,
}

/// Everything that can happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process has started and its listeners are bound.
    Started,
    /// Time has passed.
    Tick {
        /// The wall clock, for times that a host must judge.
        wall: UnixMillis,
    },
    /// A call to the store has ended.
    Store {
        /// Which call.
        call: CallId,
        /// What came of it.
        outcome: Result<StoreResponse, StoreError>,
    },
    /// A peer has proved that it belongs to the site.
    PeerUp {
        /// The peer.
        member: Member,
    },
    /// The connection to a peer has ended or gone silent.
    PeerDown {
        /// The peer.
        daemon: DaemonName,
    },
    /// A peer has sent a message.
    Peer {
        /// The peer.
        from: DaemonName,
        /// The message.
        message: PeerMessage,
    },
    /// The platform's list was read.
    HostList {
        /// The hosts, or nothing when the list could not be read.
        hosts: Option<Vec<ListedHost>>,
    },
    /// A host's agent has answered, or not.
    Agent {
        /// The host.
        host: HostName,
        /// The answer.
        outcome: Result<AgentStatus, AgentError>,
    },
    /// An operator asks for something.
    Operator {
        /// Which request, for the answer.
        call: OperatorCallId,
        /// The request.
        request: OperatorRequest,
    },
    /// The traffic threads report.
    Traffic(TrafficReport),
    /// A traffic thread asks for the claim of a non-idempotent request.
    Claim(ClaimRequest),
    /// A traffic thread was granted this claim, has sent nothing under it and never will.
    ReleaseClaim(ClaimTicket),
    /// The process is asked to end.
    Stop {
        /// Why, for the log.
        reason: Arc<str>,
    },
}
