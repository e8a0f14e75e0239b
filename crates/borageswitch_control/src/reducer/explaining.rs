//! Keeps decisions with their reasons, and tells why something waits.

use std::{collections::BTreeMap, collections::VecDeque, sync::Arc};

use borageswitch_planner::capacity;
use borageswitch_types::{
    Fleet, Time,
    fleet::{Duty, Host, HostPhase, LeaveReason, Wave},
    names::{HostName, PoolName, WaveName},
};
use borageswitch_wire::operator::Subject;

use crate::{effect::Effect, reducer::State};

/// How many decisions are kept: an hour of a busy wave in under 64 KB.
const KEPT: usize = 512;
/// How many decisions one explanation repeats.
const SHOWN: usize = 8;

/// A decision and when it was taken.
#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Decision {
    at: Time,
    text: Arc<str>,
}

/// The last decisions, oldest first.
#[derive(Debug, Default)]
pub(super) struct Decisions(VecDeque<Decision>);

impl State {
    /// Keeps a decision with its reason.
    pub(super) fn decide(&mut self, text: String) {
        let text: Arc<str> = text.into();
        if self.decisions.0.len() >= KEPT {
            self.decisions.0.pop_front();
        }
        self.decisions.0.push_back(Decision { at: self.now, text: text.clone() });
        self.effects.push(Effect::Decide { text });
    }

    pub(super) fn explain(&self, subject: &Subject) -> Option<Vec<String>> {
        let fleet = self.sync.fleet()?;
        let (name, mut lines) = match subject {
            Subject::Host(host) => (host.as_str(), self.explain_host(host, fleet.hosts.get(host)?)),
            Subject::Pool(pool) => (pool.as_str(), explain_pool(fleet, pool)?),
            Subject::Wave(wave) => (wave.as_str(), self.explain_wave(wave, fleet.waves.get(wave)?)),
            Subject::Request(id) => (&**id, vec![]),
        };
        let holder = match self.may_act(&Duty::Planner) {
            true => Some(self.me()),
            false => self.holder_heard(&Duty::Planner),
        };
        match holder {
            Some(holder) => lines.push(format!("{holder} takes the steps of this region")),
            None => lines.push("no daemon is known to take the steps of this region".to_owned()),
        }
        lines.extend(self.decisions_about(name));
        let is_unknown_request = matches!(subject, Subject::Request(_)) && lines.len() < 2;
        (!is_unknown_request).then_some(lines)
    }

    fn decisions_about(&self, name: &str) -> Vec<String> {
        let is_word = |word: &str| word.trim_matches(|c: char| !c.is_alphanumeric()) == name;
        let about = |decision: &&Decision| decision.text.split(' ').any(is_word);
        let mut last: Vec<&Decision> = self.decisions.0.iter().rev().filter(about).collect();
        last.truncate(SHOWN);
        let ago = |decision: &Decision| self.now.since(decision.at).as_secs();
        last.iter().rev().map(|d| format!("{} s ago: {}", ago(d), d.text)).collect()
    }

    fn explain_host(&self, name: &HostName, host: &Host) -> Vec<String> {
        let mut lines =
            vec![format!("{name} belongs to {} and {}", host.pool, describe(&host.phase))];
        if matches!(host.phase, HostPhase::Leaving { .. }) {
            match self.undrained_here(name) {
                Some(why) => lines.push(format!("{name} is not drained: {why}")),
                None => lines.push(format!("{name} is drained and its next step is due")),
            }
        }
        lines
    }

    fn explain_wave(&self, name: &WaveName, wave: &Wave) -> Vec<String> {
        let (pending, out) = (wave.pending.len(), wave.out.len());
        let (done, failed) = (wave.done.len(), wave.failed.len());
        let mut lines = vec![format!(
            "{name} is {:?}: {pending} hosts wait, {out} are out, {done} are done, {failed} failed",
            wave.status
        )];
        for host in &wave.out {
            if let Some(record) = self.sync.fleet().and_then(|fleet| fleet.hosts.get(host)) {
                lines.extend(self.explain_host(host, record));
            }
        }
        for (host, reason) in &wave.failed {
            lines.push(format!("{host} failed: {reason}"));
        }
        lines
    }

    /// The daemon's whole state as JSON.
    pub(super) fn dump(&self) -> String {
        let members = self.members.known.iter().map(|(daemon, known)| {
            let heard = self.members.heard.get(daemon);
            let member = serde_json::json!({
                "member": known.member,
                "heard_ms_ago": heard.map(|h| self.now.since(h.at).as_millis() as u64),
                "revision": heard.map(|h| h.revision),
                "progress": heard.map(|h| &h.progress),
                "duties": heard.map(|h| &h.duties),
                "lease_stands": known.listed.as_ref().map(|listed| listed.live),
            });
            (daemon, member)
        });
        let members: BTreeMap<_, _> = members.collect();
        let undrained = self.leaving.iter();
        let undrained = undrained.map(|h| (h, self.undrained_here(h).map(|why| why.to_string())));
        let undrained: BTreeMap<_, _> = undrained.collect();
        let dump = serde_json::json!({
            "daemon": self.me(),
            "region": self.cfg.region,
            "revision": self.known().0,
            "store_version": self.sync.version(),
            "applied": self.traffic.applied,
            "draining": self.traffic.draining,
            "unfinished": self.traffic.unfinished,
            "lease_valid_ms": self.session.valid_until().since(self.now).as_millis() as u64,
            "admitting": self.is_admitting(),
            "duties": self.duties.held(),
            "parent": self.parent(),
            "neighbours": self.neighbours(),
            "entries": &self.entries[..],
            "members": members,
            "undrained": undrained,
            "changes_waiting": self.writer.waiting(),
            "claims_known_and_waiting": self.claims.summary(),
            "store_calls": self.store_calls.counts(),
            "stopping": self.stopping,
            "decisions": self.decisions.0,
            "fleet": self.sync.fleet().map(|fleet| &**fleet),
        });
        dump.to_string()
    }
}

fn describe(phase: &HostPhase) -> String {
    match phase {
        HostPhase::Serving => "serves".to_owned(),
        HostPhase::Leaving { why: LeaveReason::Move { to } } => {
            format!("takes no new work: it goes to {to}")
        }
        HostPhase::Leaving { why: LeaveReason::Wave { wave } } => {
            format!("takes no new work: it is rebooted for {wave}")
        }
        HostPhase::Leaving { why: LeaveReason::Hold { reason } } => {
            format!("takes no new work: it is held: {reason}")
        }
        HostPhase::Rebooting { wave, .. } => format!("reboots for {wave}"),
        HostPhase::Trial { wave } => format!("is on trial after its reboot for {wave}"),
        HostPhase::Held { reason } => format!("is held: {reason}"),
        HostPhase::Failed { reason } => format!("has failed: {reason}"),
    }
}

fn explain_pool(fleet: &Fleet, pool: &PoolName) -> Option<Vec<String>> {
    let record = fleet.pools.get(pool)?;
    let hosts = fleet.hosts_in(pool).count();
    let serving = fleet.hosts_in(pool).filter(|(_, host)| host.gives_capacity()).count();
    let mut lines = vec![format!(
        "{pool} has {hosts} hosts of {} wanted; {serving} serve",
        record.wanted_hosts
    )];
    for (name, service) in fleet.services.iter().filter(|(_, service)| service.pool == *pool) {
        let left = capacity::surviving_slots(fleet, pool, service.survives, |_, host| {
            host.gives_capacity()
        });
        lines.push(format!(
            "{name} keeps {left} slots after the loss of its largest failure domain; {} are promised",
            service.promised_slots
        ));
    }
    for (name, host) in fleet.hosts_in(pool).filter(|(_, host)| !host.gives_capacity()) {
        lines.push(format!("{name} {}", describe(&host.phase)));
    }
    Some(lines)
}
