//! Everything that a daemon's control state can ask of its edges.

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

/// Everything that can be asked of the edges.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the store; [`Event::Store`](crate::Event::Store) follows in any case.
    CallStore {
        /// Names the call in its answer.
        call: CallId,
        /// The call.
        request: StoreRequest,
        /// After this time the call counts as lost.
        timeout: Duration,
    },
    /// Keep a connection to a peer, and dial again when it ends.
    ConnectPeer {
        /// The peer.
        member: Member,
    },
    /// Dial an address whose daemon is not known yet, until it answers once;
    /// [`Event::PeerUp`](crate::Event::PeerUp) then tells who it is.
    DialPeer {
        /// Where a peer may listen.
        address: SocketAddr,
    },
    /// Close the connection to a peer and dial no more.
    DisconnectPeer {
        /// The peer.
        daemon: DaemonName,
    },
    /// Send a message to a peer, as far as a connection stands.
    SendPeer {
        /// The peer.
        to: DaemonName,
        /// The message.
        message: PeerMessage,
    },
    /// Read the platform's list; [`Event::HostList`](crate::Event::HostList) follows.
    ReadHostList,
    /// Command a host's agent; [`Event::Agent`](crate::Event::Agent) follows.
    CommandHost {
        /// The host.
        host: HostName,
        /// Where the agent listens.
        agent: SocketAddr,
        /// The command.
        command: AgentCommand,
    },
    /// Answer an operator.
    RespondToOperator {
        /// Which request.
        call: OperatorCallId,
        /// The answer.
        response: OperatorAnswer,
    },
    /// Tell a traffic thread what came of its claim.
    ResolveClaim {
        /// Which claim.
        ticket: ClaimTicket,
        /// What came of it.
        outcome: ClaimOutcome,
    },
    /// Hand the traffic threads a new view.
    PublishView(Arc<TrafficView>),
    /// Let the traffic threads take new requests until the given time on the monotonic clock, and
    /// not after it: the daemon's permission to serve ends by itself when the process was paused.
    AdmitUntil(Time),
    /// Hand the operators' edge the document that it shows.
    PublishFleet(Arc<Fleet>),
    /// Tell the balancer whether to send new connections.
    SetReady(bool),
    /// Keep a decision for the log and for whoever asks later.
    RecordDecision {
        /// What was decided and why, in one sentence.
        text: Arc<str>,
    },
    /// Let the process end: nothing is in flight and the duties are given back.
    Exit,
}
