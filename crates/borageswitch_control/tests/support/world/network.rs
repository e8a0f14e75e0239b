//! The network between daemons: links, partitions, and lost, duplicated and delayed messages.

use std::time::Duration;

use borageswitch_control::Event;
use borageswitch_types::names::DaemonName;
use borageswitch_wire::{PeerMessage, peer};

use super::{Action, World};

impl World {
    pub fn split(&mut self, apart: &[DaemonName], time: Duration) {
        for (daemon, fake) in &mut self.daemons {
            fake.partition = u8::from(apart.contains(daemon));
        }
        self.schedule(time, Action::HealNetwork);
    }

    pub(super) fn connect(&mut self, from: DaemonName, to: DaemonName) {
        let (Some(a), Some(b)) = (self.daemons.get(&from), self.daemons.get(&to)) else { return };
        if a.partition != b.partition {
            self.schedule(Duration::from_millis(500), Action::Connect(from, to));
            return;
        }
        let (a, b) = (a.member.clone(), b.member.clone());
        self.links.insert(link(&from, &to));
        self.deliver(&from, Event::PeerUp { member: b });
        self.deliver(&to, Event::PeerUp { member: a });
    }

    pub(super) fn send(&mut self, from: &DaemonName, to: &DaemonName, message: PeerMessage) {
        let bytes = peer::encode(&message).map_or(0, |frame| frame.len() as u64);
        *self.peer_bytes.entry(from.clone()).or_default() += bytes;
        *self.peer_bytes.entry(to.clone()).or_default() += bytes;
        self.peer_messages += 1;
        let sides = (self.daemons.get(from), self.daemons.get(to));
        let (Some(a), Some(b)) = sides else { return };
        let reaches = a.partition == b.partition && self.links.contains(&link(from, to));
        let copies = if self.chance(self.faults.message_duplicate) { 2 } else { 1 };
        if !reaches || self.chance(self.faults.message_loss) {
            return;
        }
        for _ in 0..copies {
            let delay = if self.chance(0.05) { self.millis(5, 900) } else { self.millis(1, 4) };
            let event = Event::Peer { from: from.clone(), message: message.clone() };
            self.schedule(delay, Action::Deliver(to.clone(), event));
        }
    }
}

pub(super) fn link(a: &DaemonName, b: &DaemonName) -> (DaemonName, DaemonName) {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    (low.clone(), high.clone())
}
