//! Output effects of a daemon's control state, executed by the I/O layer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_types::{
    Time,
    agent::AgentCommand,
    claim::{ClaimOutcome, ClaimTicket},
    fleet::Fleet,
    names::{DaemonName, HostName},
    view::TrafficView,
};
use borageswitch_wire::{PeerMessage, operator::OperatorAnswer, peer::Member};

use crate::{
    event::OperatorCallId,
    store::{CallId, StoreRequest},
};

/// An action that the reducer requests from the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store; always followed by [`Event::Store`](crate::Event::Store).
    CallStore {
        /// Identifies the call in its response.
        call: CallId,
        /// The request to send.
        request: StoreRequest,
        /// Timeout after which the response counts as lost.
        timeout: Duration,
    },
    /// Keep a connection to a peer open, reconnecting whenever it closes.
    ConnectPeer {
        /// The peer.
        member: Member,
    },
    /// Dial an address whose daemon is not known yet until it has connected once;
    /// [`Event::PeerUp`](crate::Event::PeerUp) then identifies it.
    DialPeer {
        /// Where a peer may listen.
        address: SocketAddr,
    },
    /// Close the connection to a peer and stop reconnecting.
    DisconnectPeer {
        /// The peer.
        daemon: DaemonName,
    },
    /// Send a message to a peer if it is connected.
    SendPeer {
        /// The peer.
        to: DaemonName,
        /// The message.
        message: PeerMessage,
    },
    /// Read the platform's host list; [`Event::HostList`](crate::Event::HostList) follows.
    ReadHostList,
    /// Send a command to a host's agent; [`Event::Agent`](crate::Event::Agent) follows.
    CommandHost {
        /// The host.
        host: HostName,
        /// Where the agent listens.
        agent: SocketAddr,
        /// The command.
        command: AgentCommand,
    },
    /// Respond to an operator's request.
    RespondToOperator {
        /// The request.
        call: OperatorCallId,
        /// The response.
        response: OperatorAnswer,
    },
    /// Report the outcome of a claim to the traffic thread that requested it.
    ResolveClaim {
        /// The claim.
        ticket: ClaimTicket,
        /// Its outcome.
        outcome: ClaimOutcome,
    },
    /// Publish a new view to the traffic threads.
    PublishView(Arc<TrafficView>),
    /// Admit new requests until the given time on the monotonic clock; the permission expires on
    /// its own if the process was paused.
    AdmitUntil(Time),
    /// Publish the fleet document to the operators' interface.
    PublishFleet(Arc<Fleet>),
    /// Set whether the readiness probe accepts new connections from the load balancer.
    SetReady(bool),
    /// Record a decision in the log and for later queries.
    RecordDecision {
        /// The decision and its reason, in one sentence.
        text: Arc<str>,
    },
    /// Exit the process: nothing is in flight and the duties are released.
    Exit,
}
