//! Exchanges heartbeats along a tree: from daemons to their data centre's relay, and from relays to
//! the planner.
//!
//! A full mesh of nine daemons would cost each of them sixteen messages per heartbeat. In the tree
//! a daemon has one parent, and only relays and the planner have more neighbours. Each heartbeat
//! forwards the state of other daemons with its age, so that every daemon learns about all others.
//! While no holder of a duty is known, the daemon with the lowest name takes its place, so the tree
//! works without the store.
//!
//! Ages count from the echo: a heartbeat repeats the latest send time that its sender has received
//! from the receiver, and its content was true at that time or later.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_types::{
    Time,
    fleet::{Duty, Revision},
    names::{DaemonName, DataCentreName, HostName},
};
use borageswitch_wire::{
    PeerMessage,
    peer::{Heard, Heartbeat, Member, Progress},
};

use crate::{effect::Effect, reducer::State};

/// Minimum time between heartbeats that report changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A daemon that sent nothing for this many heartbeat intervals is no longer a child.
const CHILD_TIMEOUT_HEARTBEATS: u32 = 3;
/// A silent member is probed once in this many heartbeats, to detect a healed partition.
const PROBE_INTERVAL_HEARTBEATS: u64 = 4;

/// The last contact with one daemon, directly or through others.
#[derive(Clone, Debug)]
pub(super) struct PeerContact {
    /// The daemon was alive at this time or later.
    pub(super) at: Time,
    pub(super) revision: Revision,
    pub(super) progress: Progress,
    pub(super) duties: Vec<Duty>,
    /// For each leaving host, the epoch for which the daemon reported nothing in flight, and when
    /// that report arrived.
    pub(super) acks: BTreeMap<HostName, (u64, Time)>,
}

/// The neighbours in the tree and the heartbeat schedule.
#[derive(Debug, Default)]
pub(super) struct Tree {
    next_heartbeat: Time,
    last_heartbeat: Time,
    /// Whether the next heartbeat reports changes and so goes to all neighbours, not only the
    /// parent.
    has_changes: bool,
    heartbeats_sent: u64,
    /// The last heartbeat received from each neighbour, with its send time to be echoed.
    arrivals: BTreeMap<DaemonName, Arrival>,
    rosters: BTreeMap<DaemonName, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Time,
    sent: Time,
    is_child: bool,
}

impl State {
    pub(super) fn schedule_heartbeat(&mut self) {
        let soon = (self.tree.last_heartbeat + MIN_HEARTBEAT_INTERVAL).max(self.now);
        self.tree.next_heartbeat = self.tree.next_heartbeat.min(soon);
        self.tree.has_changes = true;
    }

    pub(super) fn tree_tick(&mut self) {
        if self.tree.next_heartbeat > self.now || self.exited {
            return;
        }
        self.tree.heartbeats_sent += 1;
        self.tree.last_heartbeat = self.now;
        self.tree.next_heartbeat = self.now + self.cfg.heartbeat_interval;
        // Children get a response to each heartbeat, so without changes a heartbeat goes to the
        // parent only.
        let has_changes = std::mem::take(&mut self.tree.has_changes);
        let receivers = match has_changes {
            true => self.neighbours(),
            false => self.parent().into_iter().collect(),
        };
        for daemon in receivers {
            self.send_heartbeat(&daemon);
        }
        if let Some(daemon) = self.silent_member() {
            self.send_heartbeat(&daemon);
        }
    }

    /// The parent, if any, and the current children.
    pub(super) fn neighbours(&self) -> Vec<DaemonName> {
        let children = self.tree.arrivals.keys().filter(|daemon| self.is_child(daemon));
        let mut neighbours: Vec<DaemonName> = children.cloned().collect();
        if let Some(parent) = self.parent()
            && !neighbours.contains(&parent)
        {
            neighbours.push(parent);
        }
        neighbours
    }

    /// Whether a daemon recently sent a heartbeat to this one as its parent.
    fn is_child(&self, daemon: &DaemonName) -> bool {
        let recent = self.cfg.heartbeat_interval * CHILD_TIMEOUT_HEARTBEATS;
        let arrival = self.tree.arrivals.get(daemon);
        arrival.is_some_and(|a| a.is_child && a.at + recent > self.now)
    }

    pub(super) fn parent(&self) -> Option<DaemonName> {
        let here = &self.cfg.me.data_centre;
        let relay = self.duty_head(&Duty::Relay(here.clone()), Some(here));
        if relay != *self.me() {
            return Some(relay);
        }
        let root = self.duty_head(&Duty::Planner, None);
        (root != *self.me()).then_some(root)
    }

    /// The holder of a duty, or the daemon with the lowest name that may be alive in its place.
    fn duty_head(&self, duty: &Duty, within: Option<&DataCentreName>) -> DaemonName {
        if self.duties.fence(duty).is_some() {
            return self.me().clone();
        }
        if let Some(holder) = self.recent_holder(duty) {
            return holder.clone();
        }
        let inside = |member: &Member| within.is_none_or(|dc| *dc == member.data_centre);
        let others = self.members.known.iter();
        let others = others.filter(|(daemon, k)| inside(&k.member) && self.may_be_alive(daemon));
        others.map(|(daemon, _)| daemon).chain([self.me()]).min().unwrap_or(self.me()).clone()
    }

    /// The next silent member to probe, in rotation, if one is due.
    fn silent_member(&self) -> Option<DaemonName> {
        if !self.tree.heartbeats_sent.is_multiple_of(PROBE_INTERVAL_HEARTBEATS) {
            return None;
        }
        let silent = self.members.known.keys().filter(|daemon| {
            self.members
                .contacts
                .get(*daemon)
                .is_none_or(|h| h.at + self.cfg.silence_timeout <= self.now)
        });
        let silent: Vec<&DaemonName> = silent.collect();
        let round = (self.tree.heartbeats_sent / PROBE_INTERVAL_HEARTBEATS) as usize;
        (!silent.is_empty()).then(|| silent[round % silent.len()].clone())
    }

    fn send_heartbeat(&mut self, to: &DaemonName) {
        let heartbeat = self.make_heartbeat(to);
        self.send(to, PeerMessage::Heartbeat(heartbeat));
        let generation = self.members.generation;
        if self.tree.rosters.get(to) != Some(&generation) {
            self.tree.rosters.insert(to.clone(), generation);
            let known = self.members.known.values().map(|known| known.member.clone());
            let roster = known.chain([self.cfg.me.clone()]).collect();
            self.send(to, PeerMessage::Roster(roster));
        }
    }

    fn make_heartbeat(&self, to: &DaemonName) -> Heartbeat {
        let silence = self.cfg.silence_timeout;
        let others = self.members.contacts.iter();
        let others = others.filter(|(d, h)| *d != to && h.at + silence > self.now);
        let heard = others.map(|(daemon, contact)| Heard {
            daemon: daemon.clone(),
            age_ms: self.now.since(contact.at).as_millis() as u32 + 1,
            revision: contact.revision,
            progress: contact.progress.clone(),
            duties: contact.duties.clone(),
        });
        Heartbeat {
            sent: self.now,
            echo: self.tree.arrivals.get(to).map(|arrival| arrival.sent),
            to_parent: self.wants_response(to),
            revision: self.known_document().0,
            progress: self.own_progress(),
            duties: self.duties.held(),
            heard: heard.collect(),
        }
    }

    /// Whether a response is wanted: the receiver is the parent or a silent member being probed.
    fn wants_response(&self, to: &DaemonName) -> bool {
        self.parent().as_ref() == Some(to) || !self.is_child(to)
    }

    pub(super) fn send(&mut self, to: &DaemonName, message: PeerMessage) {
        self.effects.push(Effect::SendPeer { to: to.clone(), message });
    }

    pub(super) fn heartbeat_received(&mut self, from: &DaemonName, heartbeat: Heartbeat) {
        let arrival = Arrival { at: self.now, sent: heartbeat.sent, is_child: heartbeat.to_parent };
        let known = self.tree.arrivals.get(from);
        if known.is_none_or(|known| known.sent <= heartbeat.sent) {
            self.tree.arrivals.insert(from.clone(), arrival);
        }
        let is_parent = self.parent().as_ref() == Some(from);
        let Heartbeat { echo, revision, progress, duties, heard, .. } = heartbeat;
        if let Some(at) = echo.filter(|echo| *echo <= self.now) {
            self.record_contact(from, at, revision, progress, duties);
            for other in heard {
                let age = Duration::from_millis(u64::from(other.age_ms));
                let at = Time::from_micros(at.as_micros().saturating_sub(age.as_micros() as u64));
                self.record_contact(
                    &other.daemon,
                    at,
                    other.revision,
                    other.progress,
                    other.duties,
                );
            }
        }
        if arrival.is_child && !is_parent {
            // Responding at once keeps the ages along the tree short.
            self.send_heartbeat(from);
        }
        self.compare_revision(from, revision);
    }

    fn record_contact(
        &mut self,
        daemon: &DaemonName,
        at: Time,
        revision: Revision,
        progress: Progress,
        duties: Vec<Duty>,
    ) {
        let known = self.members.contacts.get(daemon);
        if daemon == self.me() || known.is_some_and(|known| known.at >= at) {
            return;
        }
        let mut acks = known.map(|known| known.acks.clone()).unwrap_or_default();
        acks.retain(|host, _| progress.draining.contains_key(host));
        for (host, (epoch, in_flight)) in &progress.draining {
            let is_new = acks.get(host).is_none_or(|(acked, _)| acked != epoch);
            if *in_flight == 0 && is_new {
                acks.insert(host.clone(), (*epoch, self.now));
            }
        }
        let has_changed =
            known.is_none_or(|known| known.progress != progress || known.duties != duties);
        let state = PeerContact { at, revision, progress, duties, acks };
        self.members.contacts.insert(daemon.clone(), state);
        if has_changed {
            self.schedule_heartbeat();
            self.schedule_planning();
            self.resolve_waits();
        }
    }
}
