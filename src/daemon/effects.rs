//! Carries out what the reducer asks for. Nothing is decided here.

use borageswitch_control::Effect;
use borageswitch_edge::{
    observe::Observe, operators::Operators, peers::Peers, platform::Platform, traffic::Traffic,
};
use borageswitch_types::{names::DaemonName, slots::SlotMessage};
use borageswitch_wire::PeerMessage;

use crate::daemon::local_calls::LocalCalls;

/// The edges of one daemon.
pub(super) struct Edges {
    pub(super) platform: Platform,
    pub(super) peers: Peers,
    pub(super) operators: Operators,
    pub(super) observe: Observe,
    pub(super) traffic: Traffic,
    pub(super) local: LocalCalls,
}

impl Edges {
    /// Carries one effect out; true when the process is to end.
    pub(super) fn carry_out(&self, effect: Effect) -> bool {
        match effect {
            Effect::CallStore { call, request, timeout } => {
                self.platform.call_store(call, request, timeout);
            }
            Effect::ConnectPeer { member } => self.peers.connect(member),
            Effect::DialPeer { address } => self.peers.dial(address),
            Effect::AdmitUntil(until) => self.traffic.admit_until(until),
            Effect::DisconnectPeer { daemon } => self.peers.drop_peer(&daemon),
            Effect::SendPeer { to, message } => self.peers.send(&to, message),
            Effect::ReadHostList => self.platform.read_host_list(),
            Effect::CommandHost { host, agent, command } => {
                self.platform.command_host(host, agent, command);
            }
            Effect::RespondToOperator { call, response } if LocalCalls::owns(call) => {
                self.local.answer(call, response);
            }
            Effect::RespondToOperator { call, response } => self.operators.answer(call, response),
            Effect::ResolveClaim { ticket, outcome } => self.traffic.answer_claim(ticket, outcome),
            Effect::PublishView(view) => self.traffic.publish_view(view),
            Effect::PublishFleet(fleet) => self.operators.publish_fleet(fleet),
            Effect::SetReady(ready) => self.observe.set_ready(ready),
            Effect::RecordDecision { text } => {
                log::info!("{text}");
                self.operators.record(text);
            }
            Effect::Exit => return true,
        }
        false
    }

    pub(super) fn send_slots(&self, to: &DaemonName, message: SlotMessage) {
        self.peers.send(to, PeerMessage::Slots(message));
    }
}
