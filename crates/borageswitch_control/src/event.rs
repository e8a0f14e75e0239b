//! Input events of a daemon's control state.

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

/// Identifies an operator's request at one daemon.
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

/// A host as shown by the platform's host list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostName,
    /// Whether the platform has announced that it will take the host away.
    pub leaving: bool,
}

/// A report from the traffic threads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficReport {
    /// The revision of the view that every traffic thread has applied.
    pub applied: Revision,
    /// Requests in flight on each host that gets no new work under that view.
    pub draining: BTreeMap<HostName, u32>,
    /// Share of failed requests, in thousandths, of each host with any, as last measured.
    pub failing: BTreeMap<HostName, u16>,
    /// Total number of requests in flight or waiting.
    pub unfinished: u64,
}

/// An input to the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process has started and its listeners are bound.
    Started,
    /// The periodic timer has fired.
    Tick {
        /// The wall clock, for timestamps that are sent to hosts.
        wall: UnixMillis,
    },
    /// A call to the store has ended.
    Store {
        /// The call that ended.
        call: CallId,
        /// Its result.
        outcome: Result<StoreResponse, StoreError>,
    },
    /// A peer has connected and authenticated as a member of the site.
    PeerUp {
        /// The peer.
        member: Member,
    },
    /// The connection to a peer has closed or timed out.
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
    /// The platform's host list was read.
    HostList {
        /// The hosts, or `None` if the list could not be read.
        hosts: Option<Vec<ListedHost>>,
    },
    /// A command to a host's agent has completed or failed.
    Agent {
        /// The host.
        host: HostName,
        /// The agent's status, or why there is none.
        outcome: Result<AgentStatus, AgentError>,
    },
    /// An operator has sent a request.
    Operator {
        /// Identifies the request in its response.
        call: OperatorCallId,
        /// The request.
        request: OperatorRequest,
    },
    /// The traffic threads have reported their progress.
    Traffic(TrafficReport),
    /// A traffic thread requests the claim for a non-idempotent request.
    Claim(ClaimRequest),
    /// A traffic thread gives up a granted claim under which it has sent nothing and will send
    /// nothing.
    ReleaseClaim(ClaimTicket),
    /// The process was asked to stop.
    Stop {
        /// The reason, for the log.
        reason: Arc<str>,
    },
}
