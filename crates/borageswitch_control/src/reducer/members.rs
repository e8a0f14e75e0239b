//! Tracks the members of the region, learned from the store's list, peers' rosters and direct
//! connections.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageswitch_types::{
    Time,
    fleet::{Duty, HostPhase, Revision},
    names::DaemonName,
};
use borageswitch_wire::peer::Member;

use crate::{
    effect::Effect,
    reducer::{State, store_calls::Purpose, tree::PeerContact},
    store::{KeyValue, StoreError, StoreRequest, StoreResponse, Version},
};

/// How often a planner lists the members while a host is leaving, as drains wait for a list.
const LIST_INTERVAL_WHILE_LEAVING: Duration = Duration::from_secs(1);
/// How often a planner lists the members otherwise.
const LIST_INTERVAL_AS_PLANNER: Duration = Duration::from_secs(15);
/// How often all other daemons, which learn of members from rosters, list them.
const LIST_INTERVAL: Duration = Duration::from_secs(120);
/// How long a member that was never listed is kept without contact.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// How long a daemon waits for a peer with a lower name to dial it before it dials that peer
/// itself.
const DIAL_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of names of removed daemons kept, so that an old roster does not add them again.
const MAX_GONE: usize = 256;

/// A member's state in the store's last list.
#[derive(Clone, Debug, Default)]
pub(super) struct ListedMember {
    member_version: Version,
    /// Whether its lease was valid.
    pub(super) live: bool,
    /// Since when the member provably has had no lease, judged by the lists that this daemon has
    /// read.
    pub(super) gone_since: Option<Time>,
}

/// A known member other than this daemon.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    pub(super) first_known: Time,
    up: bool,
    dialled: bool,
    pub(super) listed: Option<ListedMember>,
}

/// The known members of the region.
#[derive(Debug, Default)]
pub(super) struct Members {
    pub(super) known: BTreeMap<DaemonName, KnownMember>,
    pub(super) contacts: BTreeMap<DaemonName, PeerContact>,
    gone: BTreeSet<DaemonName>,
    pub(super) own_version: Option<Version>,
    next_list: Time,
    /// The revision known when the last successful list was requested.
    pub(super) list_covers: Option<Revision>,
    /// Incremented whenever [`Self::known`] gains or loses a member.
    pub(super) generation: u64,
}

impl State {
    /// Another daemon that reported recently that it holds a duty.
    pub(super) fn recent_holder(&self, duty: &Duty) -> Option<&DaemonName> {
        let recent = |contact: &PeerContact| contact.at + self.cfg.silence_timeout / 2 > self.now;
        let mut holders = self.members.contacts.iter().filter(|(_, h)| h.duties.contains(duty));
        holders.find(|(_, contact)| recent(contact)).map(|(daemon, _)| daemon)
    }

    /// Whether a member may be alive: it had contact recently, or became known too recently to have
    /// had any.
    pub(super) fn may_be_alive(&self, daemon: &DaemonName) -> bool {
        let silence = self.cfg.silence_timeout;
        let has_contact =
            self.members.contacts.get(daemon).is_some_and(|h| h.at + silence > self.now);
        let new = self.members.known.get(daemon);
        has_contact || new.is_some_and(|known| known.first_known + silence > self.now)
    }

    pub(super) fn add_member(&mut self, member: Member) {
        let daemon = member.daemon.clone();
        let skip = daemon == *self.me() || self.members.gone.contains(&daemon);
        if skip || self.members.known.contains_key(&daemon) {
            return;
        }
        let first_known = self.now;
        let known = KnownMember { member, first_known, up: false, dialled: false, listed: None };
        self.members.known.insert(daemon, known);
        self.members.generation += 1;
    }

    pub(super) fn peer_up(&mut self, member: Member) {
        let daemon = member.daemon.clone();
        self.members.gone.remove(&daemon);
        self.add_member(member);
        let now = self.now;
        if let Some(known) = self.members.known.get_mut(&daemon) {
            known.up = true;
            // A peer that has reconnected gets time to make contact.
            known.first_known = now;
        }
        self.schedule_heartbeat();
    }

    pub(super) fn peer_down(&mut self, daemon: &DaemonName) {
        if let Some(known) = self.members.known.get_mut(daemon) {
            known.up = false;
        }
    }

    pub(super) fn members_tick(&mut self) {
        if self.exited {
            return;
        }
        if self.members.next_list <= self.now && self.session.lease().is_some() {
            self.list_members();
        }
        self.dial_members();
        self.remove_stale_members();
    }

    fn dial_members(&mut self) {
        let me = self.cfg.me.daemon.clone();
        let now = self.now;
        for known in self.members.known.values_mut() {
            let dials_first = me < known.member.daemon || known.first_known + DIAL_DELAY <= now;
            if !known.up && !known.dialled && dials_first {
                known.dialled = true;
                let member = known.member.clone();
                self.effects.push(Effect::ConnectPeer { member });
            }
        }
    }

    fn remove_stale_members(&mut self) {
        let (now, silence) = (self.now, self.cfg.silence_timeout);
        let contacts = &self.members.contacts;
        let is_gone = |daemon: &DaemonName, known: &KnownMember| {
            let last =
                contacts.get(daemon).map_or(known.first_known, |h| h.at.max(known.first_known));
            let listed = known.listed.is_some();
            !listed && last + FORGET_AFTER <= now && last + silence <= now
        };
        let gone = self.members.known.iter().filter(|(daemon, known)| is_gone(daemon, known));
        let gone: Vec<DaemonName> = gone.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in gone {
            self.remove_member(&daemon);
        }
    }

    fn remove_member(&mut self, daemon: &DaemonName) {
        self.members.known.remove(daemon);
        self.members.contacts.remove(daemon);
        self.members.generation += 1;
        if self.members.gone.len() >= MAX_GONE {
            self.members.gone.pop_first();
        }
        self.members.gone.insert(daemon.clone());
        self.effects.push(Effect::DisconnectPeer { daemon: daemon.clone() });
        self.record_decision(format!("{daemon} is no longer a member"));
    }

    pub(super) fn list_members(&mut self) {
        let is_list = |purpose: &Purpose| matches!(purpose, Purpose::ListMembers { .. });
        if self.store_calls.is_open(is_list) {
            return;
        }
        let (known, _) = self.known_document();
        let request = StoreRequest::List { prefix: self.daemon_prefix() };
        self.members.next_list = self.now + self.member_list_interval();
        self.call_store(Purpose::ListMembers { known }, request, self.cfg.store_timeout);
    }

    fn member_list_interval(&mut self) -> Duration {
        if !self.may_act(&Duty::Planner) {
            return LIST_INTERVAL.mul_f64(0.75 + self.rng.f64() / 2.0);
        }
        let leaving = |fleet: &Arc<borageswitch_types::Fleet>| {
            fleet.hosts.values().any(|host| matches!(host.phase, HostPhase::Leaving { .. }))
        };
        let any_leaves = self.sync.fleet().is_some_and(leaving);
        let mut listed = self.members.known.values().filter_map(|known| known.listed.as_ref());
        let any_gone = listed.any(|listed| !listed.live);
        if any_leaves || any_gone { LIST_INTERVAL_WHILE_LEAVING } else { LIST_INTERVAL_AS_PLANNER }
    }

    /// Schedules a list at the next tick: a host has begun to leave, and its drain waits for a
    /// list.
    pub(super) fn schedule_member_list(&mut self) {
        if self.may_act(&Duty::Planner) {
            self.members.next_list = self.now;
        }
    }

    pub(super) fn members_listed(
        &mut self,
        known: Revision,
        outcome: Result<StoreResponse, StoreError>,
    ) {
        let Ok(StoreResponse::Values(values)) = outcome else { return };
        let mut listed: BTreeMap<DaemonName, (Option<KeyValue>, bool)> = BTreeMap::new();
        let prefix = self.daemon_prefix();
        for kv in &values {
            let rest = kv.key.strip_prefix(&*prefix).and_then(|rest| rest.rsplit_once('/'));
            let Some((daemon, kind)) = rest else { continue };
            let entry = listed.entry(daemon.into()).or_default();
            match kind {
                "member" => entry.0 = Some(kv.clone()),
                "live" => entry.1 = true,
                _ => {}
            }
        }
        self.members.list_covers = Some(known);
        self.apply_member_list(&listed);
        self.remove_crashed_members();
    }

    fn apply_member_list(&mut self, listed: &BTreeMap<DaemonName, (Option<KeyValue>, bool)>) {
        for (daemon, (kv, live)) in listed {
            let Some(kv) = kv else { continue };
            if daemon == self.me() {
                self.members.own_version = Some(kv.version);
                continue;
            }
            match serde_json::from_slice::<Member>(&kv.value) {
                // A daemon that was paused for a long time registers again under its old name.
                Ok(member) => {
                    self.members.gone.remove(daemon);
                    self.add_member(member);
                }
                Err(err) => log::error!("the member key of {daemon} cannot be read: {err}"),
            }
            let now = self.now;
            let Some(known) = self.members.known.get_mut(daemon) else { continue };
            let before = known.listed.take().unwrap_or_default();
            let member_version = kv.version;
            // A registration rewrites the member key, so an unchanged version proves that the
            // daemon did not register between the two lists. Without this proof its absence would
            // count from the later list, and a wave that waits for a crashed daemon would start
            // waiting again with every late list.
            let unchanged = before.member_version == member_version;
            let gone_before = before.gone_since.filter(|_| unchanged).unwrap_or(now);
            let gone_since = (!live).then_some(gone_before);
            known.listed = Some(ListedMember { member_version, live: *live, gone_since });
        }
        let removed = self.members.known.iter().filter(|(daemon, known)| {
            known.listed.is_some() && listed.get(*daemon).is_none_or(|(kv, _)| kv.is_none())
        });
        let removed: Vec<DaemonName> = removed.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in removed {
            self.remove_member(&daemon);
        }
    }

    /// As the planner, deletes the member keys of daemons that crashed so long ago that none of
    /// their requests can be in flight.
    fn remove_crashed_members(&mut self) {
        if !self.may_act(&Duty::Planner) {
            return;
        }
        let drain_timeout = self.longest_drain_timeout();
        let crashed = self.members.known.iter().filter_map(|(daemon, known)| {
            let listed = known.listed.as_ref()?;
            let last_contact =
                self.members.contacts.get(daemon).map_or(Time::ZERO, |contact| contact.at);
            let last = listed.gone_since?.max(last_contact).max(known.first_known);
            let past = last + drain_timeout <= self.now && !self.may_be_alive(daemon);
            past.then(|| (daemon.clone(), listed.member_version))
        });
        let crashed: Vec<(DaemonName, Version)> = crashed.collect();
        for (daemon, expected) in crashed {
            let key: Arc<str> = format!("{}{daemon}/member", self.daemon_prefix()).into();
            let request = StoreRequest::Delete { key, expected };
            self.call_store(Purpose::DeleteMember(daemon), request, self.cfg.store_timeout);
        }
    }

    pub(super) fn member_deleted(
        &mut self,
        daemon: &DaemonName,
        outcome: &Result<StoreResponse, StoreError>,
    ) {
        if matches!(outcome, Ok(StoreResponse::Done)) && !self.may_be_alive(daemon) {
            self.remove_member(daemon);
        }
    }
}
